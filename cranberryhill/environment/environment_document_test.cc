#include "cranberryhill/environment/environment_document.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/environment/test_documents.h"

namespace cranberryhill {
namespace {

using nlohmann::json;

Outcome<EnvironmentDocument> Parse(const std::string& text) {
  return Capture([&] { return ParseEnvironmentDocument(text); });
}

// A change of a valid document.
struct DocumentEdit {
  const char* pointer;  // JSON pointer to the changed part of SmallDocument().
  json value;
  const char* field;  // The field of the error; empty if the edit is valid.
};

// Guards against invalid documents that are accepted, and against errors that
// do not name the invalid field.
BOOST_AUTO_TEST_CASE(ErrorsNameTheInvalidField) {
  const std::vector<DocumentEdit> edits = {
      {"/environment", "a/b", "environment"},
      {"/extra", 1, "extra"},
      {"/models", json::array(), "models"},
      {"/models/1/name", "assistant", "models[1].name"},
      {"/models/0/versions", json::array(), "models[0].versions"},
      {"/models/0/versions", {"v1", "v1"}, "models[0].versions[1]"},
      {"/models/0/adapters/0", 7, "models[0].adapters[0]"},
      {"/models/0/wight", 7, "models[0].wight"},
      {"/roles/decode/min_share", 1.5, "roles.decode.min_share"},
      {"/roles/prefill/min_share", 0.9, "roles.prefill"},
      {"/roles/draft", json::object(), "roles.draft"},
      {"/roles/decode/max_share", 0.5, ""},  // The document stays valid.
      {"/engines/1/id", "e1", "engines[1].id"},
      {"/engines/1/address", "127.0.0.1:7001", "engines[1].address"},
      // Other spellings of the address of engine 0.
      {"/engines/1/address", "127.0.0.1:07001", "engines[1].address"},
      {"/engines/1/address", "[::ffff:7f00:1]:7001", "engines[1].address"},
      {"/engines/1/address", "host:7001", "engines[1].address"},
      {"/engines/1/model", "none", "engines[1].model"},
      {"/engines/1/checks_fencing", "yes", "engines[1].checks_fencing"},
      {"/engines/1/availability_zone", "", "engines[1].availability_zone"},
      {"/customers/0/weight", 0, "customers[0].weight"},
      {"/customers/0/requests_per_s", -1, "customers[0].requests_per_s"},
      {"/customers/0/tokens_per_s", nullptr, "customers[0].tokens_per_s"},
      {"/services/0/path_prefix", "ledger/", "services[0].path_prefix"},
      {"/services/0/backend_servers/0/id", "e1",
       "services[0].backend_servers[0].id"},
      {"/services/0/methods/0/http_method", "post",
       "services[0].methods[0].http_method"},
      {"/services/0/methods/0/idempotent", 0,
       "services[0].methods[0].idempotent"},
      {"/services/0/methods/1/name", "book", "services[0].methods[1].name"},
      {"/limits/body_bytes", 0, "limits.body_bytes"},
      {"/limits/prompt_tokens", 1.5, "limits.prompt_tokens"},
  };
  for (const DocumentEdit& edit : edits) {
    BOOST_TEST_CONTEXT(edit.pointer << " = " << edit.value.dump()) {
      json changed = SmallDocument();
      changed[json::json_pointer(edit.pointer)] = edit.value;
      auto document = Parse(changed.dump());
      BOOST_TEST(document.ok() == std::string(edit.field).empty());
      BOOST_TEST(document.error().field == edit.field);
      BOOST_TEST(document.error().rule.empty() == document.ok());
    }
  }
}

// Guards against a digest that depends on comments, the order of fields or
// omitted defaults, and against a canonical text that loses a field.
BOOST_AUTO_TEST_CASE(CanonicalTextIsStable) {
  auto document = Parse("// comment\n" + SmallDocument().dump(2));
  BOOST_REQUIRE(document.ok());
  std::string text = CanonicalText(document.value());
  auto reparsed = Parse(text);
  BOOST_REQUIRE(reparsed.ok());
  BOOST_TEST((reparsed.value() == document.value()));
  BOOST_TEST(CanonicalText(reparsed.value()) == text);

  json changed = SmallDocument();
  changed["engines"][1]["checks_fencing"] = true;
  BOOST_TEST(DocumentDigest(CanonicalText(Parse(changed.dump()).value())) !=
             DocumentDigest(text));
}

/// @return Whether some assignment of roles to engines satisfies the shares.
bool HasValidAssignment(const std::array<RoleShare, 3>& shares, int engines) {
  auto is_within = [&](const RoleShare& share, int count) {
    double engine_share = static_cast<double>(count) / engines;
    return engine_share >= share.min_share - 1e-9 &&
           engine_share <= share.max_share + 1e-9;
  };
  for (int prefill_engines = 0; prefill_engines <= engines; ++prefill_engines) {
    for (int decode_engines = 0; prefill_engines + decode_engines <= engines;
         ++decode_engines) {
      if (is_within(shares[0], prefill_engines) &&
          is_within(shares[1], decode_engines) &&
          is_within(shares[2], engines - prefill_engines - decode_engines)) {
        return true;
      }
    }
  }
  return false;
}

// Guards against role shares that are accepted although no assignment of roles
// satisfies them, and against satisfiable shares that are refused.
RC_BOOST_PROP(SharesAreAcceptedIfSatisfiable, ()) {
  int engines = *rc::gen::inRange(1, 9);
  std::array<RoleShare, 3> shares;
  json changed = SmallDocument();
  for (EngineRole role : kEngineRoles) {
    RoleShare& share = shares[static_cast<size_t>(role)];
    share = {*rc::gen::inRange(0, 7) / 10.0, *rc::gen::inRange(2, 11) / 10.0};
    changed["roles"][std::string(EngineRoleName(role))] = {
        {"min_share", share.min_share}, {"max_share", share.max_share}};
  }
  json engine = changed["engines"][0];
  changed["engines"] = json::array();
  for (int i = 0; i < engines; ++i) {
    engine["id"] = "e" + std::to_string(i);
    engine["address"] = "127.0.0.1:" + std::to_string(8000 + i);
    changed["engines"].push_back(engine);
  }
  RC_ASSERT(Parse(changed.dump()).ok() == HasValidAssignment(shares, engines));
}

// Guards against a path prefix that matches a part of a path segment, and
// against a call that is taken for an idempotent method of the same service.
BOOST_AUTO_TEST_CASE(ServiceMethodsMatchWholePathSegments) {
  EnvironmentDocument document = Parse(SmallDocument().dump()).value();
  auto book = FindServiceMethod(document, "POST", "/ledger/bookings/7");
  BOOST_REQUIRE(book.method != nullptr);
  BOOST_TEST(!book.method->idempotent);
  BOOST_TEST(FindServiceMethod(document, "GET", "/ledgers").service == nullptr);
  auto other = FindServiceMethod(document, "POST", "/ledger/bookingsx");
  BOOST_TEST(other.service != nullptr);
  BOOST_TEST(other.method == nullptr);
}

// Guards against accepting addresses that cannot be connected to.
BOOST_AUTO_TEST_CASE(EndpointsMustBeValidAddresses) {
  auto is_valid = [](const char* text) {
    return Capture([&] { return ParseEndpoint(text, "x"); }).ok();
  };
  BOOST_TEST(is_valid("[::1]:80"));
  for (const char* invalid_text :
       {"", ":80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:8x",
        "::1:80", "[1.2.3.4]:80", "1.2.3:80"})
    BOOST_TEST(!is_valid(invalid_text), invalid_text);
  std::string_view null_character("1.2.3.4\0x:80", 12);
  BOOST_TEST(!Capture([&] { return ParseEndpoint(null_character, "x"); }).ok());
}

}  // namespace
}  // namespace cranberryhill
