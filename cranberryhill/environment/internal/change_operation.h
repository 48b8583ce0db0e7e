#ifndef CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_
#define CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_

// One running change of an environment. It reads the state, plans a
// transaction and commits it, and plans again when only the number of the audit
// row was taken by a change of other rows.
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

/// The rows of an environment that changes depend on. Absent rows have the
/// version kAbsentVersion and empty records.
struct EnvironmentState {
  uint64_t head_row = kAbsentVersion;
  uint64_t trial_row = kAbsentVersion;
  uint64_t production_row = kAbsentVersion;
  HeadRecord head;
  StageRecord trial;
  StageRecord production;
  std::optional<OperationRecord> operation;

  uint64_t NextAuditSequence() const;
};

Result<EnvironmentState> DecodeState(const std::vector<Row>& rows,
                                     const std::string& environment,
                                     const std::string& token);

/// A document row with its row version.
struct StoredDocument {
  uint64_t row = kAbsentVersion;
  DocumentRecord record;
};

/// What a change writes besides its audit and operation rows.
struct PlannedChange {
  Transaction transaction;
  AuditRecord audit;
};

struct OperationContext {
  TableService& table;
  std::string environment;
  ChangeInfo change;
  OperationCallback callback;
};

class ChangeOperation : public std::enable_shared_from_this<ChangeOperation> {
 public:
  explicit ChangeOperation(OperationContext context)
      : context(std::move(context)) {}
  virtual ~ChangeOperation() = default;

  void Start();

 protected:
  /// Checks the request alone.
  virtual Result<void> CheckRequest() = 0;

  /// @return The version that won when `now` no longer is what the change was
  /// based on, else nothing.
  virtual std::optional<uint64_t> FindWinner(const EnvironmentState& base,
                                             const EnvironmentState& now) = 0;

  /// @return The version whose document Plan() needs, 0 for none.
  virtual uint64_t NeededDocument(const EnvironmentState& state) = 0;

  /// @return The change; kConflict when the request's own expectation of the
  /// state is not met.
  virtual Result<PlannedChange> Plan(const EnvironmentState& state,
                                     const StoredDocument& document) = 0;

  const OperationContext context;

 private:
  void ReadState();
  void OnState(const ReadOutcome& outcome);
  void ReadNeededDocument();
  void OnDocument(const std::string& key, const ReadOutcome& outcome);
  void PlanAndCommit(const StoredDocument& document);
  void OnCommit(const CommitOutcome& outcome, const AuditRecord& audit);
  void Finish(const OperationResult& result);
  void Fail(OperationState state, const Error& error);

  size_t attempts = 0;
  std::optional<EnvironmentState> base;
  EnvironmentState state;
};

class ApplyOperation : public ChangeOperation {
 public:
  ApplyOperation(OperationContext context, ApplyRequest request)
      : ChangeOperation(std::move(context)), request(std::move(request)) {}

 protected:
  Result<void> CheckRequest() override;
  std::optional<uint64_t> FindWinner(const EnvironmentState& base,
                                     const EnvironmentState& now) override;
  uint64_t NeededDocument(const EnvironmentState&) override { return 0; }
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
  std::optional<uint64_t> FindWinner(const EnvironmentState& base,
                                     const EnvironmentState& now) override;
  uint64_t NeededDocument(const EnvironmentState& state) override {
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
  std::optional<uint64_t> FindWinner(const EnvironmentState& base,
                                     const EnvironmentState& now) override;
  uint64_t NeededDocument(const EnvironmentState&) override {
    return this->request.version;
  }
  Result<PlannedChange> Plan(const EnvironmentState& state,
                             const StoredDocument& document) override;

 private:
  const RollbackRequest request;
};

/// Resolves an operation by its token; see EnvironmentOperations::Resolve().
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

/// @return What the row of an operation says about it.
OperationResult ResultOf(const OperationRecord& record);

}  // namespace cranberryhill::internal

#endif  // CRANBERRYHILL_ENVIRONMENT_INTERNAL_CHANGE_OPERATION_H_
