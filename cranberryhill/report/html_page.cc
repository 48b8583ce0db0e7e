#include "cranberryhill/report/html_page.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace cranberryhill {
namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 300;
constexpr double kLeft = 60;
constexpr double kRight = 20;
constexpr double kTop = 20;
constexpr double kBottom = 45;
constexpr int kTicks = 5;
constexpr double kLegendLine = 16;
constexpr double kPercent = 100;
constexpr std::array<std::string_view, 6> kColors = {
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

constexpr std::string_view kStyle =
    "body{font-family:sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "svg text{font-size:11px}";

std::string Escape(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

bool IsDrawn(const Plot& plot, const PlotPoint& point) {
  return std::isfinite(point.x) && std::isfinite(point.y) &&
         (!plot.log_x || point.x > 0);
}

// Maps values of one axis to pixels.
struct Axis {
  double low = 0;
  double high = 1;
  bool logarithmic = false;

  double Share(double value) const {
    if (this->logarithmic) {
      return std::log(value / this->low) / std::log(this->high / this->low);
    }
    return (value - this->low) / (this->high - this->low);
  }

  double At(double share) const {
    return this->logarithmic
               ? this->low * std::pow(this->high / this->low, share)
               : this->low + share * (this->high - this->low);
  }
};

struct Axes {
  Axis x;
  Axis y;

  double PixelX(double value) const {
    return kLeft + this->x.Share(value) * (kWidth - kLeft - kRight);
  }
  double PixelY(double value) const {
    return kHeight - kBottom -
           this->y.Share(value) * (kHeight - kTop - kBottom);
  }
};

Axes AxesOf(const Plot& plot) {
  Axes axes;
  axes.x.logarithmic = plot.log_x;
  bool first = true;
  double top = 0;
  for (const PlotSeries& series : plot.series) {
    for (const PlotPoint& point : series.points) {
      if (!IsDrawn(plot, point))
        continue;
      axes.x.low = first ? point.x : std::min(axes.x.low, point.x);
      axes.x.high = first ? point.x : std::max(axes.x.high, point.x);
      top = std::max(top, point.y);
      first = false;
    }
  }
  // An axis needs two different ends, also for one point or none.
  if (first && plot.log_x)
    axes.x.low = 1;
  if (axes.x.high <= axes.x.low)
    axes.x.high = axes.x.low + std::max(1.0, axes.x.low);
  if (top > 0)
    axes.y.high = top;
  return axes;
}

std::string Ticks(const Axes& axes) {
  std::string svg;
  for (int i = 0; i <= kTicks; ++i) {
    double share = static_cast<double>(i) / kTicks;
    double x = axes.x.At(share);
    double y = axes.y.At(share);
    svg += fmt::format(
        R"(<text x="{:.1f}" y="{}" text-anchor="middle">{:.3g}</text>)",
        axes.PixelX(x), kHeight - kBottom + kLegendLine, x);
    svg += fmt::format(
        R"(<line x1="{}" x2="{}" y1="{:.1f}" y2="{:.1f}" stroke="#ddd"/>)",
        kLeft, kWidth - kRight, axes.PixelY(y), axes.PixelY(y));
    svg += fmt::format(
        R"(<text x="{}" y="{:.1f}" text-anchor="end">{:.3g}</text>)", kLeft - 4,
        axes.PixelY(y) + 4, y);
  }
  return svg;
}

std::string Line(const Plot& plot, const Axes& axes, size_t index) {
  const PlotSeries& series = plot.series[index];
  std::string_view color = kColors[index % kColors.size()];
  std::string points;
  for (const PlotPoint& point : series.points) {
    if (IsDrawn(plot, point)) {
      points += fmt::format("{:.1f},{:.1f} ", axes.PixelX(point.x),
                            axes.PixelY(point.y));
    }
  }
  double legend = kTop + kLegendLine * static_cast<double>(index);
  return fmt::format(R"(<polyline fill="none" stroke="{}" points="{}"/>)"
                     R"(<text x="{}" y="{}" fill="{}">{}</text>)",
                     color, points, kLeft + 8, legend, color,
                     Escape(series.name));
}

}  // namespace

HtmlPage::HtmlPage(std::string_view title) : title(Escape(title)) {}

void HtmlPage::AddText(std::string_view text) {
  this->body += fmt::format("<p>{}</p>\n", Escape(text));
}

void HtmlPage::AddTable(const Table& table) {
  this->body += fmt::format("<h2>{}</h2>\n<table><tr>", Escape(table.title));
  for (const std::string& cell : table.header)
    this->body += fmt::format("<th>{}</th>", Escape(cell));
  this->body += "</tr>\n";
  for (const auto& row : table.rows) {
    this->body += "<tr>";
    for (const std::string& cell : row)
      this->body += fmt::format("<td>{}</td>", Escape(cell));
    this->body += "</tr>\n";
  }
  this->body += "</table>\n";
}

void HtmlPage::AddPlot(const Plot& plot) {
  Axes axes = AxesOf(plot);
  this->body += fmt::format(
      "<h2>{}</h2>\n<svg viewBox=\"0 0 {} {}\" width=\"{}\" height=\"{}\">",
      Escape(plot.title), kWidth, kHeight, kWidth, kHeight);
  this->body += Ticks(axes);
  for (size_t i = 0; i < plot.series.size(); ++i)
    this->body += Line(plot, axes, i);
  this->body +=
      fmt::format(R"(<text x="{}" y="{}" text-anchor="middle">{}</text>)"
                  R"(<text x="4" y="12">{}</text></svg>)"
                  "\n",
                  (kLeft + kWidth - kRight) / 2, kHeight - 8,
                  Escape(plot.x_label), Escape(plot.y_label));
}

std::string HtmlPage::ToString() const {
  return fmt::format(
      "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>{}</title>"
      "<style>{}</style></head>\n<body><h1>{}</h1>\n{}</body></html>\n",
      this->title, kStyle, this->title, this->body);
}

PlotSeries DistributionSeries(std::string_view name,
                              const LatencyHistogram& histogram) {
  PlotSeries series{std::string(name), {}};
  uint64_t seen = 0;
  for (const LatencyHistogram::Bucket& bucket : histogram.Buckets()) {
    seen += bucket.count;
    series.points.push_back({absl::ToDoubleMilliseconds(bucket.upper),
                             kPercent * static_cast<double>(seen) /
                                 static_cast<double>(histogram.count())});
  }
  return series;
}

}  // namespace cranberryhill
