// The part of Exchange that concerns the shutdown of the instance.

#include <utility>

#include "cranberryhill/gateway/exchange.h"

namespace cranberryhill::gateway {
namespace {

constexpr int kGatewayTimeout = 504;

}  // namespace

/// @return True if the request has not run and is not to be sent to a replica,
///     because it may still run when the process ends.
bool Exchange::OutlastsShutdown() const {
  return !this->stream_started && !this->attempt_policy.MayHaveRun() &&
         !this->context.shutdown_admission.MayTake(
             this->route.name, this->request.arrived, this->deadline);
}

void Exchange::OnShutdownEnds() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  bool certainly_not_run =
      this->phase != Phase::kRunning && !this->attempt_policy.MayHaveRun();
  if (this->connection != nullptr)
    this->connection->Cancel();
  this->EndSend();
  this->ReleaseCache();
  if (certainly_not_run)
    return this->Refuse("shutdown", kRetryAfterShutdown);
  this->AnswerWithError(kGatewayTimeout, "shutdown");
}

}  // namespace cranberryhill::gateway
