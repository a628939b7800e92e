#include "gateway/QuarantineMessages.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

namespace {

// The nesting depth of a message: the map, its list of deaths and each death.
constexpr int kMaxDepth = 3;
constexpr const char* kKind = "kind";
constexpr const char* kReport = "suspect-report";
constexpr const char* kNotice = "suspect-notice";
constexpr const char* kCleared = "suspect-cleared";
constexpr std::size_t kMaxOtherDeaths = 16;

json
NoticeToJson(const QuarantineNotice& aNotice)
{
  return json::binary(EncodeQuarantineNotice(aNotice));
}

std::optional<QuarantineNotice>
ReadNotice(const json& aMessage)
{
  return DecodeQuarantineNotice(static_cast<const std::vector<std::uint8_t>&>(
    aMessage.at("notice").get_binary()));
}

std::uint64_t
ReadId(const json& aMessage)
{
  return aMessage.at("id").get<std::uint64_t>();
}

json
ToJson(const SuspectReport& aReport)
{
  return { { kKind, kReport },
           { "id", aReport.id_ },
           { "notice", NoticeToJson(aReport.notice_) },
           { "others", EncodeQuarantineDeaths(aReport.otherDeaths_) } };
}

json
ToJson(const SuspectNotice& aNotice)
{
  return { { kKind, kNotice },
           { "id", aNotice.id_ },
           { "notice", NoticeToJson(aNotice.notice_) } };
}

json
ToJson(const SuspectCleared& aCleared)
{
  return { { kKind, kCleared },
           { "fingerprint", aCleared.fingerprint_ },
           { "age_ms",
             std::max<std::int64_t>(0, ToMilliseconds(aCleared.age_)) } };
}

std::optional<QuarantineMessage>
ReadReport(const json& aMessage)
{
  const auto notice = ReadNotice(aMessage);
  const auto others =
    DecodeQuarantineDeaths(aMessage.at("others"), kMaxOtherDeaths);
  if (!notice || !others || ReadId(aMessage) == 0) {
    return std::nullopt;
  }
  return SuspectReport{ ReadId(aMessage), *notice, *others };
}

std::optional<QuarantineMessage>
ReadCleared(const json& aMessage)
{
  const auto fingerprint = aMessage.at("fingerprint").get<std::string>();
  const auto age = DecodeQuarantineAge(aMessage.at("age_ms"));
  if (!IsFingerprint(fingerprint) || !age) {
    return std::nullopt;
  }
  return SuspectCleared{ fingerprint, *age };
}

std::optional<QuarantineMessage>
FromJson(const json& aMessage)
{
  const json kind = aMessage.value(kKind, json());
  if (kind == kReport) {
    return ReadReport(aMessage);
  }
  if (kind == kNotice) {
    const auto notice = ReadNotice(aMessage);
    return notice ? std::optional<QuarantineMessage>(
                      SuspectNotice{ ReadId(aMessage), *notice })
                  : std::nullopt;
  }
  return kind == kCleared ? ReadCleared(aMessage) : std::nullopt;
}

}

std::string
EncodeQuarantineMessage(const QuarantineMessage& aMessage)
{
  std::string bytes;
  std::visit([&](const auto& aBody) { json::to_cbor(ToJson(aBody), bytes); },
             aMessage);
  return bytes;
}

std::optional<QuarantineMessage>
DecodeQuarantineMessage(const std::string& aBytes)
{
  try {
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
    const bool fits = message && message->is_object();
    return fits ? FromJson(*message) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
