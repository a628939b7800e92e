#include "slots/SlotGrants.h"

#include <algorithm>

namespace peridotsail {

namespace {

// Asks for further servers are not answered, so that hosts decide alone.
constexpr std::size_t kMaxServers = 4096;

}

SlotGrants::SlotGrants(SlotQueueOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
SlotGrants::Ask(const std::string& aHost,
                const SlotAsk& aAsk,
                TimePoint aNow,
                SlotReplies& aReplies)
{
  auto found = queues_.find(aAsk.server_);
  if (found == queues_.end()) {
    if (queues_.size() >= kMaxServers) {
      return;
    }
    found = queues_
              .emplace(aAsk.server_,
                       std::make_unique<SlotQueue>(aAsk.server_, options_))
              .first;
  }
  found->second->Ask(aHost, aAsk, aNow, aReplies);
}

void
SlotGrants::Release(const std::string& aHost,
                    const SlotRelease& aRelease,
                    TimePoint aNow,
                    SlotReplies& aReplies)
{
  const auto found = queues_.find(aRelease.server_);
  if (found != queues_.end()) {
    found->second->Release(aHost, aRelease, aNow, aReplies);
  }
}

void
SlotGrants::RemoveHosts(
  const std::function<bool(const std::string& aHost)>& aIsGone,
  TimePoint aNow,
  SlotReplies& aReplies)
{
  for (const auto& [server, queue] : queues_) {
    queue->RemoveHosts(aIsGone, aNow, aReplies);
  }
}

void
SlotGrants::OnTimer(TimePoint aNow, SlotReplies& aReplies)
{
  for (auto it = queues_.begin(); it != queues_.end();) {
    it->second->OnTimer(aNow, aReplies);
    it = it->second->IsIdle(aNow) ? queues_.erase(it) : std::next(it);
  }
}

std::size_t
SlotGrants::Waiting() const
{
  std::size_t waiting = 0;
  for (const auto& [server, queue] : queues_) {
    waiting += queue->Waiting();
  }
  return waiting;
}

bool
SlotGrants::IsBusy() const
{
  return std::any_of(queues_.begin(), queues_.end(), [](const auto& aEntry) {
    return aEntry.second->Waiting() + aEntry.second->Granted() > 0;
  });
}

}
