#include "gateway/testing/AllowanceFleet.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint64_t kVersion = 1;
const std::map<std::string, std::string> kDomains{ { "a", "east" },
                                                   { "b", "west" } };

HostRecord
RecordOf(const std::string& aName, const std::string& aRegion)
{
  HostRecord record;
  record.name_ = aName;
  record.region_ = aRegion;
  record.peers_ = aName + ":1";
  return record;
}

// An entry host that owns shares of an allowance.
struct Owner
{
  Owner(const std::string& aName, const std::string& aRegion)
    : owners_(kDomains, aRegion, aName)
    , allowances_(AllowanceFleet::Options(), owners_)
    , loans_(allowances_, owners_, {}, kSeed)
  {
  }

  void Apply(const std::map<std::string, HostRecord>& aHosts,
             const RoutingTable& aTable,
             TimePoint aNow)
  {
    owners_.SetHosts(aHosts);
    allowances_.Apply(aTable, aNow);
  }

  AllowanceOwners owners_;
  CustomerAllowances allowances_;
  AllowanceLoans loans_;
};

// Two owners; the first has spent its tokens and the second has not.
struct LoanPair
{
  LoanPair()
    : table_(MakeAllowanceTable({ 60 }))
    , share_{ table_->Customers().front().name_, 0 }
    , borrower_("h1", "east")
    , lender_("h2", "west")
  {
    hosts_["h1"] = RecordOf("h1", "east");
    hosts_["h2"] = RecordOf("h2", "west");
    Apply(FleetTime(0));
    borrower_.allowances_.Take(share_, 1000, now_);
  }

  void Apply(TimePoint aNow)
  {
    borrower_.Apply(hosts_, *table_, aNow);
    lender_.Apply(hosts_, *table_, aNow);
  }

  std::optional<AddressedLoanRequest> MakeRequest()
  {
    return borrower_.loans_.MakeRequest(share_, kVersion, now_);
  }

  RoutingTablePtr table_;
  std::map<std::string, HostRecord> hosts_;
  ShareKey share_;
  Owner borrower_;
  Owner lender_;
  // Late enough for the buckets to be full.
  TimePoint now_ = FleetTime(20);
};

}

// Guards against tokens created from nothing: each reply is accepted at most
// once and only shortly after the request, and a lender with different limits
// lends nothing.
TEST_CASE("A loan is taken over once and in time")
{
  LoanPair pair;
  AllowanceLoans& borrower = pair.borrower_.loans_;
  AllowanceLoans& lender = pair.lender_.loans_;
  const auto loan = pair.MakeRequest();
  REQUIRE(loan);
  CHECK(loan->address_ == "h2:1");
  CHECK(loan->request_.share_.share_ == 1);
  SECTION("a single reply")
  {
    const LoanReply reply = lender.Answer(loan->request_, kVersion, pair.now_);
    REQUIRE(reply.tokens_ > 0);
    CHECK(borrower.Accept(reply, pair.now_) == reply.tokens_);
    CHECK(borrower.Accept(reply, pair.now_) == 0);
  }
  SECTION("a reply to a host that was frozen")
  {
    const LoanReply reply = lender.Answer(loan->request_, kVersion, pair.now_);
    CHECK(borrower.Accept(reply, pair.now_ + std::chrono::seconds(2)) == 0);
  }
  SECTION("an unsolicited reply")
  {
    CHECK(borrower.Accept({ 0, 10 }, pair.now_) == 0);
    CHECK(borrower.Accept({ loan->request_.id_ + 1, 10 }, pair.now_) == 0);
  }
  SECTION("another configuration")
  {
    CHECK(lender.Answer(loan->request_, kVersion + 1, pair.now_).tokens_ == 0);
  }
  SECTION("an unknown customer, and a share not owned by the host")
  {
    LoanRequest request = loan->request_;
    request.share_.customer_ = "stranger";
    CHECK(lender.Answer(request, kVersion, pair.now_).tokens_ == 0);
    CHECK(lender.Answer({ 1, pair.share_, kVersion, 5 }, kVersion, pair.now_)
            .tokens_ == 0);
    CHECK(lender
            .Answer({ 1, { pair.share_.customer_, 99 }, kVersion, 5 },
                    kVersion,
                    pair.now_)
            .tokens_ == 0);
  }
  SECTION("a lender keeps half of its bucket")
  {
    const double first =
      lender.Answer(loan->request_, kVersion, pair.now_).tokens_;
    CHECK(first > 0);
    CHECK(lender.Answer(loan->request_, kVersion, pair.now_).tokens_ < first);
    CHECK(pair.lender_.allowances_.Take(loan->request_.share_, 1, pair.now_)
            .tokens_ == 1);
  }
  SECTION("a lender gives up what it lends")
  {
    const double before =
      pair.lender_.allowances_.Take(loan->request_.share_, 1000, pair.now_)
        .tokens_;
    LoanPair other;
    const double lent =
      other.lender_.loans_
        .Answer(other.MakeRequest()->request_, kVersion, other.now_)
        .tokens_;
    const double after =
      other.lender_.allowances_.Take(loan->request_.share_, 1000, other.now_)
        .tokens_;
    CHECK(lent >= 1);
    CHECK(after <= before - lent + 1);
  }
}

// Guards against flooding other owners with loan requests when none of them has
// tokens left.
TEST_CASE("Requests for loans become rare while nothing is lent")
{
  LoanPair pair;
  int asked = 0;
  constexpr int kSteps = 1000;
  for (int i = 0; i < kSteps; ++i) {
    pair.now_ += std::chrono::milliseconds(10);
    pair.borrower_.allowances_.Take(pair.share_, 10, pair.now_);
    if (const auto loan = pair.MakeRequest()) {
      ++asked;
      pair.borrower_.loans_.Accept({ loan->request_.id_, 0 }, pair.now_);
    }
  }
  // In ten seconds: a few short intervals, then one request every 1.6 seconds.
  CHECK(asked >= 5);
  CHECK(asked <= 12);
}

// Guards against asking a host that is draining or cannot be reached.
TEST_CASE("Only hosts that stay and have an address are asked for loans")
{
  LoanPair pair;
  SECTION("a host that leaves")
  {
    pair.hosts_["h2"].draining_ = true;
  }
  SECTION("a host without an address")
  {
    pair.hosts_["h2"].peers_.clear();
  }
  pair.Apply(pair.now_);
  CHECK_FALSE(pair.MakeRequest());
}
