#include "cranberryhill/forward/replica_crash_quarantine.h"

#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// A replica that refuses a connection within this time after a broken answer
/// counts as crashed: a crashed replica does not accept connections again for
/// some seconds.
constexpr absl::Duration kCrashConfirmationTime = absl::Seconds(2);
/// Number of broken answers that are kept for one replica.
constexpr size_t kMaxBrokenAnswers = 64;

}  // namespace

void ReplicaCrashQuarantine::OnBrokenAnswer(std::string_view replica,
                                            BrokenSend send) {
  absl::Time now = this->clock.Now();
  std::vector<BrokenAnswer>& answers =
      this->broken_answers[std::string(replica)];
  std::erase_if(answers, [now](const BrokenAnswer& entry) {
    return now - entry.broken_at > kCrashConfirmationTime;
  });
  if (answers.size() < kMaxBrokenAnswers)
    answers.push_back({std::move(send), now});
}

CrashFindings ReplicaCrashQuarantine::OnUnreachable(std::string_view replica) {
  CrashFindings findings;
  auto found = this->broken_answers.find(std::string(replica));
  if (found == this->broken_answers.end())
    return findings;
  std::vector<BrokenAnswer> answers = std::move(found->second);
  this->broken_answers.erase(found);
  absl::Time now = this->clock.Now();
  std::vector<CrashedStream> streams;
  for (const BrokenAnswer& entry : answers) {
    if (now - entry.broken_at > kCrashConfirmationTime)
      continue;
    const BrokenSend& send = entry.send;
    streams.push_back({send.fingerprint, send.started, false});
    if (!send.begun_prompt)
      continue;
    std::vector<uint64_t> parts = this->part_quarantine.OnCrash(
        {StableHash(replica), entry.broken_at}, {&*send.begun_prompt, 1});
    findings.quarantined_parts.insert(findings.quarantined_parts.end(),
                                      parts.begin(), parts.end());
  }
  findings.suspects = this->quarantine.OnEngineCrashed(streams, now);
  return findings;
}

}  // namespace cranberryhill::forward
