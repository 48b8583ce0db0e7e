#include "cranberryhill/store/quarantine_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "cranberryhill/base/json.h"

namespace cranberryhill::gateway {
namespace {

constexpr int64_t kFormat = 1;
/// Keeps the row below 4 KB.
constexpr size_t kMaxEntries = 64;
/// Instances that learn of a quarantine at the same time spread their writes
/// over this time per instance; one of them is enough.
constexpr absl::Duration kWriteSpread = absl::Milliseconds(50);
/// Pause after a failed write; doubles with each. A fleet of 195 instances
/// makes some twelve calls per second while the store is away for long.
constexpr absl::Duration kFirstPause = absl::Seconds(1);
constexpr int kMaxPauseDoublings = 4;
/// An item that is quarantined again within this time does not count as a new
/// one: it has expired here, and a peer that learned of it later still names
/// it.
constexpr absl::Duration kSameQuarantineTime = absl::Seconds(5);
/// An entry that ends so soon is not removed: it may only have ended here
/// before, by a clock that is faster than that of the store.
constexpr absl::Duration kMinTimeOfCleared = absl::Seconds(5);

Result<uint64_t> DecodeId(const std::string& text) {
  uint64_t id = 0;
  if (absl::SimpleHexAtoi(text, &id))
    return id;
  return MakeError(ErrorCode::kInvalidArgument, "entries.id", text,
                   "must be a hexadecimal number");
}

}  // namespace

QuarantineStore::QuarantineStore(std::string key,
                                 QuarantineEnd end,
                                 QuarantineList& list,
                                 QuarantineFleet& fleet,
                                 std::unique_ptr<DelayTimer> timer,
                                 EventLog& log,
                                 const Clock& clock,
                                 Random& random)
    : key(std::move(key)),
      end(end),
      list(list),
      fleet(fleet),
      timer(std::move(timer)),
      log(log),
      clock(clock),
      random(random) {}

void QuarantineStore::ReadRow() {
  if (this->UpdateRow())
    this->RestoreEntries();
}

/// Updates the entries and the time of the store.
/// @return False if the local copy of the row may be out of date.
bool QuarantineStore::UpdateRow() {
  auto found = this->fleet.FindRow(this->key);
  auto now = this->fleet.StoreTime();
  if (!found || !now)
    return false;
  this->store_time = *now;
  uint64_t era = this->fleet.StoreEra();
  if (found->version != this->row_version || era != this->row_era) {
    // What was written may have been lost with the older copy of the store.
    if (era != this->row_era)
      this->written.clear();
    this->row_version = found->version;
    this->row_era = era;
    this->Decode(*found);
  }
  std::erase_if(this->entries, [this](const Entry& entry) {
    return entry.until <= this->store_time;
  });
  absl::erase_if(this->restored, [this](const auto& item) {
    return item.second <= this->store_time;
  });
  return true;
}

void QuarantineStore::Decode(const Row& found) {
  this->entries.clear();
  this->is_other_format = false;
  if (found.version == kAbsentVersion)
    return;
  auto decoded = Capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(json, ParseJson(found.value, "quarantine"));
    ObjectReader reader(json, "quarantine");
    BOOST_LEAF_AUTO(format, reader.Int("format", {}));
    this->is_other_format = format != kFormat;
    if (this->is_other_format)
      return MakeError(ErrorCode::kInvalidArgument, "format",
                       std::to_string(format), "is not known");
    BOOST_LEAF_AUTO(list, reader.Array("entries"));
    std::vector<Entry> read;
    for (const Json& item : *list) {
      ObjectReader fields(item, "quarantine.entries");
      BOOST_LEAF_AUTO(text, fields.String("id"));
      BOOST_LEAF_AUTO(id, DecodeId(text));
      BOOST_LEAF_AUTO(until_ms, fields.Int("until_ms", {}));
      // No entry ends later, even if the clock of the store has been set back.
      absl::Time until = std::min(absl::FromUnixMillis(until_ms),
                                  this->store_time + kLongestQuarantine);
      if (read.size() < kMaxEntries)
        read.push_back({id, until});
    }
    this->entries = std::move(read);
    return true;
  });
  if (decoded.ok())
    return;
  this->log.Write(LogEvent("quarantine_row_ignored")
                      .Add("key", this->key)
                      .Add("row_version", found.version)
                      .Add("reason", decoded.error().ToString()));
}

/// Passes entries to the list that it has not got before.
void QuarantineStore::RestoreEntries() {
  int64_t count = 0;
  for (const Entry& entry : this->entries) {
    auto [known, added] = this->restored.try_emplace(entry.id, entry.until);
    if (!added && known->second >= entry.until)
      continue;
    known->second = entry.until;
    this->list.Restore({entry.id, entry.until - this->store_time});
    ++count;
  }
  if (count > 0) {
    this->log.Write(LogEvent("quarantine_row_read")
                        .Add("key", this->key)
                        .Add("row_version", this->row_version)
                        .Add("restored", count));
  }
}

void QuarantineStore::UpdateWritten() {
  absl::Time now = this->clock.Now();
  for (const QuarantinedItem& item : this->list.Items()) {
    bool in_row = std::any_of(
        this->entries.begin(), this->entries.end(),
        [&item](const Entry& entry) { return entry.id == item.id; });
    if (in_row || this->written.contains(item.id))
      this->written[item.id] = now;
  }
  absl::erase_if(this->written, [now](const auto& item) {
    return now - item.second > kSameQuarantineTime;
  });
}

/// @param items Of the list.
/// @return True if the entry, which the list has got, has been found sound.
bool QuarantineStore::IsCleared(
    const Entry& entry,
    const std::vector<QuarantinedItem>& items) const {
  return this->end == QuarantineEnd::kTimeOrSoundAnswer &&
         this->restored.contains(entry.id) &&
         entry.until - this->store_time > kMinTimeOfCleared &&
         std::none_of(items.begin(), items.end(), [&entry](const auto& item) {
           return item.id == entry.id;
         });
}

/// @return True if the row has to say something else.
bool QuarantineStore::HasWork() const {
  if (this->is_other_format)
    return false;
  std::vector<QuarantinedItem> items = this->list.Items();
  bool lacks_item =
      std::any_of(items.begin(), items.end(),
                  [this](const auto& item) { return this->MustAdd(item); });
  return lacks_item || std::any_of(this->entries.begin(), this->entries.end(),
                                   [&](const Entry& entry) {
                                     return this->IsCleared(entry, items);
                                   });
}

bool QuarantineStore::MustAdd(const QuarantinedItem& item) const {
  return item.is_certain && !this->written.contains(item.id);
}

void QuarantineStore::Tick() {
  if (!this->UpdateRow())
    return;
  this->RestoreEntries();
  this->UpdateWritten();
  auto instances = this->fleet.InstanceCount();
  if (this->write_scheduled || this->write_in_progress || !instances ||
      this->clock.Now() < this->next_write_at || !this->HasWork())
    return;
  this->write_scheduled = true;
  // Another instance may have written it already.
  this->fleet.RefreshRows();
  this->timer->Start(kWriteSpread * static_cast<double>(*instances) *
                         this->random.UniformDouble(),
                     [this] {
                       this->write_scheduled = false;
                       this->WriteRow();
                     });
}

std::vector<QuarantineStore::Entry> QuarantineStore::WantedEntries() const {
  std::vector<QuarantinedItem> items = this->list.Items();
  std::vector<Entry> wanted = this->entries;
  std::erase_if(wanted, [&](const Entry& entry) {
    return this->IsCleared(entry, items);
  });
  for (const QuarantinedItem& item : items) {
    if (this->MustAdd(item)) {
      wanted.push_back(
          {item.id,
           this->store_time + std::min(item.remaining, kLongestQuarantine)});
    }
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const Entry& a, const Entry& b) { return a.until > b.until; });
  if (wanted.size() > kMaxEntries)
    wanted.resize(kMaxEntries);
  return wanted;
}

void QuarantineStore::WriteRow() {
  // Otherwise Tick() schedules the write again.
  if (!this->UpdateRow())
    return;
  this->RestoreEntries();
  this->UpdateWritten();
  if (!this->HasWork())
    return;
  Json list = Json::array();
  for (const Entry& entry : this->WantedEntries()) {
    list.push_back({{"id", fmt::format("{:x}", entry.id)},
                    {"until_ms", absl::ToUnixMillis(entry.until)}});
  }
  // Items that are older than all that fit are not tried again.
  absl::Time now = this->clock.Now();
  std::vector<uint64_t> added;
  for (const QuarantinedItem& item : this->list.Items()) {
    if (this->MustAdd(item))
      added.push_back(item.id);
  }
  Transaction transaction;
  transaction.checks.push_back({this->key, this->row_version});
  transaction.puts.push_back(
      {this->key, Json({{"format", kFormat}, {"entries", list}}).dump()});
  this->write_in_progress = true;
  this->fleet.CommitRow(
      std::move(transaction),
      [this, now, added = std::move(added)](const CommitOutcome& outcome) {
        this->write_in_progress = false;
        if (outcome.state == CommitState::kCommitted) {
          for (uint64_t id : added)
            this->written[id] = now;
          this->log.Write(
              LogEvent("quarantine_row_written")
                  .Add("key", this->key)
                  .Add("added", static_cast<int64_t>(added.size())));
        }
        this->OnCommitted(outcome.state);
      });
}

/// The table logs failures.
void QuarantineStore::OnCommitted(CommitState state) {
  if (state == CommitState::kCommitted || state == CommitState::kConflict) {
    this->failed_writes = 0;
    return;
  }
  int doublings = std::min(this->failed_writes++, kMaxPauseDoublings);
  this->next_write_at =
      this->clock.Now() +
      kFirstPause * (1 << doublings) * (0.5 + this->random.UniformDouble());
}

}  // namespace cranberryhill::gateway
