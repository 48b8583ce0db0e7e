#include "cranberryhill/store/row_message.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "cranberryhill/store/table_versions.h"

namespace cranberryhill::gateway {
namespace {

// Guards against messages that do not say which rows they lack.
BOOST_AUTO_TEST_CASE(messages_follow_each_other_without_a_gap) {
  std::vector<StoreRow> rows;
  for (uint64_t i = 1; i <= 100; ++i)
    rows.push_back({"k" + std::to_string(i), std::string(300, 'v'), 10 + i / 2,
                    i % 7 == 0});
  auto messages = SplitIntoMessages(StoreTable::kReplicas, 4, 7, rows);
  BOOST_REQUIRE(messages.size() > 1U);
  uint64_t after = 7;
  size_t count = 0;
  for (const RowMessage& message : messages) {
    BOOST_TEST(message.after == after);
    BOOST_TEST(message.era == 4U);
    BOOST_TEST(message.up_to == message.rows.back().version);
    std::string bytes = EncodeRowMessage(message);
    BOOST_TEST(bytes.size() < 16384U);
    auto decoded = Capture([&] { return DecodeRowMessage(bytes); });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().era == 4U);
    BOOST_TEST(decoded.value().rows.size() == message.rows.size());
    BOOST_TEST(decoded.value().rows[0].value == message.rows[0].value);
    after = message.up_to;
    count += message.rows.size();
  }
  BOOST_TEST(count == rows.size());
  BOOST_TEST(after == 60U);
}

// Guards against a row that is split or left out without a trace because it is
// too large for a datagram.
BOOST_AUTO_TEST_CASE(messages_end_before_a_row_that_is_too_large) {
  std::vector<StoreRow> rows{{"a", "v", 1, false},
                             {"b", std::string(60000, 'v'), 2, false},
                             {"c", "v", 3, false}};
  auto messages = SplitIntoMessages(StoreTable::kConfiguration, 0, 0, rows);
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(messages[0].up_to == 1U);
}

// Guards against an announcement that receivers take for changes without rows.
BOOST_AUTO_TEST_CASE(announcement_is_no_progress) {
  RowMessage sent = AnnouncementOf(StoreTable::kConfiguration, 0, 7);
  auto received =
      Capture([&] { return DecodeRowMessage(EncodeRowMessage(sent)); });
  BOOST_REQUIRE(received.ok());
  TableVersions versions;
  versions.OnSnapshot(3, {{"a", "v", 3, false}}, false);
  const RowMessage& message = received.value();
  BOOST_TEST(
      versions
          .OnPeerRows(message.era, message.after, message.up_to, message.rows)
          .empty());
  BOOST_TEST(versions.seen() == 3U);
  BOOST_TEST(versions.IsBehindPeers());
}

// Guards against peers that get no rows, and against one instance that has to
// send hundreds of messages at once.
BOOST_AUTO_TEST_CASE(every_peer_is_reached_with_few_messages_from_each) {
  for (size_t count : {1, 8, 16, 17, 60, 194, 369}) {
    std::vector<Endpoint> peers;
    for (size_t i = 0; i < count; ++i)
      peers.push_back(
          {"10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200),
           700});
    std::map<std::string, int> first_by_sender;
    for (size_t sender : {0, 1, 2}) {
      auto recipients = ChooseRecipients(peers, sender);
      BOOST_TEST(recipients.size() <= 20U);
      std::map<std::string, int> reached;
      for (const RowRecipient& recipient : recipients) {
        ++reached[EndpointText(recipient.peer)];
        BOOST_TEST(recipient.forward_to.size() <= 20U);
        for (const Endpoint& peer : recipient.forward_to)
          ++reached[EndpointText(peer)];
        if (!recipient.forward_to.empty())
          ++first_by_sender[EndpointText(recipient.peer)];
      }
      BOOST_TEST(reached.size() == count);
      for (const auto& [peer, times] : reached)
        BOOST_TEST(times == 1);
    }
    // The loss of one instance stops the rows of one sender only, except in a
    // last group of one or two.
    int shared = 0;
    for (const auto& [peer, times] : first_by_sender)
      shared += times > 1 ? 1 : 0;
    BOOST_TEST(shared <= 1);
  }
}

// Guards against a malformed datagram that ends the process or is used.
BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected) {
  RowMessage message{StoreTable::kReplicas,  1, 5, 9,
                     {{"k", "v", 9, false}}, {}};
  std::string valid = EncodeRowMessage(message);
  for (size_t length = 0; length < valid.size(); ++length) {
    auto cut =
        Capture([&] { return DecodeRowMessage(valid.substr(0, length)); });
    BOOST_TEST(!cut.ok());
  }
  for (size_t i = 0; i < valid.size(); ++i) {
    std::string changed = valid;
    changed[i] = '\x7f';
    Capture([&] { return DecodeRowMessage(changed); });
  }
  message.rows[0].version = 12;
  auto beyond =
      Capture([&] { return DecodeRowMessage(EncodeRowMessage(message)); });
  BOOST_TEST(!beyond.ok());
}

constexpr size_t kDatagramBytes = 16384;

// Guards against a message of nested arrays that overflows the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_row_message_is_rejected) {
  RowMessage message{StoreTable::kReplicas, 1, 5, 9, {}, {}};
  std::string bytes = EncodeRowMessage(message).substr(0, 4) +
                      std::string(kDatagramBytes, '\x91');
  BOOST_REQUIRE(IsRowMessage(bytes));
  BOOST_TEST(!Capture([&] { return DecodeRowMessage(bytes); }).ok());
}

}  // namespace
}  // namespace cranberryhill::gateway
