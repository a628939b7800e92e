#pragma once

// Executes the actions of ConfigurationNode: reads and watches the store,
// exchanges messages with peers and commits operators' changes. Runs on the
// platform thread.
//
//   ConfigurationAgent agent(ioContext, store, "h1", "eu-west", hooks);
//   agent.Start();

#include "config/ConfigurationChange.h"
#include "keys/ConfigurationNode.h"
#include "peer/PeerMessage.h"
#include "store/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

// The state that the traffic thread needs to check API keys.
struct KeyState
{
  ConfigurationPtr configuration_;
  WithdrawnIds withdrawn_;
  TimePoint freshUntil_;
};

struct ConfigurationAgentHooks
{
  std::function<bool(const std::string& aHost, PeerMessage aMessage)> send_;
  // Called after each change of the key state, and before onConfiguration_. If
  // it returns false, the agent publishes the state again later.
  std::function<bool(KeyState)> onKeys_;
  std::function<void(const SnapshotPtr&)> onConfiguration_;
};

// The result of an operator's withdrawal of a key.
struct WithdrawalOutcome
{
  // Absent if the stored document could not be read.
  std::optional<ChangeOutcome> change_;
  // True if the withdrawal is being disseminated between the hosts.
  bool disseminating_ = false;
};

class ConfigurationAgent
{
public:
  ConfigurationAgent(boost::asio::io_context& aContext,
                     StoreClient& aStore,
                     const std::string& aHost,
                     const std::string& aRegion,
                     ConfigurationAgentHooks aHooks);
  ~ConfigurationAgent();
  ConfigurationAgent(const ConfigurationAgent&) = delete;
  ConfigurationAgent& operator=(const ConfigurationAgent&) = delete;

  void Start();
  void SetHosts(const std::vector<TrackerHost>& aHosts);
  void OnPeerMessage(const PeerHello& aFrom, const PeerMessage& aMessage);

  using ChangeCallback = std::function<void(const ChangeOutcome&)>;
  // Commits a document. Sets the request's attempt id and version in force.
  void Apply(ChangeRequest aRequest, const ChangeCallback& aCallback);
  // Withdraws keys in the stored document, whatever its version is. If the
  // store does not answer, disseminates the withdrawal between the hosts.
  using WithdrawalCallback = std::function<void(const WithdrawalOutcome&)>;
  void Withdraw(const std::string& aAuthor,
                const std::vector<std::string>& aIds,
                const WithdrawalCallback& aCallback);
  ConfigurationNode& Node();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
