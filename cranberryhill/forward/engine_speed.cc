#include "cranberryhill/forward/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill::forward {
namespace {

/// Attention to a million pairs of tokens takes as long as the prefill of this
/// many tokens.
constexpr double kTokensPerMillionPairs = 11;
/// An engine that decodes prefills at half the speed of a prefill engine, in
/// chunks between two decode steps.
constexpr double kDecodeEngineMsPerToken = 0.0127;
constexpr double kDecodeEngineChunkTokens = 256;
/// About the last 66 observations count, so that the figures follow a release
/// on other hardware within seconds.
constexpr LinearFitPolicy kFitPolicy{0.985, 3.0};
/// Effective tokens and thousands of transferred tokens at which the second
/// prior observation of a line is placed.
constexpr double kTypicalTokens = 4000;
constexpr double kTypicalThousands = 8;
/// Weight of a new observation of a prefill at a decode engine.
constexpr double kRatioSampleWeight = 0.05;
/// Largest factor between one such observation and the estimate.
constexpr double kMaxRatioDeviation = 3;
/// Weight of the prior against the observations of all instances.
constexpr double kPriorObservations = 3;
/// A peer's figures are used for this long after its last report.
constexpr absl::Duration kPeerSummaryLifetime = absl::Seconds(30);
/// Limit on the peers whose figures are kept for one service.
constexpr size_t kMaxPeers = 1024;
/// Limit on the services that peers can add.
constexpr size_t kMaxServices = 64;
/// Minimum interval between two combinations of all peers' figures.
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(200);

bool InRange(double value, double low, double high) {
  return std::isfinite(value) && value >= low && value <= high;
}

/// @return False for figures that no engine can have.
bool IsPlausible(const EngineSpeedSummary& summary) {
  return InRange(summary.observations, 0, 1e4) &&
         InRange(summary.prefill.intercept, 0, 1e5) &&
         InRange(summary.prefill.slope, 0, 10) &&
         InRange(summary.decode_engine_prefill_ratio, 0.01, 100) &&
         InRange(summary.first_event.intercept, 0, 1e5) &&
         InRange(summary.first_event.slope, 0, 1e3);
}

void AddWeighted(Line& sum, const Line& line, double weight) {
  sum.intercept += weight * line.intercept;
  sum.slope += weight * line.slope;
}

}  // namespace

double PrefillWork::EffectiveTokens() const {
  double pairs = this->tokens * (this->prompt_tokens - this->tokens / 2);
  return this->tokens_ahead + this->tokens +
         std::max(0.0, pairs) / 1e6 * kTokensPerMillionPairs;
}

Line EngineSpeed::AtDecodeEngine(double outstanding) const {
  double ms_per_token =
      kDecodeEngineMsPerToken +
      this->DecodeStepMs(outstanding) / kDecodeEngineChunkTokens;
  return {this->decode_engine_prefill_ratio * this->prefill.intercept,
          this->decode_engine_prefill_ratio * ms_per_token};
}

EngineSpeedModels::Model::Model()
    : prefill(EngineSpeed{}.prefill, kTypicalTokens, kFitPolicy),
      first_event(EngineSpeed{}.first_event, kTypicalThousands, kFitPolicy) {}

const EngineSpeed& EngineSpeedModels::SpeedOf(std::string_view service) const {
  auto found = this->models.find(service);
  return found == this->models.end() ? this->prior : found->second.speed;
}

EngineSpeedModels::Model& EngineSpeedModels::ModelOf(std::string_view service) {
  return this->models.try_emplace(std::string(service)).first->second;
}

void EngineSpeedModels::ObservePrefill(std::string_view service,
                                       const PrefillWork& work,
                                       absl::Duration took) {
  Model& model = this->ModelOf(service);
  model.prefill.Observe(work.EffectiveTokens(),
                        absl::ToDoubleMilliseconds(took));
  this->OnObserved(service, model);
}

void EngineSpeedModels::ObserveDecodeEnginePrefill(std::string_view service,
                                                   const PrefillWork& work,
                                                   double outstanding,
                                                   absl::Duration took) {
  Model& model = this->ModelOf(service);
  EngineSpeed own = model.speed;
  own.decode_engine_prefill_ratio = std::exp(model.decode_engine_log_ratio);
  double deviation = absl::ToDoubleMilliseconds(took) /
                     own.AtDecodeEngine(outstanding).At(work.EffectiveTokens());
  model.decode_engine_log_ratio +=
      kRatioSampleWeight *
      std::log(
          std::clamp(deviation, 1 / kMaxRatioDeviation, kMaxRatioDeviation));
  this->OnObserved(service, model);
}

void EngineSpeedModels::ObserveFirstEvent(std::string_view service,
                                          double transferred_tokens,
                                          absl::Duration took) {
  Model& model = this->ModelOf(service);
  model.first_event.Observe(transferred_tokens / 1000,
                            absl::ToDoubleMilliseconds(took));
  this->OnObserved(service, model);
}

void EngineSpeedModels::OnObserved(std::string_view service, Model& model) {
  model.observations = model.observations * kFitPolicy.decay + 1;
  this->UpdateSpeed(service, model);
}

EngineSpeedSummary EngineSpeedModels::OwnSummary(std::string_view service,
                                                 const Model& model) const {
  return {std::string(service), model.observations, model.prefill.line(),
          std::exp(model.decode_engine_log_ratio), model.first_event.line()};
}

std::vector<EngineSpeedSummary> EngineSpeedModels::OwnSummaries() const {
  std::vector<EngineSpeedSummary> summaries;
  for (const auto& [service, model] : this->models) {
    if (model.observations > 0)
      summaries.push_back(this->OwnSummary(service, model));
  }
  return summaries;
}

void EngineSpeedModels::MergePeer(
    std::string_view peer,
    const std::vector<EngineSpeedSummary>& summaries) {
  absl::Time now = this->clock.Now();
  for (const EngineSpeedSummary& summary : summaries) {
    if (!IsPlausible(summary) || (this->models.size() >= kMaxServices &&
                                  !this->models.contains(summary.service)))
      continue;
    Model& model = this->ModelOf(summary.service);
    if (model.peers.size() < kMaxPeers ||
        model.peers.contains(std::string(peer)))
      model.peers[std::string(peer)] = {summary, now};
    if (now - model.updated_at >= kUpdateInterval)
      this->UpdateSpeed(summary.service, model);
  }
}

/// Averages the figures of this instance and its peers, weighted by the number
/// of observations. Figures of the prior count little beside them.
void EngineSpeedModels::UpdateSpeed(std::string_view service, Model& model) {
  absl::Time now = this->clock.Now();
  model.updated_at = now;
  absl::erase_if(model.peers, [now](const auto& item) {
    return now - item.second.received_at > kPeerSummaryLifetime;
  });
  double total = 0;
  double log_ratio = 0;
  Line prefill;
  Line first_event;
  auto add = [&](const EngineSpeedSummary& summary, double weight) {
    total += weight;
    AddWeighted(prefill, summary.prefill, weight);
    AddWeighted(first_event, summary.first_event, weight);
    log_ratio += weight * std::log(summary.decode_engine_prefill_ratio);
  };
  add({"", 0, this->prior.prefill, 1, this->prior.first_event},
      model.observations > 0 ? 0 : kPriorObservations);
  add(this->OwnSummary(service, model), model.observations);
  for (const auto& [peer, reported] : model.peers)
    add(reported.summary, reported.summary.observations);
  if (total <= 0)
    return;
  model.speed.prefill = {prefill.intercept / total, prefill.slope / total};
  model.speed.first_event = {first_event.intercept / total,
                             first_event.slope / total};
  model.speed.decode_engine_prefill_ratio = std::exp(log_ratio / total);
}

std::vector<std::string> EngineSpeedModels::Services() const {
  std::vector<std::string> services;
  services.reserve(this->models.size());
  for (const auto& [service, model] : this->models)
    services.push_back(service);
  return services;
}

}  // namespace cranberryhill::forward
