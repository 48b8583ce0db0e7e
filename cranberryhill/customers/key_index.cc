#include "cranberryhill/customers/key_index.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cranberryhill::customers {

KeyIndex::KeyIndex(std::shared_ptr<const forward::Configuration> configuration)
    : configuration(std::move(configuration)) {
  if (!this->configuration->customers)
    return;
  size_t keys = 0;
  for (const forward::Customer& customer : *this->configuration->customers)
    keys += customer.key_hashes.size();
  this->customers_by_key.reserve(keys);
  for (const forward::Customer& customer : *this->configuration->customers) {
    for (const forward::ApiKeyHash& hash : customer.key_hashes)
      this->customers_by_key.emplace(hash, &customer);
  }
}

const forward::Customer* KeyIndex::Find(const forward::ApiKeyHash& hash) const {
  auto found = this->customers_by_key.find(hash);
  return found == this->customers_by_key.end() ? nullptr : found->second;
}

Authentication KeyIndex::Accept(const forward::Customer& customer) {
  return {AuthenticationStatus::kCustomer, customer.name, customer.priority};
}

Authentication KeyIndex::Authenticate(const Credentials& credentials,
                                      bool allow_anonymous) const {
  switch (credentials.kind) {
    case Credentials::Kind::kNone:
      if (allow_anonymous)
        return {AuthenticationStatus::kAnonymous, "", std::nullopt};
      return {};
    case Credentials::Kind::kKey:
      if (const forward::Customer* customer = this->Find(credentials.key_hash))
        return Accept(*customer);
      return {};
    case Credentials::Kind::kMalformed:
      return {};
  }
  return {};
}

Authentication KeyIndex::AuthenticateRelayed(const Credentials& credentials,
                                             bool allow_anonymous) const {
  if (credentials.kind != Credentials::Kind::kNone)
    return this->Authenticate(credentials, allow_anonymous);
  const std::string& name = credentials.named_customer;
  if (name.empty())
    return {AuthenticationStatus::kAnonymous, "", std::nullopt};
  const auto& customers = *this->configuration->customers;
  auto known = std::find_if(
      customers.begin(), customers.end(),
      [&name](const forward::Customer& each) { return each.name == name; });
  if (known != customers.end())
    return Accept(*known);
  return {AuthenticationStatus::kCustomer, name, std::nullopt};
}

Result<void> ValidateCustomers(std::span<const forward::Customer> customers) {
  auto invalid = [](std::string_view field, std::string_view value,
                    std::string_view rule) {
    return MakeError(ErrorCode::kInvalidArgument, field, value,
                     std::string(rule));
  };
  absl::flat_hash_map<std::string_view, size_t> names;
  std::vector<std::pair<forward::ApiKeyHash, std::string_view>> keys;
  for (const forward::Customer& customer : customers) {
    if (customer.name.empty())
      return invalid("customers.name", "", "must not be empty");
    if (!names.emplace(customer.name, 0).second) {
      return invalid("customers.name", customer.name,
                     "must be the name of one customer only");
    }
    for (const forward::ApiKeyHash& hash : customer.key_hashes)
      keys.emplace_back(hash, customer.name);
  }
  std::sort(keys.begin(), keys.end());
  for (size_t i = 1; i < keys.size(); ++i) {
    if (keys[i].first == keys[i - 1].first &&
        keys[i].second != keys[i - 1].second) {
      return invalid("customers.keys", keys[i].second,
                     "must not have a key of another customer");
    }
  }
  return {};
}

}  // namespace cranberryhill::customers
