#include "slots/QueueEstimate.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::seconds(1000)) +
         std::chrono::milliseconds(aMilliseconds);
}

}

// Guards against malformed headers that are taken for a load, and against a
// lost pace.
TEST_CASE("Load reports are parsed, with or without the pace")
{
  const auto load = ParseReportedLoad("3,1,8", At(0));
  REQUIRE(load);
  CHECK(load->running_ == 3);
  CHECK(load->waiting_ == 1);
  CHECK(load->pace_ == 0);
  const auto paced = ParseReportedLoad("3, 1, 8, 250", At(0));
  REQUIRE(paced);
  CHECK(paced->pace_ == 250);
  CHECK(ParseReportedLoad("3,1", At(0)));
  for (const char* text : { "",
                            "3",
                            "x,1,8",
                            "3,-1,8",
                            "3,1,8,0x",
                            "3,1,8,-5",
                            "3,1,8,99999",
                            "99999999,1,8",
                            "3,1,8," }) {
    INFO(text);
    CHECK_FALSE(ParseReportedLoad(text, At(0)));
  }
}

// Guards against a slow machine that is taken for a slow server for seconds,
// and against a pace that is ignored.
TEST_CASE("The pace scales the expected latency while it is fresh")
{
  QueueEstimate estimate(3);
  for (int i = 0; i < 100; ++i) {
    estimate.RecordServiceTime(std::chrono::milliseconds(200), 0, At(0));
  }
  const double usual = ToSeconds(estimate.ExpectedLatency(At(0)));
  ReportedLoad load;
  load.at_ = At(0);
  load.pace_ = 250;
  estimate.Report(load);
  CHECK(ToSeconds(estimate.ExpectedLatency(At(100))) ==
        Approx(2.5 * usual).epsilon(0.01));
  estimate.RecordServiceTime(std::chrono::milliseconds(500), 0, At(100));
  CHECK(ToSeconds(estimate.ExpectedLatency(At(400))) ==
        Approx(usual).epsilon(0.01));
}

// Guards against a host that multiplies its own requests by the number of hosts
// although the owner knows better.
TEST_CASE("The load that the owner of the slots knows counts alone")
{
  QueueEstimate estimate(3);
  estimate.SetHostCount(10);
  estimate.OnRequestSent();
  CHECK(estimate.QueueLength(At(0)) == 8);
  ReportedLoad load;
  load.at_ = At(0);
  load.running_ = 1;
  load.fromOwner_ = true;
  estimate.Report(load);
  CHECK(estimate.QueueLength(At(10)) == 0);
  CHECK(estimate.QueueLength(At(2000)) == 8);
}
