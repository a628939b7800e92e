#include "once/SlotMap.h"

#include <catch2/catch.hpp>
#include <map>

using namespace peridotsail;
using std::chrono::seconds;

// The new holder of a moved key must not execute it a second time, and adding a
// slot must not move keys between the existing slots.
TEST_CASE("adding a slot moves only keys to that slot and marks them as moved")
{
  const TimePoint start{ seconds(100) };
  SlotMap map;
  map.SetSlots({ "north/0", "north/1", "south/0" }, start);
  std::map<std::string, int> counts;
  std::map<std::string, std::string> before;
  for (int i = 0; i < 3000; ++i) {
    const std::string key = std::to_string(i);
    before[key] = map.SlotOf(key);
    ++counts[before[key]];
    CHECK_FALSE(map.RouteOf(key, start).moved_);
  }
  for (const auto& [slot, count] : counts) {
    CHECK(count > 800);
  }
  const std::uint64_t signature = map.Signature();
  map.SetSlots({ "south/0", "north/1", "north/0", "south/1" }, start);
  CHECK(map.Signature() != signature);
  map.SetHolders({ { "south/1", { "h4", "127.0.0.1:9" } } });
  int moved = 0;
  for (const auto& [key, slot] : before) {
    const SlotRoute route = map.RouteOf(key, start + seconds(610));
    CHECK(route.moved_ == (route.slot_ != slot));
    CHECK((route.slot_ == slot || route.slot_ == "south/1"));
    CHECK(route.holder_.host_ == (route.slot_ == "south/1" ? "h4" : ""));
    CHECK_FALSE(map.RouteOf(key, start + seconds(615)).moved_);
    moved += route.moved_ ? 1 : 0;
  }
  CHECK(moved > 600);
  CHECK(moved < 900);
}
