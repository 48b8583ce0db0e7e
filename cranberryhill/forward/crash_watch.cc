#include "cranberryhill/forward/crash_watch.h"

#include <utility>

namespace cranberryhill::forward {
namespace {

/// A replica that crashed is back after some seconds, so one that cannot be
/// reached within this time after a broken answer has crashed.
constexpr absl::Duration kConfirmWithin = absl::Seconds(2);
/// Broken answers remembered for one replica.
constexpr size_t kMaxBroken = 64;

}  // namespace

void CrashWatch::OnBroken(std::string_view replica,
                          uint64_t fingerprint,
                          absl::Time started) {
  absl::Time now = this->clock.Now();
  std::vector<Broken>& list = this->broken[std::string(replica)];
  std::erase_if(list, [now](const Broken& entry) {
    return now - entry.at > kConfirmWithin;
  });
  if (list.size() < kMaxBroken)
    list.push_back({{fingerprint, started, false}, now});
}

size_t CrashWatch::OnUnreachable(std::string_view replica) {
  auto found = this->broken.find(std::string(replica));
  if (found == this->broken.end())
    return 0;
  std::vector<Broken> list = std::move(found->second);
  this->broken.erase(found);
  absl::Time now = this->clock.Now();
  std::vector<CrashedStream> streams;
  for (const Broken& entry : list) {
    if (now - entry.at <= kConfirmWithin)
      streams.push_back(entry.stream);
  }
  return this->guard.OnEngineCrashed(streams, now);
}

}  // namespace cranberryhill::forward
