#include "gateway/AllowanceMessages.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotsail {

using nlohmann::json;

namespace {

// A message is a map of scalar values and of arrays of these.
constexpr int kMaxDepth = 2;
constexpr const char* kKind = "kind";
constexpr const char* kTake = "take";
constexpr const char* kTaken = "taken";
constexpr const char* kLoan = "loan";
constexpr const char* kLent = "lent";
// A reply with a longer wait is rejected as malformed.
constexpr double kMaxWaitSeconds = 3600;
constexpr std::int64_t kMaxWaitMilliseconds = 3'600'000;

double
ReadAmount(const json& aMessage, const char* aField)
{
  const double amount = aMessage.at(aField).get<double>();
  if (!std::isfinite(amount) || amount < 0) {
    throw std::range_error(aField);
  }
  return amount;
}

std::uint64_t
ReadId(const json& aMessage)
{
  return aMessage.at("id").get<std::uint64_t>();
}

ShareKey
ReadShare(const json& aMessage)
{
  return { aMessage.at("customer").get<std::string>(),
           aMessage.at("share").get<std::size_t>() };
}

// Times in lists are whole milliseconds, rounded up.
std::int64_t
ToWireTime(Duration aDuration)
{
  const Duration rounded = aDuration + std::chrono::microseconds(999);
  return std::clamp<std::int64_t>(
    ToMilliseconds(rounded), 0, kMaxWaitMilliseconds);
}

Duration
ReadWireTime(const json& aValue)
{
  const auto milliseconds = aValue.get<std::int64_t>();
  if (milliseconds < 0 || milliseconds > kMaxWaitMilliseconds) {
    throw std::range_error("time");
  }
  return std::chrono::milliseconds(milliseconds);
}

// Two lists of the same length, absent in messages of earlier versions. Returns
// false if there are none.
bool
ReadLists(const json& aMessage,
          const char* aFirst,
          const char* aSecond,
          std::vector<json>& aFirstValues,
          std::vector<json>& aSecondValues)
{
  if (!aMessage.contains(aFirst)) {
    return false;
  }
  aFirstValues = aMessage.at(aFirst).get<std::vector<json>>();
  aSecondValues = aMessage.at(aSecond).get<std::vector<json>>();
  if (aFirstValues.size() != aSecondValues.size() ||
      aFirstValues.size() > kMaxDescribedCallers) {
    throw std::range_error(aFirst);
  }
  return true;
}

std::vector<ReturningCaller>
ReadCallers(const json& aMessage)
{
  std::vector<json> hashes;
  std::vector<json> patiences;
  std::vector<ReturningCaller> callers;
  if (ReadLists(aMessage, "callers", "patience_ms", hashes, patiences)) {
    for (std::size_t i = 0; i < hashes.size(); ++i) {
      callers.push_back(
        { hashes[i].get<std::uint64_t>(), ReadWireTime(patiences[i]) });
    }
  }
  return callers;
}

int
ReadPlace(const json& aValue)
{
  const int place = aValue.get<int>();
  if (place < 0) {
    throw std::range_error("place");
  }
  return place;
}

std::vector<CallerWait>
ReadWaits(const json& aMessage)
{
  std::vector<json> times;
  std::vector<json> places;
  std::vector<CallerWait> waits;
  if (ReadLists(aMessage, "waits_ms", "places", times, places)) {
    for (std::size_t i = 0; i < times.size(); ++i) {
      waits.push_back({ ReadWireTime(times[i]), ReadPlace(places[i]) });
    }
  }
  return waits;
}

json
ToJson(const TakeRequest& aRequest)
{
  json message = { { kKind, kTake },
                   { "id", aRequest.id_ },
                   { "customer", aRequest.share_.customer_ },
                   { "share", aRequest.share_.share_ },
                   { "tokens", aRequest.tokens_ } };
  for (const ReturningCaller& caller : aRequest.callers_) {
    message["callers"].push_back(caller.hash_);
    message["patience_ms"].push_back(ToWireTime(caller.patience_));
  }
  return message;
}

json
ToJson(const TakeReply& aReply)
{
  json message = { { kKind, kTaken },
                   { "id", aReply.id_ },
                   { "owned", aReply.owned_ },
                   { "tokens", aReply.tokens_ },
                   { "wait_s", ToSeconds(aReply.wait_) } };
  for (const CallerWait& caller : aReply.waits_) {
    message["waits_ms"].push_back(ToWireTime(caller.wait_));
    message["places"].push_back(caller.place_);
  }
  return message;
}

json
ToJson(const LoanRequest& aRequest)
{
  return { { kKind, kLoan },
           { "id", aRequest.id_ },
           { "customer", aRequest.share_.customer_ },
           { "share", aRequest.share_.share_ },
           { "version", aRequest.version_ },
           { "tokens", aRequest.tokens_ } };
}

json
ToJson(const LoanReply& aReply)
{
  return { { kKind, kLent },
           { "id", aReply.id_ },
           { "tokens", aReply.tokens_ } };
}

std::optional<AllowanceMessage>
FromJson(const json& aMessage)
{
  const json kind = aMessage.value(kKind, json());
  if (kind == kTake) {
    return TakeRequest{ ReadId(aMessage),
                        ReadShare(aMessage),
                        ReadAmount(aMessage, "tokens"),
                        ReadCallers(aMessage) };
  }
  if (kind == kTaken) {
    const double wait = ReadAmount(aMessage, "wait_s");
    if (wait > kMaxWaitSeconds) {
      return std::nullopt;
    }
    return TakeReply{ ReadId(aMessage),
                      aMessage.at("owned").get<bool>(),
                      ReadAmount(aMessage, "tokens"),
                      FromSeconds(wait),
                      ReadWaits(aMessage) };
  }
  if (kind == kLoan) {
    return LoanRequest{ ReadId(aMessage),
                        ReadShare(aMessage),
                        aMessage.at("version").get<std::uint64_t>(),
                        ReadAmount(aMessage, "tokens") };
  }
  if (kind == kLent) {
    return LoanReply{ ReadId(aMessage), ReadAmount(aMessage, "tokens") };
  }
  return std::nullopt;
}

}

std::string
EncodeAllowanceMessage(const AllowanceMessage& aMessage)
{
  std::string bytes;
  std::visit([&](const auto& aBody) { json::to_cbor(ToJson(aBody), bytes); },
             aMessage);
  return bytes;
}

std::optional<AllowanceMessage>
DecodeAllowanceMessage(const std::string& aBytes)
{
  try {
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
    const bool isMap = message && message->is_object();
    return isMap ? FromJson(*message) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::range_error&) {
    return std::nullopt;
  }
}

}
