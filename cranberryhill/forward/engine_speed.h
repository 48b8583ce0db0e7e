#ifndef CRANBERRYHILL_FORWARD_ENGINE_SPEED_H_
#define CRANBERRYHILL_FORWARD_ENGINE_SPEED_H_

// Learns how fast the engines of each service are, so that expected times hold
// on engines of any speed and after a release on other hardware. An instance
// that serves few requests uses what its peers have learned.
//
//   EngineSpeedModels models(clock);
//   models.ObservePrefill("chat", {4000, 4000, 0}, absl::Milliseconds(80));
//   const EngineSpeed& speed = models.SpeedOf("chat");
//   double ms = speed.prefill.At(PrefillWork{4000, 4000, 0}.EffectiveTokens());

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/cost/linear_fit.h"

namespace cranberryhill::forward {

/// The work that an engine does before the prefill of one prompt is complete.
struct PrefillWork {
  double tokens = 0;         ///< Tokens of the prompt that are not cached.
  double prompt_tokens = 0;  ///< All tokens of the prompt.
  double tokens_ahead = 0;   ///< Tokens of prompts that are prefilled earlier.

  /// @return The work as a number of tokens, to which attention to the tokens
  ///     before adds.
  double EffectiveTokens() const;
};

/// Speed of the model engines of a service. The defaults are a weak prior.
struct EngineSpeed {
  /// Milliseconds that a prefill engine takes for a number of effective tokens.
  Line prefill{26, 0.0098};
  /// Time of a prefill at an engine that decodes, as a multiple of the time
  /// that follows from the size of the chunks and the duration of a step.
  double decode_engine_prefill_ratio = 1;
  /// Milliseconds from the start of a run whose cache is transferred to its
  /// first event, for the thousands of tokens transferred.
  Line first_event{14, 0.4};
  double base_step_ms = 3.55;  ///< Duration of a decode step without requests.
  double step_ms_per_request = 0.0462;

  /// @param outstanding Requests at the engine. Prefill takes place in chunks
  ///     between their decode steps.
  /// @return The line that gives the milliseconds of a prefill at an engine
  ///     that decodes for its effective tokens.
  Line AtDecodeEngine(double outstanding) const;

  double DecodeStepMs(double outstanding) const {
    return this->base_step_ms + this->step_ms_per_request * outstanding;
  }
};

/// What one instance has learned about the engines of a service.
struct EngineSpeedSummary {
  std::string service;
  /// Number of recent observations that the figures are based on.
  double observations = 0;
  Line prefill;
  double decode_engine_prefill_ratio = 1;
  Line first_event;
};

/// Provides the speed of the engines of a service.
class EngineSpeedSource {
 public:
  virtual ~EngineSpeedSource() = default;

  /// @return The speed to expect now. The reference is valid until the next
  ///     call of a function that is not const.
  virtual const EngineSpeed& SpeedOf(std::string_view service) const = 0;
};

/// Not thread-safe.
class EngineSpeedModels : public EngineSpeedSource {
 public:
  /// @param clock Must outlive this object.
  explicit EngineSpeedModels(const Clock& clock) : clock(clock) {}

  const EngineSpeed& SpeedOf(std::string_view service) const override;

  /// Records the time that a prefill engine took.
  /// @param took Time at the engine's usual speed: the caller divides out a
  ///     slowness that the engine reports.
  void ObservePrefill(std::string_view service,
                      const PrefillWork& work,
                      absl::Duration took);

  /// Records the time to the first event of a run that included its prefill.
  void ObserveDecodeEnginePrefill(std::string_view service,
                                  const PrefillWork& work,
                                  double outstanding,
                                  absl::Duration took);

  /// Records the time to the first event of a run whose cache was transferred.
  void ObserveFirstEvent(std::string_view service,
                         double transferred_tokens,
                         absl::Duration took);

  /// @return What this instance has observed itself, for its peers. Empty
  ///     until something has been observed.
  std::vector<EngineSpeedSummary> OwnSummaries() const;

  /// Replaces what a peer has reported about the services of `summaries`.
  /// Figures that are not finite or far from any engine are ignored.
  void MergePeer(std::string_view peer,
                 const std::vector<EngineSpeedSummary>& summaries);

  /// @return All services with an engine speed that was learned.
  std::vector<std::string> Services() const;

 private:
  struct PeerSummary {
    EngineSpeedSummary summary;
    absl::Time received_at;
  };
  struct Model {
    Model();

    LinearFit prefill;
    LinearFit first_event;
    double decode_engine_log_ratio = 0;
    double observations = 0;
    absl::flat_hash_map<std::string, PeerSummary> peers;
    EngineSpeed speed;
    absl::Time updated_at = absl::InfinitePast();
  };

  EngineSpeedSummary OwnSummary(std::string_view service,
                                const Model& model) const;
  Model& ModelOf(std::string_view service);
  void OnObserved(std::string_view service, Model& model);
  void UpdateSpeed(std::string_view service, Model& model);

  const Clock& clock;
  std::map<std::string, Model, std::less<>> models;
  const EngineSpeed prior;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ENGINE_SPEED_H_
