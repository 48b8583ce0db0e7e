#include "soak/fleet.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::soak {
namespace {

// Guards against versions that the soak does not see, so that it finds no
// stream of two versions.
BOOST_AUTO_TEST_CASE(versions_of_complete_events_are_read) {
  StreamPart part = ParseStream(
      "id: 1\nevent: v1\ndata: a 1\n\nid: 2\nevent: v2\ndata: a 2\n\n"
      "id: 3\nevent: v3\nda");
  BOOST_TEST(part.events == 2);
  BOOST_TEST((part.versions == std::set<std::string>{"v1", "v2"}));
  BOOST_TEST(part.body == "id: 1\ndata: a 1\n\nid: 2\ndata: a 2\n\nid: 3\nda");
}

// Guards against a cut in the name of a version that is taken for a cut in the
// events.
BOOST_AUTO_TEST_CASE(part_without_versions_is_the_start_of_the_answer) {
  std::string whole = ExpectedBody("a", true);
  BOOST_TEST(whole.starts_with(ParseStream("id: 1\neve").body));
  BOOST_TEST(whole.starts_with(ParseStream("id: 1\nevent: v1\nda").body));
  BOOST_TEST(ExpectedBody("a", true, 2).starts_with("id: 2\ndata: a 2\n\n"));
}

}  // namespace
}  // namespace cranberryhill::soak
