// The part of Exchange that takes notice of what a replica says about the
// requests that it wants.

#include <fmt/format.h>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {

/// Records what the head of an answer says about its replica.
void Exchange::LearnFromHead(const ReplicaSend& send) {
  forward::Replica& replica = *send.Target();
  const ReplicaAnswerInfo& info = send.Info();
  // Another process may have answered at the address of the replica.
  if (info.wrong_instance)
    return;
  this->LearnLimit(send);
  const std::string& ignored = info.ignored_header;
  // A replica repeats its headers in each answer.
  if (!ignored.empty() && ignored != replica.ignored_header) {
    replica.ignored_header = ignored;
    this->context.log.Write(this->MakeLogEvent("replica_header_ignored")
                                .Add("replica", replica.entry.id)
                                .Add("header", ignored));
  }
  if (info.is_leaving && this->context.replica_notices.OnLeaving(replica)) {
    this->context.metrics.CountDecision("replica_leaving");
    this->context.notify_peers();
    this->context.log.Write(this->MakeLogEvent("replica_leaving")
                                .Add("replica", replica.entry.id)
                                .Add("outstanding", replica.outstanding));
  }
  if (info.retry_after &&
      this->context.replica_notices.OnTurnedAway(replica, *info.retry_after)) {
    this->context.metrics.CountDecision("replica_closed");
    this->context.log.Write(
        this->MakeLogEvent("replica_closed")
            .Add("replica", replica.entry.id)
            .Add("retry_after_ms", *info.retry_after)
            .Add("closed_ms", replica.closed_until - this->Now())
            .Add("outstanding", replica.outstanding));
  }
}

void Exchange::LearnLimit(const ReplicaSend& send) {
  const forward::Replica& replica = *send.Target();
  std::optional<double> limit = send.Info().requests_per_s;
  if (!this->context.replica_limits.OnAnswer(replica.entry.id, limit))
    return;
  this->context.notify_peers();
  this->context.log.Write(
      this->MakeLogEvent("replica_limit_changed")
          .Add("replica", replica.entry.id)
          .Add("requests_per_s", limit ? fmt::format("{}", *limit) : "none")
          .Add("outstanding", replica.outstanding));
}

}  // namespace cranberryhill::gateway
