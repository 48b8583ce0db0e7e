#include "standins/gateway_platform/fake_platform_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/names.h"

namespace cranberryhill::platform {

std::vector<FakePlatformApi::UsageReport> FakePlatformApi::UsageReports()
    const {
  std::vector<UsageReport> reports;
  for (const Call& call : this->received) {
    const http1::RequestHead& head = call.request.head;
    if (head.method != "POST" || head.target != kUsagePath)
      continue;
    auto body = nlohmann::json::parse(call.request.body);
    reports.push_back(
        {body.at("window-number").get<int64_t>(),
         body.at("counts").get<usage::CustomerCounts>(),
         std::string(head.headers.Find(kDutyHolder).value_or("")),
         std::string(head.headers.Find(kFencingToken).value_or("")),
         call.status});
  }
  return reports;
}

std::shared_ptr<http1::ActiveRequest> FakePlatformApi::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  this->received.push_back({std::move(request), this->status});
  if (!this->status) {
    this->unanswered.push_back(std::move(responder));
    return nullptr;
  }
  http1::AnswerHead head;
  head.status = *this->status;
  responder->SendWhole(std::move(head), "");
  return nullptr;
}

}  // namespace cranberryhill::platform
