#include "cranberryhill/forward/event_splitter.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

// Guards against events that are cut, lost or doubled when the bytes of a
// stream arrive in other pieces than they were sent.
RC_BOOST_PROP(any_chunking_gives_the_same_events, ()) {
  std::string stream;
  int count = *rc::gen::inRange(0, 12);
  for (int i = 1; i <= count; ++i) {
    std::string end = *rc::gen::element<std::string>("\n", "\r\n");
    stream.append("id: ").append(std::to_string(i)).append(end);
    stream.append("data: piece").append(end).append(end);
  }
  std::string tail = *rc::gen::element<std::string>("", "id: 99\ndata: hal");
  std::string bytes = stream + tail;
  EventSplitter splitter;
  std::string out;
  size_t at = 0;
  while (at < bytes.size()) {
    size_t step = *rc::gen::inRange<size_t>(1, 9);
    out += splitter.Feed(std::string_view(bytes).substr(at, step));
    at += step;
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(splitter.rest() == tail);
  RC_ASSERT(splitter.events() == static_cast<size_t>(count));
  if (count > 0)
    RC_ASSERT(splitter.last_id() == std::to_string(count));
}

// Guards against resuming after an event that the caller did not get whole.
BOOST_AUTO_TEST_CASE(id_of_an_incomplete_event_does_not_count) {
  EventSplitter splitter;
  splitter.Feed("id: 4\ndata: a\n\nid: 5\ndata: b\n");
  BOOST_TEST(splitter.last_id().value() == "4");
}

// Guards against joining half an event of one run to the next run's events.
BOOST_AUTO_TEST_CASE(dropped_rest_does_not_reach_the_next_run) {
  EventSplitter splitter;
  splitter.Feed("id: 1\n\nid: 2\nda");
  splitter.DropRest();
  BOOST_TEST(splitter.Feed("id: 2\n\n") == "id: 2\n\n");
}

}  // namespace
}  // namespace cranberryhill::forward
