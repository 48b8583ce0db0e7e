#ifndef STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_
#define STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_

// What the platform's table service, object store and instance list keep, with
// fault switches. It answers parsed calls and does no I/O.
//
//   PlatformState state(clock);
//   PlatformAnswer answer = state.Handle({"POST", "/v1/read", "", body});

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {

struct PlatformCall {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Such as "since=3".
  std::string body;
};

struct PlatformAnswer {
  unsigned status = 200;
  std::string body;
  /// Wait this long before the answer, as a slow platform does.
  absl::Duration delay;
  /// Close the connection instead of answering; the call took effect.
  bool lost = false;
};

/// Fields of POST /faults; fields that are left out are reset.
struct PlatformFaults {
  absl::Time outage_until = absl::InfinitePast();  ///< outage_ms
  absl::Duration slowness;                         ///< slow_ms
  int64_t lose_answers = 0;       ///< Writes whose answer is lost.
  absl::Duration list_lag;        ///< list_lag_ms
  int64_t lose_list_changes = 0;  ///< Changes that the list never shows.
};

/// Thread-safe.
class PlatformState {
 public:
  /// @param clock Must outlive this object and be thread-safe.
  explicit PlatformState(const Clock& clock) : clock(clock) {}

  PlatformAnswer Handle(const PlatformCall& call);

 private:
  struct ListChange {
    absl::Time visible_at;
    std::string id;
    std::string instance;  // JSON
  };
  struct ListedEntry {
    uint64_t revision = 0;
    std::string instance;  // JSON
  };

  Result<PlatformAnswer> Dispatch(const PlatformCall& call);
  Result<PlatformAnswer> HandleRead(const std::string& body);
  Result<PlatformAnswer> HandleScan(const std::string& body);
  Result<PlatformAnswer> HandleCommit(const std::string& body);
  Result<PlatformAnswer> HandleObject(const PlatformCall& call);
  Result<PlatformAnswer> HandleList(const std::string& query);
  Result<PlatformAnswer> HandleInstanceChange(const std::string& body);
  Result<PlatformAnswer> HandleFaults(const std::string& body);
  PlatformAnswer HandleCounts() const;
  bool TakeLostAnswer();
  void ShowDueListChanges();

  const Clock& clock;
  mutable std::mutex mutex;
  PlatformFaults faults;
  TableRows rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, ListedEntry> instances;
  std::deque<ListChange> list_changes;  // Not shown yet, in order.
  uint64_t list_revision = 0;
  std::map<std::string, uint64_t> calls;  // By path, for tests and reports.
};

}  // namespace cranberryhill

#endif  // STANDINS_FAKE_PLATFORM_PLATFORM_STATE_H_
