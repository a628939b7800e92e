#pragma once

// Reads JSON objects field by field and collects the faults with their paths.
//
//   JsonObjectReader reader(json, "regions[0]", faults);
//   region.name_ = reader.Name("name");
//   region.slots_ = static_cast<int>(reader.Integer("slots", 1, 1000));
//   reader.RejectUnknownFields();

#include "config/ConfigurationParser.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail::detail {

class JsonObjectReader
{
public:
  using Json = nlohmann::json;

  JsonObjectReader(const Json& aObject,
                   std::string aPath,
                   std::vector<ConfigurationFault>& aFaults);

  // A required string of 1 to 100 letters, digits, '.', '_' and '-'.
  std::string Name(const char* aField);
  // A required string of 1 to 1000 bytes.
  std::string String(const char* aField);
  std::string StringOr(const char* aField, const std::string& aDefault);
  std::int64_t Integer(const char* aField,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum,
                       std::optional<std::int64_t> aDefault = std::nullopt);
  // A number from 0 to 1e12.
  double Number(const char* aField,
                std::optional<double> aDefault = std::nullopt);
  bool Boolean(const char* aField, bool aDefault);
  std::vector<std::string> Strings(const char* aField, bool aRequired);
  // The elements of an array of objects; empty if the field is missing.
  std::vector<JsonObjectReader> Objects(const char* aField);
  void RejectUnknownFields();
  void AddFault(const char* aField, std::string aMessage);
  std::string PathOf(const char* aField) const;

private:
  // Returns the field's value, or null if it is missing; a missing required
  // field is a fault.
  const Json* Find(const char* aField, bool aRequired);

  const Json* object_;
  std::string path_;
  std::vector<ConfigurationFault>* faults_;
  std::set<std::string> knownFields_;
};

}
