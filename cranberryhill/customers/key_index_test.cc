#include "cranberryhill/customers/key_index.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/customers/api_key.h"

namespace cranberryhill::customers {
namespace {

forward::Customer MakeCustomer(std::string name,
                               const std::vector<std::string>& keys,
                               std::optional<int> priority = {}) {
  forward::Customer customer{std::move(name), {}, priority};
  for (const std::string& key : keys)
    customer.key_hashes.push_back(HashApiKey(key));
  return customer;
}

KeyIndex MakeIndex(std::vector<forward::Customer> customers) {
  forward::Configuration configuration;
  configuration.customers = std::move(customers);
  return KeyIndex(
      std::make_shared<const forward::Configuration>(std::move(configuration)));
}

Credentials WithKey(std::string_view key, std::string named = "") {
  return {Credentials::Kind::kKey, HashApiKey(key), std::move(named)};
}

KeyIndex TwoCustomers() {
  return MakeIndex(
      {MakeCustomer("yard", {"k1", "k2"}, 3), MakeCustomer("mill", {"k3"})});
}

bool IsValid(const std::vector<forward::Customer>& customers) {
  return Capture([&]() -> Result<bool> {
           BOOST_LEAF_CHECK(ValidateCustomers(customers));
           return true;
         })
      .ok();
}

// Guards against requests that are served for another customer or without one,
// and against a customer's priority that is lost.
BOOST_AUTO_TEST_CASE(known_keys_name_their_customer) {
  KeyIndex index = TwoCustomers();
  for (const char* key : {"k1", "k2"}) {
    Authentication result = index.Authenticate(WithKey(key), false);
    BOOST_TEST((result.status == AuthenticationStatus::kCustomer));
    BOOST_TEST(result.customer == "yard");
    BOOST_TEST(result.priority.value() == 3);
  }
  BOOST_TEST(index.Authenticate(WithKey("k3"), true).customer == "mill");
  BOOST_TEST(!index.Authenticate(WithKey("k3"), true).priority.has_value());
}

// Guards against requests that run although their key is not a customer's:
// unknown, a part of a key, longer than a key, or differing in case only.
BOOST_AUTO_TEST_CASE(unknown_keys_are_rejected_on_every_route) {
  KeyIndex index = TwoCustomers();
  const std::string long_key(8192, 'k');
  for (const std::string& key :
       std::vector<std::string>{"k", "k11", "K1", "", long_key}) {
    for (bool allow_anonymous : {false, true}) {
      BOOST_TEST((index.Authenticate(WithKey(key), allow_anonymous).status ==
                  AuthenticationStatus::kRejected));
    }
  }
}

// Guards against a route without keys that refuses callers, and against others
// that let them in.
BOOST_AUTO_TEST_CASE(only_anonymous_routes_need_no_key) {
  KeyIndex index = TwoCustomers();
  BOOST_TEST((index.Authenticate({}, true).status ==
              AuthenticationStatus::kAnonymous));
  BOOST_TEST((index.Authenticate({}, false).status ==
              AuthenticationStatus::kRejected));
  Credentials malformed;
  malformed.kind = Credentials::Kind::kMalformed;
  BOOST_TEST((index.Authenticate(malformed, true).status ==
              AuthenticationStatus::kRejected));
}

// Guards against callers that name a customer themselves.
BOOST_AUTO_TEST_CASE(name_in_a_callers_request_does_not_count) {
  KeyIndex index = TwoCustomers();
  Credentials forged;
  forged.named_customer = "yard";
  BOOST_TEST((index.Authenticate(forged, false).status ==
              AuthenticationStatus::kRejected));
  BOOST_TEST(index.Authenticate(forged, true).customer.empty());
  BOOST_TEST(index.Authenticate(WithKey("k3", "yard"), false).customer ==
             "mill");
}

// Guards against relayed requests that are refused because this instance has an
// older configuration than the one that has authenticated them, and against
// keys in relayed requests of older builds that are not checked.
BOOST_AUTO_TEST_CASE(relayed_requests_name_their_customer) {
  KeyIndex index = TwoCustomers();
  Credentials named;
  named.named_customer = "yard";
  Authentication known = index.AuthenticateRelayed(named, false);
  BOOST_TEST(known.customer == "yard");
  BOOST_TEST(known.priority.value() == 3);
  named.named_customer = "added later";
  Authentication added = index.AuthenticateRelayed(named, false);
  BOOST_TEST((added.status == AuthenticationStatus::kCustomer));
  BOOST_TEST(added.customer == "added later");
  BOOST_TEST((index.AuthenticateRelayed({}, false).status ==
              AuthenticationStatus::kAnonymous));
  BOOST_TEST(index.AuthenticateRelayed(WithKey("k3", "yard"), false).customer ==
             "mill");
  BOOST_TEST((index.AuthenticateRelayed(WithKey("k9", "yard"), false).status ==
              AuthenticationStatus::kRejected));
}

// Guards against keys that are looked at although no customer has any.
BOOST_AUTO_TEST_CASE(index_without_customers_is_disabled) {
  KeyIndex index(std::make_shared<const forward::Configuration>());
  BOOST_TEST(!index.is_enabled());
  BOOST_TEST(MakeIndex({}).is_enabled());
}

// Guards against keys of one customer that find another one.
RC_BOOST_PROP(each_key_finds_its_customer,
              (const std::vector<std::vector<uint16_t>>& keys_of_customers,
               const std::vector<uint16_t>& other_keys)) {
  std::map<uint16_t, std::string> owners;
  std::vector<forward::Customer> customers;
  for (const auto& keys : keys_of_customers) {
    std::string name = "c" + std::to_string(customers.size());
    std::vector<std::string> own;
    for (uint16_t key : keys) {
      if (owners.emplace(key, name).second)
        own.push_back(std::to_string(key));
    }
    customers.push_back(MakeCustomer(name, own));
  }
  RC_ASSERT(IsValid(customers));
  KeyIndex index = MakeIndex(customers);
  for (const auto& [key, name] : owners)
    RC_ASSERT(index.Find(HashApiKey(std::to_string(key)))->name == name);
  for (uint16_t key : other_keys) {
    if (!owners.contains(key))
      RC_ASSERT(index.Find(HashApiKey(std::to_string(key))) == nullptr);
  }
}

// Guards against a configuration that gives a key or a name to two customers,
// and against keys in error texts.
BOOST_AUTO_TEST_CASE(ambiguous_customers_are_invalid) {
  auto error_of = [](const std::vector<forward::Customer>& customers) {
    auto result = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ValidateCustomers(customers));
      return true;
    });
    BOOST_REQUIRE(!result.ok());
    return result.error().ToString();
  };
  std::string error = error_of({MakeCustomer("yard", {"secret"}),
                                MakeCustomer("mill", {"x", "secret"})});
  BOOST_TEST(error.find("secret") == std::string::npos);
  BOOST_TEST(error.find("key") != std::string::npos);
  BOOST_TEST(
      error_of({MakeCustomer("yard", {"a"}), MakeCustomer("yard", {"b"})})
          .find("yard") != std::string::npos);
  BOOST_TEST(error_of({MakeCustomer("", {"a"})}).find("empty") !=
             std::string::npos);
}

// Guards against hashes that change on their way between instances.
BOOST_AUTO_TEST_CASE(hash_survives_its_text) {
  forward::ApiKeyHash hash = HashApiKey("26tta828m82thhkmgjqn");
  BOOST_TEST((ParseApiKeyHash(FormatApiKeyHash(hash)) == hash));
  BOOST_TEST(FormatApiKeyHash({1, 2}) == "00000000000000010000000000000002");
  for (const char* text : {"", "1", "0000000000000001000000000000000g",
                           "000000000000000100000000000000022"})
    BOOST_TEST(!ParseApiKeyHash(text).has_value());
}

}  // namespace
}  // namespace cranberryhill::customers
