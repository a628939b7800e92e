#pragma once

// Start-time fair queueing between customers: a request's start tag is the work
// that its customer has been granted so far; the lowest one comes first.
// Performs no I/O.
//
//   CustomerWork work;
//   const double tag = work.StartTag(customer);
//   work.Grant(customer, tag, seconds);

#include <cstdint>
#include <unordered_map>

namespace peridotsail {

class CustomerWork
{
public:
  // Returns the start tag of the customer's next request. A customer that
  // waited for nothing meanwhile starts at the virtual time, so that it cannot
  // save up work.
  double StartTag(std::uint64_t aCustomer) const;
  // Charges a granted request to its customer. aStartTag advances the virtual
  // time.
  void Grant(std::uint64_t aCustomer, double aStartTag, double aSeconds);
  double VirtualTime() const { return virtualTime_; }

private:
  void RemoveIdle();

  // In seconds of service time.
  std::unordered_map<std::uint64_t, double> work_;
  // The start tag of the request that was granted last.
  double virtualTime_ = 0;
};

}
