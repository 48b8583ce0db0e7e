#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_

// The operations of an operator on an environment: apply a document to trial,
// promote it to production, roll back, and read the state. Each change is one
// table transaction that records an operation token. If the answer to a change
// is lost, the token shows whether the change took effect.
//
//   EnvironmentOperations operations(table, "annex");
//   operations.Apply({change, text}, [&](const OperationResult& result) {
//     if (result.state == OperationState::kUnknown)
//       operations.Resolve(change.token, ...);
//   });

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/environment/environment_rows.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

enum class OperationState {
  kAccepted,
  kRefused,   ///< The input is invalid; nothing was changed.
  kLostRace,  ///< Another change was committed first; nothing was changed.
  kNotDone,   ///< Nothing was changed, and the operation will not take effect.
  kUnknown,   ///< The answer was lost; Resolve() finds the outcome.
};

/// @return "accepted", "refused", "lost_race", "not_done" or "unknown".
std::string_view OperationStateName(OperationState state);

/// How an operation ended.
struct OperationResult {
  OperationState state = OperationState::kUnknown;
  /// With kAccepted, the version created or promoted. With kLostRace, the
  /// version of the change that was committed first.
  uint64_t version = 0;
  /// With kAccepted, the generation of the changed stage.
  uint64_t generation = 0;
  Error error;  ///< Set in all states except kAccepted.
};

/// Values that are recorded with every change.
struct ChangeInfo {
  std::string author;
  /// Unique for each operation. An operation with the token of an earlier one
  /// changes nothing and gets the result of the earlier one.
  std::string token;
  absl::Time time;  ///< Time of day, for the audit row.
};

struct ApplyRequest {
  ChangeInfo change;
  std::string text;  ///< The document; comments are allowed.
  /// If set, the operation ends with kLostRace unless this is the newest
  /// version. 0 means that no version exists yet.
  std::optional<uint64_t> expected_parent = {};
};

struct PromoteRequest {
  ChangeInfo change;
  /// If set, the operation ends with kLostRace unless this version is in trial.
  std::optional<uint64_t> expected_version = {};
};

struct RollbackRequest {
  ChangeInfo change;
  uint64_t version = 0;  ///< A version that has been in production.
};

/// The newest version and the versions in trial and in production. A row that
/// does not exist is std::nullopt.
struct EnvironmentStatus {
  std::optional<HeadRecord> head;
  std::optional<StageRecord> trial;
  std::optional<StageRecord> production;
};

using OperationCallback = std::function<void(const OperationResult&)>;
using StatusCallback = std::function<void(const Outcome<EnvironmentStatus>&)>;
using HistoryCallback =
    std::function<void(const Outcome<std::vector<DocumentRecord>>&)>;
using AuditCallback =
    std::function<void(const Outcome<std::vector<AuditRecord>>&)>;

/// Several operations may run at the same time. Each callback runs exactly
/// once, from a callback of the table service, and possibly after this object
/// has been destroyed. Not thread-safe.
class EnvironmentOperations {
 public:
  /// @param table Must outlive this object and its running operations.
  /// @param environment A name that CheckName() accepts.
  EnvironmentOperations(TableService& table, std::string environment)
      : table(table), environment(std::move(environment)) {}

  /// Writes a document as a new version and puts it in trial.
  void Apply(const ApplyRequest& request, OperationCallback callback);

  /// Promotes the version in trial to production.
  void Promote(const PromoteRequest& request, OperationCallback callback);

  /// Writes the content of an older version as a new version and puts it into
  /// production.
  void Rollback(const RollbackRequest& request, OperationCallback callback);

  /// Finds out whether the operation with `token` was accepted. If it was not,
  /// the operation is prevented from taking effect later, and the result is
  /// kNotDone. Must be called only after the operation has reported kUnknown.
  void Resolve(const std::string& token, OperationCallback callback);

  /// Reads the newest version and the versions in trial and in production.
  void ReadStatus(StatusCallback callback);

  /// Reads the newest versions, at most `limit`, the oldest of them first.
  void ReadHistory(size_t limit, HistoryCallback callback);

  /// Reads the newest audit rows, at most `limit`, the oldest of them first.
  void ReadAudit(size_t limit, AuditCallback callback);

 private:
  TableService& table;
  const std::string environment;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_
