// Limits of the server that change while connections are open.

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cranberryhill/http1/raw_caller_test.h"
#include "cranberryhill/http1/server.h"
#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::http1 {
namespace {

using boost::asio::ip::tcp;

constexpr char kIp[] = "127.0.0.1";
/// Bounds a test whose condition never comes true.
constexpr std::chrono::seconds kLongest(10);
/// Several intervals between two checks of the time limits.
constexpr std::chrono::milliseconds kSeveralChecks(700);
constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct Handler : RequestHandler {
  std::shared_ptr<ActiveRequest> OnRequest(
      IncomingRequest request,
      std::shared_ptr<Responder> responder) override {
    ++this->requests;
    responder->SendWhole({200, "", {}}, request.body);
    return nullptr;
  }
  void OnMalformed(int /*status*/, std::string_view /*reason*/) override {}

  size_t requests = 0;
};

struct Fixture {
  Fixture() {
    auto started = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->server.Listen(kIp, 0));
      return true;
    });
    BOOST_REQUIRE(started.ok());
  }

  void RunUntil(const std::function<bool()>& condition) {
    auto until = std::chrono::steady_clock::now() + kLongest;
    while (!condition() && std::chrono::steady_clock::now() < until)
      this->io.run_one_for(std::chrono::milliseconds(50));
    BOOST_REQUIRE(condition());
  }

  std::unique_ptr<RawCaller> Connect() {
    return std::make_unique<RawCaller>(
        this->io,
        tcp::endpoint(boost::asio::ip::make_address(kIp), this->server.port()));
  }

  /// Connects and has one request answered.
  std::unique_ptr<RawCaller> ConnectAndGet() {
    auto caller = this->Connect();
    caller->Write(kGet);
    this->RunUntil([&] { return caller->Statuses().size() == 1; });
    return caller;
  }

  boost::asio::io_context io{1};
  BootClock clock;
  Handler handler;
  Server server{io, clock, handler, {}};
};

// Guards against closing connections that their callers may still use, because
// the idle limit became shorter after they had become idle.
BOOST_FIXTURE_TEST_CASE(shorter_idle_limit_spares_idle_connections, Fixture) {
  auto caller = this->ConnectAndGet();
  auto unused = this->Connect();
  this->RunUntil([&] { return this->server.OpenConnections() == 2; });
  ServerLimits limits;
  limits.idle_time = absl::Milliseconds(1);
  this->server.SetLimits(limits);
  this->io.run_for(kSeveralChecks);
  BOOST_TEST(!caller->closed);
  BOOST_TEST(!unused->closed);
  caller->Write(kGet);
  this->RunUntil([&] { return caller->Statuses().size() == 2; });
  // The shorter limit applies from the end of this request.
  this->RunUntil([&] { return caller->closed; });
}

// Guards against refusing a request as too slow that keeps to the limit that
// was in force when it began.
BOOST_FIXTURE_TEST_CASE(shorter_request_time_spares_requests_that_have_begun,
                        Fixture) {
  auto caller = this->Connect();
  caller->Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
  this->io.run_for(std::chrono::milliseconds(50));
  ServerLimits limits;
  limits.request_time = absl::Milliseconds(1);
  this->server.SetLimits(limits);
  this->io.run_for(kSeveralChecks);
  BOOST_TEST(caller->received == "");
  caller->Write("dy");
  this->RunUntil([&] { return caller->Statuses().size() == 1; });
  BOOST_TEST(caller->Statuses()[0] == 200);
}

// Guards against refusing a request as too large on a connection that was idle
// when the limits became larger; callers do not repeat it.
BOOST_FIXTURE_TEST_CASE(larger_size_limits_apply_to_idle_connections, Fixture) {
  ServerLimits limits;
  limits.request = {64, 4};
  this->server.SetLimits(limits);
  auto caller = this->ConnectAndGet();
  limits.request = {16384, 100};
  this->server.SetLimits(limits);
  caller->Write("POST /" + std::string(100, 'x') +
                " HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nlonger");
  this->RunUntil([&] { return caller->Statuses().size() == 2; });
  BOOST_TEST(caller->Statuses()[1] == 200);
}

// Guards against closing a connection as idle, or refusing its request as too
// slow, while the rest of the request has arrived and waits to be read, after
// the event loop has been busy.
BOOST_FIXTURE_TEST_CASE(requests_that_have_arrived_are_read_before_the_limit,
                        Fixture) {
  // More than the event loop takes from the system at a time.
  constexpr size_t kCallers = 400;
  constexpr std::chrono::milliseconds kBusy(300);
  ServerLimits limits;
  limits.idle_time = limits.request_time = absl::Milliseconds(500);
  this->server.SetLimits(limits);
  std::string get = kGet;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (size_t i = 0; i < kCallers; ++i)
    callers.push_back(this->Connect());
  // Half of the callers have begun their requests.
  for (size_t i = 0; i < kCallers; i += 2)
    callers[i]->Write(get.substr(0, get.size() / 2));
  this->RunUntil([&] { return this->server.OpenConnections() == kCallers; });
  this->io.run_for(std::chrono::milliseconds(50));
  // A check of the limits becomes due before the bytes arrive, and is made
  // after the limits have passed.
  std::this_thread::sleep_for(kBusy);
  for (size_t i = 0; i < kCallers; ++i)
    callers[i]->Write(i % 2 == 0 ? get.substr(get.size() / 2) : get);
  std::this_thread::sleep_for(kBusy);
  auto has_ended = [](const auto& caller) {
    return caller->closed || !caller->Statuses().empty();
  };
  this->RunUntil(
      [&] { return std::all_of(callers.begin(), callers.end(), has_ended); });
  size_t served = 0;
  for (const auto& caller : callers)
    served += caller->Statuses() == std::vector<int>{200} ? 1 : 0;
  BOOST_TEST(served == kCallers);
}

// Guards against dropping the rest of an answer, because the idle limit passes
// while its caller is slow to read it.
BOOST_FIXTURE_TEST_CASE(answer_that_is_read_slowly_is_sent_to_its_end,
                        Fixture) {
  constexpr size_t kBodyBytes = 3 << 20;
  ServerLimits limits;
  limits.idle_time = absl::Milliseconds(1);
  this->server.SetLimits(limits);
  tcp::socket caller(this->io, tcp::v4());
  caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  caller.connect({boost::asio::ip::make_address(kIp), this->server.port()});
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                        std::to_string(kBodyBytes) + "\r\n\r\n" +
                        std::string(kBodyBytes, 'x');
  boost::asio::async_write(caller, boost::asio::buffer(request),
                           [](boost::system::error_code, size_t) {});
  this->RunUntil([&] { return this->handler.requests == 1; });
  this->io.run_for(kSeveralChecks);
  std::string received;
  boost::system::error_code end;
  boost::asio::async_read(
      caller, boost::asio::dynamic_buffer(received),
      [&end](boost::system::error_code error, size_t) { end = error; });
  this->RunUntil([&end] { return end.failed(); });
  BOOST_TEST(end == boost::asio::error::eof);
  BOOST_TEST(received.size() > kBodyBytes);
}

/// Lowers the number of files that the process may have open.
class FileLimit {
 public:
  explicit FileLimit(rlim_t files) {
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &this->before) == 0);
    rlimit lowered = this->before;
    lowered.rlim_cur = files;
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~FileLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }
  FileLimit(const FileLimit&) = delete;
  FileLimit& operator=(const FileLimit&) = delete;

 private:
  rlimit before{};
};

/// @return The number of the next file that is opened.
rlim_t NextFile(boost::asio::io_context& io) {
  tcp::socket socket(io, tcp::v4());
  return static_cast<rlim_t>(socket.native_handle());
}

// Guards against an event loop that does nothing but try to accept while no
// file is left, and against connections that are not accepted afterwards.
BOOST_FIXTURE_TEST_CASE(accept_waits_for_a_free_file, Fixture) {
  this->io.poll();
  tcp::socket caller(this->io);
  caller.connect(
      tcp::endpoint(boost::asio::ip::make_address(kIp), this->server.port()));
  {
    FileLimit limit(NextFile(this->io));
    // Checks of the time limits and tries to accept.
    BOOST_TEST(this->io.run_for(std::chrono::milliseconds(400)) < 100U);
    BOOST_TEST(this->server.OpenConnections() == 0U);
  }
  this->RunUntil([this] { return this->server.OpenConnections() == 1; });
}

// Guards against a request that is handled although its caller has closed the
// connection before it was read.
BOOST_FIXTURE_TEST_CASE(request_of_a_caller_that_has_left_is_dropped, Fixture) {
  {
    tcp::socket caller(this->io);
    caller.connect(
        tcp::endpoint(boost::asio::ip::make_address(kIp), this->server.port()));
    boost::asio::write(caller, boost::asio::buffer(std::string(kGet)));
  }
  this->ConnectAndGet();
  this->RunUntil([this] { return this->server.OpenConnections() <= 1; });
  BOOST_TEST(this->handler.requests == 1U);
}

// Guards against outgoing connections that leave no file for those of callers.
BOOST_FIXTURE_TEST_CASE(outgoing_connections_leave_files_to_callers, Fixture) {
  tcp::endpoint endpoint(boost::asio::ip::make_address(kIp),
                         this->server.port());
  constexpr rlim_t kMore = 100;
  FileLimit limit(4 * (NextFile(this->io) + kMore) / 3);
  std::vector<std::unique_ptr<tcp::socket>> outgoing;
  boost::system::error_code error;
  while (!error && outgoing.size() < 2 * kMore) {
    outgoing.push_back(std::make_unique<tcp::socket>(this->io));
    error = OpenOutgoing(*outgoing.back(), endpoint);
  }
  BOOST_TEST((error == boost::asio::error::no_descriptors));
  BOOST_TEST(outgoing.size() > kMore / 2);
  BOOST_TEST(outgoing.size() < kMore + 2);
  this->ConnectAndGet();
  outgoing.clear();
  tcp::socket again(this->io);
  BOOST_TEST(!OpenOutgoing(again, endpoint));
}

}  // namespace
}  // namespace cranberryhill::http1
