#include "cranberryhill/daemon/chat_fixture_test.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {
namespace {

constexpr uint16_t kFirstPort = 7001;

class RecordSink : public ChatSink {
 public:
  explicit RecordSink(ChatRecord& record) : record(record) {}

  void OnToken(std::string_view token) override {
    this->NoteCall();
    this->record.text += token;
    ++this->record.tokens;
  }
  void OnFinish(std::string_view, int64_t) override {
    this->NoteCall();
    ++this->record.ends;
    this->record.answered = true;
  }
  void OnRefusal(const Refusal& refusal) override {
    this->NoteCall();
    ++this->record.ends;
    this->record.refusal = refusal;
  }

 private:
  void NoteCall() {
    if (this->record.ends > 0 || this->record.cancelled)
      ++this->record.after_end;
  }
  ChatRecord& record;
};

}  // namespace

ChatFixture::ChatFixture(const std::vector<std::string>& roles, uint64_t seed)
    : random(seed),
      chats({this->settings, this->clock, this->crashes, this->limits,
             this->metrics, 1}),
      fleet({"z1", this->engines, this->clock, this->random, this->crashes,
             this->members, this->views, this->metrics},
            this->chats) {
  this->version = std::make_shared<VersionInForce>();
  EnvironmentDocument& document = this->version->document;
  document.environment = "annex";
  document.models = {{"assistant", {"v1"}, {}}};
  document.roles = {RoleShare{0, 1}, RoleShare{0, 1}, RoleShare{0, 1}};
  document.limits = {1000, 100000};
  for (size_t i = 0; i < roles.size(); ++i) {
    auto port = static_cast<uint16_t>(kFirstPort + i);
    std::string id = "e" + std::to_string(i);
    this->by_index.push_back(&this->engines.Add(id, port));
    this->by_index.back()->role = roles[i];
    document.engines.push_back(
        {id, "127.0.0.1:" + std::to_string(port), "z1", "assistant", true});
  }
  this->engines.on_generate = [this](FakeEngine& engine,
                                     const std::string& prompt) {
    bool allowed = prompt == "probe" ? this->members.StateOf(engine.id) !=
                                           MemberState::kLeaving
                                     : this->members.MayReceiveWork(engine.id);
    if (!allowed || !this->views.MayStart(engine.id))
      this->forbidden.push_back(engine.id);
  };
  this->chats.SetFleet(this->fleet);
  this->views.SetDocument(document);
  this->fleet.SetEngines(document.engines);
  this->chats.SetDocument(this->version);
  this->FastTick();
  this->SlowTick();
  this->RunFor(absl::Seconds(1));
}

void ChatFixture::FastTick() {
  this->chats.Tick();
  this->executor.RunAfter(absl::Milliseconds(10), [this] { this->FastTick(); });
}

void ChatFixture::SlowTick() {
  if (this->table_up && this->clock.Now() >= this->next_scan) {
    this->next_scan = this->clock.Now() + absl::Milliseconds(500);
    std::vector<Row> rows;
    if (this->plan.plan_version > 0) {
      rows.push_back({PlanRowKey("annex", "z1", "0"), 1,
                      FormatDrainPlanRecord(this->plan)});
    }
    this->views.OnRows(rows, this->clock.Now());
  }
  this->fleet.Tick();
  for (const std::string& engine : this->views.ProbesDue())
    this->fleet.Probe(engine);
  for (const std::string& engine : this->views.DrainOverdue())
    this->chats.MoveAwayFrom(engine);
  this->executor.RunAfter(absl::Milliseconds(100),
                          [this] { this->SlowTick(); });
}

ChatRecord& ChatFixture::Submit(const std::string& prompt,
                                uint32_t tokens,
                                absl::Duration limit,
                                int64_t prompt_tokens) {
  ChatRecord& record = this->records.emplace_back();
  record.prompt = prompt;
  CallerHeaders headers;
  headers.customer = "c";
  headers.time_left = limit;
  CompletionRequest request;
  request.model = "assistant";
  request.prompt = prompt;
  request.prompt_tokens = prompt_tokens;
  request.max_tokens = tokens;
  record.id = this->chats.Submit(headers, request,
                                 std::make_shared<RecordSink>(record));
  return record;
}

void ChatFixture::Cancel(ChatRecord& chat) {
  this->chats.Cancel(chat.id);
  chat.cancelled = true;
}

void ChatFixture::RunUntilExport() {
  for (int i = 0; i < 1000 && this->Engine(0).exports == 0; ++i)
    this->RunFor(absl::Milliseconds(1));
}

void ChatFixture::Mark(std::vector<std::string> engines) {
  ++this->plan.plan_version;
  this->plan.draining = std::move(engines);
}

size_t ChatFixture::Runs(const std::string& prompt) {
  size_t runs = 0;
  for (const FakeEngine& engine : this->engines.all())
    runs += std::count(engine.ran.begin(), engine.ran.end(), prompt);
  return runs;
}

size_t ChatFixture::Running(const std::string& prompt) {
  size_t running = 0;
  for (const FakeEngine& engine : this->engines.all())
    running += this->engines.Running(engine, prompt);
  return running;
}

}  // namespace cranberryhill
