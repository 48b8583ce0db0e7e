#ifndef CRANBERRYHILL_STORE_VIRTUAL_ROW_STORE_TEST_H_
#define CRANBERRYHILL_STORE_VIRTUAL_ROW_STORE_TEST_H_

// A store with the rows of one table, on a virtual clock, for tests that
// simulate many instances.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/virtual_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {

/// Performs the transactions of each part one after another. Keys of rows begin
/// with the digit of their part.
class VirtualRowStore {
 public:
  /// A call that takes effect some time after it was made.
  using Done = std::function<void(HttpResult)>;

  explicit VirtualRowStore(EventQueue& queue) : queue(queue) {}

  void Call(const std::string& target,
            const std::string& body,
            const Done& done) {
    absl::Time now = this->queue.clock.Now();
    if (this->is_silent)
      return;
    if (target.starts_with("update")) {
      char part = target.back();
      this->writes.push_back(now);
      this->writes_by_part[part].push_back(now);
      absl::Time& busy_until =
          this->busy_until.try_emplace(part, absl::InfinitePast())
              .first->second;
      absl::Time start = std::max(now, busy_until);
      if (this->is_down || start - now > absl::Seconds(1)) {
        ++this->refused_writes;
        return this->Answer({this->is_down ? 503 : 429, "", ""}, done);
      }
      busy_until = start + kTransactionTime;
      this->longest_queue = std::max(this->longest_queue, start - now);
      absl::Duration delay =
          this->delay_update ? this->delay_update(body) : absl::ZeroDuration();
      this->queue.Schedule(busy_until - now + delay,
                           [this, part, body, done, delay] {
                             HttpResult answer = this->Update(part, body);
                             if (delay == absl::ZeroDuration())
                               this->Answer(std::move(answer), done);
                           });
      return;
    }
    this->reads.push_back(now);
    if (this->is_down)
      return this->Answer({503, "", ""}, done);
    bool one_row = target.starts_with("row ");
    this->Answer({200,
                  one_row ? this->Page(target.substr(4), 1)
                          : this->Page(target.substr(5), kRowsPerPage),
                  ""},
                 done);
  }

  /// Goes back to the rows of an earlier moment.
  void Restore(const std::map<std::string, std::string>& copy) {
    ++this->era;
    this->rows = copy;
    this->version -= std::min<uint64_t>(this->version, 100);
    for (const auto& [key, value] : copy)
      this->row_versions[key] = std::min(this->row_versions[key], version);
  }

  /// @return The largest number of calls within a second since `from`.
  static size_t MostPerSecond(const std::vector<absl::Time>& calls,
                              absl::Time from) {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < calls.size(); ++last) {
      while (calls[last] - calls[first] >= absl::Seconds(1) ||
             calls[first] < from) {
        if (first == last)
          break;
        ++first;
      }
      if (calls[last] >= from)
        most = std::max(most, last - first + 1);
    }
    return most;
  }

  uint64_t era = 1;
  uint64_t version = 1;
  /// Of an instance. The users' smallest instances have 10 Mbit/s.
  double link_bytes_per_s = 10e6 / 8;
  bool is_down = false;    // Refuses all calls.
  bool is_silent = false;  // Answers no calls.
  /// If set, called with each update. One with a delay is performed so much
  /// later, if its conditions still hold, and is not answered.
  std::function<absl::Duration(const std::string& body)> delay_update;
  std::map<std::string, std::string> rows;
  std::vector<absl::Time> reads;
  std::vector<absl::Time> writes;
  std::map<char, std::vector<absl::Time>> writes_by_part;
  size_t refused_writes = 0;
  size_t conflicts = 0;
  size_t largest_write = 0;  // In bytes.
  absl::Duration longest_queue;

 private:
  static constexpr absl::Duration kTransactionTime = absl::Milliseconds(5);
  static constexpr absl::Duration kLinkTime = absl::Milliseconds(2);
  static constexpr size_t kRowsPerPage = 500;
  static constexpr size_t kMaxEntries = 100;  // Of a transaction.

  void Answer(HttpResult answer, const Done& done) {
    answer.headers.Add("era", std::to_string(this->era));
    // Values are sent in base64.
    absl::Duration transfer =
        absl::Seconds(static_cast<double>(answer.body.size()) * 4 / 3 /
                      this->link_bytes_per_s);
    this->queue.Schedule(kLinkTime + transfer,
                         [answer, done] { done(answer); });
  }

  /// @param body Entries of the form [key, value], with the version that the
  ///     row must have, if any, behind them. Without a value, the row is
  ///     removed.
  HttpResult Update(char part, const std::string& body) {
    this->largest_write = std::max(this->largest_write, body.size());
    nlohmann::json updates = nlohmann::json::parse(body);
    nlohmann::json current = nlohmann::json::array();
    size_t entries = updates.size();
    bool holds = true;
    for (const auto& update : updates) {
      if (update.size() < 3)
        continue;
      ++entries;
      auto row = this->rows.find(part + update[0].get<std::string>());
      bool exists = row != this->rows.end();
      uint64_t found = exists ? this->row_versions.at(row->first) : 0;
      holds = holds && found == update[2].get<uint64_t>();
      if (exists)
        current.push_back({update[0], row->second, found});
    }
    if (entries > kMaxEntries)
      return {400, "", "too many entries"};
    if (!holds) {
      ++this->conflicts;
      return {412, nlohmann::json({current, false, this->version}).dump(), ""};
    }
    ++this->version;
    for (const auto& update : updates) {
      std::string key = part + update[0].get<std::string>();
      if (update[1].is_null()) {
        this->rows.erase(key);
        continue;
      }
      this->rows[key] = update[1].get<std::string>();
      this->row_versions[key] = this->version;
    }
    return {200, nlohmann::json(this->version).dump(), ""};
  }

  std::string Page(const std::string& from, size_t limit) const {
    nlohmann::json page = nlohmann::json::array();
    auto row = this->rows.lower_bound(from);
    auto end = this->rows.lower_bound(
        std::string(1, static_cast<char>(from.front() + 1)));
    for (; row != end && page.size() < limit; ++row) {
      page.push_back({row->first.substr(1), row->second,
                      this->row_versions.at(row->first)});
    }
    return nlohmann::json({page, row != end, this->version}).dump();
  }

  EventQueue& queue;
  std::map<char, absl::Time> busy_until;
  std::map<std::string, uint64_t> row_versions;
};

class VirtualRowCodec : public VirtualCodec {
 public:
  http1::OutgoingRequest EncodeRead(StorePlace place,
                                    std::string_view from) const override {
    http1::OutgoingRequest request;
    request.head.target =
        "read " + std::to_string(place.part) + std::string(from);
    return request;
  }
  http1::OutgoingRequest EncodeReadRow(StorePlace place,
                                       std::string_view key) const override {
    http1::OutgoingRequest request;
    request.head.target =
        "row " + std::to_string(place.part) + std::string(key);
    return request;
  }
  http1::OutgoingRequest EncodeUpdate(
      StorePlace place,
      std::span<const RowUpdate> updates) const override {
    http1::OutgoingRequest request;
    request.head.target = "update " + std::to_string(place.part);
    nlohmann::json body = nlohmann::json::array();
    for (const RowUpdate& update : updates) {
      nlohmann::json entry = nlohmann::json::array({update.key, nullptr});
      if (!update.is_removal)
        entry[1] = update.value;
      if (update.expected_version)
        entry.push_back(*update.expected_version);
      body.push_back(std::move(entry));
    }
    request.body = body.dump();
    return request;
  }
  Result<uint64_t> DecodeWrite(std::string_view body) const override {
    return nlohmann::json::parse(body).get<uint64_t>();
  }
  Result<StorePage> DecodePage(std::string_view body) const override {
    nlohmann::json json = nlohmann::json::parse(body);
    StorePage page;
    for (const auto& row : json[0])
      page.rows.push_back({row[0].get<std::string>(), row[1].get<std::string>(),
                           row[2].get<uint64_t>()});
    page.has_more = json[1].get<bool>();
    page.version = json[2].get<uint64_t>();
    return page;
  }
};

/// Calls that are on their way when their caller is destroyed still take
/// effect.
class VirtualRowCaller : public HttpCaller {
 public:
  /// @param loses_answer Called for each answer; true loses it.
  VirtualRowCaller(EventQueue& queue,
                   VirtualRowStore& store,
                   std::function<bool()> loses_answer)
      : queue(queue), store(store), loses_answer(std::move(loses_answer)) {}

  void Call(const http1::OutgoingRequest& request,
            absl::Duration timeout,
            Callback done) override {
    uint64_t call = ++*this->current;
    this->done = std::move(done);
    auto finish = [this, call, current = std::weak_ptr(this->current)](
                      const HttpResult& answer) {
      auto alive = current.lock();
      if (alive && *alive == call && this->done)
        std::exchange(this->done, nullptr)(answer);
    };
    this->queue.Schedule(
        absl::Milliseconds(2),
        [&store = this->store, target = request.head.target,
         body = request.body, finish, loses_answer = this->loses_answer] {
          store.Call(target, body,
                     [finish, loses_answer](const HttpResult& answer) {
                       if (!loses_answer())
                         finish(answer);
                     });
        });
    this->queue.Schedule(timeout, [finish] { finish({0, "", "timeout"}); });
  }
  void Cancel() override {
    ++*this->current;
    this->done = nullptr;
  }
  bool IsReceiving() const override { return false; }
  size_t received_bytes() const override { return 0; }

 private:
  EventQueue& queue;
  VirtualRowStore& store;
  const std::function<bool()> loses_answer;
  Callback done;
  std::shared_ptr<uint64_t> current = std::make_shared<uint64_t>(0);
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_VIRTUAL_ROW_STORE_TEST_H_
