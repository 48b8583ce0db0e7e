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

// Returns a valid document whose content depends on `variant`.
std::string DocumentText(int variant) {
  auto json = SmallDocument();
  json["limits"]["body_bytes"] = 1000 + variant;
  return json.dump();
}

/// Operators that share one table. Each operator has its own faults and its own
/// pending table operations.
struct OperatorSimulation {
  struct Operator {
    explicit Operator(TableRows& rows)
        : table(rows), operations(table, "annex") {
      this->table.SetDeferred(true);
    }
    MemoryTable table;
    EnvironmentOperations operations;
  };

  OperatorSimulation() {
    for (size_t i = 0; i < kOperators; ++i)
      this->operators.push_back(std::make_unique<Operator>(this->rows));
  }

  ChangeInfo NewChange() {
    return {"operator", "token-" + std::to_string(this->next_token++), {}};
  }

  OperationCallback RecordResult(const std::string& token) {
    return [this, token](const OperationResult& result) {
      this->results[token] = result;
    };
  }

  /// Starts an apply (`kind` 0), a promotion (1) or a rollback (2). `variant`
  /// selects the document to apply, or is the version to roll back to.
  void StartOperation(size_t operator_index, int kind, int variant) {
    EnvironmentOperations& operations =
        this->operators[operator_index]->operations;
    ChangeInfo change = this->NewChange();
    this->operator_of_token[change.token] = operator_index;
    if (kind == 0) {
      operations.Apply({change, DocumentText(variant), {}},
                       this->RecordResult(change.token));
    } else if (kind == 1) {
      operations.Promote({change, {}}, this->RecordResult(change.token));
    } else {
      operations.Rollback({change, static_cast<uint64_t>(variant)},
                          this->RecordResult(change.token));
    }
  }

  void ResolveUnknown() {
    for (auto& [token, result] : this->results) {
      if (result.state == OperationState::kUnknown) {
        this->operators[this->operator_of_token[token]]->operations.Resolve(
            token, this->RecordResult(token));
      }
    }
  }

  void RunAllPending() {
    for (int i = 0; i < 100; ++i) {
      for (auto& each_operator : this->operators)
        each_operator->table.Pump();
    }
  }

  std::vector<AuditRecord> ReadAuditRows() {
    std::vector<AuditRecord> audit;
    MemoryTable table(this->rows);
    EnvironmentOperations(table, "annex")
        .ReadAudit(1000, [&](const auto& records) {
          BOOST_REQUIRE(records.ok());
          audit = records.value();
        });
    return audit;
  }

  TableRows rows;
  std::vector<std::unique_ptr<Operator>> operators;
  std::map<std::string, size_t> operator_of_token;
  std::map<std::string, OperationResult> results;
  int next_token = 0;
};

void RunRandomStep(OperatorSimulation& simulation) {
  size_t operator_index = *rc::gen::inRange<size_t>(0, kOperators);
  MemoryTable& table = simulation.operators[operator_index]->table;
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
    case 2:
      simulation.StartOperation(operator_index, *rc::gen::inRange(0, 3),
                                *rc::gen::inRange(0, 5));
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
      simulation.ResolveUnknown();
      break;
    default:
      table.Pump();
  }
}

/// Ends all faults, resolves the operations with an unknown outcome and lets
/// the delayed commits take effect.
void EndFaultsAndResolve(OperatorSimulation& simulation) {
  for (auto& each_operator : simulation.operators)
    each_operator->table.SetFaults({});
  simulation.RunAllPending();
  simulation.ResolveUnknown();
  simulation.RunAllPending();
  for (auto& each_operator : simulation.operators)
    each_operator->table.DeliverLate();
}

// Guards against two changes that create the same version or generation,
// against changes without an audit row and audit rows without a change, and
// against a wrong outcome when an operation is resolved after its answer was
// lost.
RC_BOOST_PROP(ConcurrentOperationsMatchAuditRows, ()) {
  OperatorSimulation simulation;
  int steps = *rc::gen::inRange(10, 120);
  for (int i = 0; i < steps; ++i)
    RunRandomStep(simulation);
  EndFaultsAndResolve(simulation);

  std::vector<AuditRecord> audit = simulation.ReadAuditRows();
  std::set<std::string> audited_tokens;
  std::set<uint64_t> created_versions;
  std::set<uint64_t> promoted_generations;
  for (size_t i = 0; i < audit.size(); ++i) {
    const AuditRecord& row = audit[i];
    RC_ASSERT(row.sequence == i + 1);
    RC_ASSERT(audited_tokens.insert(row.token).second);
    if (row.kind != OperationKind::kPromote)
      RC_ASSERT(created_versions.insert(row.version).second);
    if (row.kind != OperationKind::kApply)
      RC_ASSERT(promoted_generations.insert(row.generation).second);
    const OperationResult& result = simulation.results.at(row.token);
    RC_ASSERT(result.version == row.version);
    RC_ASSERT(result.generation == row.generation);
  }
  for (const auto& [token, result] : simulation.results) {
    RC_ASSERT(result.state != OperationState::kUnknown);
    RC_ASSERT((result.state == OperationState::kAccepted) ==
              audited_tokens.contains(token));
  }
  // Versions and generations have no gaps, which shows that none was
  // overwritten.
  if (!created_versions.empty())
    RC_ASSERT(*created_versions.rbegin() == created_versions.size());
  if (!promoted_generations.empty())
    RC_ASSERT(*promoted_generations.rbegin() == promoted_generations.size());
}

/// One operator whose operations complete at once.
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
    this->operations.Apply(
        {this->NewChange(), DocumentText(variant), parent},
        [&](const auto& operation_result) { result = operation_result; });
    return result;
  }
  OperationResult Promote(std::optional<uint64_t> version = std::nullopt) {
    OperationResult result;
    this->operations.Promote(
        {this->NewChange(), version},
        [&](const auto& operation_result) { result = operation_result; });
    return result;
  }
  OperationResult Rollback(uint64_t version) {
    OperationResult result;
    this->operations.Rollback(
        {this->NewChange(), version},
        [&](const auto& operation_result) { result = operation_result; });
    return result;
  }
};

// Guards against promoting another version than the one in trial, against a
// rollback that reuses a version number, and against a rollback to a version
// that was never in production.
BOOST_AUTO_TEST_CASE(ProductionComesFromTrialOrHistory) {
  SingleOperator single;
  BOOST_TEST((single.Promote().state == OperationState::kRefused));
  BOOST_TEST(single.Apply(1).version == 1U);
  BOOST_TEST((single.Rollback(1).state == OperationState::kRefused));
  BOOST_TEST(single.Promote().generation == 1U);
  BOOST_TEST(single.Apply(2).version == 2U);
  OperationResult stale = single.Promote(1);
  BOOST_TEST((stale.state == OperationState::kLostRace));
  BOOST_TEST(stale.version == 2U);
  BOOST_TEST(single.Promote(2).generation == 2U);
  OperationResult rolled_back = single.Rollback(1);
  BOOST_TEST(rolled_back.version == 3U);
  BOOST_TEST(rolled_back.generation == 3U);
  single.operations.ReadHistory(10, [](const auto& history) {
    BOOST_REQUIRE(history.ok());
    BOOST_REQUIRE(history.value().size() == 3U);
    BOOST_TEST(history.value()[2].digest == history.value()[0].digest);
    BOOST_TEST(history.value()[2].parent == 1U);
  });
}

// Guards against an apply that replaces a version which the operator has not
// seen.
BOOST_AUTO_TEST_CASE(ApplyChecksExpectedParent) {
  SingleOperator single;
  BOOST_TEST(single.Apply(1, 0).version == 1U);
  OperationResult late = single.Apply(2, 0);
  BOOST_TEST((late.state == OperationState::kLostRace));
  BOOST_TEST(late.version == 1U);
}

// Guards against an operation that takes effect twice when it is repeated with
// the same token.
BOOST_AUTO_TEST_CASE(RepeatedTokenTakesEffectOnce) {
  SingleOperator single;
  BOOST_TEST(single.Apply(1).version == 1U);
  single.next_token = 0;
  OperationResult repeat = single.Apply(1);
  BOOST_TEST((repeat.state == OperationState::kAccepted));
  BOOST_TEST(repeat.version == 1U);
}

}  // namespace
}  // namespace cranberryhill
