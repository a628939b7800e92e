#include "testing/LoadCallers.h"
#include "testing/ProcessGroup.h"

#include <catch2/catch.hpp>
#include <csignal>

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

}

// Guards invariant 9 under load: with SIGTERM no caller sees a failure.
TEST_CASE("a planned stop under load loses no request")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort, 2);
  REQUIRE(system.Start());
  LoadCallers callers(CallerAddresses(system), kThreads);
  REQUIRE(callers.WaitForAnswers(50));
  system.hosts_[0].process_->Signal(SIGTERM);
  CHECK(system.hosts_[0].process_->Wait() == 0);
  CHECK(callers.WaitForAnswers(50));
  callers.Stop();
  CHECK(callers.Failed() == 0);
  CHECK(callers.Cut().empty());
}

// Guards the fail-over of callers: the loss of a host costs at most the
// requests in flight on it, and the next look-ups work.
TEST_CASE("a killed host costs no more than its requests in flight")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + kPortsPerCase, 2);
  REQUIRE(system.Start());
  LoadCallers callers(CallerAddresses(system), kThreads);
  REQUIRE(callers.WaitForAnswers(50));
  const std::string killed = system.hosts_[0].callers_;
  system.hosts_[0].process_->Signal(SIGKILL);
  CHECK(system.hosts_[0].process_->Wait() == -SIGKILL);
  CHECK(callers.WaitForAnswers(200));
  callers.Stop();
  CHECK(callers.Failed() == 0);
  for (const auto& [address, count] : callers.Cut()) {
    CHECK(address == killed);
  }
}

// Guards the service during an outage of the store.
TEST_CASE("reads go on while the store is out")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort + 2 * kPortsPerCase, 1);
  REQUIRE(system.Start());
  system.SetFaults({ { "outage", true } });
  LoadCallers callers(CallerAddresses(system), kThreads);
  CHECK(callers.WaitForAnswers(100));
  callers.Stop();
  CHECK(callers.Failed() == 0);
}
