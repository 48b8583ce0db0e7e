#ifndef CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_
#define CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_

// The change operations on an environment. An operation reads the state, plans
// a transaction and commits it. It starts over if the commit failed only
// because another change, of other rows, used the same number for its audit
// row.
//
//   std::make_shared<ApplyOperation>(context, request)->Start();

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryhill/environment/environment_operations.h"
#include "cranberryhill/environment/environment_rows.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::internal {

/// The rows of an environment that changes depend on. A row that does not exist
/// has the row version kAbsentVersion and an empty record.
struct EnvironmentState {
  uint64_t head_row_version = kAbsentVersion;
  uint64_t trial_row_version = kAbsentVersion;
  uint64_t production_row_version = kAbsentVersion;
  HeadRecord head;
  StageRecord trial;
  StageRecord production;
  std::optional<OperationRecord> operation;

  /// @return The number for the next audit row.
  uint64_t NextAuditSequence() const;
};

/// @return The state in `rows`. `operation` is that of the operation with
/// `token`.
Result<EnvironmentState> DecodeState(const std::vector<Row>& rows,
                                     const std::string& environment,
                                     const std::string& token);

/// A document row and its row version.
struct StoredDocument {
  uint64_t row_version = kAbsentVersion;
  DocumentRecord record;
};

/// A planned change. The transaction does not yet have the audit row and the
/// operation row.
struct PlannedChange {
  Transaction transaction;
  AuditRecord audit;
};

/// Values that all operations need.
struct OperationContext {
  TableService& table;
  std::string environment;
  ChangeInfo change;
  OperationCallback callback;
};

/// The steps that all changes have in common.
class ChangeOperation : public std::enable_shared_from_this<ChangeOperation> {
 public:
  explicit ChangeOperation(OperationContext context)
      : context(std::move(context)) {}
  virtual ~ChangeOperation() = default;

  void Start();

 protected:
  /// Checks the request without the state of the environment.
  virtual Result<void> CheckRequest() = 0;

  /// @return The version of a competing change if rows that this change depends
  /// on differ between `initial_state` and `current_state`, or std::nullopt.
  virtual std::optional<uint64_t> FindCompetingVersion(
      const EnvironmentState& initial_state,
      const EnvironmentState& current_state) = 0;

  /// @return The version whose document Plan() needs, or 0 if it needs none.
  virtual uint64_t RequiredDocumentVersion(const EnvironmentState& state) = 0;

  /// @return The change, or kConflict if the state is not the one that the
  /// request expects.
  virtual Result<PlannedChange> Plan(const EnvironmentState& state,
                                     const StoredDocument& document) = 0;

  const OperationContext context;

 private:
  void ReadState();
  void OnState(const ReadOutcome& outcome);
  void ReadRequiredDocument();
  void OnDocument(const std::string& key, const ReadOutcome& outcome);
  void PlanAndCommit(const StoredDocument& document);
  void OnCommit(const CommitOutcome& outcome, const AuditRecord& audit);
  void Finish(const OperationResult& result);
  void FinishWithError(OperationState state, const Error& error);

  size_t attempts = 0;
  std::optional<EnvironmentState> initial_state;
  EnvironmentState state;
};

class ApplyOperation : public ChangeOperation {
 public:
  ApplyOperation(OperationContext context, ApplyRequest request)
      : ChangeOperation(std::move(context)), request(std::move(request)) {}

 protected:
  Result<void> CheckRequest() override;
  std::optional<uint64_t> FindCompetingVersion(
      const EnvironmentState& initial_state,
      const EnvironmentState& current_state) override;
  uint64_t RequiredDocumentVersion(const EnvironmentState&) override {
    return 0;
  }
  Result<PlannedChange> Plan(const EnvironmentState& state,
                             const StoredDocument& document) override;

 private:
  const ApplyRequest request;
  std::string canonical_text;
};

class PromoteOperation : public ChangeOperation {
 public:
  PromoteOperation(OperationContext context, PromoteRequest request)
      : ChangeOperation(std::move(context)), request(std::move(request)) {}

 protected:
  Result<void> CheckRequest() override { return {}; }
  std::optional<uint64_t> FindCompetingVersion(
      const EnvironmentState& initial_state,
      const EnvironmentState& current_state) override;
  uint64_t RequiredDocumentVersion(const EnvironmentState& state) override {
    return state.trial.version;
  }
  Result<PlannedChange> Plan(const EnvironmentState& state,
                             const StoredDocument& document) override;

 private:
  const PromoteRequest request;
};

class RollbackOperation : public ChangeOperation {
 public:
  RollbackOperation(OperationContext context, RollbackRequest request)
      : ChangeOperation(std::move(context)), request(std::move(request)) {}

 protected:
  Result<void> CheckRequest() override;
  std::optional<uint64_t> FindCompetingVersion(
      const EnvironmentState& initial_state,
      const EnvironmentState& current_state) override;
  uint64_t RequiredDocumentVersion(const EnvironmentState&) override {
    return this->request.version;
  }
  Result<PlannedChange> Plan(const EnvironmentState& state,
                             const StoredDocument& document) override;

 private:
  const RollbackRequest request;
};

/// Finds the outcome of an operation by its token. See
/// EnvironmentOperations::Resolve().
class ResolveOperation : public std::enable_shared_from_this<ResolveOperation> {
 public:
  explicit ResolveOperation(OperationContext context)
      : context(std::move(context)),
        key(OperationKey(this->context.environment,
                         this->context.change.token)) {}

  void Start();

 private:
  void OnRead(const ReadOutcome& outcome);
  void Abandon();

  const OperationContext context;
  const std::string key;
  size_t attempts = 0;
};

/// @return The result of the operation that wrote `record`.
OperationResult ToOperationResult(const OperationRecord& record);

}  // namespace cranberryhill::internal

#endif  // CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_
