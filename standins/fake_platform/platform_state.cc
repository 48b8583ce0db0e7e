#include "standins/fake_platform/platform_state.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryhill {
namespace {

constexpr std::string_view kObjectPrefix = "/v1/objects/";
constexpr int64_t kMaxScanLimit = 10'000;
constexpr int64_t kMaxFaultMs = 3'600'000;

PlatformAnswer JsonAnswer(const Json& json) {
  return {200, json.dump(), {}, false};
}

PlatformAnswer ErrorAnswer(unsigned status, const std::string& message) {
  return {status, Json{{"error", message}}.dump(), {}, false};
}

PlatformAnswer RowsAnswer(const std::vector<Row>& rows) {
  Json json = {{"rows", Json::array()}};
  for (const Row& row : rows) {
    json["rows"].push_back(
        {{"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return JsonAnswer(json);
}

Result<std::vector<std::string>> ReadStrings(ObjectReader& reader,
                                             std::string_view name) {
  std::vector<std::string> strings;
  BOOST_LEAF_AUTO(array, reader.Array(name));
  for (const Json& item : *array) {
    if (!item.is_string()) {
      return MakeError(ErrorCode::kInvalidArgument, reader.PathOf(name),
                       item.dump(), "must be an array of strings");
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

Result<Transaction> ParseTransaction(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "commit"));
  ObjectReader reader(json, "commit");
  Transaction transaction;
  BOOST_LEAF_AUTO(checks, reader.Array("checks"));
  for (const Json& item : *checks) {
    ObjectReader fields(item, reader.PathOf("checks"));
    BOOST_LEAF_AUTO(key, fields.String("key"));
    BOOST_LEAF_AUTO(version, fields.Int("version", {}));
    transaction.checks.push_back({key, static_cast<uint64_t>(version)});
  }
  BOOST_LEAF_AUTO(puts, reader.Array("puts"));
  for (const Json& item : *puts) {
    ObjectReader fields(item, reader.PathOf("puts"));
    BOOST_LEAF_AUTO(key, fields.String("key"));
    BOOST_LEAF_AUTO(value, fields.String("value"));
    transaction.puts.push_back({key, value});
  }
  BOOST_LEAF_ASSIGN(transaction.deletes, ReadStrings(reader, "deletes"));
  return transaction;
}

Result<uint64_t> ParseSince(std::string_view query) {
  constexpr std::string_view kName = "since=";
  if (query.empty())
    return uint64_t{0};
  uint64_t since = 0;
  const char* end = query.data() + query.size();
  if (query.starts_with(kName)) {
    auto [parsed, error] =
        std::from_chars(query.data() + kName.size(), end, since);
    if (error == std::errc() && parsed == end)
      return since;
  }
  return MakeError(ErrorCode::kInvalidArgument, "query", query,
                   "must be since=NUMBER");
}

Result<absl::Duration> ReadMs(ObjectReader& reader, std::string_view name) {
  BOOST_LEAF_AUTO(ms, reader.Int(name, {0, kMaxFaultMs}, 0));
  return absl::Milliseconds(ms);
}

}  // namespace

PlatformAnswer PlatformState::Handle(const PlatformCall& call) {
  std::lock_guard lock(this->mutex);
  if (call.path == "/counts")
    return this->HandleCounts();
  bool is_fault_switch = call.path == "/faults";
  absl::Duration delay =
      is_fault_switch ? absl::ZeroDuration() : this->faults.slowness;
  if (!is_fault_switch) {
    std::string path =
        call.path.starts_with(kObjectPrefix) ? "/v1/objects" : call.path;
    ++this->calls[call.method + " " + path];
    if (this->clock.Now() < this->faults.outage_until) {
      PlatformAnswer answer = ErrorAnswer(503, "outage");
      answer.delay = delay;
      return answer;
    }
  }
  Outcome<PlatformAnswer> outcome =
      Capture([&] { return this->Dispatch(call); });
  PlatformAnswer answer =
      outcome.ok()
          ? outcome.value()
          : ErrorAnswer(
                outcome.error().code == ErrorCode::kNotFound ? 404 : 400,
                outcome.error().ToString());
  answer.delay = delay;
  return answer;
}

Result<PlatformAnswer> PlatformState::Dispatch(const PlatformCall& call) {
  bool post = call.method == "POST";
  if (post && call.path == "/v1/read")
    return this->HandleRead(call.body);
  if (post && call.path == "/v1/scan")
    return this->HandleScan(call.body);
  if (post && call.path == "/v1/commit")
    return this->HandleCommit(call.body);
  if (post && call.path == "/v1/instances")
    return this->HandleInstanceChange(call.body);
  if (post && call.path == "/faults")
    return this->HandleFaults(call.body);
  if (call.method == "GET" && call.path == "/v1/instances")
    return this->HandleList(call.query);
  if (call.path.starts_with(kObjectPrefix))
    return this->HandleObject(call);
  return MakeError(ErrorCode::kNotFound, "path", call.method + " " + call.path,
                   "is not part of the protocol");
}

Result<PlatformAnswer> PlatformState::HandleRead(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "read"));
  ObjectReader reader(json, "read");
  BOOST_LEAF_AUTO(keys, ReadStrings(reader, "keys"));
  return RowsAnswer(this->rows.Read(keys));
}

Result<PlatformAnswer> PlatformState::HandleScan(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "scan"));
  ObjectReader reader(json, "scan");
  BOOST_LEAF_AUTO(prefix, reader.String("prefix"));
  BOOST_LEAF_AUTO(after, reader.String("after", ""));
  BOOST_LEAF_AUTO(limit, reader.Int("limit", {1, kMaxScanLimit}));
  return RowsAnswer(this->rows.Scan(prefix, after, static_cast<size_t>(limit)));
}

Result<PlatformAnswer> PlatformState::HandleCommit(const std::string& body) {
  BOOST_LEAF_AUTO(transaction, ParseTransaction(body));
  CommitOutcome outcome = this->rows.Commit(transaction);
  bool committed = outcome.state == CommitState::kCommitted;
  Json json = {{"committed", committed}};
  if (!committed)
    json["conflict"] = outcome.conflict_key;
  PlatformAnswer answer = JsonAnswer(json);
  answer.lost = this->TakeLostAnswer();
  return answer;
}

Result<PlatformAnswer> PlatformState::HandleObject(const PlatformCall& call) {
  std::string name = call.path.substr(kObjectPrefix.size());
  if (call.method == "PUT") {
    this->objects[name] = call.body;
    PlatformAnswer answer = JsonAnswer(Json::object());
    answer.lost = this->TakeLostAnswer();
    return answer;
  }
  auto found = this->objects.find(name);
  if (call.method != "GET" || found == this->objects.end())
    return MakeError(ErrorCode::kNotFound, "object", name, "does not exist");
  return PlatformAnswer{200, found->second, {}, false};
}

Result<PlatformAnswer> PlatformState::HandleList(const std::string& query) {
  BOOST_LEAF_AUTO(since, ParseSince(query));
  this->ShowDueListChanges();
  Json json = {{"revision", this->list_revision}, {"instances", Json::array()}};
  for (const auto& [id, entry] : this->instances) {
    if (entry.revision > since)
      json["instances"].push_back(Json::parse(entry.instance));
  }
  return JsonAnswer(json);
}

Result<PlatformAnswer> PlatformState::HandleInstanceChange(
    const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "instance"));
  ObjectReader reader(json, "instance");
  BOOST_LEAF_AUTO(id, reader.String("id"));
  for (std::string_view name : {"address", "availability_zone", "kind"})
    BOOST_LEAF_CHECK(reader.String(name));
  BOOST_LEAF_AUTO(state, reader.String("state"));
  if (state != "live" && state != "leaving" && state != "gone") {
    return MakeError(ErrorCode::kInvalidArgument, "state", state,
                     "must be live, leaving or gone");
  }
  if (this->faults.lose_list_changes > 0) {
    --this->faults.lose_list_changes;
  } else {
    this->list_changes.push_back(
        {this->clock.Now() + this->faults.list_lag, id, json.dump()});
  }
  return JsonAnswer(Json::object());
}

Result<PlatformAnswer> PlatformState::HandleFaults(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "faults"));
  ObjectReader reader(json, "faults");
  PlatformFaults parsed;
  BOOST_LEAF_AUTO(outage, ReadMs(reader, "outage_ms"));
  parsed.outage_until = this->clock.Now() + outage;
  BOOST_LEAF_ASSIGN(parsed.slowness, ReadMs(reader, "slow_ms"));
  BOOST_LEAF_ASSIGN(parsed.list_lag, ReadMs(reader, "list_lag_ms"));
  BOOST_LEAF_ASSIGN(parsed.lose_answers, reader.Int("lose_answers", {}, 0));
  BOOST_LEAF_ASSIGN(parsed.lose_list_changes,
                    reader.Int("lose_list_changes", {}, 0));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  this->faults = parsed;
  return JsonAnswer(Json::object());
}

PlatformAnswer PlatformState::HandleCounts() const {
  Json json = Json::object();
  for (const auto& [path, count] : this->calls)
    json[path] = count;
  return JsonAnswer(json);
}

bool PlatformState::TakeLostAnswer() {
  if (this->faults.lose_answers == 0)
    return false;
  --this->faults.lose_answers;
  return true;
}

void PlatformState::ShowDueListChanges() {
  while (!this->list_changes.empty() &&
         this->list_changes.front().visible_at <= this->clock.Now()) {
    ListChange change = std::move(this->list_changes.front());
    this->list_changes.pop_front();
    this->instances[change.id] = {++this->list_revision,
                                  std::move(change.instance)};
  }
}

}  // namespace cranberryhill
