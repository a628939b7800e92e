#include "testing/LoadCallers.h"

#include "base/BootClock.h"
#include "testing/ProcessGroup.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

// Same as the --lookup-ttl of the hosts in TestSystem.
constexpr Duration kLookupTtl = std::chrono::seconds(1);

}

LoadCallers::LoadCallers(std::vector<std::string> aHosts, int aThreads)
  : hosts_(std::move(aHosts))
{
  threads_.reserve(static_cast<std::size_t>(aThreads));
  for (int i = 0; i < aThreads; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

LoadCallers::~LoadCallers()
{
  Stop();
}

void
LoadCallers::Stop()
{
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

bool
LoadCallers::WaitForSuccesses(int aCount) const
{
  const int target = succeeded_ + aCount;
  return WaitUntil([&] { return succeeded_ >= target; });
}

std::map<std::string, int>
LoadCallers::CallsWithoutResponse() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return callsWithoutResponse_;
}

std::vector<std::string>
LoadCallers::LookUp(const std::string& aBlock) const
{
  std::vector<std::string> addresses;
  for (const std::string& host : hosts_) {
    const auto response = CallOnce(
      host,
      { "GET", "/.well-known/peridotsail/hosts?block=" + aBlock, {}, "" });
    if (!response) {
      continue;
    }
    const auto lookupResult =
      nlohmann::json::parse(response->body_, nullptr, false);
    for (const nlohmann::json& entry : lookupResult["hosts"]) {
      addresses.push_back(entry["address"]);
    }
    break;
  }
  return addresses;
}

bool
LoadCallers::SendOne(const std::vector<std::string>& aAddresses)
{
  const HttpRequest request{ "GET",
                             "/inbox/load",
                             { { "Authorization",
                                 std::string("Bearer ") + kTestKey } },
                             "" };
  for (const std::string& address : aAddresses) {
    const auto response = CallOnce(address, request);
    if (response) {
      return response->status_ == 200;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ++callsWithoutResponse_[address];
  }
  return false;
}

void
LoadCallers::Run(int aThread)
{
  const std::string block = "10.0." + std::to_string(aThread) + ".0/24";
  std::vector<std::string> addresses;
  TimePoint validUntil{};
  while (!stopping_) {
    if (BootClock::now() >= validUntil) {
      validUntil = BootClock::now() + kLookupTtl;
      addresses = LookUp(block);
    }
    if (SendOne(addresses)) {
      ++succeeded_;
    } else {
      ++failed_;
    }
  }
}

}
