#pragma once

// Entries that were known before the store was restored from an older copy and
// that the copy lacks. Whoever wrote them writes them again; until then they
// stay in force, up to a deadline. Performs no I/O.
//
//   MissingEntries missing;
//   missing.Keep("host-1", now + lease);
//   missing.Written("host-1");
//   for (const std::string& name : missing.TakeExpired(now)) { remove(name); }

#include "base/BootClock.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

class MissingEntries
{
public:
  // A second restore does not extend the deadline of an entry that is still
  // missing since the first one.
  void Keep(const std::string& aName, TimePoint aUntil);
  // The entry was written again or removed since the restore.
  void Written(const std::string& aName);
  // Removes and returns the entries whose deadline has passed.
  std::vector<std::string> TakeExpired(TimePoint aNow);

private:
  std::map<std::string, TimePoint> deadlines_;
};

}
