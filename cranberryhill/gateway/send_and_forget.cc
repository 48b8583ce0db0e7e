#include "cranberryhill/gateway/send_and_forget.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Keeps itself alive until the exchange has ended.
class DroppedAnswer : public http1::AnswerHandler {
 public:
  static void Start(std::shared_ptr<http1::ClientConnection> link,
                    std::string request) {
    auto handler = std::make_shared<DroppedAnswer>();
    handler->self = handler;
    handler->link = std::move(link);
    handler->link->Send(std::move(request), {}, *handler);
  }

  bool IsOwnAnswer(const http1::AnswerHead&) override { return true; }
  void OnHead(http1::AnswerHead) override {}
  void OnBody(std::string_view) override {}
  void OnEnd(http1::AnswerEnd, std::string_view) override {
    auto keep = std::move(this->self);
    this->link->Cancel();
  }

 private:
  std::shared_ptr<DroppedAnswer> self;
  std::shared_ptr<http1::ClientConnection> link;
};

}  // namespace

void SendAndForget(std::shared_ptr<http1::ClientConnection> link,
                   std::string request) {
  DroppedAnswer::Start(std::move(link), std::move(request));
}

}  // namespace cranberryhill::gateway
