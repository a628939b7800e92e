#include "config/DocumentEdit.h"

#include "base/Hash.h"
#include "config/ConfigurationParser.h"
#include "config/KeyedDocument.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

std::optional<Json>
ParseValid(std::string_view aDocument)
{
  std::vector<ConfigurationFault> faults;
  if (!ParseConfiguration(aDocument, faults)) {
    return std::nullopt;
  }
  return Json::parse(aDocument);
}

Json
FieldOr(const Json& aObject, const std::string& aName, const Json& aDefault)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() ? aDefault : *found;
}

std::string
TextOf(const Json& aValue)
{
  return aValue.is_null() ? "" : detail::CanonicalText(aValue);
}

std::set<std::string>
NamesOfBoth(const Json& aLeft, const Json& aRight)
{
  std::set<std::string> names;
  for (const Json* side : { &aLeft, &aRight }) {
    for (const auto& [name, value] : side->items()) {
      names.insert(name);
    }
  }
  return names;
}

}

IssuedKey
MakeKey()
{
  IssuedKey key;
  key.id_ = "k" + RandomId().substr(0, 16);
  key.secret_ = RandomId() + RandomId();
  key.sha256_ = Sha256Hex(key.secret_);
  return key;
}

std::optional<std::string>
AddKey(std::string_view aDocument,
       const std::string& aCustomer,
       const IssuedKey& aKey)
{
  std::optional<Json> document = ParseValid(aDocument);
  if (!document) {
    return std::nullopt;
  }
  (*document)["keys"].push_back({ { "id", aKey.id_ },
                                  { "customer", aCustomer },
                                  { "sha256", aKey.sha256_ },
                                  { "withdrawn", false } });
  std::string text = detail::CanonicalText(*document);
  std::vector<ConfigurationFault> faults;
  if (!ParseConfiguration(text, faults)) {
    return std::nullopt;
  }
  return text;
}

std::optional<std::string>
WithdrawKeys(std::string_view aDocument, const std::vector<std::string>& aIds)
{
  std::optional<Json> document = ParseValid(aDocument);
  if (!document) {
    return std::nullopt;
  }
  const auto keys = document->find("keys");
  if (keys != document->end()) {
    for (Json& key : *keys) {
      if (std::find(aIds.begin(), aIds.end(), key["id"].get<std::string>()) !=
          aIds.end()) {
        key["withdrawn"] = true;
      }
    }
  }
  return detail::CanonicalText(*document);
}

std::vector<DocumentDifference>
CompareDocuments(std::string_view aLeft, std::string_view aRight)
{
  std::vector<DocumentDifference> differences;
  const std::optional<Json> left = ParseValid(aLeft);
  const std::optional<Json> right = ParseValid(aRight);
  if (!left || !right) {
    return differences;
  }
  const Json leftKeyed = detail::ToKeyed(*left);
  const Json rightKeyed = detail::ToKeyed(*right);
  for (const std::string& section : NamesOfBoth(leftKeyed, rightKeyed)) {
    const Json leftSection = FieldOr(leftKeyed, section, Json::object());
    const Json rightSection = FieldOr(rightKeyed, section, Json::object());
    if (!leftSection.is_object() || !rightSection.is_object()) {
      if (leftSection != rightSection) {
        differences.push_back(
          { section, "", TextOf(leftSection), TextOf(rightSection) });
      }
      continue;
    }
    for (const std::string& item : NamesOfBoth(leftSection, rightSection)) {
      const Json leftItem = FieldOr(leftSection, item, nullptr);
      const Json rightItem = FieldOr(rightSection, item, nullptr);
      if (leftItem != rightItem) {
        differences.push_back(
          { section, item, TextOf(leftItem), TextOf(rightItem) });
      }
    }
  }
  return differences;
}

}
