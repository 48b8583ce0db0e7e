#include "cranberryhill/forward/peer_load_sync.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// Each prefix is sent in this many messages, because datagrams can get lost.
constexpr int kSendsPerPrefix = 2;
/// Limit on the prefixes of one message; it keeps a datagram below 8 KB.
constexpr size_t kMaxPrefixesPerMessage = 48;
/// A peer that sent nothing for this long, and for this many intervals between
/// messages, is removed. Between two messages of a live peer, one may get lost.
constexpr absl::Duration kMinPeerTimeout = absl::Seconds(1);
constexpr int kPeerTimeoutIntervals = 3;
/// A peer that sent nothing for this long counts as gone for good. Before, it
/// may be on the other side of a network partition.
constexpr absl::Duration kGoneAfter = absl::Minutes(1);
/// A peer that may poll the store within this time counts as if it polled.
/// Instances that were started together differ by less, so that they all see
/// the same few pollers.
constexpr absl::Duration kStartSkew = absl::Milliseconds(500);

/// Stands for the absence of a limit.
constexpr double kNoLimit = -1;

/// First element of every message; incremented when the format changes.
constexpr int kFormatVersion = 11;

/// @return Milliseconds, or -1 for an infinite duration.
int64_t EncodedAge(absl::Duration age) {
  return age == absl::InfiniteDuration() ? -1 : absl::ToInt64Milliseconds(age);
}

absl::Duration DecodedAge(int64_t ms) {
  return ms < 0 ? absl::InfiniteDuration() : absl::Milliseconds(ms);
}

/// @return `value` with the precision of a float, which is encoded in half the
///     bytes of a double.
double Rounded(double value) {
  return static_cast<float>(value);
}

nlohmann::json EncodePromptParts(const PromptPartReport& report) {
  using nlohmann::json;
  json crashes = json::array();
  for (const PartCrash& entry : report.crashes)
    crashes.push_back(
        {entry.part, entry.engine, EncodedAge(entry.age), entry.position});
  json quarantined = json::array();
  for (const QuarantinedPart& entry : report.quarantined)
    quarantined.push_back({entry.part, EncodedAge(entry.remaining)});
  return json::array({std::move(crashes), std::move(quarantined), report.sound,
                      absl::ToUnixMillis(report.sent_at)});
}

/// @throws nlohmann::json::exception when a field has the wrong type.
PromptPartReport DecodePromptParts(const nlohmann::json& fields) {
  using nlohmann::json;
  PromptPartReport report;
  for (const json& entry : fields.at(0)) {
    report.crashes.push_back(
        {entry.at(0).get<uint64_t>(), entry.at(1).get<uint64_t>(),
         DecodedAge(entry.at(2).get<int64_t>()), entry.at(3).get<uint32_t>()});
  }
  for (const json& entry : fields.at(1)) {
    report.quarantined.push_back(
        {entry.at(0).get<uint64_t>(), DecodedAge(entry.at(1).get<int64_t>())});
  }
  report.sound = fields.at(2).get<std::vector<uint64_t>>();
  report.sent_at = absl::FromUnixMillis(fields.at(3).get<int64_t>());
  return report;
}

nlohmann::json EncodeLimits(const std::vector<ReplicaLimitReport>& limits) {
  using nlohmann::json;
  json encoded = json::array();
  for (const ReplicaLimitReport& entry : limits) {
    encoded.push_back({entry.replica, entry.requests_per_s.value_or(kNoLimit),
                       EncodedAge(entry.age)});
  }
  return encoded;
}

/// @throws nlohmann::json::exception when a field has the wrong type.
std::vector<ReplicaLimitReport> DecodeLimits(const nlohmann::json& fields) {
  std::vector<ReplicaLimitReport> limits;
  for (const nlohmann::json& entry : fields) {
    auto rate = entry.at(1).get<double>();
    bool is_limited = std::isfinite(rate) && rate >= 0;
    limits.push_back({entry.at(0).get<std::string>(),
                      is_limited ? std::optional(rate) : std::nullopt,
                      DecodedAge(entry.at(2).get<int64_t>())});
  }
  return limits;
}

nlohmann::json EncodeLeaving(const std::vector<LeavingReport>& reports) {
  using nlohmann::json;
  json encoded = json::array();
  for (const LeavingReport& entry : reports) {
    encoded.push_back({entry.replica, entry.started_ms, EncodedAge(entry.age)});
  }
  return encoded;
}

/// @throws nlohmann::json::exception when a field has the wrong type.
std::vector<LeavingReport> DecodeLeaving(const nlohmann::json& fields) {
  std::vector<LeavingReport> reports;
  for (const nlohmann::json& entry : fields) {
    reports.push_back({entry.at(0).get<std::string>(),
                       entry.at(1).get<int64_t>(),
                       DecodedAge(entry.at(2).get<int64_t>())});
  }
  return reports;
}

}  // namespace

std::string EncodeLoadMessage(const LoadMessage& message) {
  using nlohmann::json;
  json engine_loads = json::array();
  for (const EngineLoadEntry& entry : message.engine_loads)
    engine_loads.push_back({entry.replica, entry.queued.on_time,
                            entry.queued.deferred, entry.queued.resumed,
                            entry.outstanding});
  json cached_prefixes = json::array();
  for (const CachedPrefix& entry : message.cached_prefixes) {
    json parts = json::array();
    for (const PromptPart& part : entry.parts)
      parts.push_back({part.id, part.tokens});
    cached_prefixes.push_back({entry.replica, std::move(parts)});
  }
  json crashes = json::array();
  for (const CrashEntry& entry : message.crashes)
    crashes.push_back({entry.fingerprint, entry.crashes});
  json engine_speeds = json::array();
  for (const EngineSpeedSummary& entry : message.engine_speeds) {
    engine_speeds.push_back({entry.service, Rounded(entry.observations),
                             Rounded(entry.prefill.intercept),
                             Rounded(entry.prefill.slope),
                             Rounded(entry.decode_engine_prefill_ratio),
                             Rounded(entry.first_event.intercept),
                             Rounded(entry.first_event.slope)});
  }
  std::string bytes;
  json::to_msgpack(json::array({kFormatVersion,
                                message.instance,
                                message.incarnation,
                                message.sequence,
                                engine_loads,
                                cached_prefixes,
                                message.engines_changing_role,
                                crashes,
                                message.table_versions,
                                message.partial,
                                engine_speeds,
                                message.unreachable_replicas,
                                EncodedAge(message.store_answer_age),
                                message.store_lost,
                                EncodePromptParts(message.prompt_parts),
                                EncodeLimits(message.replica_limits),
                                EncodedAge(message.may_poll_in),
                                EncodeLeaving(message.leaving_replicas),
                                message.availability_zone,
                                message.cut_off_services}),
                   bytes);
  return bytes;
}

Result<LoadMessage> DecodeLoadMessage(std::string_view bytes) {
  using nlohmann::json;
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  // The checked accessors throw when a field has the wrong type.
  try {
    if (fields.at(0).get<int>() != kFormatVersion) {
      return MakeError(ErrorCode::kInvalidArgument, "load message", "",
                       "has an unsupported format version");
    }
    LoadMessage message;
    message.instance = fields.at(1).get<std::string>();
    message.incarnation = fields.at(2).get<uint64_t>();
    message.sequence = fields.at(3).get<uint64_t>();
    for (const json& entry : fields.at(4)) {
      message.engine_loads.push_back(
          {entry.at(0).get<std::string>(),
           {entry.at(1).get<double>(), entry.at(2).get<double>(),
            entry.at(3).get<double>()},
           entry.at(4).get<int>()});
    }
    for (const json& entry : fields.at(5)) {
      CachedPrefix prefix{entry.at(0).get<std::string>(), {}};
      for (const json& part : entry.at(1)) {
        prefix.parts.push_back(
            {part.at(0).get<uint64_t>(), part.at(1).get<uint32_t>()});
      }
      message.cached_prefixes.push_back(std::move(prefix));
    }
    message.engines_changing_role =
        fields.at(6).get<std::vector<std::string>>();
    for (const json& entry : fields.at(7)) {
      message.crashes.push_back(
          {entry.at(0).get<uint64_t>(), entry.at(1).get<uint8_t>()});
    }
    message.table_versions = fields.at(8).get<std::vector<uint64_t>>();
    message.partial = fields.at(9).get<bool>();
    for (const json& entry : fields.at(10)) {
      message.engine_speeds.push_back(
          {entry.at(0).get<std::string>(),
           entry.at(1).get<double>(),
           {entry.at(2).get<double>(), entry.at(3).get<double>()},
           entry.at(4).get<double>(),
           {entry.at(5).get<double>(), entry.at(6).get<double>()}});
    }
    message.unreachable_replicas =
        fields.at(11).get<std::vector<std::string>>();
    message.store_answer_age = DecodedAge(fields.at(12).get<int64_t>());
    message.store_lost = fields.at(13).get<bool>();
    message.prompt_parts = DecodePromptParts(fields.at(14));
    message.replica_limits = DecodeLimits(fields.at(15));
    message.may_poll_in = DecodedAge(fields.at(16).get<int64_t>());
    message.leaving_replicas = DecodeLeaving(fields.at(17));
    // Messages of processes that were started before these fields existed lack
    // them.
    if (fields.size() > 19) {
      message.availability_zone = fields.at(18).get<std::string>();
      message.cut_off_services = fields.at(19).get<std::vector<std::string>>();
    }
    return message;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, "load message", "",
                     error.what());
  }
}

void PeerLoadSync::RecordPromptSent(std::string_view replica,
                                    const PromptDescription& prompt) {
  this->engines_sent_prompts.emplace(replica);
  if (prompt.parts.size() < 2)
    return;
  CachedPrefix prefix{std::string(replica),
                      {prompt.parts.begin(), prompt.parts.end() - 1}};
  this->pending_prefixes.push_back({std::move(prefix), kSendsPerPrefix});
}

LoadMessage PeerLoadSync::BuildFullMessage(
    const ReplicaSet& replicas,
    std::vector<std::string> engines_changing_role) {
  LoadMessage message = this->NewMessage();
  message.engines_changing_role = std::move(engines_changing_role);
  this->engines_sent_prompts.clear();
  for (const auto& replica : replicas.Registered()) {
    if (!replica->entry.role || replica->outstanding == 0)
      continue;
    message.engine_loads.push_back(
        {replica->entry.id, replica->queued, replica->outstanding});
  }
  this->AttachPendingPrefixes(message);
  return message;
}

LoadMessage PeerLoadSync::BuildPartialMessage(const ReplicaSet& replicas) {
  LoadMessage message = this->NewMessage();
  message.partial = true;
  for (const std::string& id : std::exchange(this->engines_sent_prompts, {})) {
    auto replica = replicas.Find(id);
    if (replica != nullptr)
      message.engine_loads.push_back(
          {id, replica->queued, replica->outstanding});
  }
  if (!message.engine_loads.empty())
    this->AttachPendingPrefixes(message);
  return message;
}

LoadMessage PeerLoadSync::NewMessage() {
  LoadMessage message;
  message.instance = this->instance;
  message.incarnation = this->incarnation;
  message.sequence = this->next_sequence++;
  return message;
}

void PeerLoadSync::AttachPendingPrefixes(LoadMessage& message) {
  for (size_t i = 0;
       i < std::min(kMaxPrefixesPerMessage, this->pending_prefixes.size());
       ++i) {
    message.cached_prefixes.push_back(this->pending_prefixes[i].prefix);
    --this->pending_prefixes[i].sends_left;
  }
  std::erase_if(this->pending_prefixes, [](const PendingPrefix& entry) {
    return entry.sends_left <= 0;
  });
}

bool PeerLoadSync::Merge(const LoadMessage& message, ReplicaSet& replicas) {
  if (message.instance == this->instance)
    return false;
  Peer& peer = this->peers_by_instance[message.instance];
  if (peer.incarnation == message.incarnation &&
      message.sequence <= peer.sequence)
    return false;
  peer.incarnation = message.incarnation;
  peer.sequence = message.sequence;
  peer.last_seen_at = this->clock.Now();
  this->last_seen_by_instance[message.instance] = peer.last_seen_at;
  if (!message.partial) {
    peer.store_lost = message.store_lost;
    peer.may_poll_from = peer.last_seen_at + message.may_poll_in;
  }
  if (message.partial)
    this->ReplaceListedLoads(peer, message.engine_loads, replicas);
  else
    this->ReplaceLoads(peer, message.engine_loads, replicas);
  for (const CachedPrefix& prefix : message.cached_prefixes) {
    auto replica = replicas.Find(prefix.replica);
    if (replica != nullptr)
      replica->prefix_cache.RecordParts(prefix.parts, peer.last_seen_at);
  }
  for (const std::string& replica : message.engines_changing_role)
    replicas.OnRoleChanging(replica);
  return true;
}

void PeerLoadSync::AddLoad(const EngineLoadEntry& entry,
                           int sign,
                           ReplicaSet& replicas) {
  auto replica = replicas.Find(entry.replica);
  if (replica == nullptr)
    return;
  replica->peer_queued.Add(PrefillLane::kResumed, sign * entry.queued.resumed);
  replica->peer_queued.Add(PrefillLane::kOnTime, sign * entry.queued.on_time);
  replica->peer_queued.Add(PrefillLane::kDeferred,
                           sign * entry.queued.deferred);
  replica->peer_outstanding =
      std::max(0, replica->peer_outstanding + sign * entry.outstanding);
}

void PeerLoadSync::ReplaceLoads(Peer& peer,
                                std::vector<EngineLoadEntry> engine_loads,
                                ReplicaSet& replicas) {
  for (const EngineLoadEntry& entry : peer.engine_loads)
    this->AddLoad(entry, -1, replicas);
  for (const EngineLoadEntry& entry : engine_loads)
    this->AddLoad(entry, 1, replicas);
  peer.engine_loads = std::move(engine_loads);
}

void PeerLoadSync::ReplaceListedLoads(
    Peer& peer,
    std::span<const EngineLoadEntry> engine_loads,
    ReplicaSet& replicas) {
  for (const EngineLoadEntry& entry : engine_loads) {
    auto previous = std::find_if(
        peer.engine_loads.begin(), peer.engine_loads.end(),
        [&entry](const auto& old) { return old.replica == entry.replica; });
    if (previous == peer.engine_loads.end())
      previous = peer.engine_loads.insert(
          previous, EngineLoadEntry{entry.replica, {}, 0});
    this->AddLoad(*previous, -1, replicas);
    this->AddLoad(entry, 1, replicas);
    *previous = entry;
  }
}

void PeerLoadSync::RemoveSilentPeers(ReplicaSet& replicas,
                                     absl::Duration interval) {
  absl::Time now = this->clock.Now();
  absl::Duration timeout =
      std::max(kMinPeerTimeout, interval * kPeerTimeoutIntervals);
  absl::erase_if(this->peers_by_instance, [&](auto& item) {
    if (now - item.second.last_seen_at < timeout)
      return false;
    this->ReplaceLoads(item.second, {}, replicas);
    return true;
  });
  absl::erase_if(this->last_seen_by_instance, [now](const auto& item) {
    return now - item.second >= kGoneAfter;
  });
}

std::vector<std::string> PeerLoadSync::LivePeers() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peers_by_instance)
    names.push_back(name);
  return names;
}

std::string PeerLoadSync::OwnerOf(std::string_view key) const {
  uint64_t seed = StableHash(key);
  auto rank = [seed](std::string_view name) {
    return std::pair(StableHash(name, seed), name);
  };
  std::string_view owner = this->instance;
  for (const auto& [name, peer] : this->peers_by_instance) {
    if (rank(name) > rank(owner))
      owner = name;
  }
  return std::string(owner);
}

double PeerLoadSync::LiveShare() const {
  auto live = static_cast<double>(this->peers_by_instance.size() + 1);
  auto known = static_cast<double>(this->last_seen_by_instance.size() + 1);
  return std::min(1.0, live / known);
}

size_t PeerLoadSync::RankAmong(
    const std::function<bool(const Peer&)>& counts) const {
  auto sort_key = [](std::string_view name) {
    return std::pair(StableHash(name), name);
  };
  return static_cast<size_t>(
      std::count_if(this->peers_by_instance.begin(),
                    this->peers_by_instance.end(), [&](const auto& item) {
                      return counts(item.second) &&
                             sort_key(item.first) < sort_key(this->instance);
                    }));
}

size_t PeerLoadSync::Rank() const {
  return this->RankAmong([](const Peer&) { return true; });
}

size_t PeerLoadSync::RankByStore(bool store_lost) const {
  absl::Time latest_start = this->clock.Now() + kStartSkew;
  return this->RankAmong([=](const Peer& peer) {
    return peer.store_lost == store_lost && peer.may_poll_from <= latest_start;
  });
}

}  // namespace cranberryhill::forward
