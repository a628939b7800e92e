#pragma once

// Chooses from where a host receives the contents of the store: from the store
// itself or from a neighbour that follows it. The non-draining hosts of a
// region form a tree in rendezvous order, which all of them compute
// identically: the first host reads the store, the first host of each other
// failure domain follows it, and every other host follows a parent in its own
// failure domain, so that each change crosses to a failure domain once. Hosts
// behind slow links come last, since a parent sends each change to all of its
// followers. A host whose parent fails or is stale asks the first or second
// host of the region, then reads the store itself, and if that fails too, asks
// other hosts of its region: the store may reject some hosts while it serves
// the rest.
//
// Performs no I/O.
//
//   ViewSources sources("host-1", "eu-west", options);
//   sources.SetHosts(snapshot.hosts_);
//   ViewSource source = sources.Next(now);
//   sources.Failed(source, ViewFailure::Stale, now);   // or Answered(source)

#include "gateway/FleetTypes.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

struct ViewSourceOptions
{
  // Number of hosts that follow one host. In a region with more failure domains
  // the first host has one follower for each of them.
  std::size_t maxFollowers_ = 16;
  // Time for which a neighbour without a usable response is not asked. It
  // doubles with each consecutive failure, at most twice.
  Duration neighbourBackoff_ = std::chrono::milliseconds(2000);
  // The same for a stale neighbour, without doubling: during a store outage all
  // neighbours are stale, and the first one to notice the recovery must be
  // asked soon after it.
  Duration staleBackoff_ = std::chrono::milliseconds(300);
  // The same for the store: with doubling at the host that normally reads it,
  // and with a constant backoff at the others, so that they do not all call the
  // store often during an outage.
  Duration storeBackoff_ = std::chrono::milliseconds(150);
  Duration followerStoreBackoff_ = std::chrono::milliseconds(1000);
  // A failure affects the choice of the source for this long after its backoff.
  // Until then, sources that did not fail are preferred, so that a source that
  // may soon be asked again does not keep a host from reading the store.
  Duration failureTtl_ = std::chrono::milliseconds(1000);
  // A host whose link has less than this fraction of the bandwidth of the
  // region's fastest link is behind a slow link.
  double slowLinkFraction_ = 0.25;
  // Number of additional neighbours to try.
  std::size_t extraNeighbours_ = 3;
};

struct ViewSource
{
  // Both are empty for the store.
  std::string host_;
  std::string address_;
  // Whether this is the source assigned by the tree, for which the longest wait
  // is allowed.
  bool preferred_ = false;
  // If in the future: all sources are in backoff until then.
  TimePoint notBefore_ = TimePoint::min();

  bool IsStore() const { return host_.empty(); }
};

enum class ViewFailure
{
  // No usable response, or one whose view came from this host itself.
  Unusable,
  // A response with an old view.
  Stale,
};

class ViewSources
{
public:
  ViewSources(std::string aSelf,
              std::string aRegion,
              ViewSourceOptions aOptions);

  void SetHosts(const std::map<std::string, HostRecord>& aHosts);
  // Whether this host is the one in its region that reads the store.
  bool ReadsStore() const { return sources_.front().IsStore(); }
  ViewSource Next(TimePoint aNow) const;
  // Returns the first neighbour that is not in backoff, the one whose backoff
  // ends first if all are, or the store if there is no neighbour.
  ViewSource AnyNeighbour(TimePoint aNow) const;
  void Answered(const ViewSource& aSource);
  void Failed(const ViewSource& aSource, ViewFailure aFailure, TimePoint aNow);

private:
  std::string self_;
  std::string region_;
  // Empty while this host is not registered.
  std::string failureDomain_;
  ViewSourceOptions options_;
  // In order of preference.
  std::vector<ViewSource> sources_;
  struct Failure
  {
    TimePoint at_;
    TimePoint backoffUntil_;
    int consecutive_ = 0;
  };

  struct Ranked
  {
    double linkMbps_;
    std::uint64_t score_;
    std::string failureDomain_;
    ViewSource source_;
  };

  std::vector<Ranked> Rank(
    const std::map<std::string, HostRecord>& aHosts) const;
  // Returns the host that this host follows. aOrder has at least one host, and
  // its first one is another host.
  const Ranked& ParentIn(const std::vector<Ranked>& aOrder) const;
  const Failure* FailureOf(const ViewSource& aSource) const;

  // The last failure of each source that has not responded since, by host name.
  std::map<std::string, Failure> failures_;
};

}
