// The part of Exchange that takes notice of what a replica says about the
// requests that it wants.

#include <fmt/format.h>

#include "cranberryhill/gateway/exchange.h"

namespace cranberryhill::gateway {

/// Records what the head of an answer says about its replica.
void Exchange::LearnFromHead() {
  // Another process may have answered at the address of the replica.
  if (this->answer_info.wrong_instance)
    return;
  this->LearnLimit();
  const std::string& ignored = this->answer_info.ignored_header;
  // A replica repeats its headers in each answer.
  if (!ignored.empty() && ignored != this->replica->ignored_header) {
    this->replica->ignored_header = ignored;
    this->context.log.Write(this->MakeLogEvent("replica_header_ignored")
                                .Add("replica", this->replica->entry.id)
                                .Add("header", ignored));
  }
  if (this->answer_info.is_leaving &&
      this->context.replica_notices.OnLeaving(*this->replica)) {
    this->context.metrics.CountDecision("replica_leaving");
    this->context.notify_peers();
    this->context.log.Write(
        this->MakeLogEvent("replica_leaving")
            .Add("replica", this->replica->entry.id)
            .Add("outstanding", this->replica->outstanding));
  }
  if (this->answer_info.retry_after &&
      this->context.replica_notices.OnTurnedAway(
          *this->replica, *this->answer_info.retry_after)) {
    this->context.metrics.CountDecision("replica_closed");
    this->context.log.Write(
        this->MakeLogEvent("replica_closed")
            .Add("replica", this->replica->entry.id)
            .Add("retry_after_ms", *this->answer_info.retry_after)
            .Add("closed_ms", this->replica->closed_until - this->Now())
            .Add("outstanding", this->replica->outstanding));
  }
}

void Exchange::LearnLimit() {
  std::optional<double> limit = this->answer_info.requests_per_s;
  if (!this->context.replica_limits.OnAnswer(this->replica->entry.id, limit))
    return;
  this->context.notify_peers();
  this->context.log.Write(
      this->MakeLogEvent("replica_limit_changed")
          .Add("replica", this->replica->entry.id)
          .Add("requests_per_s", limit ? fmt::format("{}", *limit) : "none")
          .Add("outstanding", this->replica->outstanding));
}

}  // namespace cranberryhill::gateway
