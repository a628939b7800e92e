#pragma once

// An entry host on the members' platform. Forwards callers' requests to backend
// servers according to the configuration and the registrations in the
// platform's store.
//
//   Gateway gateway(settings, adapter);
//   Error error;
//   if (!gateway.Start(error)) { ... }
//   return gateway.Run();
//
// One thread handles the traffic, one communicates with the store, and the
// calling thread waits for signals.

#include "base/ErrorKind.h"
#include "gateway/ControlLoop.h"
#include "gateway/GatewayHeaders.h"
#include "gateway/ReadReport.h"
#include "http/HttpTypes.h"
#include "memory/MemoryAccount.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// Limits that the platform sets for the whole fleet.
struct FleetBounds
{
  // A withdrawn key must not be accepted for longer than this after the
  // withdrawal.
  Duration keyWithdrawal_ = std::chrono::seconds(5);
  // A change in the store must take effect at each host within this time.
  Duration maxChangeDelay_ = std::chrono::milliseconds(2500);
  // The time from SIGTERM to SIGKILL.
  Duration grace_ = std::chrono::seconds(6);
  double retryRatio_ = 0.2;
  double retrySlack_ = 64;
  // In any window of this length, all hosts together admit at most the
  // customer's rate times the window plus its burst, plus this overage and
  // slack.
  Duration allowanceWindow_ = std::chrono::seconds(5);
  double allowanceOverage_ = 0.1;
  double allowanceSlack_ = 20;
  double coldOverage_ = 1.5;
  double coldSlack_ = 5;
  // The longest time for which callers may cache a list of hosts.
  Duration lookupTtl_ = std::chrono::seconds(5);
  Duration minLeaseTtl_ = std::chrono::seconds(1);
  // The part of a region's requests that may change the region in which they
  // run from one window of two seconds to the next; zero: no bound is stated.
  double maxRegionShift_ = 0;
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
  // Where other hosts send datagrams about allowances and connect to follow the
  // view. A host without it does both only for itself.
  std::optional<Address> peers_;
  std::size_t maxDescriptors_ = 1024;
  // The memory that the process may use.
  std::size_t memoryBytes_ = MemoryOptions().machineBytes_;
  // The bandwidth of the host's link in Mbit/s; 0 if not known.
  double linkMbps_ = 0;
  FleetBounds bounds_;
};

// The parts of the gateway that depend on the platform's protocol.
struct GatewayAdapter
{
  GatewayHeaders headers_;
  ControlCodec codec_;
  // Creates the client of the store on the control thread's io_context. The
  // client calls the hook after each read.
  std::function<std::unique_ptr<KvStore>(boost::asio::io_context&, ReadHook)>
    makeStore_;
  // Returns whether a request is a readiness probe.
  std::function<bool(const HttpRequest&)> isReadinessRequest_;
  // Returns the caller's region when the request is a lookup of hosts, or
  // nothing.
  std::function<std::optional<std::string>(const HttpRequest&)> lookupRegion_;
  std::function<std::string(const std::vector<std::string>& aAddresses,
                            Duration aTtl)>
    encodeHosts_;
  // The path of the metrics page.
  std::string metricsPath_;
  // Reads the settings file again. Returns nothing and sets aReason when it
  // cannot be used.
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
  // Serves until SIGTERM and returns the exit code. SIGTERM starts a graceful
  // shutdown; SIGHUP reads the settings again.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
