#ifndef CRANBERRYHILL_TABLE_TABLE_SERVICE_H_
#define CRANBERRYHILL_TABLE_TABLE_SERVICE_H_

// The platform's transactional table service, as the decision code sees it.
// Rows have a key, a version that grows with each write and a text value
// (JSON). A commit checks versions and then writes, atomically.
//
//   Transaction transaction;
//   transaction.checks.push_back({"lease/a", 0});  // must be absent
//   transaction.puts.push_back({"lease/a", value});
//   table.Commit(transaction, [](const CommitOutcome& outcome) { ... });

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// Version of a row that does not exist.
inline constexpr uint64_t kAbsentVersion = 0;

struct Row {
  std::string key;
  uint64_t version = kAbsentVersion;
  std::string value;
};

struct RowCheck {
  std::string key;
  uint64_t version = kAbsentVersion;  ///< kAbsentVersion: must not exist.
};

struct RowPut {
  std::string key;
  std::string value;
};

struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

enum class CommitState {
  kCommitted,
  kConflict,     ///< A check failed; nothing was written.
  kUnavailable,  ///< Nothing was sent, so nothing was or will be written.
  kUnknown,      ///< No answer; it may take effect now, later or never.
};

struct CommitOutcome {
  CommitState state = CommitState::kUnknown;
  std::string conflict_key;  ///< The row whose check failed.
};

/// A batch read. Absent rows are left out.
using ReadOutcome = Outcome<std::vector<Row>>;

using ReadCallback = std::function<void(const ReadOutcome&)>;
using CommitCallback = std::function<void(const CommitOutcome&)>;

/// Asynchronous access to the table service. Callbacks run on the caller's
/// thread, during or after the call, exactly once. Not thread-safe.
class TableService {
 public:
  virtual ~TableService() = default;

  /// Reads rows by key, each at its newest committed version.
  virtual void Read(std::vector<std::string> keys, ReadCallback callback) = 0;

  /// Reads up to `limit` rows whose key starts with `prefix` and comes after
  /// `after`, in key order.
  virtual void Scan(std::string prefix,
                    std::string after,
                    size_t limit,
                    ReadCallback callback) = 0;

  /// Checks and writes atomically.
  virtual void Commit(Transaction transaction, CommitCallback callback) = 0;
};

/// @return The row with `key` in `rows`, or null.
const Row* FindRow(const std::vector<Row>& rows, std::string_view key);

/// @return The version of the row with `key`, kAbsentVersion when missing.
uint64_t VersionOf(const std::vector<Row>& rows, std::string_view key);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_TABLE_TABLE_SERVICE_H_
