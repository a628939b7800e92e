#include "gateway/ViewSources.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

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

// Returns the hosts of the region that can be followed, in the order of the
// tree.
std::vector<ViewSources::Ranked>
ViewSources::Rank(const std::map<std::string, HostRecord>& aHosts) const
{
  std::vector<Ranked> order;
  const std::uint64_t region = StableHash(region_);
  double fastest = 0;
  for (const auto& [name, host] : aHosts) {
    const bool eligible =
      host.region_ == region_ && !host.draining_ && !host.peers_.empty();
    if (eligible) {
      order.push_back({ host.linkMbps_,
                        MixHash(region ^ StableHash(name)),
                        host.failureDomain_,
                        { name, host.peers_, false, TimePoint::min() } });
      fastest = std::max(fastest, host.linkMbps_);
    }
  }
  const double slow = fastest * options_.slowLinkFraction_;
  const auto isSlow = [&](const Ranked& aRanked) {
    // A link of unknown bandwidth is not taken for slow.
    return aRanked.linkMbps_ > 0 && aRanked.linkMbps_ < slow;
  };
  std::sort(
    order.begin(), order.end(), [&](const Ranked& aLeft, const Ranked& aRight) {
      const bool leftSlow = isSlow(aLeft);
      return leftSlow == isSlow(aRight) ? aLeft.score_ > aRight.score_
                                        : !leftSlow;
    });
  return order;
}

const ViewSources::Ranked&
ViewSources::ParentIn(const std::vector<Ranked>& aOrder) const
{
  const Ranked& root = aOrder.front();
  std::set<std::string> failureDomains;
  std::vector<const Ranked*> local;
  for (const Ranked& ranked : aOrder) {
    failureDomains.insert(ranked.failureDomain_);
    if (ranked.failureDomain_ == failureDomain_) {
      local.push_back(&ranked);
    }
  }
  const auto own =
    std::find_if(local.begin(), local.end(), [&](const Ranked* aRanked) {
      return aRanked->source_.host_ == self_;
    });
  // An unregistered host is ranked after all others.
  const std::size_t rank = static_cast<std::size_t>(own - local.begin());
  if (rank == 0) {
    return root;
  }
  // The first host of the region also has the followers of the other failure
  // domains.
  const std::size_t others = failureDomains.size() - 1;
  const std::size_t taken =
    local.front() == &root ? std::min(others, options_.maxFollowers_ - 1) : 0;
  return *local[(rank - 1 + taken) / options_.maxFollowers_];
}

void
ViewSources::SetHosts(const std::map<std::string, HostRecord>& aHosts)
{
  const auto self = aHosts.find(self_);
  failureDomain_ = self == aHosts.end() ? "" : self->second.failureDomain_;
  const std::vector<Ranked> order = Rank(aHosts);
  const auto own =
    std::find_if(order.begin(), order.end(), [&](const Ranked& aRanked) {
      return aRanked.source_.host_ == self_;
    });
  const std::size_t rank = static_cast<std::size_t>(own - order.begin());
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
    add(ParentIn(order).source_);
    for (std::size_t i = 0; i < 2 && sources_.size() < 2; ++i) {
      if (i < order.size()) {
        add(order[i].source_);
      }
    }
  }
  add({});
  // Start after this host's rank, so that not all hosts ask the same
  // neighbours.
  const std::size_t maxSources = sources_.size() + options_.extraNeighbours_;
  for (std::size_t i = 1; i < order.size() && sources_.size() < maxSources;
       ++i) {
    add(order[(rank + i) % order.size()].source_);
  }
  sources_.front().preferred_ = true;
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
  // Among the sources that are not in backoff, choose the one whose failure is
  // the oldest, in order of preference for those without a recent failure.
  const ViewSource* best = nullptr;
  TimePoint bestFailedAt = TimePoint::max();
  ViewSource inBackoff;
  inBackoff.notBefore_ = TimePoint::max();
  for (const ViewSource& source : sources_) {
    const Failure* failure = FailureOf(source);
    if (failure != nullptr && failure->backoffUntil_ > aNow) {
      if (failure->backoffUntil_ < inBackoff.notBefore_) {
        inBackoff = source;
        inBackoff.notBefore_ = failure->backoffUntil_;
      }
      continue;
    }
    const bool recent = failure != nullptr &&
                        aNow < failure->backoffUntil_ + options_.failureTtl_;
    const TimePoint failedAt = recent ? failure->at_ : TimePoint::min();
    if (failedAt < bestFailedAt) {
      best = &source;
      bestFailedAt = failedAt;
    }
  }
  return best == nullptr ? inBackoff : *best;
}

ViewSource
ViewSources::AnyNeighbour(TimePoint aNow) const
{
  ViewSource best;
  TimePoint bestFrom = TimePoint::max();
  for (const ViewSource& source : sources_) {
    const Failure* failure = FailureOf(source);
    const TimePoint from =
      failure == nullptr ? aNow : std::max(aNow, failure->backoffUntil_);
    if (!source.IsStore() && from < bestFrom) {
      best = source;
      bestFrom = from;
    }
  }
  return best;
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
  constexpr int kMaxDoublings = 2;
  Failure& failure = failures_[aSource.host_];
  const int factor = 1 << std::min(failure.consecutive_, kMaxDoublings);
  failure.at_ = aNow;
  ++failure.consecutive_;
  if (aSource.IsStore()) {
    failure.backoffUntil_ =
      aNow + (ReadsStore() ? options_.storeBackoff_ * factor
                           : options_.followerStoreBackoff_);
  } else if (aFailure == ViewFailure::Stale) {
    failure.backoffUntil_ = aNow + options_.staleBackoff_;
    failure.consecutive_ = 0;
  } else {
    failure.backoffUntil_ = aNow + options_.neighbourBackoff_ * factor;
  }
}

}
