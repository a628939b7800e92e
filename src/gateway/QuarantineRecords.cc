#include "gateway/QuarantineRecords.h"

#include <algorithm>
#include <chrono>

namespace peridotsail {

namespace {

// Clocks differ between hosts: a time in the future is treated as now.
Duration
AgeAt(std::int64_t aThenMs, std::int64_t aNowMs)
{
  return std::chrono::milliseconds(std::max<std::int64_t>(0, aNowMs - aThenMs));
}

void
KeepTimes(const SuspicionRecord& aPublished, SuspicionRecord& aRecord)
{
  for (auto& [server, time] : aRecord.deaths_) {
    const auto known = aPublished.deaths_.find(server);
    time = known == aPublished.deaths_.end() ? time : known->second;
  }
}

}

std::vector<FingerprintRecord>
MakeFingerprintRecords(const std::vector<FingerprintTime>& aRefused,
                       const std::vector<FingerprintRecord>& aPublished,
                       TimePoint aNow,
                       std::int64_t aUnixMs)
{
  std::vector<FingerprintRecord> records;
  for (const FingerprintTime& refused : aRefused) {
    const auto known =
      std::find_if(aPublished.begin(),
                   aPublished.end(),
                   [&refused](const FingerprintRecord& aRecord) {
                     return aRecord.fingerprint_ == refused.fingerprint_;
                   });
    records.push_back(
      known != aPublished.end()
        ? *known
        : FingerprintRecord{ refused.fingerprint_,
                             aUnixMs - ToMilliseconds(aNow - refused.time_) });
  }
  return records;
}

std::vector<FingerprintTime>
ReadFingerprintRecords(const std::vector<FingerprintRecord>& aRecords,
                       TimePoint aNow,
                       std::int64_t aUnixMs)
{
  std::vector<FingerprintTime> times;
  times.reserve(aRecords.size());
  for (const FingerprintRecord& record : aRecords) {
    times.push_back(
      { record.fingerprint_, aNow - AgeAt(record.unixMs_, aUnixMs) });
  }
  return times;
}

std::vector<SuspicionRecord>
MakeSuspicionRecords(const std::vector<QuarantineNotice>& aSuspected,
                     const std::vector<SuspicionRecord>& aPublished,
                     std::int64_t aUnixMs)
{
  std::vector<SuspicionRecord> records;
  records.reserve(aSuspected.size());
  for (const QuarantineNotice& notice : aSuspected) {
    SuspicionRecord record{ notice.fingerprint_, {} };
    for (const QuarantineDeath& death : notice.deaths_) {
      record.deaths_[death.server_] = aUnixMs - ToMilliseconds(death.age_);
    }
    for (const SuspicionRecord& published : aPublished) {
      if (published.fingerprint_ == notice.fingerprint_) {
        KeepTimes(published, record);
      }
    }
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<QuarantineNotice>
ReadSuspicionRecords(const std::vector<SuspicionRecord>& aRecords,
                     std::int64_t aUnixMs)
{
  std::vector<QuarantineNotice> notices;
  for (const SuspicionRecord& record : aRecords) {
    QuarantineNotice notice;
    notice.fingerprint_ = record.fingerprint_;
    for (const auto& [server, time] : record.deaths_) {
      notice.deaths_.push_back({ server, AgeAt(time, aUnixMs) });
    }
    notices.push_back(std::move(notice));
  }
  return notices;
}

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}
