#pragma once

// `peridotsail config`: commands that read and change the configuration. They
// call the operators' port of any host.

#include <cstdint>
#include <optional>
#include <string>

namespace peridotsail {

// Exit codes of the commands.
constexpr int kConfigSuccess = 0;
// The host or the store did not answer, or refused the request.
constexpr int kConfigFailed = 1;
constexpr int kConfigInvalidArguments = 2;
// The store holds another version than expected; the differences were printed.
constexpr int kConfigConflict = 3;
// The document is not valid.
constexpr int kConfigInvalid = 4;
// The store is unreachable: the withdrawal is being disseminated between the
// hosts and is not yet committed.
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
  // Customer name for "issue", key id for "withdraw".
  std::string name_;
  std::string expect_;
  std::string author_;
  bool json_ = false;
};

int
RunConfig(const ConfigArguments& aArguments);

}
