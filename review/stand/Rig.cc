#include "Rig.h"

#include <cstdlib>
#include <set>

namespace peridotsail::review {

namespace {

// How long a caller waits beyond its time limit.
constexpr Milliseconds kPatience{ 2000 };

std::optional<CaseArguments>
ReadArguments(int aCount, char** aValues)
{
  constexpr int kArguments = 5;
  if (aCount != kArguments) {
    return std::nullopt;
  }
  return CaseArguments{
    aValues[1], aValues[2], aValues[3], std::string(aValues[4]) != "0"
  };
}

}

void
RunCase(int aCount,
        char** aValues,
        const std::function<int(const CaseArguments&, Record&)>& aCase)
{
  const auto arguments = ReadArguments(aCount, aValues);
  if (!arguments) {
    std::_Exit(static_cast<int>(Result::CouldNotRun));
  }
  Record record(arguments->folder_ + "/record.txt");
  std::_Exit(aCase(*arguments, record));
}

int
Finish(Record& aRecord, Result aResult, const std::string& aWhy)
{
  const char* name = "could not run";
  if (aResult == Result::Held) {
    name = "rule held";
  } else if (aResult == Result::Broken) {
    name = "rule broken";
  }
  aRecord.Add(std::string(name) + ": " + aWhy);
  return static_cast<int>(aResult);
}

nlohmann::json
MakeRoute(const RouteOptions& aOptions)
{
  nlohmann::json action{ { "service", aOptions.service_ },
                         { "maxAttempts", aOptions.maxAttempts_ },
                         { "homeRegions", nlohmann::json::array() } };
  if (aOptions.timeoutMs_ > 0) {
    action["timeoutMs"] = aOptions.timeoutMs_;
  }
  return { { "name", aOptions.name_ },
           { "kind", aOptions.kind_ },
           { "targetLatencyMs", 500 },
           { "priority", 1 },
           { "public", false },
           { "sticky", false },
           { "match", { { "prefix", "/" + aOptions.name_ + "/" } } },
           { "action", action } };
}

nlohmann::json
MakeConfiguration(const nlohmann::json& aRoutes,
                  const std::vector<Tenant>& aTenants)
{
  std::set<std::string> services;
  for (const nlohmann::json& route : aRoutes) {
    services.insert(route.at("action").at("service").get<std::string>());
  }
  nlohmann::json tenants = nlohmann::json::array();
  for (const Tenant& tenant : aTenants) {
    tenants.push_back({ { "name", tenant.name_ },
                        { "apiKeys", nlohmann::json::array({ tenant.key_ }) },
                        { "priority", 1 },
                        { "ratePerS", tenant.ratePerSecond_ },
                        { "burst", tenant.burst_ },
                        { "homeRegions", nlohmann::json::array() } });
  }
  nlohmann::json clusters = nlohmann::json::array();
  for (const std::string& service : services) {
    clusters.push_back({ { "name", service },
                         { "healthPath", "/health" },
                         { "maxConns", 390 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "coldStartS", 3.0 },
                         { "coldPerS", 5.2 } });
  }
  return { { "version", "00000007" },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 67108864 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } },
           { "tenants", tenants },
           { "listeners",
             nlohmann::json::array(
               { { { "host", kHostHeader }, { "rules", aRoutes } } }) },
           { "clusters", clusters } };
}

std::string
MakeRequest(const CallOptions& aOptions)
{
  std::string text =
    aOptions.method_ + " " + aOptions.path_ +
    " HTTP/1.1\r\nHost: " + kHostHeader + "\r\nRequest-Id: " + aOptions.id_ +
    "\r\nDeadline-Ms: " + std::to_string(aOptions.deadlineMs_) +
    "\r\nAuthorization: Token " + aOptions.key_ + "\r\n";
  if (!aOptions.body_.empty()) {
    text += "Content-Length: " + std::to_string(aOptions.body_.size()) + "\r\n";
  }
  return text + "\r\n" + aOptions.body_;
}

Caller::Caller(const Host& aHost, Record& aRecord)
  : host_(aHost)
  , record_(aRecord)
{
}

std::optional<int>
Caller::Call(const CallOptions& aOptions)
{
  const std::string& host = host_.Options().name_;
  if (!socket_.IsOpen()) {
    socket_ = Connect(host_.Options().ip_, host_.CallersPort());
    reader_ = std::make_unique<MessageReader>(socket_);
  }
  record_.Add("request " + aOptions.id_ + " sent to " + host);
  Message answer;
  const bool answered =
    socket_.IsOpen() && socket_.Send(MakeRequest(aOptions)) &&
    reader_->Read(answer, Milliseconds(aOptions.deadlineMs_) + kPatience);
  if (!answered) {
    record_.Add("request " + aOptions.id_ +
                ": connection ended without an answer");
    socket_.Close();
    return std::nullopt;
  }
  record_.Add("request " + aOptions.id_ + " answered " +
              std::to_string(answer.Status()));
  if (answer.Header("Connection") == "close") {
    socket_.Close();
  }
  return answer.Status();
}

}
