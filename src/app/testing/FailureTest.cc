#include "testing/LoadCallers.h"
#include "testing/ProcessGroup.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <thread>

using namespace peridotsail;
using nlohmann::json;

namespace {

// Ports below the ephemeral range; each test case has its own.
constexpr std::uint16_t kFirstPort = 19500;
constexpr std::uint16_t kPortsPerCase = 60;
constexpr int kThreads = 4;

std::vector<std::string>
CallerAddresses(const TestSystem& aSystem)
{
  std::vector<std::string> addresses;
  for (const TestHost& host : aSystem.hosts_) {
    addresses.push_back(host.callers_);
  }
  return addresses;
}

// Number of concurrent orders, and how long each takes.
constexpr int kOrderCount = 6;
constexpr int kOrderDelayMs = 1000;

// Sends an order through the host. Returns its status, or 0 if the connection
// was lost.
int
SendOrder(const TestHost& aHost,
          const std::string& aKey,
          int aDelayMs = 0,
          const std::string& aPath = "/stamps/order")
{
  const HttpRequest request{
    "POST",
    aPath,
    { { "Authorization", std::string("Bearer ") + kTestKey },
      { "Idempotency-Key", aKey },
      { "X-Fake-Delay-Ms", std::to_string(aDelayMs) } },
    "one stamp"
  };
  const auto response = CallOnce(aHost.callers_, request);
  return response ? response->status_ : 0;
}

// Sends each order through all hosts concurrently.
void
SendOrdersConcurrently(const TestSystem& aSystem,
                       const std::vector<std::string>& aKeys,
                       int aDelayMs)
{
  std::vector<std::thread> callers;
  callers.reserve(aKeys.size() * aSystem.hosts_.size());
  for (const std::string& key : aKeys) {
    for (const TestHost& host : aSystem.hosts_) {
      callers.emplace_back(
        [&host, &key, aDelayMs] { SendOrder(host, key, aDelayMs); });
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

// Returns how often the backend servers ran each order.
std::map<std::string, int>
RunsByKey(const TestSystem& aSystem)
{
  std::map<std::string, int> runs;
  for (const TestBackend& backend : aSystem.backends_) {
    const json seen = aSystem.SeenBy(backend);
    for (const auto& [key, count] : seen["runs"].items()) {
      runs[key] += count.get<int>();
    }
  }
  return runs;
}

int
TotalRuns(const TestSystem& aSystem)
{
  int total = 0;
  for (const auto& [key, count] : RunsByKey(aSystem)) {
    total += count;
  }
  return total;
}

}

// Guards invariant 9 under load: after SIGTERM, no caller sees a failure.
TEST_CASE("a graceful shutdown under load loses no request")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort, 2);
  REQUIRE(system.Start());
  LoadCallers callers(CallerAddresses(system), kThreads);
  REQUIRE(callers.WaitForSuccesses(50));
  system.hosts_[0].process_->Signal(SIGTERM);
  CHECK(system.hosts_[0].process_->Wait() == 0);
  CHECK(callers.WaitForSuccesses(50));
  callers.Stop();
  CHECK(callers.Failed() == 0);
  CHECK(callers.CallsWithoutResponse().empty());
}

// Guards the failover of callers: a killed host loses at most its own requests
// in flight, and later lookups work.
TEST_CASE("a killed host costs no more than its requests in flight")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + kPortsPerCase, 2);
  REQUIRE(system.Start());
  LoadCallers callers(CallerAddresses(system), kThreads);
  REQUIRE(callers.WaitForSuccesses(50));
  const std::string killed = system.hosts_[0].callers_;
  system.hosts_[0].process_->Signal(SIGKILL);
  CHECK(system.hosts_[0].process_->Wait() == -SIGKILL);
  CHECK(callers.WaitForSuccesses(200));
  callers.Stop();
  CHECK(callers.Failed() == 0);
  for (const auto& [address, count] : callers.CallsWithoutResponse()) {
    CHECK(address == killed);
  }
}

// Guards invariant 7: an order sent through several hosts, concurrently and
// after the loss of a host, never runs twice.
TEST_CASE("a non-idempotent request runs at most once through any hosts")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 3 * kPortsPerCase, 2);
  REQUIRE(system.Start());
  for (const TestHost& host : system.hosts_) {
    CHECK(WaitUntil([&] { return SendOrder(host, "ready") == 200; }));
  }
  for (const TestHost& host : system.hosts_) {
    CHECK(SendOrder(host, "again") == 200);
  }
  SendOrdersConcurrently(system, { "at-once" }, 0);
  // These orders are in flight while a host is killed.
  std::vector<std::string> keys;
  keys.reserve(kOrderCount);
  for (int i = 0; i < kOrderCount; ++i) {
    keys.push_back("lost-" + std::to_string(i));
  }
  std::thread orders(
    [&] { SendOrdersConcurrently(system, keys, kOrderDelayMs); });
  CHECK(WaitUntil([&] { return TotalRuns(system) > 3; }));
  system.hosts_[0].process_->Signal(SIGKILL);
  orders.join();
  SendOrdersConcurrently(system, keys, 0);
  const std::map<std::string, int> runs = RunsByKey(system);
  for (const auto& [key, count] : runs) {
    INFO(key);
    CHECK(count == 1);
  }
  CHECK(runs.count("again") == 1);
  CHECK(runs.count("at-once") == 1);
}

// Guards against a slot holder that refuses an order because all backend
// servers of the pool are in another region. This happened in the
// demonstration.
TEST_CASE("an order runs once when its pool is in another region than its slot")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 4 * kPortsPerCase, 1);
  REQUIRE(system.Start());
  const std::string path = "/far-stamps/order";
  for (const TestHost& host : system.hosts_) {
    CHECK(WaitUntil([&] { return SendOrder(host, "ready", 0, path) == 200; }));
  }
  for (int i = 0; i < kOrderCount; ++i) {
    const std::string key = "far-" + std::to_string(i);
    for (const TestHost& host : system.hosts_) {
      CHECK(SendOrder(host, key, 0, path) == 200);
    }
  }
  const std::map<std::string, int> runs = RunsByKey(system);
  CHECK(runs.size() == kOrderCount + 1);
  for (const auto& [key, count] : runs) {
    INFO(key);
    CHECK(count == 1);
  }
}

// Guards against requests that fail because the store is unreachable.
TEST_CASE("reads continue during a store outage")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 2 * kPortsPerCase, 1);
  REQUIRE(system.Start());
  system.SetFaults({ { "outage", true } });
  LoadCallers callers(CallerAddresses(system), kThreads);
  CHECK(callers.WaitForSuccesses(100));
  callers.Stop();
  CHECK(callers.Failed() == 0);
}
