#pragma once

// Settings of `peridotsail serve`. Each comes from its flag, else from its
// environment variable, else from its default. All are checked before any port
// is opened.
//
//   std::string reason;
//   std::optional<Settings> settings = ReadSettings(flags, environment,
//   reason); if (!settings) { std::cerr << reason; return 2; }

#include "base/BootClock.h"
#include "base/EventLog.h"
#include "http/HttpTypes.h"

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
  // Time for which callers may use the answer to a look-up.
  Duration lookupTtl_{};
  // Time that a planned stop waits for requests in flight.
  Duration drainLimit_{};
};

// One row of the settings table.
struct SettingInfo
{
  // Without the two hyphens.
  std::string flag_;
  std::string variable_;
  // Empty for a required setting.
  std::string default_;
  std::string help_;
};

const std::vector<SettingInfo>&
SettingTable();

// Looks up a flag or a variable; nothing when it is not set.
using SettingSource =
  std::function<std::optional<std::string>(const std::string& aName)>;

// Sets aReason to one line and returns nothing at the first fault.
std::optional<Settings>
ReadSettings(const SettingSource& aFlags,
             const SettingSource& aEnvironment,
             std::string& aReason);

}
