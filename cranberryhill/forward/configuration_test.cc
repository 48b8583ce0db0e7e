#include "cranberryhill/forward/configuration.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace cranberryhill::forward {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{"desk", 1}};
  return route;
}

std::shared_ptr<const Configuration> MakeConfiguration() {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 7;
  configuration->routes = {MakeRoute("short", "a.example", "/one/"),
                           MakeRoute("long", "a.example", "/one/two/"),
                           MakeRoute("other", "b.example", "/one/")};
  configuration->routes[1].target_latency = absl::Milliseconds(150);
  return configuration;
}

// Guards against a route with a shorter prefix receiving the requests of a more
// specific route.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  RouteTable table(MakeConfiguration());
  BOOST_TEST(table.Match("a.example", "/one/two/three")->name == "long");
  BOOST_TEST(table.Match("a.example", "/one/three")->name == "short");
  BOOST_TEST(table.Match("b.example", "/one/two/three")->name == "other");
}

// Guards against matching part of a path segment, the path of another host, or
// the query.
BOOST_AUTO_TEST_CASE(no_route_for_other_hosts_and_paths) {
  RouteTable table(MakeConfiguration());
  BOOST_TEST(table.Match("c.example", "/one/") == nullptr);
  BOOST_TEST(table.Match("a.example", "/onetwo/") == nullptr);
  BOOST_TEST(table.Match("a.example", "/x?/one/") == nullptr);
}

// Guards against refusing requests whose Host header has a port or capitals.
BOOST_AUTO_TEST_CASE(host_is_compared_without_port_and_case) {
  RouteTable table(MakeConfiguration());
  BOOST_TEST(table.Match("A.Example:8080", "/one/?q=1")->name == "short");
}

// Guards against a traffic split that does not follow the weights of the
// services.
BOOST_AUTO_TEST_CASE(services_are_picked_by_weight) {
  Route route = MakeRoute("split", "a.example", "/");
  route.services = {{"old", 90}, {"new", 10}};
  std::map<std::string, int, std::less<>> picked;
  for (uint64_t random_value = 0; random_value < 1000; ++random_value)
    ++picked[std::string(PickService(route, random_value))];
  BOOST_TEST(picked["old"] == 900);
  BOOST_TEST(picked["new"] == 100);
}

// Guards against limiting queue waits by the target of a single route instead
// of the shortest target among the routes of the service.
BOOST_AUTO_TEST_CASE(shortest_target_latency_is_that_of_the_service) {
  RouteTable table(MakeConfiguration());
  BOOST_TEST(table.ShortestTargetLatency("desk") == absl::Milliseconds(150));
  BOOST_TEST(table.ShortestTargetLatency("none") == absl::InfiniteDuration());
}

// Guards against waiting for a first event after the caller has closed the
// connection.
BOOST_AUTO_TEST_CASE(caller_event_timeout_is_the_longest_of_three_bounds) {
  Route route;
  route.target_latency = absl::Milliseconds(400);
  route.target_event_interval = absl::Milliseconds(200);
  BOOST_TEST(route.CallerEventTimeout() == absl::Seconds(2));
  route.target_latency = absl::Milliseconds(800);
  BOOST_TEST(route.CallerEventTimeout() == absl::Milliseconds(3200));
  route.target_event_interval = absl::Milliseconds(500);
  BOOST_TEST(route.CallerEventTimeout() == absl::Seconds(4));
}

}  // namespace
}  // namespace cranberryhill::forward
