// Three callers upload bodies at the same time that are as large as the
// configuration allows. The entry host keeps each of them twice, and is killed
// by the platform once it holds more memory than its limit. Requests of other
// callers, at which sound servers are at work, then end without an answer.

#include "Fleet.h"

namespace peridotsail::review {

namespace {

constexpr Milliseconds kWatchTime{ 6000 };
constexpr Milliseconds kWork{ 300 };
constexpr int kUploads = 3;
// maxBodyBytes of the configuration.
constexpr std::size_t kLargeBytes = 67108864;
constexpr std::size_t kUsualBytes = 60000;
// All uploads together stay below the 1,000 Mbit/s of a link.
constexpr std::size_t kBytesPerSecond = 36 << 20;

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  static Fleet fleet(aArguments, aRecord);
  fleet.AddUploadServer(kWork, nullptr);
  if (!fleet.Start()) {
    return Finish(aRecord, Result::CouldNotRun, "the host is not ready");
  }
  fleet.StartCallers();
  const std::string body(aArguments.trouble_ ? kLargeBytes : kUsualBytes, 's');
  std::vector<std::thread> uploads;
  uploads.reserve(kUploads);
  for (int i = 0; i < kUploads; ++i) {
    uploads.emplace_back([&body, i] {
      fleet.Upload("scan-" + std::to_string(i), body, kBytesPerSecond);
    });
  }
  fleet.WatchMemory(kWatchTime);
  for (std::thread& upload : uploads) {
    upload.join();
  }
  fleet.Stop();
  return fleet.Judge();
}

}

}

int
main(int aCount, char** aValues)
{
  peridotsail::review::RunCase(aCount, aValues, peridotsail::review::Run);
}
