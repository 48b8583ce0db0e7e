#include "cranberryhill/environment/environment_operations.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <set>

#include "cranberryhill/environment/test_documents.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr size_t kOperators = 3;

std::string DocumentText(int variant) {
  auto json = SmallDocument();
  json["limits"]["body_bytes"] = 1000 + variant;
  return json.dump();
}

/// Operators that share one table, each with its own faults and its own
/// outstanding calls.
struct Operators {
  struct Operator {
    explicit Operator(TableRows& rows)
        : table(rows), operations(table, "annex") {
      this->table.SetDeferred(true);
    }
    MemoryTable table;
    EnvironmentOperations operations;
  };

  Operators() {
    for (size_t i = 0; i < kOperators; ++i)
      this->members.push_back(std::make_unique<Operator>(this->rows));
  }

  ChangeInfo NewChange() {
    return {"operator", "token-" + std::to_string(this->next_token++), {}};
  }

  OperationCallback Record(const std::string& token) {
    return [this, token](const OperationResult& result) {
      this->results[token] = result;
    };
  }

  void Begin(size_t who, int kind, int number) {
    EnvironmentOperations& operations = this->members[who]->operations;
    ChangeInfo change = this->NewChange();
    this->owners[change.token] = who;
    if (kind == 0) {
      operations.Apply({change, DocumentText(number), {}},
                       this->Record(change.token));
    } else if (kind == 1) {
      operations.Promote({change, {}}, this->Record(change.token));
    } else {
      operations.Rollback({change, static_cast<uint64_t>(number)},
                          this->Record(change.token));
    }
  }

  void ResolveUnknown() {
    for (auto& [token, result] : this->results) {
      if (result.state == OperationState::kUnknown) {
        this->members[this->owners[token]]->operations.Resolve(
            token, this->Record(token));
      }
    }
  }

  void PumpAll() {
    for (int i = 0; i < 100; ++i) {
      for (auto& member : this->members)
        member->table.Pump();
    }
  }

  std::vector<AuditRecord> Audit() {
    std::vector<AuditRecord> audit;
    MemoryTable table(this->rows);
    EnvironmentOperations(table, "annex").ReadAudit(1000, [&](const auto& all) {
      BOOST_REQUIRE(all.ok());
      audit = all.value();
    });
    return audit;
  }

  TableRows rows;
  std::vector<std::unique_ptr<Operator>> members;
  std::map<std::string, size_t> owners;
  std::map<std::string, OperationResult> results;
  int next_token = 0;
};

void RunRandomStep(Operators& all) {
  size_t who = *rc::gen::inRange<size_t>(0, kOperators);
  MemoryTable& table = all.members[who]->table;
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
    case 2:
      all.Begin(who, *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 5));
      break;
    case 3:
      table.SetFaults({.outage = *rc::gen::arbitrary<bool>(),
                       .lose_answers = *rc::gen::arbitrary<bool>(),
                       .delay_commits = *rc::gen::arbitrary<bool>()});
      break;
    case 4:
      table.DeliverLate();
      break;
    case 5:
      all.ResolveUnknown();
      break;
    default:
      table.Pump();
  }
}

/// Ends all faults, resolves what is unknown and lets late commits arrive.
void Settle(Operators& all) {
  for (auto& member : all.members)
    member->table.SetFaults({});
  all.PumpAll();
  all.ResolveUnknown();
  all.PumpAll();
  for (auto& member : all.members)
    member->table.DeliverLate();
}

// Guards against two changes that both win one version or generation, against
// changes without an audit row or audit rows without a change, and against a
// lost answer that is resolved wrongly.
RC_BOOST_PROP(RacingOperatorsAgreeWithTheTable, ()) {
  Operators all;
  int steps = *rc::gen::inRange(10, 120);
  for (int i = 0; i < steps; ++i)
    RunRandomStep(all);
  Settle(all);

  std::vector<AuditRecord> audit = all.Audit();
  std::set<std::string> audited;
  std::set<uint64_t> made;
  std::set<uint64_t> promoted;
  for (size_t i = 0; i < audit.size(); ++i) {
    const AuditRecord& row = audit[i];
    RC_ASSERT(row.sequence == i + 1);
    RC_ASSERT(audited.insert(row.token).second);
    if (row.kind != OperationKind::kPromote)
      RC_ASSERT(made.insert(row.version).second);
    if (row.kind != OperationKind::kApply)
      RC_ASSERT(promoted.insert(row.generation).second);
    const OperationResult& result = all.results.at(row.token);
    RC_ASSERT(result.version == row.version);
    RC_ASSERT(result.generation == row.generation);
  }
  for (const auto& [token, result] : all.results) {
    RC_ASSERT(result.state != OperationState::kUnknown);
    RC_ASSERT((result.state == OperationState::kAccepted) ==
              audited.contains(token));
  }
  // Versions and generations have no gaps, so none was overwritten.
  if (!made.empty())
    RC_ASSERT(*made.rbegin() == made.size());
  if (!promoted.empty())
    RC_ASSERT(*promoted.rbegin() == promoted.size());
}

struct SingleOperator {
  TableRows rows;
  MemoryTable table{rows};
  EnvironmentOperations operations{table, "annex"};
  int next_token = 0;

  ChangeInfo NewChange() {
    return {"anna", "t" + std::to_string(this->next_token++), {}};
  }
  OperationResult Apply(int variant,
                        std::optional<uint64_t> parent = std::nullopt) {
    OperationResult result;
    this->operations.Apply({this->NewChange(), DocumentText(variant), parent},
                           [&](const auto& r) { result = r; });
    return result;
  }
  OperationResult Promote(std::optional<uint64_t> version = std::nullopt) {
    OperationResult result;
    this->operations.Promote({this->NewChange(), version},
                             [&](const auto& r) { result = r; });
    return result;
  }
  OperationResult Rollback(uint64_t version) {
    OperationResult result;
    this->operations.Rollback({this->NewChange(), version},
                              [&](const auto& r) { result = r; });
    return result;
  }
};

// Guards against a promotion of another version than the tried one, and
// against a rollback that reuses a version or to content that was never tried.
BOOST_AUTO_TEST_CASE(ProductionComesFromTrialOrHistory) {
  SingleOperator one;
  BOOST_TEST((one.Promote().state == OperationState::kRefused));
  BOOST_TEST(one.Apply(1).version == 1U);
  BOOST_TEST((one.Rollback(1).state == OperationState::kRefused));
  BOOST_TEST(one.Promote().generation == 1U);
  BOOST_TEST(one.Apply(2).version == 2U);
  OperationResult stale = one.Promote(1);
  BOOST_TEST((stale.state == OperationState::kLostRace));
  BOOST_TEST(stale.version == 2U);
  BOOST_TEST(one.Promote(2).generation == 2U);
  OperationResult back = one.Rollback(1);
  BOOST_TEST(back.version == 3U);
  BOOST_TEST(back.generation == 3U);
  one.operations.ReadHistory(10, [](const auto& history) {
    BOOST_REQUIRE(history.ok());
    BOOST_REQUIRE(history.value().size() == 3U);
    BOOST_TEST(history.value()[2].digest == history.value()[0].digest);
    BOOST_TEST(history.value()[2].parent == 1U);
  });
}

// Guards against an operator who overwrites a version that they have not seen.
BOOST_AUTO_TEST_CASE(ApplyChecksTheExpectedParent) {
  SingleOperator one;
  BOOST_TEST(one.Apply(1, 0).version == 1U);
  OperationResult late = one.Apply(2, 0);
  BOOST_TEST((late.state == OperationState::kLostRace));
  BOOST_TEST(late.version == 1U);
}

// Guards against a command that is repeated with its token and done twice.
BOOST_AUTO_TEST_CASE(RepeatedTokenIsDoneOnce) {
  SingleOperator one;
  BOOST_TEST(one.Apply(1).version == 1U);
  one.next_token = 0;
  OperationResult repeat = one.Apply(1);
  BOOST_TEST((repeat.state == OperationState::kAccepted));
  BOOST_TEST(repeat.version == 1U);
}

}  // namespace
}  // namespace cranberryhill
