#include "programs/load/load_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_client.h"
#include "programs/load/answer_reader.h"

namespace cranberryhill::load {
namespace {

// Targets of the project: 95 in 100 requests keep them.
constexpr absl::Duration kFirstTokenLimit = absl::Milliseconds(1100);
constexpr absl::Duration kTokenGapLimit = absl::Milliseconds(66);

constexpr int kMaxChatAttempts = 4;
constexpr int kMaxCallAttempts = 8;
constexpr absl::Duration kChatRetryWait = absl::Milliseconds(50);
constexpr absl::Duration kCallRetryWait = absl::Milliseconds(500);
constexpr absl::Duration kCallTimeout = absl::Seconds(10);
constexpr int kCallDeadlineMs = 5000;
constexpr absl::Duration kConnectWait = absl::Seconds(2);
constexpr absl::Duration kLoopStep = absl::Milliseconds(100);
constexpr int kOk = 200;

// A failure of the whole connection, as an entry instance causes it that was
// killed or paused; routers repeat the request elsewhere.
bool IsConnectionFailure(const Http2Failure& failure) {
  return failure.reason == CloseReason::kConnectFailed ||
         failure.reason == CloseReason::kConnectionLost ||
         failure.reason == CloseReason::kPingTimeout ||
         failure.reason == CloseReason::kRefused;
}

// What chats and service calls have in common.
struct Exchange {
  absl::Time due;
  size_t second = 0;  // Index of the second in which it was due.
  int attempts = 0;
  size_t target = 0;
  std::shared_ptr<Http2Stream> stream;
  bool ended = false;
  int status = 0;
  std::string body;  // Of an answer that is no stream.
};

struct Chat : Exchange {
  ChatWork work;
  bool direct = false;
  std::unique_ptr<AnswerReader> reader;
  absl::Time first_token;
  absl::Time last_token;
};

struct Call : Exchange {
  CallWork work;
  bool may_have_run = false;  // An earlier attempt may have been sent.
  uint64_t attempt_timer = 0;
};

using ChatPointer = std::shared_ptr<Chat>;
using CallPointer = std::shared_ptr<Call>;

class Runner {
 public:
  explicit Runner(const LoadSettings& settings);

  LoadResult Run();

 private:
  void Connect();
  void StartChat(absl::Time due);
  void StartCall(absl::Time due);
  void Begin(Exchange& exchange, absl::Time due, RequestCounts& counts);
  void ScheduleNext(std::function<absl::Duration()> gap,
                    std::function<void(absl::Time due)> start,
                    absl::Time due);

  void SendChat(const ChatPointer& chat);
  Http2ClientRequest ChatRequest(const Chat& chat) const;
  void OnChatData(const ChatPointer& chat, std::string_view chunk);
  void OnChatEnd(const ChatPointer& chat);
  void OnChatFailed(const ChatPointer& chat, const Http2Failure& failure);
  void RepeatChat(const ChatPointer& chat);
  void FinishWholeChat(const ChatPointer& chat);
  RequestCounts& CountsOf(const Chat& chat);

  void SendCall(const CallPointer& call);
  Http2ClientRequest CallRequest(const Call& call) const;
  void OnCallEnd(const CallPointer& call);
  void OnCallFailed(const CallPointer& call, bool may_have_been_sent);
  void RepeatCall(const CallPointer& call);
  void RefuseCall(const CallPointer& call, const RefusalSeen& refusal);
  void EndCall(const CallPointer& call, CallEnd end);

  void CountRefusal(RequestCounts& counts, const RefusalSeen& refusal);
  void End(Exchange& exchange, bool good);
  size_t NextTarget(std::optional<size_t> avoided);

  const LoadSettings& settings;
  BootClock clock;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<Http2Client> client;
  std::vector<std::unique_ptr<Http2Connection>> connections;
  std::unique_ptr<Http2Connection> direct;
  Workload workload;
  LoadResult result;
  absl::Time start;
  absl::Time last_bad;
  size_t next_target = 0;
  uint64_t chats_started = 0;
  size_t open = 0;
};

Runner::Runner(const LoadSettings& settings)
    : settings(settings),
      loop(NewEventLoop(this->clock)),
      client(NewHttp2Client(*this->loop)),
      workload(settings.workload) {}

LoadResult Runner::Run() {
  this->Connect();
  this->start = this->clock.Now();
  this->last_bad = absl::InfinitePast();
  if (this->settings.workload.chats_per_s > 0) {
    this->ScheduleNext(
        [this] {
          return this->workload.ChatGap(this->clock.Now() - this->start);
        },
        [this](absl::Time due) { this->StartChat(due); }, this->start);
  }
  if (this->settings.workload.calls_per_s > 0) {
    this->ScheduleNext([this] { return this->workload.CallGap(); },
                       [this](absl::Time due) { this->StartCall(due); },
                       this->start);
  }
  absl::Time end = this->start + this->settings.workload.duration;
  while (this->clock.Now() < end || this->open > 0)
    this->loop->RunOnce(kLoopStep);
  absl::Duration after =
      this->last_bad - (this->start + this->settings.fault_at);
  this->result.normal_after = std::max(after, absl::ZeroDuration());
  return std::move(this->result);
}

void Runner::Connect() {
  Http2ConnectionOptions options;
  for (const IpAddress& target : this->settings.targets)
    this->connections.push_back(this->client->Connect(target, options));
  if (this->settings.direct.has_value())
    this->direct = this->client->Connect(*this->settings.direct, options);
  absl::Time limit = this->clock.Now() + kConnectWait;
  auto connecting = [](const auto& connection) {
    return connection->state() == Http2ConnectionState::kConnecting;
  };
  while (this->clock.Now() < limit &&
         std::any_of(this->connections.begin(), this->connections.end(),
                     connecting)) {
    this->loop->RunOnce(kLoopStep);
  }
}

// Arrivals follow each other by their due times, whatever the loop was busy
// with, so that the load stays open.
void Runner::ScheduleNext(std::function<absl::Duration()> gap,
                          std::function<void(absl::Time due)> start,
                          absl::Time due) {
  absl::Time next = due + gap();
  if (next >= this->start + this->settings.workload.duration)
    return;
  absl::Duration wait =
      std::max(next - this->clock.Now(), absl::ZeroDuration());
  this->loop->RunAfter(wait, [this, gap = std::move(gap),
                              start = std::move(start), next]() mutable {
    start(next);
    this->ScheduleNext(std::move(gap), std::move(start), next);
  });
}

void Runner::Begin(Exchange& exchange, absl::Time due, RequestCounts& counts) {
  exchange.due = due;
  exchange.second =
      static_cast<size_t>(absl::ToInt64Seconds(exchange.due - this->start));
  if (this->result.seconds.size() <= exchange.second)
    this->result.seconds.resize(exchange.second + 1);
  ++counts.started;
  ++this->open;
}

void Runner::End(Exchange& exchange, bool good) {
  exchange.ended = true;
  exchange.stream = nullptr;
  --this->open;
  if (!good)
    this->last_bad = std::max(this->last_bad, exchange.due);
}

size_t Runner::NextTarget(std::optional<size_t> avoided) {
  size_t count = this->connections.size();
  for (size_t tries = 0; tries < count; ++tries) {
    size_t index = this->next_target++ % count;
    if (index == avoided && count > 1)
      continue;
    if (this->connections[index]->state() == Http2ConnectionState::kOpen)
      return index;
  }
  return this->next_target++ % count;
}

RequestCounts& Runner::CountsOf(const Chat& chat) {
  return chat.direct ? this->result.direct : this->result.chats;
}

void Runner::StartChat(absl::Time due) {
  auto chat = std::make_shared<Chat>();
  chat->work = this->workload.NextChat(due - this->start);
  chat->direct =
      this->settings.direct.has_value() && this->chats_started++ % 2 == 1;
  this->Begin(*chat, due, this->CountsOf(*chat));
  if (!chat->direct)
    ++this->result.seconds[chat->second].started;
  this->loop->RunAfter(this->settings.chat_timeout, [this, chat] {
    if (chat->ended)
      return;
    if (chat->stream != nullptr)
      chat->stream->Cancel();
    ++this->CountsOf(*chat).lost;
    this->End(*chat, false);
  });
  chat->target = this->NextTarget(std::nullopt);
  this->SendChat(chat);
}

Http2ClientRequest Runner::ChatRequest(const Chat& chat) const {
  if (chat.direct) {
    std::string prompt = fmt::format("user: {}\n", chat.work.content);
    Json body = {{"request_id", fmt::format("direct-{}", this->chats_started)},
                 {"attempt", 1},
                 {"model", this->settings.model},
                 {"prompt", prompt},
                 {"prompt_tokens", (prompt.size() + 3) / 4},
                 {"resume_from", 0},
                 {"max_tokens", chat.work.max_tokens},
                 {"priority", 0}};
    return {"POST",
            "/v1/generate",
            {{"content-type", "application/json"}},
            body.dump()};
  }
  Json message = {{"role", "user"}, {"content", chat.work.content}};
  Json body = {{"model", this->settings.model},
               {"max_tokens", chat.work.max_tokens},
               {"stream", true},
               {"stream_options", {{"include_usage", true}}},
               {"messages", Json::array({message})}};
  return {"POST",
          "/v1/chat/completions",
          {{"content-type", "application/json"},
           {"x-customer", chat.work.customer}},
          body.dump()};
}

void Runner::SendChat(const ChatPointer& chat) {
  ++chat->attempts;
  chat->status = 0;
  chat->body.clear();
  chat->first_token = absl::InfiniteFuture();
  std::string prompt;
  if (this->settings.verify)
    prompt = fmt::format("user: {}\n", chat->work.content);
  chat->reader = std::make_unique<AnswerReader>(
      chat->direct ? AnswerFormat::kEngineLines : AnswerFormat::kEvents,
      chat->work.max_tokens, std::move(prompt));
  Http2Callbacks callbacks;
  callbacks.on_headers = [chat](int status, const Headers&) {
    chat->status = status;
  };
  callbacks.on_data = [this, chat](std::string_view chunk) {
    this->OnChatData(chat, chunk);
  };
  callbacks.on_end = [this, chat] { this->OnChatEnd(chat); };
  callbacks.on_failed = [this, chat](const Http2Failure& failure) {
    this->OnChatFailed(chat, failure);
  };
  Http2Connection& connection =
      chat->direct ? *this->direct : *this->connections[chat->target];
  chat->stream =
      connection.Send(this->ChatRequest(*chat), std::move(callbacks));
}

void Runner::OnChatData(const ChatPointer& chat, std::string_view chunk) {
  if (chat->status != kOk) {
    chat->body += chunk;
    return;
  }
  if (chat->reader->Feed(chunk) == 0)
    return;
  chat->last_token = this->clock.Now();
  if (chat->first_token == absl::InfiniteFuture())
    chat->first_token = chat->last_token;
}

void Runner::OnChatEnd(const ChatPointer& chat) {
  RequestCounts& counts = this->CountsOf(*chat);
  if (chat->status != kOk) {
    RefusalSeen refusal = ReadRefusal(chat->body);
    // Such an instance asks the caller to go elsewhere.
    if (refusal.code == "shutting_down" && refusal.outcome == "not_run" &&
        chat->attempts < kMaxChatAttempts) {
      ++counts.repeats;
      this->RepeatChat(chat);
      return;
    }
    this->CountRefusal(counts, refusal);
    this->End(*chat, false);
    return;
  }
  if (chat->reader->wrong()) {
    ++counts.wrong;
    this->End(*chat, false);
  } else if (chat->reader->refusal().has_value()) {
    // The stream failed after tokens were sent.
    ++counts.reasons[fmt::format("cut:{}/{}", chat->reader->refusal()->code,
                                 chat->reader->refusal()->outcome)];
    ++counts.cut;
    this->End(*chat, false);
  } else if (!chat->reader->done()) {
    ++counts.cut;
    this->End(*chat, false);
  } else {
    this->FinishWholeChat(chat);
  }
}

void Runner::FinishWholeChat(const ChatPointer& chat) {
  RequestCounts& counts = this->CountsOf(*chat);
  absl::Duration first = chat->first_token - chat->due;
  auto gaps = static_cast<int64_t>(chat->reader->tokens()) - 1;
  absl::Duration gap = gaps > 0 ? (chat->last_token - chat->first_token) / gaps
                                : absl::ZeroDuration();
  (chat->direct ? this->result.direct_first_token : this->result.first_token)
      .Record(first);
  if (gaps > 0) {
    (chat->direct ? this->result.direct_token_gap : this->result.token_gap)
        .Record(gap);
  }
  bool good = first <= kFirstTokenLimit && gap <= kTokenGapLimit;
  ++(good ? counts.good : counts.late);
  if (good && !chat->direct)
    ++this->result.seconds[chat->second].good;
  this->End(*chat, good);
}

void Runner::OnChatFailed(const ChatPointer& chat,
                          const Http2Failure& failure) {
  RequestCounts& counts = this->CountsOf(*chat);
  if (!IsConnectionFailure(failure)) {
    ++counts.reasons[fmt::format("cut:{}", CloseReasonName(failure.reason))];
    ++counts.cut;
    this->End(*chat, false);
    return;
  }
  ++counts.resets;
  if (chat->attempts >= kMaxChatAttempts) {
    ++counts.lost;
    this->End(*chat, false);
    return;
  }
  this->RepeatChat(chat);
}

void Runner::RepeatChat(const ChatPointer& chat) {
  chat->stream = nullptr;
  this->loop->RunAfter(kChatRetryWait, [this, chat] {
    if (chat->ended)
      return;
    chat->target = this->NextTarget(chat->target);
    this->SendChat(chat);
  });
}

void Runner::StartCall(absl::Time due) {
  auto call = std::make_shared<Call>();
  call->work = this->workload.NextCall();
  this->Begin(*call, due, this->result.calls);
  ++this->result.seconds[call->second].started;
  call->target = this->NextTarget(std::nullopt);
  this->SendCall(call);
}

Http2ClientRequest Runner::CallRequest(const Call& call) const {
  Headers headers = {{"x-customer", call.work.customer},
                     {"x-deadline-ms", std::to_string(kCallDeadlineMs)}};
  if (!call.work.at_most_once) {
    return {"GET",
            fmt::format("{}?part={}", this->settings.idempotent_path,
                        call.work.part),
            headers, ""};
  }
  headers.push_back({"content-type", "application/json"});
  headers.push_back({"idempotency-key", call.work.key});
  if (!call.may_have_run)
    headers.push_back({"x-first-attempt", "true"});
  Json body = {{"part", call.work.part}, {"count", 1}};
  return {"POST", this->settings.at_most_once_path, headers, body.dump()};
}

void Runner::SendCall(const CallPointer& call) {
  ++call->attempts;
  call->status = 0;
  call->body.clear();
  Http2Callbacks callbacks;
  callbacks.on_headers = [call](int status, const Headers&) {
    call->status = status;
  };
  callbacks.on_data = [call](std::string_view chunk) { call->body += chunk; };
  callbacks.on_end = [this, call] { this->OnCallEnd(call); };
  callbacks.on_failed = [this, call](const Http2Failure& failure) {
    ++this->result.calls.resets;
    this->OnCallFailed(call, failure.may_have_been_sent);
  };
  Http2ClientRequest request = this->CallRequest(*call);
  call->stream = this->connections[call->target]->Send(std::move(request),
                                                       std::move(callbacks));
  uint64_t timer = ++call->attempt_timer;
  this->loop->RunAfter(kCallTimeout, [this, call, timer] {
    if (call->ended || call->attempt_timer != timer || call->stream == nullptr)
      return;
    call->stream->Cancel();
    this->OnCallFailed(call, true);
  });
}

void Runner::OnCallEnd(const CallPointer& call) {
  if (call->status != kOk) {
    RefusalSeen refusal = ReadRefusal(call->body);
    bool asks_for_repeat =
        refusal.code == "in_progress" || refusal.code == "shutting_down" ||
        (refusal.code == "table_unavailable" && refusal.outcome == "unknown");
    if (asks_for_repeat && call->attempts < kMaxCallAttempts) {
      ++this->result.calls.repeats;
      if (refusal.outcome != "not_run")
        call->may_have_run = true;
      this->RepeatCall(call);
      return;
    }
    this->RefuseCall(call, refusal);
    return;
  }
  Json json = Json::parse(call->body, nullptr, false);
  // fake_service repeats the key, so an answer to another call is seen.
  bool right =
      json.is_object() && (!call->work.at_most_once ||
                           json.value("key", std::string()) == call->work.key);
  if (right) {
    absl::Duration latency = this->clock.Now() - call->due;
    this->result.call_latency.Record(latency);
    bool good = latency <= absl::Milliseconds(kCallDeadlineMs);
    ++(good ? this->result.calls.good : this->result.calls.late);
    if (good)
      ++this->result.seconds[call->second].good;
    this->End(*call, good);
  } else {
    ++this->result.calls.wrong;
    this->End(*call, false);
  }
  this->EndCall(call, CallEnd::kAnswered);
}

void Runner::RefuseCall(const CallPointer& call, const RefusalSeen& refusal) {
  this->CountRefusal(this->result.calls, refusal);
  this->End(*call, false);
  this->EndCall(call, refusal.outcome == "not_run" ? CallEnd::kNotRun
                                                   : CallEnd::kUnknown);
}

void Runner::OnCallFailed(const CallPointer& call, bool may_have_been_sent) {
  call->may_have_run = call->may_have_run || may_have_been_sent;
  if (call->attempts < kMaxCallAttempts) {
    this->RepeatCall(call);
    return;
  }
  ++this->result.calls.lost;
  this->End(*call, false);
  this->EndCall(call, CallEnd::kLost);
}

void Runner::RepeatCall(const CallPointer& call) {
  call->stream = nullptr;
  this->loop->RunAfter(kCallRetryWait, [this, call] {
    call->target = this->NextTarget(call->target);
    this->SendCall(call);
  });
}

void Runner::EndCall(const CallPointer& call, CallEnd end) {
  if (call->work.at_most_once)
    this->result.at_most_once.push_back({call->work.key, end});
}

void Runner::CountRefusal(RequestCounts& counts, const RefusalSeen& refusal) {
  ++counts.refused;
  ++counts.reasons[fmt::format("{}/{}", refusal.code, refusal.outcome)];
  if (!this->settings.expected_refusals.contains(refusal.code))
    ++counts.unexpected_refusals;
}

}  // namespace

LoadResult RunLoad(const LoadSettings& settings) {
  return Runner(settings).Run();
}

}  // namespace cranberryhill::load
