#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_

// Keys and values of the rows in the table service that store an environment.
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

/// Numbers in keys have leading zeros, so that rows are sorted by number.
std::string DocumentKey(std::string_view environment, uint64_t version);
std::string AuditKey(std::string_view environment, uint64_t sequence);

/// The row `head`, which has the newest version. Each of head, trial and
/// production has the number of the audit row of the change that wrote it, so
/// the highest of the three is the last audit row.
struct HeadRecord {
  uint64_t version = 0;
  uint64_t audit_sequence = 0;
};

/// The rows `trial` and `production`.
struct StageRecord {
  uint64_t generation = 0;  ///< Increases by 1 with each change of the stage.
  uint64_t version = 0;
  std::string digest;
  uint64_t audit_sequence = 0;
};

/// A row `doc/{version}`, which has one version of the document.
struct DocumentRecord {
  uint64_t version = 0;
  std::string text;  ///< The document as CanonicalText().
  std::string digest;
  uint64_t parent = 0;  ///< Version that this one is based on; 0 for the first.
  std::string author;
  /// The last production generation that had this version; 0 if there is none.
  uint64_t promoted_generation = 0;
};

enum class OperationKind { kApply, kPromote, kRollback };

/// @return "apply", "promote" or "rollback".
std::string_view OperationKindName(OperationKind kind);

/// A row `audit/{sequence}`, which describes one change.
struct AuditRecord {
  uint64_t sequence = 0;
  std::string author;
  std::string time;  ///< RFC 3339, UTC.
  OperationKind kind = OperationKind::kApply;
  uint64_t version = 0;  ///< The version that the change created or promoted.
  /// The version that the change replaced in its stage.
  uint64_t previous = 0;
  uint64_t source = 0;  ///< For a rollback, the version whose content was used.
  uint64_t generation = 0;
  std::string token;
};

/// A row `op/{token}`, which has the outcome of one operation.
struct OperationRecord {
  /// The operation can no longer take effect. The other fields are then not
  /// set.
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
/// @param key The row's key, for errors.
Result<HeadRecord> DecodeHead(std::string_view value, std::string_view key);
Result<StageRecord> DecodeStage(std::string_view value, std::string_view key);
Result<DocumentRecord> DecodeDocument(std::string_view value,
                                      std::string_view key);
Result<AuditRecord> DecodeAudit(std::string_view value, std::string_view key);
Result<OperationRecord> DecodeOperation(std::string_view value,
                                        std::string_view key);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_ROWS_H_
