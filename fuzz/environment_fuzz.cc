// The environment document: parse, canonical text, parse again must be equal;
// names and addresses that have to be unique are unique.

#include <arpa/inet.h>

#include <set>
#include <utility>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/environment/environment_document.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

// The bytes of the address as IPv6 and the port, so that all spellings of one
// address are equal.
std::pair<std::string, uint16_t> PlaceOf(const std::string& address) {
  auto endpoint = Capture([&] { return ParseEndpoint(address, "address"); });
  Check(endpoint.ok(), "an accepted address can be parsed");
  std::string ip = endpoint.value().ip;
  if (ip.find(':') == std::string::npos)
    ip = "::ffff:" + ip;
  std::string bytes(sizeof(in6_addr), '\0');
  Check(inet_pton(AF_INET6, ip.c_str(), bytes.data()) == 1,
        "an endpoint has an IP address");
  return {bytes, endpoint.value().port};
}

void CheckUniqueServers(const EnvironmentDocument& document) {
  std::set<std::string> ids;
  std::set<std::pair<std::string, uint16_t>> places;
  auto add = [&](const auto& server) {
    Check(ids.insert(server.id).second, "server ids are unique");
    Check(places.insert(PlaceOf(server.address)).second,
          "no two servers have the same address");
  };
  for (const EngineSpec& engine : document.engines)
    add(engine);
  for (const ServiceSpec& service : document.services) {
    for (const BackendServerSpec& server : service.backend_servers)
      add(server);
  }
}

void CheckShares(const EnvironmentDocument& document) {
  size_t low = 0;
  size_t high = 0;
  for (EngineRole role : kEngineRoles) {
    RoleCountRange count =
        RoleCountRangeOf(document.RoleShareOf(role), document.engines.size());
    Check(count.min_count <= count.max_count,
          "a role's share allows some number");
    low += count.min_count;
    high += count.max_count;
  }
  Check(low <= document.engines.size() && document.engines.size() <= high,
        "the shares can be satisfied together");
}

void CheckMethods(const EnvironmentDocument& document) {
  for (const ServiceSpec& service : document.services) {
    ServiceMatch match =
        FindServiceMethod(document, "GET", service.path_prefix + "/x");
    Check(match.service != nullptr, "a path below a prefix finds a service");
    for (const ServiceMethod& method : service.methods) {
      std::string path = service.path_prefix + method.path;
      match = FindServiceMethod(document, method.http_method, path);
      Check(match.service != nullptr &&
                (match.service != &service || match.method == &method),
            "a listed path finds its own method");
    }
  }
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  auto parse = [](std::string_view text) {
    return Capture([&] { return ParseEnvironmentDocument(text); });
  };
  auto document = parse(TextOf(data, size));
  if (!document.ok()) {
    CheckRefused(document.error());
    return 0;
  }
  std::string canonical = CanonicalText(document.value());
  auto again = parse(canonical);
  Check(again.ok(), "a canonical text can be parsed");
  Check(again.value() == document.value(),
        "a canonical text parses to an equal document");
  Check(CanonicalText(again.value()) == canonical,
        "equal documents have equal canonical texts");
  CheckUniqueServers(document.value());
  CheckShares(document.value());
  CheckMethods(document.value());
  return 0;
}
