#include "restore/MissingEntries.h"

namespace peridotsail {

void
MissingEntries::Keep(const std::string& aName, TimePoint aUntil)
{
  deadlines_.try_emplace(aName, aUntil);
}

void
MissingEntries::Written(const std::string& aName)
{
  deadlines_.erase(aName);
}

std::vector<std::string>
MissingEntries::TakeExpired(TimePoint aNow)
{
  std::vector<std::string> expired;
  for (auto it = deadlines_.begin(); it != deadlines_.end();) {
    if (it->second > aNow) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = deadlines_.erase(it);
  }
  return expired;
}

}
