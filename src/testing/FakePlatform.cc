// A simulated platform for tests and the demonstration: the key-value store and
// the host list on one port, and paths under /admin/ to set their contents and
// inject faults.
//
//   POST /admin/faults {"outage": true, "delay_ms": 50, "lose_answers": 1}
//   POST /admin/hosts  {"service": "peridotsail", "list": {EndpointSliceList}}
//   POST /admin/config {"version": 1, "document": {...}}
//   GET  /admin/status

#include "http/HttpServer.h"
#include "testing/FakeStore.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

using namespace peridotsail;
using nlohmann::json;

namespace {

constexpr char kUsage[] =
  R"(fake_platform: simulated key-value store and host list.

Usage:
  fake_platform --listen=<address> [--config=<file>] [--hosts=<file>]

Options:
  --listen=<address>  IP address and port.
  --config=<file>     Configuration document for the store, as version 1.
  --hosts=<file>      EndpointSliceList of the entry hosts.
)";

class Platform
{
public:
  explicit Platform(boost::asio::io_context& aContext)
    : context_(aContext)
    , expiryTimer_(aContext)
  {
    ScheduleExpiry();
  }

  void Handle(const HttpRequest& aRequest,
              const std::shared_ptr<HttpReply>& aReply)
  {
    if (aRequest.target_.rfind("/admin/", 0) == 0) {
      aReply->Send(HandleAdmin(aRequest));
    } else if (outage_) {
      aReply->Abort();
    } else if (aRequest.target_ == "/v3/watch") {
      store_.StartWatch(aRequest, aReply);
    } else if (aRequest.target_.rfind("/apis/", 0) == 0) {
      aReply->Send(HandleHostList(aRequest));
    } else {
      RespondAfterDelay(store_.Handle(aRequest), aReply);
    }
  }

  void SetConfiguration(const json& aDocument)
  {
    const json envelope{ { "version", 1 },
                         { "attempt", "initial" },
                         { "author", "fake_platform" },
                         { "document", aDocument } };
    store_.Set("peridotsail/config", envelope.dump());
  }

  void SetHosts(const json& aList) { hostLists_["peridotsail"] = aList; }

private:
  HttpResponse HandleAdmin(const HttpRequest& aRequest)
  {
    if (aRequest.target_ == "/admin/status") {
      return { 200, {}, json{ { "store_calls", store_.Calls() } }.dump() };
    }
    const json body = json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      return { 400, {}, "malformed body" };
    }
    if (aRequest.target_ == "/admin/faults") {
      outage_ = body.value("outage", outage_);
      delayMs_ = body.value("delay_ms", delayMs_);
      responsesToLose_ = body.value("lose_answers", responsesToLose_);
      return { 200, {}, "{}" };
    }
    if (aRequest.target_ == "/admin/config") {
      store_.Set("peridotsail/config", aRequest.body_);
      return { 200, {}, "{}" };
    }
    if (aRequest.target_ == "/admin/hosts") {
      hostLists_[body.value("service", "")] =
        body.value("list", json::object());
      return { 200, {}, "{}" };
    }
    return { 404, {}, "" };
  }

  HttpResponse HandleHostList(const HttpRequest& aRequest)
  {
    const std::string selector =
      QueryParameter(aRequest.target_, "labelSelector").value_or("");
    const std::string service = selector.substr(selector.find('=') + 1);
    const auto found = hostLists_.find(service);
    const json list = found == hostLists_.end()
                        ? json{ { "items", json::array() } }
                        : found->second;
    return { 200, {}, list.dump() };
  }

  // Sends the response after the configured delay. To lose a response, closes
  // the connection instead; the call has taken effect by then.
  void RespondAfterDelay(HttpResponse aResponse,
                         const std::shared_ptr<HttpReply>& aReply)
  {
    if (responsesToLose_ > 0) {
      --responsesToLose_;
      aReply->Abort();
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(delayMs_));
    timer->async_wait([timer, aReply, response = std::move(aResponse)](auto) {
      aReply->Send(response);
    });
  }

  void ScheduleExpiry()
  {
    store_.ExpireLeases(BootClock::now());
    expiryTimer_.expires_after(std::chrono::milliseconds(100));
    expiryTimer_.async_wait([this](auto aError) {
      if (!aError) {
        ScheduleExpiry();
      }
    });
  }

  boost::asio::io_context& context_;
  boost::asio::steady_timer expiryTimer_;
  FakeStore store_;
  std::map<std::string, json> hostLists_;
  bool outage_ = false;
  int delayMs_ = 1;
  int responsesToLose_ = 0;
};

using Arguments = std::map<std::string, docopt::value>;

// Reads the JSON file that an argument names. Returns null if the argument is
// not given, and a discarded value if the file is not valid JSON.
json
ReadFile(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& path = aArguments.at(aName);
  if (!path.isString()) {
    return nullptr;
  }
  std::ifstream file(path.asString());
  return json::parse(file, nullptr, false);
}

bool
LoadFiles(const Arguments& aArguments, Platform& aPlatform)
{
  const json document = ReadFile(aArguments, "--config");
  const json hosts = ReadFile(aArguments, "--hosts");
  if (document.is_discarded() || hosts.is_discarded()) {
    std::cerr << "--config or --hosts: not a readable JSON file\n";
    return false;
  }
  if (!document.is_null()) {
    aPlatform.SetConfiguration(document);
  }
  if (!hosts.is_null()) {
    aPlatform.SetHosts(hosts);
  }
  return true;
}

}

int
main(int aArgc, char** aArgv)
{
  const auto arguments =
    docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  const auto address = ParseAddress(arguments.at("--listen").asString());
  if (!address) {
    std::cerr << "--listen: not an IP address with a port\n";
    return 2;
  }
  boost::asio::io_context context;
  Platform platform(context);
  if (!LoadFiles(arguments, platform)) {
    return 2;
  }
  HttpServer server(context, {}, [&](const HttpRequest& aRequest, auto aReply) {
    platform.Handle(aRequest, aReply);
  });
  Error error;
  if (!server.Listen(*address, error)) {
    std::cerr << error.detail_ << '\n';
    return 1;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
