#include "cranberryhill/gateway/local_stream_versions.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// A caller takes a stream up within the time that it has left, which is below
/// this.
constexpr absl::Duration kKeepTime = absl::Seconds(30);
/// Limits the memory that streams occupy; further ones displace the oldest.
constexpr size_t kMaxRecords = 100'000;

/// A service's name holds no line feed, since it is part of a header.
std::string KeyOf(std::string_view service, std::string_view attempt_id) {
  return fmt::format("{}\n{}", service, attempt_id);
}

}  // namespace

void LocalStreamVersions::OnStreamBegan(std::string_view service,
                                        std::string_view attempt_id,
                                        std::string_view version) {
  if (attempt_id.empty())
    return;
  std::string key = KeyOf(service, attempt_id);
  absl::Time now = this->clock.Now();
  this->streams[key] = {std::string(version), now};
  this->records.push_back({std::move(key), now});
  this->DropOld();
}

void LocalStreamVersions::Find(std::string_view service,
                               std::string_view attempt_id,
                               Callback done) {
  this->DropOld();
  auto found = this->streams.find(KeyOf(service, attempt_id));
  if (found != this->streams.end())
    return done(found->second.version);
  std::set<std::string> versions =
      this->replicas.RecentSoftwareVersions(service);
  if (versions.size() != 1)
    return done(std::nullopt);
  done(*versions.begin());
}

void LocalStreamVersions::DropOld() {
  absl::Time now = this->clock.Now();
  while (!this->records.empty() &&
         (this->records.size() > kMaxRecords ||
          now - this->records.front().recorded_at >= kKeepTime)) {
    auto found = this->streams.find(this->records.front().key);
    // A stream that was recorded again has a later record.
    if (found != this->streams.end() &&
        found->second.recorded_at <= this->records.front().recorded_at)
      this->streams.erase(found);
    this->records.pop_front();
  }
}

}  // namespace cranberryhill::gateway
