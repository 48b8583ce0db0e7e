#ifndef CRANBERRYHILL_GATEWAY_CALL_CLIENT_H_
#define CRANBERRYHILL_GATEWAY_CALL_CLIENT_H_

// Calls to one server whose answers are taken whole, one at a time on a kept
// connection.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Result of a call. Status 0: no answer; a write may have taken effect.
struct CallAnswer {
  int status = 0;
  std::string body;
  std::string reason;  ///< Why there is no answer.
  bool sent = true;    ///< False when no connection could be made.
};

/// Not thread-safe; at most one call in progress.
class CallClient : public http1::AnswerHandler {
 public:
  using Callback = std::function<void(CallAnswer)>;

  /// @param io Must outlive this object.
  CallClient(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint endpoint,
             absl::Duration connect_timeout = absl::Seconds(1));
  ~CallClient() override;

  /// @param timeout Ends the call and its connection.
  /// @param done Called once, unless this object is destroyed before.
  void Call(const http1::OutgoingRequest& request,
            absl::Duration timeout,
            Callback done);

  /// Ends the call in progress without calling back.
  void Cancel();

  bool IsOwnAnswer(const http1::AnswerHead&) override { return true; }
  void OnHead(http1::AnswerHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override;

 private:
  void Finish(CallAnswer answer);

  boost::asio::io_context& io;
  const boost::asio::ip::tcp::endpoint endpoint;
  const absl::Duration connect_timeout;
  boost::asio::steady_timer timer;
  std::shared_ptr<http1::ClientConnection> connection;
  Callback done;
  CallAnswer answer;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_CALL_CLIENT_H_
