#ifndef CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_
#define CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_

// Cuts a text/event-stream into whole events, so that a caller never gets a
// part of one when the replica stops in the middle.
//
//   EventSplitter splitter;
//   std::string whole = splitter.Feed(bytes);
//   if (splitter.last_id()) ...resume after it...

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryhill::forward {

class EventSplitter {
 public:
  /// @return All events that are complete with `data`, byte for byte.
  std::string Feed(std::string_view data);

  /// @return Bytes of an event that is not complete.
  std::string_view rest() const { return this->buffer; }  // NOLINT

  /// @return The id of the last complete event that has one.
  const std::optional<std::string>& last_id() const {  // NOLINT
    return this->id;
  }

  /// @return Complete events so far.
  size_t events() const { return this->count; }  // NOLINT

  /// Drops the incomplete event, before the stream goes on elsewhere.
  void DropRest() { this->buffer.clear(); }

 private:
  void ReadId(std::string_view event);

  std::string buffer;
  std::optional<std::string> id;
  size_t count = 0;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_EVENT_SPLITTER_H_
