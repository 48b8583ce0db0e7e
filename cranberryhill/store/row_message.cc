#include "cranberryhill/store/row_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Limit on the keys and values of one message; a datagram has at most 16 KB.
constexpr size_t kMaxRowBytes = 14000;
/// First byte of every message: a MessagePack string of three characters. A
/// load message begins with an array.
constexpr std::string_view kMagic = "\xa3row";
/// Incremented when the format changes.
constexpr int kFormatVersion = 2;

/// With at most this many peers, a message is sent to each of them directly.
constexpr size_t kMaxDirectRecipients = 16;

size_t SizeOf(const StoreRow& row) {
  constexpr size_t kRowOverhead = 24;
  return row.key.size() + row.value.size() + kRowOverhead;
}

std::optional<StoreTable> TableFromNumber(int number) {
  for (StoreTable table : {StoreTable::kConfiguration, StoreTable::kReplicas}) {
    if (static_cast<int>(table) == number)
      return table;
  }
  return std::nullopt;
}

}  // namespace

std::vector<RowRecipient> ChooseRecipients(std::vector<Endpoint> peers,
                                           size_t sender) {
  std::vector<RowRecipient> recipients;
  if (peers.size() <= kMaxDirectRecipients) {
    for (Endpoint& peer : peers)
      recipients.push_back({std::move(peer), {}});
    return recipients;
  }
  // Groups of about the square root of the number of peers keep the number of
  // messages small for the sender and for those that send them on.
  std::sort(peers.begin(), peers.end(),
            [](const Endpoint& a, const Endpoint& b) {
              return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
            });
  auto group_size = static_cast<size_t>(
      std::ceil(std::sqrt(static_cast<double>(peers.size()))));
  for (size_t begin = 0; begin < peers.size(); begin += group_size) {
    size_t end = std::min(peers.size(), begin + group_size);
    size_t chosen = begin + sender % (end - begin);
    RowRecipient recipient{peers[chosen], {}};
    for (size_t i = begin; i < end; ++i) {
      if (i != chosen)
        recipient.forward_to.push_back(peers[i]);
    }
    recipients.push_back(std::move(recipient));
  }
  return recipients;
}

std::vector<RowMessage> SplitIntoMessages(StoreTable table,
                                          uint64_t era,
                                          uint64_t after,
                                          const std::vector<StoreRow>& rows) {
  std::vector<RowMessage> messages;
  size_t first = 0;
  while (first < rows.size()) {
    // The message takes as many groups of rows with the same version as fit.
    size_t end = first;
    size_t bytes = 0;
    while (end < rows.size()) {
      size_t group_end = end;
      size_t group_bytes = 0;
      while (group_end < rows.size() &&
             rows[group_end].version == rows[end].version)
        group_bytes += SizeOf(rows[group_end++]);
      if (bytes + group_bytes > kMaxRowBytes)
        break;
      bytes += group_bytes;
      end = group_end;
    }
    if (end == first)
      break;
    RowMessage message{table, era, after, rows[end - 1].version, {}, {}};
    for (; first < end; ++first)
      message.rows.push_back(rows[first]);
    after = message.up_to;
    messages.push_back(std::move(message));
  }
  return messages;
}

RowMessage AnnouncementOf(StoreTable table, uint64_t era, uint64_t version) {
  return {table, era, version, version, {}, {}};
}

std::string EncodeRowMessage(const RowMessage& message) {
  using nlohmann::json;
  json rows = json::array();
  for (const StoreRow& row : message.rows) {
    rows.push_back({row.version, row.removed,
                    json::binary({row.key.begin(), row.key.end()}),
                    json::binary({row.value.begin(), row.value.end()})});
  }
  json forward_to = json::array();
  for (const Endpoint& peer : message.forward_to)
    forward_to.push_back({peer.ip, peer.port});
  std::string body;
  json::to_msgpack(json::array({kFormatVersion, static_cast<int>(message.table),
                                message.after, message.up_to, std::move(rows),
                                std::move(forward_to), message.era}),
                   body);
  return std::string(kMagic) + body;
}

bool IsRowMessage(std::string_view bytes) {
  return bytes.starts_with(kMagic);
}

Result<RowMessage> DecodeRowMessage(std::string_view bytes) {
  using nlohmann::json;
  auto invalid = [](std::string_view rule) {
    return MakeError(ErrorCode::kInvalidArgument, "row message", "",
                     std::string(rule));
  };
  if (!IsRowMessage(bytes))
    return invalid("does not begin like a row message");
  bytes.remove_prefix(kMagic.size());
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  // The checked accessors throw when a field has the wrong type.
  try {
    if (fields.at(0).get<int>() != kFormatVersion)
      return invalid("has an unsupported format version");
    auto table = TableFromNumber(fields.at(1).get<int>());
    if (!table)
      return invalid("names an unknown table");
    RowMessage message{*table,
                       fields.at(6).get<uint64_t>(),
                       fields.at(2).get<uint64_t>(),
                       fields.at(3).get<uint64_t>(),
                       {}};
    uint64_t previous = message.after;
    for (const json& entry : fields.at(4)) {
      auto text = [&entry](size_t index) {
        const auto& binary = entry.at(index).get_binary();
        return std::string(binary.begin(), binary.end());
      };
      StoreRow row{text(2), text(3), entry.at(0).get<uint64_t>(),
                   entry.at(1).get<bool>()};
      if (row.version < previous || row.version > message.up_to)
        return invalid("has rows whose versions are out of order");
      previous = row.version;
      message.rows.push_back(std::move(row));
    }
    for (const json& entry : fields.at(5)) {
      message.forward_to.push_back(
          {entry.at(0).get<std::string>(), entry.at(1).get<uint16_t>()});
    }
    return message;
  } catch (const json::exception& error) {
    return invalid(error.what());
  }
}

}  // namespace cranberryhill::gateway
