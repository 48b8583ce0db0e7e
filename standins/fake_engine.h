#ifndef CRANBERRYHILL_STANDINS_FAKE_ENGINE_H_
#define CRANBERRYHILL_STANDINS_FAKE_ENGINE_H_

// A model engine without a model: it speaks the engine protocol (section 15 of
// the design page) over HTTP/2 and takes about the time that an engine takes.
// Tokens depend on prompt and index only, so that every engine continues a
// stream of another one exactly.
//
//   FakeEngine engine(*loop, settings, random, [] { std::_Exit(1); });
//   BOOST_LEAF_CHECK(engine.Listen({"127.0.0.1", 9201}));

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_server.h"
#include "standins/fake_engine_cache.h"
#include "standins/fake_engine_orders.h"

namespace cranberryhill {

struct FakeEngineSettings {
  std::string role = "mixed";
  std::vector<EngineModel> models;
  double tokens_per_s = 50;            ///< Of one stream.
  double prefill_tokens_per_s = 8000;  ///< Of the engine.
  bool checks_fencing = true;
  absl::Duration role_change = absl::Seconds(3);
};

/// @return Token `index` of the answer to `prompt`.
std::string FakeToken(std::string_view prompt, uint64_t index);

/// Used by the thread of the event loop.
class FakeEngine {
 public:
  /// @param loop,random Must outlive the engine.
  /// @param crash Called by the crash faults; does not return in the program.
  FakeEngine(EventLoop& loop,
             const FakeEngineSettings& settings,
             Random& random,
             std::function<void()> crash);
  ~FakeEngine();

  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  /// @return kUnavailable when the address cannot be listened on.
  Result<void> Listen(const IpAddress& address);

  uint16_t port() const { return this->server->port(); }  // NOLINT

 private:
  struct Run;
  struct Faults {
    double slow_factor = 1;
    uint64_t crash_after_tokens = 0;  // 0: never.
    std::string crash_on_prompt;      // Empty: never.
    bool leaving = false;
  };
  struct LoadReport {
    size_t running = 0;
    size_t queued = 0;
    absl::Time time;
  };
  using WriterPointer = std::shared_ptr<Http2ResponseWriter>;
  using RunPointer = std::shared_ptr<Run>;

  void OnRequest(const std::string& target,
                 const std::string& body,
                 const WriterPointer& writer);
  void Reply(const WriterPointer& writer,
             int status,
             const std::string& body) const;
  void Refuse(const WriterPointer& writer,
              int status,
              std::string_view code,
              std::string_view message) const;
  Result<RunPointer> ParseRun(const std::string& body) const;
  void Generate(const std::string& body, const WriterPointer& writer);
  void StartPrefill();
  void FinishPrefill(const RunPointer& run);
  void ScheduleToken(const RunPointer& run);
  void EmitToken(const RunPointer& run);
  void Remove(const RunPointer& run);
  void TakeOrder(const std::string& body, const WriterPointer& writer);
  void InterruptRuns();
  Result<void> SetFaults(const std::string& body);
  Result<std::string> MoveBlocks(const std::string& body, bool import);
  std::string StatusBody();
  std::string CacheEventsBody(std::string_view query) const;
  void UpdateLoadReport();
  /// Runs `task` after `delay` unless the engine is gone by then.
  void After(absl::Duration delay, std::function<void()> task);

  EventLoop& loop;
  const FakeEngineSettings settings;
  Random& random;
  const std::function<void()> crash;
  FakeEngineOrders orders;
  FakeEngineCache cache;
  Faults faults;
  // By falling priority, then by order of arrival.
  std::map<std::pair<int64_t, uint64_t>, RunPointer> queued;
  std::map<uint64_t, RunPointer> running;
  RunPointer prefilling;
  uint64_t next_run = 0;
  uint64_t interrupted = 0;
  absl::Time idle_since;
  LoadReport load;
  std::unique_ptr<Http2Server> server;
  // Outlived by callbacks that wait in the loop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_STANDINS_FAKE_ENGINE_H_
