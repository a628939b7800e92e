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
                        { name, host.peers_, false, TimePoint::min() } });
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
  const auto add = [&](const ViewSource& aSource) {
    const bool known = aSource.host_ == self_ ||
                       std::any_of(sources_.begin(),
                                   sources_.end(),
                                   [&](const ViewSource& aKnown) {
                                     return aKnown.host_ == aSource.host_;
                                   });
    if (!known) {
      sources_.push_back(aSource);
    }
  };
  if (rank > 0) {
    add(order[above].source_);
    for (std::size_t i = 0; i < 2 && sources_.size() < 2; ++i) {
      if (i < order.size()) {
        add(order[i].source_);
      }
    }
  }
  add({});
  // Begins after this host, so that not all ask the same one.
  const std::size_t most = sources_.size() + options_.others_;
  for (std::size_t i = 1; i < order.size() && sources_.size() < most; ++i) {
    add(order[(rank + i) % order.size()].source_);
  }
  sources_.front().first_ = true;
}

ViewSource
ViewSources::Next(TimePoint aNow) const
{
  ViewSource next;
  next.notBefore_ = TimePoint::max();
  for (const ViewSource& source : sources_) {
    const auto paused = pauses_.find(source.host_);
    const TimePoint from =
      paused == pauses_.end() ? TimePoint::min() : paused->second.until_;
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
  pauses_.erase(aSource.host_);
}

void
ViewSources::Failed(const ViewSource& aSource,
                    ViewFailure aFailure,
                    TimePoint aNow)
{
  constexpr int kMostDoublings = 2;
  Pause& pause = pauses_[aSource.host_];
  const int factor = 1 << std::min(pause.failures_, kMostDoublings);
  ++pause.failures_;
  if (aSource.IsStore()) {
    pause.until_ = aNow + (ReadsStore() ? options_.storePause_ * factor
                                        : options_.followerStorePause_);
  } else if (aFailure == ViewFailure::Behind) {
    pause.until_ = aNow + options_.behindPause_;
    pause.failures_ = 0;
  } else {
    pause.until_ = aNow + options_.neighbourPause_ * factor;
  }
}

}
