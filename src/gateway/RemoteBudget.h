#pragma once

// Bounds the requests that leave their region because their server is busy, as
// a part of all requests of this host: a region's work must not jump to another
// one from one moment to the next. Pure; traffic thread only.
//
//   budget.OnRequest();
//   if (budget.TryTake()) { send the request to another region }

#include <algorithm>

namespace peridotsail {

struct RemoteBudgetOptions
{
  // The part of the requests that may leave: half of the smallest bound on the
  // change between two moments that platforms have stated.
  double part_ = 0.07;
  // What may be saved up, in requests.
  double most_ = 5;
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
    tokens_ = std::min(options_.most_, tokens_ + options_.part_);
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
