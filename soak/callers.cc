#include "soak/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "cranberryhill/base/hash.h"
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

/// Callers use connections that have been idle for at most this part of the
/// idle limit.
constexpr int64_t kMaxIdlePercent = 80;

/// One in this many streams loses its connection, while connections break.
constexpr uint64_t kBreakingShare = 2;
constexpr uint64_t kMostEventsBeforeBreak = 5;
/// Callers give up a take-up that brings nothing for this long: four times the
/// target latency.
constexpr absl::Duration kLongestGap = absl::Seconds(2);
constexpr int kMaxTakeUps = 4;
constexpr absl::Duration kLeastTimeLeft = absl::Milliseconds(100);

/// @return Ends of events in the text.
int CountEvents(std::string_view text) {
  int count = 0;
  for (size_t at = text.find("\n\n"); at != std::string_view::npos;
       at = text.find("\n\n", at + 2))
    ++count;
  return count;
}

}  // namespace

struct Callers::Kind {
  std::string_view route;
  std::string_view service;
  bool may_repeat = false;
  bool stream = false;
};

const std::array<Callers::Kind, 5> Callers::kKinds = {
    {{"look", kDesk, true, false},
     {"book", kDesk, false, false},
     {"moving", kDesk, true, false},
     {"resumable", kEngines, true, true},
     {"once", kEngines, false, true}}};

class Callers::Call : public http1::AnswerHandler {
 public:
  Call(Callers& owner,
       size_t gateway,
       std::string id,
       absl::Time sent_at,
       const Kind& kind)
      : owner(owner),
        gateway(gateway),
        id(std::move(id)),
        sent_at(sent_at),
        kind(kind),
        last_progress(sent_at) {}

  http1::AnswerMatch Match(const http1::AnswerHead&) override {
    return http1::AnswerMatch::kOwn;
  }

  void OnHead(http1::AnswerHead head) override {
    this->answer.status = head.status;
    if (auto seal = head.headers.Find(platform::kSignature)) {
      std::from_chars(seal->data(), seal->data() + seal->size(),
                      this->answer.signed_status);
    }
    double seconds = 0;
    if (auto wait = head.headers.Find(platform::kRetryAfter);
        wait && absl::SimpleAtod(std::string(*wait), &seconds))
      this->retry_after = absl::Seconds(seconds);
  }

  void OnBody(std::string_view data) override {
    this->answer.body.append(data);
    this->last_progress = this->owner.clock.Now();
    if (this->events_before_break > 0 &&
        CountEvents(this->answer.body) >= this->events_before_break)
      this->owner.BreakSoon(*this);
  }

  void OnEnd(http1::AnswerEnd end, std::string_view) override {
    this->owner.OnEnd(*this, end);
  }

  Callers& owner;
  const size_t gateway;
  const std::string id;
  const absl::Time sent_at;
  const Kind& kind;
  absl::Time last_progress;
  absl::Duration retry_after;
  int events_before_break = 0;  // 0: its connection does not break.
  bool gave_up = false;
  bool counts = true;
  std::optional<Stream> stream;  // Set if it takes one up again.
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
  absl::Time now = this->clock.Now();
  std::erase_if(list, [now](const IdleConnection& idle) {
    return !idle.link->Reusable() ||
           now - idle.since > kMaxIdlePercent * kIdleLimit / 100;
  });
  if (!list.empty()) {
    auto link = std::move(list.back().link);
    list.pop_back();
    return link;
  }
  return http1::ClientConnection::Create(
      this->io, {SoakAddress(), this->fleet.CallerPort(gateway)});
}

void Callers::SendOne(bool after_recovery) {
  const Kind* kind = &kKinds.at(this->random.UniformInt(0, kKinds.size() - 1));
  // All requests for a service that fails may be repeated, so that more retries
  // are wanted than the budget allows.
  if (this->fleet.Fails(kind->service)) {
    kind = std::find_if(kKinds.begin(), kKinds.end(), [kind](const Kind& k) {
      return k.service == kind->service && k.may_repeat;
    });
  }
  size_t gateway = this->random.UniformInt(0, this->fleet.gateways() - 1);
  this->Send(*kind, gateway, kTimeLeft, after_recovery, nullptr);
}

/// @param taken_up Null if the request is new.
void Callers::Send(const Kind& kind,
                   size_t gateway,
                   absl::Duration time_left,
                   bool after_recovery,
                   const Stream* taken_up) {
  std::string id = fmt::format("call-{}", ++this->next_id);
  absl::Time now = this->clock.Now();
  bool crashes_engine = taken_up == nullptr && kind.stream &&
                        this->fleet.SendsCrashingPart() &&
                        this->random.UniformInt(0, kCrashingShare - 1) == 0;
  auto call = std::make_shared<Call>(*this, gateway, id, now, kind);
  http1::RequestHead head;
  head.method = "POST";
  head.target = fmt::format("/{}/{}", kind.route, id);
  head.headers.Add("Host", "h");
  head.headers.Add(platform::kAttemptId, id);
  head.headers.Add(platform::kTimeLeftMs,
                   std::to_string(absl::ToInt64Milliseconds(time_left)));
  if (this->fleet.UsesKeys()) {
    head.headers.Add(
        platform::kAuthorization,
        fmt::format("{} {}", platform::kKeyScheme, KeyOf(CustomerOf(id))));
    head.headers.Add(platform::kCustomer, "forged");
  }
  std::string resumes;
  int first_event = 1;
  if (taken_up != nullptr) {
    call->stream = *taken_up;
    call->counts = taken_up->versions.size() == 1 &&
                   this->fleet.HasTwoEnginesOf(*taken_up->versions.begin());
    resumes = taken_up->id;
    first_event = taken_up->events + 1;
    head.headers.Add(platform::kLastEventId, std::to_string(taken_up->events));
    head.headers.Add(platform::kResumes, resumes);
  } else if (kind.stream && kind.may_repeat && !crashes_engine &&
             this->fleet.BreaksStreams() &&
             StableHash(id) % kBreakingShare == 0) {
    call->events_before_break =
        1 + static_cast<int>(StableHash(id) / kBreakingShare %
                             kMostEventsBeforeBreak);
  }
  SentRequest sent{
      id,
      std::string(kind.service),
      ExpectedBody(resumes.empty() ? id : resumes, kind.stream, first_event),
      kind.may_repeat,
      kind.may_repeat ? 2 : 1,
      now,
      after_recovery,
      gateway,
      crashes_engine,
      kind.stream,
      resumes,
      time_left,
      this->fleet.UsesKeys() ? std::string(CustomerOf(id)) : std::string()};
  this->ledger.OnSent(std::move(sent));
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
  call->link =
      taken_up == nullptr
          ? this->Acquire(gateway)
          : http1::ClientConnection::Create(
                this->io, {SoakAddress(), this->fleet.CallerPort(gateway)});
  this->calls.push_back(call);
  call->link->Send(http1::SerializeRequest(head, body), {}, *call);
}

void Callers::TakeUpLater(Stream stream, absl::Duration wait) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      this->io, absl::ToChronoMicroseconds(wait));
  timer->async_wait([this, timer, stream = std::move(stream)](
                        boost::system::error_code) { this->TakeUp(stream); });
}

void Callers::TakeUp(Stream stream) {
  absl::Duration left = stream.began + kTimeLeft - this->clock.Now();
  if (left < kLeastTimeLeft || stream.take_ups == kMaxTakeUps)
    return;
  ++stream.take_ups;
  // Another gateway than the last one.
  size_t step = 1 + this->random.UniformInt(0, this->fleet.gateways() - 2);
  stream.gateway = (stream.gateway + step) % this->fleet.gateways();
  const Kind& resumable = kKinds[3];
  this->Send(resumable, stream.gateway, left, false, &stream);
}

/// Takes the stream of a call that has ended up again if it is not complete.
void Callers::ContinueStream(Call& call, const StreamPart& part) {
  if (!call.stream && part.events == 0)
    return;
  if (call.answer.complete && call.answer.status == 200)
    return;
  Stream stream;
  stream.id = call.id;
  stream.began = call.sent_at;
  if (call.stream)
    stream = *call.stream;
  stream.events += part.events;
  stream.versions.insert(part.versions.begin(), part.versions.end());
  stream.gateway = call.gateway;
  absl::Duration left = stream.began + kTimeLeft - this->clock.Now();
  this->TakeUpLater(std::move(stream), std::min(call.retry_after, left / 3));
}

/// Closes the connection of a call as if it had broken. For use while that
/// connection calls.
void Callers::BreakSoon(const Call& call) {
  boost::asio::post(this->io, [this, &call] {
    auto found = std::find_if(this->calls.begin(), this->calls.end(),
                              [&](const auto& c) { return c.get() == &call; });
    if (found == this->calls.end())
      return;
    Call& open = **found;
    open.gave_up = true;
    open.link->Cancel();
    this->OnEnd(open, http1::AnswerEnd::kBroken);
  });
}

void Callers::OnEnd(Call& call, http1::AnswerEnd end) {
  absl::Time now = this->clock.Now();
  call.answer.complete = end == http1::AnswerEnd::kComplete;
  call.answer.took = now - call.sent_at;
  absl::Time from = call.sent_at - kCalm;
  call.answer.undisturbed =
      !call.gave_up && this->fleet.Undisturbed(call.gateway, from);
  call.answer.counts = call.counts && this->fleet.InTouch(call.gateway, from);
  if (call.stream) {
    call.answer.counts =
        call.answer.counts &&
        this->fleet.HasTwoEnginesOf(*call.stream->versions.begin());
  }
  if (call.kind.stream) {
    StreamPart part = ParseStream(call.answer.body);
    call.answer.body = part.body;
    call.answer.events = part.events;
    call.answer.versions = part.versions;
    if (call.kind.may_repeat)
      this->ContinueStream(call, part);
  }
  this->ledger.OnAnswer(call.id, std::move(call.answer));
  if (call.link->Reusable())
    this->kept[call.gateway].push_back({call.link, now});
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
      [now](const auto& call) {
        return now - call->sent_at > kPatience ||
               (call->stream && now - call->last_progress > kLongestGap);
      });
  for (const auto& call : late) {
    call->gave_up = call->stream.has_value();
    call->link->Cancel();
    this->OnEnd(*call, http1::AnswerEnd::kBroken);
  }
}

}  // namespace cranberryhill::soak
