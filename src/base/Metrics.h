#pragma once

// Counters, gauges and latency quantiles in Prometheus text format.
//
//   MetricCounter& refused = metrics.Counter(
//     "peridotsail_refused_total", "Refusals by kind.", "kind=\"queue-full\"");
//   refused.Add(1);
//   std::string page = metrics.Render();
//
// References stay valid for the life of the registry. All parts are safe from
// any thread.

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

// Quantiles 0.5, 0.99 and 0.999 of all observations since the start, estimated
// with the extended P-square algorithm of Boost.Accumulators.
class MetricLatency
{
public:
  MetricLatency();
  ~MetricLatency();
  MetricLatency(const MetricLatency&) = delete;
  MetricLatency& operator=(const MetricLatency&) = delete;

  void Observe(Duration aDuration);
  std::uint64_t Count() const;
  // aIndex 0, 1 and 2 are the quantiles 0.5, 0.99 and 0.999; in seconds.
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

  // aLabels is empty or a list such as `kind="queue-full",route="inbox"`.
  // The first call for a name sets its help text.
  MetricCounter& Counter(const std::string& aName,
                         const std::string& aHelp,
                         const std::string& aLabels = "");
  MetricGauge& Gauge(const std::string& aName,
                     const std::string& aHelp,
                     const std::string& aLabels = "");
  MetricLatency& Latency(const std::string& aName,
                         const std::string& aHelp,
                         const std::string& aLabels = "");
  // The page that monitoring tools scrape.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
