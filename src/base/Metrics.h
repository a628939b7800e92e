#pragma once

// Counters, gauges and latency quantiles in Prometheus text format.
//
//   MetricCounter& refused = metrics.Counter(
//     "peridotsail_refused_total", "Refusals by kind.", "kind=\"queue-full\"");
//   refused.Add(1);
//   std::string page = metrics.Render();
//
// References stay valid for the lifetime of the registry. All classes are
// thread-safe.

#include "base/BootClock.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace peridotsail {

class MetricCounter
{
public:
  void Add(std::uint64_t aAmount) { value_.fetch_add(aAmount, kOrder); }
  std::uint64_t Value() const { return value_.load(kOrder); }

private:
  static constexpr std::memory_order kOrder = std::memory_order_relaxed;
  std::atomic<std::uint64_t> value_{ 0 };
};

class MetricGauge
{
public:
  void Set(double aValue) { value_.store(aValue, std::memory_order_relaxed); }
  double Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{ 0 };
};

// Estimates the quantiles 0.5, 0.99 and 0.999 of all observations since the
// start with the extended P-square algorithm of Boost.Accumulators.
class MetricLatency
{
public:
  MetricLatency();
  ~MetricLatency();
  MetricLatency(const MetricLatency&) = delete;
  MetricLatency& operator=(const MetricLatency&) = delete;

  void Observe(Duration aDuration);
  std::uint64_t Count() const;
  // Returns the quantile 0.5, 0.99 or 0.999, for aIndex 0, 1 or 2, in seconds.
  double Quantile(std::size_t aIndex) const;
  double SumSeconds() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Return the metric with this name and labels, creating it if necessary.
  // aLabels is empty or a list such as `kind="queue-full",route="inbox"`. The
  // first call for a name sets its help text.
  MetricCounter& Counter(const std::string& aName,
                         const std::string& aHelp,
                         const std::string& aLabels = "");
  MetricGauge& Gauge(const std::string& aName,
                     const std::string& aHelp,
                     const std::string& aLabels = "");
  MetricLatency& Latency(const std::string& aName,
                         const std::string& aHelp,
                         const std::string& aLabels = "");
  // Returns all metrics in the text format that monitoring tools scrape.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
