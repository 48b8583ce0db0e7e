#include "cranberryhill/forward/load_share.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// Each record goes out with this many messages, as datagrams get lost.
constexpr int kSendsPerRecord = 2;
/// Records of one message; a datagram stays below 8 KB with them.
constexpr size_t kMaxRecords = 48;
/// Ten messages at the usual interval.
constexpr absl::Duration kSilence = absl::Seconds(1);

/// First element of every message; changes with the format.
constexpr int kFormat = 5;

}  // namespace

std::string EncodeLoadMessage(const LoadMessage& message) {
  using nlohmann::json;
  json work = json::array();
  for (const EngineWork& entry : message.work)
    work.push_back({entry.replica, entry.queued.on_time, entry.queued.deferred,
                    entry.running});
  json cached = json::array();
  for (const CachedPrompt& entry : message.cached) {
    json parts = json::array();
    for (const PromptPart& part : entry.parts)
      parts.push_back({part.id, part.tokens});
    cached.push_back({entry.replica, std::move(parts)});
  }
  json crashes = json::array();
  for (const CrashEntry& entry : message.crashes)
    crashes.push_back({entry.fingerprint, entry.crashes});
  std::string bytes;
  json::to_msgpack(
      json::array({kFormat, message.instance, message.incarnation,
                   message.sequence, work, cached, message.changing, crashes,
                   message.table_versions, message.partial}),
      bytes);
  return bytes;
}

Result<LoadMessage> DecodeLoadMessage(std::string_view bytes) {
  using nlohmann::json;
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  // Fields are read by checked accessors, which throw on a wrong type.
  try {
    if (fields.at(0).get<int>() != kFormat) {
      return MakeError(ErrorCode::kInvalidArgument, "load message", "",
                       "has another format");
    }
    LoadMessage message;
    message.instance = fields.at(1).get<std::string>();
    message.incarnation = fields.at(2).get<uint64_t>();
    message.sequence = fields.at(3).get<uint64_t>();
    for (const json& entry : fields.at(4)) {
      message.work.push_back(
          {entry.at(0).get<std::string>(),
           {entry.at(1).get<double>(), entry.at(2).get<double>()},
           entry.at(3).get<int>()});
    }
    for (const json& entry : fields.at(5)) {
      CachedPrompt prompt{entry.at(0).get<std::string>(), {}};
      for (const json& part : entry.at(1)) {
        prompt.parts.push_back(
            {part.at(0).get<uint64_t>(), part.at(1).get<uint32_t>()});
      }
      message.cached.push_back(std::move(prompt));
    }
    message.changing = fields.at(6).get<std::vector<std::string>>();
    for (const json& entry : fields.at(7)) {
      message.crashes.push_back(
          {entry.at(0).get<uint64_t>(), entry.at(1).get<uint8_t>()});
    }
    message.table_versions = fields.at(8).get<std::vector<uint64_t>>();
    message.partial = fields.at(9).get<bool>();
    return message;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, "load message", "",
                     error.what());
  }
}

void LoadShare::NoteSent(std::string_view replica, const PromptShape& shape) {
  this->news.emplace(replica);
  if (shape.parts.size() < 2)
    return;
  CachedPrompt prompt{std::string(replica),
                      {shape.parts.begin(), shape.parts.end() - 1}};
  this->noted.push_back({std::move(prompt), kSendsPerRecord});
}

LoadMessage LoadShare::Collect(const ReplicaSet& replicas,
                               std::vector<std::string> changing) {
  LoadMessage message = this->NewMessage();
  message.changing = std::move(changing);
  this->news.clear();
  for (const auto& replica : replicas.Listed()) {
    if (!replica->entry.role || replica->outstanding == 0)
      continue;
    message.work.push_back(
        {replica->entry.id, replica->queued, replica->outstanding});
  }
  this->TakeRecords(message);
  return message;
}

LoadMessage LoadShare::CollectNews(const ReplicaSet& replicas) {
  LoadMessage message = this->NewMessage();
  message.partial = true;
  for (const std::string& id : std::exchange(this->news, {})) {
    auto replica = replicas.Find(id);
    if (replica != nullptr)
      message.work.push_back({id, replica->queued, replica->outstanding});
  }
  if (!message.work.empty())
    this->TakeRecords(message);
  return message;
}

LoadMessage LoadShare::NewMessage() {
  LoadMessage message;
  message.instance = this->instance;
  message.incarnation = this->incarnation;
  message.sequence = this->next_sequence++;
  return message;
}

void LoadShare::TakeRecords(LoadMessage& message) {
  for (size_t i = 0; i < std::min(kMaxRecords, this->noted.size()); ++i) {
    message.cached.push_back(this->noted[i].prompt);
    --this->noted[i].sends_left;
  }
  std::erase_if(this->noted,
                [](const Noted& entry) { return entry.sends_left <= 0; });
}

bool LoadShare::Merge(const LoadMessage& message, ReplicaSet& replicas) {
  if (message.instance == this->instance)
    return false;
  Peer& peer = this->known[message.instance];
  if (peer.incarnation == message.incarnation &&
      message.sequence <= peer.sequence)
    return false;
  peer.incarnation = message.incarnation;
  peer.sequence = message.sequence;
  peer.heard_at = this->clock.Now();
  if (message.partial)
    this->ReplaceListed(peer, message.work, replicas);
  else
    this->Replace(peer, message.work, replicas);
  for (const CachedPrompt& prompt : message.cached) {
    auto replica = replicas.Find(prompt.replica);
    if (replica != nullptr)
      replica->cache.RecordParts(prompt.parts, peer.heard_at);
  }
  for (const std::string& replica : message.changing)
    replicas.OnChanging(replica);
  return true;
}

void LoadShare::AddWork(const EngineWork& entry,
                        int sign,
                        ReplicaSet& replicas) {
  auto replica = replicas.Find(entry.replica);
  if (replica == nullptr)
    return;
  replica->peer_queued.Add(ReadLane::kOnTime, sign * entry.queued.on_time);
  replica->peer_queued.Add(ReadLane::kDeferred, sign * entry.queued.deferred);
  replica->peer_running =
      std::max(0, replica->peer_running + sign * entry.running);
}

void LoadShare::Replace(Peer& peer,
                        std::vector<EngineWork> work,
                        ReplicaSet& replicas) {
  for (const EngineWork& entry : peer.work)
    this->AddWork(entry, -1, replicas);
  for (const EngineWork& entry : work)
    this->AddWork(entry, 1, replicas);
  peer.work = std::move(work);
}

void LoadShare::ReplaceListed(Peer& peer,
                              std::span<const EngineWork> work,
                              ReplicaSet& replicas) {
  for (const EngineWork& entry : work) {
    auto known = std::find_if(
        peer.work.begin(), peer.work.end(),
        [&entry](const auto& old) { return old.replica == entry.replica; });
    if (known == peer.work.end())
      known = peer.work.insert(known, EngineWork{entry.replica, {}, 0});
    this->AddWork(*known, -1, replicas);
    this->AddWork(entry, 1, replicas);
    *known = entry;
  }
}

void LoadShare::ForgetSilent(ReplicaSet& replicas) {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->known, [&](auto& item) {
    if (now - item.second.heard_at < kSilence)
      return false;
    this->Replace(item.second, {}, replicas);
    return true;
  });
}

size_t LoadShare::Rank() const {
  auto order = [](std::string_view name) {
    return std::pair(StableHash(name), name);
  };
  return static_cast<size_t>(std::count_if(
      this->known.begin(), this->known.end(), [&](const auto& item) {
        return order(item.first) < order(this->instance);
      }));
}

}  // namespace cranberryhill::forward
