#include "cranberryhill/platform/internal/http_caller.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/blocking_http/blocking_socket.h"
#include "cranberryhill/blocking_http/http_response_reader.h"

namespace cranberryhill {
namespace {

// As many as a platform pool has threads; more are closed after their call.
constexpr size_t kMaxIdleConnections = 4;

constexpr size_t kReadBytes = 16384;

// Bounds what a faulty platform can make a worker thread keep; the largest
// answers are those of the object store.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

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

  absl::Duration TimeLeft() const { return this->deadline - BootClock().Now(); }

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
    SocketPointer socket = pending.call.repeatable ? this->TakeIdle() : nullptr;
    bool reused = socket != nullptr;
    if (!reused)
      socket = this->Connect(pending);
    if (socket == nullptr)
      return HttpAnswer{HttpCallState::kNotSent, 0, "", this->ConnectProblem()};
    if (!pending.BeginSending())
      return std::nullopt;
    ExchangeEnd end = this->Exchange(std::move(socket), pending);
    // The server may have closed the idle connection.
    if (reused && end.silent && !pending.IsLate()) {
      this->CloseIdle();
      socket = this->Connect(pending);
      if (socket == nullptr)
        end.answer.problem = this->ConnectProblem();
      else
        end = this->Exchange(std::move(socket), pending);
    }
    // The other connections to a server that fails may be silent as well.
    if (end.answer.state == HttpCallState::kNoAnswer)
      this->CloseIdle();
    return std::move(end.answer);
  }

 private:
  using SocketPointer = std::unique_ptr<BlockingSocket>;

  struct ExchangeEnd {
    HttpAnswer answer;
    bool silent = false;  ///< No byte of an answer has arrived.
  };

  std::string ConnectProblem() const {
    return fmt::format("cannot connect to {}:{}", this->endpoint.ip,
                       this->endpoint.port);
  }

  SocketPointer Connect(const PendingCall& pending) const {
    auto socket = std::make_unique<BlockingSocket>();
    if (!socket->Connect(this->endpoint.ip, this->endpoint.port,
                         pending.TimeLeft()))
      return nullptr;
    return socket;
  }

  ExchangeEnd Exchange(SocketPointer socket, const PendingCall& pending) {
    HttpResponseReader reader(kMaxAnswerBytes);
    auto complete = Capture([&]() -> Result<bool> {
      if (!Write(*socket, this->RequestText(pending.call), pending))
        return false;
      return ReadResponse(*socket, reader, pending);
    });
    if (!complete.ok() || !complete.value()) {
      std::string problem = complete.ok() ? "the connection ended or timed out"
                                          : complete.error().ToString();
      return {{HttpCallState::kNoAnswer, 0, "", std::move(problem)},
              reader.IsEmpty()};
    }
    socket->SetCloseMode(CloseMode::kOrderly);
    if (pending.call.repeatable && reader.KeepsAlive())
      this->Keep(std::move(socket));
    const HttpResponse& response = reader.result();
    return {{HttpCallState::kAnswered, static_cast<unsigned>(response.status),
             response.body, ""},
            false};
  }

  std::string RequestText(const HttpCall& call) const {
    return fmt::format(
               "{} {} HTTP/1.1\r\nHost: {}:{}\r\nConnection: keep-alive\r\n"
               "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
               call.method, call.path, this->endpoint.ip, this->endpoint.port,
               call.body.size()) +
           call.body;
  }

  static bool Write(BlockingSocket& socket,
                    std::string_view text,
                    const PendingCall& pending) {
    while (!text.empty() && !pending.IsLate()) {
      auto count = socket.Write(text, pending.TimeLeft());
      if (!count.has_value())
        return false;
      text.remove_prefix(*count);
    }
    return text.empty();
  }

  static Result<bool> ReadResponse(BlockingSocket& socket,
                                   HttpResponseReader& reader,
                                   const PendingCall& pending) {
    std::array<char, kReadBytes> chunk;
    while (!pending.IsLate()) {
      auto count = socket.Read(chunk.data(), chunk.size(), pending.TimeLeft());
      if (!count.has_value())
        return false;
      if (*count == 0)
        return reader.OnConnectionClosed();
      BOOST_LEAF_AUTO(complete, reader.Append({chunk.data(), *count}));
      if (complete)
        return true;
    }
    return false;
  }

  SocketPointer TakeIdle() {
    std::lock_guard lock(this->mutex);
    if (this->idle.empty())
      return nullptr;
    SocketPointer socket = std::move(this->idle.back());
    this->idle.pop_back();
    socket->SetCloseMode(CloseMode::kReset);
    return socket;
  }

  void Keep(SocketPointer socket) {
    std::lock_guard lock(this->mutex);
    if (this->idle.size() < kMaxIdleConnections)
      this->idle.push_back(std::move(socket));
  }

  void CloseIdle() {
    std::lock_guard lock(this->mutex);
    this->idle.clear();
  }

  const Endpoint endpoint;
  std::mutex mutex;
  std::vector<SocketPointer> idle;
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
