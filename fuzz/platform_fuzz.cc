// Fuzzes what the gateway reads from callers, replicas, the store and peers.

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryhill/forward/event_splitter.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/http1/answer_reader.h"
#include "cranberryhill/http1/request_reader.h"
#include "fuzz/check.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

namespace cranberryhill {
namespace {

struct Ignored : http1::AnswerSink {
  void OnHead(http1::AnswerHead head) override {
    platform::PlatformWire().DecodeAnswer(head);
  }
  void OnBody(std::string_view) override {}
};

void ReadRequest(std::string_view bytes) {
  http1::RequestReader reader({1024, 1024});
  if (reader.Feed(bytes) > bytes.size() ||
      reader.state() != http1::RequestReader::State::kDone)
    return;
  http1::RequestHead head = reader.TakeHead();
  platform::PlatformWire wire;
  (void)Capture([&] { return wire.DecodeCallerRequest(head); });
  wire.EncodeForwardedHead(head, {});
}

void ReadAnswer(std::string_view bytes) {
  Ignored sink;
  http1::AnswerReader reader(sink, false);
  reader.Feed(bytes);
  reader.FeedEnd();
}

void ReadRows(const std::string& text) {
  platform::PlatformStoreCodec codec("127.0.0.1:1");
  (void)Capture([&] { return codec.DecodePage(text); });
  (void)Capture([&] { return codec.DecodeReplica({"id", text, 1, false}); });
  (void)Capture([&] { return codec.DecodeConfiguration(text); });
  codec.WithoutKeys(text);
  platform::PlatformWire wire;
  (void)Capture([&] { return wire.DecodeReport(text); });
  (void)Capture([&] { return wire.DecodeCacheHandle(text); });
  (void)Capture([&] { return gateway::ParseGatewaySettings(text); });
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  std::string text(reinterpret_cast<const char*>(data), size);
  ReadRequest(text);
  ReadAnswer(text);
  ReadRows(text);
  forward::EventSplitter splitter;
  std::string whole = splitter.Feed(text);
  Check(whole + std::string(splitter.incomplete_event()) == text,
        "splitting a stream into events keeps its bytes");
  (void)Capture([&] { return forward::DecodeLoadMessage(text); });
  return 0;
}
