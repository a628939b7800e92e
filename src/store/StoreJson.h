#pragma once

// Conversions between store types and the JSON of the etcd v3 API, in which
// keys and values are base64-encoded and 64-bit integers are strings.

#include "base/Base64.h"
#include "store/StoreClient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail::detail {

// Reads an integer from a JSON number or string. Returns 0 if the field is
// absent.
std::int64_t
ReadInt64(const nlohmann::json& aObject, const char* aField);

nlohmann::json
ToJson(const StoreTransaction& aTransaction);

// Returns the first key after all keys with this prefix.
std::string
PrefixEnd(std::string aPrefix);

// Returns the decoded field, an empty string if it is absent, or nullopt if it
// is malformed.
std::optional<std::string>
ReadBase64(const nlohmann::json& aObject, const char* aField);

// Returns nullopt if the object is malformed.
std::optional<StoreRecord>
ReadRecord(const nlohmann::json& aObject);

}
