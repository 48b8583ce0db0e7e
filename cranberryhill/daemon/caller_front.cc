#include "cranberryhill/daemon/caller_front.h"

#include <fmt/format.h>

#include <utility>

#include "cranberryhill/caller/caller_answer.h"

namespace cranberryhill {
namespace {

constexpr int64_t kMaxOutputTokens = 32768;
constexpr int64_t kDefaultOutputTokens = 1024;
// Limits before the first document is in force.
constexpr int64_t kFallbackBodyBytes = int64_t{8} * 1024 * 1024;
constexpr int64_t kFallbackPromptTokens = 131072;
// A caller that lets this much wait is cancelled; its answer would otherwise
// use memory without bound.
constexpr size_t kMaxUnreadBytes = size_t{2} * 1024 * 1024;

WholeResponse ResponseOf(const Refusal& refusal) {
  return {refusal.http_status, std::string(kJsonContentType),
          RetryAfterHeader(refusal), RefusalBody(refusal)};
}

// Collects the tokens of an answer and sends them as one document.
class WholeChatSink : public ChatSink {
 public:
  WholeChatSink(CompletionMetadata head,
                int64_t prompt_tokens,
                std::shared_ptr<ResponseSink> sink)
      : head(std::move(head)),
        prompt_tokens(prompt_tokens),
        sink(std::move(sink)) {}

  void OnToken(std::string_view token) override { this->text += token; }

  void OnFinish(std::string_view finish_reason,
                int64_t completion_tokens) override {
    this->sink->SendWhole(
        {200, std::string(kJsonContentType), "",
         CompletionJson(this->head, this->text, finish_reason,
                        {this->prompt_tokens, completion_tokens})});
  }

  void OnRefusal(const Refusal& refusal) override {
    this->sink->SendWhole(ResponseOf(refusal));
  }

 private:
  CompletionMetadata head;
  int64_t prompt_tokens;
  std::shared_ptr<ResponseSink> sink;
  std::string text;
};

// Sends the tokens of an answer as server-sent events.
class StreamChatSink : public ChatSink {
 public:
  StreamChatSink(CompletionMetadata head,
                 int64_t prompt_tokens,
                 bool include_usage,
                 std::shared_ptr<ResponseSink> sink)
      : head(std::move(head)),
        prompt_tokens(prompt_tokens),
        include_usage(include_usage),
        sink(std::move(sink)) {}

  void OnToken(std::string_view token) override {
    this->Begin();
    size_t unread = this->sink->SendChunk(TokenEvent(this->head, token));
    if (unread > kMaxUnreadBytes && this->on_slow_caller)
      this->on_slow_caller();
  }

  void OnFinish(std::string_view finish_reason,
                int64_t completion_tokens) override {
    this->Begin();
    std::optional<TokenUsage> usage;
    if (this->include_usage)
      usage = TokenUsage{this->prompt_tokens, completion_tokens};
    this->sink->SendChunk(FinishReasonEvents(this->head, finish_reason, usage));
    this->sink->SendChunk(kDoneEvent);
    this->sink->EndStream();
  }

  void OnRefusal(const Refusal& refusal) override {
    // Until the first token the refusal can still have a status of its own.
    if (!this->begun) {
      this->sink->SendWhole(ResponseOf(refusal));
      return;
    }
    this->sink->SendChunk(RefusalEvent(refusal));
    this->sink->EndStream();
  }

  std::function<void()> on_slow_caller;

 private:
  void Begin() {
    if (this->begun)
      return;
    this->begun = true;
    this->sink->BeginStream(kEventStreamContentType);
    std::string first = RoleEvent(this->head);
    if (!first.empty())
      this->sink->SendChunk(first);
  }

  CompletionMetadata head;
  int64_t prompt_tokens;
  bool include_usage;
  std::shared_ptr<ResponseSink> sink;
  bool begun = false;
};

std::string_view WithoutQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

}  // namespace

CallerFront::CallerFront(ChatService& chats,
                         ServiceGateway& services,
                         Metrics& metrics,
                         const Clock& wall_clock)
    : chats(chats),
      services(services),
      metrics(metrics),
      wall_clock(wall_clock) {}

void CallerFront::SetDocument(std::shared_ptr<const VersionInForce> version) {
  this->document = std::move(version);
}

CompletionLimits CallerFront::Limits() const {
  CompletionLimits limits;
  limits.max_output_tokens = kMaxOutputTokens;
  limits.default_output_tokens = kDefaultOutputTokens;
  limits.max_body_bytes = kFallbackBodyBytes;
  limits.max_prompt_tokens = kFallbackPromptTokens;
  if (this->document != nullptr) {
    const RequestLimitsSpec& configured = this->document->document.limits;
    limits.max_body_bytes = static_cast<size_t>(configured.max_body_bytes);
    limits.max_prompt_tokens = configured.max_prompt_tokens;
  }
  return limits;
}

void CallerFront::Refuse(ResponseSink& sink, const Refusal& refusal) {
  this->metrics.Count("cranberryhill_refusals_total",
                      {{"code", RefusalCodeName(refusal.code)},
                       {"outcome", RefusalOutcomeName(refusal.outcome)}});
  sink.SendWhole(ResponseOf(refusal));
}

std::function<void()> CallerFront::Handle(const CallerInput& input,
                                          std::shared_ptr<ResponseSink> sink) {
  std::vector<HeaderField> fields;
  for (const CallerHeaderField& field : input.headers)
    fields.push_back({field.name, field.value});
  auto headers = Capture([&] { return ParseCallerHeaders(fields); });
  if (!headers.ok()) {
    Refusal refusal = RefusalFromError(headers.error());
    if (headers.error().field == "x-customer") {
      refusal.code = RefusalCode::kUnauthorized;
      refusal.http_status = HttpStatusOf(refusal.code);
    }
    this->Refuse(*sink, refusal);
    return [] {};
  }
  std::optional<CallerApi> api = CallerApiFromPath(input.path);
  if (!api)
    return this->HandleService(headers.value(), input, sink);
  if (input.method != "POST") {
    this->Refuse(*sink, MakeRefusal(RefusalCode::kMethodNotAllowed,
                                    RefusalOutcome::kNotRun,
                                    "method must be POST", "method"));
    return [] {};
  }
  return this->HandleChat(*api, headers.value(), input, std::move(sink));
}

std::function<void()> CallerFront::HandleChat(
    CallerApi api,
    const CallerHeaders& headers,
    const CallerInput& input,
    std::shared_ptr<ResponseSink> sink) {
  auto parsed =
      Capture([&] { return ParseCompletion(api, input.body, this->Limits()); });
  if (!parsed.ok()) {
    Refusal refusal = RefusalFromError(parsed.error());
    if (parsed.error().field == "body" &&
        input.body.size() > this->Limits().max_body_bytes) {
      refusal.code = RefusalCode::kBodyTooLarge;
      refusal.http_status = HttpStatusOf(refusal.code);
    }
    this->Refuse(*sink, refusal);
    return [] {};
  }
  const CompletionRequest& request = parsed.value();
  if (request.stream && !input.can_stream) {
    this->Refuse(
        *sink,
        MakeRefusal(RefusalCode::kStreamNeedsHttp2, RefusalOutcome::kNotRun,
                    "stream: value true: streams are served on the "
                    "HTTP/2 port (http2_address) only",
                    "stream"));
    return [] {};
  }
  CompletionMetadata head{
      api,
      fmt::format("chatcmpl-{}", absl::ToUnixNanos(this->wall_clock.Now())),
      request.model, this->wall_clock.Now()};
  if (!request.stream) {
    ChatId id = this->chats.Submit(
        headers, request,
        std::make_shared<WholeChatSink>(std::move(head), request.prompt_tokens,
                                        std::move(sink)));
    return [this, id] { this->chats.Cancel(id); };
  }
  auto stream =
      std::make_shared<StreamChatSink>(std::move(head), request.prompt_tokens,
                                       request.include_usage, std::move(sink));
  ChatId id = this->chats.Submit(headers, request, stream);
  stream->on_slow_caller = [this, id] { this->chats.Cancel(id); };
  return [this, id] { this->chats.Cancel(id); };
}

std::function<void()> CallerFront::HandleService(
    const CallerHeaders& headers,
    const CallerInput& input,
    const std::shared_ptr<ResponseSink>& sink) {
  if (this->document != nullptr &&
      input.body.size() >
          static_cast<size_t>(this->document->document.limits.max_body_bytes)) {
    this->Refuse(
        *sink,
        MakeRefusal(RefusalCode::kBodyTooLarge, RefusalOutcome::kNotRun,
                    fmt::format("body: value {} bytes: must be at most {}",
                                input.body.size(),
                                this->document->document.limits.max_body_bytes),
                    "body"));
    return [] {};
  }
  ServiceCall call;
  call.customer = headers.customer;
  call.idempotency_key = headers.idempotency_key;
  call.method = input.method;
  call.path = input.path;
  call.body = input.body;
  call.first_attempt = headers.first_attempt;
  for (const CallerHeaderField& field : input.headers) {
    if (field.name == "content-type")
      call.content_type = field.value;
  }
  this->services.Submit(
      std::move(call), std::string(WithoutQuery(input.path)), headers.time_left,
      [this, sink](const CallAnswer& answer) {
        if (const auto* refusal = std::get_if<Refusal>(&answer)) {
          this->Refuse(*sink, *refusal);
          return;
        }
        const auto& result = std::get<CallResult>(answer);
        sink->SendWhole({result.status, result.content_type, "", result.body});
      });
  // A call that has been sent cannot be taken back; its result is stored.
  return [] {};
}

}  // namespace cranberryhill
