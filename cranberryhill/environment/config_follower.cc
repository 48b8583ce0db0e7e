#include "cranberryhill/environment/config_follower.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {
namespace {

// Bounds of what peers can make this process remember.
constexpr size_t kMaxAnnouncers = 64;
constexpr size_t kMaxRefused = 64;

}  // namespace

ConfigFollower::ConfigFollower(std::string environment,
                               Random& random,
                               FollowerOptions options)
    : environment(std::move(environment)), random(random), options(options) {}

uint64_t ConfigFollower::generation() const {
  return this->current == nullptr ? 0 : this->current->production.generation;
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

absl::Time ConfigFollower::NextWake() const {
  absl::Time wake = this->next_poll;
  for (const auto& [id, request] : this->pending)
    wake = std::min(wake, request.deadline);
  return wake;
}

FollowerActions ConfigFollower::OnTimer(absl::Time now) {
  FollowerActions actions;
  std::vector<uint64_t> expired;
  for (const auto& [id, request] : this->pending) {
    if (request.deadline <= now)
      expired.push_back(id);
  }
  for (uint64_t id : expired) {
    auto request = this->TakeRequest(id);
    if (request->kind == RequestKind::kPeer) {
      this->OnPeerFailure(request->peer, now, actions);
    } else {
      this->OnTableFailure(now, actions);
    }
  }
  if (now >= this->next_poll)
    this->StartPoll(now, actions);
  return actions;
}

FollowerActions ConfigFollower::OnRow(uint64_t request,
                                      const ReadOutcome& outcome,
                                      absl::Time now) {
  FollowerActions actions;
  auto taken = this->TakeRequest(request);
  if (!taken)
    return actions;
  if (taken->kind == RequestKind::kProductionRow) {
    this->OnProductionRow(outcome, now, actions);
  } else if (taken->kind == RequestKind::kDocumentRow) {
    this->OnDocumentRow(taken->stage, outcome, now, actions);
  }
  return actions;
}

FollowerActions ConfigFollower::OnPeerDocument(
    uint64_t request,
    const Outcome<ProductionVersion>& outcome,
    absl::Time now) {
  FollowerActions actions;
  auto taken = this->TakeRequest(request);
  if (!taken)
    return actions;
  if (outcome.ok() && this->start_round) {
    this->start_answers.push_back(outcome.value());
    this->FinishStartRound(now, actions);
  } else if (!outcome.ok() || !this->Adopt(outcome.value(), actions)) {
    this->OnPeerFailure(taken->peer, now, actions);
  }
  return actions;
}

FollowerActions ConfigFollower::OnAnnouncement(const std::string& peer,
                                               uint64_t generation,
                                               const std::string& digest,
                                               absl::Time now) {
  FollowerActions actions;
  if (!this->IsWanted(generation, digest)) {
    this->announced.erase(peer);
    return actions;
  }
  if (!this->announced.contains(peer) &&
      this->announced.size() >= kMaxAnnouncers) {
    return actions;
  }
  this->announced[peer] = {generation, digest};
  if (!this->table_answers) {
    this->FetchFromAnnouncer(now, actions);
  } else if (!this->IsPending(RequestKind::kDocumentRow)) {
    this->ReadProduction(now, actions);
  }
  return actions;
}

bool ConfigFollower::IsPending(RequestKind kind) const {
  return std::any_of(
      this->pending.begin(), this->pending.end(),
      [kind](const auto& entry) { return entry.second.kind == kind; });
}

bool ConfigFollower::IsWanted(uint64_t generation,
                              const std::string& digest) const {
  return generation > this->generation() &&
         !this->refused.contains({generation, digest});
}

std::optional<ConfigFollower::PendingRequest> ConfigFollower::TakeRequest(
    uint64_t request) {
  auto taken = this->pending.extract(request);
  if (taken.empty())
    return std::nullopt;
  return std::move(taken.mapped());
}

uint64_t ConfigFollower::AddRequest(PendingRequest request) {
  uint64_t id = this->next_request++;
  this->pending.emplace(id, std::move(request));
  return id;
}

void ConfigFollower::StartPoll(absl::Time now, FollowerActions& actions) {
  double factor = 1 - this->options.poll_jitter * this->random.UniformDouble();
  this->next_poll = now + this->options.poll_interval * factor;
  this->ReadProduction(now, actions);
}

void ConfigFollower::ReadProduction(absl::Time now, FollowerActions& actions) {
  if (this->IsPending(RequestKind::kProductionRow))
    return;
  ++this->count.reads;
  PendingRequest request;
  request.kind = RequestKind::kProductionRow;
  request.deadline = now + this->options.read_timeout;
  actions.push_back(ReadRowAction{this->AddRequest(std::move(request)),
                                  ProductionKey(this->environment)});
}

void ConfigFollower::ReadDocument(const StageRecord& stage,
                                  absl::Time now,
                                  FollowerActions& actions) {
  for (const auto& [id, request] : this->pending) {
    if (request.kind == RequestKind::kDocumentRow &&
        request.stage.generation >= stage.generation) {
      return;
    }
  }
  ++this->count.reads;
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
    this->table_answers = true;
    return;
  }
  Outcome<StageRecord> stage =
      Capture([&] { return DecodeStage(row->value, key); });
  if (!stage.ok()) {
    this->OnTableFailure(now, actions);
    return;
  }
  this->table_answers = true;
  if (stage.value().generation < this->generation())
    ++this->count.stale_generations;
  if (this->IsWanted(stage.value().generation, stage.value().digest))
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
  this->Adopt({stage.generation, stage.version, stage.digest,
               std::move(record.value().text)},
              actions);
}

void ConfigFollower::OnTableFailure(absl::Time now, FollowerActions& actions) {
  ++this->count.failed_reads;
  this->table_answers = false;
  if (this->current == nullptr) {
    this->AskStartPeers(now, actions);
  } else {
    this->FetchFromAnnouncer(now, actions);
  }
}

void ConfigFollower::OnPeerFailure(const std::string& peer,
                                   absl::Time now,
                                   FollowerActions& actions) {
  ++this->count.failed_peer_fetches;
  this->announced.erase(peer);
  if (this->start_round) {
    this->FinishStartRound(now, actions);
  } else {
    this->FetchFromAnnouncer(now, actions);
  }
}

void ConfigFollower::AskStartPeers(absl::Time now, FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  std::vector<std::string> candidates;
  for (const auto& [peer, announcement] : this->announced)
    candidates.push_back(peer);
  // Each round asks other peers, in case the first ones cannot be reached.
  std::vector<std::string> others = this->peers;
  while (!others.empty() && candidates.size() < this->options.start_peers) {
    size_t index = this->random.UniformInt(0, others.size() - 1);
    std::swap(others[index], others.back());
    if (!this->announced.contains(others.back()))
      candidates.push_back(others.back());
    others.pop_back();
  }
  if (candidates.size() > this->options.start_peers)
    candidates.resize(this->options.start_peers);
  this->start_round = !candidates.empty();
  for (const std::string& peer : candidates)
    this->FetchFromPeer(peer, now, actions);
}

void ConfigFollower::FetchFromAnnouncer(absl::Time now,
                                        FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  const std::string* best = nullptr;
  uint64_t best_generation = 0;
  for (const auto& [peer, announcement] : this->announced) {
    if (this->IsWanted(announcement.generation, announcement.digest) &&
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
  ++this->count.peer_fetches;
  PendingRequest request;
  request.kind = RequestKind::kPeer;
  request.deadline = now + this->options.fetch_timeout;
  request.peer = peer;
  actions.push_back(
      FetchFromPeerAction{this->AddRequest(std::move(request)), peer});
}

void ConfigFollower::FinishStartRound(absl::Time now,
                                      FollowerActions& actions) {
  if (this->IsPending(RequestKind::kPeer))
    return;
  this->start_round = false;
  std::vector<ProductionVersion> answers = std::move(this->start_answers);
  this->start_answers.clear();
  std::sort(answers.begin(), answers.end(), [](const auto& a, const auto& b) {
    return a.generation > b.generation;
  });
  for (const ProductionVersion& answer : answers) {
    if (this->Adopt(answer, actions))
      break;
  }
  this->FetchFromAnnouncer(now, actions);
}

bool ConfigFollower::Adopt(const ProductionVersion& version,
                           FollowerActions& actions) {
  if (version.generation < this->generation())
    ++this->count.stale_generations;
  if (!this->IsWanted(version.generation, version.digest))
    return false;
  if (DocumentDigest(version.text) != version.digest) {
    // Not remembered: another source may have the right text.
    ++this->count.refused_documents;
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
  this->current = std::make_shared<const VersionInForce>(
      VersionInForce{version, std::move(document.value())});
  ++this->count.version_changes;
  std::erase_if(this->announced, [&](const auto& entry) {
    return entry.second.generation <= version.generation;
  });
  std::erase_if(this->refused, [&](const auto& entry) {
    return entry.first <= version.generation;
  });
  actions.push_back(VersionChangedAction{this->current});
  return true;
}

void ConfigFollower::Refuse(const ProductionVersion& version,
                            const Error& error,
                            FollowerActions& actions) {
  ++this->count.refused_documents;
  if (this->refused.size() >= kMaxRefused)
    this->refused.erase(this->refused.begin());
  this->refused.insert({version.generation, version.digest});
  actions.push_back(DocumentRefusedAction{version.generation, error});
}

}  // namespace cranberryhill
