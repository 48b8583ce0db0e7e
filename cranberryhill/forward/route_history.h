#ifndef CRANBERRYHILL_FORWARD_ROUTE_HISTORY_H_
#define CRANBERRYHILL_FORWARD_ROUTE_HISTORY_H_

// Keeps the route tables that were in force lately, to tell at which service a
// stream began when the split of its route has changed since.
//
//   RouteHistory history(clock);
//   history.Add(table);  // When it comes into force.
//   auto services = history.PickedServices(host, target, id,
//   absl::Seconds(15));

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class RouteHistory {
 public:
  /// @param clock Must outlive this object.
  explicit RouteHistory(const Clock& clock) : clock(clock) {}

  /// Records that the table is in force from now on.
  void Add(std::shared_ptr<const RouteTable> table);

  /// @param host, target Of a request, as for RouteTable::Match().
  /// @param stream_id Of the attempt that began the stream.
  /// @param span At most kSpan.
  /// @return The services that the tables in force within `span` pick for the
  ///     stream, in the order of the tables, each one once. Tables without a
  ///     route for it are passed over.
  std::vector<std::string> PickedServices(std::string_view host,
                                          std::string_view target,
                                          std::string_view stream_id,
                                          absl::Duration span) const;

  /// How far back tables are kept.
  static constexpr absl::Duration kSpan = absl::Seconds(30);

 private:
  struct Entry {
    std::shared_ptr<const RouteTable> table;
    absl::Time ended_at = absl::InfiniteFuture();
  };

  void EraseOld();

  const Clock& clock;
  std::deque<Entry> entries;  // The last one is in force.
  size_t kept_routes = 0;     // Of all entries but the last one.
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ROUTE_HISTORY_H_
