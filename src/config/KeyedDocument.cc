#include "config/KeyedDocument.h"

namespace peridotsail::detail {

namespace {

using Json = nlohmann::json;

std::string
TextField(const Json& aItem, const char* aField)
{
  const auto found = aItem.find(aField);
  return found != aItem.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::string
IdentityOf(const std::string& aSection, const Json& aItem)
{
  if (aSection == "keys") {
    return TextField(aItem, "id");
  }
  // Names contain no spaces, so the joined identities are unambiguous.
  if (aSection == "shift_caps") {
    return TextField(aItem, "from") + " " + TextField(aItem, "to");
  }
  if (aSection == "drains") {
    return TextField(aItem, "kind") + " " + TextField(aItem, "name");
  }
  return TextField(aItem, "name");
}

}

Json
ToKeyed(const Json& aDocument)
{
  Json keyed = Json::object();
  for (const auto& [name, section] : aDocument.items()) {
    if (!section.is_array()) {
      keyed[name] = section;
      continue;
    }
    Json items = Json::object();
    for (const Json& item : section) {
      items[IdentityOf(name, item)] = item;
    }
    if (!items.empty()) {
      keyed[name] = std::move(items);
    }
  }
  return keyed;
}

std::optional<Json>
FromKeyed(const Json& aKeyed)
{
  if (!aKeyed.is_object()) {
    return std::nullopt;
  }
  Json document = Json::object();
  for (const auto& [name, section] : aKeyed.items()) {
    if (section.is_number_integer()) {
      document[name] = section;
      continue;
    }
    if (!section.is_object()) {
      return std::nullopt;
    }
    Json items = Json::array();
    for (const auto& [identity, item] : section.items()) {
      if (!item.is_object() || IdentityOf(name, item) != identity) {
        return std::nullopt;
      }
      items.push_back(item);
    }
    if (!items.empty()) {
      document[name] = std::move(items);
    }
  }
  return document;
}

std::string
CanonicalText(const Json& aDocument)
{
  return aDocument.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
