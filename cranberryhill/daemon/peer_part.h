#ifndef CRANBERRYHILL_DAEMON_PEER_PART_H_
#define CRANBERRYHILL_DAEMON_PEER_PART_H_

// Exchange with other entry instances: messages once a second over HTTP/2
// streams, documents and plans on request.
//
//   PeerPart peers(context, handler);
//   BOOST_LEAF_CHECK(peers.Start());
//   peers.SetInstances(instances);
//   peers.Tick();               // every 100 ms

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/daemon/config_part.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/daemon/settings.h"
#include "cranberryhill/http2/http2_client.h"
#include "cranberryhill/http2/http2_server.h"
#include "cranberryhill/orders/drain_plan_record.h"
#include "cranberryhill/peer/peer_exchange.h"
#include "cranberryhill/supervision/supervisor.h"

namespace cranberryhill {

/// A view of the plan as a peer gives it.
struct PeerPlan {
  DrainPlanRecord plan;
  absl::Duration age;  ///< At the time of sending.
};

/// The rest of the daemon, as the exchange sees it. Called on the core thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  /// Fills in what goes to the peers: versions, marks and entries.
  virtual PeerMessage Compose() = 0;

  /// Uses a message that was checked.
  /// @param transit Upper bound of its time on the way.
  virtual void OnMessage(const PeerMessage& message,
                         absl::Duration transit) = 0;

  /// @return The version in force, or nothing.
  virtual std::optional<ProductionVersion> Document() = 0;

  /// @return The own zone's plan, or nothing.
  virtual std::optional<PeerPlan> Plan() = 0;

  /// A peer of the own zone has a newer plan.
  virtual void OnPlan(const PeerPlan& plan, absl::Duration transit) = 0;
};

struct PeerContext {
  const Settings& settings;
  uint64_t incarnation = 0;
  const Clock& clock;
  EventLoop& loop;
  Http2Client& client;
  Metrics& metrics;
};

struct PeerInstance {
  std::string id;
  std::string availability_zone;
  IpAddress address;
};

/// Core thread only.
class PeerPart : public SupervisedPart {
 public:
  /// References must outlive this object.
  PeerPart(const PeerContext& context, PeerHandler& handler);
  ~PeerPart() override;

  std::string_view name() const override { return "peer exchange"; }
  Result<void> Start() override;
  void Stop() override;

  /// Sets the other entry instances.
  void SetInstances(const std::vector<PeerInstance>& instances);

  void Tick();

  /// Fetches the version in force of a peer. See PeerFetcher.
  void FetchDocument(const std::string& peer, PeerDocumentCallback done);

  /// Fetches the plan of a peer and passes it to the handler.
  void FetchPlan(const std::string& peer);

  const PeerExchange& exchange() const { return this->messages; }  // NOLINT

 private:
  struct Link;
  using BodyCallback = std::function<void(const Outcome<std::string>&)>;

  Link* LinkTo(const std::string& peer);
  void Ask(Http2Connection& connection,
           Http2ClientRequest request,
           BodyCallback done);
  void SendMessage(const std::string& peer);
  void OnRequest(const std::shared_ptr<Http2Request>& request,
                 const std::shared_ptr<Http2ResponseWriter>& response);
  std::string AnswerOf(std::string_view path);

  PeerContext context;
  PeerHandler& handler;
  PeerExchange messages;
  std::unique_ptr<Http2Server> server;
  std::map<std::string, PeerInstance> instances;
  std::map<std::string, std::unique_ptr<Link>> links;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_PEER_PART_H_
