#include "base/Metrics.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against output that monitoring tools cannot parse.
TEST_CASE("metrics render in Prometheus text format")
{
  Metrics metrics;
  metrics.Counter("c_total", "A counter.", "kind=\"a\"").Add(3);
  metrics.Gauge("g", "A gauge.").Set(1.5);
  MetricLatency& latency = metrics.Latency("l_seconds", "A latency.");
  for (int i = 1; i <= 1000; ++i) {
    latency.Observe(std::chrono::milliseconds(i));
  }
  const std::string page = metrics.Render();
  CHECK(page.find("# TYPE c_total counter\nc_total{kind=\"a\"} 3\n") !=
        std::string::npos);
  CHECK(page.find("g 1.5\n") != std::string::npos);
  CHECK(page.find("l_seconds_count 1000\n") != std::string::npos);
  CHECK(latency.Quantile(0) == Approx(0.5).margin(0.05));
}
