#pragma once

// Converts between a document and its keyed form, in which each section is an
// object from item identity to item instead of an array. Deltas and the
// canonical form are based on the keyed form.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail::detail {

// The document must have passed ParseConfiguration.
nlohmann::json
ToKeyed(const nlohmann::json& aDocument);

// Returns nullopt if a section is not an object of objects or if the identity
// of an item differs from its key.
std::optional<nlohmann::json>
FromKeyed(const nlohmann::json& aKeyed);

// The JSON text over which a document's hash is computed.
std::string
CanonicalText(const nlohmann::json& aDocument);

}
