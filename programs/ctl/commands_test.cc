#include "programs/ctl/commands.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "cranberryhill/environment/test_documents.h"
#include "standins/fake_platform/running_platform.h"

namespace cranberryhill {
namespace {

/// A document file and options for a platform of its own.
struct Fixture {
  Fixture() {
    this->options.platform = this->platform.endpoint;
    this->options.daemon = FreeEndpoint();
    this->options.environment = "annex";
    this->options.author = "anna";
    this->options.resolve_interval = absl::ZeroDuration();
    std::ofstream(this->file) << SmallDocument().dump();
  }
  ~Fixture() { std::remove(this->file.c_str()); }

  int ExitCodeOf(const std::vector<std::string>& words) {
    return RunCommand(words, this->options).exit_code;
  }

  const std::string file = "commands_test_document.json";
  RunningPlatform platform;
  CommandOptions options;
};

// Guards against exit codes that scripts of operators misread.
BOOST_FIXTURE_TEST_CASE(ExitCodesTellTheOutcome, Fixture) {
  BOOST_TEST(this->ExitCodeOf({"validate", this->file}) == kExitSuccess);
  BOOST_TEST(this->ExitCodeOf({"apply", this->file}) == kExitSuccess);
  BOOST_TEST(this->ExitCodeOf({"promote", "1"}) == kExitSuccess);
  for (const char* command : {"status", "history", "audit"})
    BOOST_TEST(this->ExitCodeOf({command}) == kExitSuccess);
  BOOST_TEST(this->ExitCodeOf({"promote"}) == kExitUsage);
  BOOST_TEST(this->ExitCodeOf({"rollback", "0"}) == kExitUsage);
  BOOST_TEST(this->ExitCodeOf({"rollback"}) == kExitUsage);
  BOOST_TEST(this->ExitCodeOf({"apply", "no such file"}) == kExitUsage);
  BOOST_TEST(this->ExitCodeOf({"aply", this->file}) == kExitUsage);
  BOOST_TEST(this->ExitCodeOf({"promote", "7"}) == kExitLostRace);
  BOOST_TEST(this->ExitCodeOf({"drain"}) == kExitFailure);
  this->options.platform = FreeEndpoint();
  BOOST_TEST(this->ExitCodeOf({"status"}) == kExitFailure);
  BOOST_TEST(this->ExitCodeOf({"apply", this->file}) == kExitFailure);
}

// Guards against a lost answer that the operator has to look into by hand, and
// against one that is reported as failed while the outage lasts.
BOOST_FIXTURE_TEST_CASE(LostAnswersAreResolved, Fixture) {
  this->platform.Post("/faults", R"({"lose_answers": 1})");
  BOOST_TEST(this->ExitCodeOf({"apply", this->file}) == kExitSuccess);

  // The answers of the change and of every attempt to resolve it are lost.
  this->options.timeout = absl::ZeroDuration();
  this->options.token = "t1";
  this->platform.Post("/faults", R"({"lose_answers": 100})");
  BOOST_TEST(this->ExitCodeOf({"apply", this->file}) == kExitUnknown);
  this->platform.Post("/faults", "{}");
  BOOST_TEST(this->ExitCodeOf({"resolve", "t1"}) == kExitSuccess);
  BOOST_TEST(this->ExitCodeOf({"resolve", "t2"}) == kExitFailure);
}

}  // namespace
}  // namespace cranberryhill
