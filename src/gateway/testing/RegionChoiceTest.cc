#include "gateway/InstanceChooser.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

constexpr int kServersPerRegion = 4;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

// Three regions with servers of three slots each.
FleetSnapshot
MakeFleet()
{
  FleetSnapshot snapshot;
  for (const char* domain : { "a", "c", "e" }) {
    for (int i = 0; i < kServersPerRegion; ++i) {
      InstanceRecord record;
      record.id_ = domain + std::to_string(i);
      record.service_ = "s";
      record.failureDomain_ = domain;
      record.slots_ = 3;
      snapshot.instances_[record.id_] = record;
    }
  }
  return snapshot;
}

InstanceTable
MakeTable(const FleetSnapshot& aSnapshot)
{
  InstanceTable table({ { "a", "here" }, { "c", "there" }, { "e", "far" } },
                      "here");
  table.Apply(aSnapshot);
  return table;
}

ChoiceQuery
MakeQuery(std::uint64_t aObject, const std::string& aChosen)
{
  ChoiceQuery query;
  query.hasObject_ = true;
  query.objectHash_ = aObject;
  query.region_ = "here";
  query.chosenRegion_ = aChosen;
  query.timeLeft_ = std::chrono::seconds(1);
  query.takeColdToken_ = [](const Instance&) { return true; };
  return query;
}

}

// Guards against an object that meets another server than the one at which the
// receiving region's own callers keep it warm.
TEST_CASE("A chosen region serves an object where its own callers find it")
{
  const InstanceTable table = MakeTable(MakeFleet());
  const auto& all = table.OfService("s");
  for (std::uint64_t object = 0; object < 50; ++object) {
    const Choice sent =
      ChooseInstance(all, MakeQuery(object, "there"), At(0), {});
    CHECK(sent.instance_->Region() == "there");
    ChoiceQuery own = MakeQuery(object, "there");
    own.region_ = "there";
    CHECK(ChooseInstance(all, own, At(0), {}).instance_ == sent.instance_);
  }
}

// Guards against refusals because the chosen region has lost its servers before
// the plan knows it.
TEST_CASE("Without usable servers in the chosen region the own one serves")
{
  FleetSnapshot snapshot = MakeFleet();
  snapshot.evacuated_.insert("c");
  const InstanceTable table = MakeTable(snapshot);
  const Choice own =
    ChooseInstance(table.OfService("s"), MakeQuery(5, "there"), At(0), {});
  CHECK(own.instance_->Region() == "here");
  snapshot.evacuated_.insert("a");
  const InstanceTable without = MakeTable(snapshot);
  const Choice other =
    ChooseInstance(without.OfService("s"), MakeQuery(5, "there"), At(0), {});
  CHECK(other.instance_->Region() == "far");
}

// Guards against two busy regions that send each other requests: only the
// plan's regions receive them.
TEST_CASE("A busy server's requests leave only for the regions of the plan")
{
  const InstanceTable table = MakeTable(MakeFleet());
  const auto& all = table.OfService("s");
  ChoiceQuery query = MakeQuery(5, "here");
  query.targetLatency_ = std::chrono::milliseconds(500);
  query.roundTrip_ = std::chrono::milliseconds(40);
  query.takeRemoteToken_ = [] { return true; };
  const InstancePtr home = ChooseInstance(all, query, At(0), {}).instance_;
  for (const InstancePtr& instance : all) {
    instance->queue_.Report({ 1, 0, At(0) });
  }
  home->queue_.Report({ 3, 4, At(0) });
  CHECK(ChooseInstance(all, query, At(0.1), {}).instance_ == home);
  query.overflowRegions_ = { "far" };
  const Choice moved = ChooseInstance(all, query, At(0.1), {});
  CHECK(moved.instance_->Region() == "far");
}
