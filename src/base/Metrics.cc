#include "base/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace peridotsail {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };

using LatencyAccumulator = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count,
                      accumulators::tag::sum,
                      accumulators::tag::extended_p_square>>;

}

struct MetricLatency::Impl
{
  mutable std::mutex mutex_;
  LatencyAccumulator accumulator_{
    accumulators::extended_p_square_probabilities = kQuantiles
  };
};

MetricLatency::MetricLatency()
  : impl_(std::make_unique<Impl>())
{
}

MetricLatency::~MetricLatency() = default;

void
MetricLatency::Observe(Duration aDuration)
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->accumulator_(ToSeconds(aDuration));
}

std::uint64_t
MetricLatency::Count() const
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return accumulators::count(impl_->accumulator_);
}

double
MetricLatency::Quantile(std::size_t aIndex) const
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  if (accumulators::count(impl_->accumulator_) == 0) {
    return 0;
  }
  return accumulators::extended_p_square(
    impl_->accumulator_)[static_cast<std::ptrdiff_t>(aIndex)];
}

double
MetricLatency::SumSeconds() const
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return accumulators::sum(impl_->accumulator_);
}

namespace {

template<typename T>
struct MetricFamily
{
  std::string help_;
  std::map<std::string, std::unique_ptr<T>> metrics_;
};

template<typename T>
using MetricFamilies = std::map<std::string, MetricFamily<T>>;

template<typename T>
T&
FindOrAdd(MetricFamilies<T>& aFamilies,
          const std::string& aName,
          const std::string& aHelp,
          const std::string& aLabels)
{
  MetricFamily<T>& family = aFamilies[aName];
  if (family.help_.empty()) {
    family.help_ = aHelp;
  }
  std::unique_ptr<T>& metric = family.metrics_[aLabels];
  if (!metric) {
    metric = std::make_unique<T>();
  }
  return *metric;
}

void
RenderHeader(std::ostream& aOut,
             const std::string& aName,
             const std::string& aHelp,
             const char* aType)
{
  aOut << "# HELP " << aName << ' ' << aHelp << '\n';
  aOut << "# TYPE " << aName << ' ' << aType << '\n';
}

std::string
WrapLabels(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

template<typename T>
void
RenderValues(std::ostream& aOut,
             const MetricFamilies<T>& aFamilies,
             const char* aType)
{
  for (const auto& [name, family] : aFamilies) {
    RenderHeader(aOut, name, family.help_, aType);
    for (const auto& [labels, metric] : family.metrics_) {
      aOut << name << WrapLabels(labels) << ' ' << metric->Value() << '\n';
    }
  }
}

void
RenderLatency(std::ostream& aOut,
              const std::string& aName,
              const std::string& aLabels,
              const MetricLatency& aLatency)
{
  const std::string separator = aLabels.empty() ? "" : ",";
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    aOut << aName << '{' << aLabels << separator << "quantile=\""
         << kQuantiles[i] << "\"} " << aLatency.Quantile(i) << '\n';
  }
  aOut << aName << "_sum" << WrapLabels(aLabels) << ' ' << aLatency.SumSeconds()
       << '\n';
  aOut << aName << "_count" << WrapLabels(aLabels) << ' ' << aLatency.Count()
       << '\n';
}

}

struct Metrics::Impl
{
  mutable std::mutex mutex_;
  MetricFamilies<MetricCounter> counters_;
  MetricFamilies<MetricGauge> gauges_;
  MetricFamilies<MetricLatency> latencies_;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

MetricCounter&
Metrics::Counter(const std::string& aName,
                 const std::string& aHelp,
                 const std::string& aLabels)
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return FindOrAdd(impl_->counters_, aName, aHelp, aLabels);
}

MetricGauge&
Metrics::Gauge(const std::string& aName,
               const std::string& aHelp,
               const std::string& aLabels)
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return FindOrAdd(impl_->gauges_, aName, aHelp, aLabels);
}

MetricLatency&
Metrics::Latency(const std::string& aName,
                 const std::string& aHelp,
                 const std::string& aLabels)
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return FindOrAdd(impl_->latencies_, aName, aHelp, aLabels);
}

std::string
Metrics::Render() const
{
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  std::ostringstream out;
  RenderValues(out, impl_->counters_, "counter");
  RenderValues(out, impl_->gauges_, "gauge");
  for (const auto& [name, family] : impl_->latencies_) {
    RenderHeader(out, name, family.help_, "summary");
    for (const auto& [labels, latency] : family.metrics_) {
      RenderLatency(out, name, labels, *latency);
    }
  }
  return out.str();
}

}
