#include "programs/load/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::load {
namespace {

constexpr std::pair<std::string_view, Mix> kMixes[] = {
    {"short_questions", Mix::kShortQuestions},
    {"long_readings", Mix::kLongReadings},
    {"mixed", Mix::kMixed},
    {"shift", Mix::kShift},
    {"swing", Mix::kSwing},
    {"long_jobs_among_short", Mix::kLongJobsAmongShort},
};

// The daemon estimates one token per 4 bytes of a prompt.
constexpr uint64_t kBytesPerToken = 4;
constexpr double kLongReadingShare = 0.2;
constexpr double kLongJobShare = 0.02;
// Demand of the swing mix alternates between these factors.
constexpr absl::Duration kSwingPeriod = absl::Seconds(4);
constexpr double kSwingLow = 0.4;
constexpr double kSwingHigh = 1.6;

}  // namespace

std::optional<Mix> MixByName(std::string_view name) {
  for (const auto& [known, mix] : kMixes) {
    if (known == name)
      return mix;
  }
  return std::nullopt;
}

std::string MixNames() {
  std::string names;
  for (const auto& [name, mix] : kMixes) {
    names += names.empty() ? "" : ", ";
    names += name;
  }
  return names;
}

Workload::Workload(const WorkloadSettings& settings)
    : settings(settings), random(settings.seed) {}

absl::Duration Workload::ChatGap(absl::Duration elapsed) {
  double rate = this->settings.chats_per_s;
  if (this->settings.mix == Mix::kSwing) {
    bool high = absl::IDivDuration(elapsed, kSwingPeriod, &elapsed) % 2 == 1;
    rate *= high ? kSwingHigh : kSwingLow;
  }
  return this->Exponential(rate);
}

absl::Duration Workload::CallGap() {
  return this->Exponential(this->settings.calls_per_s);
}

absl::Duration Workload::Exponential(double rate) {
  return absl::Seconds(-std::log(1 - this->random.UniformDouble()) / rate);
}

ChatWork Workload::NextChat(absl::Duration elapsed) {
  Size size = this->DrawSize(this->settings.mix, elapsed);
  return {this->DrawCustomer(), this->DrawText(size.prompt_tokens),
          static_cast<uint32_t>(size.max_tokens)};
}

CallWork Workload::NextCall() {
  uint64_t number = this->next_call++;
  return {this->DrawCustomer(),
          fmt::format("load-{}-{}", this->settings.seed, number),
          number % 2 == 1, this->random.UniformInt(1, 500)};
}

const std::string& Workload::DrawCustomer() {
  const std::vector<std::string>& customers = this->settings.customers;
  return customers[this->random.UniformInt(0, customers.size() - 1)];
}

Workload::Size Workload::Draw(Size low, Size high) {
  return {this->random.UniformInt(low.prompt_tokens, high.prompt_tokens),
          this->random.UniformInt(low.max_tokens, high.max_tokens)};
}

Workload::Size Workload::DrawSize(Mix mix, absl::Duration elapsed) {
  switch (mix) {
    case Mix::kLongReadings:
      return this->Draw({1000, 10}, {4000, 40});
    case Mix::kMixed:
      return this->DrawSize(this->random.UniformDouble() < kLongReadingShare
                                ? Mix::kLongReadings
                                : Mix::kShortQuestions,
                            elapsed);
    case Mix::kShift:
      if (elapsed < this->settings.duration / 2)
        return this->Draw({1000, 10}, {4000, 40});
      return this->Draw({40, 60}, {200, 160});
    case Mix::kLongJobsAmongShort:
      if (this->random.UniformDouble() < kLongJobShare)
        return this->Draw({2000, 300}, {6000, 600});
      break;
    case Mix::kShortQuestions:
    case Mix::kSwing:
      break;
  }
  return this->Draw({40, 10}, {200, 40});
}

std::string Workload::DrawText(uint64_t tokens) {
  // The number in front keeps prompts of a run apart.
  std::string text =
      fmt::format("{}-{}", this->settings.seed, this->next_chat++);
  while (text.size() < tokens * kBytesPerToken)
    text += fmt::format(" w{}", this->random.UniformInt(0, 9999));
  return text;
}

}  // namespace cranberryhill::load
