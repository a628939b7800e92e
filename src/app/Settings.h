#pragma once

// Settings of `peridotsail serve`. Each is taken from its flag, its environment
// variable or its default, in this order. All are validated before any port is
// opened.
//
//   std::string reason;
//   const auto settings = ReadSettings(flags, environment, reason);
//   if (!settings) { std::cerr << reason; return 2; }

#include "base/BootClock.h"
#include "base/EventLog.h"
#include "http/HttpTypes.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct Settings
{
  std::string hostName_;
  std::string region_;
  std::string failureDomain_;
  Address callers_;
  Address peers_;
  Address operators_;
  Address store_;
  Address hostList_;
  std::string operatorToken_;
  std::string peerToken_;
  LogFormat logFormat_ = LogFormat::Text;
  LogLevel logLevel_ = LogLevel::Info;
  // How long callers may use the response to a lookup.
  Duration lookupTtl_{};
  // How long a graceful shutdown waits for requests in flight.
  Duration drainLimit_{};
  // The memory that the process may use, in bytes.
  std::size_t memoryLimit_ = 0;
  // The most connections of callers.
  std::size_t maxConnections_ = 0;
};

// Describes one setting.
struct SettingInfo
{
  // Name of the flag, without the leading hyphens.
  std::string flag_;
  std::string variable_;
  // Empty for a required setting.
  std::string default_;
  std::string help_;
};

const std::vector<SettingInfo>&
SettingTable();

// Returns the value of a flag or variable, or nothing if it is not set.
using SettingSource =
  std::function<std::optional<std::string>(const std::string& aName)>;

// On an invalid setting, returns nothing and sets aReason to a one-line message
// about the first one.
std::optional<Settings>
ReadSettings(const SettingSource& aFlags,
             const SettingSource& aEnvironment,
             std::string& aReason);

}
