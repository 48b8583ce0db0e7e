#include "cranberryhill/store/send_and_forget.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// A replica that is unreachable or sends bytes without end must not keep the
/// connection for good.
constexpr std::chrono::seconds kTimeLimit(2);

/// Ignores an answer and keeps itself alive until the answer has ended.
class AnswerDiscarder : public http1::AnswerHandler {
 public:
  AnswerDiscarder(boost::asio::io_context& io,
                  std::shared_ptr<http1::ClientConnection> connection)
      : timer(io), connection(std::move(connection)) {}

  void Start(const std::shared_ptr<AnswerDiscarder>& self,
             std::string request) {
    this->self = self;
    this->timer.expires_after(kTimeLimit);
    this->timer.async_wait([self](boost::system::error_code error) {
      if (!error)
        self->OnEnd(http1::AnswerEnd::kBroken, "time limit");
    });
    this->connection->Send(std::move(request), {}, *this);
  }

  http1::AnswerMatch Match(const http1::AnswerHead&) override {
    return http1::AnswerMatch::kOwn;
  }
  void OnHead(http1::AnswerHead) override {}
  void OnBody(std::string_view) override {}
  void OnEnd(http1::AnswerEnd, std::string_view) override {
    auto last_reference = std::move(this->self);
    this->timer.cancel();
    this->connection->Cancel();
  }

 private:
  boost::asio::steady_timer timer;
  std::shared_ptr<AnswerDiscarder> self;
  std::shared_ptr<http1::ClientConnection> connection;
};

}  // namespace

void SendAndForget(boost::asio::io_context& io,
                   std::shared_ptr<http1::ClientConnection> connection,
                   std::string request) {
  auto discarder = std::make_shared<AnswerDiscarder>(io, std::move(connection));
  discarder->Start(discarder, std::move(request));
}

}  // namespace cranberryhill::gateway
