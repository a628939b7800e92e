#include "testing/ProcessGroup.h"

#include "base/BootClock.h"
#include "base/Hash.h"
#include "http/HttpClient.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <poll.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace peridotsail {

using nlohmann::json;

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(40);
constexpr int kPollMilliseconds = 10;

void
PollPause()
{
  poll(nullptr, 0, kPollMilliseconds);
}

}

Process::Process(const std::vector<std::string>& aCommand)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

Process::~Process()
{
  if (Running()) {
    kill(pid_, SIGKILL);
    Wait();
  }
}

void
Process::Signal(int aSignal) const
{
  kill(pid_, aSignal);
}

int
Process::Wait()
{
  if (!status_) {
    int status = 0;
    while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return *status_;
}

bool
Process::Running()
{
  if (status_) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const TimePoint end = BootClock::now() + kTestTimeout;
  while (!aCondition()) {
    if (BootClock::now() > end) {
      return false;
    }
    PollPause();
  }
  return true;
}

std::optional<HttpResponse>
CallOnce(const std::string& aAddress, const HttpRequest& aRequest)
{
  boost::asio::io_context context;
  HttpClient client(context, {});
  std::optional<HttpResponse> response;
  client.Call(*ParseAddress(aAddress),
              aRequest,
              kTestTimeout,
              [&](std::optional<HttpResponse> aResponse, const Error&) {
                response = std::move(aResponse);
              });
  context.run();
  return response;
}

TestSystem::TestSystem(std::string aBinDir,
                       std::uint16_t aFirstPort,
                       int aHostsPerRegion)
  : binDir_(std::move(aBinDir))
  , nextPort_(aFirstPort)
{
  platformAddress_ = NextAddress();
  for (const std::string region : { "north", "south" }) {
    for (int i = 1; i <= aHostsPerRegion; ++i) {
      hosts_.push_back({ region + std::to_string(i),
                         region,
                         NextAddress(),
                         NextAddress(),
                         NextAddress(),
                         nullptr });
    }
    for (int i = 1; i <= 2; ++i) {
      backends_.push_back({ region + "-server-" + std::to_string(i),
                            region,
                            NextAddress(),
                            nullptr });
    }
  }
  document_ = json::parse(R"({
    "format": 1,
    "regions": [
      {"name": "north", "failure_domains": ["north-a"], "slots": 1},
      {"name": "south", "failure_domains": ["south-a"], "slots": 1}],
    "pools": [{"name": "inbox"}, {"name": "south-only"}],
    "routes": [
      {"name": "inbox", "prefix": "/inbox", "pool": "inbox"},
      {"name": "far", "prefix": "/far", "pool": "south-only"},
      {"name": "far-stamps", "prefix": "/far-stamps", "pool": "south-only", "idempotent": false, "methods": ["POST"]},
      {"name": "open", "prefix": "/open", "pool": "inbox", "open": true},
      {"name": "stamps", "prefix": "/stamps", "pool": "inbox", "idempotent": false, "methods": ["POST"]}],
    "customers": [{"name": "school", "rate_per_second": 100000, "burst": 200000}]
  })");
  for (json& region : document_["regions"]) {
    region["slots"] = aHostsPerRegion;
  }
  document_["keys"] = json::array({ { { "id", "k1" },
                                      { "customer", "school" },
                                      { "sha256", Sha256Hex("secret") } } });
  for (const TestBackend& backend : backends_) {
    const bool second = backend.name_ == "south-server-2";
    document_["backend_servers"].push_back(
      { { "name", backend.name_ },
        { "pool", second ? "south-only" : "inbox" },
        { "region", backend.region_ },
        { "failure_domain", backend.region_ + "-a" },
        { "address", backend.address_ },
        { "slots", 3 } });
  }
}

std::string
TestSystem::NextAddress()
{
  return "127.0.0.1:" + std::to_string(nextPort_++);
}

void
TestSystem::StartHost(TestHost& aHost)
{
  aHost.process_ = std::make_unique<Process>(
    std::vector<std::string>{ binDir_ + "/peridotsail",
                              "serve",
                              "--name=" + aHost.name_,
                              "--region=" + aHost.region_,
                              "--failure-domain=" + aHost.region_ + "-a",
                              "--callers=" + aHost.callers_,
                              "--peers=" + aHost.peers_,
                              "--operators=" + aHost.operators_,
                              "--store=" + platformAddress_,
                              "--host-list=" + platformAddress_,
                              std::string("--operator-token=") + kOperatorToken,
                              "--peer-token=peer-token",
                              "--lookup-ttl=1",
                              "--log-level=warning" });
}

void
TestSystem::StartBackend(TestBackend& aBackend)
{
  aBackend.process_ = std::make_unique<Process>(
    std::vector<std::string>{ binDir_ + "/fake_backend",
                              "--listen=" + aBackend.address_,
                              "--name=" + aBackend.name_ });
}

bool
TestSystem::Start()
{
  platform_ = std::make_unique<Process>(std::vector<std::string>{
    binDir_ + "/fake_platform", "--listen=" + platformAddress_ });
  for (TestBackend& backend : backends_) {
    StartBackend(backend);
  }
  const bool platformReady = WaitUntil([&] {
    return CallOnce(platformAddress_, { "GET", "/admin/status", {}, "" })
      .has_value();
  });
  if (!platformReady) {
    return false;
  }
  SetHostList();
  SetConfiguration(document_);
  for (TestHost& host : hosts_) {
    StartHost(host);
  }
  return WaitUntil([&] { return HostsReady(); });
}

// A token bucket is empty when its slot is claimed, so that a request
// immediately after the start would be refused.
bool
TestSystem::HasTokens(const TestHost& aHost) const
{
  const std::string name = "peridotsail_budget_tokens{customer=\"school\"} ";
  const auto response =
    CallOnce(aHost.operators_, { "GET", "/metrics", {}, "" });
  const std::size_t position =
    response ? response->body_.find(name) : std::string::npos;
  return position != std::string::npos &&
         std::stod(response->body_.substr(position + name.size())) >= 1;
}

bool
TestSystem::HostsReady()
{
  for (TestHost& host : hosts_) {
    if (!host.process_->Running()) {
      throw std::runtime_error(host.name_ + " exited during startup");
    }
    const json status = StatusOf(host);
    const bool ready =
      status.value("config_version", 0) >= version_ &&
      status.value("keys_fresh", false) && HasTokens(host) &&
      status.value("peers", json::array()).size() + 1 == hosts_.size();
    if (!ready) {
      return false;
    }
  }
  for (const TestBackend& backend : backends_) {
    if (!CallOnce(backend.address_, { "GET", "/seen", {}, "" })) {
      return false;
    }
  }
  return true;
}

json
TestSystem::StatusOf(const TestHost& aHost) const
{
  const auto response =
    CallOnce(aHost.operators_,
             { "GET",
               "/status",
               { { "Authorization", std::string("Bearer ") + kOperatorToken } },
               "" });
  return response ? json::parse(response->body_) : json::object();
}

json
TestSystem::SeenBy(const TestBackend& aBackend) const
{
  const auto response = CallOnce(aBackend.address_, { "GET", "/seen", {}, "" });
  return response ? json::parse(response->body_) : json::object();
}

void
TestSystem::SetConfiguration(const json& aDocument)
{
  ++version_;
  CallOnce(
    platformAddress_,
    { "POST",
      "/admin/config",
      {},
      json{ { "version", version_ }, { "document", aDocument } }.dump() });
}

void
TestSystem::SetHostList()
{
  json items = json::array();
  for (const TestHost& host : hosts_) {
    const auto port = [](const std::string& aName,
                         const std::string& aAddress) {
      return json{ { "name", aName },
                   { "port", ParseAddress(aAddress)->port_ } };
    };
    items.push_back(
      { { "metadata",
          { { "labels",
              { { "topology.kubernetes.io/region", host.region_ } } } } },
        { "ports",
          { port("callers", host.callers_),
            port("peers", host.peers_),
            port("operators", host.operators_) } },
        { "endpoints",
          json::array(
            { { { "hostname", host.name_ },
                { "addresses", { "127.0.0.1" } },
                { "zone", host.region_ + "-a" },
                { "conditions", { { "terminating", false } } } } }) } });
  }
  CallOnce(
    platformAddress_,
    { "POST",
      "/admin/hosts",
      {},
      json{ { "service", "peridotsail" }, { "list", { { "items", items } } } }
        .dump() });
}

void
TestSystem::SetFaults(const json& aFaults)
{
  CallOnce(platformAddress_, { "POST", "/admin/faults", {}, aFaults.dump() });
}

bool
TestSystem::WaitForVersion(int aVersion)
{
  return WaitUntil([&] {
    for (const TestHost& host : hosts_) {
      if (StatusOf(host).value("config_version", 0) < aVersion) {
        return false;
      }
    }
    return true;
  });
}

}
