#ifndef CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_
#define CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_

// Sends calls to plain services over HTTP/1.1, on worker threads.
//
//   ServiceClient client({}, clock, directory, pool, executor);
//   client.SendOnce(call, may_send, callback);           // at most once
//   client.SendIdempotent(call, callback);               // may be retried

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/executor.h"
#include "cranberryhill/base/worker_pool.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_sender.h"
#include "cranberryhill/calls/retry_budget.h"

namespace cranberryhill {

/// Address of a backend server.
struct ServiceAddress {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const ServiceAddress&) const = default;
};

/// The backend servers of services. Core thread only.
class ServiceDirectory {
 public:
  virtual ~ServiceDirectory() = default;

  /// @return Servers of `service` that may get new work, best first.
  virtual std::vector<ServiceAddress> Candidates(
      std::string_view service) const = 0;
};

struct ServiceClientConfig {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// A silent backend server is given up after this, or at the deadline.
  absl::Duration answer_timeout = absl::Seconds(30);
  size_t max_answer_bytes = 4U << 20U;
  size_t max_attempts = 3;  ///< Backend servers tried per call.
  RetryBudgetConfig retry_budget;
};

/// Core thread only; blocking work runs on the pool. The executor and the
/// clock must be thread-safe for Post() and Now().
class ServiceClient : public CallSender {
 public:
  /// All references must outlive this object, and the pool's jobs must have
  /// ended before the clock and the executor are destroyed. Callbacks of calls
  /// that end after the destruction of this object are dropped.
  ServiceClient(ServiceClientConfig config,
                const Clock& clock,
                const ServiceDirectory& directory,
                WorkerPool& pool,
                Executor& executor);
  ~ServiceClient() override;

  ServiceClient(const ServiceClient&) = delete;
  ServiceClient& operator=(const ServiceClient&) = delete;

  /// Tries the next candidate only after a connect that failed, that is while
  /// no byte was sent.
  void SendOnce(const ServiceCall& call,
                MaySend may_send,
                SendCallback callback) override;

  /// Tries further candidates after any failure or a status of 502, 503 or
  /// 504, while the deadline and the retry budget allow. Answers the last
  /// result, or a refusal whose outcome is kNotRun when nothing was sent and
  /// kUnknown otherwise.
  void SendIdempotent(const ServiceCall& call, CallCallback callback);

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_
