#include "cranberryhill/calls/call_cleaner.h"

#include <utility>
#include <vector>

#include "cranberryhill/calls/internal/call_row.h"

namespace cranberryhill {

struct CallCleaner::State : std::enable_shared_from_this<CallCleaner::State> {
  State(CallCleanerConfig config, const Clock& wall_clock, TableService& table)
      : config(std::move(config)), wall_clock(wall_clock), table(table) {}

  // Returns false for a row that cannot be decoded, because its age is unknown.
  bool IsExpired(const Row& row) const {
    auto decoded = Capture([&] { return DecodeCallRow(row.value); });
    if (!decoded.ok())
      return false;
    CallRowState state = decoded.value().state;
    bool has_ended =
        state == CallRowState::kDone || state == CallRowState::kReleased;
    absl::Duration retention =
        has_ended ? this->config.retention : this->config.unknown_retention;
    return this->wall_clock.Now() - decoded.value().written_at >=
           retention + this->config.clock_tolerance;
  }

  void OnRows(const ReadOutcome& rows) {
    this->is_waiting = false;
    if (!rows.ok())
      return;
    // A batch that is not full is the last one of the pass. The next scan
    // starts again at the first row.
    this->scan_after =
        rows.value().size() < this->config.batch ? "" : rows.value().back().key;
    Transaction transaction;
    for (const Row& row : rows.value()) {
      if (!this->IsExpired(row))
        continue;
      transaction.checks.push_back({row.key, row.version});
      transaction.deletes.push_back(row.key);
    }
    if (!transaction.deletes.empty())
      this->Delete(std::move(transaction));
  }

  // Rows whose deletion fails are found again by the next pass.
  void Delete(Transaction transaction) {
    size_t row_count = transaction.deletes.size();
    this->is_waiting = true;
    this->table.Commit(std::move(transaction),
                       [weak = this->weak_from_this(),
                        row_count](const CommitOutcome& outcome) {
                         auto self = weak.lock();
                         if (self == nullptr)
                           return;
                         self->is_waiting = false;
                         if (outcome.state == CommitState::kCommitted)
                           self->deleted += row_count;
                       });
  }

  const CallCleanerConfig config;
  const Clock& wall_clock;
  TableService& table;
  bool is_waiting = false;
  std::string scan_after;
  uint64_t deleted = 0;
};

CallCleaner::CallCleaner(CallCleanerConfig config,
                         const Clock& wall_clock,
                         TableService& table)
    : state(std::make_shared<State>(std::move(config), wall_clock, table)) {}

CallCleaner::~CallCleaner() = default;

void CallCleaner::Step() {
  if (this->state->is_waiting)
    return;
  this->state->is_waiting = true;
  this->state->table.Scan(
      CallRowPrefix(this->state->config.environment), this->state->scan_after,
      this->state->config.batch,
      [weak = std::weak_ptr<State>(this->state)](const ReadOutcome& rows) {
        if (auto self = weak.lock())
          self->OnRows(rows);
      });
}

uint64_t CallCleaner::deleted() const {
  return this->state->deleted;
}

}  // namespace cranberryhill
