#pragma once

// Selects the host to which reports are sent: the first in a rendezvous order
// that answers. Performs no I/O.
//
//   receiver.SetHosts(hosts, region);
//   const RegionHost* host = receiver.Next(now);   // for each report
//   receiver.OnSent();
//   receiver.OnAnswer(address);

#include "base/BootClock.h"

#include <string>
#include <vector>

namespace peridotsail {

struct RegionHost
{
  std::string name_;
  // The host's datagram address, as text.
  std::string address_;
  bool self_ = false;
};

struct ReportReceiverOptions
{
  // After this many reports without an answer, the next host in order is used,
  // until standInTime_ has passed.
  int maxUnanswered_ = 4;
  Duration standInTime_ = std::chrono::seconds(5);
};

class ReportReceiver
{
public:
  explicit ReportReceiver(ReportReceiverOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // The order is different for each key. Starts at the first host if the hosts
  // have changed.
  void SetHosts(std::vector<RegionHost> aHosts, std::uint64_t aKey);
  // Null if there is no host. Valid until SetHosts.
  const RegionHost* Next(TimePoint aNow);
  void OnSent() { ++unanswered_; }
  void OnAnswer(const std::string& aAddress);

private:
  ReportReceiverOptions options_;
  std::vector<RegionHost> order_;
  std::size_t used_ = 0;
  int unanswered_ = 0;
  TimePoint standInUntil_ = TimePoint::min();
};

}
