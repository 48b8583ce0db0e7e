#include "programs/load/load_result.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/report/html_page.h"

namespace cranberryhill::load {
namespace {

constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

Json CountsJson(const RequestCounts& counts) {
  return {{"started", counts.started},
          {"good", counts.good},
          {"late", counts.late},
          {"lost", counts.lost},
          {"cut", counts.cut},
          {"wrong", counts.wrong},
          {"refused", counts.refused},
          {"reasons", counts.reasons},
          {"unexpected_refusals", counts.unexpected_refusals},
          {"resets", counts.resets},
          {"repeats", counts.repeats}};
}

Json LatencyJson(const LatencyHistogram& histogram) {
  Json json = {{"count", histogram.count()},
               {"mean_ms", absl::ToDoubleMilliseconds(histogram.Mean())},
               {"max_ms", absl::ToDoubleMilliseconds(histogram.max())}};
  for (double q : kQuantiles) {
    json[fmt::format("p{:.0f}_ms", q * 100)] =
        absl::ToDoubleMilliseconds(histogram.Quantile(q));
  }
  return json;
}

bool IsClean(const RequestCounts& counts) {
  return counts.lost + counts.cut + counts.wrong + counts.unexpected_refusals ==
         0;
}

std::vector<std::string> CountsRow(std::string_view name,
                                   const RequestCounts& counts) {
  std::vector<std::string> row = {std::string(name)};
  for (uint64_t value :
       {counts.started, counts.good, counts.late, counts.lost, counts.cut,
        counts.wrong, counts.refused, counts.unexpected_refusals, counts.resets,
        counts.repeats}) {
    row.push_back(std::to_string(value));
  }
  return row;
}

std::vector<std::string> LatencyRow(std::string_view name,
                                    const LatencyHistogram& histogram) {
  std::vector<std::string> row = {std::string(name),
                                  std::to_string(histogram.count())};
  for (double q : kQuantiles) {
    row.push_back(fmt::format(
        "{:.2f}", absl::ToDoubleMilliseconds(histogram.Quantile(q))));
  }
  row.push_back(
      fmt::format("{:.2f}", absl::ToDoubleMilliseconds(histogram.max())));
  return row;
}

struct NamedLatency {
  std::string_view name;
  const LatencyHistogram* histogram = nullptr;
};

std::vector<NamedLatency> Latencies(const LoadResult& result) {
  std::vector<NamedLatency> all = {
      {"first token", &result.first_token},
      {"token gap", &result.token_gap},
      {"service call", &result.call_latency},
      {"direct first token", &result.direct_first_token},
      {"direct token gap", &result.direct_token_gap}};
  std::erase_if(all, [](const NamedLatency& latency) {
    return latency.histogram->count() == 0;
  });
  return all;
}

Table CountsTable(const LoadResult& result) {
  Table table{"Requests",
              {"kind", "started", "good", "late", "lost", "cut", "wrong",
               "refused", "unexpected", "resets", "repeats"},
              {CountsRow("chats", result.chats),
               CountsRow("service calls", result.calls)}};
  if (result.direct.started > 0)
    table.rows.push_back(CountsRow("direct chats", result.direct));
  return table;
}

Table LatencyTable(const LoadResult& result) {
  Table table{
      "Latency (ms)", {"kind", "count", "p50", "p95", "p99", "max"}, {}};
  for (const NamedLatency& latency : Latencies(result))
    table.rows.push_back(LatencyRow(latency.name, *latency.histogram));
  return table;
}

std::string TextOf(const Table& table) {
  std::string text = table.title + "\n";
  auto add = [&](const std::vector<std::string>& row) {
    for (size_t i = 0; i < row.size(); ++i)
      text += fmt::format("{:{}}", row[i], i == 0 ? 20 : 11);
    text += "\n";
  };
  add(table.header);
  for (const auto& row : table.rows)
    add(row);
  return text;
}

std::string AuditLine(const CallAudit& audit) {
  if (!audit.error.empty())
    return fmt::format("at-most-once calls were not compared: {}", audit.error);
  if (!audit.done)
    return "at-most-once calls were not compared (no --services)";
  return fmt::format(
      "at-most-once calls: {} keys, {} doubled, {} lost, {} wrongly said not "
      "run, {} unknown to their caller",
      audit.keys, audit.doubled, audit.lost, audit.wrong_not_run,
      audit.unknown);
}

double Ratio(const LatencyHistogram& daemon,
             const LatencyHistogram& direct,
             double quantile) {
  double base = absl::ToDoubleSeconds(direct.Quantile(quantile));
  return base > 0 ? absl::ToDoubleSeconds(daemon.Quantile(quantile)) / base : 0;
}

}  // namespace

bool IsClean(const LoadResult& result) {
  const CallAudit& audit = result.audit;
  return IsClean(result.chats) && IsClean(result.calls) &&
         audit.error.empty() &&
         audit.doubled + audit.lost + audit.wrong_not_run == 0;
}

Json JsonReport(const LoadResult& result) {
  Json seconds = Json::array();
  for (const SecondCounts& second : result.seconds)
    seconds.push_back({{"started", second.started}, {"good", second.good}});
  const CallAudit& audit = result.audit;
  Json json = {{"mix", result.mix},
               {"seed", result.seed},
               {"rate", result.rate},
               {"service_rate", result.service_rate},
               {"duration_s", absl::ToDoubleSeconds(result.duration)},
               {"clean", IsClean(result)},
               {"chats", CountsJson(result.chats)},
               {"calls", CountsJson(result.calls)},
               {"audit",
                {{"done", audit.done},
                 {"error", audit.error},
                 {"keys", audit.keys},
                 {"doubled", audit.doubled},
                 {"lost", audit.lost},
                 {"wrong_not_run", audit.wrong_not_run},
                 {"unknown", audit.unknown}}},
               {"first_token", LatencyJson(result.first_token)},
               {"token_gap", LatencyJson(result.token_gap)},
               {"call_latency", LatencyJson(result.call_latency)},
               {"normal_after_s", absl::ToDoubleSeconds(result.normal_after)},
               {"seconds", seconds}};
  if (result.direct.started > 0) {
    json["direct"] = {
        {"counts", CountsJson(result.direct)},
        {"first_token", LatencyJson(result.direct_first_token)},
        {"token_gap", LatencyJson(result.direct_token_gap)},
        {"first_token_ratio_p50",
         Ratio(result.first_token, result.direct_first_token, 0.5)},
        {"first_token_ratio_p99",
         Ratio(result.first_token, result.direct_first_token, 0.99)},
        {"token_gap_ratio_p50",
         Ratio(result.token_gap, result.direct_token_gap, 0.5)},
        {"token_gap_ratio_p99",
         Ratio(result.token_gap, result.direct_token_gap, 0.99)}};
  }
  return json;
}

std::string TextReport(const LoadResult& result) {
  std::string text =
      fmt::format("mix {}, seed {}, {} chats/s and {} calls/s for {} s\n",
                  result.mix, result.seed, result.rate, result.service_rate,
                  absl::ToDoubleSeconds(result.duration));
  text += TextOf(CountsTable(result)) + TextOf(LatencyTable(result));
  for (const RequestCounts* counts : {&result.chats, &result.calls}) {
    for (const auto& [name, count] : counts->reasons)
      text += fmt::format("{}: {}\n", name, count);
  }
  if (result.direct.started > 0) {
    text += fmt::format(
        "daemon/direct: first token p50 {:.3f} p99 {:.3f}, token gap p50 "
        "{:.3f} "
        "p99 {:.3f}\n",
        Ratio(result.first_token, result.direct_first_token, 0.5),
        Ratio(result.first_token, result.direct_first_token, 0.99),
        Ratio(result.token_gap, result.direct_token_gap, 0.5),
        Ratio(result.token_gap, result.direct_token_gap, 0.99));
  }
  return text + AuditLine(result.audit) + "\n";
}

std::string HtmlReport(const LoadResult& result) {
  HtmlPage page("cranberryhill-load");
  page.AddText(fmt::format(
      "Mix {}, seed {}, {} chats/s and {} service calls/s for {} s.",
      result.mix, result.seed, result.rate, result.service_rate,
      absl::ToDoubleSeconds(result.duration)));
  page.AddText(AuditLine(result.audit));
  page.AddTable(CountsTable(result));
  page.AddTable(LatencyTable(result));
  PlotSeries started{"started", {}};
  PlotSeries good{"good", {}};
  for (size_t i = 0; i < result.seconds.size(); ++i) {
    auto x = static_cast<double>(i);
    started.points.push_back(
        {x, static_cast<double>(result.seconds[i].started)});
    good.points.push_back({x, static_cast<double>(result.seconds[i].good)});
  }
  page.AddPlot({"Goodput by second of start",
                "time (s)",
                "requests/s",
                false,
                {std::move(started), std::move(good)}});
  Plot distribution{"Latency distribution",
                    "latency (ms)",
                    "share of requests (%)",
                    true,
                    {}};
  for (const NamedLatency& latency : Latencies(result)) {
    distribution.series.push_back(
        DistributionSeries(latency.name, *latency.histogram));
  }
  page.AddPlot(distribution);
  return page.ToString();
}

}  // namespace cranberryhill::load
