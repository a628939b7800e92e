#pragma once

// An entry host on the members' platform: callers' requests go to backend
// servers, under the configuration and the registrations in the platform's
// store.
//
//   Gateway gateway(settings, adapter);
//   Error error;
//   if (!gateway.Start(error)) { ... }
//   return gateway.Run();
//
// One thread carries the traffic, one speaks with the store, and the calling
// thread waits for signals.

#include "base/ErrorKind.h"
#include "gateway/ControlLoop.h"
#include "gateway/GatewayHeaders.h"
#include "http/HttpTypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// The limits that the platform sets for the whole fleet.
struct FleetBounds
{
  // A withdrawn key must not be used longer than this after the withdrawal.
  Duration keyWithdrawal_ = std::chrono::seconds(5);
  // From SIGTERM to SIGKILL.
  Duration grace_ = std::chrono::seconds(6);
  double retryRatio_ = 0.2;
  double retrySlack_ = 64;
  // Any window of this length has at most a customer's rate times window plus
  // burst, and this many requests more over all hosts.
  Duration allowanceWindow_ = std::chrono::seconds(5);
  double allowanceOverage_ = 0.1;
  double allowanceSlack_ = 20;
  double coldOverage_ = 1.5;
  double coldSlack_ = 5;
  // The longest time for which callers use an answer about hosts.
  Duration lookupTtl_ = std::chrono::seconds(5);
  Duration minLeaseTtl_ = std::chrono::seconds(1);
};

struct GatewaySettings
{
  std::string name_;
  std::string region_;
  std::string failureDomain_;
  // The region of each failure domain.
  std::map<std::string, std::string> regions_;
  Address callers_;
  Address readiness_;
  Address directory_;
  std::optional<Address> metrics_;
  // For other hosts: datagrams about allowances and connections that follow the
  // view. A host without it does both for itself alone.
  std::optional<Address> peers_;
  std::size_t maxDescriptors_ = 1024;
  FleetBounds bounds_;
};

// What the gateway needs to know of the platform's spelling.
struct GatewayAdapter
{
  GatewayHeaders headers_;
  ControlCodec codec_;
  // Makes the client of the store on the control thread's context.
  std::function<std::unique_ptr<KvStore>(boost::asio::io_context&)> makeStore_;
  // Whether a request asks if this host is ready.
  std::function<bool(const HttpRequest&)> isReadinessRequest_;
  // The region of a caller that asks for hosts; nothing for another request.
  std::function<std::optional<std::string>(const HttpRequest&)> lookupRegion_;
  std::function<std::string(const std::vector<std::string>& aAddresses,
                            Duration aLife)>
    encodeHosts_;
  // The path of the metrics page.
  std::string metricsPath_;
  // Reads the settings file again; a reason when it cannot be used.
  std::function<std::optional<GatewaySettings>(std::string& aReason)>
    readSettings_;
};

class Gateway
{
public:
  Gateway(GatewaySettings aSettings, GatewayAdapter aAdapter);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  bool Start(Error& aError);
  // Serves until SIGTERM and returns the exit code. SIGTERM begins a graceful
  // shutdown; SIGHUP reads the settings again.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
