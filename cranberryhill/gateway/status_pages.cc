#include "cranberryhill/gateway/status_pages.h"

namespace cranberryhill::gateway {

std::shared_ptr<http1::ActiveRequest> StatusPages::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  const std::string& target = request.head.target;
  auto found = this->pages.find(target.substr(0, target.find('?')));
  if (found == this->pages.end()) {
    responder->SendWhole({404, "", {}}, "");
    return nullptr;
  }
  StatusPage page = found->second();
  http1::AnswerHead head;
  head.status = page.status;
  head.headers.Add("Content-Type", page.content_type);
  responder->SendWhole(std::move(head), page.body);
  return nullptr;
}

}  // namespace cranberryhill::gateway
