#ifndef CRANBERRYHILL_STORE_SERIAL_HTTP_CLIENT_H_
#define CRANBERRYHILL_STORE_SERIAL_HTTP_CLIENT_H_

// HTTP client for one server. Makes one call at a time on a persistent
// connection and returns the complete answer.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/http1/client.h"
#include "cranberryhill/store/answer_deadline.h"
#include "cranberryhill/store/http_caller.h"

namespace cranberryhill::gateway {

/// Not thread-safe. At most one call may be in progress.
class SerialHttpClient : public HttpCaller, public http1::AnswerHandler {
 public:
  /// @param io, clock Must outlive this object.
  SerialHttpClient(boost::asio::io_context& io,
                   boost::asio::ip::tcp::endpoint endpoint,
                   const Clock& clock,
                   absl::Duration connect_timeout = absl::Seconds(1));
  ~SerialHttpClient() override;

  void Call(const http1::OutgoingRequest& request,
            absl::Duration timeout,
            Callback done) override;
  void Cancel() override;
  bool IsReceiving() const override {
    return this->done != nullptr && this->answer.status != 0;
  }
  size_t received_bytes() const override {  // NOLINT
    return this->answer.body.size();
  }

  http1::AnswerMatch Match(const http1::AnswerHead&) override {
    return http1::AnswerMatch::kOwn;
  }
  void OnHead(http1::AnswerHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override;

 private:
  void AwaitDeadline();
  void Finish(HttpResult answer);

  boost::asio::io_context& io;
  const boost::asio::ip::tcp::endpoint endpoint;
  const Clock& clock;
  const absl::Duration connect_timeout;
  boost::asio::steady_timer timer;
  AnswerDeadline deadline;
  std::shared_ptr<http1::ClientConnection> connection;
  Callback done;
  HttpResult answer;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_SERIAL_HTTP_CLIENT_H_
