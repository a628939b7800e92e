#include "slots/SlotMessages.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotsail {

using nlohmann::json;

namespace {

// A message is a single array of scalar values.
constexpr int kMaxDepth = 2;
// The first byte of a CBOR array.
constexpr unsigned char kMajorTypeMask = 0xe0;
constexpr unsigned char kArrayType = 0x80;
constexpr const char* kTag = "slot";
constexpr int kAsk = 0;
constexpr int kAnswer = 1;
constexpr int kRelease = 2;
constexpr std::size_t kMaxServerBytes = 256;
constexpr std::int64_t kMaxSlots = 100000;
constexpr std::int64_t kMaxCount = 1000000;
// A day: the longest deadline of a request.
constexpr std::int64_t kMaxMilliseconds = 86400000;

// Reads the fields of a message in order. Throws on a value that does not fit.
class FieldReader
{
public:
  explicit FieldReader(const json& aMessage)
    : message_(aMessage)
  {
  }

  std::int64_t Integer(std::int64_t aMin, std::int64_t aMax)
  {
    const json& field = message_.at(next_++);
    const auto value = field.get<std::int64_t>();
    if (!field.is_number_integer() || value < aMin || value > aMax) {
      throw std::range_error("slot message");
    }
    return value;
  }

  int Int(std::int64_t aMin, std::int64_t aMax)
  {
    return static_cast<int>(Integer(aMin, aMax));
  }

  std::uint64_t Unsigned()
  {
    const json& field = message_.at(next_++);
    if (!field.is_number_unsigned()) {
      throw std::range_error("slot message");
    }
    return field.get<std::uint64_t>();
  }

  Duration Milliseconds()
  {
    return std::chrono::milliseconds(Integer(0, kMaxMilliseconds));
  }

  bool Boolean() { return message_.at(next_++).get<bool>(); }

  std::string Server()
  {
    auto server = message_.at(next_++).get<std::string>();
    if (server.empty() || server.size() > kMaxServerBytes) {
      throw std::range_error("slot message");
    }
    return server;
  }

  // Returns nothing for a load that is not known.
  std::optional<ReportedLoad> Load(TimePoint aNow)
  {
    ReportedLoad load;
    load.running_ = Int(-1, kMaxCount);
    load.waiting_ = Int(0, kMaxCount);
    load.pace_ = Int(0, kMaxCount);
    load.at_ = aNow;
    if (load.running_ < 0) {
      return std::nullopt;
    }
    if (!IsPlausible(load)) {
      throw std::range_error("slot message");
    }
    return load;
  }

private:
  const json& message_;
  std::size_t next_ = 2;
};

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::clamp<std::int64_t>(
    ToMilliseconds(aDuration), 0, kMaxMilliseconds);
}

json
ToJson(const SlotAsk& aAsk)
{
  return json::array({ kTag,
                       kAsk,
                       aAsk.id_,
                       aAsk.server_,
                       aAsk.slots_,
                       aAsk.rank_,
                       aAsk.customer_,
                       aAsk.route_,
                       Milliseconds(aAsk.toAim_),
                       Milliseconds(aAsk.timeLeft_),
                       Milliseconds(aAsk.serviceTime_),
                       static_cast<int>(aAsk.mode_) });
}

json
ToJson(const SlotAnswer& aAnswer)
{
  return json::array({ kTag,
                       kAnswer,
                       aAnswer.id_,
                       aAnswer.server_,
                       static_cast<int>(aAnswer.state_),
                       Milliseconds(aAnswer.wait_),
                       aAnswer.ahead_,
                       aAnswer.load_.running_,
                       aAnswer.load_.waiting_,
                       aAnswer.load_.pace_ });
}

json
ToJson(const SlotRelease& aRelease)
{
  const bool known = aRelease.load_.has_value();
  return json::array({ kTag,
                       kRelease,
                       aRelease.id_,
                       aRelease.server_,
                       aRelease.executed_,
                       Milliseconds(aRelease.serviceTime_),
                       known ? aRelease.load_->running_ : -1,
                       known ? aRelease.load_->waiting_ : 0,
                       known ? aRelease.load_->pace_ : 0 });
}

SlotAsk
ReadAsk(FieldReader& aReader)
{
  SlotAsk ask;
  ask.id_ = aReader.Unsigned();
  ask.server_ = aReader.Server();
  ask.slots_ = aReader.Int(1, kMaxSlots);
  ask.rank_ = aReader.Int(0, kLowestRank);
  ask.customer_ = aReader.Unsigned();
  ask.route_ = aReader.Unsigned();
  ask.toAim_ = aReader.Milliseconds();
  ask.timeLeft_ = aReader.Milliseconds();
  ask.serviceTime_ = aReader.Milliseconds();
  ask.mode_ = static_cast<SlotMode>(
    aReader.Int(0, static_cast<int>(SlotMode::IfHalfIdle)));
  return ask;
}

SlotAnswer
ReadAnswer(FieldReader& aReader, TimePoint aNow)
{
  SlotAnswer answer;
  answer.id_ = aReader.Unsigned();
  answer.server_ = aReader.Server();
  answer.state_ = static_cast<SlotState>(
    aReader.Int(0, static_cast<int>(SlotState::Refused)));
  answer.wait_ = aReader.Milliseconds();
  answer.ahead_ = aReader.Int(0, kMaxCount);
  const auto load = aReader.Load(aNow);
  if (!load) {
    throw std::range_error("slot answer without a load");
  }
  answer.load_ = *load;
  answer.load_.fromOwner_ = true;
  return answer;
}

SlotRelease
ReadRelease(FieldReader& aReader, TimePoint aNow)
{
  SlotRelease release;
  release.id_ = aReader.Unsigned();
  release.server_ = aReader.Server();
  release.executed_ = aReader.Boolean();
  release.serviceTime_ = aReader.Milliseconds();
  release.load_ = aReader.Load(aNow);
  return release;
}

std::optional<SlotMessage>
FromJson(const json& aMessage, TimePoint aNow)
{
  if (!aMessage.is_array() || aMessage.size() < 3 || aMessage.at(0) != kTag) {
    return std::nullopt;
  }
  FieldReader reader(aMessage);
  const json& kind = aMessage.at(1);
  if (kind == kAsk) {
    return ReadAsk(reader);
  }
  if (kind == kAnswer) {
    return ReadAnswer(reader, aNow);
  }
  if (kind == kRelease) {
    return ReadRelease(reader, aNow);
  }
  return std::nullopt;
}

}

std::string
EncodeSlotMessage(const SlotMessage& aMessage)
{
  std::string bytes;
  std::visit([&](const auto& aBody) { json::to_cbor(ToJson(aBody), bytes); },
             aMessage);
  return bytes;
}

std::optional<SlotMessage>
DecodeSlotMessage(const std::string& aBytes, TimePoint aNow)
{
  // Messages of other types are maps, and need not be decoded here.
  const bool isArray =
    !aBytes.empty() &&
    (static_cast<unsigned char>(aBytes.front()) & kMajorTypeMask) == kArrayType;
  if (!isArray) {
    return std::nullopt;
  }
  try {
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
    return message ? FromJson(*message, aNow) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::range_error&) {
    return std::nullopt;
  }
}

}
