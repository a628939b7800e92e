#include "pace/ColdStartLimit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace peridotsail;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

}

// Guards against a server that crashes while it is cold: a host that is cut off
// still uses its larger share, and one that joined just after that uses its own
// share in the same second.
TEST_CASE("A host that is cut off and one that joins keep a cold server's rate")
{
  constexpr double kPerSecond = 5.2;
  constexpr double kCutAt = 5;
  const ColdStartOptions options;
  ColdStartLimit cut(options);
  ColdStartLimit joined(options);
  cut.SetHosts(true, 1, At(0));
  joined.SetHosts(true, 2, At(kCutAt));
  std::vector<double> sent;
  bool usedByCut = false;
  bool usedByJoined = false;
  for (double now = 4; now < 12; now += 0.003) {
    const Duration age = FromSeconds(std::max(0.0, now - kCutAt));
    if (cut.TryTake("i", kPerSecond, age, At(now))) {
      usedByCut = usedByCut || now > kCutAt;
      sent.push_back(now);
    }
    if (now >= kCutAt &&
        joined.TryTake("i", kPerSecond, Duration::zero(), At(now))) {
      usedByJoined = true;
      sent.push_back(now);
    }
  }
  CHECK(usedByCut);
  CHECK(usedByJoined);
  const double bound = kPerSecond * options.overage_ + options.slack_;
  for (const double begin : sent) {
    const auto count =
      std::count_if(sent.begin(), sent.end(), [&](double aOther) {
        return aOther >= begin && aOther < begin + 1;
      });
    REQUIRE(static_cast<double>(count) <= bound);
  }
}

// Guards against a cold server that gets nothing because each host's equal
// share is less than one request.
TEST_CASE("A cold server gets its rate from a region of many hosts")
{
  const int hosts = GENERATE(5, 21, 100);
  constexpr double kPerSecond = 7;
  const ColdStartOptions options;
  const double bound = kPerSecond * options.overage_ + options.slack_;
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(hosts));
  for (int i = 0; i < hosts; ++i) {
    names.push_back("h" + std::to_string(i));
  }
  std::vector<ColdStartLimit> limits;
  for (const std::string& name : names) {
    limits.emplace_back(options);
    limits.back().SetHosts(true, names, name, At(-10));
  }
  std::vector<double> sent;
  for (double now = 0; now < 5; now += 0.05) {
    for (ColdStartLimit& limit : limits) {
      if (limit.TryTake("i", kPerSecond, Duration::zero(), At(now))) {
        sent.push_back(now);
      }
    }
  }
  INFO(hosts << " hosts sent " << sent.size() << " requests in 5 s");
  CHECK(static_cast<double>(sent.size()) > 5 * bound / 2);
  for (const double begin : sent) {
    const auto count =
      std::count_if(sent.begin(), sent.end(), [&](double aOther) {
        return aOther >= begin && aOther < begin + 1;
      });
    REQUIRE(static_cast<double>(count) <= bound);
  }
}
