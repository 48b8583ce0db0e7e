#include "programs/load/service_audit.h"

#include <cxxtools/http/client.h>

#include <exception>
#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill::load {
namespace {

constexpr int kTimeoutMs = 5000;

Result<std::string> Get(const IpAddress& address, const std::string& path) {
  try {
    cxxtools::http::Client client;
    client.prepareConnect(address.ip, address.port);
    return client.get(path, cxxtools::Milliseconds(kTimeoutMs));
  } catch (const std::exception& e) {
    return MakeError(ErrorCode::kUnavailable, "services", address.ToString(),
                     e.what());
  }
}

}  // namespace

Result<RunsByKey> FetchRuns(std::span<const IpAddress> services) {
  RunsByKey total;
  for (const IpAddress& address : services) {
    BOOST_LEAF_AUTO(body, Get(address, "/calls"));
    BOOST_LEAF_AUTO(json, ParseJson(body, "calls"));
    ObjectReader reader(json, "calls");
    BOOST_LEAF_AUTO(runs, reader.Object("runs"));
    for (const auto& item : runs->items())
      total[item.key()] += item.value().get<uint64_t>();
  }
  return total;
}

CallAudit AuditCalls(std::span<const CallRecord> calls, const RunsByKey& runs) {
  CallAudit audit;
  audit.done = true;
  audit.keys = calls.size();
  for (const CallRecord& call : calls) {
    auto found = runs.find(call.key);
    uint64_t count = found == runs.end() ? 0 : found->second;
    audit.doubled += count > 1 ? 1 : 0;
    audit.lost += call.end == CallEnd::kAnswered && count == 0 ? 1 : 0;
    audit.wrong_not_run += call.end == CallEnd::kNotRun && count > 0 ? 1 : 0;
    audit.unknown += call.end == CallEnd::kUnknown ? 1 : 0;
  }
  return audit;
}

}  // namespace cranberryhill::load
