#ifndef CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_
#define CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_

// Sends calls to the backend servers of services over HTTP/1.1, on worker
// threads.
//
//   ServiceClient client({}, clock, directory, pool, executor);
//   client.SendOnce(call, may_send, callback);  // Runs the call at most once.
//   client.SendIdempotent(call, callback);      // May retry the call.

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
#include "cranberryhill/calls/call_retry_budget.h"
#include "cranberryhill/calls/call_sender.h"

namespace cranberryhill {

/// The address of a backend server.
struct ServiceAddress {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const ServiceAddress&) const = default;
};

/// Looks up the backend servers of services. Used on the core thread only.
class ServiceDirectory {
 public:
  virtual ~ServiceDirectory() = default;

  /// @return The backend servers of `service` that accept calls, in order of
  /// preference.
  virtual std::vector<ServiceAddress> Candidates(
      std::string_view service) const = 0;
};

struct ServiceClientConfig {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Maximum time from the established connection to the complete response. The
  /// call's deadline applies if it is earlier.
  absl::Duration answer_timeout = absl::Seconds(30);
  /// Maximum size of the response body.
  size_t max_answer_bytes = 4U << 20U;
  size_t max_attempts = 3;  ///< Backend servers tried for each call.
  CallRetryBudgetConfig retry_budget;
};

/// Used on the core thread only; blocking work runs on the pool. The executor's
/// Post() and the clock's Now() must be thread-safe.
class ServiceClient : public CallSender {
 public:
  /// All references must outlive this object, and the pool's jobs must have
  /// ended before the clock and the executor are destroyed. The callback of a
  /// call that ends after the destruction of this object does not run.
  ServiceClient(ServiceClientConfig config,
                const Clock& clock,
                const ServiceDirectory& directory,
                WorkerPool& pool,
                Executor& executor);
  ~ServiceClient() override;

  ServiceClient(const ServiceClient&) = delete;
  ServiceClient& operator=(const ServiceClient&) = delete;

  /// Tries the next backend server only after a failed connect, when no byte
  /// has been sent.
  void SendOnce(const ServiceCall& call,
                MaySend may_send,
                SendCallback callback) override;

  /// Tries the next backend server after any failure or a status of 502, 503 or
  /// 504, as long as the deadline and the retry budget allow it. Passes the
  /// last response to `callback`, or a refusal whose outcome is kNotRun if
  /// nothing was sent and kUnknown otherwise.
  void SendIdempotent(const ServiceCall& call, CallCallback callback);

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_SERVICE_CLIENT_H_
