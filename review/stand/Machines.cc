#include "Machines.h"

#include <utility>

namespace peridotsail::review {

namespace {

constexpr Milliseconds kStart{ 5000 };

}

Machines::Machines(const CaseArguments& aArguments,
                   Record& aRecord,
                   Store& aStore,
                   std::vector<Place> aPlaces)
  : arguments_(aArguments)
  , record_(aRecord)
  , store_(aStore)
  , places_(std::move(aPlaces))
{
}

Host*
Machines::Start(std::size_t aPlace, bool aFirstStart)
{
  const Place& place = places_.at(aPlace);
  HostOptions options;
  options.name_ = place.name_;
  options.ip_ = FreeHostIp(static_cast<int>(aPlace));
  options.zone_ = place.zone_;
  options.region_ = place.region_;
  for (const Place& other : places_) {
    options.zones_[other.zone_] = other.region_;
  }
  options.storeIp_ = "127.0.0.1";
  options.storePort_ = store_.OpenDoor(options.name_);
  options.folder_ = arguments_.temporary_;
  options.program_ = arguments_.program_;
  options.bootstrap_ = aFirstStart;
  hosts_.push_back(std::make_unique<Host>(options, record_));
  Host& host = *hosts_.back();
  const bool ready = !options.ip_.empty() && options.storePort_ != 0 &&
                     host.Start() && host.WaitUntilReady(kStart);
  return ready ? &host : nullptr;
}

void
Machines::Cut(std::size_t aPlace, bool aCut)
{
  const std::string name = places_.at(aPlace).name_;
  record_.Add("host " + name +
              (aCut ? " is cut off from the store" : " reaches the store"));
  store_.ShutDoor(name, aCut);
}

}
