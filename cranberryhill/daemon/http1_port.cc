#include "cranberryhill/daemon/http1_port.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// Threads of the server; each waits for one answer.
constexpr unsigned kMinThreads = 4;
constexpr unsigned kMaxThreads = 64;
// Bodies above this are read and dropped; the limit of the document, which is
// lower, is checked on the core thread.
constexpr size_t kMaxBodyBytes = size_t{16} * 1024 * 1024;

const char* ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 503:
      return "Service Unavailable";
    default:
      return status < 400 ? "OK" : "Refused";
  }
}

WholeResponse RefusalResponse(const Refusal& refusal) {
  return {refusal.http_status, "application/json", RetryAfterHeader(refusal),
          RefusalBody(refusal)};
}

// A request whose handler thread waits for the answer of the core thread.
class PendingAnswer : public ResponseSink {
 public:
  void SendWhole(const WholeResponse& whole) override {
    {
      std::lock_guard lock(this->mutex);
      if (this->done)
        return;
      this->done = true;
      this->response = whole;
    }
    this->changed.notify_all();
  }

  // The HTTP/1.1 port announces no streaming, so streams never begin.
  void BeginStream(std::string_view) override {}
  size_t SendChunk(std::string_view) override { return 0; }
  void EndStream() override {}

  WholeResponse Wait() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->done; });
    return this->response;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  WholeResponse response;
};

CallerInput InputOf(const cxxtools::http::Request& request, std::string body) {
  CallerInput input;
  input.method = request.method();
  input.path = request.url();
  if (!request.qparams().empty())
    input.path += "?" + request.qparams();
  input.body = std::move(body);
  for (const auto& field : request.header()) {
    std::string name = field.first;
    for (char& c : name) {
      if (c >= 'A' && c <= 'Z')
        c = static_cast<char>(c - 'A' + 'a');
    }
    input.headers.push_back({std::move(name), field.second});
  }
  return input;
}

}  // namespace

class Http1Port::Server : public cxxtools::http::Service {
 public:
  explicit Server(Http1Port& port)
      : port(port), http(this->loop, port.endpoint.ip, port.endpoint.port) {
    this->http.minThreads(kMinThreads);
    this->http.maxThreads(kMaxThreads);
    this->http.addService(cxxtools::Regex("^/"), *this);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Server() override {
    this->EndAll();
    this->loop.exit();
    this->thread.join();
  }

  WholeResponse Serve(CallerInput input) {
    auto pending = std::make_shared<PendingAnswer>();
    {
      std::lock_guard lock(this->mutex);
      if (this->closing)
        return ShuttingDown();
      this->waiting.insert(pending);
    }
    this->port.executor.Post([this_port = &this->port, pending,
                              request = std::move(input)]() mutable {
      if (this_port->pages.Serves(request.path)) {
        pending->SendWhole(this_port->pages.Page(request.method, request.path));
      } else {
        this_port->front.Handle(request, pending);
      }
    });
    WholeResponse response = pending->Wait();
    std::lock_guard lock(this->mutex);
    this->waiting.erase(pending);
    return response;
  }

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  static WholeResponse ShuttingDown() {
    return RefusalResponse(MakeRefusal(RefusalCode::kShuttingDown,
                                       RefusalOutcome::kNotRun,
                                       "this instance is shutting down"));
  }

  void Run() {
    try {
      this->loop.run();
    } catch (const std::exception& failure) {
      Error error{ErrorCode::kInternal, "http1 port", "", failure.what()};
      this->port.executor.Post([this_port = &this->port, error] {
        if (this_port->on_failed)
          this_port->on_failed(error);
      });
    }
  }

  // Requests that were handed to the core thread may have run.
  void EndAll() {
    std::lock_guard lock(this->mutex);
    this->closing = true;
    for (const auto& pending : this->waiting) {
      pending->SendWhole(RefusalResponse(
          MakeRefusal(RefusalCode::kShuttingDown, RefusalOutcome::kUnknown,
                      "this instance ended before the answer was complete")));
    }
  }

  Http1Port& port;
  std::mutex mutex;
  bool closing = false;
  std::set<std::shared_ptr<PendingAnswer>> waiting;
  cxxtools::EventLoop loop;
  cxxtools::http::Server http;
  std::thread thread;
};

namespace {

class PortResponder : public cxxtools::http::Responder {
 public:
  using Serve = std::function<WholeResponse(CallerInput)>;

  PortResponder(cxxtools::http::Service& service, Serve serve)
      : cxxtools::http::Responder(service), serve(std::move(serve)) {}

  std::size_t readBody(std::istream& in) override {
    std::streamsize available = in.rdbuf()->in_avail();
    if (available <= 0)
      return 0;
    std::string part(static_cast<size_t>(available), '\0');
    in.read(part.data(), available);
    auto count = static_cast<size_t>(in.gcount());
    if (this->body.size() + count <= kMaxBodyBytes)
      this->body.append(part, 0, count);
    else
      this->oversize = true;
    return count;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    WholeResponse response =
        this->oversize
            ? RefusalResponse(MakeRefusal(RefusalCode::kBodyTooLarge,
                                          RefusalOutcome::kNotRun,
                                          "body: is too large", "body"))
            : this->serve(InputOf(request, std::move(this->body)));
    reply.httpReturn(static_cast<unsigned>(response.status),
                     ReasonOf(response.status));
    reply.setHeader("Content-Type", response.content_type.c_str());
    if (!response.retry_after.empty())
      reply.setHeader("Retry-After", response.retry_after.c_str());
    out << response.body;
  }

 private:
  Serve serve;
  std::string body;
  bool oversize = false;
};

}  // namespace

cxxtools::http::Responder* Http1Port::Server::createResponder(
    const cxxtools::http::Request&) {
  return new PortResponder(*this, [this](CallerInput input) {
    return this->Serve(std::move(input));
  });
}

Http1Port::Http1Port(Endpoint endpoint,
                     Executor& executor,
                     CallerFront& front,
                     DaemonPages& pages)
    : endpoint(std::move(endpoint)),
      executor(executor),
      front(front),
      pages(pages) {}

Http1Port::~Http1Port() = default;

Result<void> Http1Port::Start() {
  try {
    this->server = std::make_unique<Server>(*this);
  } catch (const std::exception& error) {
    return MakeError(
        ErrorCode::kUnavailable, "http1_address",
        this->endpoint.ip + ":" + std::to_string(this->endpoint.port),
        error.what());
  }
  return {};
}

void Http1Port::Stop() {
  this->server.reset();
}

}  // namespace cranberryhill
