#include "cranberryhill/calls/call_cleaner.h"

#include <utility>
#include <vector>

#include "cranberryhill/calls/internal/call_row.h"

namespace cranberryhill {

struct CallCleaner::State : std::enable_shared_from_this<CallCleaner::State> {
  State(CallCleanerConfig config, const Clock& wall_clock, TableService& table)
      : config(std::move(config)), wall_clock(wall_clock), table(table) {}

  // A row that cannot be decoded is kept: its age is not known.
  bool IsOld(const Row& row) const {
    auto decoded = Capture([&] { return DecodeCallRow(row.value); });
    if (!decoded.ok())
      return false;
    CallRowState state = decoded.value().state;
    bool has_end =
        state == CallRowState::kDone || state == CallRowState::kReleased;
    absl::Duration kept =
        has_end ? this->config.retention : this->config.unknown_retention;
    return this->wall_clock.Now() - decoded.value().written >=
           kept + this->config.clock_tolerance;
  }

  void OnRows(const ReadOutcome& rows) {
    this->busy = false;
    if (!rows.ok())
      return;
    // A short batch is the last one; the next pass starts at the front.
    this->after =
        rows.value().size() < this->config.batch ? "" : rows.value().back().key;
    Transaction transaction;
    for (const Row& row : rows.value()) {
      if (!this->IsOld(row))
        continue;
      transaction.checks.push_back({row.key, row.version});
      transaction.deletes.push_back(row.key);
    }
    if (!transaction.deletes.empty())
      this->Delete(std::move(transaction));
  }

  // Rows whose deletion fails are found again by the next pass.
  void Delete(Transaction transaction) {
    size_t count = transaction.deletes.size();
    this->busy = true;
    this->table.Commit(
        std::move(transaction),
        [weak = this->weak_from_this(), count](const CommitOutcome& outcome) {
          auto self = weak.lock();
          if (self == nullptr)
            return;
          self->busy = false;
          if (outcome.state == CommitState::kCommitted)
            self->deleted += count;
        });
  }

  const CallCleanerConfig config;
  const Clock& wall_clock;
  TableService& table;
  bool busy = false;
  std::string after;
  uint64_t deleted = 0;
};

CallCleaner::CallCleaner(CallCleanerConfig config,
                         const Clock& wall_clock,
                         TableService& table)
    : state(std::make_shared<State>(std::move(config), wall_clock, table)) {}

CallCleaner::~CallCleaner() = default;

void CallCleaner::Step() {
  if (this->state->busy)
    return;
  this->state->busy = true;
  this->state->table.Scan(
      CallRowPrefix(this->state->config.environment), this->state->after,
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
