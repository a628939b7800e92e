#include "app/ConfigCommand.h"
#include "app/EntryHost.h"
#include "app/LookupCommand.h"
#include "app/Settings.h"
#include "platform/PlatformAdapter.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace peridotsail;

namespace {

constexpr char kVersion[] = "peridotsail 0.1.0";

// Exit codes.
constexpr int kFailure = 1;
constexpr int kInvalidArguments = 2;

// Limit of log lines below warning level for serve-platform. A host handles
// about 60 requests per second and logs two lines for each.
constexpr std::size_t kMaxLogLinesPerSecond = 400;

constexpr char kUsage[] = R"(peridotsail: global traffic steering.

Usage:
  peridotsail serve [options]
  peridotsail serve-platform [options]
  peridotsail lookup --host=<address> [--block=<block>] [--json]
  peridotsail config validate <file> [--json]
  peridotsail config (show | history | status) [options]
  peridotsail config diff <file> [options]
  peridotsail config apply <file> --expect=<version> [options]
  peridotsail config keys issue <customer> [options]
  peridotsail config keys withdraw <id> [options]
  peridotsail (-h | --help)
  peridotsail --version

Options:
  -h --help                   Show this text.
  --version                   Show the version.
  --host=<address>            IP address and port of an entry host.
  --block=<block>             Client block, such as 10.0.0.0/24.
  --json                      Print JSON.
  --expect=<version>          Version that the change is based on.
  --author=<name>             Name in the history of configurations.

The commands of config take --operators and --operator-token.

Each option of serve is also an environment variable: PERIDOTSAIL_ and the
flag's name in upper case with underscores.

serve-platform serves as an entry host on the members' platform. It logs JSON to
standard output and takes --settings, --log-format and --log-level.

Platform options:
  --settings=<file>           Settings file; by default the one that the
                              platform names in the environment.

Serve options:
  --name=<name>               Name of this host, as in the host list.
  --region=<name>             Region of this host.
  --failure-domain=<name>     Failure domain of this host.
  --callers=<address>         IP address and port for callers.
  --peers=<address>           IP address and port for other hosts.
  --operators=<address>       IP address and port for operators.
  --store=<address>           IP address and port of the key-value store.
  --host-list=<address>       IP address and port of the host list.
  --operator-token=<secret>   Secret of the operators, at least 8 bytes.
  --peer-token=<secret>       Secret shared by all hosts, at least 8 bytes.
  --log-format=<format>       text or json, text by default.
  --log-level=<level>         debug, info, warning or error; info by default.
  --lookup-ttl=<seconds>      Time to live of a look-up, 5 by default.
  --drain-limit=<seconds>     Wait for requests in flight, 60 by default.
  --memory-limit=<MB>         Memory that the process may use, 1024 by default.
  --max-connections=<number>  Connections of callers, 20000 by default; fewer if
                              memory or descriptors do not suffice.

Exit codes: 0 success, 1 failure, 2 invalid arguments or settings, 3 version
conflict, 4 invalid document, 5 withdrawal not yet committed.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const auto found = aArguments.find(aName);
  const bool set = found != aArguments.end() && found->second.isString();
  return set ? found->second.asString() : "";
}

// Returns the value of the flag or, if it is not set, of the environment
// variable.
std::string
FlagOrVariable(const Arguments& aArguments,
               const std::string& aFlag,
               const char* aVariable)
{
  const std::string text = TextOf(aArguments, aFlag);
  const char* variable = std::getenv(aVariable);
  return text.empty() && variable != nullptr ? variable : text;
}

int
RunConfigCommand(const Arguments& aArguments)
{
  ConfigArguments config;
  for (const char* action : { "validate",
                              "show",
                              "diff",
                              "apply",
                              "history",
                              "status",
                              "issue",
                              "withdraw" }) {
    if (aArguments.at(action).asBool()) {
      config.action_ = action;
    }
  }
  config.operators_ =
    FlagOrVariable(aArguments, "--operators", "PERIDOTSAIL_OPERATORS");
  config.operatorToken_ = FlagOrVariable(
    aArguments, "--operator-token", "PERIDOTSAIL_OPERATOR_TOKEN");
  config.author_ = FlagOrVariable(aArguments, "--author", "USER");
  config.file_ = TextOf(aArguments, "<file>");
  config.name_ = TextOf(aArguments, "<customer>") + TextOf(aArguments, "<id>");
  config.expect_ = TextOf(aArguments, "--expect");
  config.json_ = aArguments.at("--json").asBool();
  return RunConfig(config);
}

// Parses a non-empty text into the field. Returns false if it names no value.
template<typename T, typename Parse>
bool
SetFromName(const std::string& aText, Parse aParse, T& aField)
{
  if (aText.empty()) {
    return true;
  }
  const auto value = aParse(aText);
  if (value) {
    aField = *value;
  }
  return value.has_value();
}

int
RunServePlatform(const Arguments& aArguments)
{
  LogOptions log;
  log.format_ = LogFormat::Json;
  log.output_ = LogOutput::StandardOutput;
  log.maxLinesPerSecond_ = kMaxLogLinesPerSecond;
  const bool known =
    SetFromName(
      FlagOrVariable(aArguments, "--log-level", "PERIDOTSAIL_LOG_LEVEL"),
      LogLevelFromName,
      log.level_) &&
    SetFromName(
      FlagOrVariable(aArguments, "--log-format", "PERIDOTSAIL_LOG_FORMAT"),
      LogFormatFromName,
      log.format_);
  if (!known) {
    std::cerr << "peridotsail: unknown log level or format\n";
    return kInvalidArguments;
  }
  const std::string path =
    FlagOrVariable(aArguments, "--settings", kSettingsVariable);
  std::string reason;
  const auto settings = ReadPlatformSettings(path, reason);
  if (!settings) {
    std::cerr << "peridotsail: " << reason << '\n';
    return kInvalidArguments;
  }
  log.hostName_ = settings->gateway_.name_;
  StartLog(log);
  int code = kFailure;
  {
    Gateway gateway(settings->gateway_, MakePlatformAdapter(*settings, path));
    Error error;
    if (gateway.Start(error)) {
      code = gateway.Run();
    } else {
      std::cerr << "peridotsail: " << error.detail_ << '\n';
    }
  }
  StopLog();
  return code;
}

int
RunServe(const Arguments& aArguments)
{
  const SettingSource flags =
    [&](const std::string& aName) -> std::optional<std::string> {
    const auto found = aArguments.find("--" + aName);
    if (found == aArguments.end() || !found->second.isString()) {
      return std::nullopt;
    }
    return found->second.asString();
  };
  const SettingSource environment =
    [](const std::string& aName) -> std::optional<std::string> {
    const char* value = std::getenv(aName.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  std::string reason;
  const auto settings = ReadSettings(flags, environment, reason);
  if (!settings) {
    std::cerr << "peridotsail: " << reason << '\n';
    return kInvalidArguments;
  }
  StartLog({ settings->logFormat_, settings->logLevel_, settings->hostName_ });
  int code = kFailure;
  {
    EntryHost host(*settings);
    Error error;
    if (host.Start(error)) {
      code = host.Run();
    } else {
      std::cerr << "peridotsail: " << error.detail_ << '\n';
    }
  }
  StopLog();
  return code;
}

}

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> commandLine(aArgv + 1, aArgv + aArgc);
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, commandLine, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    return 0;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << "peridotsail: wrong arguments: " << error.what()
              << "; see peridotsail --help\n";
    return kInvalidArguments;
  }
  if (arguments.at("lookup").asBool()) {
    return RunLookup(TextOf(arguments, "--host"),
                     TextOf(arguments, "--block"),
                     arguments.at("--json").asBool());
  }
  if (arguments.at("serve-platform").asBool()) {
    return RunServePlatform(arguments);
  }
  if (arguments.at("config").asBool()) {
    return RunConfigCommand(arguments);
  }
  return RunServe(arguments);
}
