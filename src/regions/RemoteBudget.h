#pragma once

// Limits the requests that leave their region because their server is busy, to
// a fraction of all requests of this host. This prevents a region's work from
// shifting abruptly to another region. Performs no I/O; traffic thread only.
//
//   budget.OnRequest();
//   if (budget.TryTake()) { send the request to another region }

#include <algorithm>

namespace peridotsail {

struct RemoteBudgetOptions
{
  // Fraction of the requests that may leave: half of the smallest bound that
  // any platform has stated on the change between two points in time.
  double ratio_ = 0.07;
  // Maximum number of saved tokens, one per request.
  double maxTokens_ = 5;
};

class RemoteBudget
{
public:
  explicit RemoteBudget(RemoteBudgetOptions aOptions = {})
    : options_(aOptions)
  {
  }

  void OnRequest()
  {
    tokens_ = std::min(options_.maxTokens_, tokens_ + options_.ratio_);
  }

  bool TryTake()
  {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  RemoteBudgetOptions options_;
  double tokens_ = 0;
};

}
