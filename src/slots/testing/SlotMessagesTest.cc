#include "slots/SlotMessages.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

using namespace peridotsail;
using nlohmann::json;

namespace {

constexpr std::uint64_t kSeed = 20261206;
const TimePoint kNow(std::chrono::seconds(1000));

SlotAsk
MakeAsk()
{
  SlotAsk ask;
  ask.id_ = ~std::uint64_t{ 0 };
  ask.server_ = "a-service-with-a-long-name-17";
  ask.slots_ = 9;
  ask.rank_ = 2;
  ask.customer_ = ~std::uint64_t{ 1 };
  ask.route_ = ~std::uint64_t{ 2 };
  ask.toAim_ = std::chrono::milliseconds(400);
  ask.timeLeft_ = std::chrono::milliseconds(12000);
  ask.serviceTime_ = std::chrono::milliseconds(250);
  ask.mode_ = SlotMode::IfHalfIdle;
  return ask;
}

std::string
ToCbor(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

}

// Guards against fields that are lost or mixed up on the way, and against
// datagrams that cost more than expected.
TEST_CASE("Messages are decoded as they were encoded, in under 200 bytes")
{
  const std::string bytes = EncodeSlotMessage(MakeAsk());
  CHECK(bytes.size() < 200);
  const auto decoded = DecodeSlotMessage(bytes, kNow);
  REQUIRE(decoded);
  const SlotAsk& ask = std::get<SlotAsk>(*decoded);
  CHECK(EncodeSlotMessage(ask) == bytes);
  CHECK(ask.server_ == MakeAsk().server_);
  CHECK(ask.mode_ == SlotMode::IfHalfIdle);
  CHECK(ask.timeLeft_ == std::chrono::seconds(12));

  SlotAnswer answer;
  answer.id_ = 5;
  answer.server_ = "s";
  answer.state_ = SlotState::Queued;
  answer.wait_ = std::chrono::milliseconds(30);
  answer.load_.running_ = 3;
  answer.load_.pace_ = 250;
  const auto second = DecodeSlotMessage(EncodeSlotMessage(answer), kNow);
  REQUIRE(second);
  CHECK(std::get<SlotAnswer>(*second).wait_ == answer.wait_);
  CHECK(std::get<SlotAnswer>(*second).load_.pace_ == 250);
  CHECK(std::get<SlotAnswer>(*second).load_.fromOwner_);

  SlotRelease release;
  release.server_ = "s";
  const auto third = DecodeSlotMessage(EncodeSlotMessage(release), kNow);
  REQUIRE(third);
  CHECK_FALSE(std::get<SlotRelease>(*third).load_);
  answer.id_ = release.id_ = MakeAsk().id_;
  answer.server_ = release.server_ = MakeAsk().server_;
  std::cout << "bytes of an ask " << bytes.size() << ", an answer "
            << EncodeSlotMessage(answer).size() << ", a release "
            << EncodeSlotMessage(release).size() << std::endl;
}

// Guards against input of other processes that ends the process or gets
// through with values out of range.
TEST_CASE("Malformed slot messages are dropped")
{
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  const json good = json::from_cbor(EncodeSlotMessage(MakeAsk()));
  for (std::size_t field = 2; field < good.size(); ++field) {
    for (const json& bad :
         { json(-1), json("x"), json(1e300), json(nullptr), json::array() }) {
      json message = good;
      message[field] = bad;
      const auto decoded = DecodeSlotMessage(ToCbor(message), kNow);
      const bool stringField = field == 3 && bad == "x";
      INFO("field " << field << " value " << bad);
      CHECK(decoded.has_value() == stringField);
    }
  }
  json tooShort = good;
  tooShort.erase(tooShort.size() - 1);
  CHECK_FALSE(DecodeSlotMessage(ToCbor(tooShort), kNow));
  CHECK_FALSE(DecodeSlotMessage("", kNow));
  const std::string bytes = EncodeSlotMessage(MakeAsk());
  for (int i = 0; i < 2000; ++i) {
    std::string broken = bytes;
    broken[random() % broken.size()] = static_cast<char>(random());
    broken.resize(random() % (broken.size() + 1));
    DecodeSlotMessage(broken, kNow);
  }
}
