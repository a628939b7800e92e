#pragma once

// The entry hosts of a case and their doors to the store.

#include "Rig.h"

#include <memory>
#include <string>
#include <vector>

namespace peridotsail::review {

struct Place
{
  const char* name_;
  const char* zone_;
  const char* region_;
};

class Machines
{
public:
  // aPlaces are all places of the deployment, also those of hosts that are
  // added later.
  Machines(const CaseArguments& aArguments,
           Record& aRecord,
           Store& aStore,
           std::vector<Place> aPlaces);

  // Starts the host of a place. aFirstStart tells whether the whole system
  // starts for the first time. Returns null if it does not become ready.
  Host* Start(std::size_t aPlace, bool aFirstStart);
  // Cuts the host off from the store, or ends the cut.
  void Cut(std::size_t aPlace, bool aCut);
  // Kills all hosts.
  void Stop() { hosts_.clear(); }

private:
  const CaseArguments& arguments_;
  Record& record_;
  Store& store_;
  std::vector<Place> places_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

}
