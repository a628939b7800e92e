#include "store/StoreClient.h"
#include "http/HttpServer.h"
#include "store/HostListClient.h"
#include "store/StoreJson.h"
#include "testing/FakeStore.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

// The fake store behind HTTP on the test's own io_context.
struct StoreFixture
{
  StoreFixture()
    : server_(context_, {}, [this](const HttpRequest& aRequest, auto aReply) {
      if (aRequest.target_ == "/v3/watch") {
        fake_.StartWatch(aRequest, aReply);
      } else if (!rawAnswer_.empty()) {
        aReply->Send({ 200, {}, rawAnswer_ });
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

  // Runs the io_context until aDone holds.
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
  std::string rawAnswer_;
  HttpServer server_;
  std::unique_ptr<StoreClient> client_;
};

}

// Guards compare-and-swap: a stale writer must lose.
TEST_CASE("a transaction takes effect only when its comparison holds")
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
  std::vector<StoreRecord> seen;
  StoreWatchHooks hooks;
  hooks.onRecord_ = [&](const StoreRecord& aRecord) {
    seen.push_back(aRecord);
  };
  hooks.onEnd_ = [](const Error&) {};
  const auto watch = store.client_->Watch("slot", hooks);
  // The watch has its own connection; the store counts it as a call on start.
  store.RunUntil([&] { return store.fake_.Calls() == 2; });
  CHECK(store.Commit({ {}, { { "slot", "h1", *lease } }, {} }).succeeded_);
  bool revoked = false;
  store.client_->RevokeLease(*lease,
                             [&](auto, const Error&) { revoked = true; });
  store.RunUntil([&] { return revoked && seen.size() == 2; });
  CHECK(seen[0].value_ == "h1");
  CHECK(seen[1].value_.empty());
  std::optional<std::int64_t> remaining;
  store.client_->KeepAlive(
    *lease, [&](auto aSeconds, const Error&) { remaining = aSeconds; });
  store.RunUntil([&] { return remaining.has_value(); });
  CHECK(*remaining == 0);
  watch->Cancel();
}

// Guards against a crash or a wrong value by a malformed answer.
TEST_CASE("malformed answers of the store become errors")
{
  StoreFixture store;
  for (const char* raw : { "no json",
                           "[]",
                           R"({"kvs":[5]})",
                           R"({"kvs":[{"key":7}]})",
                           R"({"kvs":[{"key":"%%%"}]})" }) {
    INFO(raw);
    store.rawAnswer_ = raw;
    bool failed = false;
    store.client_->Get("p/a", [&](auto aRecords, const Error& aError) {
      CHECK_FALSE(aRecords);
      CHECK(aError.kind_ == ErrorKind::StoreUnreachable);
      failed = true;
    });
    store.RunUntil([&] { return failed; });
  }
}

TEST_CASE("the host list is parsed and malformed entries are left out")
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
