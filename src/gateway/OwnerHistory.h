#pragma once

// Remembers which hosts owned the shares of allowances recently. Hosts with an
// older view may still consider themselves the owners of those shares. Performs
// no I/O. Traffic thread only.
//
//   OwnerHistory history(kMaxAllowanceViewAge);
//   history.Record(owners, now);                     // with each view
//   for (const FormerOwner& former : history.FormerOwners(share, owners)) ...

#include "base/BootClock.h"
#include "gateway/AllowanceOwners.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct FormerOwner
{
  std::string name_;
  // The host's datagram address, as text.
  std::string address_;
  bool registered_ = false;
};

class OwnerHistory
{
public:
  // Former owners are remembered for aMaxAge.
  explicit OwnerHistory(Duration aMaxAge);

  void Record(const AllowanceOwners& aOwners, TimePoint aNow);
  // Returns the other hosts that owned the share before the last change and
  // within the maximum age.
  std::vector<FormerOwner> FormerOwners(const ShareKey& aShare,
                                        const AllowanceOwners& aOwners) const;

private:
  using Candidates = AllowanceOwners::Candidates;
  struct Entry
  {
    // Other candidates apply from then on.
    TimePoint replacedAt_;
    // By share.
    std::vector<Candidates> candidates_;
  };

  Duration maxAge_;
  std::deque<Entry> former_;
  std::optional<std::vector<Candidates>> current_;
};

}
