#pragma once

// Starts and ends processes of tests: entry hosts, fake platform and fake
// backend servers, each on ports of its own on the loopback address.
//
//   TestSystem system(2);              // hosts per region
//   system.Start();
//   HttpResponse response = system.Call("north", request);

#include "http/HttpTypes.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peridotsail {

// A child process; it is killed at the end of its life.
class Process
{
public:
  explicit Process(const std::vector<std::string>& aCommand);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  // Waits for the end; the exit code, or the negative signal number.
  int Wait();
  bool Running();

private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Calls aCondition until it holds. Returns false after a generous time.
bool
WaitUntil(const std::function<bool()>& aCondition);

// One small HTTP call; nothing when there is no answer.
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

// A platform, regions "north" and "south" with hosts and two backend servers
// each, and a document with a customer "school" and the key "k1.secret".
class TestSystem
{
public:
  // aBinDir holds the programs; ports are taken from aFirstPort on.
  TestSystem(std::string aBinDir,
             std::uint16_t aFirstPort,
             int aHostsPerRegion);

  // Starts all processes and waits until each host has the configuration,
  // tokens of the customer and its links to peers.
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
