// A stand-in for a model engine.
//
//   fake_engine --listen=127.0.0.1:9201 --role=mixed --model=m:1
//   nghttp -d faults.json http://127.0.0.1:9201/faults

#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/log.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/http2/event_loop.h"
#include "standins/fake_engine.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:9201", "IP:PORT to listen on.");
ABSL_FLAG(std::string, role, "mixed", "First role: prefill, decode or mixed.");
ABSL_FLAG(std::vector<std::string>,
          model,
          {},
          "Models loaded at the start, each as NAME or NAME:VERSION.");
ABSL_FLAG(double, tokens_per_s, 50, "Speed of one stream.");
ABSL_FLAG(double, prefill_tokens_per_s, 8000, "Prefill speed of the engine.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the variation of token gaps.");
ABSL_FLAG(bool, checks_fencing, true, "Refuse orders with old numbers.");
ABSL_FLAG(int, role_change_ms, 3000, "Duration of a role change.");

namespace cranberryhill {
namespace {

EngineModel ParseModel(const std::string& text) {
  size_t colon = text.find(':');
  if (colon == std::string::npos)
    return {text, "1", ""};
  return {text.substr(0, colon), text.substr(colon + 1), ""};
}

FakeEngineSettings ReadFlags() {
  FakeEngineSettings settings;
  settings.role = absl::GetFlag(FLAGS_role);
  for (const std::string& model : absl::GetFlag(FLAGS_model))
    settings.models.push_back(ParseModel(model));
  settings.tokens_per_s = absl::GetFlag(FLAGS_tokens_per_s);
  settings.prefill_tokens_per_s = absl::GetFlag(FLAGS_prefill_tokens_per_s);
  settings.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
  settings.role_change =
      absl::Milliseconds(absl::GetFlag(FLAGS_role_change_ms));
  return settings;
}

int RunEngine() {
  FakeEngineSettings settings = ReadFlags();
  if (settings.tokens_per_s <= 0 || settings.prefill_tokens_per_s <= 0) {
    LogLine("--tokens_per_s and --prefill_tokens_per_s must be above 0");
    return 2;
  }
  BootClock clock;
  auto loop = NewEventLoop(clock);
  SeededRandom random(absl::GetFlag(FLAGS_seed));
  FakeEngine engine(*loop, settings, random, [] { std::_Exit(1); });
  auto listening = Capture([&]() -> Result<int> {
    BOOST_LEAF_AUTO(address, ParseIpAddress(absl::GetFlag(FLAGS_listen)));
    BOOST_LEAF_CHECK(engine.Listen(address));
    return 0;
  });
  if (!listening.ok()) {
    LogLine("cannot start: {}", listening.error().ToString());
    return 1;
  }
  LogLine("engine listens on port {}", engine.port());
  loop->Run();
  return 0;
}

}  // namespace
}  // namespace cranberryhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::RunEngine();
}
