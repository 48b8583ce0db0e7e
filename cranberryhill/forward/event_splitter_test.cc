#include "cranberryhill/forward/event_splitter.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

// Guards against memory that grows for as long as a replica sends an event that
// never ends.
BOOST_AUTO_TEST_CASE(event_without_end_is_noticed) {
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: x\n\n");
  BOOST_TEST(!splitter.too_large());
  std::string data(4096, 'x');
  for (int i = 0; i < 1000 && !splitter.too_large(); ++i)
    splitter.Feed(data);
  BOOST_TEST(splitter.too_large());
  BOOST_TEST(splitter.incomplete_event().size() < (1U << 20));
  splitter.DropIncompleteEvent();
  BOOST_TEST(!splitter.too_large());
}

// Guards against a stream that keeps the process busy for longer with each part
// of an event that never ends.
BOOST_AUTO_TEST_CASE(work_is_linear_in_the_bytes_however_they_are_split) {
  for (std::string_view line : {"~\n", "~", "\r\n~", "id: 1\n", "\n", "\r\n"}) {
    for (size_t size : {size_t{4} << 10, size_t{64} << 10}) {
      EventSplitter splitter;
      size_t fed = 0;
      for (; fed < size; fed += line.size())
        splitter.Feed(line);
      BOOST_TEST(splitter.scanned_bytes() <= 2 * fed);
    }
  }
}

// Guards against events that are truncated, lost or duplicated when the bytes
// of a stream arrive in different chunks than they were sent in.
RC_BOOST_PROP(any_chunking_gives_the_same_events, ()) {
  std::string stream;
  int count = *rc::gen::inRange(0, 12);
  for (int i = 1; i <= count; ++i) {
    std::string end = *rc::gen::element<std::string>("\n", "\r\n");
    stream.append("id: ").append(std::to_string(i)).append(end);
    stream.append("data: piece").append(end).append(end);
  }
  std::string incomplete =
      *rc::gen::element<std::string>("", "id: 99\ndata: hal");
  std::string bytes = stream + incomplete;
  EventSplitter splitter;
  std::string output;
  size_t position = 0;
  while (position < bytes.size()) {
    size_t chunk_size = *rc::gen::inRange<size_t>(1, 9);
    output +=
        splitter.Feed(std::string_view(bytes).substr(position, chunk_size));
    position += chunk_size;
  }
  RC_ASSERT(output == stream);
  RC_ASSERT(splitter.incomplete_event() == incomplete);
  RC_ASSERT(splitter.event_count() == static_cast<size_t>(count));
  if (count > 0)
    RC_ASSERT(splitter.last_event_id() == std::to_string(count));
}

// Guards against resuming after an event that the caller did not receive
// completely.
BOOST_AUTO_TEST_CASE(id_of_an_incomplete_event_is_ignored) {
  EventSplitter splitter;
  splitter.Feed("id: 4\ndata: a\n\nid: 5\ndata: b\n");
  BOOST_TEST(splitter.last_event_id().value() == "4");
}

// Guards against joining an incomplete event of one run with the events of the
// next run.
BOOST_AUTO_TEST_CASE(dropped_incomplete_event_does_not_reach_the_next_run) {
  EventSplitter splitter;
  splitter.Feed("id: 1\n\nid: 2\nda");
  splitter.DropIncompleteEvent();
  BOOST_TEST(splitter.Feed("id: 2\n\n") == "id: 2\n\n");
}

}  // namespace
}  // namespace cranberryhill::forward
