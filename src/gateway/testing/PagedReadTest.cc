// Tests a complete read of a store that refuses calls.

#include "gateway/ControlLoop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace peridotsail;

namespace {

constexpr int kPages = 6;

// A store with one key on each page. It refuses the first aRefusals calls for
// each page, and answers no other calls than reads.
class PagedStore : public KvStore
{
public:
  PagedStore(boost::asio::io_context& aContext, int aRefusals)
    : context_(aContext)
    , refusals_(aRefusals)
  {
  }

  void Range(const std::string& aPrefix,
             const std::string& aAfterKey,
             ItemsCallback aCallback) override
  {
    const int page = aAfterKey.empty() ? 0 : std::stoi(aAfterKey) + 1;
    const int call = ++calls_[page];
    KvItems items;
    items.revision_ = 7;
    items.more_ = page + 1 < kPages;
    KvItem item;
    item.key_ = aPrefix + std::to_string(page);
    item.revision_ = 5;
    items.items_.push_back(item);
    const bool refused = call <= refusals_;
    boost::asio::post(context_, [aCallback, items, refused] {
      aCallback(refused ? KvStatus::Refused : KvStatus::Done,
                refused ? KvItems() : items);
    });
  }
  void Watch(const std::string&,
             std::uint64_t aAfterRevision,
             Duration,
             ItemsCallback) override
  {
    watchedAfter_ = aAfterRevision;
  }
  void Put(const KvPut&, NumberCallback) override {}
  void GrantLease(Duration, NumberCallback) override {}
  void RenewLease(std::uint64_t, NumberCallback) override {}
  void RevokeLease(std::uint64_t, NumberCallback) override {}

  // By page.
  std::map<int, int> calls_;
  std::uint64_t watchedAfter_ = 0;

private:
  boost::asio::io_context& context_;
  int refusals_;
};

ControlCodec
MakeCodec()
{
  ControlCodec codec;
  codec.classify_ = [](const std::string&) { return ControlCodec::Key(); };
  codec.hostKey_ = [](const std::string& aName) { return aName; };
  return codec;
}

}

// Guards against a complete read that begins again after each refused call: a
// store that many hosts read at the same time refuses a part of their calls,
// and would get the pages that it had answered again and again.
TEST_CASE(
  "A refused page of a complete read is the only one that is read again")
{
  const int refusals = GENERATE(0, 1, 2);
  boost::asio::io_context context;
  PagedStore store(context, refusals);
  ControlOptions options;
  options.name_ = "host-1";
  options.region_ = "eu-west";
  options.registrationWait_ = Duration::zero();
  options.retryDelay_ = std::chrono::milliseconds(1);
  ControlHooks hooks;
  hooks.onView_ = [](const FleetSnapshotPtr&, TimePoint) {};
  ControlLoop loop(context, store, MakeCodec(), options, hooks);
  loop.Start();
  while (store.watchedAfter_ == 0) {
    REQUIRE(context.run_one_for(std::chrono::seconds(20)) > 0);
  }
  CHECK(store.watchedAfter_ == 7);
  REQUIRE(store.calls_.size() == kPages);
  for (const auto& [page, calls] : store.calls_) {
    INFO("page " << page);
    CHECK(calls == refusals + 1);
  }
}
