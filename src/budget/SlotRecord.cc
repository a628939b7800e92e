#include "budget/SlotRecord.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kAliveSuffix = "/alive";

Json
ToJson(const SlotHolder& aHolder)
{
  return { { "host", aHolder.host_ },
           { "address", aHolder.address_ },
           { "incarnation", aHolder.incarnation_ } };
}

bool
ReadText(const Json& aObject, const char* aField, std::string& aText)
{
  const auto field = aObject.find(aField);
  if (field == aObject.end() || !field->is_string()) {
    return false;
  }
  aText = field->get<std::string>();
  return true;
}

bool
FromJson(const Json& aJson, SlotHolder& aHolder)
{
  return aJson.is_object() && ReadText(aJson, "host", aHolder.host_) &&
         ReadText(aJson, "address", aHolder.address_) &&
         ReadText(aJson, "incarnation", aHolder.incarnation_);
}

// Returns the slot number, or -1 if aText is not a valid number.
int
ParseNumber(std::string_view aText)
{
  int number = -1;
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, number);
  return error == std::errc() && parsedEnd == end && number >= 0 ? number : -1;
}

}

std::string
SlotTablePrefix(std::string_view aRegion)
{
  return "peridotsail/slots/" + std::string(aRegion) + "/";
}

std::string
SlotRecordKey(const SlotId& aSlot)
{
  return SlotTablePrefix(aSlot.region_) + std::to_string(aSlot.number_);
}

std::string
SlotAliveKey(const SlotId& aSlot)
{
  return SlotRecordKey(aSlot) + std::string(kAliveSuffix);
}

std::string
EncodeSlotRecord(const SlotRecord& aRecord)
{
  Json consent = Json::array();
  for (const SlotHolder& holder : aRecord.consent_) {
    consent.push_back(ToJson(holder));
  }
  return Json{
    { "holder", ToJson(aRecord.holder_) },
    { "epoch", aRecord.epoch_ },
    { "attempt", aRecord.attempt_ },
    { "lease", aRecord.lease_ },
    { "consent", std::move(consent) }
  }.dump();
}

std::optional<SlotRecord>
DecodeSlotRecord(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  SlotRecord record;
  if (!json.is_object() || !json.contains("holder") ||
      !FromJson(json["holder"], record.holder_) ||
      !ReadText(json, "attempt", record.attempt_)) {
    return std::nullopt;
  }
  const auto epoch = json.find("epoch");
  const auto lease = json.find("lease");
  const auto consent = json.find("consent");
  if (epoch == json.end() || !epoch->is_number_unsigned() ||
      lease == json.end() || !lease->is_number_integer() ||
      consent == json.end() || !consent->is_array()) {
    return std::nullopt;
  }
  record.epoch_ = epoch->get<std::uint64_t>();
  record.lease_ = lease->get<std::int64_t>();
  for (const Json& item : *consent) {
    SlotHolder holder;
    if (!FromJson(item, holder)) {
      return std::nullopt;
    }
    record.consent_.push_back(std::move(holder));
  }
  return record;
}

std::vector<SlotRow>
ParseSlotTable(std::string_view aRegion,
               const std::vector<SlotTableEntry>& aEntries,
               int& aMalformed)
{
  const std::string prefix = SlotTablePrefix(aRegion);
  std::map<int, SlotRow> rows;
  for (const SlotTableEntry& entry : aEntries) {
    std::string_view rest = entry.key_;
    if (rest.substr(0, prefix.size()) != prefix) {
      continue;
    }
    rest.remove_prefix(prefix.size());
    const bool isAlive =
      rest.size() > kAliveSuffix.size() &&
      rest.substr(rest.size() - kAliveSuffix.size()) == kAliveSuffix;
    if (isAlive) {
      rest.remove_suffix(kAliveSuffix.size());
    }
    const int number = ParseNumber(rest);
    if (number < 0) {
      continue;
    }
    SlotRow& row = rows[number];
    row.slot_ = { std::string(aRegion), number };
    if (isAlive) {
      row.alive_ = true;
      row.aliveRevision_ = entry.revision_;
      continue;
    }
    row.revision_ = entry.revision_;
    row.record_ = DecodeSlotRecord(entry.value_);
    if (!row.record_) {
      ++aMalformed;
      row.record_ = SlotRecord{};
      row.record_->holder_.incarnation_ = "unknown";
    }
  }
  std::vector<SlotRow> table;
  table.reserve(rows.size());
  for (auto& [number, row] : rows) {
    table.push_back(std::move(row));
  }
  return table;
}

}
