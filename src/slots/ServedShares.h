#pragma once

// Moving counts over the requests of one backend server: how often the requests
// of each class (a route or a customer) get a slot, and how much work of each
// rank arrives. Performs no I/O.
//
//   ServedShares routes;
//   routes.Record(route, granted, now);
//   if (routes.IsBelowFloor(route, now)) { this route comes first }

#include "base/BootClock.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace peridotsail {

// A count in which each event loses weight exponentially with its age.
class DecayedCount
{
public:
  void Add(double aAmount, TimePoint aNow, Duration aWindow);
  double Value(TimePoint aNow, Duration aWindow) const;

private:
  double value_ = 0;
  TimePoint at_ = TimePoint::min();
};

struct ServedSharesOptions
{
  // The time constant of the counts.
  Duration window_ = std::chrono::seconds(4);
  // A class whose requests are served less often than this fraction of the mean
  // comes first. Above a quarter, so that a class keeps at least that.
  double floor_ = 0.3;
  // The maximum number of classes that are counted.
  std::size_t maxClasses_ = 256;
};

class ServedShares
{
public:
  explicit ServedShares(ServedSharesOptions aOptions = {});

  // Counts a request that got a slot, or that was refused or left.
  void Record(std::uint64_t aClass, bool aGranted, TimePoint aNow);
  bool IsBelowFloor(std::uint64_t aClass, TimePoint aNow) const;

private:
  struct Counts
  {
    DecayedCount granted_;
    DecayedCount all_;
  };

  void RemoveIdle(TimePoint aNow);
  // One granted request is added to each class, so that a few refusals of a
  // class that asks seldom do not move it ahead.
  double ServedFraction(const Counts& aCounts, TimePoint aNow) const;

  ServedSharesOptions options_;
  std::unordered_map<std::uint64_t, Counts> classes_;
  Counts total_;
};

}
