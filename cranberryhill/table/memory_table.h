#ifndef CRANBERRYHILL_TABLE_MEMORY_TABLE_H_
#define CRANBERRYHILL_TABLE_MEMORY_TABLE_H_

// An in-memory table with fault switches, for tests, benchmarks and the
// stand-in of the platform.
//
//   MemoryTable table;
//   table.SetFaults({.lose_answers = true});

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct TableFaults {
  bool outage = false;        ///< Nothing is done; answers kUnavailable.
  bool lose_answers = false;  ///< Commits take effect, answers kUnknown.
  /// Commits answer kUnknown at once and take effect at DeliverLate().
  bool delay_commits = false;
};

/// The table's rows without callbacks; a commit is atomic. Not thread-safe.
class TableRows {
 public:
  std::vector<Row> Read(const std::vector<std::string>& keys) const;
  std::vector<Row> Scan(const std::string& prefix,
                        const std::string& after,
                        size_t limit) const;
  CommitOutcome Commit(const Transaction& transaction);

 private:
  std::map<std::string, Row> rows;
  uint64_t last_version = 0;
};

/// TableService over TableRows. Several MemoryTable objects can share one
/// TableRows to give each simulated instance its own faults.
class MemoryTable : public TableService {
 public:
  /// @param rows The shared rows; must outlive this object.
  explicit MemoryTable(TableRows& rows) : rows(rows) {}

  void SetFaults(const TableFaults& new_faults) { this->faults = new_faults; }

  /// Lets the delayed commits take effect, in the order of their calls.
  void DeliverLate();

  /// With deferral on, calls and their callbacks wait for Pump().
  void SetDeferred(bool value) { this->deferred = value; }

  /// Runs the deferred calls that are queued now.
  void Pump();

  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override;
  void Commit(Transaction transaction, CommitCallback callback) override;

  uint64_t reads() const { return this->read_count; }      // NOLINT
  uint64_t commits() const { return this->commit_count; }  // NOLINT

 private:
  void RunOrDefer(std::function<void()> call);
  CommitOutcome CommitNow(const Transaction& transaction);

  TableRows& rows;
  TableFaults faults;
  std::vector<Transaction> late;
  bool deferred = false;
  std::deque<std::function<void()>> queue;
  uint64_t read_count = 0;
  uint64_t commit_count = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_TABLE_MEMORY_TABLE_H_
