#include "once/ClaimSegment.h"

#include "base/BoundedJson.h"
#include "base/Hash.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

constexpr int kFormat = 1;
// Number of fields in the array that encodes an entry.
constexpr std::size_t kEntryFields = 8;
// Upper bound for the numbers and the CBOR headers of one entry.
constexpr std::size_t kEntryOverhead = 40;
constexpr std::size_t kDigestDigits = 32;
constexpr std::int64_t kMaxMilliseconds = 86'400'000;
// Nesting of a record: record, list of entries, entry, outcome.
constexpr int kMaxDepth = 4;

Json
EncodeEntry(const ClaimEntry& aEntry)
{
  const std::string& body = aEntry.outcome_.body_;
  return Json::array({ aEntry.key_,
                       aEntry.fingerprint_,
                       aEntry.claimNumber_,
                       static_cast<int>(aEntry.stage_),
                       ToMilliseconds(aEntry.age_),
                       aEntry.outcome_.status_,
                       aEntry.outcome_.contentType_,
                       aEntry.outcome_.bodyKept_
                         ? Json::binary({ body.begin(), body.end() })
                         : Json(nullptr) });
}

std::uint64_t
Unsigned(const Json& aValue, std::uint64_t aMaximum)
{
  if (!aValue.is_number_unsigned() || aValue.get<std::uint64_t>() > aMaximum) {
    throw std::runtime_error("a number is missing or out of range");
  }
  return aValue.get<std::uint64_t>();
}

std::string
Text(const Json& aValue, std::size_t aMaximum)
{
  if (!aValue.is_string() ||
      aValue.get_ref<const std::string&>().size() > aMaximum) {
    throw std::runtime_error("a string is missing or too long");
  }
  return aValue.get<std::string>();
}

ClaimEntry
DecodeEntry(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kEntryFields) {
    throw std::runtime_error("an entry is not an array of eight fields");
  }
  ClaimEntry entry;
  entry.key_ = Text(aValue[0], kDigestDigits);
  entry.fingerprint_ = Text(aValue[1], kDigestDigits);
  entry.claimNumber_ = Unsigned(aValue[2], UINT64_MAX);
  entry.stage_ = static_cast<ClaimStage>(Unsigned(aValue[3], 2));
  entry.age_ = std::chrono::milliseconds(Unsigned(aValue[4], kMaxMilliseconds));
  entry.outcome_.status_ = static_cast<int>(Unsigned(aValue[5], 999));
  entry.outcome_.contentType_ = Text(aValue[6], kMaxContentType);
  entry.outcome_.bodyKept_ = aValue[7].is_binary();
  if (aValue[7].is_binary()) {
    const Json::binary_t& body = aValue[7].get_binary();
    entry.outcome_.body_.assign(body.begin(), body.end());
  }
  if (entry.key_.empty() || entry.claimNumber_ == 0 ||
      entry.outcome_.body_.size() > kMaxOutcomeBody) {
    throw std::runtime_error("an entry has no key, no claim number or a body "
                             "that is too large");
  }
  return entry;
}

ClaimSegment
DecodeMap(const Json& aMap)
{
  Unsigned(aMap.at("v"), kFormat);
  ClaimSegment segment;
  segment.epoch_ = Unsigned(aMap.at("e"), UINT64_MAX);
  segment.sequence_ = Unsigned(aMap.at("s"), UINT64_MAX);
  segment.attempt_ = Text(aMap.at("a"), 200);
  segment.mappingSignature_ = Unsigned(aMap.at("m"), UINT64_MAX);
  segment.inDoubtFor_ =
    std::chrono::milliseconds(Unsigned(aMap.at("d"), kMaxMilliseconds));
  const Json& entries = aMap.at("c");
  if (!entries.is_array()) {
    throw std::runtime_error("the entries are not an array");
  }
  for (const Json& entry : entries) {
    segment.entries_.push_back(DecodeEntry(entry));
  }
  return segment;
}

}

SlotLeaseTerm
LeaseTermOf(const SlotValidity& aValidity)
{
  SlotLeaseTerm leaseTerm;
  leaseTerm.slot_ =
    aValidity.slot_.region_ + "/" + std::to_string(aValidity.slot_.number_);
  leaseTerm.epoch_ = aValidity.epoch_;
  leaseTerm.validUntil_ =
    aValidity.index_ >= 0 ? aValidity.validUntil_ : TimePoint{};
  leaseTerm.outageUntil_ = aValidity.outageUntil_;
  leaseTerm.predecessorMayHaveContinued_ =
    aValidity.predecessor_ == PredecessorOutage::MayHaveContinued;
  leaseTerm.fenceKey_ = aValidity.fenceKey_;
  leaseTerm.fenceRevision_ = aValidity.fenceRevision_;
  return leaseTerm;
}

std::string
HashIdempotencyKey(std::string_view aCustomer, std::string_view aIdempotencyKey)
{
  std::string joined(aCustomer);
  joined.push_back('\0');
  joined.append(aIdempotencyKey);
  return Sha256Hex(joined).substr(0, kDigestDigits);
}

std::string
FingerprintRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody)
{
  return FingerprintRequest(
    aMethod, aTarget, std::vector<std::string_view>{ aBody });
}

std::string
FingerprintRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   const std::vector<std::string_view>& aBody)
{
  std::string joined(aMethod);
  joined.push_back('\0');
  joined.append(aTarget);
  joined.push_back('\0');
  joined.append(Sha256Hex(aBody));
  return Sha256Hex(joined).substr(0, kDigestDigits);
}

bool
ClaimEntry::Supersedes(const ClaimEntry& aOther) const
{
  return std::tie(claimNumber_, stage_) >
         std::tie(aOther.claimNumber_, aOther.stage_);
}

std::size_t
ClaimEntry::EncodedBound() const
{
  return key_.size() + fingerprint_.size() + outcome_.body_.size() +
         outcome_.contentType_.size() + kEntryOverhead;
}

std::string
ClaimSegment::Encode() const
{
  Json entries = Json::array();
  for (const ClaimEntry& entry : entries_) {
    entries.push_back(EncodeEntry(entry));
  }
  const Json map{
    { "v", kFormat },           { "e", epoch_ },
    { "s", sequence_ },         { "a", attempt_ },
    { "m", mappingSignature_ }, { "d", ToMilliseconds(inDoubtFor_) },
    { "c", std::move(entries) }
  };
  std::string value;
  Json::to_cbor(map, value);
  return value;
}

std::optional<ClaimSegment>
ClaimSegment::Decode(std::string_view aValue, std::string& aReason)
{
  try {
    const std::optional<Json> map = DecodeBoundedCbor(aValue, kMaxDepth);
    if (!map) {
      aReason = "not a complete CBOR value, or nested too deeply";
      return std::nullopt;
    }
    return DecodeMap(*map);
  } catch (const std::exception& e) {
    aReason = e.what();
    return std::nullopt;
  }
}

std::string
ClaimRecordsPrefix()
{
  return "peridotsail/claims/";
}

std::string
ClaimRecordPrefix(std::string_view aSlot)
{
  return ClaimRecordsPrefix() + std::string(aSlot) + "/";
}

std::string
ClaimRecordKey(std::string_view aSlot,
               std::uint64_t aEpoch,
               std::uint64_t aSequence)
{
  return ClaimRecordPrefix(aSlot) + std::to_string(aEpoch) + "/" +
         std::to_string(aSequence);
}

}
