#ifndef CRANBERRYHILL_DAEMON_METRICS_H_
#define CRANBERRYHILL_DAEMON_METRICS_H_

// The daemon's metrics, served in the Prometheus text format.
//
//   metrics.Count("cranberryhill_chats_total", {{"end", "answered"}});
//   metrics.Set("cranberryhill_generation", {}, 7);
//   metrics.Observe("cranberryhill_first_token_seconds", {}, 0.12);

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace cranberryhill {

struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter. Names and label values must be few: each pair makes a
  /// time series. Unknown names are a broken invariant (see metrics.cc).
  void Count(std::string_view name,
             std::initializer_list<MetricLabel> labels = {},
             double amount = 1);

  /// Sets a gauge.
  void Set(std::string_view name,
           std::initializer_list<MetricLabel> labels,
           double value);

  /// Adds a value, in seconds, to a histogram.
  void Observe(std::string_view name,
               std::initializer_list<MetricLabel> labels,
               double seconds);

  /// @return All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_METRICS_H_
