// Runs gateways as processes between stand-ins, injects faults drawn from a
// seed, and checks what callers and replicas see. Exit codes: 0 no promise was
// broken, 1 some was, 2 the run could not start.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "soak/callers.h"
#include "soak/fleet.h"
#include "soak/ledger.h"
#include "soak/schedule.h"

ABSL_FLAG(std::string, gateway, "", "Path of cranberryhill-gateway");
ABSL_FLAG(std::string,
          other_gateway,
          "",
          "Path of the gateway of another build, from which the gateways are "
          "upgraded one after the other; empty: all run the same program");
ABSL_FLAG(bool,
          rollback,
          false,
          "The gateways are taken back to --other_gateway instead");
ABSL_FLAG(std::string, directory, "", "For settings files and logs; made anew");
ABSL_FLAG(uint64_t, seed, 1, "Decides on faults and requests");
ABSL_FLAG(uint64_t, gateways, 4, "Processes");
ABSL_FLAG(double, faults_s, 12, "Length of the part with faults, in seconds");
ABSL_FLAG(int, rate, 120, "Requests per second");

namespace cranberryhill::soak {
namespace {

constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/// Before traffic: gateways start and engines get their roles.
constexpr absl::Duration kWarmUp = absl::Seconds(5);
/// After the last fault; the users' sheets grant 15 s.
constexpr absl::Duration kRecovery = absl::Seconds(8);
/// Planned work alone, in which no request may be lost.
constexpr absl::Duration kPlannedWork = absl::Seconds(8);
constexpr absl::Duration kPlannedGap = absl::Seconds(1);
constexpr absl::Duration kPlannedLength = absl::Milliseconds(700);
/// Without any work; all requests must be served.
constexpr absl::Duration kCalmPart = absl::Seconds(3);
constexpr absl::Duration kAfterPlannedWork = absl::Seconds(5);
/// Releases beside gateways that are out of step. An instance takes a version
/// for the only one after 15 s without another, so the first release after the
/// faults is here.
constexpr absl::Duration kReleasePart = absl::Seconds(12);
constexpr absl::Duration kReleaseGap = absl::Seconds(6);
/// Gateways are restarted together while a service fails: a little longer than
/// the window of the retry budget, so that one window holds several restarts.
constexpr absl::Duration kRestartPart = absl::Seconds(12);
/// Before it, while the other service works on requests for a while and then
/// fails; no gateway is disturbed.
constexpr absl::Duration kLateFailures = absl::Seconds(3);
constexpr absl::Duration kRestartLength = absl::Milliseconds(100);
/// Before the first restart, in which the processes spend the retries that the
/// requests before this part allow.
constexpr absl::Duration kBeforeRestarts = absl::Milliseconds(2500);
/// For which a sound replica may be silent. Beside planned work also a little
/// longer, as the users' replicas are.
constexpr absl::Duration kSilence = absl::Seconds(1);
constexpr absl::Duration kLongSilence = absl::Milliseconds(1500);
/// The last requests end.
constexpr absl::Duration kTail = absl::Seconds(7);
constexpr std::chrono::milliseconds kTick(5);

class Soak {
 public:
  Soak(uint64_t seed, FleetOptions options)
      : random(seed),
        ledger(Bounds(options)),
        fleet(io, clock, random, ledger, std::move(options)),
        timer(io) {}

  int Run() {
    if (!this->fleet.Start()) {
      fmt::print("the processes cannot be started\n");
      return kCannotRun;
    }
    this->callers = std::make_unique<Callers>(
        this->io, this->clock, this->random, this->fleet, this->ledger);
    this->began = this->clock.Now() + kWarmUp;
    this->Plan();
    this->Tick();
    // The processes end with the soak.
    boost::asio::signal_set stop(this->io, SIGTERM, SIGINT);
    stop.async_wait([this](boost::system::error_code error, int) {
      if (!error)
        this->io.stop();
    });
    this->io.run();
    std::vector<std::string> broken = this->ledger.Violations();
    for (const std::string& line : broken)
      fmt::print("BROKEN {}\n", line);
    fmt::print("{} broken={}\n", this->ledger.Summary(), broken.size());
    return broken.empty() ? 0 : kBroken;
  }

 private:
  struct Step {
    absl::Duration at;
    Fault fault;
    bool begins = false;
  };

  static LedgerBounds Bounds(const FleetOptions& options) {
    LedgerBounds bounds;
    bounds.retry_slack = options.retry_slack;
    return bounds;
  }

  void Plan() {
    absl::Duration faults = absl::Seconds(absl::GetFlag(FLAGS_faults_s));
    auto add = [this](const Fault& fault) {
      fmt::print("fault {} target={} at={} lasts={}\n", FaultName(fault.kind),
                 fault.target, absl::FormatDuration(fault.at),
                 absl::FormatDuration(fault.lasts));
      this->steps.push_back({fault.at, fault, true});
      this->steps.push_back({fault.at + fault.lasts, fault, false});
    };
    for (const Fault& fault : DrawFaults(this->random, faults))
      add(fault);
    // Drawn apart, so that the other faults of a seed stay the same.
    SeededRandom part_random(absl::GetFlag(FLAGS_seed) + 1);
    if (part_random.UniformInt(0, 1) == 0) {
      add({faults / 8, faults * 0.8, FaultKind::kCrashingPart,
           part_random.UniformInt(0, 1000)});
    }
    SeededRandom restore_random(absl::GetFlag(FLAGS_seed) + 3);
    for (double at = 0.1; at < 0.8; at += 0.35) {
      if (restore_random.UniformInt(0, 1) == 0)
        continue;
      double lasts = 0.1 + 0.3 * restore_random.UniformDouble();
      add({faults * at, faults * lasts, FaultKind::kStoreRestored, 0});
    }
    SeededRandom notice_random(absl::GetFlag(FLAGS_seed) + 4);
    for (FaultKind kind :
         {FaultKind::kReplicaSaysLeaving, FaultKind::kReplicaCloses,
          FaultKind::kReplicaRepeats}) {
      for (double at = 0.05; at < 0.85; at += 0.2) {
        if (notice_random.UniformInt(0, 2) == 0)
          continue;
        double lasts = 0.1 + 0.2 * notice_random.UniformDouble();
        add({faults * at, faults * std::min(lasts, 1 - at), kind,
             notice_random.UniformInt(0, 1000)});
      }
    }
    // Half of the days end with the loss of all gateways.
    this->restart_all_at =
        this->random.UniformInt(0, 1) == 0 ? faults : absl::InfiniteDuration();
    this->planned_from = faults + kRecovery;
    constexpr FaultKind kPlanned[] = {FaultKind::kTerminate, FaultKind::kHangUp,
                                      FaultKind::kConfigure,
                                      FaultKind::kReplicaDrains};
    for (absl::Duration at; at < kPlannedWork; at += kPlannedGap) {
      FaultKind kind = kPlanned[this->random.UniformInt(0, 3)];
      add({this->planned_from + at, kPlannedLength, kind,
           this->random.UniformInt(0, 1000)});
    }
    this->PlanSilences(add);
    this->calm_from = this->planned_from + kPlannedWork + kAfterPlannedWork;
    SeededRandom limit_random(absl::GetFlag(FLAGS_seed) + 2);
    if (limit_random.UniformInt(0, 1) == 0) {
      absl::Duration at = faults / 6;
      add({at, this->calm_from + kCalmPart / 2 - at, FaultKind::kReplicaLimited,
           limit_random.UniformInt(0, 1000)});
    }
    this->PlanReleases(faults, add);
    this->PlanRestarts(add);
    if (!absl::GetFlag(FLAGS_other_gateway).empty())
      this->PlanSwitches(add);
    std::stable_sort(this->steps.begin(), this->steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
  }

  /// Replicas that are silent beside planned work, and others that refuse what
  /// comes to them instead. Drawn apart, so that the other faults of a seed
  /// stay the same.
  template <typename Add>
  void PlanSilences(const Add& add) {
    SeededRandom silence_random(absl::GetFlag(FLAGS_seed) + 7);
    absl::Duration end = this->planned_from + kPlannedWork;
    for (absl::Duration at = this->planned_from; at < end; at += kLongSilence) {
      size_t target = silence_random.UniformInt(0, 1000);
      add({at,
           kSilence +
               (kLongSilence - kSilence) * silence_random.UniformDouble(),
           FaultKind::kReplicaPauses, target});
      add({at + kSilence / 2, kSilence, FaultKind::kReplicaCloses,
           target + silence_random.UniformInt(1, 3)});
    }
  }

  /// Drawn apart, so that the other faults of a seed stay the same.
  template <typename Add>
  void PlanReleases(absl::Duration faults, const Add& add) {
    SeededRandom release_random(absl::GetFlag(FLAGS_seed) + 5);
    auto target = [&] { return release_random.UniformInt(0, 1000); };
    auto one_of = [&](const std::vector<FaultKind>& kinds) {
      return kinds.at(release_random.UniformInt(0, kinds.size() - 1));
    };
    const std::vector<FaultKind> releases = {FaultKind::kReleaseWithdrawn,
                                             FaultKind::kReleaseCompleted};
    // Among the faults.
    add({faults * 0.1, faults * 0.8, FaultKind::kStreamsBreak, 0});
    for (double at = 0.05; at < 0.8; at += 0.3) {
      double lasts = 0.1 + 0.15 * release_random.UniformDouble();
      add({faults * at, faults * lasts, one_of(releases), target()});
      FaultKind beside =
          one_of({FaultKind::kCutOff, FaultKind::kCutOffInbound,
                  FaultKind::kCutOffOutbound, FaultKind::kStoreLinkOutbound,
                  FaultKind::kPauseThenCutOff, FaultKind::kReplicaReturns,
                  FaultKind::kReplicaCuts, FaultKind::kReplicaPauses});
      add({faults * (at + 0.05),
           beside == FaultKind::kReplicaPauses ? kSilence : faults * lasts,
           beside, target()});
    }
    // In a part of their own.
    this->releases_end = this->calm_from + kCalmPart + kReleasePart;
    absl::Duration from = this->calm_from + kCalmPart;
    add({from, kReleasePart, FaultKind::kStreamsBreak, 0});
    for (absl::Duration at = from; at < this->releases_end; at += kReleaseGap) {
      auto seconds = [&](double shortest, double longest) {
        return absl::Seconds(shortest + (longest - shortest) *
                                            release_random.UniformDouble());
      };
      absl::Duration joins = at + seconds(0.3, 1);
      add({at, seconds(1, 5),
           one_of({FaultKind::kPause, FaultKind::kCutOff, FaultKind::kCutOff,
                   FaultKind::kCutOffInbound, FaultKind::kCutOffOutbound,
                   FaultKind::kStoreLinkSilent, FaultKind::kStoreLinkOneWay,
                   FaultKind::kStoreLinkOutbound, FaultKind::kPauseThenCutOff,
                   FaultKind::kPauseThenCutOff}),
           target()});
      add({joins, seconds(3, 4.5), one_of(releases), target()});
      add({joins, seconds(0.5, 1.5),
           one_of({FaultKind::kReplicaPauses, FaultKind::kReplicaCuts,
                   FaultKind::kHangUp, FaultKind::kConfigure,
                   FaultKind::kTerminate, FaultKind::kCallerLinkReset}),
           target()});
      if (release_random.UniformInt(0, 2) == 0) {
        add({joins + absl::Seconds(4.7), seconds(0.3, 0.5),
             FaultKind::kReplicaReturns, target()});
      }
    }
  }

  /// Drawn apart, so that the other faults of a seed stay the same.
  template <typename Add>
  void PlanRestarts(const Add& add) {
    SeededRandom restart_random(absl::GetFlag(FLAGS_seed) + 6);
    absl::Duration from = this->releases_end + kLateFailures;
    this->restarts_end = from + kRestartPart;
    size_t target = restart_random.UniformInt(0, 3);
    add({from, kRestartPart, FaultKind::kServiceFails, target});
    add({this->releases_end, kLateFailures + kBeforeRestarts,
         FaultKind::kServiceFailsLate, target + 1});
    auto series = [&](FaultKind kind, double shortest_s, double longest_s) {
      absl::Duration gap =
          absl::Seconds(shortest_s + (longest_s - shortest_s) *
                                         restart_random.UniformDouble());
      absl::Duration at =
          from + kBeforeRestarts +
          std::min(gap, kBeforeRestarts) * restart_random.UniformDouble();
      for (; at < this->restarts_end; at += gap)
        add({at, kRestartLength, kind, restart_random.UniformInt(0, 1000)});
    };
    series(FaultKind::kKillAll, 2, 9);
    series(FaultKind::kTerminateAll, 4, 9);
    series(FaultKind::kHangUpAll, 2, 9);
    for (FaultKind kind :
         {FaultKind::kKill, FaultKind::kTerminate, FaultKind::kHangUp})
      series(kind, 2, 6);
  }

  /// The gateways change their program one after the other, evenly over the
  /// whole run, so that both builds run in each of its parts.
  template <typename Add>
  void PlanSwitches(const Add& add) {
    SeededRandom switch_random(absl::GetFlag(FLAGS_seed) + 8);
    size_t first = switch_random.UniformInt(0, 1000);
    auto gap =
        this->restarts_end / static_cast<int64_t>(this->fleet.gateways());
    for (size_t i = 0; i < this->fleet.gateways(); ++i) {
      add({gap / 2 + gap * static_cast<int64_t>(i), kRestartLength,
           FaultKind::kSwitchProgram, first + i});
    }
  }

  void Tick() {
    absl::Duration now = this->clock.Now() - this->began;
    while (this->next_step < this->steps.size() &&
           this->steps[this->next_step].at <= now) {
      const Step& step = this->steps[this->next_step++];
      if (step.begins)
        this->fleet.Begin(step.fault);
      else
        this->fleet.End(step.fault);
    }
    if (now >= this->restart_all_at) {
      this->restart_all_at = absl::InfiniteDuration();
      fmt::print("all gateways are killed\n");
      this->fleet.RestartAll();
    }
    this->fleet.Tick();
    this->callers->Tick();
    bool sending = now < this->restarts_end;
    absl::Duration calm_end = this->calm_from + kCalmPart;
    auto due = static_cast<int64_t>(absl::ToDoubleSeconds(now) *
                                    absl::GetFlag(FLAGS_rate));
    for (; sending && this->sent < due; ++this->sent)
      this->callers->SendOne(now >= this->calm_from && now < calm_end);
    if (now > this->restarts_end + kTail)
      return this->io.stop();
    this->timer.expires_after(kTick);
    this->timer.async_wait([this](boost::system::error_code) { this->Tick(); });
  }

  boost::asio::io_context io{1};
  BootClock clock;
  SeededRandom random;
  Ledger ledger;
  Fleet fleet;
  std::unique_ptr<Callers> callers;
  boost::asio::steady_timer timer;
  absl::Time began;
  std::vector<Step> steps;
  size_t next_step = 0;
  absl::Duration restart_all_at;
  absl::Duration planned_from;
  absl::Duration calm_from;
  absl::Duration releases_end;
  absl::Duration restarts_end;
  int64_t sent = 0;
};

int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  FleetOptions options;
  options.binary = absl::GetFlag(FLAGS_gateway);
  options.other_binary = absl::GetFlag(FLAGS_other_gateway);
  options.rollback = absl::GetFlag(FLAGS_rollback);
  options.directory = absl::GetFlag(FLAGS_directory);
  options.gateways = absl::GetFlag(FLAGS_gateways);
  if (options.binary.empty() || options.directory.empty()) {
    fmt::print(stderr, "--gateway and --directory are needed\n");
    return kCannotRun;
  }
  std::filesystem::remove_all(options.directory);
  std::filesystem::create_directories(options.directory);
  fmt::print("seed {}\n", absl::GetFlag(FLAGS_seed));
  Soak soak(absl::GetFlag(FLAGS_seed), std::move(options));
  return soak.Run();
}

}  // namespace
}  // namespace cranberryhill::soak

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Randomized fault soak of the gateway. Exit codes: 0 no promise was "
      "broken, 1 some was, 2 the run could not start.");
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::soak::Main();
}
