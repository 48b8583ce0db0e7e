#include "cranberryhill/store/table_versions.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "cranberryhill/store/row_message.h"

namespace cranberryhill::gateway {
namespace {

using Rows = std::map<std::string, uint64_t>;  // Versions by key.

/// One table of a store that also counts writes to other tables.
class FakeTable {
 public:
  void Write(const std::string& key, bool removed) {
    this->log.push_back({key, "", ++this->version, removed});
  }
  void WriteElsewhere() { ++this->version; }
  void DiscardHistory() { this->discarded_up_to = this->version; }

  /// Goes back by some versions, which are given out again.
  void Restore(uint64_t versions) {
    this->eras[this->era] = this->log;
    ++this->era;
    this->version -= std::min(this->version, versions);
    this->discarded_up_to = std::min(this->discarded_up_to, this->version);
    std::erase_if(this->log, [this](const StoreRow& row) {
      return row.version > this->version;
    });
  }

  Rows At(uint64_t wanted_era, uint64_t wanted_version) const {
    Rows rows;
    auto earlier = this->eras.find(wanted_era);
    const std::vector<StoreRow>& changes =
        earlier == this->eras.end() ? this->log : earlier->second;
    for (const StoreRow& row : changes) {
      if (row.version > wanted_version)
        break;
      if (row.removed)
        rows.erase(row.key);
      else
        rows[row.key] = row.version;
    }
    return rows;
  }

  /// @return All changes, or nothing if they were discarded or `after` was not
  ///     reached yet.
  std::optional<std::vector<StoreRow>> ChangesAfter(uint64_t after) const {
    if (after < this->discarded_up_to || after > this->version)
      return std::nullopt;
    // A feed shows the newest change of each row.
    std::map<std::string, StoreRow> newest;
    for (const StoreRow& row : this->log) {
      if (row.version > after)
        newest[row.key] = row;
    }
    std::vector<StoreRow> rows;
    rows.reserve(newest.size());
    for (const auto& [key, row] : newest)
      rows.push_back(row);
    std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
      return a.version < b.version;
    });
    return rows;
  }

  std::vector<StoreRow> Snapshot() const {
    std::vector<StoreRow> rows;
    for (const auto& [key, row_version] : this->At(this->era, this->version))
      rows.push_back({key, "", row_version, false});
    return rows;
  }

  uint64_t version = 0;
  uint64_t era = 1;

 private:
  std::map<uint64_t, std::vector<StoreRow>> eras;  // Changes of earlier ones.
  std::vector<StoreRow> log;
  uint64_t discarded_up_to = 0;
};

struct Instance {
  void ReadSnapshot(const FakeTable& table, bool history_lost) {
    this->pending_answer.reset();
    this->versions.OnEra(table.era);
    this->rows.clear();
    std::vector<StoreRow> snapshot = table.Snapshot();
    this->versions.OnSnapshot(table.version, snapshot, history_lost);
    this->Apply(snapshot);
  }

  void Apply(const std::vector<StoreRow>& changes) {
    for (const StoreRow& row : changes) {
      if (row.removed)
        this->rows.erase(row.key);
      else
        this->rows[row.key] = row.version;
    }
  }

  /// A call takes effect at the store now; its answer arrives later.
  void StartPoll(const FakeTable& table) {
    auto changes = table.ChangesAfter(this->versions.seen());
    if (!changes)
      return this->ReadSnapshot(table, table.era == this->versions.era());
    this->pending_answer = {table.era, table.version, std::move(*changes)};
  }

  std::vector<RowMessage> EndPoll() {
    if (!this->pending_answer)
      return {};
    auto [era, version, changes] = *std::exchange(this->pending_answer, {});
    if (this->versions.OnEra(era))
      return {};
    uint64_t after = this->versions.progress().complete_after;
    std::vector<StoreRow> newer = this->versions.OnPolled(version, changes);
    this->Apply(newer);
    return SplitIntoMessages(StoreTable::kReplicas, era, after, newer);
  }

  TableVersions versions;
  Rows rows;
  std::optional<std::tuple<uint64_t, uint64_t, std::vector<StoreRow>>>
      pending_answer;  // Era, version and changes.
};

// Guards against rows that go backwards and against removals that are never
// seen, whatever messages are lost, repeated, late or crossed by own calls: an
// instance has exactly the rows that the store had at the version it has seen.
RC_BOOST_PROP(instance_has_the_rows_of_the_version_it_has_seen, ()) {
  constexpr size_t kInstances = 3;
  FakeTable table;
  std::vector<Instance> instances(kInstances);
  std::vector<RowMessage> messages;
  std::vector<TableProgress> reports;
  auto any = [](size_t size) { return *rc::gen::inRange<size_t>(0, size); };
  // New messages are more likely than old ones, as on a network.
  auto any_recent = [&any](size_t size) {
    return size - 1 - any(any(3) == 0 ? size : std::min<size_t>(size, 2));
  };
  auto check = [&] {
    for (const Instance& instance : instances) {
      if (!instance.versions.needs_snapshot())
        RC_ASSERT(instance.rows ==
                  table.At(instance.versions.era(), instance.versions.seen()));
    }
  };
  for (int step = 0; step < 300; ++step) {
    Instance& instance = instances[any(kInstances)];
    uint64_t seen_before = instance.versions.seen();
    uint64_t era_before = instance.versions.era();
    bool needed_snapshot = instance.versions.needs_snapshot();
    switch (any(9)) {
      case 0:
      case 1:
        table.Write(std::to_string(any(5)), any(3) == 0);
        break;
      case 2:
        table.WriteElsewhere();
        break;
      case 3:
        if (any(4) == 0)
          table.DiscardHistory();
        else if (any(4) == 0)
          table.Restore(any(8));
        break;
      case 4:
        if (instance.versions.needs_snapshot())
          instance.ReadSnapshot(table, false);
        else
          instance.StartPoll(table);
        break;
      case 5:
        for (RowMessage& message : instance.EndPoll())
          messages.push_back(std::move(message));
        break;
      case 6:
        reports.push_back(instance.versions.progress());
        break;
      case 7:
        if (!messages.empty()) {
          const RowMessage& message = messages[any_recent(messages.size())];
          instance.Apply(instance.versions.OnPeerRows(
              message.era, message.after, message.up_to, message.rows));
        }
        break;
      case 8:
        if (!reports.empty() && instance.versions.OnPeerProgress(
                                    reports[any_recent(reports.size())]))
          instance.ReadSnapshot(table, false);
        break;
    }
    if (!needed_snapshot && !instance.rows.empty() &&
        instance.versions.era() == era_before)
      RC_ASSERT(instance.versions.seen() >= seen_before ||
                instance.versions.seen() == 0);
    check();
  }
  // All instances know the whole table once each has polled.
  for (Instance& instance : instances) {
    instance.ReadSnapshot(table, false);
    instance.StartPoll(table);
    instance.EndPoll();
    RC_ASSERT(instance.rows == table.At(table.era, table.version));
  }
}

// Guards against an instance that keeps a removed row for good: the store had
// discarded the removal, and no message of a peer shows it.
BOOST_AUTO_TEST_CASE(snapshot_after_lost_history_reaches_all_instances) {
  FakeTable table;
  table.Write("x", false);
  Instance poller;
  Instance other;
  poller.ReadSnapshot(table, false);
  other.ReadSnapshot(table, false);
  table.Write("x", true);
  table.DiscardHistory();
  poller.StartPoll(table);
  BOOST_TEST(poller.rows.empty());
  BOOST_TEST(other.versions.OnPeerProgress(poller.versions.progress()));
}

// Guards against instances that poll the store although nothing has changed.
BOOST_AUTO_TEST_CASE(progress_of_a_peer_replaces_a_poll) {
  FakeTable table;
  table.Write("x", false);
  Instance poller;
  Instance other;
  other.ReadSnapshot(table, false);
  poller.ReadSnapshot(table, false);
  for (int i = 0; i < 10; ++i)
    table.WriteElsewhere();
  poller.StartPoll(table);
  poller.EndPoll();
  poller.StartPoll(table);
  poller.EndPoll();
  other.versions.OnPeerProgress(poller.versions.progress());
  BOOST_TEST(!other.versions.IsBehindPeers());
}

}  // namespace
}  // namespace cranberryhill::gateway
