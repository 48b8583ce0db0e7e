#include "cranberryhill/table/memory_table.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill {
namespace {

// Guards against a conflicting commit that writes a part of its rows.
BOOST_AUTO_TEST_CASE(FailedCheckWritesNothing) {
  TableRows rows;
  rows.Commit({{}, {{"a", "1"}}, {}});
  CommitOutcome outcome =
      rows.Commit({{{"b", 0}, {"a", 0}}, {{"b", "2"}}, {"a"}});
  BOOST_TEST((outcome.state == CommitState::kConflict));
  BOOST_TEST(outcome.conflict_key == "a");
  BOOST_TEST(rows.Read({"a", "b"}).size() == 1U);
}

// Guards against a check that passes after a row was deleted and re-inserted.
BOOST_AUTO_TEST_CASE(VersionsAreNeverReused) {
  TableRows rows;
  rows.Commit({{}, {{"a", "1"}}, {}});
  uint64_t first = rows.Read({"a"})[0].version;
  rows.Commit({{}, {}, {"a"}});
  rows.Commit({{}, {{"a", "2"}}, {}});
  BOOST_TEST(rows.Read({"a"})[0].version > first);
}

// Guards against a delayed commit that overwrites what came before it.
BOOST_AUTO_TEST_CASE(LateCommitIsCheckedOnDelivery) {
  TableRows rows;
  MemoryTable slow(rows);
  slow.SetFaults({.delay_commits = true});
  slow.Commit({{{"a", 0}}, {{"a", "late"}}, {}}, [](const CommitOutcome&) {});
  rows.Commit({{{"a", 0}}, {{"a", "fence"}}, {}});
  slow.DeliverLate();
  BOOST_TEST(rows.Read({"a"})[0].value == "fence");
}

// Guards against a scan that skips or repeats rows between pages.
BOOST_AUTO_TEST_CASE(ScanPagesCoverThePrefixOnce) {
  TableRows rows;
  rows.Commit({{}, {{"p/1", ""}, {"p/2", ""}, {"p/3", ""}, {"q", ""}}, {}});
  auto page = rows.Scan("p/", "", 2);
  BOOST_REQUIRE(page.size() == 2U);
  auto rest = rows.Scan("p/", page.back().key, 2);
  BOOST_REQUIRE(rest.size() == 1U);
  BOOST_TEST(rest[0].key == "p/3");
}

}  // namespace
}  // namespace cranberryhill
