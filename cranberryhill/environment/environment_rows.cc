#include "cranberryhill/environment/environment_rows.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

std::string MakeEnvironmentKey(std::string_view environment,
                               std::string_view suffix) {
  return fmt::format("env/{}/{}", environment, suffix);
}

Result<uint64_t> ReadUnsigned(ObjectReader& reader,
                              std::string_view name,
                              std::optional<int64_t> default_value = {}) {
  BOOST_LEAF_AUTO(number, reader.Int(name, {}, default_value));
  return static_cast<uint64_t>(number);
}

Result<OperationKind> ReadOperationKind(ObjectReader& reader) {
  BOOST_LEAF_AUTO(name, reader.String("action"));
  for (OperationKind kind : {OperationKind::kApply, OperationKind::kPromote,
                             OperationKind::kRollback}) {
    if (name == OperationKindName(kind))
      return kind;
  }
  return MakeError(ErrorCode::kInvalidArgument, reader.PathOf("action"), name,
                   "must be apply, promote or rollback");
}

}  // namespace

std::string HeadKey(std::string_view environment) {
  return MakeEnvironmentKey(environment, "head");
}

std::string TrialKey(std::string_view environment) {
  return MakeEnvironmentKey(environment, "trial");
}

std::string ProductionKey(std::string_view environment) {
  return MakeEnvironmentKey(environment, "production");
}

std::string DocumentPrefix(std::string_view environment) {
  return MakeEnvironmentKey(environment, "doc/");
}

std::string AuditPrefix(std::string_view environment) {
  return MakeEnvironmentKey(environment, "audit/");
}

std::string OperationKey(std::string_view environment, std::string_view token) {
  return MakeEnvironmentKey(environment, fmt::format("op/{}", token));
}

std::string DocumentKey(std::string_view environment, uint64_t version) {
  return fmt::format("{}{:012}", DocumentPrefix(environment), version);
}

std::string AuditKey(std::string_view environment, uint64_t sequence) {
  return fmt::format("{}{:012}", AuditPrefix(environment), sequence);
}

std::string_view OperationKindName(OperationKind kind) {
  switch (kind) {
    case OperationKind::kApply:
      return "apply";
    case OperationKind::kPromote:
      return "promote";
    case OperationKind::kRollback:
      return "rollback";
  }
  return "unknown";
}

std::string Encode(const HeadRecord& record) {
  return Json{{"version", record.version},
              {"audit_sequence", record.audit_sequence}}
      .dump();
}

std::string Encode(const StageRecord& record) {
  return Json{{"generation", record.generation},
              {"version", record.version},
              {"digest", record.digest},
              {"audit_sequence", record.audit_sequence}}
      .dump();
}

std::string Encode(const DocumentRecord& record) {
  return Json{{"version", record.version},
              {"document", record.text},
              {"digest", record.digest},
              {"parent", record.parent},
              {"author", record.author},
              {"promoted_generation", record.promoted_generation}}
      .dump();
}

std::string Encode(const AuditRecord& record) {
  return Json{
      {"sequence", record.sequence}, {"author", record.author},
      {"time", record.time},         {"action", OperationKindName(record.kind)},
      {"version", record.version},   {"previous", record.previous},
      {"source", record.source},     {"generation", record.generation},
      {"token", record.token}}
      .dump();
}

std::string Encode(const OperationRecord& record) {
  if (record.abandoned)
    return Json{{"state", "abandoned"}}.dump();
  return Json{{"state", "accepted"},
              {"action", OperationKindName(record.kind)},
              {"version", record.version},
              {"generation", record.generation}}
      .dump();
}

Result<HeadRecord> DecodeHead(std::string_view value, std::string_view key) {
  BOOST_LEAF_AUTO(json, ParseJson(value, key));
  ObjectReader reader(json, key);
  HeadRecord record;
  BOOST_LEAF_ASSIGN(record.version, ReadUnsigned(reader, "version"));
  BOOST_LEAF_ASSIGN(record.audit_sequence,
                    ReadUnsigned(reader, "audit_sequence"));
  return record;
}

Result<StageRecord> DecodeStage(std::string_view value, std::string_view key) {
  BOOST_LEAF_AUTO(json, ParseJson(value, key));
  ObjectReader reader(json, key);
  StageRecord record;
  BOOST_LEAF_ASSIGN(record.generation, ReadUnsigned(reader, "generation"));
  BOOST_LEAF_ASSIGN(record.version, ReadUnsigned(reader, "version"));
  BOOST_LEAF_ASSIGN(record.digest, reader.String("digest"));
  BOOST_LEAF_ASSIGN(record.audit_sequence,
                    ReadUnsigned(reader, "audit_sequence"));
  return record;
}

Result<DocumentRecord> DecodeDocument(std::string_view value,
                                      std::string_view key) {
  BOOST_LEAF_AUTO(json, ParseJson(value, key));
  ObjectReader reader(json, key);
  DocumentRecord record;
  BOOST_LEAF_ASSIGN(record.version, ReadUnsigned(reader, "version"));
  BOOST_LEAF_ASSIGN(record.text, reader.String("document"));
  BOOST_LEAF_ASSIGN(record.digest, reader.String("digest"));
  BOOST_LEAF_ASSIGN(record.parent, ReadUnsigned(reader, "parent"));
  BOOST_LEAF_ASSIGN(record.author, reader.String("author"));
  BOOST_LEAF_ASSIGN(record.promoted_generation,
                    ReadUnsigned(reader, "promoted_generation"));
  return record;
}

Result<AuditRecord> DecodeAudit(std::string_view value, std::string_view key) {
  BOOST_LEAF_AUTO(json, ParseJson(value, key));
  ObjectReader reader(json, key);
  AuditRecord record;
  BOOST_LEAF_ASSIGN(record.sequence, ReadUnsigned(reader, "sequence"));
  BOOST_LEAF_ASSIGN(record.author, reader.String("author"));
  BOOST_LEAF_ASSIGN(record.time, reader.String("time"));
  BOOST_LEAF_ASSIGN(record.kind, ReadOperationKind(reader));
  BOOST_LEAF_ASSIGN(record.version, ReadUnsigned(reader, "version"));
  BOOST_LEAF_ASSIGN(record.previous, ReadUnsigned(reader, "previous"));
  BOOST_LEAF_ASSIGN(record.source, ReadUnsigned(reader, "source"));
  BOOST_LEAF_ASSIGN(record.generation, ReadUnsigned(reader, "generation"));
  BOOST_LEAF_ASSIGN(record.token, reader.String("token"));
  return record;
}

Result<OperationRecord> DecodeOperation(std::string_view value,
                                        std::string_view key) {
  BOOST_LEAF_AUTO(json, ParseJson(value, key));
  ObjectReader reader(json, key);
  OperationRecord record;
  BOOST_LEAF_AUTO(state, reader.String("state"));
  record.abandoned = state == "abandoned";
  if (!record.abandoned && state != "accepted") {
    return MakeError(ErrorCode::kInvalidArgument, reader.PathOf("state"), state,
                     "must be accepted or abandoned");
  }
  if (record.abandoned)
    return record;
  BOOST_LEAF_ASSIGN(record.kind, ReadOperationKind(reader));
  BOOST_LEAF_ASSIGN(record.version, ReadUnsigned(reader, "version"));
  BOOST_LEAF_ASSIGN(record.generation, ReadUnsigned(reader, "generation"));
  return record;
}

}  // namespace cranberryhill
