#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_

// Keys and values of the table rows of an environment.
//
//   table.Read({ProductionKey("annex")}, ...);
//   BOOST_LEAF_AUTO(stage, DecodeStage(row.value, row.key));

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

std::string HeadKey(std::string_view environment);
std::string TrialKey(std::string_view environment);
std::string ProductionKey(std::string_view environment);
std::string DocumentPrefix(std::string_view environment);
std::string AuditPrefix(std::string_view environment);
std::string OperationKey(std::string_view environment, std::string_view token);

/// Numbers in keys have leading zeros, so that key order is numeric order.
std::string DocumentKey(std::string_view environment, uint64_t version);
std::string AuditKey(std::string_view environment, uint64_t sequence);

/// `head`: the newest version. Each of head, trial and production names the
/// audit row of the change that wrote it, so the highest of the three is the
/// last audit row.
struct HeadRecord {
  uint64_t version = 0;
  uint64_t audit_sequence = 0;
};

/// `trial` and `production`.
struct StageRecord {
  uint64_t generation = 0;  ///< Grows by one with each change of the stage.
  uint64_t version = 0;
  std::string digest;
  uint64_t audit_sequence = 0;
};

/// `doc/{version}`.
struct DocumentRecord {
  uint64_t version = 0;
  std::string text;  ///< Canonical.
  std::string digest;
  uint64_t parent = 0;  ///< Version that it was made from; 0 for the first.
  std::string author;
  /// Last production generation of this version; 0 when never promoted.
  uint64_t promoted_generation = 0;
};

enum class OperationKind { kApply, kPromote, kRollback };

/// @return "apply", "promote" or "rollback".
std::string_view OperationKindName(OperationKind kind);

/// `audit/{sequence}`.
struct AuditRecord {
  uint64_t sequence = 0;
  std::string author;
  std::string time;  ///< RFC 3339, UTC.
  OperationKind kind = OperationKind::kApply;
  uint64_t version = 0;   ///< Version that the change made or promoted.
  uint64_t previous = 0;  ///< Version that it replaced in its stage.
  uint64_t source = 0;    ///< Rollback: version whose content was taken.
  uint64_t generation = 0;
  std::string token;
};

/// `op/{token}`.
struct OperationRecord {
  /// The operation never takes effect; the other fields are not set.
  bool abandoned = false;
  OperationKind kind = OperationKind::kApply;
  uint64_t version = 0;
  uint64_t generation = 0;
};

std::string Encode(const HeadRecord& record);
std::string Encode(const StageRecord& record);
std::string Encode(const DocumentRecord& record);
std::string Encode(const AuditRecord& record);
std::string Encode(const OperationRecord& record);

/// @param value The row's value.
/// @param key The row's key, used in errors.
Result<HeadRecord> DecodeHead(std::string_view value, std::string_view key);
Result<StageRecord> DecodeStage(std::string_view value, std::string_view key);
Result<DocumentRecord> DecodeDocument(std::string_view value,
                                      std::string_view key);
Result<AuditRecord> DecodeAudit(std::string_view value, std::string_view key);
Result<OperationRecord> DecodeOperation(std::string_view value,
                                        std::string_view key);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_
