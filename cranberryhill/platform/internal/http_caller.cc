#include "cranberryhill/platform/internal/http_caller.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/platform/internal/connect_probe.h"

namespace cranberryhill {
namespace {

// As many as a platform pool has threads; more are closed after their call.
constexpr size_t kMaxIdleConnections = 4;

// cxxtools waits without end for a negative timeout.
constexpr absl::Duration kMinTimeout = absl::Milliseconds(1);

/// A call that is waiting for its answer.
class PendingCall {
 public:
  PendingCall(HttpCall call, HttpCallback callback)
      : call(std::move(call)),
        deadline(BootClock().Now() + this->call.timeout),
        callback(std::move(callback)) {}

  /// Worker thread: @return False when the core thread has given the call up,
  /// so that nothing may be sent any more.
  bool BeginSending() {
    Stage expected = Stage::kWaiting;
    return this->stage.compare_exchange_strong(expected, Stage::kSending);
  }

  bool IsLate() const { return BootClock().Now() >= this->deadline; }

  /// @return Milliseconds until the deadline, above 0.
  double TimeoutMs() const {
    return absl::ToDoubleMilliseconds(
        std::max(kMinTimeout, this->deadline - BootClock().Now()));
  }

  /// Core thread.
  void OnDeadline() {
    Stage expected = Stage::kWaiting;
    bool prevented =
        this->stage.compare_exchange_strong(expected, Stage::kGivenUp);
    this->Finish(
        {prevented ? HttpCallState::kNotSent : HttpCallState::kNoAnswer, 0, "",
         "no answer in time"});
  }

  /// Core thread. Only the first answer counts.
  void Finish(const HttpAnswer& answer) {
    if (!this->callback)
      return;
    HttpCallback taken = std::move(*this->callback);
    this->callback.reset();
    taken(answer);
  }

  const HttpCall call;

 private:
  enum class Stage { kWaiting, kSending, kGivenUp };

  const absl::Time deadline;
  std::atomic<Stage> stage = Stage::kWaiting;
  std::optional<HttpCallback> callback;
};

}  // namespace

/// The connections to one server, shared by the worker threads.
class HttpCaller::Connections {
 public:
  explicit Connections(const Endpoint& endpoint) : endpoint(endpoint) {}

  /// Worker thread. @return Nothing when the call was given up.
  std::optional<HttpAnswer> Run(PendingCall& pending) {
    if (pending.IsLate())
      return std::nullopt;
    // A connection of its own tells whether anything can be sent.
    // Client::connect() before execute() is no alternative: when the answer is
    // lost, the client connects again and sends the request a second time.
    if (!pending.call.repeatable) {
      if (auto refused = FindConnectError(
              this->endpoint.ip, this->endpoint.port, pending.TimeoutMs()))
        return HttpAnswer{HttpCallState::kNotSent, 0, "", *refused};
    }
    if (!pending.BeginSending())
      return std::nullopt;
    try {
      return this->Exchange(pending);
    } catch (const std::exception& error) {
      // The other connections to a server that fails may be silent as well.
      std::lock_guard lock(this->mutex);
      this->idle.clear();
      return HttpAnswer{HttpCallState::kNoAnswer, 0, "", error.what()};
    }
  }

 private:
  using ClientPointer = std::unique_ptr<cxxtools::http::Client>;

  HttpAnswer Exchange(const PendingCall& pending) {
    const HttpCall& call = pending.call;
    ClientPointer client = this->Take(call.repeatable);
    cxxtools::http::Request request;
    size_t query = call.path.find('?');
    request.url(call.path.substr(0, query));
    if (query != std::string::npos)
      request.qparams(call.path.substr(query + 1));
    request.method(call.method);
    request.setHeader("Content-Type", "application/json");
    request.body() << call.body;
    cxxtools::Milliseconds timeout(pending.TimeoutMs());
    client->execute(request, timeout, timeout);
    const cxxtools::http::Reply& reply = client->readBody();
    HttpAnswer answer{HttpCallState::kAnswered, reply.httpReturnCode(),
                      reply.body(), ""};
    if (call.repeatable)
      this->Keep(std::move(client));
    return answer;
  }

  ClientPointer Take(bool reuse) {
    if (reuse) {
      std::lock_guard lock(this->mutex);
      if (!this->idle.empty()) {
        ClientPointer client = std::move(this->idle.back());
        this->idle.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<cxxtools::http::Client>();
    client->prepareConnect(this->endpoint.ip, this->endpoint.port);
    return client;
  }

  void Keep(ClientPointer client) {
    std::lock_guard lock(this->mutex);
    if (this->idle.size() < kMaxIdleConnections)
      this->idle.push_back(std::move(client));
  }

  const Endpoint endpoint;
  std::mutex mutex;
  std::vector<ClientPointer> idle;
};

HttpCaller::HttpCaller(const Endpoint& endpoint,
                       WorkerPool& pool,
                       Executor& executor)
    : connections(std::make_shared<Connections>(endpoint)),
      pool(pool),
      executor(executor) {}

HttpCaller::~HttpCaller() = default;

void HttpCaller::Call(HttpCall call, HttpCallback callback) {
  auto pending =
      std::make_shared<PendingCall>(std::move(call), std::move(callback));
  bool accepted = this->pool.Submit(
      [connections = this->connections, pending, &executor = this->executor] {
        auto answer = connections->Run(*pending);
        if (answer) {
          executor.Post([pending, answer = std::move(*answer)] {
            pending->Finish(answer);
          });
        }
      });
  if (!accepted) {
    this->executor.Post([pending] {
      pending->Finish({HttpCallState::kNotSent, 0, "", "too many calls wait"});
    });
    return;
  }
  this->executor.RunAfter(pending->call.timeout,
                          [pending] { pending->OnDeadline(); });
}

}  // namespace cranberryhill
