#pragma once

// The queues of the backend servers whose slots this host grants. Traffic
// thread only; performs no I/O.
//
//   SlotGrants grants(options);
//   grants.Ask(from, ask, now, replies);

#include "slots/SlotQueue.h"

#include <memory>
#include <unordered_map>

namespace peridotsail {

class SlotGrants
{
public:
  explicit SlotGrants(SlotQueueOptions aOptions);

  // See SlotQueue.
  void Ask(const std::string& aHost,
           const SlotAsk& aAsk,
           TimePoint aNow,
           SlotReplies& aReplies);
  void Release(const std::string& aHost,
               const SlotRelease& aRelease,
               TimePoint aNow,
               SlotReplies& aReplies);
  void RemoveHosts(const std::function<bool(const std::string& aHost)>& aIsGone,
                   TimePoint aNow,
                   SlotReplies& aReplies);
  void OnTimer(TimePoint aNow, SlotReplies& aReplies);
  // The number of waiting requests at all servers.
  std::size_t Waiting() const;
  // Returns whether any request waits or has a grant.
  bool IsBusy() const;

private:
  SlotQueueOptions options_;
  std::unordered_map<std::string, std::unique_ptr<SlotQueue>> queues_;
};

}
