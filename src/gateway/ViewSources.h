#pragma once

// From where a host learns what is in the store: from the store itself, or from
// a neighbour that has it from there. The staying hosts of a region form a tree
// in rendezvous order, which all of them see alike: the first one reads the
// store, and each other one follows the host above it. A host whose neighbour
// fails or is behind asks the first or second host of the tree, then reads the
// store itself, and when the store fails too, asks others of its region: the
// store may turn away some hosts and serve the rest.
//
// Pure.
//
//   ViewSources sources("host-1", "eu-west", options);
//   sources.SetHosts(snapshot.hosts_);
//   ViewSource source = sources.Next(now);
//   sources.Failed(source, ViewFailure::Behind, now);   // or Answered(source)

#include "gateway/FleetTypes.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

struct ViewSourceOptions
{
  // Hosts that follow one host.
  std::size_t followers_ = 16;
  // A neighbour without a usable answer is left alone for so long. Each further
  // failure in a row doubles the pause, up to twice.
  Duration neighbourBackoff_ = std::chrono::milliseconds(2000);
  // The same for one that is behind, without doubling: when the store is out
  // all are, and the first one to hear of its return must be asked soon after.
  Duration staleBackoff_ = std::chrono::milliseconds(300);
  // The same for the store, at a host that reads it in turn, with doubling, and
  // at the others: when the store is out, they must not all call it often.
  Duration storeBackoff_ = std::chrono::milliseconds(150);
  Duration followerStoreBackoff_ = std::chrono::milliseconds(1000);
  // A failure counts in the choice for so long after its pause. Until then
  // sources that did not fail go first, so that one which is asked again soon
  // does not keep a host from the store.
  Duration failureLife_ = std::chrono::milliseconds(1000);
  // Other neighbours that are tried.
  std::size_t others_ = 3;
};

struct ViewSource
{
  // Both empty: the store.
  std::string host_;
  std::string address_;
  // The source by rule, which may be waited for longest.
  bool first_ = false;
  // All sources are paused until then.
  TimePoint notBefore_ = TimePoint::min();

  bool IsStore() const { return host_.empty(); }
};

enum class ViewFailure
{
  // No usable answer, or one that came from this host itself.
  Unusable,
  // An answer with an old view.
  Behind,
};

class ViewSources
{
public:
  ViewSources(std::string aSelf,
              std::string aRegion,
              ViewSourceOptions aOptions);

  void SetHosts(const std::map<std::string, HostRecord>& aHosts);
  // The first host of the region reads the store.
  bool ReadsStore() const { return sources_.front().IsStore(); }
  ViewSource Next(TimePoint aNow) const;
  void Answered(const ViewSource& aSource);
  void Failed(const ViewSource& aSource, ViewFailure aFailure, TimePoint aNow);

private:
  std::string self_;
  std::string region_;
  ViewSourceOptions options_;
  // In the order of preference.
  std::vector<ViewSource> sources_;
  struct Failure
  {
    TimePoint at_;
    TimePoint pausedUntil_;
    int inRow_ = 0;
  };

  const Failure* FailureOf(const ViewSource& aSource) const;

  // The last failure of a source that has not answered since, by host name.
  std::map<std::string, Failure> failures_;
};

}
