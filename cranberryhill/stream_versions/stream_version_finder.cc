#include "cranberryhill/stream_versions/stream_version_finder.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Time until a failed read is repeated; doubles up to the maximum.
constexpr absl::Duration kFirstPause = absl::Milliseconds(60);
constexpr absl::Duration kMaxPause = absl::Milliseconds(480);
/// Allows for a slow store, which takes 60 times its usual 4 ms.
constexpr absl::Duration kReadTimeout = absl::Milliseconds(600);
constexpr int kOk = 200;

}  // namespace

StreamVersionFinder::StreamVersionFinder(
    std::vector<std::unique_ptr<HttpCaller>> readers,
    std::unique_ptr<DelayTimer> timer,
    AnswerObserver on_answer,
    const StoreCodec& codec,
    EventLog& log,
    const Clock& clock,
    Random& random)
    : readers(std::move(readers)),
      timer(std::move(timer)),
      on_answer(std::move(on_answer)),
      codec(codec),
      log(log),
      clock(clock),
      random(random),
      being_read(this->readers.size()) {}

void StreamVersionFinder::Find(std::string_view attempt_id,
                               absl::Duration wait,
                               Callback done) {
  absl::Time now = this->clock.Now();
  auto find = std::make_shared<PendingFind>();
  *find = {std::string(attempt_id), now, now + wait, now, 0, 0, "not_read",
           std::move(done)};
  this->finds.push_back(std::move(find));
  this->Continue();
}

void StreamVersionFinder::Stop() {
  for (const auto& reader : this->readers)
    reader->Cancel();
  this->timer->Cancel();
  this->finds.clear();
  this->being_read.assign(this->readers.size(), nullptr);
}

/// Begins the reads that are due, and waits for the next event.
void StreamVersionFinder::Continue() {
  this->EndExpired();
  absl::Time now = this->clock.Now();
  for (size_t reader = 0; reader < this->readers.size(); ++reader) {
    if (this->being_read[reader] != nullptr)
      continue;
    auto next = this->finds.end();
    for (auto find = this->finds.begin(); find != this->finds.end(); ++find) {
      if ((*find)->look_at <= now &&
          (next == this->finds.end() || (*find)->look_at < (*next)->look_at))
        next = find;
    }
    if (next == this->finds.end())
      break;
    this->Read(reader, *next);
  }
  absl::Time wake_at = absl::InfiniteFuture();
  bool has_idle_reader =
      std::find(this->being_read.begin(), this->being_read.end(), nullptr) !=
      this->being_read.end();
  for (const auto& find : this->finds) {
    wake_at = std::min(wake_at, find->deadline);
    if (has_idle_reader)
      wake_at = std::min(wake_at, find->look_at);
  }
  if (wake_at == absl::InfiniteFuture())
    return this->timer->Cancel();
  this->timer->Start(std::max(absl::ZeroDuration(), wake_at - now),
                     [this] { this->Continue(); });
}

void StreamVersionFinder::EndExpired() {
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<PendingFind>> expired;
  for (const auto& find : this->finds) {
    if (find->deadline <= now)
      expired.push_back(find);
  }
  for (const auto& find : expired)
    this->End(find, {});
}

void StreamVersionFinder::Read(size_t reader,
                               std::shared_ptr<PendingFind> find) {
  absl::Time now = this->clock.Now();
  this->being_read[reader] = find;
  find->look_at = absl::InfiniteFuture();
  ++find->looks;
  ++this->read_count;
  http1::OutgoingRequest request =
      this->codec.EncodeReadRow({StoreTable::kStreamVersions,
                                 forward::StreamVersionPart(find->attempt_id)},
                                find->attempt_id);
  absl::Duration timeout = std::min(kReadTimeout, find->deadline - now);
  this->readers[reader]->Call(
      request, timeout,
      [this, reader, find = std::move(find)](const HttpResult& answer) {
        this->OnRead(reader, find, answer);
      });
}

void StreamVersionFinder::OnRead(size_t reader,
                                 const std::shared_ptr<PendingFind>& find,
                                 const HttpResult& answer) {
  this->being_read[reader] = nullptr;
  this->on_answer(answer);
  StreamVersionLookup lookup;
  absl::Time now = this->clock.Now();
  bool is_final = false;
  if (answer.status == kOk) {
    auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
    bool has_row = page.ok() && !page.value().rows.empty() &&
                   page.value().rows.front().key == find->attempt_id;
    if (has_row) {
      auto decoded = Capture([&] {
        return forward::DecodeStreamVersion(find->attempt_id,
                                            page.value().rows.front().value);
      });
      is_final = true;
      if (decoded.ok())
        lookup.record = std::move(decoded.value());
      else
        find->last_outcome = decoded.error().ToString();
    } else if (page.ok()) {
      find->last_outcome = "no_record";
      is_final = true;
      lookup.has_no_row = true;
      lookup.era = this->codec.DecodeEra(answer.headers).value_or(0);
    } else {
      find->last_outcome = page.error().ToString();
    }
  } else {
    find->last_outcome = answer.status == 0
                             ? answer.reason
                             : "status " + std::to_string(answer.status);
  }
  bool pending = std::find(this->finds.begin(), this->finds.end(), find) !=
                 this->finds.end();
  if (pending && is_final) {
    this->End(find, lookup);
  } else if (pending) {
    absl::Duration pause = std::min(
        kMaxPause, kFirstPause * (1 << std::min(find->failed_looks++, 3)));
    find->look_at = now + pause * (0.75 + 0.5 * this->random.UniformDouble());
  }
  this->Continue();
}

void StreamVersionFinder::End(const std::shared_ptr<PendingFind>& find,
                              const StreamVersionLookup& lookup) {
  std::erase(this->finds, find);
  if (!lookup.record) {
    this->log.Write(LogEvent("stream_version_not_found")
                        .Add("attempt", find->attempt_id)
                        .Add("reason", find->last_outcome)
                        .Add("reads", find->looks)
                        .Add("took_ms", this->clock.Now() - find->started_at));
  }
  find->done(lookup);
}

}  // namespace cranberryhill::gateway
