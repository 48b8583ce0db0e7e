#include "cranberryhill/platform/http_platform.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cranberryhill/base/json.h"
#include "cranberryhill/platform/internal/http_caller.h"

namespace cranberryhill {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr size_t kMaxObjectName = 512;

/// @return The error of an answer that is not the wanted one.
Error AnswerError(const HttpAnswer& answer, std::string_view what) {
  std::string field(what);
  switch (answer.state) {
    case HttpCallState::kNotSent:
      return {ErrorCode::kUnavailable, field, "", answer.problem};
    case HttpCallState::kNoAnswer:
      return {ErrorCode::kUnknown, field, "", answer.problem};
    case HttpCallState::kAnswered:
      break;
  }
  if (answer.status == kHttpNotFound)
    return {ErrorCode::kNotFound, field, "", "does not exist"};
  return {ErrorCode::kUnknown, field, "",
          fmt::format("was answered with HTTP status {}", answer.status)};
}

/// A read without an answer has no effect and may be tried again.
Error ReadError(const HttpAnswer& answer, std::string_view what) {
  Error error = AnswerError(answer, what);
  error.code = ErrorCode::kUnavailable;
  return error;
}

bool IsOk(const HttpAnswer& answer) {
  return answer.state == HttpCallState::kAnswered && answer.status == kHttpOk;
}

Result<std::vector<Row>> ParseRows(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "table"));
  ObjectReader reader(json, "table");
  BOOST_LEAF_AUTO(array, reader.Array("rows"));
  std::vector<Row> rows;
  for (const Json& item : *array) {
    ObjectReader fields(item, reader.PathOf("rows"));
    Row row;
    BOOST_LEAF_ASSIGN(row.key, fields.String("key"));
    BOOST_LEAF_AUTO(version, fields.Int("version", {1, INT64_MAX}));
    row.version = static_cast<uint64_t>(version);
    BOOST_LEAF_ASSIGN(row.value, fields.String("value"));
    rows.push_back(std::move(row));
  }
  return rows;
}

void ReportRows(const HttpAnswer& answer, const ReadCallback& callback) {
  if (!IsOk(answer)) {
    callback(ReadError(answer, "table"));
    return;
  }
  ReadOutcome rows = Capture([&] { return ParseRows(answer.body); });
  if (!rows.ok()) {
    // A broken answer is a fault of the table, not of the caller's input.
    callback(Error{ErrorCode::kUnavailable, rows.error().field,
                   rows.error().value, rows.error().rule});
    return;
  }
  callback(rows);
}

Result<CommitOutcome> ParseCommit(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "table"));
  ObjectReader reader(json, "table");
  BOOST_LEAF_AUTO(committed, reader.Bool("committed"));
  if (committed)
    return CommitOutcome{CommitState::kCommitted, ""};
  BOOST_LEAF_AUTO(key, reader.String("conflict"));
  return CommitOutcome{CommitState::kConflict, key};
}

CommitOutcome CommitOutcomeOf(const HttpAnswer& answer) {
  if (answer.state == HttpCallState::kNotSent)
    return {CommitState::kUnavailable, ""};
  // A status such as 503 may come from a proxy after the commit was sent on.
  if (!IsOk(answer))
    return {CommitState::kUnknown, ""};
  Outcome<CommitOutcome> outcome =
      Capture([&] { return ParseCommit(answer.body); });
  return outcome.ok() ? outcome.value()
                      : CommitOutcome{CommitState::kUnknown, ""};
}

Json TransactionJson(const Transaction& transaction) {
  Json json = {{"checks", Json::array()},
               {"puts", Json::array()},
               {"deletes", transaction.deletes}};
  for (const RowCheck& check : transaction.checks)
    json["checks"].push_back({{"key", check.key}, {"version", check.version}});
  for (const RowPut& put : transaction.puts)
    json["puts"].push_back({{"key", put.key}, {"value", put.value}});
  return json;
}

/// Serializes `json`, or nothing when a string in it is not valid UTF-8.
std::optional<std::string> Dump(const Json& json) {
  try {
    return json.dump();
  } catch (const Json::type_error&) {
    return std::nullopt;
  }
}

Error Utf8Error() {
  return {ErrorCode::kInvalidArgument, "table", "", "text must be UTF-8"};
}

bool IsObjectName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxObjectName &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' ||
                  c == '/';
         });
}

Error ObjectNameError(const std::string& name) {
  return {ErrorCode::kInvalidArgument, "object", name,
          "must be 1 to 512 letters, digits, '.', '_', '-' or '/'"};
}

Result<ListedState> ReadState(ObjectReader& reader) {
  BOOST_LEAF_AUTO(name, reader.String("state"));
  for (ListedState state :
       {ListedState::kLive, ListedState::kLeaving, ListedState::kGone}) {
    if (name == ListedStateName(state))
      return state;
  }
  return MakeError(ErrorCode::kInvalidArgument, reader.PathOf("state"), name,
                   "must be live, leaving or gone");
}

Result<ListedInstance> ParseInstance(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "instance_list.instances"));
  ObjectReader fields(json, "instance_list.instances");
  ListedInstance instance;
  BOOST_LEAF_ASSIGN(instance.id, fields.String("id"));
  BOOST_LEAF_ASSIGN(instance.address, fields.String("address"));
  BOOST_LEAF_ASSIGN(instance.availability_zone,
                    fields.String("availability_zone"));
  BOOST_LEAF_ASSIGN(instance.kind, fields.String("kind"));
  BOOST_LEAF_ASSIGN(instance.state, ReadState(fields));
  return instance;
}

/// Leaves out entries that cannot be read: each has another writer.
Result<InstanceListUpdate> ParseInstances(const std::string& body) {
  constexpr std::string_view kInstances = "instances";
  BOOST_LEAF_AUTO(
      json, ParseJson(WithoutElements(body, kInstances), "instance_list"));
  ObjectReader reader(json, "instance_list");
  InstanceListUpdate update;
  BOOST_LEAF_AUTO(revision, reader.Int("revision", {}));
  update.revision = static_cast<uint64_t>(revision);
  BOOST_LEAF_CHECK(reader.Array(kInstances));
  for (std::string_view element : SplitArray(body, kInstances)) {
    auto instance = Capture([&] { return ParseInstance(element); });
    if (instance.ok())
      update.instances.push_back(std::move(instance.value()));
    else
      update.unreadable_entries.push_back(instance.error());
  }
  return update;
}

}  // namespace

std::string_view ListedStateName(ListedState state) {
  switch (state) {
    case ListedState::kLive:
      return "live";
    case ListedState::kLeaving:
      return "leaving";
    case ListedState::kGone:
      return "gone";
  }
  return "unknown";
}

HttpTableService::HttpTableService(const Endpoint& endpoint,
                                   WorkerPool& pool,
                                   Executor& executor,
                                   const HttpPlatformOptions& options)
    : options(options),
      caller(std::make_unique<HttpCaller>(endpoint, pool, executor)) {}

HttpTableService::~HttpTableService() = default;

void HttpTableService::Read(std::vector<std::string> keys,
                            ReadCallback callback) {
  auto body = Dump(Json{{"keys", std::move(keys)}});
  if (!body) {
    callback(Utf8Error());
    return;
  }
  this->caller->Call(
      {"POST", "/v1/read", std::move(*body), this->options.read_timeout, true},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        ReportRows(answer, callback);
      });
}

void HttpTableService::Scan(std::string prefix,
                            std::string after,
                            size_t limit,
                            ReadCallback callback) {
  auto body = Dump(Json{{"prefix", std::move(prefix)},
                        {"after", std::move(after)},
                        {"limit", limit}});
  if (!body) {
    callback(Utf8Error());
    return;
  }
  this->caller->Call(
      {"POST", "/v1/scan", std::move(*body), this->options.read_timeout, true},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        ReportRows(answer, callback);
      });
}

void HttpTableService::Commit(Transaction transaction,
                              CommitCallback callback) {
  auto body = Dump(TransactionJson(transaction));
  if (!body) {
    callback({CommitState::kUnavailable, ""});
    return;
  }
  this->caller->Call(
      {"POST", "/v1/commit", std::move(*body), this->options.write_timeout,
       false},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        callback(CommitOutcomeOf(answer));
      });
}

HttpObjectStore::HttpObjectStore(const Endpoint& endpoint,
                                 WorkerPool& pool,
                                 Executor& executor,
                                 const HttpPlatformOptions& options)
    : options(options),
      caller(std::make_unique<HttpCaller>(endpoint, pool, executor)) {}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::Put(std::string name,
                          std::string content,
                          PutObjectCallback callback) {
  if (!IsObjectName(name)) {
    callback(ObjectNameError(name));
    return;
  }
  this->caller->Call(
      {"PUT", "/v1/objects/" + name, std::move(content),
       this->options.write_timeout, true},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        callback(IsOk(answer) ? std::nullopt
                              : std::optional(AnswerError(answer, "object")));
      });
}

void HttpObjectStore::Get(std::string name, GetObjectCallback callback) {
  if (!IsObjectName(name)) {
    callback(ObjectNameError(name));
    return;
  }
  this->caller->Call(
      {"GET", "/v1/objects/" + name, "", this->options.read_timeout, true},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        if (IsOk(answer)) {
          callback(answer.body);
        } else {
          callback(AnswerError(answer, "object"));
        }
      });
}

HttpInstanceList::HttpInstanceList(const Endpoint& endpoint,
                                   WorkerPool& pool,
                                   Executor& executor,
                                   const HttpPlatformOptions& options)
    : options(options),
      caller(std::make_unique<HttpCaller>(endpoint, pool, executor)) {}

HttpInstanceList::~HttpInstanceList() = default;

void HttpInstanceList::Poll(uint64_t since, InstanceListCallback callback) {
  this->caller->Call(
      {"GET", fmt::format("/v1/instances?since={}", since), "",
       this->options.read_timeout, true},
      [callback = std::move(callback)](const HttpAnswer& answer) {
        if (!IsOk(answer)) {
          callback(ReadError(answer, "instance_list"));
          return;
        }
        callback(Capture([&] { return ParseInstances(answer.body); }));
      });
}

}  // namespace cranberryhill
