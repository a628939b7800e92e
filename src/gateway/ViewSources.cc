#include "gateway/ViewSources.h"

#include "base/Hash.h"

#include <algorithm>

namespace peridotsail {

ViewSources::ViewSources(std::string aSelf,
                         std::string aRegion,
                         ViewSourceOptions aOptions)
  : self_(std::move(aSelf))
  , region_(std::move(aRegion))
  , options_(aOptions)
  , sources_(1)
{
}

void
ViewSources::SetHosts(const std::map<std::string, HostRecord>& aHosts)
{
  struct Ranked
  {
    std::uint64_t score_;
    ViewSource source_;
  };
  std::vector<Ranked> order;
  const std::uint64_t region = StableHash(region_);
  for (const auto& [name, host] : aHosts) {
    const bool follows =
      host.region_ == region_ && !host.draining_ && !host.peers_.empty();
    if (follows) {
      order.push_back({ MixHash(region ^ StableHash(name)),
                        { name, host.peers_, TimePoint::min() } });
    }
  }
  std::sort(
    order.begin(), order.end(), [](const Ranked& aLeft, const Ranked& aRight) {
      return aLeft.score_ > aRight.score_;
    });
  const auto own =
    std::find_if(order.begin(), order.end(), [&](const Ranked& aRanked) {
      return aRanked.source_.host_ == self_;
    });
  // A host that is not registered comes after the others.
  const std::size_t rank = static_cast<std::size_t>(own - order.begin());
  const std::size_t above = rank == 0 ? 0 : (rank - 1) / options_.followers_;
  sources_.clear();
  if (rank > 0) {
    sources_.push_back(order[above].source_);
  }
  sources_.emplace_back();
  // Begins after this host, so that not all ask the same one.
  for (std::size_t i = 1; i < order.size(); ++i) {
    const std::size_t other = (rank + i) % order.size();
    const bool known = other == rank || (rank > 0 && other == above);
    if (!known && sources_.size() < options_.others_ + 2) {
      sources_.push_back(order[other].source_);
    }
  }
}

ViewSource
ViewSources::Next(TimePoint aNow) const
{
  ViewSource next;
  next.notBefore_ = TimePoint::max();
  for (const ViewSource& source : sources_) {
    const auto paused = pausedUntil_.find(source.host_);
    const TimePoint from =
      paused == pausedUntil_.end() ? TimePoint::min() : paused->second;
    if (from <= aNow) {
      return source;
    }
    if (from < next.notBefore_) {
      next = source;
      next.notBefore_ = from;
    }
  }
  return next;
}

void
ViewSources::Answered(const ViewSource& aSource)
{
  pausedUntil_.erase(aSource.host_);
}

void
ViewSources::Failed(const ViewSource& aSource, TimePoint aNow)
{
  Duration pause = options_.neighbourPause_;
  if (aSource.IsStore()) {
    pause = ReadsStore() ? options_.storePause_ : options_.followerStorePause_;
  }
  pausedUntil_[aSource.host_] = aNow + pause;
}

}
