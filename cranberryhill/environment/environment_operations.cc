#include "cranberryhill/environment/environment_operations.h"

#include <memory>
#include <utility>

#include "cranberryhill/environment/internal/change_operation.h"

namespace cranberryhill {
namespace {

using internal::OperationContext;

/// @return The decoded rows of a scan, in the same order.
template <typename T, typename F>
Outcome<std::vector<T>> DecodeAll(const ReadOutcome& outcome, F&& decode) {
  if (!outcome.ok())
    return outcome.error();
  return Capture([&]() -> Result<std::vector<T>> {
    std::vector<T> records;
    for (const Row& row : outcome.value()) {
      BOOST_LEAF_AUTO(record, decode(row.value, row.key));
      records.push_back(std::move(record));
    }
    return records;
  });
}

/// @return The number after which a scan has to start to read the rows of the
/// last `limit` numbers up to `newest`.
uint64_t NumberBeforeNewest(uint64_t newest, size_t limit) {
  return newest > limit ? newest - limit : 0;
}

}  // namespace

std::string_view OperationStateName(OperationState state) {
  switch (state) {
    case OperationState::kAccepted:
      return "accepted";
    case OperationState::kRefused:
      return "refused";
    case OperationState::kLostRace:
      return "lost_race";
    case OperationState::kNotDone:
      return "not_done";
    case OperationState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void EnvironmentOperations::Apply(const ApplyRequest& request,
                                  OperationCallback callback) {
  std::make_shared<internal::ApplyOperation>(
      OperationContext{this->table, this->environment, request.change,
                       std::move(callback)},
      request)
      ->Start();
}

void EnvironmentOperations::Promote(const PromoteRequest& request,
                                    OperationCallback callback) {
  std::make_shared<internal::PromoteOperation>(
      OperationContext{this->table, this->environment, request.change,
                       std::move(callback)},
      request)
      ->Start();
}

void EnvironmentOperations::Rollback(const RollbackRequest& request,
                                     OperationCallback callback) {
  std::make_shared<internal::RollbackOperation>(
      OperationContext{this->table, this->environment, request.change,
                       std::move(callback)},
      request)
      ->Start();
}

void EnvironmentOperations::Resolve(const std::string& token,
                                    OperationCallback callback) {
  std::make_shared<internal::ResolveOperation>(
      OperationContext{this->table, this->environment,
                       ChangeInfo{"", token, {}}, std::move(callback)})
      ->Start();
}

void EnvironmentOperations::ReadStatus(StatusCallback callback) {
  std::string head = HeadKey(this->environment);
  std::string trial = TrialKey(this->environment);
  std::string production = ProductionKey(this->environment);
  this->table.Read({head, trial, production}, [environment = this->environment,
                                               callback = std::move(callback)](
                                                  const ReadOutcome& outcome) {
    if (!outcome.ok()) {
      callback(outcome.error());
      return;
    }
    callback(Capture([&]() -> Result<EnvironmentStatus> {
      BOOST_LEAF_AUTO(state,
                      internal::DecodeState(outcome.value(), environment, ""));
      EnvironmentStatus status;
      if (state.head_row_version != kAbsentVersion)
        status.head = state.head;
      if (state.trial_row_version != kAbsentVersion)
        status.trial = state.trial;
      if (state.production_row_version != kAbsentVersion)
        status.production = state.production;
      return status;
    }));
  });
}

void EnvironmentOperations::ReadHistory(size_t limit,
                                        HistoryCallback callback) {
  this->ReadStatus([&table = this->table, environment = this->environment,
                    limit, callback = std::move(callback)](
                       const Outcome<EnvironmentStatus>& status) {
    if (!status.ok()) {
      callback(status.error());
      return;
    }
    HeadRecord head = status.value().head.value_or(HeadRecord{});
    table.Scan(
        DocumentPrefix(environment),
        DocumentKey(environment, NumberBeforeNewest(head.version, limit)),
        limit, [callback](const ReadOutcome& outcome) {
          callback(DecodeAll<DocumentRecord>(outcome, DecodeDocument));
        });
  });
}

void EnvironmentOperations::ReadAudit(size_t limit, AuditCallback callback) {
  this->ReadStatus([&table = this->table, environment = this->environment,
                    limit, callback = std::move(callback)](
                       const Outcome<EnvironmentStatus>& status) {
    if (!status.ok()) {
      callback(status.error());
      return;
    }
    internal::EnvironmentState state;
    state.head = status.value().head.value_or(HeadRecord{});
    state.trial = status.value().trial.value_or(StageRecord{});
    state.production = status.value().production.value_or(StageRecord{});
    uint64_t last = state.NextAuditSequence() - 1;
    table.Scan(AuditPrefix(environment),
               AuditKey(environment, NumberBeforeNewest(last, limit)), limit,
               [callback](const ReadOutcome& outcome) {
                 callback(DecodeAll<AuditRecord>(outcome, DecodeAudit));
               });
  });
}

}  // namespace cranberryhill
