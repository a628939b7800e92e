#include "config/ConfigurationDelta.h"

#include "base/BoundedJson.h"
#include "base/Hash.h"
#include "config/KeyedDocument.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

// A delta nests its fields five levels deep; the rest is reserve.
constexpr int kMaxDepth = 16;

Json
ToKeyedDocument(const ConfigurationSnapshot* aSnapshot)
{
  return aSnapshot == nullptr
           ? Json::object()
           : detail::ToKeyed(Json::parse(aSnapshot->document_));
}

// Returns the merge patch that turns aFrom into aTo. Neither may contain null,
// which a merge patch cannot set; validated documents have none.
Json
MakePatch(const Json& aFrom, const Json& aTo)
{
  Json patch = Json::object();
  for (const auto& [name, value] : aFrom.items()) {
    if (!aTo.contains(name)) {
      patch[name] = nullptr;
    }
  }
  for (const auto& [name, value] : aTo.items()) {
    const auto old = aFrom.find(name);
    if (old != aFrom.end() && *old == value) {
      continue;
    }
    const bool merges =
      old != aFrom.end() && old->is_object() && value.is_object();
    patch[name] = merges ? MakePatch(*old, value) : value;
  }
  return patch;
}

bool
IsDelta(const Json& aDelta)
{
  const auto hasField = [&](const char* aName, bool (Json::*aTest)() const) {
    const auto found = aDelta.find(aName);
    return found != aDelta.end() && ((*found).*aTest)();
  };
  return aDelta.is_object() && hasField("b", &Json::is_number_integer) &&
         hasField("bh", &Json::is_string) &&
         hasField("v", &Json::is_number_integer) &&
         hasField("h", &Json::is_string) && hasField("p", &Json::is_object);
}

}

std::string
EncodeDelta(const ConfigurationSnapshot* aBase,
            const ConfigurationSnapshot& aTarget)
{
  const Json delta{
    { "b", aBase == nullptr ? 0 : aBase->version_ },
    { "bh", aBase == nullptr ? "" : aBase->hash_ },
    { "v", aTarget.version_ },
    { "h", aTarget.hash_ },
    { "p", MakePatch(ToKeyedDocument(aBase), ToKeyedDocument(&aTarget)) }
  };
  const std::vector<std::uint8_t> bytes = Json::to_cbor(delta);
  return { bytes.begin(), bytes.end() };
}

DeltaOutcome
ApplyDelta(const ConfigurationSnapshot* aBase, std::string_view aBytes)
{
  DeltaOutcome outcome;
  const std::optional<Json> delta = DecodeBoundedCbor(aBytes, kMaxDepth);
  if (!delta || !IsDelta(*delta)) {
    return outcome;
  }
  outcome.baseVersion_ = (*delta)["b"].get<std::int64_t>();
  outcome.version_ = (*delta)["v"].get<std::int64_t>();
  const bool whole = outcome.baseVersion_ == 0;
  if (!whole && (aBase == nullptr || aBase->version_ != outcome.baseVersion_ ||
                 aBase->hash_ != (*delta)["bh"].get<std::string>())) {
    outcome.result_ = DeltaResult::WrongBase;
    return outcome;
  }
  Json keyed = ToKeyedDocument(whole ? nullptr : aBase);
  keyed.merge_patch((*delta)["p"]);
  const std::optional<Json> document = detail::FromKeyed(keyed);
  const std::string text = document ? detail::CanonicalText(*document) : "";
  if (!document || Sha256Hex(text) != (*delta)["h"].get<std::string>()) {
    outcome.result_ = DeltaResult::WrongHash;
    return outcome;
  }
  std::vector<ConfigurationFault> faults;
  outcome.snapshot_ = MakeSnapshot(outcome.version_, text, faults);
  outcome.result_ =
    outcome.snapshot_ ? DeltaResult::Applied : DeltaResult::Refused;
  outcome.detail_ = DescribeFaults(faults);
  return outcome;
}

}
