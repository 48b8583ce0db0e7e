#ifndef CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_
#define CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_

// Splits a text/event-stream into complete events, so that a caller never
// receives part of an event when the replica stops in the middle of one.
//
//   EventSplitter splitter;
//   std::string events = splitter.Feed(bytes);
//   if (splitter.last_event_id()) ...resume after this event...

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryhill::forward {

/// Largest event of a stream. Events hold a few tokens.
inline constexpr size_t kMaxEventBytes = 256 << 10;

class EventSplitter {
 public:
  /// @return All events that `data` completes, byte for byte.
  std::string Feed(std::string_view data);

  /// @return The bytes received so far of an event that is not complete.
  std::string_view incomplete_event() const { return this->buffer; }  // NOLINT

  /// @return The id of the last complete event that has one.
  const std::optional<std::string>& last_event_id() const {  // NOLINT
    return this->last_id;
  }

  /// @return The number of complete events so far.
  size_t event_count() const { return this->complete_events; }  // NOLINT

  /// @return The number of bytes that were looked at, each time counted. It is
  ///     linear in the number of bytes fed, however these are split.
  size_t scanned_bytes() const { return this->scanned; }  // NOLINT

  /// @return True when the incomplete event is larger than any event may be.
  bool too_large() const {  // NOLINT
    return this->buffer.size() > kMaxEventBytes;
  }

  /// Discards the incomplete event before the stream resumes at another
  /// replica.
  void DropIncompleteEvent();

 private:
  void ParseId(std::string_view event);

  std::string buffer;
  size_t line_begin = 0;  // Of the line in `buffer` that is not complete.
  size_t searched = 0;    // No line that is not complete ends before.
  size_t scanned = 0;
  std::optional<std::string> last_id;
  size_t complete_events = 0;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_
