#ifndef CRANBERRYHILL_PLATFORM_INTERNAL_HTTP_CALLER_H_
#define CRANBERRYHILL_PLATFORM_INTERNAL_HTTP_CALLER_H_

// Runs blocking HTTP/1.1 calls on worker threads and reports on the core
// thread, in time and with what is known about the sending.
//
//   caller.Call({"POST", "/v1/read", body, absl::Seconds(1), true},
//               [](const HttpAnswer& answer) { ... });

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/executor.h"
#include "cranberryhill/base/worker_pool.h"

namespace cranberryhill {

struct HttpCall {
  std::string method;
  std::string path;  ///< With the query.
  std::string body;
  absl::Duration timeout;
  /// The call may be sent more than once: on an idle connection, and again if
  /// the server has closed that connection.
  bool repeatable = false;
};

enum class HttpCallState {
  kAnswered,
  kNotSent,   ///< Nothing was sent and nothing will be.
  kNoAnswer,  ///< The server may have received it, or may yet.
};

struct HttpAnswer {
  HttpCallState state = HttpCallState::kNoAnswer;
  unsigned status = 0;  ///< HTTP status; kAnswered only.
  std::string body;
  std::string problem;  ///< Why there is no answer.
};

using HttpCallback = std::function<void(const HttpAnswer&)>;

/// Used from the core thread only.
class HttpCaller {
 public:
  HttpCaller(const Endpoint& endpoint, WorkerPool& pool, Executor& executor);
  ~HttpCaller();

  /// Calls back on the core thread after this call, at the latest after the
  /// call's timeout.
  void Call(HttpCall call, HttpCallback callback);

 private:
  class Connections;

  std::shared_ptr<Connections> connections;
  WorkerPool& pool;
  Executor& executor;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PLATFORM_INTERNAL_HTTP_CALLER_H_
