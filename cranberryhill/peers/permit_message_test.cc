#include "cranberryhill/peers/permit_message.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

constexpr size_t kDatagramBytes = 16384;

PermitMessage SampleMessage() {
  return {PermitMessage::Kind::kReply,
          "entry-1",
          7,
          "i-1",
          true,
          absl::Milliseconds(120),
          forward::ReplicaLimitReport{"i-1", 5.9, absl::Milliseconds(30)}};
}

// Guards against a reply that is taken for another one.
BOOST_AUTO_TEST_CASE(permit_messages_are_decoded_as_encoded) {
  std::string bytes = EncodePermitMessage(SampleMessage());
  auto decoded = Capture([&] { return DecodePermitMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((decoded.value().kind == PermitMessage::Kind::kReply));
  BOOST_TEST(decoded.value().sender == "entry-1");
  BOOST_TEST(decoded.value().id == 7U);
  BOOST_TEST(decoded.value().granted);
  BOOST_TEST((decoded.value().closed_for == absl::Milliseconds(120)));
  BOOST_TEST(decoded.value().limit->requests_per_s.value() == 5.9);
}

// Guards against a malformed message that ends the process.
BOOST_AUTO_TEST_CASE(malformed_permit_messages_are_rejected) {
  std::string bytes = EncodePermitMessage(SampleMessage());
  for (size_t length = 0; length < bytes.size(); ++length) {
    std::string cut = bytes.substr(0, length);
    BOOST_TEST(!Capture([&] { return DecodePermitMessage(cut); }).ok());
  }
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 0x55);
    BOOST_CHECK_NO_THROW(
        Capture([&] { return DecodePermitMessage(changed); }).ok());
  }
}

// Guards against a message of nested arrays that overflows the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_permit_message_is_rejected) {
  std::string bytes = EncodePermitMessage(SampleMessage()).substr(0, 5) +
                      std::string(kDatagramBytes, '\x91');
  BOOST_REQUIRE(IsPermitMessage(bytes));
  BOOST_TEST(!Capture([&] { return DecodePermitMessage(bytes); }).ok());
}

}  // namespace
}  // namespace cranberryhill::gateway
