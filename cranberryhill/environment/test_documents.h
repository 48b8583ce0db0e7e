#ifndef CRANBERRYHILL_ENVIRONMENT_TEST_DOCUMENTS_H_
#define CRANBERRYHILL_ENVIRONMENT_TEST_DOCUMENTS_H_

// Environment documents for tests.
//
//   Json json = SmallDocument();
//   json["engines"][0]["id"] = "other";

#include <nlohmann/json.hpp>

namespace cranberryhill {

/// @return A valid document of the environment "annex" with two engines.
inline nlohmann::json SmallDocument() {
  return nlohmann::json::parse(R"({
    "environment": "annex",
    "models": [{"name": "assistant", "versions": ["v1"], "adapters": ["a"]},
               {"name": "draft", "versions": ["v1"]}],
    "roles": {"prefill": {"min_share": 0, "max_share": 0.5},
              "decode": {"min_share": 0.5, "max_share": 1}},
    "engines": [
      {"id": "e1", "address": "127.0.0.1:7001", "availability_zone": "z1",
       "model": "assistant", "checks_fencing": true},
      {"id": "e2", "address": "127.0.0.1:7002", "availability_zone": "z2",
       "model": "assistant", "checks_fencing": false}],
    "customers": [{"name": "c1", "weight": 2, "requests_per_s": 10,
                   "tokens_per_s": 1000}],
    "services": [{"path_prefix": "/ledger",
      "backend_servers": [{"id": "s1", "address": "127.0.0.1:7101",
                           "availability_zone": "z1"}],
      "methods": [
        {"name": "book", "http_method": "POST", "path": "/bookings",
         "idempotent": false},
        {"name": "read", "http_method": "GET", "idempotent": true}]}],
    "limits": {"body_bytes": 1000000, "prompt_tokens": 100000}})");
}

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_TEST_DOCUMENTS_H_
