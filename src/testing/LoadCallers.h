#pragma once

// Callers that run in background threads of a test. Each repeats the lookup
// when it expires, sends one request after another and counts the outcomes.
//
//   LoadCallers callers(anyHost, 4);
//   callers.WaitForSuccesses(100);
//   ...
//   callers.Stop();
//   CHECK(callers.Failed() == 0);

#include "http/HttpTypes.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotsail {

class LoadCallers
{
public:
  // Lookups use the first of aHosts that responds.
  LoadCallers(std::vector<std::string> aHosts, int aThreads);
  ~LoadCallers();
  LoadCallers(const LoadCallers&) = delete;
  LoadCallers& operator=(const LoadCallers&) = delete;

  // Waits until aCount more requests have returned status 200.
  bool WaitForSuccesses(int aCount) const;
  void Stop();
  int Succeeded() const { return succeeded_; }
  // Number of requests that did not return status 200.
  int Failed() const { return failed_; }
  // Number of calls without a response, by host address.
  std::map<std::string, int> CallsWithoutResponse() const;

private:
  void Run(int aThread);
  std::vector<std::string> LookUp(const std::string& aBlock) const;
  bool SendOne(const std::vector<std::string>& aAddresses);

  std::vector<std::string> hosts_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> succeeded_{ 0 };
  std::atomic<int> failed_{ 0 };
  mutable std::mutex mutex_;
  std::map<std::string, int> callsWithoutResponse_;
  std::vector<std::thread> threads_;
};

}
