#include "gateway/RoutingTable.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

RoutingTableParts
MakeParts(int aFirst, int aSecond)
{
  GatewayRoute first;
  first.name_ = "first";
  first.prefix_ = "/first/";
  first.priority_ = aFirst;
  first.services_ = { { "shared", 1 } };
  GatewayRoute second = first;
  second.prefix_ = "/second/";
  second.priority_ = aSecond;
  second.services_ = { { "shared", 1 }, { "own", 1 } };
  RoutingTableParts parts;
  parts.routes_["host"] = { first, second };
  return parts;
}

}

// Guards against messages between hosts that a configuration does not need, and
// against priorities that are ignored.
TEST_CASE("Only services with requests of different priorities have ranks")
{
  const RoutingTable same(MakeParts(1, 1));
  CHECK_FALSE(same.HasRanks("shared"));
  const RoutingTable different(MakeParts(-5, 100));
  CHECK(different.HasRanks("shared"));
  CHECK_FALSE(different.HasRanks("own"));
  CHECK_FALSE(different.HasRanks("unknown"));
  RoutingTableParts parts = MakeParts(1, 1);
  GatewayCustomer customer;
  customer.name_ = "customer";
  customer.priority_ = 0;
  parts.customers_.push_back(customer);
  CHECK(RoutingTable(parts).HasRanks("own"));
}

// Guards against priorities of any size that do not fit the ranks.
TEST_CASE("Priorities are ranked by their order")
{
  const RoutingTable table(MakeParts(-5, 100));
  CHECK(table.RankOf(-5) == 0);
  CHECK(table.RankOf(100) == 1);
}

// Guards against questions between hosts about slots that no urgent work waits
// for.
TEST_CASE("Only services with urgent and slow work grant slots")
{
  struct Row
  {
    const char* name_;
    int slowPriority_;
    int slowTargetMs_;
    bool mixed_;
  };
  const Row rows[] = {
    { "slow work of a lower priority", 2, 3000, true },
    { "slow work of the same priority", 1, 3000, false },
    { "slow work of a higher priority", 0, 3000, false },
    { "work of a lower priority that is as urgent", 2, 600, false },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    RoutingTableParts parts = MakeParts(1, row.slowPriority_);
    std::vector<GatewayRoute>& routes = parts.routes_["host"];
    routes[0].targetLatency_ = std::chrono::milliseconds(400);
    routes[1].targetLatency_ = std::chrono::milliseconds(row.slowTargetMs_);
    const RoutingTable table(parts);
    CHECK(table.MixesUrgentAndSlowWork("shared") == row.mixed_);
    CHECK_FALSE(table.MixesUrgentAndSlowWork("own"));
  }
}
