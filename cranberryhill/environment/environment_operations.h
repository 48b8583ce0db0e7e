#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_

// What operators do with an environment: apply a document to trial, promote
// it, roll back, and read the state. Each change is one table transaction with
// an operation token, by which a change whose answer was lost is resolved.
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
  kRefused,   ///< The input breaks a rule; nothing was done.
  kLostRace,  ///< Another change came first; nothing was done.
  kNotDone,   ///< Nothing was done and nothing will be.
  kUnknown,   ///< No answer; Resolve() tells.
};

/// @return "accepted", "refused", "lost_race", "not_done" or "unknown".
std::string_view OperationStateName(OperationState state);

struct OperationResult {
  OperationState state = OperationState::kUnknown;
  /// kAccepted: the version made or promoted; kLostRace: the one that won.
  uint64_t version = 0;
  uint64_t generation = 0;  ///< kAccepted: generation of the changed stage.
  Error error;              ///< All states but kAccepted.
};

/// What every change is recorded with.
struct ChangeInfo {
  std::string author;
  std::string token;  ///< Unique per operation; a repeat is not done twice.
  absl::Time time;    ///< Wall clock time for the audit row.
};

struct ApplyRequest {
  ChangeInfo change;
  std::string text;  ///< The document; comments are allowed.
  /// Lose the race unless this is the newest version; 0: there is none yet.
  std::optional<uint64_t> expected_parent = {};
};

struct PromoteRequest {
  ChangeInfo change;
  std::optional<uint64_t> expected_version = {};  ///< Version in trial.
};

struct RollbackRequest {
  ChangeInfo change;
  uint64_t version = 0;  ///< A version that was in production before.
};

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

/// Several operations may run at the same time. Callbacks run as those of the
/// table do, exactly once; they may outlive this object. Not thread-safe.
class EnvironmentOperations {
 public:
  /// @param table Must outlive this object and its running operations.
  /// @param environment A name that CheckName() accepts.
  EnvironmentOperations(TableService& table, std::string environment)
      : table(table), environment(std::move(environment)) {}

  /// Writes a document as a new version and puts it in trial.
  void Apply(const ApplyRequest& request, OperationCallback callback);

  /// Puts the version in trial into production.
  void Promote(const PromoteRequest& request, OperationCallback callback);

  /// Writes the content of an older version as a new one and puts it into
  /// production.
  void Rollback(const RollbackRequest& request, OperationCallback callback);

  /// Tells whether the operation with `token` was accepted, and prevents it
  /// from taking effect later if it was not (kNotDone). Call this only when
  /// the operation itself has reported kUnknown.
  void Resolve(const std::string& token, OperationCallback callback);

  void ReadStatus(StatusCallback callback);

  /// Reads up to `limit` of the newest versions, oldest first.
  void ReadHistory(size_t limit, HistoryCallback callback);

  /// Reads up to `limit` of the newest audit rows, oldest first.
  void ReadAudit(size_t limit, AuditCallback callback);

 private:
  TableService& table;
  const std::string environment;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_OPERATIONS_H_
