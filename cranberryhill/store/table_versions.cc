#include "cranberryhill/store/table_versions.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

std::vector<StoreRow> RowsAfter(uint64_t version,
                                const std::vector<StoreRow>& rows) {
  std::vector<StoreRow> newer;
  for (const StoreRow& row : rows) {
    if (row.version > version)
      newer.push_back(row);
  }
  return newer;
}

}  // namespace

bool TableVersions::OnEra(uint64_t era) {
  if (era == this->current.era)
    return false;
  bool is_first = this->current.era == 0;
  if (is_first) {
    this->current.era = era;
    return false;
  }
  this->current = {};
  this->current.era = era;
  this->peer_version = 0;
  this->snapshot_needed = true;
  return true;
}

void TableVersions::OnSnapshot(uint64_t version,
                               const std::vector<StoreRow>& rows,
                               bool history_lost) {
  this->snapshot_needed = false;
  bool first = !std::exchange(this->has_read_snapshot, true);
  if (first && rows.empty())
    version = 0;
  this->current.seen = version;
  for (const StoreRow& row : rows)
    this->current.newest_row = std::max(this->current.newest_row, row.version);
  this->current.complete_after = version;
  if (history_lost)
    this->current.history_lost = version;
}

std::vector<StoreRow> TableVersions::OnPolled(
    uint64_t version,
    const std::vector<StoreRow>& rows) {
  std::vector<StoreRow> newer = RowsAfter(this->current.seen, rows);
  this->current.seen = std::max(this->current.seen, version);
  for (const StoreRow& row : newer) {
    this->current.seen = std::max(this->current.seen, row.version);
    this->current.newest_row = std::max(this->current.newest_row, row.version);
  }
  this->current.complete_after =
      std::max(this->current.complete_after, this->current.newest_row);
  return newer;
}

std::vector<StoreRow> TableVersions::OnPeerRows(
    uint64_t era,
    uint64_t after,
    uint64_t up_to,
    const std::vector<StoreRow>& rows) {
  if (era != this->current.era)
    return {};
  this->peer_version = std::max(this->peer_version, up_to);
  bool complete = !this->snapshot_needed && this->current.seen >= after;
  if (!complete || this->current.seen >= up_to)
    return {};
  return this->OnPolled(up_to, rows);
}

bool TableVersions::OnPeerProgress(const TableProgress& progress) {
  if (this->snapshot_needed || progress.era != this->current.era)
    return false;
  if (progress.history_lost > this->current.seen)
    return true;
  // The peer has seen no change between what is known here and its `seen`.
  if (progress.complete_after <= this->current.seen)
    this->current.seen = std::max(this->current.seen, progress.seen);
  this->peer_version = std::max(this->peer_version, progress.newest_row);
  return false;
}

}  // namespace cranberryhill::gateway
