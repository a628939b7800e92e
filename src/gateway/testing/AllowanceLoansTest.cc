#include "gateway/LoanChannel.h"
#include "gateway/testing/AllowanceFleet.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kRate = 60;
constexpr double kBurst = 60;
constexpr double kWindow = 5;
constexpr std::uint64_t kVersion = 1;

// Two hosts of which the first has spent its tokens and the second has not.
struct LoanPair
{
  LoanPair()
    : table_(MakeAllowanceTable(kRate, kBurst))
    , customer_(table_->Customers().front())
    , fleet_(2, kSeed)
  {
    fleet_.Step(*table_, 0, false);
    while (fleet_.allowances_[0].TryTake(customer_, now_).admitted_) {
    }
  }

  std::optional<LoanAsk> Ask()
  {
    return fleet_.loans_[0].Ask(customer_, kVersion, now_);
  }

  RoutingTablePtr table_;
  const GatewayCustomer& customer_;
  AllowanceFleet fleet_;
  // Late enough for full buckets.
  TimePoint now_ = FleetTime(20);
};

}

// Guards against tokens from nothing: each answer counts once and only soon
// after the request, and a lender with other limits lends nothing.
TEST_CASE("A loan is taken over once and in time")
{
  LoanPair pair;
  AllowanceLoans& borrower = pair.fleet_.loans_[0];
  AllowanceLoans& lender = pair.fleet_.loans_[1];
  const auto ask = pair.Ask();
  REQUIRE(ask);
  CHECK(ask->peer_ == "1");
  SECTION("one answer")
  {
    const LoanReply reply = lender.Answer(ask->request_, kVersion, pair.now_);
    REQUIRE(reply.tokens_ > 0);
    CHECK(borrower.Accept(reply, pair.now_) == reply.tokens_);
    CHECK(borrower.Accept(reply, pair.now_) == 0);
  }
  SECTION("an answer to a host that was frozen")
  {
    const LoanReply reply = lender.Answer(ask->request_, kVersion, pair.now_);
    CHECK(borrower.Accept(reply, pair.now_ + std::chrono::seconds(2)) == 0);
  }
  SECTION("an answer that nobody asked for")
  {
    CHECK(borrower.Accept({ 0, 10 }, pair.now_) == 0);
    CHECK(borrower.Accept({ ask->request_.id_ + 1, 10 }, pair.now_) == 0);
  }
  SECTION("another configuration")
  {
    CHECK(lender.Answer(ask->request_, kVersion + 1, pair.now_).tokens_ == 0);
  }
  SECTION("an unknown customer")
  {
    LoanRequest request = ask->request_;
    request.customer_ = "stranger";
    CHECK(lender.Answer(request, kVersion, pair.now_).tokens_ == 0);
  }
  SECTION("a lender keeps half of its bucket")
  {
    const double first =
      lender.Answer(ask->request_, kVersion, pair.now_).tokens_;
    CHECK(first > 0);
    CHECK(lender.Answer(ask->request_, kVersion, pair.now_).tokens_ < first);
    CHECK(
      pair.fleet_.allowances_[1].TryTake(pair.customer_, pair.now_).admitted_);
  }
}

// Guards against a flood of requests for loans when no host has tokens left.
TEST_CASE("Requests for loans become rare while nothing is lent")
{
  LoanPair pair;
  int asked = 0;
  constexpr int kSteps = 1000;
  for (int i = 0; i < kSteps; ++i) {
    pair.now_ += std::chrono::milliseconds(10);
    pair.fleet_.allowances_[0].TryTake(pair.customer_, pair.now_);
    if (const auto ask = pair.Ask()) {
      ++asked;
      pair.fleet_.loans_[0].Accept({ ask->request_.id_, 0 }, pair.now_);
    }
  }
  // Ten seconds: a few short pauses, then one request in 1.6 seconds.
  CHECK(asked >= 5);
  CHECK(asked <= 12);
}

// Guards against a host that leaves or does not lend being asked.
TEST_CASE("Only hosts that stay and have an address are asked")
{
  LoanPair pair;
  pair.fleet_.records_["h1"].draining_ = true;
  pair.fleet_.Step(*pair.table_, 20, false);
  CHECK_FALSE(pair.Ask());
  pair.fleet_.records_["h1"].draining_ = false;
  pair.fleet_.records_["h1"].peers_.clear();
  pair.fleet_.Step(*pair.table_, 20, false);
  CHECK_FALSE(pair.Ask());
}

// Guards the limit over all hosts while loans are lost, doubled and late, with
// callers that move from host to host and ask for more than the limit.
TEST_CASE("Loans keep the limit whatever happens to their messages")
{
  struct Row
  {
    const char* name_;
    LoanFaults faults_;
  };
  const Row rows[] = {
    { "sound", { 0, 0, 0.06 } },     { "lost", { 0.3, 0, 0.06 } },
    { "doubled", { 0, 0.5, 0.06 } }, { "late", { 0, 0.2, 3 } },
    { "all", { 0.2, 0.3, 2 } },
  };
  const RoutingTablePtr table = MakeAllowanceTable(kRate, kBurst);
  const GatewayCustomer& customer = table->Customers().front();
  for (const Row& row : rows) {
    for (std::uint64_t seed = kSeed; seed < kSeed + 10; ++seed) {
      INFO(row.name_ << " seed " << seed);
      std::mt19937_64 random(seed);
      AllowanceFleet fleet(7, seed);
      fleet.faults_ = row.faults_;
      std::uniform_int_distribution<std::size_t> anyHost(0, 6);
      std::uniform_real_distribution<double> part(0, 1);
      std::exponential_distribution<double> gap(2 * kRate);
      std::vector<double> admitted;
      std::size_t crowded = 0;
      double nextStep = 0;
      double nextMove = 0;
      int step = 0;
      for (double now = 0; now < 30; now += gap(random)) {
        while (now >= nextStep) {
          fleet.Step(*table, nextStep, step++ % 5 == 0);
          nextStep += 0.2;
        }
        if (now >= nextMove) {
          crowded = anyHost(random);
          nextMove = now + 3 * part(random);
        }
        const std::size_t host = part(random) < 0.7 ? crowded : anyHost(random);
        if (fleet.TryTake(host, customer, now)) {
          admitted.push_back(now);
        }
      }
      CHECK(fleet.lent_ > 0);
      const double bound = (kRate * kWindow + kBurst) * 1.1 + 20;
      REQUIRE(MostInWindow(admitted, kWindow) <= bound);
    }
  }
}

// Guards against datagrams that are malformed or would create tokens.
TEST_CASE("Only whole messages about loans are read")
{
  using nlohmann::json;
  const LoanRequest request{ 7, "school", 12, 2.5 };
  const auto read =
    detail::DecodeLoanRequest(detail::EncodeLoanRequest(request));
  REQUIRE(read);
  CHECK(read->id_ == 7);
  CHECK(read->customer_ == "school");
  CHECK(read->version_ == 12);
  CHECK(read->tokens_ == 2.5);
  const auto reply =
    detail::DecodeLoanReply(detail::EncodeLoanReply({ 7, 1.5 }));
  REQUIRE(reply);
  CHECK(reply->id_ == 7);
  CHECK(reply->tokens_ == 1.5);

  const json sound = { { "kind", "reply" }, { "id", 7 }, { "tokens", 1 } };
  const auto with = [&](const char* aField, const json& aValue) {
    json message = sound;
    message[aField] = aValue;
    return message;
  };
  const json rows[] = {
    json::array({ 1, 2 }),
    json("reply"),
    json::object(),
    with("kind", "request"),
    with("kind", 3),
    with("id", "seven"),
    with("tokens", -1),
    with("tokens", "many"),
    with("tokens", std::numeric_limits<double>::infinity()),
    with("tokens", std::numeric_limits<double>::quiet_NaN()),
  };
  for (const json& row : rows) {
    INFO(row);
    std::string bytes;
    json::to_cbor(row, bytes);
    CHECK_FALSE(detail::DecodeLoanReply(bytes));
    CHECK_FALSE(detail::DecodeLoanRequest(bytes));
  }
  const std::string whole = detail::EncodeLoanRequest(request);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(detail::DecodeLoanRequest(whole.substr(0, size)));
  }
}
