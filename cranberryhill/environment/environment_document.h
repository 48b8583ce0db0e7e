#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_

// The document that describes one environment: what it serves, on which
// engines and services, for which customers and within which limits.
//
//   auto document = Capture([&] { return ParseEnvironmentDocument(text); });
//   if (!document.ok()) Refuse(document.error());
//   std::string canonical = CanonicalText(document.value());

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

inline constexpr std::array<EngineRole, 3> kEngineRoles = {
    EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed};

struct ModelSpec {
  std::string name;
  std::vector<std::string> versions;  ///< At least one; the first is preferred.
  std::vector<std::string> adapters;  ///< May be empty.

  bool operator==(const ModelSpec&) const = default;
};

/// Shares of all engines of the environment, from 0 to 1.
struct RoleShare {
  double min_share = 0;
  double max_share = 0;

  bool operator==(const RoleShare&) const = default;
};

/// Numbers of engines that a RoleShare allows.
struct RoleCount {
  size_t low = 0;
  size_t high = 0;
};

/// @return The numbers of engines out of `engines` that `share` allows; `low`
/// is above `high` when no whole number lies within the share.
RoleCount RoleCountOf(const RoleShare& share, size_t engines);

struct EngineSpec {
  std::string id;
  std::string address;  ///< IP:PORT
  std::string availability_zone;
  std::string model;            ///< Name of an entry of `models`.
  bool checks_fencing = false;  ///< Refuses orders with an old fencing number.

  bool operator==(const EngineSpec&) const = default;
};

struct CustomerSpec {
  std::string name;
  double weight = 1;  ///< Relative fair share; above 0.
  double requests_per_s = 0;
  double tokens_per_s = 0;

  bool operator==(const CustomerSpec&) const = default;
};

struct BackendServerSpec {
  std::string id;
  std::string address;  ///< IP:PORT
  std::string availability_zone;

  bool operator==(const BackendServerSpec&) const = default;
};

struct ServiceMethod {
  std::string name;         ///< Name in logs and metrics.
  std::string http_method;  ///< Upper case, such as "POST".
  std::string path;         ///< Below the service's path prefix; may be empty.
  bool idempotent = false;

  bool operator==(const ServiceMethod&) const = default;
};

struct ServiceSpec {
  std::string path_prefix;  ///< Such as "/ledger"; no slash at its end.
  std::vector<BackendServerSpec> backend_servers;
  std::vector<ServiceMethod> methods;

  bool operator==(const ServiceSpec&) const = default;
};

struct EnvironmentLimits {
  int64_t body_bytes = 0;     ///< Largest request body.
  int64_t prompt_tokens = 0;  ///< Longest prompt.

  bool operator==(const EnvironmentLimits&) const = default;
};

struct EnvironmentDocument {
  std::string environment;
  std::vector<ModelSpec> models;
  std::array<RoleShare, kEngineRoles.size()> roles;  ///< By EngineRole.
  std::vector<EngineSpec> engines;
  std::vector<CustomerSpec> customers;
  std::vector<ServiceSpec> services;
  EnvironmentLimits limits;

  const RoleShare& RoleShareOf(EngineRole role) const {
    return this->roles[static_cast<size_t>(role)];
  }

  bool operator==(const EnvironmentDocument&) const = default;
};

/// The service and method that a request's path and HTTP method select.
struct ServiceMatch {
  const ServiceSpec* service = nullptr;   ///< Null when no prefix matches.
  const ServiceMethod* method = nullptr;  ///< Null when not listed.
};

/// Finds the service with the longest matching path prefix and its method with
/// the longest matching path. Prefixes match whole path segments.
/// @param path The request's path without a query.
ServiceMatch FindServiceMethod(const EnvironmentDocument& document,
                               std::string_view http_method,
                               std::string_view path);

/// Parses and checks a document; comments are allowed.
/// @return The document, or kInvalidArgument that names the field, the value
/// and the rule.
Result<EnvironmentDocument> ParseEnvironmentDocument(std::string_view text);

/// @return JSON without comments, with sorted field names and all defaults
/// written out; equal documents have equal texts.
std::string CanonicalText(const EnvironmentDocument& document);

/// @return The digest of a canonical text, as stored in the table.
std::string DocumentDigest(std::string_view canonical_text);

/// Checks the name of an environment, a model, an instance and so on: 1 to 64
/// letters, digits, '.', '_' and '-'. Names are parts of row keys.
/// @param field Name of the field, used in errors.
Result<void> CheckName(std::string_view name, std::string_view field);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_
