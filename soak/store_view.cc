#include "soak/store_view.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace cranberryhill::soak {
namespace {

/// The row in which a gateway names its address for datagrams.
std::string RowKey(size_t gateway) {
  return "instance/" + GatewayId(gateway);
}

}  // namespace

std::string GatewayId(size_t index) {
  return fmt::format("entry-{}", index + 1);
}

class StoreView::ViewResponder : public http1::Responder {
 public:
  ViewResponder(const StoreView& view, std::shared_ptr<http1::Responder> target)
      : view(view), target(std::move(target)) {}

  void SendWhole(http1::AnswerHead head, std::string_view body) override {
    this->target->SendWhole(std::move(head), this->view.Rewrite(body));
  }
  void BeginStream(http1::AnswerHead head) override {
    this->target->BeginStream(std::move(head));
  }
  void SendPart(std::string_view data) override {
    this->target->SendPart(data);
  }
  void EndStream() override { this->target->EndStream(); }
  void Abort() override { this->target->Abort(); }

 private:
  const StoreView& view;
  const std::shared_ptr<http1::Responder> target;
};

std::shared_ptr<http1::ActiveRequest> StoreView::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  return this->store.OnRequest(
      std::move(request),
      std::make_shared<ViewResponder>(*this, std::move(responder)));
}

std::string StoreView::Rewrite(std::string_view page) const {
  if (page.find("\"instance/") == std::string_view::npos)
    return std::string(page);
  auto json = nlohmann::json::parse(page);
  for (auto& row : json["rows"]) {
    for (size_t other = 0; other < this->peers.instances(); ++other) {
      if (other != this->gateway && row.contains("value") &&
          row["key"] == RowKey(other)) {
        row["value"] =
            absl::Base64Escape(this->peers.Address(this->gateway, other));
      }
    }
  }
  return json.dump();
}

}  // namespace cranberryhill::soak
