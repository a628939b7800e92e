#include "testing/ProcessGroup.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

using namespace peridotsail;
using nlohmann::json;

namespace {

// Does not overlap with the ports of the other end-to-end tests.
constexpr std::uint16_t kConfigPort = 18820;

class ConfigCommands
{
public:
  explicit ConfigCommands(const TestSystem& aSystem)
    : system_(aSystem)
  {
  }

  // Runs `peridotsail config` against the host and returns the exit code.
  int Run(std::size_t aHost, std::vector<std::string> aWords) const
  {
    std::vector<std::string> command{
      std::string(PERIDOTSAIL_BIN_DIR) + "/peridotsail", "config"
    };
    command.insert(command.end(), aWords.begin(), aWords.end());
    command.push_back("--operators=" + system_.hosts_[aHost].operators_);
    command.push_back(std::string("--operator-token=") + kOperatorToken);
    return Process(command).Wait();
  }

  json Get(std::size_t aHost, const std::string& aTarget) const
  {
    const auto response = CallOnce(
      system_.hosts_[aHost].operators_,
      { "GET",
        aTarget,
        { { "Authorization", std::string("Bearer ") + kOperatorToken } },
        "" });
    return response ? json::parse(response->body_) : json::object();
  }

private:
  const TestSystem& system_;
};

// A file that the destructor removes.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : path_(std::string(PERIDOTSAIL_BIN_DIR) + "/config_command_test.json")
  {
    std::ofstream(path_) << aText;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }

  const std::string path_;
};

std::string
RequestErrorKind(const TestHost& aHost, const std::string& aKey)
{
  const auto response = CallOnce(
    aHost.callers_,
    { "GET", "/inbox/1", { { "Authorization", "Bearer " + aKey } }, "" });
  return response && response->status_ != 200
           ? json::parse(response->body_).value("kind", "")
           : "";
}

}

// Tests the operators' commands with real processes: version checks, exit
// codes, propagation to all hosts, and withdrawal of a key during a store
// outage.
TEST_CASE("operators change the configuration and withdraw keys")
{
  TestSystem system(PERIDOTSAIL_BIN_DIR, kConfigPort, 1);
  json second = system.document_["keys"][0];
  second["id"] = "k2";
  system.document_["keys"].push_back(second);
  REQUIRE(system.Start());
  const ConfigCommands commands(system);
  CHECK(commands.Run(0, { "show" }) == 0);
  CHECK(commands.Run(0, { "history" }) == 0);

  json document = system.document_;
  document["customers"][0]["burst"] = 77;
  {
    const TemporaryFile file(document.dump());
    CHECK(commands.Run(0, { "apply", file.path_, "--expect=1" }) == 0);
    CHECK(commands.Run(1, { "apply", file.path_, "--expect=1" }) == 0);
    CHECK(commands.Run(1, { "diff", file.path_ }) == 0);
  }
  REQUIRE(system.WaitForVersion(2));
  {
    document["customers"][0]["burst"] = 78;
    const TemporaryFile file(document.dump());
    CHECK(commands.Run(1, { "apply", file.path_, "--expect=1" }) == 3);
    CHECK(commands.Run(1, { "apply", file.path_, "--expect=x" }) == 2);
  }
  {
    const TemporaryFile file("{\"format\":1}");
    CHECK(commands.Run(0, { "apply", file.path_, "--expect=2" }) == 4);
  }
  CHECK(commands.Run(0, { "keys", "issue", "school" }) == 0);
  CHECK(commands.Run(0, { "keys", "issue", "nobody" }) == 1);
  CHECK(WaitUntil([&] {
    return commands.Get(0, "/config/status")["hosts"][0]["confirmed"] == true;
  }));

  CHECK(commands.Run(0, { "keys", "withdraw", "mistyped" }) == 1);
  CHECK(commands.Run(0, { "keys", "withdraw", "k1" }) == 0);
  CHECK(WaitUntil([&] {
    return RequestErrorKind(system.hosts_[1], "k1.secret") == "key-withdrawn";
  }));
  CHECK(RequestErrorKind(system.hosts_[1], "k2.secret").empty());

  system.SetFaults({ { "outage", true } });
  CHECK(WaitUntil([&] {
    return commands.Run(0, { "keys", "withdraw", "k2" }) == 5;
  }));
  CHECK(WaitUntil([&] {
    return RequestErrorKind(system.hosts_[1], "k2.secret") == "key-withdrawn";
  }));
  CHECK(WaitUntil([&] {
    return commands.Get(0, "/config/withdrawal?id=k2")["disseminated"] == true;
  }));
  CHECK(commands.Get(0, "/config/withdrawal?id=k2")["committed"] == false);
  system.SetFaults({ { "outage", false } });
  CHECK(WaitUntil([&] {
    return commands.Get(1, "/config/withdrawal?id=k2")["committed"] == true;
  }));
}
