#pragma once

// `peridotsail config`: the operators' commands for the configuration. They
// talk to the operators' port of any host.

#include <cstdint>
#include <optional>
#include <string>

namespace peridotsail {

// Exit codes of the commands.
constexpr int kConfigDone = 0;
// The host or the store does not answer, or refuses.
constexpr int kConfigFailed = 1;
constexpr int kConfigWrongArguments = 2;
// Another version than the expected one is stored; both sides were shown.
constexpr int kConfigConflict = 3;
// The document has faults.
constexpr int kConfigInvalid = 4;
// The store is out: the withdrawal travels between the hosts and is not yet
// committed.
constexpr int kConfigNotCommitted = 5;

struct ConfigArguments
{
  // "validate", "show", "diff", "apply", "history", "status", "issue" or
  // "withdraw".
  std::string action_;
  // Address of the operators' port.
  std::string operators_;
  std::string operatorToken_;
  std::string file_;
  // The customer of "issue" or the key id of "withdraw".
  std::string name_;
  std::string expect_;
  std::string author_;
  bool json_ = false;
};

int
RunConfig(const ConfigArguments& aArguments);

}
