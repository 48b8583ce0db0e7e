#include "standins/gateway_platform/fake_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "platform/names.h"

namespace cranberryhill::platform {
namespace {

using nlohmann::json;

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(
        std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
    i += 2;
  }
  return decoded;
}

/// @return The value of a query parameter, or nothing.
std::string Parameter(std::string_view target, std::string_view name) {
  std::string key = std::string(name) + "=";
  size_t at = target.find(key);
  if (at == std::string_view::npos)
    return {};
  std::string_view value = target.substr(at + key.size());
  return PercentDecode(value.substr(0, value.find('&')));
}

}  // namespace

void FakeStore::Set(std::string_view table,
                    std::string_view key,
                    std::optional<std::string> value,
                    std::string_view part) {
  this->Put({std::string(table), std::string(part), std::string(key)},
            std::move(value));
}

void FakeStore::Put(RowKey key, std::optional<std::string> value) {
  this->rows[std::move(key)] = {std::move(value), ++this->version};
  this->AnswerWatches();
}

std::optional<std::string> FakeStore::Find(std::string_view table,
                                           std::string_view key,
                                           std::string_view part) const {
  auto found = this->rows.find(
      {std::string(table), std::string(part), std::string(key)});
  return found == this->rows.end() ? std::nullopt : found->second.value;
}

std::vector<std::string> FakeStore::Values(std::string_view table,
                                           std::string_view part) const {
  std::vector<std::string> values;
  for (const auto& [key, row] : this->rows) {
    if (key.table == table && key.part == part && row.value)
      values.push_back(*row.value);
  }
  return values;
}

http1::AnswerHead FakeStore::Head(int status) const {
  http1::AnswerHead head;
  head.status = status;
  head.headers.Add(kStoreEra, std::to_string(this->store_era));
  return head;
}

void FakeStore::SaveCopy() {
  this->copied_rows = this->rows;
  this->copied_version = this->version;
}

void FakeStore::Restore() {
  this->rows = this->copied_rows;
  this->version = this->copied_version;
  this->history_from = 0;
  ++this->store_era;
  for (Watch& watch : std::exchange(this->watches, {}))
    watch.responder->Abort();
}

void FakeStore::SetSilent(bool silent) {
  this->is_silent = silent;
  for (Watch& watch : this->watches)
    this->unanswered.push_back(std::move(watch.responder));
  this->watches.clear();
}

void FakeStore::HoldPagesAfter(std::optional<size_t> bytes) {
  this->page_limit = bytes;
  if (bytes)
    return;
  for (HeldPage& page : std::exchange(this->held_pages, {})) {
    page.responder->SendPart(page.rest);
    page.responder->EndStream();
  }
}

void FakeStore::SendPage(const std::shared_ptr<http1::Responder>& responder,
                         const std::string& page) {
  if (!this->page_limit || page.size() <= *this->page_limit)
    return responder->SendWhole(this->Head(200), page);
  responder->BeginStream(this->Head(200));
  responder->SendPart(std::string_view(page).substr(0, *this->page_limit));
  this->held_pages.push_back({responder, page.substr(*this->page_limit)});
}

std::string FakeStore::Page(std::string_view table,
                            std::string_view part,
                            uint64_t after,
                            bool removed) const {
  json list = json::array();
  for (const auto& [key, row] : this->rows) {
    if (key.table != table || key.part != part || row.version <= after ||
        (!row.value && !removed))
      continue;
    json entry = {{"table", key.table},
                  {"part", key.part},
                  {"key", key.key},
                  {"row-version", row.version}};
    if (row.value)
      entry["value"] = absl::Base64Escape(*row.value);
    else
      entry["tombstone"] = true;
    list.push_back(std::move(entry));
  }
  // The platform's feed names changes in their order, its reads rows by key.
  if (removed) {
    std::stable_sort(list.begin(), list.end(),
                     [](const json& a, const json& b) {
                       return a["row-version"].get<uint64_t>() <
                              b["row-version"].get<uint64_t>();
                     });
  }
  return json{{"rows", list},
              {"has-more", false},
              {"row-version", this->version},
              {"now-ms", absl::ToUnixMillis(this->clock.Now())}}
      .dump();
}

std::string FakeStore::RowPage(std::string_view table,
                               std::string_view part,
                               std::string_view from,
                               std::string_view limit) const {
  json page = json::parse(this->Page(table, part, 0, false));
  json rows = json::array();
  for (json& row : page["rows"]) {
    if (row["key"].get<std::string>() >= from)
      rows.push_back(std::move(row));
  }
  if (!limit.empty() && rows.size() > std::stoull(std::string(limit))) {
    rows.erase(rows.begin() + std::stoi(std::string(limit)), rows.end());
    page["has-more"] = true;
  }
  page["rows"] = std::move(rows);
  return page.dump();
}

bool FakeStore::RefusesWrite(const http1::IncomingRequest& request) const {
  auto host = request.head.headers.Find("Host");
  return this->refuses_writes ||
         (!this->refusing_host.empty() && host == this->refusing_host);
}

std::shared_ptr<http1::ActiveRequest> FakeStore::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  const std::string& target = request.head.target;
  std::string table = Parameter(target, "table");
  std::string part = Parameter(target, "part");
  bool is_write =
      !target.starts_with(kRowsGetPath) && !target.starts_with(kRowsFeedPath);
  if (this->is_silent) {
    this->unanswered.push_back(std::move(responder));
  } else if (this->is_down || (is_write && this->RefusesWrite(request))) {
    responder->SendWhole(this->Head(503), "");
  } else if (target.starts_with(kRowsGetPath)) {
    this->SendPage(responder,
                   this->RowPage(table, part, Parameter(target, "from"),
                                 Parameter(target, "limit")));
  } else if (target.starts_with(kRowsFeedPath)) {
    uint64_t after = std::stoull(Parameter(target, "after"));
    auto wait = absl::Milliseconds(std::stoi(Parameter(target, "wait-ms")));
    if (after + 1 < this->history_from || after > this->version)
      responder->SendWhole(this->Head(410), "");
    else if (wait == absl::ZeroDuration() && !this->holds_watches)
      this->SendPage(responder, this->Page(table, part, after, true));
    else
      this->watches.push_back({table, part, after, wait, std::move(responder)});
    this->AnswerWatches();
  } else {
    this->Write(request.body, *responder);
  }
  return nullptr;
}

FakeStore::RowKey FakeStore::KeyOf(const nlohmann::json& row) {
  return {row["table"].get<std::string>(), row["part"].get<std::string>(),
          row["key"].get<std::string>()};
}

void FakeStore::Write(const std::string& body, http1::Responder& responder) {
  json call = json::parse(body);
  for (const json& condition : call["expected-revision"]) {
    auto found = this->rows.find(KeyOf(condition));
    bool exists = found != this->rows.end() && found->second.value;
    uint64_t current = exists ? found->second.version : 0;
    if (current != condition["row-version"].get<uint64_t>())
      return responder.SendWhole(
          this->Head(412),
          this->Page(condition["table"].get<std::string>(),
                     condition["part"].get<std::string>(), 0, false));
  }
  for (const json& write : call["writes"]) {
    std::string text;
    absl::Base64Unescape(write["value"].get<std::string>(), &text);
    this->Put(KeyOf(write), text);
  }
  for (const json& removal : call["remove"]) {
    auto found = this->rows.find(KeyOf(removal));
    if (found != this->rows.end() && found->second.value)
      this->Put(found->first, std::nullopt);
  }
  if (this->loses_answers)
    return responder.Abort();
  responder.SendWhole(this->Head(200),
                      json{{"row-version", this->version}}.dump());
}

void FakeStore::EndOldWatches(absl::Time now) {
  std::erase_if(this->watches, [&](Watch& watch) {
    watch.until = std::min(watch.until, now + watch.wait);
    if (now < watch.until)
      return false;
    this->SendPage(watch.responder,
                   this->Page(watch.table, watch.part, watch.after, true));
    return true;
  });
}

void FakeStore::AnswerWatches() {
  if (this->holds_watches)
    return;
  std::vector<Watch> open = std::move(this->watches);
  this->watches.clear();
  for (Watch& watch : open) {
    std::string page = this->Page(watch.table, watch.part, watch.after, true);
    if (json::parse(page)["rows"].empty())
      this->watches.push_back(std::move(watch));
    else
      this->SendPage(watch.responder, page);
  }
}

}  // namespace cranberryhill::platform
