#include "cranberryhill/daemon/caller_front.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "cranberryhill/calls/owner_liveness.h"
#include "cranberryhill/daemon/chat_fixture_test.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

class NoObjects : public ObjectStore {
 public:
  void Put(std::string, std::string, PutObjectCallback) override {}
  void Get(std::string, GetObjectCallback) override {}
};

class OneResponse : public ResponseSink {
 public:
  void SendWhole(const WholeResponse& whole) override {
    BOOST_TEST(!this->response.has_value());
    this->response = whole;
  }
  void BeginStream(std::string_view) override {}
  size_t SendChunk(std::string_view) override { return 0; }
  void EndStream() override {}

  std::optional<WholeResponse> response;
};

struct FrontFixture : ChatFixture {
  FrontFixture() : ChatFixture({"mixed"}) {
    auto changed = std::make_shared<VersionInForce>(*this->Document());
    changed->document.services = {{"/ledger",
                                   {{"s1", "127.0.0.1:7101", "z1"}},
                                   {{"book", "POST", "/bookings", false}}}};
    this->services.SetDocument(changed);
    this->front.SetDocument(changed);
  }

  // Status and body of the refusal; an answer must come at once.
  WholeResponse Ask(CallerInput input, bool with_customer = true) {
    if (with_customer)
      input.headers.push_back({"x-customer", "c"});
    auto sink = std::make_shared<OneResponse>();
    this->front.Handle(input, sink);
    BOOST_REQUIRE(sink->response.has_value());
    BOOST_TEST(sink->response->body.find("\"outcome\":\"not_run\"") !=
               std::string::npos);
    return *sink->response;
  }

  TableRows rows;
  MemoryTable table{this->rows};
  NoObjects objects;
  NoOwnerLiveness owners;
  WorkerPool pool{1, 1};
  ConfiguredServices directory{"z1", this->members};
  ServiceClient client{{},
                       this->clock,
                       this->directory,
                       this->pool,
                       this->executor};
  CallDeduplicator guard{{.environment = "annex", .owner = "i/1"},
                         this->clock,
                         this->clock,
                         this->random,
                         this->table,
                         this->objects,
                         this->client,
                         this->owners};
  ServiceGateway services{this->directory, this->guard, this->client,
                          this->clock, this->metrics};
  CallerFront front{this->chats, this->services, this->metrics, this->clock};
};

constexpr std::string_view kChatPath = "/v1/chat/completions";

std::string ChatBody(bool stream) {
  return std::string(R"({"model":"assistant","messages":[)"
                     R"({"role":"user","content":"hi"}],"stream":)") +
         (stream ? "true}" : "false}");
}

// Guards against refusals with a wrong status, and against calls that are
// passed on although they break a rule.
BOOST_FIXTURE_TEST_CASE(RefusesBeforeAnythingRuns, FrontFixture) {
  BOOST_TEST(Ask({"GET", "/unknown", {}, ""}).status == 404);
  BOOST_TEST(Ask({"GET", "/ledger/bookings", {}, ""}).status == 405);
  BOOST_TEST(Ask({"GET", std::string(kChatPath), {}, ""}).status == 405);
  std::string large(1001, ' ');
  BOOST_TEST(Ask({"POST", "/ledger/bookings", {}, large}).status == 413);
  BOOST_TEST(Ask({"POST", std::string(kChatPath), {}, large}).status == 413);
  CallerInput chat{"POST", std::string(kChatPath), {}, ChatBody(false)};
  BOOST_TEST(Ask(chat, false).status == 401);
  CallerInput stream{"POST", std::string(kChatPath), {}, ChatBody(true)};
  BOOST_TEST(Ask(stream).body.find("stream") != std::string::npos);
  BOOST_TEST(Ask(stream).status == 400);
  chats.StopAccepting();
  services.StopAccepting();
  BOOST_TEST(Ask(chat).status == 503);
  BOOST_TEST(Ask({"POST", "/ledger/bookings", {}, ""}).status == 503);
  RunFor(absl::Seconds(1));
  BOOST_TEST(Engine(0).ran.empty());
  BOOST_TEST(table.commits() == 0U);
  BOOST_TEST(services.running() == 0U);
}

}  // namespace
}  // namespace cranberryhill
