#include "cranberryhill/gateway/send_and_forget.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Ignores an answer and keeps itself alive until the answer has ended.
class AnswerDiscarder : public http1::AnswerHandler {
 public:
  static void Start(std::shared_ptr<http1::ClientConnection> connection,
                    std::string request) {
    auto handler = std::make_shared<AnswerDiscarder>();
    handler->self = handler;
    handler->connection = std::move(connection);
    handler->connection->Send(std::move(request), {}, *handler);
  }

  bool IsOwnAnswer(const http1::AnswerHead&) override { return true; }
  void OnHead(http1::AnswerHead) override {}
  void OnBody(std::string_view) override {}
  void OnEnd(http1::AnswerEnd, std::string_view) override {
    auto last_reference = std::move(this->self);
    this->connection->Cancel();
  }

 private:
  std::shared_ptr<AnswerDiscarder> self;
  std::shared_ptr<http1::ClientConnection> connection;
};

}  // namespace

void SendAndForget(std::shared_ptr<http1::ClientConnection> connection,
                   std::string request) {
  AnswerDiscarder::Start(std::move(connection), std::move(request));
}

}  // namespace cranberryhill::gateway
