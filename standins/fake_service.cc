// A plain service for tests and experiments. Any path is a call; GET /calls
// counts the runs per Idempotency-Key; POST /faults sets the faults.
//
//   fake_service --port=9301
//   curl -d '{"lose_answers":true}' http://127.0.0.1:9301/faults

#include <sys/socket.h>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "Address to listen on.");
ABSL_FLAG(uint16_t, port, 9301, "TCP port to listen on.");
ABSL_FLAG(uint32_t, threads, 16, "Calls that can run at a time.");

namespace cranberryhill {
namespace {

using Json = nlohmann::json;

// A silent call holds its connection for so long at most.
constexpr std::chrono::seconds kMaxSilence(60);
constexpr int kMaxSlowMs = 60'000;

struct ServiceFaults {
  int slow_ms = 0;            // Added to each call before it runs.
  bool refuse = false;        // Answers 503 and does not run.
  bool lose_answers = false;  // Runs and closes without an answer.
  bool silent = false;        // Neither runs nor answers.
};

// The counted runs and the faults. Thread-safe.
class ServiceState {
 public:
  // Counts a run. @return How often the key has run.
  int Run(const std::string& key) {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->total;
    return ++this->runs[key];
  }

  Json Calls() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return {{"total", this->total}, {"runs", this->runs}};
  }

  ServiceFaults Faults() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->faults;
  }

  void SetFaults(const ServiceFaults& value) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->faults = value;
    }
    this->changed.notify_all();
  }

  // Returns when the service is no longer silent, or after kMaxSilence.
  void WaitWhileSilent() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, kMaxSilence,
                           [this] { return !this->faults.silent; });
  }

  // Returns after `ms`, or when the faults no longer ask for slowness.
  void WaitWhileSlow(int ms) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(ms),
                           [this] { return this->faults.slow_ms == 0; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  ServiceFaults faults;
  std::map<std::string, int> runs;
  int total = 0;
};

// Fields that are left out are off. @return An error, or an empty string.
std::string ParseFaults(const std::string& body, ServiceFaults& faults) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    return "body: must be an object";
  for (const auto& item : json.items()) {
    const Json& value = item.value();
    if (item.key() == "slow_ms") {
      if (!value.is_number_unsigned() || value > kMaxSlowMs)
        return "slow_ms: must be an integer from 0 to 60000";
      faults.slow_ms = value;
      continue;
    }
    bool* field = item.key() == "refuse"         ? &faults.refuse
                  : item.key() == "lose_answers" ? &faults.lose_answers
                  : item.key() == "silent"       ? &faults.silent
                                                 : nullptr;
    if (field == nullptr)
      return item.key() + ": is not a known field";
    if (!value.is_boolean())
      return item.key() + ": must be true or false";
    *field = value;
  }
  return "";
}

class ServiceResponder : public cxxtools::http::Responder {
 public:
  ServiceResponder(cxxtools::http::Service& service, ServiceState& state)
      : Responder(service), state(state) {}

  void beginRequest(cxxtools::net::TcpSocket& new_socket,  // NOLINT
                    std::istream& in,
                    cxxtools::http::Request& request) override {
    this->socket = &new_socket;
    Responder::beginRequest(new_socket, in, request);
  }

  void reply(std::ostream& out,  // NOLINT
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    reply.setHeader("Content-Type", "application/json");
    if (request.url() == "/calls") {
      out << this->state.Calls().dump();
    } else if (request.url() == "/faults" && request.method() == "POST") {
      this->ReplyToFaults(out, request, reply);
    } else {
      this->ReplyToCall(out, request, reply);
    }
  }

 private:
  void ReplyToFaults(std::ostream& out,
                     cxxtools::http::Request& request,
                     cxxtools::http::Reply& reply) {
    ServiceFaults faults;
    std::string error = ParseFaults(request.bodyStr(), faults);
    if (error.empty()) {
      this->state.SetFaults(faults);
      out << "{}";
    } else {
      reply.httpReturn(400, "Bad Request");
      out << Json{{"error", error}}.dump();
    }
  }

  void ReplyToCall(std::ostream& out,
                   cxxtools::http::Request& request,
                   cxxtools::http::Reply& reply) {
    ServiceFaults faults = this->state.Faults();
    if (faults.slow_ms > 0)
      this->state.WaitWhileSlow(faults.slow_ms);
    if (faults.silent) {
      this->state.WaitWhileSilent();
      this->CloseConnection();
      return;
    }
    if (faults.refuse) {
      reply.httpReturn(503, "Service Unavailable");
      out << Json{{"error", "refused"}}.dump();
      return;
    }
    const char* key = request.getHeader("Idempotency-Key");
    std::string name = key == nullptr ? "" : key;
    int run = this->state.Run(name);
    if (faults.lose_answers) {
      this->CloseConnection();
      return;
    }
    out << Json{{"key", name},
                {"run", run},
                {"path", request.url()},
                {"body_bytes", request.bodySize()}}
               .dump();
  }

  void CloseConnection() { ::shutdown(this->socket->getFd(), SHUT_RDWR); }

  ServiceState& state;
  cxxtools::net::TcpSocket* socket = nullptr;
};

class FakeService : public cxxtools::http::CachedServiceBase {
 public:
  explicit FakeService(ServiceState& state) : state(state) {}

 private:
  cxxtools::http::Responder* newResponder() override {  // NOLINT
    return new ServiceResponder(*this, this->state);
  }

  ServiceState& state;
};

}  // namespace
}  // namespace cranberryhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  cranberryhill::ServiceState state;
  cranberryhill::FakeService service(state);
  cxxtools::EventLoop loop;
  cxxtools::http::Server server(loop, absl::GetFlag(FLAGS_ip),
                                absl::GetFlag(FLAGS_port));
  server.minThreads(absl::GetFlag(FLAGS_threads));
  server.maxThreads(absl::GetFlag(FLAGS_threads));
  server.addService(cxxtools::Regex(".*"), service);
  std::printf("fake_service listens on %s:%u\n",
              absl::GetFlag(FLAGS_ip).c_str(), absl::GetFlag(FLAGS_port));
  std::fflush(stdout);
  loop.run();
  return 0;
}
