#include "gateway/AllowanceMessages.h"

#include "base/BoundedJson.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotsail {

using nlohmann::json;

namespace {

// A message is a single map of scalar values.
constexpr int kMaxDepth = 2;
constexpr const char* kKind = "kind";
constexpr const char* kTake = "take";
constexpr const char* kTaken = "taken";
constexpr const char* kLoan = "loan";
constexpr const char* kLent = "lent";
// A reply with a longer wait is rejected as malformed.
constexpr double kMaxWaitSeconds = 3600;

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

json
ToJson(const TakeRequest& aRequest)
{
  return { { kKind, kTake },
           { "id", aRequest.id_ },
           { "customer", aRequest.share_.customer_ },
           { "share", aRequest.share_.share_ },
           { "tokens", aRequest.tokens_ } };
}

json
ToJson(const TakeReply& aReply)
{
  return { { kKind, kTaken },
           { "id", aReply.id_ },
           { "owned", aReply.owned_ },
           { "tokens", aReply.tokens_ },
           { "wait_s", ToSeconds(aReply.wait_) } };
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
                        ReadAmount(aMessage, "tokens") };
  }
  if (kind == kTaken) {
    const double wait = ReadAmount(aMessage, "wait_s");
    if (wait > kMaxWaitSeconds) {
      return std::nullopt;
    }
    return TakeReply{ ReadId(aMessage),
                      aMessage.at("owned").get<bool>(),
                      ReadAmount(aMessage, "tokens"),
                      FromSeconds(wait) };
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
