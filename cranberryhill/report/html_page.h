#ifndef CRANBERRYHILL_REPORT_HTML_PAGE_H_
#define CRANBERRYHILL_REPORT_HTML_PAGE_H_

// Writes a self-contained HTML page with tables and SVG line plots; the page
// refers to no other file.
//
//   HtmlPage page("Load test");
//   page.AddTable({"Counts", {"kind", "count"}, {{"lost", "0"}}});
//   page.AddPlot({"Goodput", "time (s)", "requests/s", false, {series}});
//   std::string html = page.ToString();

#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/report/latency_histogram.h"

namespace cranberryhill {

struct PlotPoint {
  double x = 0;
  double y = 0;
};

struct PlotSeries {
  std::string name;
  std::vector<PlotPoint> points;  ///< In ascending order of x.
};

struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  bool log_x = false;  ///< Points with x <= 0 are then left out.
  std::vector<PlotSeries> series;
};

struct Table {
  std::string title;
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;
};

/// Texts are escaped by the page. Not thread-safe.
class HtmlPage {
 public:
  explicit HtmlPage(std::string_view title);

  void AddText(std::string_view text);
  void AddTable(const Table& table);
  void AddPlot(const Plot& plot);

  /// @return The whole page.
  std::string ToString() const;

 private:
  std::string title;
  std::string body;
};

/// @return The share of records, in percent, up to each latency in ms.
PlotSeries DistributionSeries(std::string_view name,
                              const LatencyHistogram& histogram);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REPORT_HTML_PAGE_H_
