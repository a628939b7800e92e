#include "app/Settings.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace peridotsail {

namespace {

constexpr std::size_t kMinTokenBytes = 8;
constexpr unsigned kMaxSeconds = 3600;
constexpr unsigned kMinMemoryMb = 64;
constexpr unsigned kMaxMemoryMb = 1'000'000;
constexpr unsigned kMinConnections = 10;
constexpr unsigned kMaxConnections = 1'000'000;
constexpr std::size_t kBytesPerMb = 1'000'000;

const std::vector<SettingInfo> kSettingTable{
  { "name", "PERIDOTSAIL_NAME", "", "Name of this host, as in the host list." },
  { "region", "PERIDOTSAIL_REGION", "", "Region of this host." },
  { "failure-domain",
    "PERIDOTSAIL_FAILURE_DOMAIN",
    "",
    "Failure domain of this host." },
  { "callers", "PERIDOTSAIL_CALLERS", "", "IP address and port for callers." },
  { "peers", "PERIDOTSAIL_PEERS", "", "IP address and port for other hosts." },
  { "operators",
    "PERIDOTSAIL_OPERATORS",
    "",
    "IP address and port for operators and monitoring." },
  { "store",
    "PERIDOTSAIL_STORE",
    "",
    "IP address and port of the key-value store." },
  { "host-list",
    "PERIDOTSAIL_HOST_LIST",
    "",
    "IP address and port of the platform's host list." },
  { "operator-token",
    "PERIDOTSAIL_OPERATOR_TOKEN",
    "",
    "Secret of the operators, at least 8 bytes." },
  { "peer-token",
    "PERIDOTSAIL_PEER_TOKEN",
    "",
    "Secret shared by all hosts, at least 8 bytes." },
  { "log-format", "PERIDOTSAIL_LOG_FORMAT", "text", "text or json." },
  { "log-level",
    "PERIDOTSAIL_LOG_LEVEL",
    "info",
    "debug, info, warning or error." },
  { "lookup-ttl",
    "PERIDOTSAIL_LOOKUP_TTL",
    "5",
    "Seconds for which callers may use a look-up's answer." },
  { "drain-limit",
    "PERIDOTSAIL_DRAIN_LIMIT",
    "60",
    "Seconds that a planned stop waits for requests in flight." },
  { "memory-limit",
    "PERIDOTSAIL_MEMORY_LIMIT",
    "1024",
    "Memory that the process may use, in MB." },
  { "max-connections",
    "PERIDOTSAIL_MAX_CONNECTIONS",
    "20000",
    "Connections of callers; fewer if memory or descriptors do not suffice." },
};

// Reads and validates settings. Keeps the first fault.
class SettingsReader
{
public:
  SettingsReader(const SettingSource& aFlags, const SettingSource& aEnvironment)
    : flags_(aFlags)
    , environment_(aEnvironment)
  {
  }

  std::string Text(const std::string& aFlag)
  {
    const SettingInfo& info = FindInfo(aFlag);
    std::optional<std::string> value = flags_(info.flag_);
    if (!value) {
      value = environment_(info.variable_);
    }
    if (!value && !info.default_.empty()) {
      value = info.default_;
    }
    if (!value || value->empty()) {
      RecordFault(aFlag, "is missing");
      return "";
    }
    return *value;
  }

  std::string Name(const std::string& aFlag)
  {
    std::string text = Text(aFlag);
    const bool valid =
      text.size() <= 100 &&
      text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                             "0123456789._-") == std::string::npos;
    if (!valid) {
      RecordFault(aFlag, "is not a name of letters, digits, '.', '_' or '-'");
    }
    return text;
  }

  Address IpAddress(const std::string& aFlag)
  {
    const auto address = ParseAddress(Text(aFlag));
    if (!address) {
      RecordFault(aFlag, "is not an IP address with a port");
    }
    return address.value_or(Address());
  }

  std::string Token(const std::string& aFlag)
  {
    std::string text = Text(aFlag);
    if (text.size() < kMinTokenBytes) {
      RecordFault(aFlag, "is shorter than 8 bytes");
    }
    return text;
  }

  Duration Seconds(const std::string& aFlag)
  {
    return std::chrono::seconds(
      Number(aFlag, "whole number of seconds", 0, kMaxSeconds));
  }

  unsigned Number(const std::string& aFlag,
                  const std::string& aWhat,
                  unsigned aMin,
                  unsigned aMax)
  {
    const std::string text = Text(aFlag);
    unsigned number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < aMin ||
        number > aMax) {
      RecordFault(aFlag,
                  "is not a " + aWhat + " from " + std::to_string(aMin) +
                    " to " + std::to_string(aMax));
    }
    return number;
  }

  template<typename T>
  T Choice(const std::string& aFlag,
           std::optional<T> (*aParse)(std::string_view))
  {
    const std::optional<T> value = aParse(Text(aFlag));
    if (!value) {
      RecordFault(aFlag, "is not one of the allowed words");
    }
    return value.value_or(T());
  }

  const std::string& FirstFault() const { return fault_; }

private:
  static const SettingInfo& FindInfo(const std::string& aFlag)
  {
    return *std::find_if(
      kSettingTable.begin(),
      kSettingTable.end(),
      [&](const SettingInfo& aInfo) { return aInfo.flag_ == aFlag; });
  }

  void RecordFault(const std::string& aFlag, const std::string& aMessage)
  {
    if (fault_.empty()) {
      fault_ =
        "--" + aFlag + " (" + FindInfo(aFlag).variable_ + ") " + aMessage;
    }
  }

  const SettingSource& flags_;
  const SettingSource& environment_;
  std::string fault_;
};

}

const std::vector<SettingInfo>&
SettingTable()
{
  return kSettingTable;
}

std::optional<Settings>
ReadSettings(const SettingSource& aFlags,
             const SettingSource& aEnvironment,
             std::string& aReason)
{
  SettingsReader reader(aFlags, aEnvironment);
  Settings settings;
  settings.hostName_ = reader.Name("name");
  settings.region_ = reader.Name("region");
  settings.failureDomain_ = reader.Name("failure-domain");
  settings.callers_ = reader.IpAddress("callers");
  settings.peers_ = reader.IpAddress("peers");
  settings.operators_ = reader.IpAddress("operators");
  settings.store_ = reader.IpAddress("store");
  settings.hostList_ = reader.IpAddress("host-list");
  settings.operatorToken_ = reader.Token("operator-token");
  settings.peerToken_ = reader.Token("peer-token");
  settings.logFormat_ =
    reader.Choice<LogFormat>("log-format", LogFormatFromName);
  settings.logLevel_ = reader.Choice<LogLevel>("log-level", LogLevelFromName);
  settings.lookupTtl_ = reader.Seconds("lookup-ttl");
  settings.drainLimit_ = reader.Seconds("drain-limit");
  settings.memoryLimit_ = kBytesPerMb * reader.Number("memory-limit",
                                                      "whole number of MB",
                                                      kMinMemoryMb,
                                                      kMaxMemoryMb);
  settings.maxConnections_ = reader.Number(
    "max-connections", "whole number", kMinConnections, kMaxConnections);
  if (!reader.FirstFault().empty()) {
    aReason = reader.FirstFault();
    return std::nullopt;
  }
  return settings;
}

}
