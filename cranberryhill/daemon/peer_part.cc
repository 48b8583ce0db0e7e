#include "cranberryhill/daemon/peer_part.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

constexpr std::string_view kMessagePath = "/peer/v1/message";
constexpr std::string_view kDocumentPath = "/peer/v1/document";
constexpr std::string_view kPlanPath = "/peer/v1/plan";

// Largest document that a peer may answer.
constexpr size_t kMaxAnswerBytes = size_t{4} * 1024 * 1024;
// Assumed before the first ping of a connection was answered.
constexpr absl::Duration kUnknownRoundTrip = absl::Seconds(1);

std::string DocumentBody(const ProductionVersion& version) {
  return Json{{"generation", version.generation},
              {"version", version.version},
              {"digest", version.digest},
              {"text", version.text}}
      .dump();
}

Result<ProductionVersion> ParseDocumentBody(std::string_view body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "document"));
  ObjectReader reader(json, "document");
  ProductionVersion version;
  BOOST_LEAF_AUTO(generation, reader.Int("generation", {1, INT64_MAX}));
  BOOST_LEAF_AUTO(number, reader.Int("version", {1, INT64_MAX}));
  version.generation = static_cast<uint64_t>(generation);
  version.version = static_cast<uint64_t>(number);
  BOOST_LEAF_ASSIGN(version.digest, reader.String("digest"));
  BOOST_LEAF_ASSIGN(version.text, reader.String("text"));
  return version;
}

std::string PlanBody(const PeerPlan& plan) {
  return Json{{"plan", FormatDrainPlanRecord(plan.plan)},
              {"age_ms", absl::ToInt64Milliseconds(plan.age)}}
      .dump();
}

Result<PeerPlan> ParsePlanBody(std::string_view body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "plan"));
  ObjectReader reader(json, "plan");
  PeerPlan plan;
  BOOST_LEAF_AUTO(text, reader.String("plan"));
  BOOST_LEAF_AUTO(age, reader.Int("age_ms", {0, INT32_MAX}));
  Outcome<DrainPlanRecord> record = ParseDrainPlanRecord(text);
  if (!record.ok())
    return boost::leaf::new_error(record.error());
  plan.plan = record.value();
  // Whole milliseconds are cut off at the sender.
  plan.age = absl::Milliseconds(age + 1);
  return plan;
}

}  // namespace

struct PeerPart::Link {
  std::unique_ptr<Http2Connection> connection;

  absl::Duration RoundTrip() const {
    return this->connection->last_round_trip().value_or(kUnknownRoundTrip);
  }
};

PeerPart::PeerPart(const PeerContext& context, PeerHandler& handler)
    : context(context),
      handler(handler),
      messages({context.settings.environment, context.settings.instance_id,
                context.settings.availability_zone, context.incarnation},
               PeerExchangeOptions{},
               context.clock),
      alive(std::make_shared<bool>(true)) {}

PeerPart::~PeerPart() {
  *this->alive = false;
}

Result<void> PeerPart::Start() {
  const Endpoint& endpoint = this->context.settings.peer_address;
  Http2ServerOptions options;
  options.max_body_bytes = kMaxPeerMessageBytes;
  BOOST_LEAF_ASSIGN(
      this->server,
      ListenHttp2(this->context.loop, {endpoint.ip, endpoint.port}, options,
                  [this](const std::shared_ptr<Http2Request>& request,
                         const std::shared_ptr<Http2ResponseWriter>& response) {
                    this->OnRequest(request, response);
                  }));
  return {};
}

void PeerPart::Stop() {
  this->server.reset();
  this->links.clear();
}

void PeerPart::SetInstances(const std::vector<PeerInstance>& new_instances) {
  std::vector<PeerCandidate> known;
  std::map<std::string, PeerInstance> next;
  for (const PeerInstance& instance : new_instances) {
    if (instance.id == this->context.settings.instance_id)
      continue;
    known.push_back({instance.id, instance.availability_zone});
    next[instance.id] = instance;
  }
  // A replaced instance may come back under its id with another address.
  std::erase_if(this->links, [&](const auto& item) {
    auto found = next.find(item.first);
    return found == next.end() ||
           found->second.address.ToString() !=
               this->instances[item.first].address.ToString();
  });
  this->instances = std::move(next);
  this->messages.SetInstances(std::move(known));
}

PeerPart::Link* PeerPart::LinkTo(const std::string& peer) {
  auto found = this->links.find(peer);
  if (found != this->links.end())
    return found->second.get();
  auto instance = this->instances.find(peer);
  if (instance == this->instances.end())
    return nullptr;
  auto link = std::make_unique<Link>();
  link->connection = this->context.client.Connect(instance->second.address, {});
  return (this->links[peer] = std::move(link)).get();
}

void PeerPart::Tick() {
  for (const std::string& peer : this->messages.DuePeers())
    this->SendMessage(peer);
}

void PeerPart::SendMessage(const std::string& peer) {
  Link* link = this->LinkTo(peer);
  if (link == nullptr ||
      link->connection->state() != Http2ConnectionState::kOpen) {
    return;
  }
  std::string bytes =
      this->messages.PrepareMessage(peer, this->handler.Compose());
  if (bytes.empty())
    return;
  this->context.metrics.Count("cranberryhill_peer_bytes_total", {},
                              static_cast<double>(bytes.size()));
  // The receiver needs a bound of the message's time on the way; the round
  // trip of the last ping is known to this side only.
  std::string round_trip = std::to_string(absl::ToInt64Milliseconds(
      absl::Ceil(link->RoundTrip(), absl::Milliseconds(1))));
  this->Ask(*link->connection,
            {"POST",
             std::string(kMessagePath),
             {{"x-round-trip-ms", round_trip}},
             std::move(bytes)},
            [](const Outcome<std::string>&) {});
}

void PeerPart::Ask(Http2Connection& connection,
                   Http2ClientRequest request,
                   BodyCallback done) {
  struct Answer {
    int status = 0;
    std::string body;
  };
  auto answer = std::make_shared<Answer>();
  auto callback = std::make_shared<BodyCallback>(std::move(done));
  Http2Callbacks callbacks;
  callbacks.on_headers = [answer](int status, const Headers&) {
    answer->status = status;
  };
  callbacks.on_data = [answer](std::string_view chunk) {
    if (answer->body.size() + chunk.size() <= kMaxAnswerBytes)
      answer->body.append(chunk);
  };
  callbacks.on_end = [answer, callback] {
    if (answer->status == 200) {
      (*callback)(answer->body);
    } else {
      (*callback)(Error{ErrorCode::kNotFound, "status",
                        std::to_string(answer->status), "must be 200"});
    }
  };
  callbacks.on_failed = [callback](const Http2Failure& failure) {
    (*callback)(Error{ErrorCode::kUnavailable, "peer", "", failure.message});
  };
  connection.Send(std::move(request), std::move(callbacks));
}

void PeerPart::FetchDocument(const std::string& peer,
                             PeerDocumentCallback done) {
  Link* link = this->LinkTo(peer);
  if (link == nullptr) {
    done(Error{ErrorCode::kNotFound, "peer", peer, "is not known"});
    return;
  }
  this->Ask(*link->connection, {"GET", std::string(kDocumentPath), {}, ""},
            [done = std::move(done)](const Outcome<std::string>& body) {
              if (!body.ok())
                done(body.error());
              else
                done(Capture([&] { return ParseDocumentBody(body.value()); }));
            });
}

void PeerPart::FetchPlan(const std::string& peer) {
  Link* link = this->LinkTo(peer);
  if (link == nullptr)
    return;
  absl::Time asked = this->context.clock.Now();
  this->Ask(
      *link->connection, {"GET", std::string(kPlanPath), {}, ""},
      [this, asked, guard = this->alive](const Outcome<std::string>& body) {
        if (!*guard || !body.ok())
          return;
        auto plan = Capture([&] { return ParsePlanBody(body.value()); });
        // The time since the question bounds the answer's way.
        if (plan.ok())
          this->handler.OnPlan(plan.value(), this->context.clock.Now() - asked);
      });
}

void PeerPart::OnRequest(const std::shared_ptr<Http2Request>& request,
                         const std::shared_ptr<Http2ResponseWriter>& response) {
  std::string path = request->path();
  if (request->method() == "GET") {
    std::string body = this->AnswerOf(path);
    response->SendHeaders(body.empty() ? 404 : 200, {});
    response->SendBody(body);
    response->End();
    return;
  }
  std::string round_trip(FindHeader(request->headers(), "x-round-trip-ms"));
  request->ReadWhole([this, path, round_trip, response](std::string body) {
    int status = 404;
    if (path == kMessagePath) {
      auto decoded = Capture([&] { return DecodePeerMessage(body); });
      status = decoded.ok() ? 200 : 400;
      std::string_view what = "invalid";
      if (decoded.ok()) {
        PeerMessageVerdict verdict =
            this->messages.AcceptMessage(decoded.value());
        what = PeerMessageVerdictName(verdict);
        if (verdict == PeerMessageVerdict::kAccepted) {
          int64_t milliseconds = 0;
          absl::Duration transit =
              absl::SimpleAtoi(round_trip, &milliseconds) && milliseconds >= 0
                  ? absl::Milliseconds(milliseconds)
                  : kUnknownRoundTrip;
          this->handler.OnMessage(decoded.value(), transit);
        }
      }
      this->context.metrics.Count("cranberryhill_peer_messages_total",
                                  {{"what", what}});
    }
    response->SendHeaders(status, {});
    response->End();
  });
}

std::string PeerPart::AnswerOf(std::string_view path) {
  if (path == kDocumentPath) {
    std::optional<ProductionVersion> version = this->handler.Document();
    return version ? DocumentBody(*version) : "";
  }
  if (path == kPlanPath) {
    std::optional<PeerPlan> plan = this->handler.Plan();
    return plan ? PlanBody(*plan) : "";
  }
  return "";
}

}  // namespace cranberryhill
