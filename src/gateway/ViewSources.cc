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

const ViewSources::Failure*
ViewSources::FailureOf(const ViewSource& aSource) const
{
  const auto found = failures_.find(aSource.host_);
  return found == failures_.end() ? nullptr : &found->second;
}

ViewSource
ViewSources::Next(TimePoint aNow) const
{
  // Of the sources that are not paused, the one that failed longest ago, in the
  // order of preference when several have not failed lately.
  const ViewSource* best = nullptr;
  TimePoint bestFailedAt = TimePoint::max();
  ViewSource paused;
  paused.notBefore_ = TimePoint::max();
  for (const ViewSource& source : sources_) {
    const Failure* failure = FailureOf(source);
    if (failure != nullptr && failure->pausedUntil_ > aNow) {
      if (failure->pausedUntil_ < paused.notBefore_) {
        paused = source;
        paused.notBefore_ = failure->pausedUntil_;
      }
      continue;
    }
    const bool lately = failure != nullptr &&
                        aNow < failure->pausedUntil_ + options_.failureLife_;
    const TimePoint failedAt = lately ? failure->at_ : TimePoint::min();
    if (failedAt < bestFailedAt) {
      best = &source;
      bestFailedAt = failedAt;
    }
  }
  return best == nullptr ? paused : *best;
}

void
ViewSources::Answered(const ViewSource& aSource)
{
  failures_.erase(aSource.host_);
}

void
ViewSources::Failed(const ViewSource& aSource,
                    ViewFailure aFailure,
                    TimePoint aNow)
{
  constexpr int kMostDoublings = 2;
  Failure& failure = failures_[aSource.host_];
  const int factor = 1 << std::min(failure.inRow_, kMostDoublings);
  failure.at_ = aNow;
  ++failure.inRow_;
  if (aSource.IsStore()) {
    failure.pausedUntil_ =
      aNow + (ReadsStore() ? options_.storeBackoff_ * factor
                           : options_.followerStoreBackoff_);
  } else if (aFailure == ViewFailure::Behind) {
    failure.pausedUntil_ = aNow + options_.staleBackoff_;
    failure.inRow_ = 0;
  } else {
    failure.pausedUntil_ = aNow + options_.neighbourBackoff_ * factor;
  }
}

}
