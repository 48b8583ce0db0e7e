#ifndef SOAK_FLEET_H_
#define SOAK_FLEET_H_

// The gateways under test with the stand-ins around them, and the faults that
// are injected between them.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/http1/server.h"
#include "soak/gateway_process.h"
#include "soak/ledger.h"
#include "soak/link_proxy.h"
#include "soak/peer_proxy.h"
#include "soak/schedule.h"
#include "standins/gateway_platform/fake_replica.h"
#include "standins/gateway_platform/fake_store.h"
#include "standins/gateway_platform/replica_row.h"

namespace cranberryhill::soak {

struct FleetOptions {
  std::string binary;        ///< The gateway program.
  std::string other_binary;  ///< That of the other build; empty: none.
  bool rollback = false;     ///< Gateways begin with `binary`, not with it.
  std::string directory;     ///< For settings files and logs; must exist.
  size_t gateways = 4;
  double retry_slack = 40;
};

/// Names of services and routes; a route is the path prefix "/NAME/".
inline constexpr std::string_view kDesk = "desk";
inline constexpr std::string_view kShop = "shop";
inline constexpr std::string_view kEngines = "lm";

/// A part of prompts; an engine that begins to answer one with it crashes.
inline constexpr std::string_view kCrashingPart = "dead:200";

/// An instance counts as calm when nothing was disturbed for this long.
inline constexpr absl::Duration kCalm = absl::Seconds(4);

/// Idle limit of callers' connections, as configured.
inline constexpr absl::Duration kIdleLimit = absl::Seconds(15);

/// @return The customer who sends the request, if customers have keys.
std::string_view CustomerOf(std::string_view id);

/// @return The API key of a customer.
std::string KeyOf(std::string_view customer);

/// @param first_event Streams begin with it.
/// @return The whole answer to a request: its body or its events, without the
///     versions of the replicas that wrote them.
std::string ExpectedBody(std::string_view id, bool stream, int first_event = 1);

/// A stream or a part of one, as callers got it.
struct StreamPart {
  std::string body;                ///< Without the versions.
  int events = 0;                  ///< Complete ones.
  std::set<std::string> versions;  ///< Of the replicas that wrote them.
};

StreamPart ParseStream(std::string_view body);

/// Belongs to the thread of `io`.
class Fleet {
 public:
  /// All references must outlive this object.
  Fleet(boost::asio::io_context& io,
        const Clock& clock,
        Random& random,
        Ledger& ledger,
        FleetOptions options);
  ~Fleet();

  /// Starts the stand-ins and the gateways.
  /// @return False when a process or a server cannot be started.
  bool Start();

  void Begin(const Fault& fault);
  void End(const Fault& fault);

  /// Kills all gateways at once; Tick() starts them again.
  void RestartAll();

  /// Starts gateways that have ended and reports those that ended by
  /// themselves. To be called several times a second.
  void Tick();

  size_t gateways() const { return this->members.size(); }  // NOLINT

  /// @return The port at which callers reach a gateway.
  uint16_t CallerPort(size_t gateway) const;

  /// @return True while prompts with kCrashingPart are to be sent.
  bool SendsCrashingPart() const { return this->crashing_parts > 0; }

  /// @return True while connections of callers break in the middle of streams.
  bool BreaksStreams() const { return this->breaking_streams > 0; }

  /// @return True if the configuration has customers with keys.
  bool UsesKeys() const { return !this->options.other_binary.empty(); }

  /// @return True while the replicas of this service fail many requests.
  bool Fails(std::string_view service) const {
    return this->failing_services.contains(service);
  }

  /// @return True when at least two engines of this version can go on with a
  ///     stream: they serve, and have been listed for long enough to be known.
  bool HasTwoEnginesOf(std::string_view version) const;

  /// @return True when neither this gateway nor anything that all of them use
  ///     was disturbed since `from`.
  bool Undisturbed(size_t gateway, absl::Time from) const;

  /// @return True when the gateway was not started or told to stop either.
  bool InTouch(size_t gateway, absl::Time from) const;

 private:
  struct Member;
  struct Server;
  struct Disturbance {
    int active = 0;
    absl::Time ended_at = absl::InfinitePast();

    bool CalmSince(absl::Time from) const {
      return this->active == 0 && this->ended_at < from;
    }
  };

  bool AddServer(std::string_view id,
                 std::string_view service,
                 std::string_view stage);
  bool AddMember(size_t index);
  bool StartUsageServer();
  bool StartMember(Member& member);
  void CheckCustomer(const SentRequest& sent, const http1::HeaderList& headers);
  void MakeSpare(Server& server);
  void Configure();
  void WriteConfiguration();
  void RestoreStore();
  void Publish(Server& server);
  void Work(Server& server,
            const http1::IncomingRequest& request,
            const std::shared_ptr<http1::Responder>& responder);
  void TakeOrder(Server& server,
                 const http1::IncomingRequest& request,
                 http1::Responder& responder);
  void ReadPrompt(Server& server,
                  std::string_view id,
                  http1::Responder& responder);
  http1::AnswerHead HeadOf(Server& server, std::string_view id, int status);
  http1::AnswerHead ClosedHead(Server& server, std::string_view id);
  void RecordLimitedArrival(const Server& server, const SentRequest& sent);
  bool KnowsSince(const Server& server,
                  const Member& member,
                  absl::Time told_at) const;
  void CheckNotices(Server& server, const SentRequest& sent);
  void RecordTimeLeft(const Server& server,
                      const SentRequest& sent,
                      const http1::HeaderList& headers);
  void Run(Server& server,
           std::string_view id,
           int first_event,
           bool stream,
           const std::shared_ptr<http1::Responder>& responder);
  void CrashEngine(Server& server,
                   std::string_view id,
                   http1::Responder& responder);
  bool IsCalm(const Member& member) const;
  void After(absl::Duration wait, std::function<void()> action);
  void Apply(const Fault& fault, bool begins);
  void ChangeRoles();
  void ApplyToProcess(Member& member, FaultKind kind, bool begins);
  bool HasHandlers(const Member& member) const;
  void SwitchWhenReady(Member& member);
  void ApplyToReplica(Server& server, FaultKind kind, bool begins);
  void ApplyToReplicaLink(Server& server, FaultKind kind, bool begins);
  void ApplyToStore(FaultKind kind, bool begins);
  void ApplyToAll(FaultKind kind);
  void ApplyToService(const Fault& fault, bool begins);
  bool EndsInFailure(Server& server,
                     std::string_view id,
                     const std::shared_ptr<http1::Responder>& responder);
  void ApplyCut(const Fault& fault, bool begins);
  void ApplyRelease(const Fault& fault, bool begins);
  void StartServer(Server& server, std::string_view version);
  void StopServer(Server& server);
  void Retire(Server& server, bool announces);
  void ForEngines(bool spare, const std::function<void(Server&)>& action);
  void Unlist(Server& server);
  void RestartServer(Server& server, std::string_view version);
  Disturbance* DisturbanceOf(const Fault& fault);

  boost::asio::io_context& io;
  const Clock& clock;
  Random& random;
  Ledger& ledger;
  const FleetOptions options;
  platform::FakeStore store;
  PeerProxy peers;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Member>> members;
  platform::FakeReplica usage_handler;
  std::unique_ptr<http1::Server> usage_server;  // Null without other_binary.
  Disturbance shared;                           // Of the store and of replicas.
  int version = 0;                              // Of the configuration.
  int store_outages = 0;
  int crashing_parts = 0;
  int breaking_streams = 0;
  std::set<std::string_view> failing_services;
  size_t drawn_servers = 0;  // Those that faults choose from; the others spare.
  int software_version = 1;  // The newest.
  std::set<std::string> unlisted;            // Ids of replicas that have left.
  std::optional<absl::Duration> release_at;  // Start of the one that goes on.
  std::string released = "v1";  // The version that the engines serve.
};

}  // namespace cranberryhill::soak

#endif  // SOAK_FLEET_H_
