#include "standins/fake_platform/platform_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <array>
#include <istream>
#include <ostream>
#include <string>

#include "absl/time/clock.h"
#include "standins/fake_platform/shut_down_socket.h"

namespace cranberryhill {
namespace {

// Slow answers each hold a thread.
constexpr unsigned kMinThreads = 4;
constexpr unsigned kMaxThreads = 64;

class PlatformResponder : public cxxtools::http::Responder {
 public:
  PlatformResponder(cxxtools::http::Service& service, PlatformState& state)
      : Responder(service), state(state) {}

  void beginRequest(cxxtools::net::TcpSocket& new_socket,  // NOLINT
                    std::istream&,
                    cxxtools::http::Request&) override {
    this->socket = &new_socket;
  }

  size_t readBody(std::istream& in) override {  // NOLINT
    // cxxtools calls this once per arrival of data, so all of it is taken.
    size_t total = 0;
    while (in.rdbuf()->in_avail() > 0) {
      std::array<char, 4096> buffer;
      std::streamsize count = in.readsome(buffer.data(), buffer.size());
      this->body.append(buffer.data(), static_cast<size_t>(count));
      total += static_cast<size_t>(count);
    }
    return total;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    PlatformAnswer answer = this->state.Handle(
        {request.method(), request.url(), request.qparams(), this->body});
    this->body.clear();
    if (answer.delay > absl::ZeroDuration())
      absl::SleepFor(answer.delay);
    if (answer.lost)
      ShutDownSocket(*this->socket);
    reply.httpReturn(answer.status, answer.status == 200 ? "OK" : "Error");
    reply.setHeader("Content-Type", "application/json");
    out << answer.body;
  }

  void replyError(std::ostream& out,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& reply,
                  const std::exception& error) override {
    reply.httpReturn(500, "Internal Server Error");
    out << error.what();
  }

 private:
  PlatformState& state;
  cxxtools::net::TcpSocket* socket = nullptr;
  std::string body;
};

class PlatformService : public cxxtools::http::Service {
 public:
  explicit PlatformService(PlatformState& state) : state(state) {}

 protected:
  cxxtools::http::Responder* createResponder(  // NOLINT
      const cxxtools::http::Request&) override {
    return new PlatformResponder(*this, this->state);
  }
  void releaseResponder(cxxtools::http::Responder* responder)  // NOLINT
      override {
    delete responder;
  }

 private:
  PlatformState& state;
};

}  // namespace

class PlatformServer::Implementation {
 public:
  Implementation(const Endpoint& endpoint, PlatformState& state)
      : service(state), server(this->loop, endpoint.ip, endpoint.port) {
    this->server.minThreads(kMinThreads);
    this->server.maxThreads(kMaxThreads);
    this->server.addService(cxxtools::Regex("^/"), this->service);
  }

  cxxtools::EventLoop loop;
  PlatformService service;
  cxxtools::http::Server server;
};

PlatformServer::PlatformServer(const Endpoint& endpoint, PlatformState& state)
    : implementation(std::make_unique<Implementation>(endpoint, state)) {}

PlatformServer::~PlatformServer() = default;

void PlatformServer::Run() {
  this->implementation->loop.run();
}

void PlatformServer::Stop() {
  this->implementation->loop.exit();
}

}  // namespace cranberryhill
