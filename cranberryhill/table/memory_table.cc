#include "cranberryhill/table/memory_table.h"

#include <utility>

namespace cranberryhill {
namespace {

Error OutageError() {
  return Error{ErrorCode::kUnavailable, "table", "", "no answer"};
}

}  // namespace

std::vector<Row> TableRows::Read(const std::vector<std::string>& keys) const {
  std::vector<Row> found;
  for (const std::string& key : keys) {
    auto it = this->rows.find(key);
    if (it != this->rows.end())
      found.push_back(it->second);
  }
  return found;
}

std::vector<Row> TableRows::Scan(const std::string& prefix,
                                 const std::string& after,
                                 size_t limit) const {
  std::vector<Row> found;
  auto it = after < prefix ? this->rows.lower_bound(prefix)
                           : this->rows.upper_bound(after);
  for (; it != this->rows.end() && found.size() < limit; ++it) {
    if (!it->first.starts_with(prefix))
      break;
    found.push_back(it->second);
  }
  return found;
}

CommitOutcome TableRows::Commit(const Transaction& transaction) {
  for (const RowCheck& check : transaction.checks) {
    auto it = this->rows.find(check.key);
    uint64_t version =
        it == this->rows.end() ? kAbsentVersion : it->second.version;
    if (version != check.version)
      return {CommitState::kConflict, check.key};
  }
  for (const RowPut& put : transaction.puts) {
    // Versions come from one counter, so that a row that was deleted and
    // inserted again never repeats a version.
    this->rows[put.key] = Row{put.key, ++this->last_version, put.value};
  }
  for (const std::string& key : transaction.deletes)
    this->rows.erase(key);
  return {CommitState::kCommitted, ""};
}

void MemoryTable::RunOrDefer(std::function<void()> call) {
  if (this->deferred) {
    this->queue.push_back(std::move(call));
  } else {
    call();
  }
}

void MemoryTable::Pump() {
  std::deque<std::function<void()>> calls = std::move(this->queue);
  this->queue.clear();
  for (auto& call : calls)
    call();
}

void MemoryTable::DeliverLate() {
  std::vector<Transaction> delayed = std::move(this->late);
  this->late.clear();
  for (const Transaction& transaction : delayed)
    this->rows.Commit(transaction);
}

void MemoryTable::Read(std::vector<std::string> keys, ReadCallback callback) {
  this->RunOrDefer(
      [this, keys = std::move(keys), callback = std::move(callback)] {
        ++this->read_count;
        callback(this->faults.outage ? ReadOutcome(OutageError())
                                     : ReadOutcome(this->rows.Read(keys)));
      });
}

void MemoryTable::Scan(std::string prefix,
                       std::string after,
                       size_t limit,
                       ReadCallback callback) {
  this->RunOrDefer([this, prefix = std::move(prefix), after = std::move(after),
                    limit, callback = std::move(callback)] {
    ++this->read_count;
    callback(this->faults.outage
                 ? ReadOutcome(OutageError())
                 : ReadOutcome(this->rows.Scan(prefix, after, limit)));
  });
}

CommitOutcome MemoryTable::CommitNow(const Transaction& transaction) {
  if (this->faults.outage)
    return {CommitState::kUnavailable, ""};
  if (this->faults.delay_commits) {
    this->late.push_back(transaction);
    return {CommitState::kUnknown, ""};
  }
  CommitOutcome outcome = this->rows.Commit(transaction);
  if (this->faults.lose_answers)
    return {CommitState::kUnknown, ""};
  return outcome;
}

void MemoryTable::Commit(Transaction transaction, CommitCallback callback) {
  this->RunOrDefer([this, transaction = std::move(transaction),
                    callback = std::move(callback)] {
    ++this->commit_count;
    callback(this->CommitNow(transaction));
  });
}

}  // namespace cranberryhill
