#include "gateway/ReadReport.h"
#include "gateway/ViewAgeMonitor.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}

// Guards against reads that an operator cannot tell apart: which source sent
// how many bytes, and whether the response was usable.
TEST_CASE("Reads of the view are counted by source and outcome")
{
  Metrics metrics;
  ReadRecorder recorder(metrics);
  HttpTransfer transfer;
  transfer.receivedBytes_ = 1000;
  recorder.Record({ ReadSource::Neighbour, "h:1", 200, "", transfer });
  recorder.Record({ ReadSource::Neighbour, "h:1", 0, "timeout", transfer });
  recorder.Record({ ReadSource::StoreWatch, "s:1", 200, "", transfer });
  const std::string page = metrics.Render();
  CHECK(Contains(page, R"({source="neighbour",outcome="done"} 1)"));
  CHECK(Contains(page, R"({source="neighbour",outcome="failed"} 1)"));
  CHECK(Contains(page, R"({source="watch",outcome="done"} 1)"));
  CHECK(Contains(page, R"({source="range",outcome="done"} 0)"));
  CHECK(Contains(page, R"(bytes_total{source="neighbour"} 2000)"));
}

// Guards against a log line for each request while the view is old.
TEST_CASE("A view that is older than the bound is reported once")
{
  const Duration bound = std::chrono::milliseconds(2500);
  ViewAgeMonitor monitor(bound);
  CHECK_FALSE(monitor.Update(bound));
  CHECK(monitor.Update(2 * bound) == ViewAgeChange::Late);
  CHECK_FALSE(monitor.Update(3 * bound));
  CHECK(monitor.Update(bound) == ViewAgeChange::Current);
  CHECK_FALSE(monitor.Update(Duration::zero()));
}
