#pragma once

// Validated access to the fields of a decoded CBOR map. Include it only in .cc
// files that decode peer messages.
//
//   CborReader reader(bytes);
//   message.id_ = reader.Unsigned("id");
//   message.name_ = reader.Text("name", 100);
//   if (!reader.Valid()) { return std::nullopt; }

#include "base/BoundedJson.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace peridotsail {

class CborReader
{
public:
  explicit CborReader(std::string_view aBytes)
    : map_(DecodeBoundedCbor(aBytes, kMaxDepth).value_or(nullptr))
    , valid_(map_.is_object())
  {
  }

  explicit CborReader(nlohmann::json aMap)
    : map_(std::move(aMap))
    , valid_(map_.is_object())
  {
  }

  // False once a field was missing, had the wrong type or was too large.
  bool Valid() const { return valid_; }

  bool Has(const char* aField) const { return valid_ && map_.contains(aField); }

  std::uint64_t Unsigned(const char* aField)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_number_unsigned()) {
      valid_ = false;
      return 0;
    }
    return value->get<std::uint64_t>();
  }

  std::int64_t Signed(const char* aField)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_number_integer()) {
      valid_ = false;
      return 0;
    }
    return value->get<std::int64_t>();
  }

  double Number(const char* aField)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_number()) {
      valid_ = false;
      return 0;
    }
    return value->get<double>();
  }

  bool Flag(const char* aField)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_boolean()) {
      valid_ = false;
      return false;
    }
    return value->get<bool>();
  }

  std::string Text(const char* aField, std::size_t aMaxBytes)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_string() ||
        value->get_ref<const std::string&>().size() > aMaxBytes) {
      valid_ = false;
      return "";
    }
    return value->get<std::string>();
  }

  std::string Binary(const char* aField, std::size_t aMaxBytes)
  {
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_binary() ||
        value->get_binary().size() > aMaxBytes) {
      valid_ = false;
      return "";
    }
    const auto& bytes = value->get_binary();
    return std::string(bytes.begin(), bytes.end());
  }

  // Returns an array of at most aMaxItems elements, or an empty one when it is
  // invalid.
  const nlohmann::json& Array(const char* aField, std::size_t aMaxItems)
  {
    static const nlohmann::json kEmpty = nlohmann::json::array();
    const nlohmann::json* value = Find(aField);
    if (value == nullptr || !value->is_array() || value->size() > aMaxItems) {
      valid_ = false;
      return kEmpty;
    }
    return *value;
  }

private:
  // Leaves room for a message, its lists, their items and nested structures of
  // a component's own.
  static constexpr int kMaxDepth = 8;

  const nlohmann::json* Find(const char* aField) const
  {
    if (!valid_) {
      return nullptr;
    }
    const auto found = map_.find(aField);
    return found == map_.end() ? nullptr : &*found;
  }

  nlohmann::json map_;
  bool valid_;
};

// Returns the CBOR encoding of a map.
inline std::string
ToCbor(const nlohmann::json& aMap)
{
  std::string bytes;
  nlohmann::json::to_cbor(aMap, bytes);
  return bytes;
}

// Creates a CBOR byte string.
inline nlohmann::json
CborBinary(std::string_view aBytes)
{
  return nlohmann::json::binary(
    std::vector<std::uint8_t>(aBytes.begin(), aBytes.end()));
}

}
