// A caller for tests and the demonstration. It looks up the hosts to use at an
// entry host, sends its request to the first one and tries the next one when a
// host does not respond.

#include "app/LookupCommand.h"
#include "http/HttpTypes.h"
#include "proxy/RequestPipeline.h"

#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

using namespace peridotsail;

namespace {

constexpr char kUsage[] = R"(fake_caller: a caller that follows look-ups.

Usage:
  fake_caller --host=<address> --path=<path> [--key=<key>] [--method=<method>]
              [--idempotency-key=<key>] [--body=<text>]

Options:
  --host=<address>          Any entry host, for the look-up.
  --path=<path>             Path of the request.
  --key=<key>               Key of the customer, <id>.<secret>.
  --method=<method>         HTTP method [default: GET].
  --idempotency-key=<key>   Name of a non-idempotent request.
  --body=<text>             Body of the request.
)";

using Arguments = std::map<std::string, docopt::value>;

std::optional<std::string>
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value.isString() ? std::optional(value.asString()) : std::nullopt;
}

HttpRequest
MakeRequest(const Arguments& aArguments)
{
  HttpRequest request;
  request.method_ = aArguments.at("--method").asString();
  request.target_ = aArguments.at("--path").asString();
  request.body_ = TextOf(aArguments, "--body").value_or("");
  if (const auto key = TextOf(aArguments, "--key")) {
    request.headers_.push_back({ "Authorization", "Bearer " + *key });
  }
  if (const auto key = TextOf(aArguments, "--idempotency-key")) {
    request.headers_.push_back({ "Idempotency-Key", *key });
  }
  return request;
}

}

int
main(int aArgc, char** aArgv)
{
  const Arguments arguments =
    docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  const auto lookupHost = ParseAddress(arguments.at("--host").asString());
  if (!lookupHost) {
    std::cerr << "--host: not an IP address with a port\n";
    return 2;
  }
  std::string reason;
  const auto lookup =
    CallAndWait(*lookupHost, { "GET", kLookupPath, {}, "" }, reason);
  if (!lookup || lookup->status_ != 200) {
    std::cerr << "lookup failed: " << reason << '\n';
    return 1;
  }
  const auto lookupResult =
    nlohmann::json::parse(lookup->body_, nullptr, false);
  for (const nlohmann::json& host : lookupResult["hosts"]) {
    const auto address = ParseAddress(host.value("address", ""));
    const auto response =
      address ? CallAndWait(*address, MakeRequest(arguments), reason)
              : std::nullopt;
    if (response) {
      std::cout << host.value("name", "") << ": " << response->status_ << ' '
                << response->body_ << '\n';
      return response->status_ < 400 ? 0 : 1;
    }
    std::cerr << host.value("name", "") << ": " << reason << '\n';
  }
  std::cerr << "no host responded\n";
  return 1;
}
