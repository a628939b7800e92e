#pragma once

// Conversions between store messages and the JSON of the etcd v3 API, where
// keys and values are in base64 and 64-bit numbers are texts.

#include "base/Base64.h"
#include "store/StoreClient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail::detail {

// A number given as a JSON number or as a text; 0 when the field is absent.
std::int64_t
ReadInt64(const nlohmann::json& aObject, const char* aField);

nlohmann::json
ToJson(const StoreTransaction& aTransaction);

// The first key after all keys with this prefix.
std::string
PrefixEnd(std::string aPrefix);

// The decoded field, or an empty text when it is absent; nothing when it is
// malformed.
std::optional<std::string>
ReadBase64(const nlohmann::json& aObject, const char* aField);

// Returns nothing when the object is malformed.
std::optional<StoreRecord>
ReadRecord(const nlohmann::json& aObject);

}
