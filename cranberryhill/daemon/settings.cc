#include "cranberryhill/daemon/settings.h"

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"
#include "cranberryhill/environment/environment_document.h"

namespace cranberryhill {
namespace {

Result<std::string> ReadName(ObjectReader& reader, std::string_view name) {
  BOOST_LEAF_AUTO(value, reader.String(name));
  BOOST_LEAF_CHECK(CheckName(value, reader.PathOf(name)));
  return value;
}

Result<Endpoint> ReadEndpoint(ObjectReader& reader, std::string_view name) {
  BOOST_LEAF_AUTO(value, reader.String(name));
  return ParseEndpoint(value, reader.PathOf(name));
}

Result<absl::Duration> ReadMilliseconds(ObjectReader& reader,
                                        std::string_view name,
                                        IntRange range,
                                        absl::Duration fallback) {
  BOOST_LEAF_AUTO(value,
                  reader.Int(name, range, absl::ToInt64Milliseconds(fallback)));
  return absl::Milliseconds(value);
}

Result<PeerSetting> ReadPeer(const Json& json, std::string_view path) {
  ObjectReader reader(json, path);
  PeerSetting peer;
  BOOST_LEAF_ASSIGN(peer.id, ReadName(reader, "id"));
  BOOST_LEAF_ASSIGN(peer.availability_zone,
                    ReadName(reader, "availability_zone"));
  BOOST_LEAF_ASSIGN(peer.address, ReadEndpoint(reader, "address"));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  return peer;
}

Result<std::vector<PeerSetting>> ReadPeers(ObjectReader& reader) {
  std::vector<PeerSetting> peers;
  BOOST_LEAF_AUTO(array, reader.Array("peers", false));
  if (array == nullptr)
    return peers;
  for (size_t i = 0; i < array->size(); ++i) {
    std::string path = reader.PathOf("peers[" + std::to_string(i) + "]");
    BOOST_LEAF_AUTO(peer, ReadPeer((*array)[i], path));
    peers.push_back(std::move(peer));
  }
  return peers;
}

Result<void> ReadLimits(ObjectReader& reader, Settings& settings) {
  BOOST_LEAF_ASSIGN(
      settings.max_requests,
      reader.Int("max_requests", {1, 100000}, settings.max_requests));
  BOOST_LEAF_ASSIGN(settings.first_token_target,
                    ReadMilliseconds(reader, "first_token_target_ms",
                                     {1, 600000}, settings.first_token_target));
  BOOST_LEAF_ASSIGN(
      settings.default_time_limit,
      ReadMilliseconds(reader, "default_time_limit_ms", {1, 3600000},
                       settings.default_time_limit));
  BOOST_LEAF_ASSIGN(settings.shutdown_limit,
                    ReadMilliseconds(reader, "shutdown_limit_ms", {0, 3600000},
                                     settings.shutdown_limit));
  BOOST_LEAF_ASSIGN(settings.leaving_notice,
                    ReadMilliseconds(reader, "leaving_notice_ms", {0, 600000},
                                     settings.leaving_notice));
  return {};
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "settings"));
  ObjectReader reader(json, "");
  Settings settings;
  BOOST_LEAF_ASSIGN(settings.instance_id, ReadName(reader, "instance_id"));
  BOOST_LEAF_ASSIGN(settings.availability_zone,
                    ReadName(reader, "availability_zone"));
  BOOST_LEAF_ASSIGN(settings.environment, ReadName(reader, "environment"));
  BOOST_LEAF_ASSIGN(settings.http1_address,
                    ReadEndpoint(reader, "http1_address"));
  BOOST_LEAF_ASSIGN(settings.http2_address,
                    ReadEndpoint(reader, "http2_address"));
  BOOST_LEAF_ASSIGN(settings.peer_address,
                    ReadEndpoint(reader, "peer_address"));
  BOOST_LEAF_ASSIGN(settings.platform_address,
                    ReadEndpoint(reader, "platform_address"));
  BOOST_LEAF_ASSIGN(settings.peers, ReadPeers(reader));
  BOOST_LEAF_CHECK(ReadLimits(reader, settings));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  return settings;
}

}  // namespace cranberryhill
