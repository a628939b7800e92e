#pragma once

// Callers that run in threads of a test: each follows look-ups as a caller
// should, sends one request after the other and counts the outcomes.
//
//   LoadCallers callers(anyHost, 4);
//   callers.WaitForAnswers(100);
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
  // aHosts are asked for look-ups in turn when one does not answer.
  LoadCallers(std::vector<std::string> aHosts, int aThreads);
  ~LoadCallers();
  LoadCallers(const LoadCallers&) = delete;
  LoadCallers& operator=(const LoadCallers&) = delete;

  // Waits for this many more answers with status 200.
  bool WaitForAnswers(int aCount) const;
  void Stop();
  int Answered() const { return answered_; }
  // Requests that no host of the list answered with 200.
  int Failed() const { return failed_; }
  // Connections that ended without an answer, by host address.
  std::map<std::string, int> Cut() const;

private:
  void Run(int aThread);
  std::vector<std::string> LookUp(const std::string& aBlock) const;
  bool SendOne(const std::vector<std::string>& aAddresses);

  std::vector<std::string> hosts_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> answered_{ 0 };
  std::atomic<int> failed_{ 0 };
  mutable std::mutex mutex_;
  std::map<std::string, int> cut_;
  std::vector<std::thread> threads_;
};

}
