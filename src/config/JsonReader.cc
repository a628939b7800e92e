#include "config/JsonReader.h"

#include <algorithm>
#include <cctype>

namespace peridotsail::detail {

namespace {

constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kMaxStringBytes = 1000;
constexpr std::size_t kMaxArrayItems = 100'000;
constexpr double kMaxNumber = 1e12;

bool
IsName(const std::string& aText)
{
  const auto allowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '.' || aChar == '_' ||
           aChar == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

const nlohmann::json kEmptyObject = nlohmann::json::object();

}

JsonObjectReader::JsonObjectReader(const Json& aObject,
                                   std::string aPath,
                                   std::vector<ConfigurationFault>& aFaults)
  : object_(&aObject)
  , path_(std::move(aPath))
  , faults_(&aFaults)
{
  if (!aObject.is_object()) {
    faults_->push_back({ path_, "is not an object" });
    object_ = &kEmptyObject;
  }
}

std::string
JsonObjectReader::PathOf(const char* aField) const
{
  return path_.empty() ? aField : path_ + "." + aField;
}

void
JsonObjectReader::AddFault(const char* aField, std::string aMessage)
{
  faults_->push_back({ PathOf(aField), std::move(aMessage) });
}

const JsonObjectReader::Json*
JsonObjectReader::Find(const char* aField, bool aRequired)
{
  knownFields_.insert(aField);
  const auto found = object_->find(aField);
  if (found != object_->end()) {
    return &*found;
  }
  if (aRequired) {
    AddFault(aField, "is missing");
  }
  return nullptr;
}

std::string
JsonObjectReader::Name(const char* aField)
{
  const Json* value = Find(aField, true);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string() || !IsName(value->get<std::string>())) {
    AddFault(aField,
             "is not a name of 1 to 100 letters, digits, '.', '_' or '-'");
    return "";
  }
  return value->get<std::string>();
}

std::string
JsonObjectReader::String(const char* aField)
{
  const Json* value = Find(aField, true);
  if (value == nullptr) {
    return "";
  }
  const bool valid =
    value->is_string() && !value->get_ref<const std::string&>().empty() &&
    value->get_ref<const std::string&>().size() <= kMaxStringBytes;
  if (!valid) {
    AddFault(aField, "is not a string of 1 to 1000 bytes");
    return "";
  }
  return value->get<std::string>();
}

std::string
JsonObjectReader::StringOr(const char* aField, const std::string& aDefault)
{
  return Find(aField, false) == nullptr ? aDefault : String(aField);
}

std::int64_t
JsonObjectReader::Integer(const char* aField,
                          std::int64_t aMinimum,
                          std::int64_t aMaximum,
                          std::optional<std::int64_t> aDefault)
{
  const Json* value = Find(aField, !aDefault.has_value());
  if (value == nullptr) {
    return aDefault.value_or(aMinimum);
  }
  // Values above the signed range would overflow in get<std::int64_t>().
  const bool tooLarge =
    value->is_number_unsigned() &&
    value->get<std::uint64_t>() > static_cast<std::uint64_t>(aMaximum);
  if (!value->is_number_integer() || tooLarge ||
      value->get<std::int64_t>() < aMinimum ||
      value->get<std::int64_t>() > aMaximum) {
    AddFault(aField,
             "is not an integer from " + std::to_string(aMinimum) + " to " +
               std::to_string(aMaximum));
    return aMinimum;
  }
  return value->get<std::int64_t>();
}

double
JsonObjectReader::Number(const char* aField, std::optional<double> aDefault)
{
  const Json* value = Find(aField, !aDefault.has_value());
  if (value == nullptr) {
    return aDefault.value_or(0);
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (!(number >= 0 && number <= kMaxNumber)) {
    AddFault(aField, "is not a number from 0 to 1e12");
    return 0;
  }
  return number;
}

bool
JsonObjectReader::Boolean(const char* aField, bool aDefault)
{
  const Json* value = Find(aField, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    AddFault(aField, "is not a boolean");
    return aDefault;
  }
  return value->get<bool>();
}

std::vector<std::string>
JsonObjectReader::Strings(const char* aField, bool aRequired)
{
  std::vector<std::string> strings;
  const Json* value = Find(aField, aRequired);
  if (value == nullptr) {
    return strings;
  }
  if (!value->is_array()) {
    AddFault(aField, "is not an array of strings");
    return strings;
  }
  for (const Json& item : *value) {
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      AddFault(aField, "contains an element that is not a non-empty string");
      return strings;
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

std::vector<JsonObjectReader>
JsonObjectReader::Objects(const char* aField)
{
  std::vector<JsonObjectReader> readers;
  const Json* value = Find(aField, false);
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_array() || value->size() > kMaxArrayItems) {
    AddFault(aField, "is not an array of at most 100000 objects");
    return readers;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    const std::string path = PathOf(aField) + "[" + std::to_string(i) + "]";
    readers.emplace_back((*value)[i], path, *faults_);
  }
  return readers;
}

void
JsonObjectReader::RejectUnknownFields()
{
  for (const auto& item : object_->items()) {
    if (knownFields_.count(item.key()) == 0) {
      AddFault(item.key().c_str(), "is not a known field");
    }
  }
}

}
