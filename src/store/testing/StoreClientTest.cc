#include "store/StoreClient.h"
#include "http/HttpServer.h"
#include "store/HostListClient.h"
#include "store/StoreJson.h"
#include "testing/FakeStore.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

// Runs the fake store behind an HTTP server on the test's io_context.
struct StoreFixture
{
  StoreFixture()
    : server_(context_, {}, [this](const HttpRequest& aRequest, auto aReply) {
      if (aRequest.target_ == "/v3/watch") {
        fake_.StartWatch(aRequest, aReply);
      } else if (!rawResponse_.empty()) {
        aReply->Send({ 200, {}, rawResponse_ });
      } else {
        aReply->Send(fake_.Handle(aRequest));
      }
    })
  {
    Error error;
    REQUIRE(server_.Listen({ "127.0.0.1", 0 }, error));
    StoreOptions options;
    options.address_ = { "127.0.0.1", server_.Port() };
    options.timeout_ = std::chrono::seconds(30);
    client_ = std::make_unique<StoreClient>(context_, options);
  }

  // Runs the io_context until aDone returns true.
  void RunUntil(const std::function<bool()>& aDone)
  {
    context_.restart();
    while (!aDone() && context_.run_one_for(std::chrono::seconds(30)) > 0) {
    }
    REQUIRE(aDone());
  }

  StoreCommitResult Commit(const StoreTransaction& aTransaction)
  {
    std::optional<StoreCommitResult> result;
    client_->Commit(aTransaction,
                    [&](auto aResult, const Error&) { result = aResult; });
    RunUntil([&] { return result.has_value(); });
    return *result;
  }

  boost::asio::io_context context_;
  FakeStore fake_;
  std::string rawResponse_;
  HttpServer server_;
  std::unique_ptr<StoreClient> client_;
};

}

// Compare-and-swap: a write that compares an outdated revision must fail.
TEST_CASE("a transaction takes effect only if its comparisons are true")
{
  StoreFixture store;
  const auto first =
    store.Commit({ { { "p/a", 0 } }, { { "p/a", "1", 0 } }, {} });
  CHECK(first.succeeded_);
  CHECK_FALSE(
    store.Commit({ { { "p/a", 0 } }, { { "p/a", "2", 0 } }, {} }).succeeded_);
  CHECK(
    store
      .Commit({ { { "p/a", first.revision_ } },
                { { "p/a", "3", 0 }, { "p/b", std::string("\0\xff", 2), 0 } },
                {} })
      .succeeded_);
  std::optional<std::vector<StoreRecord>> records;
  store.client_->GetPrefix(
    "p/", [&](auto aRecords, const Error&) { records = aRecords; });
  store.RunUntil([&] { return records.has_value(); });
  REQUIRE(records->size() == 2);
  CHECK(records->at(0).value_ == "3");
  CHECK(records->at(1).value_ == std::string("\0\xff", 2));
}

TEST_CASE("keys of a revoked lease are deleted and the watch reports it")
{
  StoreFixture store;
  std::optional<std::int64_t> lease;
  store.client_->GrantLease(std::chrono::seconds(60),
                            [&](auto aId, const Error&) { lease = aId; });
  store.RunUntil([&] { return lease.has_value(); });
  std::vector<StoreRecord> watched;
  StoreWatchHooks hooks;
  hooks.onRecord_ = [&](const StoreRecord& aRecord) {
    watched.push_back(aRecord);
  };
  hooks.onEnd_ = [](const Error&) {};
  const auto watch = store.client_->Watch("slot", hooks);
  // The watch uses its own connection. The store counts it as a call when it
  // starts.
  store.RunUntil([&] { return store.fake_.Calls() == 2; });
  CHECK(store.Commit({ {}, { { "slot", "h1", *lease } }, {} }).succeeded_);
  bool revoked = false;
  store.client_->RevokeLease(*lease,
                             [&](auto, const Error&) { revoked = true; });
  store.RunUntil([&] { return revoked && watched.size() == 2; });
  CHECK(watched[0].value_ == "h1");
  CHECK(watched[1].value_.empty());
  std::optional<std::int64_t> remaining;
  store.client_->KeepAlive(
    *lease, [&](auto aSeconds, const Error&) { remaining = aSeconds; });
  store.RunUntil([&] { return remaining.has_value(); });
  CHECK(*remaining == 0);
  watch->Cancel();
}

// A malformed response must not cause a crash or a wrong value.
TEST_CASE("malformed store responses are reported as errors")
{
  StoreFixture store;
  for (const char* raw : { "no json",
                           "[]",
                           R"({"kvs":[5]})",
                           R"({"kvs":[{"key":7}]})",
                           R"({"kvs":[{"key":"%%%"}]})" }) {
    INFO(raw);
    store.rawResponse_ = raw;
    bool failed = false;
    store.client_->Get("p/a", [&](auto aRecords, const Error& aError) {
      CHECK_FALSE(aRecords);
      CHECK(aError.kind_ == ErrorKind::StoreUnreachable);
      failed = true;
    });
    store.RunUntil([&] { return failed; });
  }
}

TEST_CASE("the host list is parsed and malformed entries are skipped")
{
  const auto hosts = ParseHostList(R"({"items":[{
    "metadata":{"labels":{"topology.kubernetes.io/region":"north"}},
    "ports":[{"name":"callers","port":8080},{"name":"peers","port":8081}],
    "endpoints":[
      {"hostname":"h2","addresses":["127.0.0.2"],"zone":"north-a","conditions":{"terminating":true}},
      {"hostname":"h1","addresses":["::1"],"zone":"north-b"},
      {"addresses":["127.0.0.9"]}, 5]}]})");
  REQUIRE(hosts);
  REQUIRE(hosts->size() == 2);
  CHECK(hosts->at(0).callersAddress_ == "[::1]:8080");
  CHECK(hosts->at(1).region_ == "north");
  CHECK(hosts->at(1).leaving_);
  CHECK_FALSE(ParseHostList("{}"));
  const auto malformed = ParseHostList(
    R"({"items":[{"endpoints":[{"addresses":7,"hostname":"h"}],"metadata":{"labels":5},"ports":7}]})");
  CHECK((!malformed || malformed->empty()));
}
