#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/report/html_page.h"
#include "cranberryhill/report/latency_histogram.h"

namespace cranberryhill {
namespace {

BOOST_AUTO_TEST_SUITE(report)

// Guards against buckets at a power of two that overlap or leave a gap, which
// would report a quantile outside of the stated error.
BOOST_AUTO_TEST_CASE(QuantilesKeepTheStatedError) {
  SeededRandom random(7);
  LatencyHistogram histogram;
  std::vector<int64_t> exact;
  for (int i = 0; i < 5000; ++i) {
    auto value = static_cast<int64_t>(std::exp(random.UniformDouble() * 18));
    exact.push_back(value);
    histogram.Record(absl::Microseconds(value));
  }
  std::sort(exact.begin(), exact.end());
  for (double share : {0.001, 0.25, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    auto rank = static_cast<size_t>(
        std::ceil(share * static_cast<double>(exact.size())));
    int64_t wanted = exact[rank - 1];
    int64_t got = absl::ToInt64Microseconds(histogram.Quantile(share));
    BOOST_TEST(got >= wanted);
    BOOST_TEST(got <= wanted + wanted / 32);
  }
}

// Guards against a merge that drops the buckets that only one side has.
BOOST_AUTO_TEST_CASE(MergeKeepsAllRecords) {
  LatencyHistogram low;
  LatencyHistogram high;
  low.Record(absl::Milliseconds(1));
  high.Record(absl::Seconds(10));
  low.Merge(high);
  BOOST_TEST(low.count() == 2U);
  BOOST_TEST((low.Quantile(1) == absl::Seconds(10)));
}

// Guards against pages that text from a request can break, and against plots
// without points that divide by zero.
BOOST_AUTO_TEST_CASE(PageEscapesTextAndDrawsEmptyPlots) {
  HtmlPage page("a<b");
  page.AddTable({"t", {"k"}, {{"<script>"}}});
  page.AddPlot({"empty", "x", "y", true, {{"none", {}}}});
  page.AddPlot({"point", "x", "y", true, {{"one", {{0, 1}, {5, 0}}}}});
  std::string html = page.ToString();
  BOOST_TEST(html.find("<script>") == std::string::npos);
  BOOST_TEST(html.find("a&lt;b") != std::string::npos);
  BOOST_TEST(html.find("nan") == std::string::npos);
  BOOST_TEST(html.find("inf") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cranberryhill
