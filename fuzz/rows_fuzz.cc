// Table rows: the input is read as each kind of row; what parses is written
// out and parses again.

#include "cranberryhill/calls/internal/call_row.h"
#include "cranberryhill/environment/environment_rows.h"
#include "cranberryhill/lease/lease_record.h"
#include "cranberryhill/orders/drain_plan_record.h"
#include "cranberryhill/orders/engine_order.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

auto ParseLease(std::string_view text) {
  auto lease = ParseLeaseRecord(text);
  if (lease.ok()) {
    Check(lease.value().fencing_number >= 1 &&
              lease.value().term >= absl::Milliseconds(1),
          "a lease has a fencing number and a term");
  }
  return lease;
}

auto ParseOrder(std::string_view text) {
  auto order = ParseOrderRecord(text);
  if (order.ok()) {
    Check(order.value().order.fencing_number >= 1 &&
              order.value().order.order_number >= 1,
          "an order has a fencing number and an order number");
  }
  return order;
}

auto ParsePlan(std::string_view text) {
  auto plan = ParseDrainPlanRecord(text);
  if (plan.ok())
    Check(plan.value().plan_version >= 1, "plan versions start at 1");
  return plan;
}

auto ParseCall(std::string_view text) {
  auto call = Capture([&] { return DecodeCallRow(text); });
  if (call.ok()) {
    int status = call.value().result.status;
    Check(call.value().state != CallRowState::kDone ||
              (status >= 100 && status <= 999),
          "a call that is done has an HTTP status");
    Check(call.value().time_left >= absl::ZeroDuration(),
          "a time left is not negative");
  }
  return call;
}

template <typename F>
void CheckEnvironmentRow(std::string_view text, F* decode) {
  CheckRoundTrip(
      text,
      [decode](std::string_view value) {
        return Capture([&] { return decode(value, "row"); });
      },
      [](const auto& record) { return Encode(record); });
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  std::string_view text = TextOf(data, size);
  CheckRoundTrip(text, ParseLease, FormatLeaseRecord);
  CheckRoundTrip(text, ParseOrder, FormatOrderRecord);
  CheckRoundTrip(text, ParsePlan, FormatDrainPlanRecord);
  CheckRoundTrip(text, ParseCall, EncodeCallRow);
  CheckEnvironmentRow(text, DecodeHead);
  CheckEnvironmentRow(text, DecodeStage);
  CheckEnvironmentRow(text, DecodeDocument);
  CheckEnvironmentRow(text, DecodeAudit);
  CheckEnvironmentRow(text, DecodeOperation);
  return 0;
}
