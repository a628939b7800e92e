#pragma once

// Reports on the reads that keep the view up to date, from the store or from a
// neighbour. ReadRecorder counts them in the metrics and logs those that were
// large, slow or without a usable response.
//
//   ReadRecorder recorder(metrics);
//   recorder.Record({ ReadSource::StoreWatch, address, status, "", transfer });

#include "base/Metrics.h"
#include "http/HttpClient.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace peridotsail {

enum class ReadSource
{
  StoreRange,
  StoreWatch,
  Neighbour,
  // A large value, which is fetched on its own.
  NeighbourValue,
};

std::string_view
NameOf(ReadSource aSource);

struct ReadReport
{
  ReadSource source_ = ReadSource::StoreRange;
  std::string address_;
  // The HTTP status; 0 if there was no complete response.
  int status_ = 0;
  // Empty if the response was usable.
  std::string failure_;
  HttpTransfer transfer_;
};

using ReadHook = std::function<void(const ReadReport&)>;

class ReadRecorder
{
public:
  explicit ReadRecorder(Metrics& aMetrics);

  void Record(const ReadReport& aReport);

private:
  struct Counters
  {
    MetricCounter* done_ = nullptr;
    MetricCounter* failed_ = nullptr;
    MetricCounter* bytes_ = nullptr;
  };
  static constexpr std::size_t kSources = 4;

  // By ReadSource.
  std::array<Counters, kSources> counters_;
};

}
