// Prints the store writes per hundred non-idempotent requests for group commit
// and its alternatives. All figures come from a seeded simulation with a
// virtual clock and are reproducible.

#include "once/testing/ClaimLoad.h"
#include "once/testing/ClaimSimulation.h"

#include <cstdio>

using namespace peridotsail;
using namespace peridotsail::testing;

namespace {

struct Row
{
  const char* name_;
  ArrivalPattern arrival_;
  double rate_;
};

void
PrintLoad(const Row& aRow, Duration aOutcomeDelay)
{
  ClaimLoadOptions options;
  options.arrival_ = aRow.arrival_;
  options.requestsPerSecond_ = aRow.rate_;
  options.outcomeDelay_ = aOutcomeDelay;
  const ClaimLoadResult result = MeasureClaimLoad(options);
  std::printf("%-22s %5.0f/s delay %4.0f ms: %6.1f writes per 100, worst "
              "second %3d, wait mean %5.1f max %5.1f ms, records <= %zu, "
              "record <= %zu bytes, %.1f MB\n",
              aRow.name_,
              aRow.rate_,
              1000 * ToSeconds(aOutcomeDelay),
              result.WritesPerHundred(),
              result.maxWritesPerSecond_,
              result.meanWaitMs_,
              result.maxWaitMs_,
              result.maxRecords_,
              result.maxRecordBytes_,
              result.megabytesWritten_);
}

void
PrintRuns(const char* aName, bool aMemoryOnly, int aSeeds)
{
  int run = 0;
  int twice = 0;
  int unknown = 0;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    ClaimSimulationOptions options;
    options.seed_ = static_cast<std::uint64_t>(seed);
    options.memoryOnly_ = aMemoryOnly;
    const ClaimSimulationResult result = ClaimSimulation(options).Run();
    run += result.keysRun_;
    twice += result.keysRunTwice_;
    unknown += result.unknown_;
  }
  std::printf("%-22s %d interleavings with faults: %d keys run, %d run more "
              "than once, %d answers outcome-unknown\n",
              aName,
              aSeeds,
              run,
              twice,
              unknown);
}

}

int
main()
{
  const Row rows[] = {
    { "even", ArrivalPattern::Even, 40 },
    { "random", ArrivalPattern::Random, 40 },
    { "burst each second", ArrivalPattern::BurstEachSecond, 40 },
    { "burst each 10 s", ArrivalPattern::BurstEachTenSeconds, 40 },
    { "random", ArrivalPattern::Random, 400 },
  };
  for (const Row& row : rows) {
    for (const int delay : { 0, 250, 1000 }) {
      PrintLoad(row, std::chrono::milliseconds(delay));
    }
  }
  std::printf("one write per claim and outcome: 200.0 writes per 100, by "
              "definition\n");
  PrintRuns("group commit", false, 1000);
  PrintRuns("memory only", true, 1000);
  return 0;
}
