// Measures the cost of the proxy: requests per second of CPU time of the
// traffic thread, and the latency added compared with a direct connection, in
// the same run. Prints the results and checks nothing but failed requests.

#include "base/EventLoopThread.h"
#include "http/BeastTypes.h"
#include "http/HttpServer.h"
#include "proxy/CallerServer.h"
#include "proxy/RequestPipeline.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <thread>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

constexpr int kWarmUp = 500;
constexpr int kSequential = 5000;
constexpr int kClients = 8;
constexpr int kRequestsPerClient = 5000;

Duration
ThreadCpuTime()
{
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return std::chrono::seconds(value.tv_sec) +
         std::chrono::nanoseconds(value.tv_nsec);
}

// A caller with one persistent connection.
class Client
{
public:
  explicit Client(std::uint16_t aPort)
    : socket_(context_)
  {
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort });
    socket_.set_option(tcp::no_delay(true));
  }

  bool Call(const std::string& aTarget)
  {
    http::request<http::empty_body> request(http::verb::get, aTarget, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::authorization, "Bearer k1.secret");
    http::write(socket_, request);
    http::response<http::string_body> response;
    http::read(socket_, buffer_, response);
    return response.result_int() == 200;
  }

private:
  asio::io_context context_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
};

PipelineHooks
MakeHooks(const std::string& aBackend)
{
  auto configuration = std::make_shared<Configuration>();
  RouteConfig route;
  route.name_ = "read";
  route.prefix_ = "/read";
  route.pool_ = "inbox";
  configuration->routes_ = { route };
  BackendServerConfig server;
  server.name_ = "s1";
  server.address_ = aBackend;
  PipelineHooks hooks;
  hooks.configuration_ = [configuration] { return configuration; };
  hooks.lookup_ = [](const std::string&) {
    return R"({"ttl_seconds":5,"config_version":1,"hosts":[]})";
  };
  hooks.authenticate_ = [](const std::string*, Error&) {
    return std::optional<std::string>("school");
  };
  hooks.admit_ = [](const std::string&) { return std::optional<Refusal>(); };
  hooks.chooseServer_ = [server](const ServerQuery&, const auto& aCallback) {
    ServerChoice choice;
    choice.server_ = server;
    aCallback(choice);
  };
  hooks.onExchange_ = [](const ServerQuery&,
                         const BackendServerConfig&,
                         const ExchangeResult&) {};
  hooks.chooseRelay_ = [](const ServerQuery&) {
    return std::optional<RelayTarget>();
  };
  hooks.mayRetry_ = [](const ServerQuery&, const ExchangeResult&) {
    return true;
  };
  return hooks;
}

Duration
MedianLatency(std::uint16_t aPort, const std::string& aTarget)
{
  Client client(aPort);
  for (int i = 0; i < kWarmUp; ++i) {
    client.Call(aTarget);
  }
  std::vector<Duration> latencies;
  latencies.reserve(kSequential);
  for (int i = 0; i < kSequential; ++i) {
    const TimePoint start = BootClock::now();
    client.Call(aTarget);
    latencies.push_back(BootClock::now() - start);
  }
  std::nth_element(
    latencies.begin(), latencies.begin() + kSequential / 2, latencies.end());
  return latencies[kSequential / 2];
}

// Adds the number of failed requests to aFailed.
double
RequestsPerCpuSecond(EventLoopThread& aTraffic,
                     std::uint16_t aPort,
                     const std::string& aTarget,
                     int& aFailed)
{
  Duration before{};
  Duration after{};
  aTraffic.RunAndWait([&] { before = ThreadCpuTime(); });
  std::vector<std::thread> threads;
  std::atomic<int> failed{ 0 };
  threads.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&] {
      Client client(aPort);
      for (int n = 0; n < kRequestsPerClient; ++n) {
        failed += client.Call(aTarget) ? 0 : 1;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  aTraffic.RunAndWait([&] { after = ThreadCpuTime(); });
  aFailed += failed;
  return kClients * kRequestsPerClient / ToSeconds(after - before);
}

}

int
main()
{
  Metrics metrics;
  EventLoopThread backend("backend", 16);
  EventLoopThread traffic("traffic", 16);
  HttpServer server(backend.Context(), {}, [](const HttpRequest&, auto aReply) {
    aReply->Send({ 200, {}, "a small answer" });
  });
  Error error;
  if (!server.Listen({ "127.0.0.1", 0 }, error)) {
    return 1;
  }
  RelayNode relays(traffic.Context(), {});
  RequestPipeline pipeline(
    traffic.Context(),
    {},
    MakeHooks("127.0.0.1:" + std::to_string(server.Port())),
    relays,
    metrics);
  CallerServerOptions options;
  options.listen_ = { "127.0.0.1", 0 };
  CallerServer callers(
    traffic.Context(), options, [&](IncomingRequestPtr aRequest) {
      pipeline.Handle(std::move(aRequest));
    });
  if (!callers.Listen(error)) {
    return 1;
  }
  backend.Start();
  traffic.Start();

  const Duration direct = MedianLatency(server.Port(), "/read");
  const Duration proxied = MedianLatency(callers.Port(), "/read");
  const auto micros = [](Duration aDuration) {
    return ToSeconds(aDuration) * 1e6;
  };
  std::printf("median latency: direct %.1f us, proxied %.1f us, added %.1f us "
              "(aim: under 150)\n",
              micros(direct),
              micros(proxied),
              micros(proxied - direct));
  int failed = 0;
  const double requests =
    RequestsPerCpuSecond(traffic, callers.Port(), "/read", failed);
  const double lookups = RequestsPerCpuSecond(
    traffic, callers.Port(), std::string(kLookupPath) + "?block=b", failed);
  std::printf("proxied requests a second of processor time: %.0f "
              "(aim: over 15000)\n",
              requests);
  std::printf("HTTP look-ups a second of processor time: %.0f\n", lookups);
  std::printf("failed: %d\n", failed);
  traffic.Stop();
  backend.Stop();
  return failed == 0 ? 0 : 1;
}
