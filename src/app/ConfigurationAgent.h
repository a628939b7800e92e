#pragma once

// Carries out the decisions of ConfigurationNode: reads and watches the store,
// talks to the peers and commits operators' changes. Runs on the platform
// thread.
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

// What the traffic thread needs to check keys.
struct KeyState
{
  ConfigurationPtr configuration_;
  WithdrawnIds withdrawn_;
  TimePoint freshUntil_;
};

struct ConfigurationAgentHooks
{
  std::function<bool(const std::string& aHost, PeerMessage aMessage)> send_;
  // Runs before onConfiguration_ and after each change. A false result makes
  // the agent publish the state again.
  std::function<bool(KeyState)> onKeys_;
  std::function<void(const SnapshotPtr&)> onConfiguration_;
};

// The answer to an operator's withdrawal of a key.
struct WithdrawalOutcome
{
  // Nothing when the store did not answer.
  std::optional<ChangeOutcome> change_;
  // The key is in the set that travels between peers.
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
  // Commits a document; the attempt id and the version in force are filled in.
  void Apply(ChangeRequest aRequest, const ChangeCallback& aCallback);
  // Withdraws keys in the store's document, whatever version it has; by the
  // peers when the store does not answer.
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
