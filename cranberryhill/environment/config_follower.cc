#include "cranberryhill/environment/config_follower.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {
namespace {

// Maximum numbers of stored announcements and refused versions. They limit the
// memory that messages of peers can make this process use.
constexpr size_t kMaxAnnouncers = 64;
constexpr size_t kMaxRefusedVersions = 64;

}  // namespace

ConfigFollower::ConfigFollower(std::string environment,
                               Random& random,
                               FollowerOptions options)
    : environment(std::move(environment)), random(random), options(options) {}

uint64_t ConfigFollower::generation() const {
  return this->version_in_force == nullptr
             ? 0
             : this->version_in_force->production.generation;
}

FollowerActions ConfigFollower::Start(absl::Time now,
                                      std::vector<std::string> start_peers) {
  FollowerActions actions;
  this->SetPeers(std::move(start_peers));
  this->StartPoll(now, actions);
  return actions;
}

void ConfigFollower::SetPeers(std::vector<std::string> new_peers) {
  this->peers = std::move(new_peers);
}

absl::Time ConfigFollower::NextTimerTime() const {
  absl::Time next_time = this->next_poll_at;
  for (const auto& [id, request] : this->pending_requests)
    next_time = std::min(next_time, request.deadline);
  return next_time;
}

FollowerActions ConfigFollower::OnTimer(absl::Time now) {
  FollowerActions actions;
  std::vector<uint64_t> expired;
  for (const auto& [id, request] : this->pending_requests) {
    if (request.deadline <= now)
      expired.push_back(id);
  }
  for (uint64_t id : expired) {
    auto request = this->RemoveRequest(id);
    if (request->kind == RequestKind::kPeer) {
      this->OnPeerFailure(request->peer, now, actions);
    } else {
      this->OnTableFailure(now, actions);
    }
  }
  if (now >= this->next_poll_at)
    this->StartPoll(now, actions);
  return actions;
}

FollowerActions ConfigFollower::OnRowRead(uint64_t request,
                                          const ReadOutcome& outcome,
                                          absl::Time now) {
  FollowerActions actions;
  auto removed_request = this->RemoveRequest(request);
  if (!removed_request)
    return actions;
  if (removed_request->kind == RequestKind::kProductionRow) {
    this->OnProductionRow(outcome, now, actions);
  } else if (removed_request->kind == RequestKind::kDocumentRow) {
    this->OnDocumentRow(removed_request->stage, outcome, now, actions);
  }
  return actions;
}

FollowerActions ConfigFollower::OnPeerDocument(
    uint64_t request,
    const Outcome<ProductionVersion>& outcome,
    absl::Time now) {
  FollowerActions actions;
  auto removed_request = this->RemoveRequest(request);
  if (!removed_request)
    return actions;
  if (outcome.ok() && this->is_start_round) {
    this->start_round_answers.push_back(outcome.value());
    this->FinishStartRoundIfDone(now, actions);
  } else if (!outcome.ok() || !this->PutInForce(outcome.value(), actions)) {
    this->OnPeerFailure(removed_request->peer, now, actions);
  }
  return actions;
}

FollowerActions ConfigFollower::OnAnnouncement(const std::string& peer,
                                               uint64_t generation,
                                               const std::string& digest,
                                               absl::Time now) {
  FollowerActions actions;
  if (!this->IsAcceptable(generation, digest)) {
    this->announcements.erase(peer);
    return actions;
  }
  if (!this->announcements.contains(peer) &&
      this->announcements.size() >= kMaxAnnouncers) {
    return actions;
  }
  this->announcements[peer] = {generation, digest};
  if (!this->is_table_available) {
    this->FetchFromBestAnnouncer(now, actions);
  } else if (!this->IsPending(RequestKind::kDocumentRow)) {
    this->ReadProduction(now, actions);
  }
  return actions;
}

bool ConfigFollower::IsPending(RequestKind kind) const {
  return std::any_of(
      this->pending_requests.begin(), this->pending_requests.end(),
      [kind](const auto& entry) { return entry.second.kind == kind; });
}

bool ConfigFollower::IsAcceptable(uint64_t generation,
                                  const std::string& digest) const {
  return generation > this->generation() &&
         !this->refused_versions.contains({generation, digest});
}

std::optional<ConfigFollower::PendingRequest> ConfigFollower::RemoveRequest(
    uint64_t request) {
  auto removed_request = this->pending_requests.extract(request);
  if (removed_request.empty())
    return std::nullopt;
  return std::move(removed_request.mapped());
}

uint64_t ConfigFollower::AddRequest(PendingRequest request) {
  uint64_t id = this->next_request++;
  this->pending_requests.emplace(id, std::move(request));
  return id;
}

void ConfigFollower::StartPoll(absl::Time now, FollowerActions& actions) {
  double factor = 1 - this->options.poll_jitter * this->random.UniformDouble();
  this->next_poll_at = now + this->options.poll_interval * factor;
  this->ReadProduction(now, actions);
}

void ConfigFollower::ReadProduction(absl::Time now, FollowerActions& actions) {
  if (this->IsPending(RequestKind::kProductionRow))
    return;
  ++this->counter_values.reads;
  PendingRequest request;
  request.kind = RequestKind::kProductionRow;
  request.deadline = now + this->options.read_timeout;
  actions.push_back(ReadRowAction{this->AddRequest(std::move(request)),
                                  ProductionKey(this->environment)});
}

void ConfigFollower::ReadDocument(const StageRecord& stage,
                                  absl::Time now,
                                  FollowerActions& actions) {
  for (const auto& [id, request] : this->pending_requests) {
    if (request.kind == RequestKind::kDocumentRow &&
        request.stage.generation >= stage.generation) {
      return;
    }
  }
  ++this->counter_values.reads;
  PendingRequest request;
  request.kind = RequestKind::kDocumentRow;
  request.deadline = now + this->options.read_timeout;
  request.stage = stage;
  actions.push_back(
      ReadRowAction{this->AddRequest(std::move(request)),
                    DocumentKey(this->environment, stage.version)});
}

void ConfigFollower::OnProductionRow(const ReadOutcome& outcome,
                                     absl::Time now,
                                     FollowerActions& actions) {
  std::string key = ProductionKey(this->environment);
  if (!outcome.ok()) {
    this->OnTableFailure(now, actions);
    return;
  }
  const Row* row = FindRow(outcome.value(), key);
  if (row == nullptr) {
    this->is_table_available = true;
    return;
  }
  Outcome<StageRecord> stage =
      Capture([&] { return DecodeStage(row->value, key); });
  if (!stage.ok()) {
    this->OnTableFailure(now, actions);
    return;
  }
  this->is_table_available = true;
  if (stage.value().generation < this->generation())
    ++this->counter_values.stale_generations;
  if (this->IsAcceptable(stage.value().generation, stage.value().digest))
    this->ReadDocument(stage.value(), now, actions);
}

void ConfigFollower::OnDocumentRow(const StageRecord& stage,
                                   const ReadOutcome& outcome,
                                   absl::Time now,
                                   FollowerActions& actions) {
  std::string key = DocumentKey(this->environment, stage.version);
  const Row* row = outcome.ok() ? FindRow(outcome.value(), key) : nullptr;
  if (row == nullptr) {
    this->OnTableFailure(now, actions);
    return;
  }
  Outcome<DocumentRecord> record =
      Capture([&] { return DecodeDocument(row->value, key); });
  if (!record.ok()) {
    this->Refuse({stage.generation, stage.version, stage.digest, ""},
                 record.error(), actions);
    return;
  }
  this->PutInForce({stage.generation, stage.version, stage.digest,
                    std::move(record.value().text)},
                   actions);
}

void ConfigFollower::OnTableFailure(absl::Time now, FollowerActions& actions) {
  ++this->counter_values.failed_reads;
  this->is_table_available = false;
  if (this->version_in_force == nullptr) {
    this->AskStartPeers(now, actions);
  } else {
    this->FetchFromBestAnnouncer(now, actions);
  }
}

void ConfigFollower::OnPeerFailure(const std::string& peer,
                                   absl::Time now,
                                   FollowerActions& actions) {
  ++this->counter_values.failed_peer_fetches;
  this->announcements.erase(peer);
  if (this->is_start_round) {
    this->FinishStartRoundIfDone(now, actions);
  } else {
    this->FetchFromBestAnnouncer(now, actions);
  }
}

void ConfigFollower::AskStartPeers(absl::Time now, FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  std::vector<std::string> candidates;
  for (const auto& [peer, announcement] : this->announcements)
    candidates.push_back(peer);
  // The peers are chosen at random, so that the next round is likely to ask
  // other peers if these cannot be reached.
  std::vector<std::string> other_peers = this->peers;
  while (!other_peers.empty() &&
         candidates.size() < this->options.max_start_peers) {
    size_t index = this->random.UniformInt(0, other_peers.size() - 1);
    std::swap(other_peers[index], other_peers.back());
    if (!this->announcements.contains(other_peers.back()))
      candidates.push_back(other_peers.back());
    other_peers.pop_back();
  }
  if (candidates.size() > this->options.max_start_peers)
    candidates.resize(this->options.max_start_peers);
  this->is_start_round = !candidates.empty();
  for (const std::string& peer : candidates)
    this->FetchFromPeer(peer, now, actions);
}

void ConfigFollower::FetchFromBestAnnouncer(absl::Time now,
                                            FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  const std::string* best = nullptr;
  uint64_t best_generation = 0;
  for (const auto& [peer, announcement] : this->announcements) {
    if (this->IsAcceptable(announcement.generation, announcement.digest) &&
        announcement.generation > best_generation) {
      best = &peer;
      best_generation = announcement.generation;
    }
  }
  if (best != nullptr)
    this->FetchFromPeer(*best, now, actions);
}

void ConfigFollower::FetchFromPeer(const std::string& peer,
                                   absl::Time now,
                                   FollowerActions& actions) {
  ++this->counter_values.peer_fetches;
  PendingRequest request;
  request.kind = RequestKind::kPeer;
  request.deadline = now + this->options.fetch_timeout;
  request.peer = peer;
  actions.push_back(
      FetchFromPeerAction{this->AddRequest(std::move(request)), peer});
}

void ConfigFollower::FinishStartRoundIfDone(absl::Time now,
                                            FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  this->is_start_round = false;
  std::vector<ProductionVersion> answers = std::move(this->start_round_answers);
  this->start_round_answers.clear();
  std::sort(answers.begin(), answers.end(), [](const auto& a, const auto& b) {
    return a.generation > b.generation;
  });
  for (const ProductionVersion& answer : answers) {
    if (this->PutInForce(answer, actions))
      break;
  }
  this->FetchFromBestAnnouncer(now, actions);
}

bool ConfigFollower::PutInForce(const ProductionVersion& version,
                                FollowerActions& actions) {
  if (version.generation < this->generation())
    ++this->counter_values.stale_generations;
  if (!this->IsAcceptable(version.generation, version.digest))
    return false;
  if (DocumentDigest(version.text) != version.digest) {
    // The version is not added to refused_versions, because another source may
    // deliver the correct text.
    ++this->counter_values.refused_documents;
    actions.push_back(DocumentRefusedAction{
        version.generation, Error{ErrorCode::kInvalidArgument, "digest",
                                  version.digest, "does not match the text"}});
    return false;
  }
  Outcome<EnvironmentDocument> document =
      Capture([&] { return ParseEnvironmentDocument(version.text); });
  if (!document.ok()) {
    this->Refuse(version, document.error(), actions);
    return false;
  }
  if (document.value().environment != this->environment) {
    this->Refuse(
        version,
        Error{ErrorCode::kInvalidArgument, "environment",
              document.value().environment, "must be " + this->environment},
        actions);
    return false;
  }
  this->version_in_force = std::make_shared<const VersionInForce>(
      VersionInForce{version, std::move(document.value())});
  ++this->counter_values.version_changes;
  std::erase_if(this->announcements, [&](const auto& entry) {
    return entry.second.generation <= version.generation;
  });
  std::erase_if(this->refused_versions, [&](const auto& entry) {
    return entry.first <= version.generation;
  });
  actions.push_back(VersionChangedAction{this->version_in_force});
  return true;
}

void ConfigFollower::Refuse(const ProductionVersion& version,
                            const Error& error,
                            FollowerActions& actions) {
  ++this->counter_values.refused_documents;
  if (this->refused_versions.size() >= kMaxRefusedVersions)
    this->refused_versions.erase(this->refused_versions.begin());
  this->refused_versions.insert({version.generation, version.digest});
  actions.push_back(DocumentRefusedAction{version.generation, error});
}

}  // namespace cranberryhill
