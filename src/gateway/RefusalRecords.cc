#include "gateway/RefusalRecords.h"

#include <algorithm>
#include <chrono>

namespace peridotsail {

std::vector<RefusalRecord>
MakeRefusalRecords(const std::vector<RefusedRequest>& aRefused,
                   const std::vector<RefusalRecord>& aPublished,
                   TimePoint aNow,
                   std::int64_t aUnixMs)
{
  std::vector<RefusalRecord> records;
  for (const RefusedRequest& refused : aRefused) {
    const auto known =
      std::find_if(aPublished.begin(),
                   aPublished.end(),
                   [&refused](const RefusalRecord& aRecord) {
                     return aRecord.fingerprint_ == refused.fingerprint_;
                   });
    records.push_back(
      known != aPublished.end()
        ? *known
        : RefusalRecord{ refused.fingerprint_,
                         aUnixMs - ToMilliseconds(aNow - refused.since_) });
  }
  return records;
}

std::vector<RefusedRequest>
ReadRefusalRecords(const std::vector<RefusalRecord>& aRecords,
                   TimePoint aNow,
                   std::int64_t aUnixMs)
{
  std::vector<RefusedRequest> refused;
  for (const RefusalRecord& record : aRecords) {
    const std::int64_t age =
      std::max<std::int64_t>(0, aUnixMs - record.sinceMs_);
    refused.push_back(
      { record.fingerprint_, aNow - std::chrono::milliseconds(age) });
  }
  return refused;
}

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}
