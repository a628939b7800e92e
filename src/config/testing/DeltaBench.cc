// Prints the size of one change as a delta and as the whole document. The sizes
// are deterministic; ConfigurationDeltaTest checks an upper bound.

#include "config/ConfigurationDelta.h"
#include "config/testing/TestDocument.h"

#include <cstdio>
#include <functional>

using namespace peridotsail;
using nlohmann::json;

namespace {

struct Change
{
  const char* name_;
  std::function<void(json&)> apply_;
};

const Change kChanges[] = {
  { "withdraw a key",
    [](json& aDocument) { aDocument["keys"][5]["withdrawn"] = true; } },
  { "issue a key",
    [](json& aDocument) {
      aDocument["keys"].push_back({ { "id", "k0123456789abcdef" },
                                    { "customer", "customer-1" },
                                    { "sha256", Sha256Hex("new") },
                                    { "withdrawn", false } });
    } },
  { "change a rate",
    [](json& aDocument) {
      aDocument["customers"][5]["rate_per_second"] = 60;
    } },
  { "add a customer",
    [](json& aDocument) {
      aDocument["customers"].push_back({ { "name", "customer-new" },
                                         { "rate_per_second", 50 },
                                         { "burst", 100 } });
    } },
};

}

int
main()
{
  std::printf("%9s  %-15s %8s %9s %9s %7s\n",
              "customers",
              "change",
              "delta",
              "cbor",
              "json",
              "ratio");
  for (const int customers : { 10, 100, 1000 }) {
    const json before = testing::MakeDocument(customers);
    std::vector<ConfigurationFault> faults;
    const SnapshotPtr base = MakeSnapshot(1, before.dump(), faults);
    for (const Change& change : kChanges) {
      json after = before;
      change.apply_(after);
      const SnapshotPtr target = MakeSnapshot(2, after.dump(), faults);
      if (!base || !target) {
        return 1;
      }
      const std::size_t delta = EncodeDelta(base.get(), *target).size();
      const std::size_t whole = EncodeDelta(nullptr, *target).size();
      std::printf("%9d  %-15s %8zu %9zu %9zu %7.1f\n",
                  customers,
                  change.name_,
                  delta,
                  whole,
                  target->document_.size(),
                  static_cast<double>(whole) / static_cast<double>(delta));
    }
  }
  return 0;
}
