#ifndef CRANBERRYHILL_STORE_VIRTUAL_STORE_TEST_H_
#define CRANBERRYHILL_STORE_VIRTUAL_STORE_TEST_H_

// A store with one row, on a virtual clock, for tests that simulate many
// instances.

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {

/// A store with one row. Answers a poll when the row is newer than `after`, or
/// with an empty page when the time of the poll is over.
class VirtualStore {
 public:
  void Write(size_t bytes) {
    ++this->version;
    this->value_bytes = bytes;
    for (auto& waiting : std::exchange(this->waiting, {}))
      waiting();
  }

  /// Goes back to a version, with which an old row comes back. Open calls fail.
  void Restore(uint64_t version) {
    ++this->era;
    this->version = version;
    this->waiting.clear();
  }

  uint64_t era = 1;
  uint64_t version = 1;
  size_t value_bytes = 100;
  bool is_down = false;                        // Refuses all calls.
  std::vector<std::function<void()>> waiting;  // Run when the row is written.
};

/// Encodes calls as "read" and "watch AFTER WAIT_MS", and pages as "VERSION
/// ROW_BYTES", followed by the bytes of the row.
class VirtualCodec : public StoreCodec {
 public:
  http1::OutgoingRequest EncodeRead(StorePlace,
                                    std::string_view) const override {
    http1::OutgoingRequest request;
    request.head.target = "read";
    return request;
  }
  http1::OutgoingRequest EncodeReadRow(StorePlace,
                                       std::string_view) const override {
    http1::OutgoingRequest request;
    request.head.target = "read";
    return request;
  }
  http1::OutgoingRequest EncodeWatch(StoreTable,
                                     uint64_t after,
                                     absl::Duration wait) const override {
    http1::OutgoingRequest request;
    request.head.target = "watch " + std::to_string(after) + " " +
                          std::to_string(absl::ToInt64Milliseconds(wait));
    return request;
  }
  http1::OutgoingRequest EncodeWrite(StoreTable,
                                     std::string_view,
                                     std::string_view,
                                     uint64_t) const override {
    return {};
  }
  http1::OutgoingRequest EncodeUpdate(StorePlace, std::span<const RowUpdate>)
      const override {
    return {};
  }
  std::optional<uint64_t> DecodeEra(
      const http1::HeaderList& headers) const override {
    auto era = headers.Find("era");
    return era ? std::optional(
                     std::strtoull(std::string(*era).c_str(), nullptr, 10))
               : std::nullopt;
  }
  Result<StorePage> DecodePage(std::string_view body) const override {
    StorePage page;
    char* end = nullptr;
    std::string text(body.substr(0, 40));
    page.version = std::strtoull(text.c_str(), &end, 10);
    size_t bytes = std::strtoull(end, nullptr, 10);
    if (bytes > 0)
      page.rows.push_back({"config", std::string(bytes, 'x'), page.version});
    return page;
  }
  Result<uint64_t> DecodeWrite(std::string_view) const override { return 0; }
  Result<forward::ReplicaEntry> DecodeReplica(const StoreRow&) const override {
    return forward::ReplicaEntry{};
  }
  bool IsConfiguration(const StoreRow&) const override { return true; }
  Result<forward::Configuration> DecodeConfiguration(
      std::string_view) const override {
    return forward::Configuration{};
  }
  std::string WithoutKeys(std::string_view value) const override {
    return std::string(value);
  }
};

/// Calls the store over a link that carries one byte after the other.
class VirtualCaller : public HttpCaller {
 public:
  VirtualCaller(EventQueue& queue, VirtualStore& store, double bytes_per_s)
      : queue(queue), store(store), bytes_per_s(bytes_per_s) {}

  void Call(const http1::OutgoingRequest& request,
            absl::Duration timeout,
            Callback done) override {
    this->done = std::move(done);
    this->answer_begun = false;
    uint64_t call = ++this->current;
    uint64_t after = 0;
    absl::Duration wait = absl::ZeroDuration();
    const std::string& target = request.head.target;
    if (target.starts_with("watch ")) {
      char* end = nullptr;
      after = std::strtoull(target.c_str() + 6, &end, 10);
      wait = absl::Milliseconds(std::strtoll(end, nullptr, 10));
    }
    this->queue.Schedule(kStoreTime, [this, call, after, wait] {
      this->Answer(call, after, wait);
    });
    this->queue.Schedule(timeout, [this, call] {
      if (this->IsCurrent(call) && !this->answer_begun)
        this->Finish({0, "", "timeout"});
    });
  }
  void Cancel() override {
    this->done = nullptr;
    this->answer_begun = false;
    ++this->current;
  }
  bool IsReceiving() const override { return this->answer_begun; }
  size_t received_bytes() const override { return 0; }

 private:
  static constexpr absl::Duration kStoreTime = absl::Milliseconds(4);

  bool IsCurrent(uint64_t call) const {
    return this->done != nullptr && call == this->current;
  }

  void Answer(uint64_t call, uint64_t after, absl::Duration wait) {
    if (!this->IsCurrent(call) || this->answer_begun)
      return;
    if (this->store.is_down)
      return this->Finish({503, "", "down"});
    if (after > this->store.version)
      return this->Finish({410, "", ""});
    bool has_row = this->store.version > after;
    if (!has_row && wait > absl::ZeroDuration()) {
      this->store.waiting.push_back(
          [=, this] { this->Answer(call, after, absl::ZeroDuration()); });
      this->queue.Schedule(
          wait, [=, this] { this->Answer(call, after, absl::ZeroDuration()); });
      return;
    }
    size_t bytes = has_row ? this->store.value_bytes : 0;
    this->answer_begun = true;
    uint64_t era = this->store.era;
    std::string page =
        std::to_string(this->store.version) + " " + std::to_string(bytes);
    this->queue.Schedule(
        absl::Seconds(static_cast<double>(bytes) / this->bytes_per_s),
        [this, call, page, era] {
          if (this->IsCurrent(call))
            this->Finish({200, page, ""}, era);
        });
  }

  void Finish(HttpResult result) {
    this->Finish(std::move(result), this->store.era);
  }

  void Finish(HttpResult result, uint64_t era) {
    this->answer_begun = false;
    if (result.status != 0)
      result.headers.Add("era", std::to_string(era));
    std::exchange(this->done, nullptr)(std::move(result));
  }

  EventQueue& queue;
  VirtualStore& store;
  const double bytes_per_s;
  Callback done;
  bool answer_begun = false;
  uint64_t current = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_VIRTUAL_STORE_TEST_H_
