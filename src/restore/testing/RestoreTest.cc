#include "restore/MissingEntries.h"
#include "restore/StorePosition.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

}

// Guards against dropping a newer entry as old because a restored store gives
// out lower revisions.
TEST_CASE("A position of a later era is newer, whatever its revision")
{
  const StorePosition before(105, 1);
  const StorePosition restored(90, 2);
  CHECK(before < restored);
  CHECK(restored > before);
  CHECK(restored >= before);
  CHECK(before != restored);
  CHECK(StorePosition(90, 2) == restored);
  CHECK(StorePosition(91, 2) > restored);
  CHECK(StorePosition(89, 2) <= restored);
  CHECK(StorePosition(105) < StorePosition(1, 1));
}

// Guards against removing an entry that was written again, and against keeping
// one that was not for longer than its deadline.
TEST_CASE("A missing entry is kept until its first deadline")
{
  MissingEntries missing;
  missing.Keep("a", At(4));
  missing.Keep("b", At(4));
  missing.Keep("a", At(6));
  CHECK(missing.TakeExpired(At(3.9)).empty());
  missing.Written("b");
  CHECK(missing.TakeExpired(At(4)) == std::vector<std::string>{ "a" });
  CHECK(missing.TakeExpired(At(9)).empty());
  missing.Keep("a", At(10));
  CHECK(missing.TakeExpired(At(9.9)).empty());
}
