#include "base/BootClock.h"
#include "testing/ProcessGroup.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace peridotsail;
using nlohmann::json;

namespace {

// Ports below the ephemeral range; each test case has its own.
constexpr std::uint16_t kFirstPort = 19100;
constexpr std::uint16_t kPortsPerCase = 60;

HttpRequest
MakeKeyedRequest(const std::string& aMethod,
                 const std::string& aTarget,
                 HttpHeaders aHeaders = {})
{
  aHeaders.push_back({ "Authorization", std::string("Bearer ") + kTestKey });
  return { aMethod, aTarget, std::move(aHeaders), "" };
}

json
BodyOf(const std::optional<HttpResponse>& aResponse)
{
  return aResponse ? json::parse(aResponse->body_, nullptr, false) : json();
}

// Returns the addresses of a lookup's response, in order of preference.
std::vector<std::string>
LookUp(const std::string& aHost)
{
  std::vector<std::string> addresses;
  const json answer = BodyOf(CallOnce(
    aHost,
    { "GET", "/.well-known/peridotsail/hosts?block=10.1.2.0/24", {}, "" }));
  for (const json& host : answer["hosts"]) {
    addresses.push_back(host["address"]);
  }
  return addresses;
}

}

// Covers lookup, authentication, a locally served request, a relay to the
// other region and the withdrawal of a key. No backend server may receive an
// API key.
TEST_CASE("a request is served end to end by separate processes")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort, 1);
  REQUIRE(system.Start());
  const std::vector<std::string> addresses = LookUp(system.hosts_[1].callers_);
  REQUIRE(addresses.size() == 2);
  CHECK(addresses[0] == system.hosts_[1].callers_);

  const std::string north = system.hosts_[0].callers_;
  auto response = CallOnce(north, MakeKeyedRequest("GET", "/inbox/7"));
  REQUIRE(response);
  CHECK(response->status_ == 200);
  CHECK(BodyOf(response)["target"] == "/inbox/7");
  CHECK(BodyOf(response)["server"].get<std::string>().rfind("north", 0) == 0);

  const std::string large(700'000, 'x');
  HttpRequest upload = MakeKeyedRequest("PUT", "/far/scan");
  upload.body_ = large;
  response = CallOnce(north, upload);
  REQUIRE(response);
  CHECK(response->status_ == 200);
  CHECK(BodyOf(response)["server"] == "south-server-2");
  CHECK(BodyOf(response)["body_bytes"] == large.size());

  CHECK(CallOnce(north, { "GET", "/inbox/7", {}, "" })->status_ == 401);
  CHECK(CallOnce(
          north,
          { "GET", "/inbox/7", { { "Authorization", "Bearer k1.wrong" } }, "" })
          ->status_ == 401);
  CHECK(CallOnce(north, { "GET", "/open/7", {}, "" })->status_ == 200);

  json document = system.document_;
  document["keys"][0]["withdrawn"] = true;
  system.SetConfiguration(document);
  REQUIRE(system.WaitForVersion(system.version_));
  response = CallOnce(north, MakeKeyedRequest("GET", "/inbox/7"));
  REQUIRE(response);
  CHECK(response->status_ == 401);
  CHECK(BodyOf(response)["kind"] == "key-withdrawn");
  CHECK(BodyOf(response)["execution"] == "not-run");

  int requests = 0;
  for (const TestBackend& backend : system.backends_) {
    const json seen = system.SeenBy(backend);
    CHECK(seen["keys_seen"] == 0);
    requests += seen["requests"].get<int>();
  }
  CHECK(requests == 3);
}

// Guards against an invalid document replacing the configuration in force.
TEST_CASE("a faulty document does not replace the configuration in force")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + kPortsPerCase, 1);
  REQUIRE(system.Start());
  json document = system.document_;
  document["colour"] = 1;
  system.SetConfiguration(document);
  system.SetConfiguration(system.document_);
  REQUIRE(system.WaitForVersion(3));
  const auto response =
    CallOnce(system.hosts_[0].callers_, MakeKeyedRequest("GET", "/inbox/1"));
  REQUIRE(response);
  CHECK(response->status_ == 200);
  const auto metrics =
    CallOnce(system.hosts_[0].operators_, { "GET", "/metrics", {}, "" });
  REQUIRE(metrics);
  CHECK(metrics->body_.find("peridotsail_configuration_version 3") !=
        std::string::npos);
  CHECK(CallOnce(system.hosts_[0].operators_, { "GET", "/status", {}, "" })
          ->status_ == 401);
}

// Guards invariant 9: a graceful shutdown interrupts no request in flight, and
// lookups omit the host while it still serves.
TEST_CASE("SIGTERM finishes the requests in flight and exits with 0")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 2 * kPortsPerCase, 1);
  REQUIRE(system.Start());
  TestHost& stopping = system.hosts_[0];
  std::vector<std::thread> callers;
  std::vector<int> statuses(3, 0);
  callers.reserve(statuses.size());
  for (int& status : statuses) {
    callers.emplace_back([&stopping, &status] {
      const auto response =
        CallOnce(stopping.callers_,
                 MakeKeyedRequest(
                   "GET", "/inbox/slow", { { "X-Fake-Delay-Ms", "3000" } }));
      status = response ? response->status_ : -1;
    });
  }
  CHECK(WaitUntil([&] {
    return system.SeenBy(system.backends_[0])["requests"].get<int>() +
             system.SeenBy(system.backends_[1])["requests"].get<int>() ==
           3;
  }));
  stopping.process_->Signal(SIGTERM);
  CHECK(
    WaitUntil([&] { return LookUp(system.hosts_[1].callers_).size() == 1; }));
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(statuses == std::vector<int>{ 200, 200, 200 });
  CHECK(stopping.process_->Wait() == 0);
}

// Guards invariant 4 with real processes: hosts claim their slots and refuse
// requests above the customer's rate, counted over both hosts.
TEST_CASE("requests above the rate are refused on all hosts together")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 3 * kPortsPerCase, 1);
  constexpr double kRate = 1;
  constexpr double kBurst = 4;
  system.document_["customers"][0]["rate_per_second"] = kRate;
  system.document_["customers"][0]["burst"] = kBurst;
  REQUIRE(system.Start());
  const TimePoint start = BootClock::now();
  int admitted = 0;
  std::optional<HttpResponse> refused;
  for (int i = 0; i < 1000 && !refused; ++i) {
    const auto response = CallOnce(system.hosts_[i % 2].callers_,
                                   MakeKeyedRequest("GET", "/inbox/1"));
    REQUIRE(response);
    if (response->status_ == 200) {
      ++admitted;
    } else {
      refused = response;
    }
  }
  CHECK(admitted <= kBurst + kRate * ToSeconds(BootClock::now() - start));
  REQUIRE(refused);
  CHECK(refused->status_ == 429);
  CHECK(BodyOf(refused)["kind"] == "rate-exceeded");
  CHECK(BodyOf(refused)["execution"] == "not-run");
  CHECK(FindHeader(refused->headers_, "Retry-After") != nullptr);
}

TEST_CASE("an invalid setting ends the process with exit code 2")
{
  Process process({ std::string(PERIDOTSAIL_BIN_DIR) + "/peridotsail",
                    "serve",
                    "--name=h1" });
  CHECK(process.Wait() == 2);
}
