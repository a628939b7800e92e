#pragma once

// The document with each section as an object from item identity to item, in
// place of an array. Deltas and the canonical form are made from it.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail::detail {

// The document must have passed ParseConfiguration.
nlohmann::json
ToKeyed(const nlohmann::json& aDocument);

// Returns nothing when a section is not an object of objects or an item's
// identity is not its key.
std::optional<nlohmann::json>
FromKeyed(const nlohmann::json& aKeyed);

// The JSON text whose hash identifies the document.
std::string
CanonicalText(const nlohmann::json& aDocument);

}
