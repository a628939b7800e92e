#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "proxy/CallerServer.h"
#include "proxy/RequestPipeline.h"
#include "proxy/testing/ServerSelector.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace peridotsail;

namespace {

constexpr std::chrono::seconds kTestTimeout(60);

std::shared_ptr<Configuration>
MakeConfiguration(const std::vector<std::string>& aServers)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->regions_ = { { "north", { "north-a" }, 1, 0 } };
  configuration->pools_ = { { "inbox" } };
  for (const std::string& address : aServers) {
    BackendServerConfig server;
    server.name_ = "s" + std::to_string(configuration->backendServers_.size());
    server.pool_ = "inbox";
    server.region_ = "north";
    server.address_ = address;
    configuration->backendServers_.push_back(server);
  }
  RouteConfig read;
  read.name_ = "read";
  read.prefix_ = "/read";
  read.methods_ = { "GET", "PUT" };
  read.pool_ = "inbox";
  read.maxBodyBytes_ = 1000;
  RouteConfig order = read;
  order.name_ = "order";
  order.prefix_ = "/order";
  order.methods_ = { "POST" };
  order.idempotent_ = false;
  configuration->routes_ = { read, order };
  return configuration;
}

// The request path of an entry host without peers, and two backend servers, on
// one io_context.
class Fixture
{
public:
  Fixture()
    : first_(context_, {}, Serve(0))
    , second_(context_, {}, Serve(1))
    , relays_(context_, {})
    , selector_("north")
    , pipeline_(context_, {}, Hooks(), relays_, metrics_)
    , callers_(context_,
               CallerOptions(),
               [this](IncomingRequestPtr aRequest) {
                 pipeline_.Handle(std::move(aRequest));
               })
    , client_(context_, {})
  {
    Error error;
    REQUIRE(first_.Listen({ "127.0.0.1", 0 }, error));
    REQUIRE(second_.Listen({ "127.0.0.1", 0 }, error));
    REQUIRE(callers_.Listen(error));
    configuration_ =
      MakeConfiguration({ AddressOf(first_), AddressOf(second_) });
  }

  HttpServer::Handler Serve(std::size_t aIndex)
  {
    return [this, aIndex](const HttpRequest& aRequest, auto aReply) {
      seen_[aIndex].push_back(aRequest);
      if (behavior_[aIndex] == "die") {
        aReply->Abort();
      } else if (behavior_[aIndex] == "shed") {
        aReply->Send({ 503, { { "Execution-State", "not-run" } }, "" });
      } else if (behavior_[aIndex] == "silent") {
        held_.push_back(aReply);
      } else {
        aReply->Send({ 200,
                       { { "X-Server", std::to_string(aIndex) } },
                       aRequest.body_ + "!" });
      }
    };
  }

  static CallerServerOptions CallerOptions()
  {
    CallerServerOptions options;
    options.listen_ = { "127.0.0.1", 0 };
    return options;
  }

  static std::string AddressOf(const HttpServer& aServer)
  {
    return "127.0.0.1:" + std::to_string(aServer.Port());
  }

  PipelineHooks Hooks()
  {
    PipelineHooks hooks;
    hooks.configuration_ = [this] { return configuration_; };
    hooks.lookup_ = [](const std::string& aBlock) {
      return "{\"block\":\"" + aBlock + "\"}";
    };
    hooks.authenticate_ = [](const std::string* aKey,
                             Error& aError) -> std::optional<std::string> {
      if (aKey != nullptr && *aKey == "Bearer good") {
        return "school";
      }
      aError = { ErrorKind::Unauthenticated, "" };
      return std::nullopt;
    };
    hooks.admit_ = [this](const std::string&) -> std::optional<Refusal> {
      return tokens_-- > 0
               ? std::nullopt
               : std::optional(MakeRefusal(ErrorKind::RateExceeded));
    };
    hooks.chooseServer_ = [this](const ServerQuery& aQuery,
                                 const auto& aCallback) {
      ServerChoice choice;
      choice.server_ = selector_.Choose(*aQuery.configuration_,
                                        aQuery.route_->pool_,
                                        aQuery.tried_,
                                        BootClock::now());
      choice.refusal_ = MakeRefusal(ErrorKind::NoBackendServer);
      aCallback(choice);
    };
    hooks.onExchange_ = [this](const ServerQuery&,
                               const BackendServerConfig& aServer,
                               const ExchangeResult& aResult) {
      selector_.OnExchange(aServer, aResult, BootClock::now());
    };
    hooks.chooseRelay_ = [](const ServerQuery&) { return std::nullopt; };
    hooks.mayRetry_ = [](const ServerQuery&, const ExchangeResult&) {
      return true;
    };
    hooks.atMostOnce_ = [this] { return once_.get(); };
    return hooks;
  }

  // Makes this host the holder of the only slot, with a store that accepts
  // every write.
  void HoldSlot()
  {
    ClaimStoreHooks store;
    store.perform_ = [this](const SlotLeaseTerm&,
                            const StoreOperation& aOperation,
                            const ClaimStoreHooks::Answer& aAnswer) {
      const std::uint64_t id = aOperation.id_;
      boost::asio::post(context_, [aAnswer, id] {
        aAnswer({ id, StoreAnswerKind::Written, "" });
      });
    };
    store.load_ = [](const std::string&,
                     const ClaimStoreHooks::Loaded& aLoaded) {
      aLoaded(std::vector<LoadedRecord>());
    };
    ClaimRegistryOptions options;
    options.commit_.minimumInterval_ = Duration::zero();
    once_ = std::make_unique<AtMostOnceService>(options, store);
    SlotLeaseTerm leaseTerm;
    leaseTerm.slot_ = "north/0";
    leaseTerm.epoch_ = 1;
    leaseTerm.validUntil_ = BootClock::now() + std::chrono::hours(1);
    leaseTerm.predecessorMayHaveContinued_ = false;
    once_->SetSlots({ "north/0" }, BootClock::now());
    once_->SetLeaseTerm(leaseTerm, false, BootClock::now());
  }

  HttpResponse Call(const HttpRequest& aRequest)
  {
    std::optional<HttpResponse> response;
    client_.Call({ "127.0.0.1", callers_.Port() },
                 aRequest,
                 kTestTimeout,
                 [&](auto aResponse, const Error& aError) {
                   INFO(aError.detail_);
                   REQUIRE(aResponse);
                   response = aResponse;
                 });
    context_.restart();
    while (!response && context_.run_one_for(kTestTimeout) > 0) {
    }
    REQUIRE(response);
    return *response;
  }

  // Must outlive the handlers that are destroyed with the io_context.
  Metrics metrics_;
  boost::asio::io_context context_;
  std::unique_ptr<AtMostOnceService> once_;
  std::vector<HttpRequest> seen_[2];
  std::string behavior_[2];
  // Replies that are never sent.
  std::vector<std::shared_ptr<HttpReply>> held_;
  int tokens_ = 1000;
  ConfigurationPtr configuration_;
  HttpServer first_;
  HttpServer second_;
  RelayNode relays_;
  ServerSelector selector_;
  RequestPipeline pipeline_;
  CallerServer callers_;
  HttpClient client_;
};

HttpRequest
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            HttpHeaders aHeaders = {},
            std::string aBody = "")
{
  aHeaders.push_back({ "Authorization", "Bearer good" });
  return { aMethod, aTarget, std::move(aHeaders), std::move(aBody) };
}

}

// Guards against forwarding a part of a response as a complete one: a backend
// server that ends its response before it has got the whole request may have
// failed. Guards against forwarding a status that is not one of HTTP.
TEST_CASE("an incomplete or invalid response is not forwarded as complete")
{
  using tcp = boost::asio::ip::tcp;
  struct Row
  {
    const char* name_;
    const char* response_;
    std::size_t sentBodyBytes_;
    bool complete_;
    const char* status_;
  };
  const char* open = "HTTP/1.1 200 OK\r\n\r\npart";
  const Row rows[] = {
    { "no length, after the request", open, 10, true, "200" },
    { "no length, during the request", open, 4, false, "200" },
    { "status 000", "HTTP/1.1 000 No\r\n\r\npart", 10, true, "502" },
    { "status 600", "HTTP/1.1 600 No\r\n\r\npart", 10, true, "502" },
    { "status 101", "HTTP/1.1 101 No\r\n\r\n", 10, true, "502" },
    { "hints first",
      "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart",
      10,
      true,
      "200" },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    Fixture host;
    tcp::acceptor acceptor(host.context_,
                           { boost::asio::ip::make_address("127.0.0.1"), 0 });
    host.configuration_ = MakeConfiguration(
      { "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) });
    tcp::socket server(host.context_);
    std::string request;
    acceptor.async_accept(server, [&](boost::system::error_code) {
      boost::asio::async_read_until(
        server,
        boost::asio::dynamic_buffer(request),
        "\r\n\r\n" + std::string(row.sentBodyBytes_, 'b'),
        [&](boost::system::error_code aError, std::size_t) {
          boost::asio::write(
            server, boost::asio::buffer(std::string(row.response_)), aError);
          server.shutdown(tcp::socket::shutdown_send, aError);
        });
    });
    tcp::socket caller(host.context_);
    caller.connect(
      { boost::asio::ip::make_address("127.0.0.1"), host.callers_.Port() });
    boost::asio::write(
      caller,
      boost::asio::buffer(
        "POST /order HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
        "Authorization: Bearer good\r\nConnection: close\r\n"
        "Content-Length: 10\r\n\r\n" +
        std::string(row.sentBodyBytes_, 'b')));
    std::string response;
    bool ended = false;
    boost::asio::async_read(
      caller,
      boost::asio::dynamic_buffer(response),
      [&](boost::system::error_code, std::size_t) { ended = true; });
    while (!ended && host.context_.run_one_for(kTestTimeout) > 0) {
    }
    CHECK(response.substr(0, 12) == std::string("HTTP/1.1 ") + row.status_);
    const std::string end = "0\r\n\r\n";
    const bool length = response.find("Content-Length") != std::string::npos;
    const bool lastChunk =
      response.size() >= end.size() &&
      response.compare(response.size() - end.size(), end.size(), end) == 0;
    CHECK((length || lastChunk) == row.complete_);
  }
}

// Checks invariant 3: no backend server sees the key.
TEST_CASE("a response is complete and the key is not forwarded")
{
  Fixture host;
  const HttpResponse response = host.Call(MakeRequest(
    "PUT",
    "/read/1",
    { { "Connection", "X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" } },
    "body"));
  CHECK(response.status_ == 200);
  CHECK(response.body_ == "body!");
  REQUIRE(host.seen_[0].size() == 1);
  const HttpHeaders& headers = host.seen_[0][0].headers_;
  CHECK(FindHeader(headers, "Authorization") == nullptr);
  CHECK(FindHeader(headers, "X-Hop") == nullptr);
  CHECK(FindHeader(headers, "X-Kept") != nullptr);
  CHECK(FindHeader(headers, "Request-Timeout") != nullptr);
}

// A request that was refused with "not-run" must not have reached a backend
// server.
TEST_CASE("requests that fail a check are refused as not run")
{
  struct Row
  {
    HttpRequest request_;
    int status_;
    const char* kind_;
  };
  const Row rows[] = {
    { { "GET", "/read", {}, "" }, 401, "unauthenticated" },
    { { "GET", "/read", { { "Authorization", "Bearer bad" } }, "" },
      401,
      "unauthenticated" },
    { MakeRequest("GET", "/nothing"), 404, "route-not-found" },
    { MakeRequest("DELETE", "/read"), 405, "method-not-allowed" },
    { MakeRequest("PUT", "/read", {}, std::string(2000, 'a')),
      413,
      "body-too-large" },
    { MakeRequest("POST", "/order"), 400, "idempotency-key-required" },
    { MakeRequest("GET", "/read", { { "X-Large", std::string(20000, 'a') } }),
      431,
      "header-too-large" },
  };
  for (const Row& row : rows) {
    INFO(row.kind_);
    Fixture host;
    const HttpResponse response = host.Call(row.request_);
    CHECK(response.status_ == row.status_);
    const auto body = nlohmann::json::parse(response.body_);
    CHECK(body["kind"] == row.kind_);
    CHECK(body["execution"] == "not-run");
    CHECK(host.seen_[0].empty());
  }
}

TEST_CASE("a request above the rate is refused with Retry-After")
{
  Fixture host;
  host.tokens_ = 0;
  const HttpResponse response = host.Call(MakeRequest("GET", "/read"));
  CHECK(response.status_ == 429);
  CHECK(FindHeader(response.headers_, "Retry-After") != nullptr);
}

// A request may be retried only if it is idempotent or known not to have been
// executed. Otherwise the response must report what is known.
TEST_CASE("retries depend on what is known about the execution")
{
  struct Row
  {
    const char* first_;
    const char* method_;
    const char* target_;
    int status_;
    const char* execution_;
  };
  const Row rows[] = {
    { "die", "GET", "/read", 200, nullptr },
    { "shed", "GET", "/read", 200, nullptr },
    { "shed", "POST", "/order", 200, nullptr },
    { "die", "POST", "/order", 502, "unknown" },
    { "silent", "GET", "/read", 504, "unknown" },
  };
  for (const Row& row : rows) {
    INFO(row.first_ << ' ' << row.method_);
    Fixture host;
    host.behavior_[0] = row.first_;
    const HttpResponse response = host.Call(MakeRequest(
      row.method_,
      row.target_,
      { { "Idempotency-Key", "k" },
        { "Request-Timeout", row.status_ == 504 ? "100" : "30000" } }));
    CHECK(response.status_ == row.status_);
    if (row.execution_ != nullptr) {
      CHECK(nlohmann::json::parse(response.body_)["execution"] ==
            row.execution_);
      CHECK(host.seen_[1].empty());
    } else {
      CHECK(host.seen_[1].size() == 1);
    }
  }
}

// Checks invariant 7 on the data path: a repeated request is answered with the
// recorded outcome, and one whose execution was interrupted is not executed
// again.
TEST_CASE("a non-idempotent request is executed once, then replayed")
{
  Fixture host;
  host.HoldSlot();
  const auto order = [&](const char* aKey, const char* aBody) {
    return host.Call(
      MakeRequest("POST", "/order", { { "Idempotency-Key", aKey } }, aBody));
  };
  const auto runs = [&] { return host.seen_[0].size() + host.seen_[1].size(); };
  CHECK(order("k1", "stamp").body_ == "stamp!");
  const HttpResponse repeated = order("k1", "stamp");
  CHECK(repeated.status_ == 200);
  CHECK(repeated.body_ == "stamp!");
  CHECK(*FindHeader(repeated.headers_, "Execution-State") == "complete");
  CHECK(order("k1", "other").status_ == 422);
  CHECK(runs() == 1);

  host.behavior_[0] = host.behavior_[1] = "die";
  CHECK(order("k2", "stamp").status_ == 502);
  const HttpResponse interrupted = order("k2", "stamp");
  CHECK(interrupted.status_ == 409);
  CHECK(nlohmann::json::parse(interrupted.body_)["kind"] == "outcome-unknown");
  CHECK(runs() == 2);
}

TEST_CASE("without a backend server the response reports not-run")
{
  Fixture host;
  host.configuration_ = MakeConfiguration({ "127.0.0.1:1" });
  const HttpResponse response = host.Call(MakeRequest("GET", "/read"));
  CHECK(response.status_ == 503);
  CHECK(*FindHeader(response.headers_, "Execution-State") == "not-run");
}

TEST_CASE(
  "without a configuration keyed requests are refused and lookups answered")
{
  Fixture host;
  host.configuration_ = nullptr;
  CHECK(host.Call(MakeRequest("GET", "/read")).status_ == 503);
  CHECK(
    host
      .Call(
        { "GET", std::string(kLookupPath) + "?block=10.0.0.0%2F24", {}, "" })
      .body_ == "{\"block\":\"10.0.0.0/24\"}");
}
