#ifndef CRANBERRYHILL_CUSTOMERS_KEY_INDEX_H_
#define CRANBERRYHILL_CUSTOMERS_KEY_INDEX_H_

// Finds the customer of an API key, and decides whether a request may be
// served. Built once for each configuration.
//
//   KeyIndex index(configuration);
//   Authentication result = index.Authenticate(credentials,
//   route.allow_anonymous); if (result.status ==
//   AuthenticationStatus::kRejected) ...answer 401...

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::customers {

/// What a request presents to show whose it is.
struct Credentials {
  enum class Kind {
    kNone,       ///< The request has no credentials.
    kKey,        ///< The request has a key.
    kMalformed,  ///< Several credentials, another scheme, or an empty key.
  };

  Kind kind = Kind::kNone;
  forward::ApiKeyHash key_hash{};
  /// Customer that the request names itself. Callers can forge it, so that it
  /// counts only in requests that another instance has authenticated.
  std::string named_customer;
};

enum class AuthenticationStatus { kCustomer, kAnonymous, kRejected };

struct Authentication {
  AuthenticationStatus status = AuthenticationStatus::kRejected;
  std::string customer;         ///< Empty unless the status is kCustomer.
  std::optional<int> priority;  ///< Of the customer; unset where it has none.
};

/// Immutable.
class KeyIndex {
 public:
  explicit KeyIndex(
      std::shared_ptr<const forward::Configuration> configuration);

  /// @return True if the configuration names customers. Otherwise requests need
  ///     no credentials, and those that they have are not read.
  bool is_enabled() const {  // NOLINT
    return this->configuration->customers.has_value();
  }

  /// @return The customer with this key, or null.
  const forward::Customer* Find(const forward::ApiKeyHash& hash) const;

  /// Authenticates a request of a caller.
  /// @param allow_anonymous Whether the request's route needs no key. A key
  ///     that is present must be known all the same.
  Authentication Authenticate(const Credentials& credentials,
                              bool allow_anonymous) const;

  /// Authenticates a request that another instance relays. An instance that has
  /// authenticated it names the customer in place of the key, and is trusted
  /// although this instance may have an older configuration. Other instances,
  /// of older builds, relay the key.
  Authentication AuthenticateRelayed(const Credentials& credentials,
                                     bool allow_anonymous) const;

 private:
  struct Hasher {
    size_t operator()(const forward::ApiKeyHash& hash) const { return hash[1]; }
  };

  static Authentication Accept(const forward::Customer& customer);

  std::shared_ptr<const forward::Configuration> configuration;
  absl::flat_hash_map<forward::ApiKeyHash, const forward::Customer*, Hasher>
      customers_by_key;
};

/// @return kInvalidArgument if two customers have the same name or the same
///     key, or one has an empty name. Errors name customers but no key.
Result<void> ValidateCustomers(std::span<const forward::Customer> customers);

}  // namespace cranberryhill::customers

#endif  // CRANBERRYHILL_CUSTOMERS_KEY_INDEX_H_
