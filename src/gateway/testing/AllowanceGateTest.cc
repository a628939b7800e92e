#include "gateway/AllowanceGate.h"

#include "gateway/testing/AllowanceFleet.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

using namespace peridotsail;
using nlohmann::json;

namespace {

constexpr std::uint64_t kSeed = 20261204;
const std::map<std::string, std::string> kDomains{ { "a", "east" },
                                                   { "b", "west" } };

std::map<std::string, HostRecord>
MakeHosts(int aHosts, const std::string& aRegion)
{
  std::map<std::string, HostRecord> hosts;
  for (int i = 0; i < aHosts; ++i) {
    HostRecord record;
    record.name_ = aRegion + std::to_string(i);
    record.region_ = aRegion;
    record.peers_ = record.name_ + ":1";
    hosts[record.name_] = record;
  }
  return hosts;
}

// A gate with the messages that it sends. It asks "east0" first and "west0"
// next, or owns the eastern share if aOwnsShare is set.
struct GateFixture
{
  explicit GateFixture(bool aOwnsShare)
    : table_(MakeAllowanceTable({ 60 }))
    , customer_(table_->Customers().front())
    , owners_(kDomains, "east", aOwnsShare ? "east0" : "asker")
    , allowances_(AllowanceFleet::Options(), owners_)
    , gate_(allowances_, owners_, {}, MakeHooks(), kSeed)
  {
    std::map<std::string, HostRecord> hosts = MakeHosts(1, "east");
    hosts.merge(MakeHosts(1, "west"));
    owners_.SetHosts(hosts);
    allowances_.Apply(*table_, FleetTime(0));
  }

  GateHooks MakeHooks()
  {
    GateHooks hooks;
    hooks.send_ = [this](const std::string& aAddress,
                         const TakeRequest& aRequest) {
      sent_.emplace_back(aAddress, aRequest);
    };
    hooks.viewAge_ = [this](TimePoint) { return viewAge_; };
    return hooks;
  }

  void Admit()
  {
    gate_.Admit(customer_, now_, [this](const Admission& aAdmission) {
      results_.push_back(aAdmission);
    });
  }

  void Reply(std::size_t aMessage, bool aOwned, double aTokens)
  {
    gate_.Accept({ sent_.at(aMessage).second.id_,
                   aOwned,
                   aTokens,
                   std::chrono::milliseconds(200) },
                 now_);
  }

  void Wait(int aMilliseconds)
  {
    now_ += std::chrono::milliseconds(aMilliseconds);
    gate_.OnTimer(now_);
  }

  RoutingTablePtr table_;
  const GatewayCustomer& customer_;
  AllowanceOwners owners_;
  CustomerAllowances allowances_;
  std::vector<std::pair<std::string, TakeRequest>> sent_;
  std::vector<Admission> results_;
  Duration viewAge_{};
  AllowanceGate gate_;
  TimePoint now_ = FleetTime(20);
};

bool
IsAdmitted(const Admission& aAdmission)
{
  return aAdmission.result_ == AdmissionResult::Admitted;
}

}

// Guards against sending one message per request, and against requests that
// wait forever.
TEST_CASE("Requests that come together are asked for together")
{
  GateFixture fixture(false);
  fixture.Admit();
  fixture.Admit();
  fixture.Admit();
  REQUIRE(fixture.sent_.size() == 1);
  CHECK(fixture.sent_[0].first == "east0:1");
  fixture.Reply(0, true, 1);
  CHECK(fixture.results_.size() == 1);
  REQUIRE(fixture.sent_.size() == 2);
  CHECK(fixture.sent_[1].first == "east0:1");
  CHECK(fixture.sent_[1].second.tokens_ == 2);
  fixture.Reply(1, true, 2);
  REQUIRE(fixture.results_.size() == 3);
  CHECK(IsAdmitted(fixture.results_[2]));
  CHECK_FALSE(fixture.gate_.NextTimeout());
}

// Guards against refusing a request while another owner has tokens, and against
// asking all owners again for every further request after a refusal.
TEST_CASE("All owners are asked before a request is refused")
{
  GateFixture fixture(false);
  fixture.Admit();
  fixture.Reply(0, true, 0);
  REQUIRE(fixture.sent_.size() == 2);
  CHECK(fixture.sent_[1].first == "west0:1");
  SECTION("the other owner has tokens")
  {
    fixture.Reply(1, true, 1);
    REQUIRE(fixture.results_.size() == 1);
    CHECK(IsAdmitted(fixture.results_[0]));
  }
  SECTION("a request that arrives in the meantime joins the batch")
  {
    fixture.Admit();
    CHECK(fixture.sent_.size() == 2);
    fixture.Reply(1, true, 1);
    REQUIRE(fixture.sent_.size() == 3);
    CHECK(fixture.sent_[2].first == "west0:1");
    fixture.Reply(2, true, 1);
    CHECK(fixture.results_.size() == 2);
  }
  SECTION(
    "a request that arrives when the local owner has a token starts there")
  {
    fixture.Wait(200);
    fixture.Admit();
    REQUIRE(fixture.sent_.size() == 3);
    CHECK(fixture.sent_[2].first == "east0:1");
  }
  SECTION("no owner has a token")
  {
    fixture.Reply(1, true, 0);
    REQUIRE(fixture.results_.size() == 1);
    CHECK(fixture.results_[0].result_ == AdmissionResult::UsedUp);
    CHECK(fixture.results_[0].retryAfter_ == std::chrono::milliseconds(200));
    fixture.Admit();
    CHECK(fixture.results_.size() == 2);
    CHECK(fixture.sent_.size() == 2);
    fixture.Wait(200);
    fixture.Admit();
    CHECK(fixture.sent_.size() == 3);
  }
  SECTION("no host owns the share")
  {
    GateFixture other(false);
    other.Admit();
    other.Reply(0, false, 0);
    other.Reply(1, false, 0);
    REQUIRE(other.results_.size() == 1);
    CHECK(other.results_[0].result_ == AdmissionResult::NoOwner);
  }
}

// Guards against requests that wait for an owner that is gone, and against
// tokens of a late reply that are lost or used too late.
TEST_CASE("An owner that does not answer is passed over for a while")
{
  GateFixture fixture(false);
  fixture.Admit();
  fixture.Wait(80);
  REQUIRE(fixture.sent_.size() == 2);
  CHECK(fixture.sent_[1].first == "west0:1");
  SECTION("the next request does not wait for it")
  {
    fixture.Admit();
    REQUIRE(fixture.sent_.size() == 3);
    CHECK(fixture.sent_[2].first == "west0:1");
    fixture.Wait(501);
    fixture.Admit();
    CHECK(fixture.sent_.back().first == "east0:1");
  }
  SECTION("a late answer admits the request")
  {
    fixture.Wait(20);
    fixture.Reply(0, true, 1);
    REQUIRE(fixture.results_.size() == 1);
    CHECK(IsAdmitted(fixture.results_[0]));
    // The token from the other owner admits the next request.
    fixture.Reply(1, true, 1);
    fixture.Admit();
    CHECK(fixture.results_.size() == 2);
  }
  SECTION("no owner answers")
  {
    fixture.Wait(300);
    REQUIRE(fixture.results_.size() == 1);
    CHECK(fixture.results_[0].result_ == AdmissionResult::NoOwner);
    fixture.Wait(1000);
    CHECK_FALSE(fixture.gate_.NextTimeout());
    // A reply that arrives after the host was frozen.
    fixture.Reply(0, true, 1);
    fixture.Admit();
    CHECK(fixture.results_.size() == 1);
  }
}

// Guards against tokens that are counted twice or created from nothing.
TEST_CASE("An answer counts once, and only soon after the request")
{
  GateFixture fixture(false);
  fixture.Admit();
  SECTION("a duplicate reply")
  {
    fixture.Reply(0, true, 1);
    fixture.Reply(0, true, 1);
    fixture.Admit();
    CHECK(fixture.results_.size() == 1);
  }
  SECTION("a reply to an unknown request")
  {
    fixture.gate_.Accept({ 77, true, 5, {} }, fixture.now_);
    CHECK(fixture.results_.empty());
  }
  SECTION("a reply after a freeze")
  {
    fixture.now_ += std::chrono::seconds(3);
    fixture.Reply(0, true, 5);
    CHECK(fixture.results_.empty());
  }
  SECTION("a token that is given back is used, but not much later")
  {
    fixture.Reply(0, true, 1);
    fixture.gate_.ReturnToken(fixture.customer_.name_, fixture.now_);
    fixture.Admit();
    CHECK(fixture.results_.size() == 2);
    fixture.gate_.ReturnToken(fixture.customer_.name_, fixture.now_);
    fixture.Wait(600);
    fixture.Admit();
    CHECK(fixture.results_.size() == 2);
  }
}

// Guards against two active owners of one share: a host that is cut off from
// the store must stop granting tokens before another host can start.
TEST_CASE("An owner grants nothing when its view is old")
{
  GateFixture fixture(true);
  const ShareKey share{ fixture.customer_.name_, 0 };
  CHECK(fixture.gate_.Answer({ 1, share, 1 }, fixture.now_).tokens_ == 1);
  fixture.Admit();
  REQUIRE(fixture.results_.size() == 1);
  CHECK(IsAdmitted(fixture.results_[0]));
  fixture.viewAge_ = std::chrono::milliseconds(3600);
  const TakeReply reply = fixture.gate_.Answer({ 2, share, 1 }, fixture.now_);
  CHECK(reply.tokens_ == 0);
  CHECK_FALSE(reply.owned_);
  fixture.Admit();
  CHECK(fixture.results_.size() == 1);
  CHECK(fixture.sent_.size() == 1);
}

// Guards against a new owner that grants tokens which the previous owner may
// still be granting.
TEST_CASE("A new owner begins with little and refills later")
{
  AllowanceOwners owners(kDomains, "east", "east0");
  CustomerAllowances allowances(AllowanceFleet::Options(), owners);
  const RoutingTablePtr table = MakeAllowanceTable({ 60 });
  const ShareKey share{ table->Customers().front().name_, 0 };
  owners.SetHosts(MakeHosts(1, "east"));
  allowances.Apply(*table, FleetTime(0));
  const double first = allowances.Take(share, 1000, FleetTime(0)).tokens_;
  // Two shares with a total of 72 tokens per second.
  CHECK(first <= 0.4 * 36);
  CHECK(allowances.Take(share, 1000, FleetTime(0.75)).tokens_ == 0);
  CHECK(allowances.Take(share, 1000, FleetTime(1.5)).tokens_ > 0);

  // The bucket does not refill while another host owns the share.
  owners.SetHosts({});
  allowances.Apply(*table, FleetTime(10));
  CHECK_FALSE(allowances.Take(share, 1, FleetTime(11)).owned_);
  owners.SetHosts(MakeHosts(1, "east"));
  allowances.Apply(*table, FleetTime(20));
  const double left = allowances.Take(share, 1000, FleetTime(20)).tokens_;
  CHECK(left <= 36);
  CHECK(allowances.Take(share, 1000, FleetTime(20.75)).tokens_ == 0);
}

// Guards against hosts that disagree about an owner, and against fleet changes
// that move more shares than necessary.
TEST_CASE("Owners are the same on all hosts and move little")
{
  std::map<std::string, HostRecord> hosts = MakeHosts(20, "east");
  hosts.merge(MakeHosts(20, "west"));
  AllowanceOwners one(kDomains, "east", "east3");
  AllowanceOwners other(kDomains, "west", "west7");
  one.SetHosts(hosts);
  other.SetHosts(hosts);
  REQUIRE(one.ShareCount() == 2);
  CHECK(one.LocalShare() != other.LocalShare());
  std::map<std::string, std::string> before;
  std::set<std::string> used;
  for (int i = 0; i < 200; ++i) {
    const ShareKey share{ "c" + std::to_string(i), one.LocalShare() };
    before[share.customer_] = one.OwnerOf(share)->name_;
    used.insert(before[share.customer_]);
    CHECK(other.OwnerOf(share)->name_ == before[share.customer_]);
    CHECK(before[share.customer_].substr(0, 4) == "east");
    CHECK(one.OwnedHere(share) == (before[share.customer_] == "east3"));
  }
  CHECK(used.size() > 15);
  CHECK_FALSE(one.SetHosts(hosts));
  hosts.erase("east3");
  hosts["east4"].draining_ = true;
  CHECK(one.SetHosts(hosts));
  for (const auto& [customer, owner] : before) {
    const std::string now = one.OwnerOf({ customer, one.LocalShare() })->name_;
    const bool gone = owner == "east3" || owner == "east4";
    CHECK((now == owner) != gone);
  }
}

// Guards against losing the allowance of a region that has lost all of its
// hosts.
TEST_CASE("A region without hosts has its shares owned elsewhere")
{
  AllowanceOwners owners(kDomains, "west", "west0");
  CHECK(owners.OwnerOf({ "c", 0 }) == nullptr);
  owners.SetHosts(MakeHosts(3, "west"));
  const AllowanceOwner* owner =
    owners.OwnerOf({ "c", 1 - owners.LocalShare() });
  REQUIRE(owner != nullptr);
  CHECK(owner->name_.substr(0, 4) == "west");
  std::map<std::string, HostRecord> leaving = MakeHosts(1, "west");
  leaving["west0"].draining_ = true;
  owners.SetHosts(leaving);
  CHECK(owners.OwnedHere({ "c", owners.LocalShare() }));
}

// Guards against accepting datagrams that are malformed or would create tokens.
TEST_CASE("Truncated and malformed allowance messages are rejected")
{
  const AllowanceMessage messages[] = {
    TakeRequest{ 7, { "school", 2 }, 3 },
    TakeReply{ 7, true, 2, std::chrono::milliseconds(250) },
    TakeRequest{ 7,
                 { "school", 2 },
                 3,
                 { { 0xfedcba9876543210, std::chrono::milliseconds(900) },
                   { 1, std::chrono::milliseconds(0) } } },
    TakeReply{ 7,
               true,
               1,
               std::chrono::milliseconds(250),
               { {}, { std::chrono::milliseconds(40), 3 } } },
    LoanRequest{ 8, { "school", 1 }, 12, 2.5 },
    LoanReply{ 8, 1.5 },
  };
  for (const AllowanceMessage& message : messages) {
    INFO("message " << message.index());
    const std::string whole = EncodeAllowanceMessage(message);
    const auto read = DecodeAllowanceMessage(whole);
    REQUIRE(read);
    CHECK(read->index() == message.index());
    CHECK(EncodeAllowanceMessage(*read) == whole);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CHECK_FALSE(DecodeAllowanceMessage(whole.substr(0, size)));
    }
  }
  const json valid = { { "kind", "taken" },
                       { "id", 7 },
                       { "owned", true },
                       { "tokens", 1 },
                       { "wait_s", 0.1 } };
  const auto with = [&](const char* aField, const json& aValue) {
    json message = valid;
    message[aField] = aValue;
    return message;
  };
  const json rows[] = {
    json::array({ 1, 2 }),
    json("taken"),
    json::object(),
    with("kind", "take"),
    with("kind", 3),
    with("kind", "other"),
    with("id", "seven"),
    with("owned", 1),
    with("tokens", -1),
    with("tokens", "many"),
    with("tokens", std::numeric_limits<double>::infinity()),
    with("tokens", std::numeric_limits<double>::quiet_NaN()),
    with("wait_s", 1e9),
    with("wait_s", -0.1),
  };
  for (const json& row : rows) {
    INFO(row);
    std::string bytes;
    json::to_cbor(row, bytes);
    CHECK_FALSE(DecodeAllowanceMessage(bytes));
  }
  const auto withWaits = [&](const json& aWaits, const json& aPlaces) {
    json message = valid;
    message["waits_ms"] = aWaits;
    message["places"] = aPlaces;
    return message;
  };
  const json badWaits[] = {
    with("waits_ms", json::array({ 1 })),
    withWaits(json::array({ 1, 2 }), json::array({ 1 })),
    withWaits(json::array({ -1 }), json::array({ 1 })),
    withWaits(json::array({ 1e12 }), json::array({ 1 })),
    withWaits(json::array({ 1 }), json::array({ -1 })),
    withWaits(json::array({ "1" }), json::array({ 1 })),
    withWaits(json::array({ json::array({ 1 }) }), json::array({ 1 })),
    withWaits(3, 4),
    withWaits(std::vector<int>(kMaxDescribedCallers + 1, 1),
              std::vector<int>(kMaxDescribedCallers + 1, 1)),
  };
  for (const json& row : badWaits) {
    INFO(row);
    std::string bytes;
    json::to_cbor(row, bytes);
    CHECK_FALSE(DecodeAllowanceMessage(bytes));
  }
  std::string most;
  json::to_cbor(withWaits(std::vector<int>(kMaxDescribedCallers, 1),
                          std::vector<int>(kMaxDescribedCallers, 1)),
                most);
  CHECK(DecodeAllowanceMessage(most));
}
