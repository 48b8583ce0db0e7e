#include "cranberryhill/environment/environment_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/hash.h"
#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxDocumentBytes = 4 << 20;
constexpr size_t kMaxNameLength = 64;
// Compensates for rounding, so that a share of 0.3 of 10 engines is 3 engines.
constexpr double kShareTolerance = 1e-9;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e9;
constexpr int64_t kMaxBodyBytes = int64_t{1} << 30;
constexpr int64_t kMaxPromptTokens = 100'000'000;

constexpr std::array<std::string_view, 7> kHttpMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

boost::leaf::error_id InvalidField(std::string_view field,
                                   std::string_view value,
                                   std::string_view rule) {
  return MakeError(ErrorCode::kInvalidArgument, field, value, rule);
}

/// Refuses a value that has been added before.
class UniqueValues {
 public:
  explicit UniqueValues(std::string_view rule) : rule(rule) {}

  Result<void> Add(const std::string& value, std::string_view field) {
    if (!this->known_values.insert(value).second)
      return InvalidField(field, value, this->rule);
    return {};
  }

 private:
  std::string rule;
  std::set<std::string> known_values;
};

/// Reads the array `name` by calling `parse(ObjectReader&, T&)` for each
/// element.
template <typename T, typename F>
Result<std::vector<T>> ReadArray(ObjectReader& reader,
                                 std::string_view name,
                                 bool required,
                                 F&& parse) {
  std::vector<T> list;
  BOOST_LEAF_AUTO(array, reader.Array(name, required));
  if (array == nullptr)
    return list;
  for (size_t i = 0; i < array->size(); ++i) {
    ObjectReader item(array->at(i),
                      fmt::format("{}[{}]", reader.PathOf(name), i));
    T value;
    BOOST_LEAF_CHECK(parse(item, value));
    BOOST_LEAF_CHECK(item.RefuseUnknownFields());
    list.push_back(std::move(value));
  }
  return list;
}

Result<void> CheckNotEmpty(bool empty, std::string_view field) {
  if (empty)
    return InvalidField(field, "[]", "must have at least one element");
  return {};
}

Result<std::string> ReadName(ObjectReader& reader,
                             std::string_view name,
                             std::optional<std::string> default_value = {}) {
  BOOST_LEAF_AUTO(value, reader.String(name, std::move(default_value)));
  BOOST_LEAF_CHECK(CheckName(value, reader.PathOf(name)));
  return value;
}

Result<std::vector<std::string>> ReadNames(ObjectReader& reader,
                                           std::string_view name,
                                           bool required) {
  std::vector<std::string> names;
  BOOST_LEAF_AUTO(array, reader.Array(name, required));
  if (array == nullptr)
    return names;
  UniqueValues unique_names("must be unique in this list");
  for (size_t i = 0; i < array->size(); ++i) {
    std::string field = fmt::format("{}[{}]", reader.PathOf(name), i);
    const Json& item = array->at(i);
    if (!item.is_string())
      return InvalidField(field, item.dump(), "must be a string");
    auto value = item.get<std::string>();
    BOOST_LEAF_CHECK(CheckName(value, field));
    BOOST_LEAF_CHECK(unique_names.Add(value, field));
    names.push_back(std::move(value));
  }
  return names;
}

Result<std::vector<ModelSpec>> ReadModels(ObjectReader& reader) {
  UniqueValues names("must be unique among the models");
  auto parse = [&](ObjectReader& item, ModelSpec& model) -> Result<void> {
    BOOST_LEAF_ASSIGN(model.name, ReadName(item, "name"));
    BOOST_LEAF_CHECK(names.Add(model.name, item.PathOf("name")));
    BOOST_LEAF_ASSIGN(model.versions, ReadNames(item, "versions", true));
    BOOST_LEAF_CHECK(
        CheckNotEmpty(model.versions.empty(), item.PathOf("versions")));
    BOOST_LEAF_ASSIGN(model.adapters, ReadNames(item, "adapters", false));
    return {};
  };
  BOOST_LEAF_AUTO(models, ReadArray<ModelSpec>(reader, "models", true, parse));
  BOOST_LEAF_CHECK(CheckNotEmpty(models.empty(), reader.PathOf("models")));
  return models;
}

/// The ids and addresses of all engines and backend servers. If two entries
/// meant the same engine, it would have two order rows and could receive
/// conflicting orders.
struct ServerIdentities {
  UniqueValues ids{"must be unique among engines and backend servers"};
  UniqueValues addresses{"must be unique among engines and backend servers"};
};

/// Reads the fields that engines and backend servers have in common.
template <typename T>
Result<void> ReadServerFields(ObjectReader& item,
                              ServerIdentities& identities,
                              T& server) {
  BOOST_LEAF_ASSIGN(server.id, ReadName(item, "id"));
  BOOST_LEAF_CHECK(identities.ids.Add(server.id, item.PathOf("id")));
  BOOST_LEAF_ASSIGN(server.address, item.String("address"));
  BOOST_LEAF_AUTO(endpoint,
                  ParseEndpoint(server.address, item.PathOf("address")));
  BOOST_LEAF_CHECK(
      identities.addresses.Add(EndpointText(endpoint), item.PathOf("address")));
  BOOST_LEAF_ASSIGN(server.availability_zone,
                    ReadName(item, "availability_zone"));
  return {};
}

/// Reads the field `model`, which may be omitted if there is only one model.
Result<std::string> ReadModelReference(ObjectReader& item,
                                       const std::vector<ModelSpec>& models) {
  std::optional<std::string> default_value;
  if (models.size() == 1)
    default_value = models[0].name;
  BOOST_LEAF_AUTO(name, item.String("model", default_value));
  bool is_known =
      std::any_of(models.begin(), models.end(),
                  [&](const auto& model) { return model.name == name; });
  if (!is_known)
    return InvalidField(item.PathOf("model"), name, "must be a name in models");
  return name;
}

Result<std::vector<EngineSpec>> ReadEngines(
    ObjectReader& reader,
    const std::vector<ModelSpec>& models,
    ServerIdentities& identities) {
  auto parse = [&](ObjectReader& item, EngineSpec& engine) -> Result<void> {
    BOOST_LEAF_CHECK(ReadServerFields(item, identities, engine));
    BOOST_LEAF_ASSIGN(engine.model, ReadModelReference(item, models));
    BOOST_LEAF_ASSIGN(engine.checks_fencing, item.Bool("checks_fencing"));
    return {};
  };
  BOOST_LEAF_AUTO(engines,
                  ReadArray<EngineSpec>(reader, "engines", true, parse));
  BOOST_LEAF_CHECK(CheckNotEmpty(engines.empty(), reader.PathOf("engines")));
  return engines;
}

Result<std::vector<CustomerSpec>> ReadCustomers(ObjectReader& reader) {
  UniqueValues names("must be unique among the customers");
  auto parse = [&](ObjectReader& item, CustomerSpec& customer) -> Result<void> {
    BOOST_LEAF_ASSIGN(customer.name, ReadName(item, "name"));
    BOOST_LEAF_CHECK(names.Add(customer.name, item.PathOf("name")));
    BOOST_LEAF_ASSIGN(customer.weight,
                      item.Double("weight", {1e-6, kMaxWeight}, 1.0));
    BOOST_LEAF_ASSIGN(customer.requests_per_s,
                      item.Double("requests_per_s", {1e-6, kMaxRate}));
    BOOST_LEAF_ASSIGN(customer.tokens_per_s,
                      item.Double("tokens_per_s", {1e-6, kMaxRate}));
    return {};
  };
  return ReadArray<CustomerSpec>(reader, "customers", true, parse);
}

Result<void> CheckPath(std::string_view path, std::string_view field) {
  bool is_valid = path.starts_with('/') && !path.ends_with('/') &&
                  path.find("//") == std::string_view::npos &&
                  path.find_first_of(" ?#%\t\r\n") == std::string_view::npos;
  if (!is_valid) {
    return InvalidField(
        field, path,
        "must start with '/', must not end with it and must not "
        "contain \"//\", spaces, '?', '#' or '%'");
  }
  return {};
}

Result<std::vector<ServiceMethod>> ReadMethods(ObjectReader& reader) {
  UniqueValues names("must be unique among the service's methods");
  UniqueValues routes(
      "must be unique, with its http_method, among the service's methods");
  auto parse = [&](ObjectReader& item, ServiceMethod& method) -> Result<void> {
    BOOST_LEAF_ASSIGN(method.name, ReadName(item, "name"));
    BOOST_LEAF_CHECK(names.Add(method.name, item.PathOf("name")));
    BOOST_LEAF_ASSIGN(method.http_method, item.String("http_method"));
    if (std::find(kHttpMethods.begin(), kHttpMethods.end(),
                  method.http_method) == kHttpMethods.end()) {
      return InvalidField(
          item.PathOf("http_method"), method.http_method,
          "must be GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
    }
    BOOST_LEAF_ASSIGN(method.path, item.String("path", ""));
    if (!method.path.empty())
      BOOST_LEAF_CHECK(CheckPath(method.path, item.PathOf("path")));
    BOOST_LEAF_CHECK(routes.Add(method.http_method + " " + method.path,
                                item.PathOf("path")));
    BOOST_LEAF_ASSIGN(method.idempotent, item.Bool("idempotent"));
    return {};
  };
  BOOST_LEAF_AUTO(methods,
                  ReadArray<ServiceMethod>(reader, "methods", true, parse));
  BOOST_LEAF_CHECK(CheckNotEmpty(methods.empty(), reader.PathOf("methods")));
  return methods;
}

Result<std::vector<ServiceSpec>> ReadServices(ObjectReader& reader,
                                              ServerIdentities& identities) {
  UniqueValues prefixes("must be unique among the services");
  auto parse_server = [&](ObjectReader& item, BackendServerSpec& server) {
    return ReadServerFields(item, identities, server);
  };
  auto parse = [&](ObjectReader& item, ServiceSpec& service) -> Result<void> {
    std::string field = item.PathOf("path_prefix");
    BOOST_LEAF_ASSIGN(service.path_prefix, item.String("path_prefix"));
    BOOST_LEAF_CHECK(CheckPath(service.path_prefix, field));
    BOOST_LEAF_CHECK(prefixes.Add(service.path_prefix, field));
    BOOST_LEAF_ASSIGN(service.backend_servers,
                      ReadArray<BackendServerSpec>(item, "backend_servers",
                                                   true, parse_server));
    BOOST_LEAF_CHECK(CheckNotEmpty(service.backend_servers.empty(),
                                   item.PathOf("backend_servers")));
    BOOST_LEAF_ASSIGN(service.methods, ReadMethods(item));
    return {};
  };
  return ReadArray<ServiceSpec>(reader, "services", false, parse);
}

/// Reads the share of a role. A role that is omitted has no engines.
Result<RoleShare> ReadRole(ObjectReader& roles, std::string_view name) {
  RoleShare share;
  BOOST_LEAF_AUTO(json, roles.Object(name, false));
  if (json == nullptr)
    return share;
  ObjectReader item(*json, roles.PathOf(name));
  BOOST_LEAF_ASSIGN(share.min_share, item.Double("min_share", {0, 1}));
  BOOST_LEAF_ASSIGN(share.max_share, item.Double("max_share", {0, 1}));
  BOOST_LEAF_CHECK(item.RefuseUnknownFields());
  return share;
}

/// Refuses role shares that no assignment of roles to the engines can satisfy.
Result<void> CheckRoleShares(const EnvironmentDocument& document) {
  size_t engines = document.engines.size();
  size_t min_count = 0;
  size_t max_count = 0;
  for (EngineRole role : kEngineRoles) {
    const RoleShare& share = document.RoleShareOf(role);
    std::string field = fmt::format("roles.{}", EngineRoleName(role));
    std::string value =
        fmt::format("{} to {}", share.min_share, share.max_share);
    if (share.min_share > share.max_share)
      return InvalidField(field, value, "min_share must not exceed max_share");
    RoleCountRange range = RoleCountRangeOf(share, engines);
    if (range.min_count > range.max_count) {
      return InvalidField(
          field, value,
          fmt::format("no whole number of the {} engines lies within the share",
                      engines));
    }
    min_count += range.min_count;
    max_count += range.max_count;
  }
  if (min_count > engines) {
    return InvalidField(
        "roles", fmt::format("{}", min_count),
        fmt::format("the min_share fields together need more than the {} "
                    "engines",
                    engines));
  }
  if (max_count < engines) {
    return InvalidField(
        "roles", fmt::format("{}", max_count),
        fmt::format("the max_share fields together allow fewer than the {} "
                    "engines",
                    engines));
  }
  return {};
}

Result<void> ReadRoles(ObjectReader& reader, EnvironmentDocument& document) {
  BOOST_LEAF_AUTO(json, reader.Object("roles"));
  ObjectReader roles(*json, reader.PathOf("roles"));
  for (EngineRole role : kEngineRoles) {
    BOOST_LEAF_AUTO(share, ReadRole(roles, EngineRoleName(role)));
    document.roles[static_cast<size_t>(role)] = share;
  }
  return roles.RefuseUnknownFields();
}

Result<RequestLimitsSpec> ReadLimits(ObjectReader& reader) {
  RequestLimitsSpec limits;
  BOOST_LEAF_AUTO(json, reader.Object("limits"));
  ObjectReader item(*json, reader.PathOf("limits"));
  BOOST_LEAF_ASSIGN(limits.max_body_bytes,
                    item.Int("body_bytes", {1, kMaxBodyBytes}));
  BOOST_LEAF_ASSIGN(limits.max_prompt_tokens,
                    item.Int("prompt_tokens", {1, kMaxPromptTokens}));
  BOOST_LEAF_CHECK(item.RefuseUnknownFields());
  return limits;
}

/// @return The rest of `path` after `prefix`, or std::nullopt if `path` does
/// not start with the segments of `prefix`.
std::optional<std::string_view> StripPathPrefix(std::string_view path,
                                                std::string_view prefix) {
  if (!path.starts_with(prefix))
    return std::nullopt;
  std::string_view rest = path.substr(prefix.size());
  if (!rest.empty() && rest.front() != '/')
    return std::nullopt;
  return rest;
}

Json ServiceJson(const ServiceSpec& service) {
  Json json = {{"path_prefix", service.path_prefix},
               {"backend_servers", Json::array()},
               {"methods", Json::array()}};
  for (const BackendServerSpec& server : service.backend_servers) {
    json["backend_servers"].push_back(
        {{"id", server.id},
         {"address", server.address},
         {"availability_zone", server.availability_zone}});
  }
  for (const ServiceMethod& method : service.methods) {
    json["methods"].push_back({{"name", method.name},
                               {"http_method", method.http_method},
                               {"path", method.path},
                               {"idempotent", method.idempotent}});
  }
  return json;
}

}  // namespace

RoleCountRange RoleCountRangeOf(const RoleShare& share, size_t engines) {
  auto total = static_cast<double>(engines);
  return {
      static_cast<size_t>(std::ceil(share.min_share * total - kShareTolerance)),
      static_cast<size_t>(
          std::floor(share.max_share * total + kShareTolerance))};
}

Result<void> CheckName(std::string_view name, std::string_view field) {
  bool is_valid = !name.empty() && name.size() <= kMaxNameLength &&
                  std::all_of(name.begin(), name.end(), [](unsigned char c) {
                    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '.' || c == '_' ||
                           c == '-';
                  });
  if (!is_valid) {
    return InvalidField(field, name.substr(0, kMaxNameLength + 1),
                        "must be 1 to 64 letters, digits, '.', '_' or '-'");
  }
  return {};
}

Result<EnvironmentDocument> ParseEnvironmentDocument(std::string_view text) {
  if (text.size() > kMaxDocumentBytes) {
    return InvalidField(
        "document", fmt::format("{} bytes", text.size()),
        fmt::format("must have at most {} bytes", kMaxDocumentBytes));
  }
  BOOST_LEAF_AUTO(json, ParseJson(text, "document"));
  ObjectReader reader(json, "");
  EnvironmentDocument document;
  ServerIdentities identities;
  BOOST_LEAF_ASSIGN(document.environment, ReadName(reader, "environment"));
  BOOST_LEAF_ASSIGN(document.models, ReadModels(reader));
  BOOST_LEAF_ASSIGN(document.engines,
                    ReadEngines(reader, document.models, identities));
  BOOST_LEAF_CHECK(ReadRoles(reader, document));
  BOOST_LEAF_ASSIGN(document.customers, ReadCustomers(reader));
  BOOST_LEAF_ASSIGN(document.services, ReadServices(reader, identities));
  BOOST_LEAF_ASSIGN(document.limits, ReadLimits(reader));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  BOOST_LEAF_CHECK(CheckRoleShares(document));
  return document;
}

std::string CanonicalText(const EnvironmentDocument& document) {
  Json json = {{"environment", document.environment},
               {"models", Json::array()},
               {"roles", Json::object()},
               {"engines", Json::array()},
               {"customers", Json::array()},
               {"services", Json::array()},
               {"limits",
                {{"body_bytes", document.limits.max_body_bytes},
                 {"prompt_tokens", document.limits.max_prompt_tokens}}}};
  for (const ModelSpec& model : document.models) {
    json["models"].push_back({{"name", model.name},
                              {"versions", model.versions},
                              {"adapters", model.adapters}});
  }
  for (EngineRole role : kEngineRoles) {
    const RoleShare& share = document.RoleShareOf(role);
    json["roles"][std::string(EngineRoleName(role))] = {
        {"min_share", share.min_share}, {"max_share", share.max_share}};
  }
  for (const EngineSpec& engine : document.engines) {
    json["engines"].push_back({{"id", engine.id},
                               {"address", engine.address},
                               {"availability_zone", engine.availability_zone},
                               {"model", engine.model},
                               {"checks_fencing", engine.checks_fencing}});
  }
  for (const CustomerSpec& customer : document.customers) {
    json["customers"].push_back({{"name", customer.name},
                                 {"weight", customer.weight},
                                 {"requests_per_s", customer.requests_per_s},
                                 {"tokens_per_s", customer.tokens_per_s}});
  }
  for (const ServiceSpec& service : document.services)
    json["services"].push_back(ServiceJson(service));
  return json.dump();
}

std::string DocumentDigest(std::string_view canonical_text) {
  return StableDigest(canonical_text);
}

ServiceMatch FindServiceMethod(const EnvironmentDocument& document,
                               std::string_view http_method,
                               std::string_view path) {
  ServiceMatch match;
  std::string_view rest;
  for (const ServiceSpec& service : document.services) {
    auto found = StripPathPrefix(path, service.path_prefix);
    if (found &&
        (match.service == nullptr ||
         service.path_prefix.size() > match.service->path_prefix.size())) {
      match.service = &service;
      rest = *found;
    }
  }
  if (match.service == nullptr)
    return match;
  for (const ServiceMethod& method : match.service->methods) {
    if (method.http_method == http_method &&
        StripPathPrefix(rest, method.path) &&
        (match.method == nullptr ||
         method.path.size() > match.method->path.size())) {
      match.method = &method;
    }
  }
  return match;
}

}  // namespace cranberryhill
