#include "cranberryhill/daemon/kv_transfer.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxAnswerBytes = size_t{1} * 1024 * 1024;

std::string BlocksBody(std::span<const uint64_t> blocks) {
  return Json{{"blocks", std::vector<uint64_t>(blocks.begin(), blocks.end())}}
      .dump();
}

bool HasBlocks(const std::string& body) {
  auto count = Capture([&body]() -> Result<size_t> {
    BOOST_LEAF_AUTO(json, ParseJson(body, "kv answer"));
    ObjectReader reader(json, "kv answer");
    BOOST_LEAF_AUTO(array, reader.Array("blocks"));
    return array->size();
  });
  return count.ok() && count.value() > 0;
}

class Transfer : public std::enable_shared_from_this<Transfer> {
 public:
  Transfer(Http2Connection& source,
           Http2Connection& target,
           std::function<bool()> may_import,
           std::function<void(bool)> done)
      : source(source),
        target(target),
        may_import(std::move(may_import)),
        done(std::move(done)) {}

  void Export(std::string body) {
    this->Ask(this->source, "/v1/kv/export", std::move(body), nullptr,
              [](Transfer& self) {
                if (!HasBlocks(self.answer))
                  self.End(false);
                else
                  self.Import();
              });
  }

  void Drop() {
    this->done = nullptr;
    if (this->stream != nullptr)
      std::exchange(this->stream, nullptr)->Cancel();
  }

 private:
  void Import() {
    this->Ask(this->target, "/v1/kv/import", std::exchange(this->answer, ""),
              this->may_import, [](Transfer& self) { self.End(true); });
  }

  void Ask(Http2Connection& connection,
           const char* path,
           std::string body,
           std::function<bool()> allow_send,
           void (*next)(Transfer&)) {
    auto self = this->shared_from_this();
    Http2Callbacks callbacks;
    callbacks.on_headers = [self](int status, const Headers&) {
      self->status = status;
    };
    callbacks.on_data = [self](std::string_view chunk) {
      if (self->answer.size() + chunk.size() <= kMaxAnswerBytes)
        self->answer.append(chunk);
    };
    callbacks.on_end = [self, next] {
      if (!self->done)
        return;
      if (self->status == 200)
        next(*self);
      else
        self->End(false);
    };
    callbacks.on_failed = [self](const Http2Failure&) { self->End(false); };
    this->stream = connection.Send({"POST",
                                    path,
                                    {{"content-type", "application/json"}},
                                    std::move(body),
                                    std::move(allow_send)},
                                   std::move(callbacks));
  }

  void End(bool moved) {
    this->stream.reset();
    if (auto callback = std::exchange(this->done, nullptr))
      callback(moved);
  }

  Http2Connection& source;
  Http2Connection& target;
  std::function<bool()> may_import;
  std::function<void(bool)> done;
  std::shared_ptr<Http2Stream> stream;
  int status = 0;
  std::string answer;
};

// Drops the callback of the shared transfer when its owner goes away.
class Handle : public KvTransfer {
 public:
  explicit Handle(std::shared_ptr<Transfer> transfer)
      : transfer(std::move(transfer)) {}
  ~Handle() override { this->transfer->Drop(); }

 private:
  std::shared_ptr<Transfer> transfer;
};

}  // namespace

std::unique_ptr<KvTransfer> TransferKv(Http2Connection& source,
                                       Http2Connection& target,
                                       std::span<const uint64_t> blocks,
                                       std::function<bool()> may_import,
                                       std::function<void(bool)> done) {
  auto transfer = std::make_shared<Transfer>(
      source, target, std::move(may_import), std::move(done));
  transfer->Export(BlocksBody(blocks));
  return std::make_unique<Handle>(std::move(transfer));
}

}  // namespace cranberryhill
