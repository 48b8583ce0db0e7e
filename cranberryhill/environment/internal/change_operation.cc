#include "cranberryhill/environment/internal/change_operation.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/environment/environment_document.h"

namespace cranberryhill::internal {
namespace {

// Maximum number of attempts to commit a change or to resolve an operation.
// Changes of trial and of production use one sequence of audit numbers, so they
// can conflict. This many conflicts show that other operators are changing the
// environment without a pause.
constexpr size_t kMaxAttempts = 10;
constexpr size_t kMaxAuthorLength = 128;

Error MakeErrorValue(ErrorCode code,
                     std::string_view field,
                     std::string_view value,
                     std::string_view rule) {
  return Error{code, std::string(field), std::string(value), std::string(rule)};
}

Result<void> CheckChangeInfo(const ChangeInfo& change) {
  BOOST_LEAF_CHECK(CheckName(change.token, "token"));
  bool is_printable =
      std::all_of(change.author.begin(), change.author.end(),
                  [](unsigned char c) { return c >= ' ' && c <= '~'; });
  if (change.author.empty() || change.author.size() > kMaxAuthorLength ||
      !is_printable) {
    return MakeError(ErrorCode::kInvalidArgument, "author", "",
                     "must be 1 to 128 printable ASCII characters");
  }
  return {};
}

/// Checks that this build can read a stored document, which another build may
/// have written.
Result<void> CheckStoredDocument(const StoredDocument& document,
                                 std::string_view digest) {
  if (DocumentDigest(document.record.text) != digest) {
    return MakeError(ErrorCode::kInvalidArgument, "digest", digest,
                     "does not match the stored document");
  }
  BOOST_LEAF_CHECK(ParseEnvironmentDocument(document.record.text));
  return {};
}

RowPut MakeDocumentPut(const std::string& environment,
                       const DocumentRecord& record) {
  return {DocumentKey(environment, record.version), Encode(record)};
}

}  // namespace

uint64_t EnvironmentState::NextAuditSequence() const {
  return std::max({this->head.audit_sequence, this->trial.audit_sequence,
                   this->production.audit_sequence}) +
         1;
}

Result<EnvironmentState> DecodeState(const std::vector<Row>& rows,
                                     const std::string& environment,
                                     const std::string& token) {
  EnvironmentState state;
  std::string key = HeadKey(environment);
  if (const Row* row = FindRow(rows, key)) {
    state.head_row_version = row->version;
    BOOST_LEAF_ASSIGN(state.head, DecodeHead(row->value, key));
  }
  key = TrialKey(environment);
  if (const Row* row = FindRow(rows, key)) {
    state.trial_row_version = row->version;
    BOOST_LEAF_ASSIGN(state.trial, DecodeStage(row->value, key));
  }
  key = ProductionKey(environment);
  if (const Row* row = FindRow(rows, key)) {
    state.production_row_version = row->version;
    BOOST_LEAF_ASSIGN(state.production, DecodeStage(row->value, key));
  }
  key = OperationKey(environment, token);
  if (const Row* row = FindRow(rows, key)) {
    BOOST_LEAF_AUTO(operation, DecodeOperation(row->value, key));
    state.operation = operation;
  }
  return state;
}

OperationResult ToOperationResult(const OperationRecord& record) {
  if (record.abandoned) {
    return {OperationState::kNotDone, 0, 0,
            MakeErrorValue(ErrorCode::kUnavailable, "operation", "",
                           "was abandoned before it took effect")};
  }
  return {OperationState::kAccepted, record.version, record.generation, {}};
}

void ChangeOperation::Start() {
  Outcome<bool> checked = Capture([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(CheckName(this->context.environment, "environment"));
    BOOST_LEAF_CHECK(CheckChangeInfo(this->context.change));
    BOOST_LEAF_CHECK(this->CheckRequest());
    return true;
  });
  if (!checked.ok()) {
    this->FinishWithError(OperationState::kRefused, checked.error());
    return;
  }
  this->ReadState();
}

void ChangeOperation::ReadState() {
  const std::string& environment = this->context.environment;
  this->context.table.Read(
      {HeadKey(environment), TrialKey(environment), ProductionKey(environment),
       OperationKey(environment, this->context.change.token)},
      [self = this->shared_from_this()](const ReadOutcome& outcome) {
        self->OnState(outcome);
      });
}

void ChangeOperation::OnState(const ReadOutcome& outcome) {
  if (!outcome.ok()) {
    this->FinishWithError(OperationState::kNotDone, outcome.error());
    return;
  }
  Outcome<EnvironmentState> decoded = Capture([&] {
    return DecodeState(outcome.value(), this->context.environment,
                       this->context.change.token);
  });
  if (!decoded.ok()) {
    this->FinishWithError(OperationState::kNotDone, decoded.error());
    return;
  }
  this->state = decoded.value();
  if (this->state.operation) {
    this->Finish(ToOperationResult(*this->state.operation));
    return;
  }
  if (!this->initial_state)
    this->initial_state = this->state;
  if (auto competing_version =
          this->FindCompetingVersion(*this->initial_state, this->state)) {
    this->Finish({OperationState::kLostRace, *competing_version, 0,
                  MakeErrorValue(ErrorCode::kConflict, "version",
                                 std::to_string(*competing_version),
                                 "was accepted before this change")});
    return;
  }
  this->ReadRequiredDocument();
}

void ChangeOperation::ReadRequiredDocument() {
  uint64_t version = this->RequiredDocumentVersion(this->state);
  if (version == 0) {
    this->PlanAndCommit({});
    return;
  }
  std::string key = DocumentKey(this->context.environment, version);
  this->context.table.Read({key}, [self = this->shared_from_this(),
                                   key](const ReadOutcome& outcome) {
    self->OnDocument(key, outcome);
  });
}

void ChangeOperation::OnDocument(const std::string& key,
                                 const ReadOutcome& outcome) {
  if (!outcome.ok()) {
    this->FinishWithError(OperationState::kNotDone, outcome.error());
    return;
  }
  StoredDocument document;
  if (const Row* row = FindRow(outcome.value(), key)) {
    Outcome<DocumentRecord> decoded =
        Capture([&] { return DecodeDocument(row->value, key); });
    if (!decoded.ok()) {
      this->FinishWithError(OperationState::kNotDone, decoded.error());
      return;
    }
    document = {row->version, std::move(decoded.value())};
  }
  this->PlanAndCommit(document);
}

void ChangeOperation::PlanAndCommit(const StoredDocument& document) {
  Outcome<PlannedChange> planned =
      Capture([&] { return this->Plan(this->state, document); });
  if (!planned.ok()) {
    this->FinishWithError(planned.error().code == ErrorCode::kConflict
                              ? OperationState::kLostRace
                              : OperationState::kRefused,
                          planned.error());
    return;
  }
  const std::string& environment = this->context.environment;
  const ChangeInfo& change = this->context.change;
  AuditRecord audit = planned.value().audit;
  audit.sequence = this->state.NextAuditSequence();
  audit.author = change.author;
  audit.time =
      absl::FormatTime(absl::RFC3339_sec, change.time, absl::UTCTimeZone());
  audit.token = change.token;

  std::string operation_key = OperationKey(environment, change.token);
  std::string audit_key = AuditKey(environment, audit.sequence);
  Transaction transaction = std::move(planned.value().transaction);
  transaction.checks.push_back({operation_key, kAbsentVersion});
  transaction.checks.push_back({audit_key, kAbsentVersion});
  transaction.puts.push_back({audit_key, Encode(audit)});
  transaction.puts.push_back(
      {operation_key, Encode(OperationRecord{false, audit.kind, audit.version,
                                             audit.generation})});
  this->context.table.Commit(
      std::move(transaction),
      [self = this->shared_from_this(), audit](const CommitOutcome& outcome) {
        self->OnCommit(outcome, audit);
      });
}

void ChangeOperation::OnCommit(const CommitOutcome& outcome,
                               const AuditRecord& audit) {
  switch (outcome.state) {
    case CommitState::kCommitted:
      this->Finish(
          {OperationState::kAccepted, audit.version, audit.generation, {}});
      return;
    case CommitState::kUnavailable:
      this->FinishWithError(OperationState::kNotDone,
                            MakeErrorValue(ErrorCode::kUnavailable, "table", "",
                                           "could not be reached"));
      return;
    case CommitState::kUnknown:
      this->FinishWithError(
          OperationState::kUnknown,
          MakeErrorValue(ErrorCode::kUnknown, "table", "",
                         "the answer to the commit was lost"));
      return;
    case CommitState::kConflict:
      break;
  }
  if (++this->attempts < kMaxAttempts) {
    this->ReadState();
    return;
  }
  this->FinishWithError(
      OperationState::kNotDone,
      MakeErrorValue(ErrorCode::kConflict, outcome.conflict_key, "",
                     "changed between the read and the commit; gave up after "
                     "10 attempts"));
}

void ChangeOperation::Finish(const OperationResult& result) {
  this->context.callback(result);
}

void ChangeOperation::FinishWithError(OperationState failed_state,
                                      const Error& error) {
  uint64_t version = 0;
  if (failed_state == OperationState::kLostRace) {
    // The conflict came from Plan(): the request expected another version.
    version = this->RequiredDocumentVersion(this->state) == 0
                  ? this->state.head.version
                  : this->state.trial.version;
  }
  this->Finish({failed_state, version, 0, error});
}

Result<void> ApplyOperation::CheckRequest() {
  BOOST_LEAF_AUTO(document, ParseEnvironmentDocument(this->request.text));
  if (document.environment != this->context.environment) {
    return MakeError(ErrorCode::kInvalidArgument, "environment",
                     document.environment,
                     "must be " + this->context.environment);
  }
  this->canonical_text = CanonicalText(document);
  return {};
}

std::optional<uint64_t> ApplyOperation::FindCompetingVersion(
    const EnvironmentState& initial_state,
    const EnvironmentState& current_state) {
  if (initial_state.head_row_version != current_state.head_row_version ||
      initial_state.trial_row_version != current_state.trial_row_version)
    return current_state.head.version;
  return {};
}

Result<PlannedChange> ApplyOperation::Plan(const EnvironmentState& state,
                                           const StoredDocument&) {
  if (this->request.expected_parent &&
      *this->request.expected_parent != state.head.version) {
    return MakeError(ErrorCode::kConflict, "parent",
                     std::to_string(*this->request.expected_parent),
                     "is not the newest version");
  }
  const std::string& environment = this->context.environment;
  uint64_t version = state.head.version + 1;
  uint64_t sequence = state.NextAuditSequence();
  std::string digest = DocumentDigest(this->canonical_text);
  PlannedChange plan;
  plan.transaction.checks = {{HeadKey(environment), state.head_row_version},
                             {TrialKey(environment), state.trial_row_version}};
  plan.transaction.puts = {
      MakeDocumentPut(environment,
                      {version, this->canonical_text, digest,
                       state.head.version, this->context.change.author, 0}),
      {HeadKey(environment), Encode(HeadRecord{version, sequence})},
      {TrialKey(environment), Encode(StageRecord{state.trial.generation + 1,
                                                 version, digest, sequence})}};
  plan.audit.kind = OperationKind::kApply;
  plan.audit.version = version;
  plan.audit.previous = state.trial.version;
  plan.audit.generation = state.trial.generation + 1;
  return plan;
}

std::optional<uint64_t> PromoteOperation::FindCompetingVersion(
    const EnvironmentState& initial_state,
    const EnvironmentState& current_state) {
  if (initial_state.production_row_version !=
      current_state.production_row_version)
    return current_state.production.version;
  if (initial_state.trial_row_version != current_state.trial_row_version)
    return current_state.trial.version;
  return {};
}

Result<PlannedChange> PromoteOperation::Plan(const EnvironmentState& state,
                                             const StoredDocument& document) {
  const StageRecord& trial = state.trial;
  if (trial.version == 0 || document.row_version == kAbsentVersion) {
    return MakeError(ErrorCode::kInvalidArgument, "trial", "",
                     "must have a version to promote");
  }
  if (this->request.expected_version &&
      *this->request.expected_version != trial.version) {
    return MakeError(ErrorCode::kConflict, "version",
                     std::to_string(*this->request.expected_version),
                     "is not the version in trial");
  }
  if (trial.version == state.production.version) {
    return MakeError(ErrorCode::kInvalidArgument, "trial",
                     std::to_string(trial.version), "is in production already");
  }
  BOOST_LEAF_CHECK(CheckStoredDocument(document, trial.digest));

  const std::string& environment = this->context.environment;
  uint64_t generation = state.production.generation + 1;
  DocumentRecord promoted = document.record;
  promoted.promoted_generation = generation;
  PlannedChange plan;
  plan.transaction.checks = {
      {TrialKey(environment), state.trial_row_version},
      {ProductionKey(environment), state.production_row_version},
      {DocumentKey(environment, trial.version), document.row_version}};
  plan.transaction.puts = {
      MakeDocumentPut(environment, promoted),
      {ProductionKey(environment),
       Encode(StageRecord{generation, trial.version, trial.digest,
                          state.NextAuditSequence()})}};
  plan.audit.kind = OperationKind::kPromote;
  plan.audit.version = trial.version;
  plan.audit.previous = state.production.version;
  plan.audit.generation = generation;
  return plan;
}

Result<void> RollbackOperation::CheckRequest() {
  if (this->request.version == 0) {
    return MakeError(ErrorCode::kInvalidArgument, "version", "0",
                     "must be a version from the history");
  }
  return {};
}

std::optional<uint64_t> RollbackOperation::FindCompetingVersion(
    const EnvironmentState& initial_state,
    const EnvironmentState& current_state) {
  if (initial_state.production_row_version !=
      current_state.production_row_version)
    return current_state.production.version;
  if (initial_state.head_row_version != current_state.head_row_version)
    return current_state.head.version;
  return {};
}

Result<PlannedChange> RollbackOperation::Plan(const EnvironmentState& state,
                                              const StoredDocument& document) {
  std::string source = std::to_string(this->request.version);
  if (document.row_version == kAbsentVersion) {
    return MakeError(ErrorCode::kInvalidArgument, "version", source,
                     "does not exist");
  }
  if (document.record.promoted_generation == 0) {
    return MakeError(ErrorCode::kInvalidArgument, "version", source,
                     "was never in production");
  }
  if (document.record.digest == state.production.digest) {
    return MakeError(ErrorCode::kInvalidArgument, "version", source,
                     "has the content that is in production already");
  }
  BOOST_LEAF_CHECK(CheckStoredDocument(document, document.record.digest));

  const std::string& environment = this->context.environment;
  uint64_t version = state.head.version + 1;
  uint64_t generation = state.production.generation + 1;
  uint64_t sequence = state.NextAuditSequence();
  const std::string& digest = document.record.digest;
  PlannedChange plan;
  plan.transaction.checks = {
      {HeadKey(environment), state.head_row_version},
      {ProductionKey(environment), state.production_row_version}};
  plan.transaction.puts = {
      MakeDocumentPut(environment, {version, document.record.text, digest,
                                    this->request.version,
                                    this->context.change.author, generation}),
      {HeadKey(environment), Encode(HeadRecord{version, sequence})},
      {ProductionKey(environment),
       Encode(StageRecord{generation, version, digest, sequence})}};
  plan.audit.kind = OperationKind::kRollback;
  plan.audit.version = version;
  plan.audit.previous = state.production.version;
  plan.audit.source = this->request.version;
  plan.audit.generation = generation;
  return plan;
}

void ResolveOperation::Start() {
  if (this->attempts++ == kMaxAttempts) {
    this->context.callback(
        {OperationState::kUnknown, 0, 0,
         MakeErrorValue(ErrorCode::kUnknown, this->key, "",
                        "could not be resolved in 10 attempts")});
    return;
  }
  this->context.table.Read(
      {this->key}, [self = this->shared_from_this()](const ReadOutcome& rows) {
        self->OnRead(rows);
      });
}

void ResolveOperation::OnRead(const ReadOutcome& outcome) {
  if (!outcome.ok()) {
    this->context.callback({OperationState::kUnknown, 0, 0, outcome.error()});
    return;
  }
  const Row* row = FindRow(outcome.value(), this->key);
  if (row == nullptr) {
    this->Abandon();
    return;
  }
  Outcome<OperationRecord> record =
      Capture([&] { return DecodeOperation(row->value, this->key); });
  this->context.callback(record.ok() ? ToOperationResult(record.value())
                                     : OperationResult{OperationState::kUnknown,
                                                       0, 0, record.error()});
}

void ResolveOperation::Abandon() {
  OperationRecord abandoned;
  abandoned.abandoned = true;
  Transaction transaction;
  transaction.checks = {{this->key, kAbsentVersion}};
  transaction.puts = {{this->key, Encode(abandoned)}};
  this->context.table.Commit(
      std::move(transaction), [self = this->shared_from_this(),
                               abandoned](const CommitOutcome& commit) {
        if (commit.state == CommitState::kCommitted) {
          self->context.callback(ToOperationResult(abandoned));
        } else if (commit.state == CommitState::kUnavailable) {
          self->context.callback({OperationState::kUnknown, 0, 0,
                                  MakeErrorValue(ErrorCode::kUnknown, "table",
                                                 "", "could not be reached")});
        } else {
          // The operation's row shows whether the operation has taken effect or
          // has been abandoned.
          self->Start();
        }
      });
}

}  // namespace cranberryhill::internal
