// Datagrams between gateways: the input is read as a load message, a
// message with rows and a message about permits; what parses is written out and
// parses again.

#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/peers/permit_message.h"
#include "cranberryhill/store/row_message.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

void CheckRowMessage(std::string_view bytes) {
  auto message = Capture([&] { return gateway::DecodeRowMessage(bytes); });
  if (!message.ok())
    return;
  for (const gateway::StoreRow& row : message.value().rows) {
    Check(row.version <= message.value().up_to,
          "rows are within the range of the message");
  }
  std::string encoded = gateway::EncodeRowMessage(message.value());
  auto again = Capture([&] { return gateway::DecodeRowMessage(encoded); });
  Check(again.ok(), "an encoded row message is valid");
}

void CheckLoadMessage(std::string_view bytes) {
  auto message = Capture([&] { return forward::DecodeLoadMessage(bytes); });
  if (!message.ok())
    return;
  ManualClock clock;
  forward::EngineSpeedModels speeds(clock);
  speeds.MergePeer(message.value().instance, message.value().engine_speeds);
  std::string encoded = forward::EncodeLoadMessage(message.value());
  auto again = Capture([&] { return forward::DecodeLoadMessage(encoded); });
  Check(again.ok(), "an encoded load message is valid");
}

void CheckPermitMessage(std::string_view bytes) {
  auto message = Capture([&] { return gateway::DecodePermitMessage(bytes); });
  if (!message.ok())
    return;
  std::string encoded = gateway::EncodePermitMessage(message.value());
  auto again = Capture([&] { return gateway::DecodePermitMessage(encoded); });
  Check(again.ok(), "an encoded permit message is valid");
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  cranberryhill::CheckRowMessage(bytes);
  cranberryhill::CheckLoadMessage(bytes);
  cranberryhill::CheckPermitMessage(bytes);
  return 0;
}
