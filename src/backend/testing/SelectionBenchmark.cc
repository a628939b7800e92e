// Compares the policies for selecting a backend server. Runs in simulated time,
// so the results are the same in every run.

#include "backend/testing/SelectionSimulation.h"

#include <cstdio>

using namespace peridotsail;

int
main()
{
  constexpr std::uint64_t kSeed = 1;
  for (const SelectionCase& input : SelectionCases()) {
    std::printf("%s (load %.2f)\n", input.name_.c_str(), input.load_);
    std::printf("  %-28s %9s %9s %9s %9s\n",
                "policy",
                "shed",
                "refused",
                "p50 ms",
                "p99 ms");
    for (int i = 0; i <= static_cast<int>(SelectionPolicy::OwnShareFirst);
         ++i) {
      const auto policy = static_cast<SelectionPolicy>(i);
      const SelectionResult result = Simulate(input, policy, kSeed);
      const auto requests = static_cast<double>(result.requests_);
      std::printf("  %-28s %8.2f%% %8.2f%% %9.1f %9.1f\n",
                  NameOf(policy),
                  100 * static_cast<double>(result.shed_) / requests,
                  100 * static_cast<double>(result.refused_) / requests,
                  result.waitP50Ms_,
                  result.waitP99Ms_);
    }
  }
  return 0;
}
