#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_client.h"
#include "standins/fake_engine.h"

namespace cranberryhill {
namespace {

constexpr int kMaxSteps = 5000;

struct Reply {
  int status = 0;
  std::string body;
  bool done = false;
  std::vector<CloseReason> failures;
};

/// An engine on a manual clock, which moves 10 ms with each step of the loop.
struct EngineFixture {
  ManualClock clock;
  std::unique_ptr<EventLoop> loop = NewEventLoop(clock);
  SeededRandom random{1};
  int crashes = 0;
  std::unique_ptr<FakeEngine> engine = NewEngine();
  std::unique_ptr<Http2Client> client = NewHttp2Client(*loop);
  std::unique_ptr<Http2Connection> connection = Connect(*engine);

  std::unique_ptr<FakeEngine> NewEngine() {
    FakeEngineSettings settings;
    settings.models = {{"m", "1", ""}};
    auto made = std::make_unique<FakeEngine>(*loop, settings, random,
                                             [this] { ++this->crashes; });
    BOOST_REQUIRE(made->Listen({"127.0.0.1", 0}));
    return made;
  }
  std::unique_ptr<Http2Connection> Connect(const FakeEngine& target) {
    return client->Connect({"127.0.0.1", target.port()}, {});
  }
  void Until(const std::function<bool()>& condition) {
    for (int step = 0; step < kMaxSteps && !condition(); ++step) {
      this->loop->RunOnce(absl::Milliseconds(1));
      this->clock.Advance(absl::Milliseconds(10));
    }
    BOOST_REQUIRE(condition());
  }
  void Send(Http2Connection& to,
            const std::string& method,
            const std::string& path,
            const Json& body,
            Reply& reply) {
    Http2Callbacks calls;
    calls.on_headers = [&](int status, const Headers&) {
      reply.status = status;
    };
    calls.on_data = [&](std::string_view chunk) { reply.body.append(chunk); };
    calls.on_end = [&] { reply.done = true; };
    calls.on_failed = [&](const Http2Failure& failure) {
      reply.failures.push_back(failure.reason);
    };
    to.Send({method, path, {}, body.is_null() ? "" : body.dump()}, calls);
  }
  Reply Ask(const std::string& method,
            const std::string& path,
            const Json& body,
            Http2Connection* to = nullptr) {
    Reply reply;
    this->Send(to ? *to : *this->connection, method, path, body, reply);
    this->Until([&] { return reply.done || !reply.failures.empty(); });
    return reply;
  }
  static Json Generate(int resume_from, const std::string& prompt = "why") {
    return {{"model", "m"},        {"prompt", prompt},
            {"prompt_tokens", 10}, {"resume_from", resume_from},
            {"max_tokens", 20},    {"attempt", 1}};
  }
  static Json SetRole(int fencing, int number, const std::string& role) {
    return {{"fencing_number", fencing},
            {"order_number", number},
            {"kind", "set_role"},
            {"role", role}};
  }
};

// Guards against a resumed stream that differs from the interrupted one.
BOOST_FIXTURE_TEST_CASE(AnotherEngineContinuesExactly, EngineFixture) {
  auto second = this->NewEngine();
  auto other = this->Connect(*second);
  this->Ask("POST", "/v1/generate", Generate(0, "other"), other.get());
  std::string whole = this->Ask("POST", "/v1/generate", Generate(0)).body;
  std::string rest =
      this->Ask("POST", "/v1/generate", Generate(7), other.get()).body;
  BOOST_TEST(whole.ends_with(rest));
  BOOST_TEST(rest.starts_with("{\"index\":7,"));
  BOOST_TEST(rest.find(FakeToken("why", 7)) != std::string::npos);
  BOOST_TEST(FakeToken("why", 7) != FakeToken("why", 8));
  BOOST_TEST(whole.find("\"done\":true") != std::string::npos);
}

// Guards against an engine that takes orders of a former lease holder, or that
// runs requests while it changes its role.
BOOST_FIXTURE_TEST_CASE(OldNumbersAreRefused, EngineFixture) {
  BOOST_TEST(this->Ask("POST", "/v1/orders", SetRole(5, 3, "decode")).status ==
             200);
  Reply refused = this->Ask("POST", "/v1/generate", Generate(0));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body.find("not_run") != std::string::npos);
  BOOST_TEST(this->Ask("POST", "/v1/orders", SetRole(4, 9, "mixed")).status ==
             409);
  BOOST_TEST(this->Ask("POST", "/v1/orders", SetRole(5, 2, "mixed")).status ==
             409);
  auto role = [&] {
    Reply status = this->Ask("GET", "/v1/status", nullptr);
    return Json::parse(status.body)["role"].get<std::string>();
  };
  BOOST_TEST(role() == "mixed");
  this->Until([&] { return role() == "decode"; });
  this->Ask("POST", "/faults", {{"ignore_fencing", true}});
  BOOST_TEST(this->Ask("POST", "/v1/orders", SetRole(1, 1, "mixed")).status ==
             200);
}

// Guards against a fault switch that does nothing.
BOOST_FIXTURE_TEST_CASE(CrashFaultsCrash, EngineFixture) {
  this->Ask("POST", "/faults", {{"crash_on_prompt", "poison"}});
  this->Ask("POST", "/v1/generate", Generate(0));
  BOOST_TEST(this->crashes == 0);
  Reply reply;
  this->Send(*this->connection, "POST", "/v1/generate",
             Generate(0, "a poison pill"), reply);
  this->Until([&] { return this->crashes == 1; });
  auto second = this->NewEngine();
  auto other = this->Connect(*second);
  this->Ask("POST", "/faults", {{"crash_after_tokens", 3}}, other.get());
  Reply cut;
  this->Send(*other, "POST", "/v1/generate", Generate(0), cut);
  this->Until([&] { return this->crashes == 2; });
  BOOST_TEST(!cut.done);
}

// Guards against a silent connection that still answers pings, and against one
// that takes new connections down with it.
BOOST_FIXTURE_TEST_CASE(SilenceIsOnOpenConnectionsOnly, EngineFixture) {
  this->Ask("POST", "/faults", {{"silent", true}});
  this->Until(
      [&] { return this->connection->state() != Http2ConnectionState::kOpen; });
  auto fresh = this->Connect(*this->engine);
  BOOST_TEST(this->Ask("POST", "/v1/generate", Generate(0), fresh.get()).done);
}

// Guards against prompts whose cache events do not match the router's hashes
// of the same prompt, or that appear before their delay.
BOOST_FIXTURE_TEST_CASE(CachedBlocksAreReportedAndMoved, EngineFixture) {
  const std::string prompt(8000, 'p');
  Json request = Generate(0, prompt);
  request["prompt_tokens"] = 2000;
  request["max_tokens"] = 1;
  this->Ask("POST", "/v1/generate", request);
  auto read = [&] {
    Reply reply = this->Ask("GET", "/v1/cache_events?after=0", nullptr);
    return Json::parse(reply.body)["events"];
  };
  BOOST_TEST(read().empty());
  Json events;
  this->Until([&] {
    events = read();
    return !events.empty();
  });
  BOOST_REQUIRE(events.size() == 2U);
  std::vector<uint64_t> blocks = PromptBlocks(prompt, 2000);
  BOOST_TEST(events[1]["block"].get<uint64_t>() == blocks[1]);
  auto second = this->NewEngine();
  auto other = this->Connect(*second);
  this->Ask("POST", "/v1/kv/import", {{"blocks", {blocks[0]}}}, other.get());
  Reply held =
      this->Ask("POST", "/v1/kv/export", {{"blocks", blocks}}, other.get());
  BOOST_TEST((Json::parse(held.body)["blocks"] == Json{blocks[0]}));
}

}  // namespace
}  // namespace cranberryhill
