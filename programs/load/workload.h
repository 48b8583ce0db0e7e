#ifndef CRANBERRYHILL_PROGRAMS_LOAD_WORKLOAD_H_
#define CRANBERRYHILL_PROGRAMS_LOAD_WORKLOAD_H_

// Draws the requests of a named mix and their arrival times.
//
//   Workload workload(settings);
//   absl::Duration wait = workload.ChatGap(elapsed);
//   ChatWork chat = workload.NextChat(elapsed);

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/random.h"

namespace cranberryhill::load {

enum class Mix {
  kShortQuestions,
  kLongReadings,
  kMixed,
  kShift,  ///< Long readings until half of the duration, long answers after.
  kSwing,  ///< Short questions; demand alternates every 4 s.
  kLongJobsAmongShort,
};

/// @return The mix called `name`, or none.
std::optional<Mix> MixByName(std::string_view name);

/// @return All names, separated by commas.
std::string MixNames();

struct WorkloadSettings {
  Mix mix = Mix::kMixed;
  double chats_per_s = 0;
  double calls_per_s = 0;
  absl::Duration duration;
  uint64_t seed = 1;
  std::vector<std::string> customers;  ///< Not empty.
};

struct ChatWork {
  std::string customer;
  std::string content;  ///< Unlike that of any other chat of the run.
  uint32_t max_tokens = 0;
};

struct CallWork {
  std::string customer;
  std::string key;  ///< Idempotency key.
  bool at_most_once = false;
  uint64_t part = 0;
};

/// Not thread-safe.
class Workload {
 public:
  explicit Workload(const WorkloadSettings& settings);

  /// @return The exponentially distributed wait until the next chat.
  absl::Duration ChatGap(absl::Duration elapsed);
  absl::Duration CallGap();

  ChatWork NextChat(absl::Duration elapsed);

  /// Every second call runs at most once.
  CallWork NextCall();

 private:
  struct Size {
    uint64_t prompt_tokens = 0;
    uint64_t max_tokens = 0;
  };

  Size DrawSize(Mix mix, absl::Duration elapsed);
  Size Draw(Size low, Size high);
  absl::Duration Exponential(double rate);
  const std::string& DrawCustomer();
  std::string DrawText(uint64_t tokens);

  WorkloadSettings settings;
  SeededRandom random;
  uint64_t next_chat = 0;
  uint64_t next_call = 0;
};

}  // namespace cranberryhill::load

#endif  // CRANBERRYHILL_PROGRAMS_LOAD_WORKLOAD_H_
