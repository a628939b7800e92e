#include "gateway/ReadReport.h"

#include "base/EventLog.h"

namespace peridotsail {

namespace {

struct SourceName
{
  ReadSource source_;
  std::string_view name_;
};

constexpr std::array<SourceName, 4> kSourceNames{ {
  { ReadSource::StoreRange, "range" },
  { ReadSource::StoreWatch, "watch" },
  { ReadSource::Neighbour, "neighbour" },
  { ReadSource::NeighbourValue, "neighbour-value" },
} };

// Usable responses are logged from this size, or if the transfer after the
// first byte took this long.
constexpr std::size_t kLoggedBytes = 64 << 10;
constexpr Duration kLoggedTransferTime = std::chrono::milliseconds(200);

bool
IsNeighbour(ReadSource aSource)
{
  return aSource == ReadSource::Neighbour ||
         aSource == ReadSource::NeighbourValue;
}

Event
EventOf(const ReadReport& aReport)
{
  if (aReport.failure_.empty()) {
    return Event::ViewRead;
  }
  return IsNeighbour(aReport.source_) ? Event::ViewNeighbourFailed
                                      : Event::StoreCallFailed;
}

}

std::string_view
NameOf(ReadSource aSource)
{
  for (const SourceName& row : kSourceNames) {
    if (row.source_ == aSource) {
      return row.name_;
    }
  }
  return "";
}

ReadRecorder::ReadRecorder(Metrics& aMetrics)
{
  for (const SourceName& row : kSourceNames) {
    const std::string source = "source=\"" + std::string(row.name_) + "\"";
    const auto reads = [&](const char* aOutcome) {
      return &aMetrics.Counter("peridotsail_view_reads_total",
                               "Reads of the view, by source and outcome.",
                               source + ",outcome=\"" + aOutcome + "\"");
    };
    Counters& counters = counters_[static_cast<std::size_t>(row.source_)];
    counters.done_ = reads("done");
    counters.failed_ = reads("failed");
    counters.bytes_ =
      &aMetrics.Counter("peridotsail_view_read_bytes_total",
                        "Bytes received in reads of the view, by source.",
                        source);
  }
}

void
ReadRecorder::Record(const ReadReport& aReport)
{
  const Counters& counters =
    counters_[static_cast<std::size_t>(aReport.source_)];
  const HttpTransfer& transfer = aReport.transfer_;
  const bool done = aReport.failure_.empty();
  (done ? counters.done_ : counters.failed_)->Add(1);
  counters.bytes_->Add(transfer.receivedBytes_);
  const bool logged =
    !done || transfer.receivedBytes_ >= kLoggedBytes ||
    transfer.duration_ - transfer.firstByteAfter_ >= kLoggedTransferTime;
  if (!logged) {
    return;
  }
  LogEvent(EventOf(aReport),
           { { "call", NameOf(aReport.source_) },
             { IsNeighbour(aReport.source_) ? "neighbour" : "store",
               aReport.address_ },
             { "status", aReport.status_ },
             { "reason", aReport.failure_ },
             { "bytes", transfer.receivedBytes_ },
             { "first_byte_ms", ToMilliseconds(transfer.firstByteAfter_) },
             { "duration_ms", ToMilliseconds(transfer.duration_) } });
}

}
