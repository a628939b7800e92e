// A simulated backend server for tests and the demonstration. It responds to
// each request with its own name and the request's path, and counts requests.
//
//   GET /seen         {"requests": 3, "keys_seen": 0, "runs": {"<key>": 1}}
//   GET /health       200, or 503 while leaving
//   GET /load         {"in_flight": 0, "slots": 3, "leaving": false}
//   POST /faults      {"delay_ms": 0, "shed": 0, "leaving": false}
//
// A request with the header X-Fake-Crash makes the process exit without a
// response. X-Fake-Delay-Ms delays the response.

#include "http/HttpServer.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

using namespace peridotsail;
using nlohmann::json;

namespace {

constexpr char kUsage[] = R"(fake_backend: simulated backend server.

Usage:
  fake_backend --listen=<address> --name=<name> [--slots=<n>]

Options:
  --listen=<address>  IP address and port.
  --name=<name>       Name in the responses.
  --slots=<n>         Concurrent requests; more are shed [default: 3].
)";

class Backend
{
public:
  Backend(boost::asio::io_context& aContext, std::string aName, int aSlots)
    : context_(aContext)
    , name_(std::move(aName))
    , slots_(aSlots)
  {
  }

  void Handle(const HttpRequest& aRequest,
              const std::shared_ptr<HttpReply>& aReply)
  {
    const std::string path(PathOf(aRequest.target_));
    if (path == "/seen") {
      aReply->Send({ 200, {}, Seen().dump() });
    } else if (path == "/health") {
      aReply->Send({ leaving_ ? 503 : 200, {}, "" });
    } else if (path == "/load") {
      aReply->Send({ 200, {}, Load().dump() });
    } else if (path == "/faults") {
      SetFaults(aRequest.body_);
      aReply->Send({ 200, {}, "{}" });
    } else {
      Serve(aRequest, aReply);
    }
  }

private:
  json Seen() const
  {
    return { { "requests", requests_ },
             { "keys_seen", keysSeen_ },
             { "runs", runs_ } };
  }

  json Load() const
  {
    return { { "in_flight", inFlight_ },
             { "slots", slots_ },
             { "leaving", leaving_ } };
  }

  void SetFaults(const std::string& aBody)
  {
    const json body = json::parse(aBody, nullptr, false);
    if (body.is_object()) {
      delayMs_ = body.value("delay_ms", delayMs_);
      shed_ = body.value("shed", shed_);
      leaving_ = body.value("leaving", leaving_);
    }
  }

  void Serve(const HttpRequest& aRequest,
             const std::shared_ptr<HttpReply>& aReply)
  {
    if (FindHeader(aRequest.headers_, "Authorization") != nullptr) {
      ++keysSeen_;
    }
    if (shed_ > 0 || inFlight_ >= slots_) {
      shed_ = std::max(0, shed_ - 1);
      aReply->Send({ 503, { { "Execution-State", "not-run" } }, "shed" });
      return;
    }
    CountRun(aRequest);
    if (FindHeader(aRequest.headers_, "X-Fake-Crash") != nullptr) {
      std::_Exit(3);
    }
    ++inFlight_;
    int delayMs = delayMs_;
    if (const std::string* header =
          FindHeader(aRequest.headers_, "X-Fake-Delay-Ms")) {
      delayMs = std::atoi(header->c_str());
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(delayMs));
    timer->async_wait(
      [this, timer, aReply, body = MakeResponseBody(aRequest)](auto) {
        --inFlight_;
        aReply->Send({ 200, { { "Content-Type", "application/json" } }, body });
      });
  }

  void CountRun(const HttpRequest& aRequest)
  {
    ++requests_;
    if (const std::string* key =
          FindHeader(aRequest.headers_, "Idempotency-Key")) {
      ++runs_[*key];
    }
  }

  std::string MakeResponseBody(const HttpRequest& aRequest) const
  {
    return json{
      { "server", name_ },
      { "method", aRequest.method_ },
      { "target", aRequest.target_ },
      { "body_bytes", aRequest.body_.size() }
    }.dump();
  }

  boost::asio::io_context& context_;
  std::string name_;
  int slots_;
  int delayMs_ = 0;
  int shed_ = 0;
  bool leaving_ = false;
  int inFlight_ = 0;
  int requests_ = 0;
  int keysSeen_ = 0;
  std::map<std::string, int> runs_;
};

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
  Backend backend(context,
                  arguments.at("--name").asString(),
                  static_cast<int>(arguments.at("--slots").asLong()));
  HttpServerOptions options;
  options.maxBodyBytes_ = 64 << 20;
  HttpServer server(
    context, options, [&](const HttpRequest& aRequest, auto aReply) {
      backend.Handle(aRequest, aReply);
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
