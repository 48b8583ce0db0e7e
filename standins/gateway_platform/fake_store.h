#ifndef STANDINS_GATEWAY_PLATFORM_FAKE_STORE_H_
#define STANDINS_GATEWAY_PLATFORM_FAKE_STORE_H_

// The store of the users' platform, as far as the gateway uses it: rows, pages
// and watches, with outages on request.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/http1/server.h"

namespace cranberryhill::platform {

/// The store of the platform, as far as the gateway uses it.
class FakeStore : public http1::RequestHandler {
 public:
  /// @param value Text of the row; nothing removes it.
  void Set(std::string_view table,
           std::string_view key,
           std::optional<std::string> value,
           std::string_view part = "");

  /// Answers everything with 503 while true.
  void SetDown(bool down) { this->is_down = down; }

  /// Answers nothing while true, on connections that stay open; calls made
  /// meanwhile are never answered.
  void SetSilent(bool silent);

  /// Answers no watches while true, so that those who watch keep old copies.
  void HoldWatches(bool hold) {
    this->holds_watches = hold;
    this->AnswerWatches();
  }

  /// Answers all writes with 503 while true.
  void SetRefusesWrites(bool refuses) { this->refuses_writes = refuses; }

  /// Answers the writes of clients that call the store by this name with 503.
  void RefuseWritesTo(std::string_view host) { this->refusing_host = host; }

  /// Holds back what lies beyond the first `bytes` of each page while set, as a
  /// slow link does; sends the rest when cleared.
  void HoldPagesAfter(std::optional<size_t> bytes);

  /// @return Number of pages of which a part is held back.
  size_t PagesHeld() const { return this->held_pages.size(); }

  /// Carries writes out and ends the connection instead of answering.
  void SetLosesAnswers(bool loses) { this->loses_answers = loses; }

  /// Answers watches whose time has passed with an empty page. To be called
  /// several times a second where watches must end.
  void EndOldWatches(absl::Time now);

  /// Keeps a copy of all rows.
  void SaveCopy();

  /// Goes back to the copy: what was written since is lost, and its versions
  /// are given out again. Open calls get no answer.
  void Restore();

  /// Forgets what changed before now.
  void DropHistory() { this->history_from = this->version + 1; }

  uint64_t era() const { return this->store_era; }  // NOLINT

  std::optional<std::string> Find(std::string_view table,
                                  std::string_view key,
                                  std::string_view part = "") const;

  /// @return The values of all rows of a table in one part of the store.
  std::vector<std::string> Values(std::string_view table,
                                  std::string_view part) const;

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int, std::string_view) override {}

 private:
  struct Row {
    std::optional<std::string> value;
    uint64_t version = 0;
  };
  struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    bool operator<(const RowKey& other) const {
      return std::tie(this->table, this->part, this->key) <
             std::tie(other.table, other.part, other.key);
    }
  };
  struct Watch {
    std::string table;
    std::string part;
    uint64_t after = 0;
    absl::Duration wait;
    std::shared_ptr<http1::Responder> responder;
    absl::Time until = absl::InfiniteFuture();  // Set by EndOldWatches().
  };

  struct HeldPage {
    std::shared_ptr<http1::Responder> responder;
    std::string rest;
  };

  void SendPage(const std::shared_ptr<http1::Responder>& responder,
                const std::string& page);
  /// @param from First key of the page.
  /// @param limit Most rows of the page; empty for all.
  std::string RowPage(std::string_view table,
                      std::string_view part,
                      std::string_view from,
                      std::string_view limit) const;
  std::string Page(std::string_view table,
                   std::string_view part,
                   uint64_t after,
                   bool removed) const;
  static RowKey KeyOf(const nlohmann::json& row);
  bool RefusesWrite(const http1::IncomingRequest& request) const;
  void Put(RowKey key, std::optional<std::string> value);
  void Write(const std::string& body, http1::Responder& responder);
  void AnswerWatches();

  using Rows = std::map<RowKey, Row>;

  BootClock clock;

  http1::AnswerHead Head(int status) const;

  Rows rows;
  Rows copied_rows;
  uint64_t copied_version = 0;
  uint64_t store_era = 0;
  std::vector<Watch> watches;
  std::vector<std::shared_ptr<http1::Responder>> unanswered;
  std::vector<HeldPage> held_pages;
  std::optional<size_t> page_limit;
  uint64_t version = 0;
  uint64_t history_from = 0;
  bool is_down = false;
  bool holds_watches = false;
  bool refuses_writes = false;
  std::string refusing_host;
  bool is_silent = false;
  bool loses_answers = false;
};

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_FAKE_STORE_H_
