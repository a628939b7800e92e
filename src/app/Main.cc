#include "app/EntryHost.h"
#include "app/LookupCommand.h"
#include "app/Settings.h"

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
constexpr int kWrongArguments = 2;

constexpr char kUsage[] = R"(peridotsail: global traffic steering.

Usage:
  peridotsail serve [options]
  peridotsail lookup --host=<address> [--block=<block>] [--json]
  peridotsail (-h | --help)
  peridotsail --version

Options:
  -h --help                   Show this text.
  --version                   Show the version.
  --host=<address>            IP address and port of an entry host.
  --block=<block>             Client block, such as 10.0.0.0/24.
  --json                      Print JSON.

Each option of serve is also an environment variable: PERIDOTSAIL_ and the
flag's name in upper case with underscores.

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
  --lookup-ttl=<seconds>      Life of a look-up's answer, 5 by default.
  --drain-limit=<seconds>     Wait for requests in flight, 60 by default.

Exit codes: 0 success, 1 failure, 2 wrong arguments or settings.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const auto found = aArguments.find(aName);
  const bool set = found != aArguments.end() && found->second.isString();
  return set ? found->second.asString() : "";
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
    return kWrongArguments;
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
  const std::vector<std::string> words(aArgv + 1, aArgv + aArgc);
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, words, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    return 0;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << "peridotsail: wrong arguments: " << error.what()
              << "; see peridotsail --help\n";
    return kWrongArguments;
  }
  if (arguments.at("lookup").asBool()) {
    return RunLookup(TextOf(arguments, "--host"),
                     TextOf(arguments, "--block"),
                     arguments.at("--json").asBool());
  }
  return RunServe(arguments);
}
