#pragma once

// Runs the processes of a test: entry hosts, a fake platform and fake backend
// servers, each on its own ports of the loopback address.
//
//   TestSystem system(binDir, firstPort, 2);  // 2 hosts per region
//   REQUIRE(system.Start());
//   auto response = CallOnce(system.hosts_[0].callers_, request);

#include "http/HttpTypes.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peridotsail {

// A child process, killed by the destructor.
class Process
{
public:
  explicit Process(const std::vector<std::string>& aCommand);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return pid_; }
  void Signal(int aSignal) const;
  // Waits until the process has ended. Returns its exit code, or the negated
  // number of the signal that ended it.
  int Wait();
  bool Running();

private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Polls aCondition until it holds. Returns false after a timeout that is longer
// than any condition should take.
bool
WaitUntil(const std::function<bool()>& aCondition);

// Makes a single HTTP call. Returns nullopt if there is no response.
std::optional<HttpResponse>
CallOnce(const std::string& aAddress, const HttpRequest& aRequest);

struct TestHost
{
  std::string name_;
  std::string region_;
  std::string callers_;
  std::string peers_;
  std::string operators_;
  std::unique_ptr<Process> process_;
};

struct TestBackend
{
  std::string name_;
  std::string region_;
  std::string address_;
  std::unique_ptr<Process> process_;
};

// A fake platform, the regions "north" and "south" with hosts and two backend
// servers each, and a configuration with the customer "school" and its key
// "k1.secret".
class TestSystem
{
public:
  // aBinDir contains the programs. Ports are assigned upwards from aFirstPort.
  TestSystem(std::string aBinDir,
             std::uint16_t aFirstPort,
             int aHostsPerRegion);

  // Starts all processes and waits until each host has the configuration,
  // tokens for the customer and connections to all peers. Returns false on
  // timeout.
  bool Start();
  void StartHost(TestHost& aHost);
  void StartBackend(TestBackend& aBackend);
  // Replaces the configuration in the store with the next version.
  void SetConfiguration(const nlohmann::json& aDocument);
  void SetHostList();
  void SetFaults(const nlohmann::json& aFaults);
  bool WaitForVersion(int aVersion);
  nlohmann::json StatusOf(const TestHost& aHost) const;
  nlohmann::json SeenBy(const TestBackend& aBackend) const;

  nlohmann::json document_;
  std::vector<TestHost> hosts_;
  std::vector<TestBackend> backends_;
  int version_ = 0;

private:
  std::string NextAddress();
  bool HostsReady();
  bool HasTokens(const TestHost& aHost) const;

  std::string binDir_;
  std::uint16_t nextPort_;
  std::string platformAddress_;
  std::unique_ptr<Process> platform_;
};

constexpr char kTestKey[] = "k1.secret";
constexpr char kOperatorToken[] = "operator-token";

}
