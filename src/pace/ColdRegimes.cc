#include "pace/ColdRegimes.h"

namespace peridotsail {

ColdRegimes::ColdRegimes(Duration aDelay)
  : delay_(aDelay)
{
}

void
ColdRegimes::Set(const std::string& aService,
                 ColdRegime aRegime,
                 TimePoint aNow)
{
  const auto [it, added] =
    entries_.try_emplace(aService, Entry{ aRegime, aNow });
  if (!added && it->second.regime_ != aRegime) {
    it->second = { aRegime, aNow + delay_ };
  }
}

bool
ColdRegimes::MayUse(const std::string& aService,
                    ColdRegime aRegime,
                    TimePoint aNow) const
{
  const auto found = entries_.find(aService);
  return found != entries_.end() && found->second.regime_ == aRegime &&
         aNow >= found->second.usableFrom_;
}

}
