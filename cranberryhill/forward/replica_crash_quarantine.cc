#include "cranberryhill/forward/replica_crash_quarantine.h"

#include <utility>

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
                                            uint64_t fingerprint,
                                            absl::Time started) {
  absl::Time now = this->clock.Now();
  std::vector<BrokenAnswer>& answers =
      this->broken_answers[std::string(replica)];
  std::erase_if(answers, [now](const BrokenAnswer& entry) {
    return now - entry.broken_at > kCrashConfirmationTime;
  });
  if (answers.size() < kMaxBrokenAnswers)
    answers.push_back({{fingerprint, started, false}, now});
}

size_t ReplicaCrashQuarantine::OnUnreachable(std::string_view replica) {
  auto found = this->broken_answers.find(std::string(replica));
  if (found == this->broken_answers.end())
    return 0;
  std::vector<BrokenAnswer> answers = std::move(found->second);
  this->broken_answers.erase(found);
  absl::Time now = this->clock.Now();
  std::vector<CrashedStream> streams;
  for (const BrokenAnswer& entry : answers) {
    if (now - entry.broken_at <= kCrashConfirmationTime)
      streams.push_back(entry.stream);
  }
  return this->quarantine.OnEngineCrashed(streams, now);
}

}  // namespace cranberryhill::forward
