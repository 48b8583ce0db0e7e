#ifndef CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_
#define CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_

// The document that describes one environment: its models, engines, services,
// customers and limits.
//
//   auto document = Capture([&] { return ParseEnvironmentDocument(text); });
//   if (!document.ok()) return document.error();
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

/// A model that the environment serves.
struct ModelSpec {
  std::string name;
  /// Has at least one version; the first is preferred.
  std::vector<std::string> versions;
  std::vector<std::string> adapters;  ///< May be empty.

  bool operator==(const ModelSpec&) const = default;
};

/// Limits for the share of the environment's engines that have a role, from 0
/// to 1.
struct RoleShare {
  double min_share = 0;
  double max_share = 0;

  bool operator==(const RoleShare&) const = default;
};

/// The range of the number of engines that a RoleShare allows.
struct RoleCountRange {
  size_t min_count = 0;
  size_t max_count = 0;
};

/// @return The number of engines, out of `engines`, that `share` allows.
/// min_count is above max_count if no integer lies within the share.
RoleCountRange RoleCountRangeOf(const RoleShare& share, size_t engines);

/// An engine of the environment.
struct EngineSpec {
  std::string id;
  std::string address;  ///< IP:PORT
  std::string availability_zone;
  std::string model;  ///< Name of an entry of `models`.
  /// The engine refuses orders with an old fencing number.
  bool checks_fencing = false;

  bool operator==(const EngineSpec&) const = default;
};

/// A customer and its limits.
struct CustomerSpec {
  std::string name;
  double weight = 1;  ///< Weight of its fair share; above 0.
  double requests_per_s = 0;
  double tokens_per_s = 0;

  bool operator==(const CustomerSpec&) const = default;
};

/// A backend server of a service.
struct BackendServerSpec {
  std::string id;
  std::string address;  ///< IP:PORT
  std::string availability_zone;

  bool operator==(const BackendServerSpec&) const = default;
};

/// A method of a service.
struct ServiceMethod {
  std::string name;         ///< Used in logs and metrics.
  std::string http_method;  ///< Upper case, such as "POST".
  std::string path;  ///< Follows the service's path prefix; may be empty.
  bool idempotent = false;

  bool operator==(const ServiceMethod&) const = default;
};

/// A service with its backend servers and methods.
struct ServiceSpec {
  std::string path_prefix;  ///< Such as "/ledger"; has no trailing slash.
  std::vector<BackendServerSpec> backend_servers;
  std::vector<ServiceMethod> methods;

  bool operator==(const ServiceSpec&) const = default;
};

/// Limits that apply to each request of a caller.
struct RequestLimitsSpec {
  int64_t max_body_bytes = 0;
  int64_t max_prompt_tokens = 0;

  bool operator==(const RequestLimitsSpec&) const = default;
};

/// The parsed document.
struct EnvironmentDocument {
  std::string environment;
  std::vector<ModelSpec> models;
  std::array<RoleShare, kEngineRoles.size()> roles;  ///< Indexed by EngineRole.
  std::vector<EngineSpec> engines;
  std::vector<CustomerSpec> customers;
  std::vector<ServiceSpec> services;
  RequestLimitsSpec limits;

  const RoleShare& RoleShareOf(EngineRole role) const {
    return this->roles[static_cast<size_t>(role)];
  }

  bool operator==(const EnvironmentDocument&) const = default;
};

/// The service and method that a request's path and HTTP method select.
struct ServiceMatch {
  const ServiceSpec* service = nullptr;   ///< Null if no path prefix matches.
  const ServiceMethod* method = nullptr;  ///< Null if no method matches.
};

/// Finds the service with the longest matching path prefix and its method with
/// the longest matching path. Prefixes match whole path segments.
/// @param path The request's path without a query.
ServiceMatch FindServiceMethod(const EnvironmentDocument& document,
                               std::string_view http_method,
                               std::string_view path);

/// Parses and validates a document in JSON, which may contain comments.
/// @return The document, or kInvalidArgument with the invalid field, its value
/// and the rule that it breaks.
Result<EnvironmentDocument> ParseEnvironmentDocument(std::string_view text);

/// @return The document as JSON without comments, with sorted field names and
/// with all default values written out. Equal documents have equal texts.
std::string CanonicalText(const EnvironmentDocument& document);

/// @return The digest of a canonical text, as stored in the table.
std::string DocumentDigest(std::string_view canonical_text);

/// Checks the name of an environment, model, instance or similar object. A name
/// has 1 to 64 letters, digits, '.', '_' or '-', because it becomes part of row
/// keys.
/// @param field The name of the checked field, for the error.
Result<void> CheckName(std::string_view name, std::string_view field);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_ENVIRONMENT_DOCUMENT_H_
