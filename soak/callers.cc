#include "soak/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

#include "platform/names.h"
#include "soak/soak_address.h"

namespace cranberryhill::soak {
namespace {

/// Time that a caller gives a request, and how much longer it waits.
constexpr absl::Duration kTimeLeft = absl::Seconds(4);
constexpr absl::Duration kPatience = absl::Seconds(6);

/// One in this many prompts has the part that crashes engines, while such
/// prompts are sent.
constexpr uint64_t kCrashingShare = 4;

struct Kind {
  std::string_view route;
  std::string_view service;
  bool may_repeat = false;
  bool stream = false;
};
constexpr std::array<Kind, 5> kKinds = {{{"look", kDesk, true, false},
                                         {"book", kDesk, false, false},
                                         {"moving", kDesk, true, false},
                                         {"resumable", kEngines, true, true},
                                         {"once", kEngines, false, true}}};

}  // namespace

class Callers::Call : public http1::AnswerHandler {
 public:
  Call(Callers& owner, size_t gateway, std::string id, absl::Time sent_at)
      : owner(owner), gateway(gateway), id(std::move(id)), sent_at(sent_at) {}

  http1::AnswerMatch Match(const http1::AnswerHead&) override {
    return http1::AnswerMatch::kOwn;
  }

  void OnHead(http1::AnswerHead head) override {
    this->answer.status = head.status;
    if (auto seal = head.headers.Find(platform::kSignature)) {
      std::from_chars(seal->data(), seal->data() + seal->size(),
                      this->answer.signed_status);
    }
  }

  void OnBody(std::string_view data) override {
    this->answer.body.append(data);
  }

  void OnEnd(http1::AnswerEnd end, std::string_view) override {
    this->owner.OnEnd(*this, end);
  }

  Callers& owner;
  const size_t gateway;
  const std::string id;
  const absl::Time sent_at;
  Answer answer;
  std::shared_ptr<http1::ClientConnection> link;
};

Callers::Callers(boost::asio::io_context& io,
                 const Clock& clock,
                 Random& random,
                 Fleet& fleet,
                 Ledger& ledger)
    : io(io),
      clock(clock),
      random(random),
      fleet(fleet),
      ledger(ledger),
      kept(fleet.gateways()) {}

Callers::~Callers() {
  for (const auto& call : this->calls)
    call->link->Cancel();
}

std::shared_ptr<http1::ClientConnection> Callers::Acquire(size_t gateway) {
  auto& list = this->kept[gateway];
  std::erase_if(list, [](const auto& link) { return !link->Reusable(); });
  if (!list.empty()) {
    auto link = std::move(list.back());
    list.pop_back();
    return link;
  }
  return http1::ClientConnection::Create(
      this->io, {SoakAddress(), this->fleet.CallerPort(gateway)});
}

void Callers::SendOne(bool after_recovery) {
  const Kind& kind = kKinds.at(this->random.UniformInt(0, kKinds.size() - 1));
  size_t gateway = this->random.UniformInt(0, this->fleet.gateways() - 1);
  std::string id = fmt::format("call-{}", ++this->next_id);
  absl::Time now = this->clock.Now();
  bool crashes_engine = kind.stream && this->fleet.SendsCrashingPart() &&
                        this->random.UniformInt(0, kCrashingShare - 1) == 0;
  this->ledger.OnSent({id, std::string(kind.service),
                       ExpectedBody(id, kind.stream), kind.may_repeat,
                       kind.may_repeat ? 2 : 1, now, after_recovery, gateway,
                       crashes_engine});
  auto call = std::make_shared<Call>(*this, gateway, id, now);
  http1::RequestHead head;
  head.method = "POST";
  head.target = fmt::format("/{}/{}", kind.route, id);
  head.headers.Add("Host", "h");
  head.headers.Add(platform::kAttemptId, id);
  head.headers.Add(platform::kTimeLeftMs,
                   std::to_string(absl::ToInt64Milliseconds(kTimeLeft)));
  if (kind.stream) {
    uint64_t shared = this->random.UniformInt(1, 20);
    head.headers.Add(platform::kModel, "m");
    head.headers.Add(platform::kTokenCounts, "5000,100");
    std::string second =
        crashes_engine ? std::string(kCrashingPart) + "," : std::string();
    head.headers.Add(platform::kPromptParts,
                     fmt::format("{:x}:4000,{}{:x}:1000", shared, second,
                                 0x1000000 + this->next_id));
  }
  std::string body = "body of " + id;
  call->link = this->Acquire(gateway);
  this->calls.push_back(call);
  call->link->Send(http1::SerializeRequest(head, body), {}, *call);
}

void Callers::OnEnd(Call& call, http1::AnswerEnd end) {
  absl::Time now = this->clock.Now();
  call.answer.complete = end == http1::AnswerEnd::kComplete;
  call.answer.took = now - call.sent_at;
  call.answer.undisturbed =
      this->fleet.Undisturbed(call.gateway, call.sent_at - kCalm);
  this->ledger.OnAnswer(call.id, std::move(call.answer));
  if (call.link->Reusable())
    this->kept[call.gateway].push_back(call.link);
  auto found = std::find_if(this->calls.begin(), this->calls.end(),
                            [&](const auto& c) { return c.get() == &call; });
  // The call is still on the stack of its connection.
  auto keep = std::move(*found);
  this->calls.erase(found);
  boost::asio::post(this->io, [keep] {});
}

void Callers::Tick() {
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Call>> late;
  std::copy_if(
      this->calls.begin(), this->calls.end(), std::back_inserter(late),
      [now](const auto& call) { return now - call->sent_at > kPatience; });
  for (const auto& call : late) {
    call->link->Cancel();
    this->OnEnd(*call, http1::AnswerEnd::kBroken);
  }
}

}  // namespace cranberryhill::soak
