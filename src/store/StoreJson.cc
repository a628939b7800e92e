#include "store/StoreJson.h"

#include <charconv>

namespace peridotsail::detail {

std::int64_t
ReadInt64(const nlohmann::json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<std::int64_t>();
  }
  std::int64_t value = 0;
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

nlohmann::json
ToJson(const StoreTransaction& aTransaction)
{
  nlohmann::json compares = nlohmann::json::array();
  for (const StoreCompare& compare : aTransaction.compares_) {
    compares.push_back(
      { { "key", EncodeBase64(compare.key_) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.modRevision_) } });
  }
  nlohmann::json operations = nlohmann::json::array();
  for (const StorePut& put : aTransaction.puts_) {
    nlohmann::json body{ { "key", EncodeBase64(put.key_) },
                         { "value", EncodeBase64(put.value_) } };
    if (put.leaseId_ != 0) {
      body["lease"] = std::to_string(put.leaseId_);
    }
    operations.push_back({ { "request_put", body } });
  }
  for (const std::string& key : aTransaction.deletes_) {
    operations.push_back(
      { { "request_delete_range", { { "key", EncodeBase64(key) } } } });
  }
  return { { "compare", compares }, { "success", operations } };
}

std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty() &&
         static_cast<unsigned char>(aPrefix.back()) == 255) {
    aPrefix.pop_back();
  }
  if (aPrefix.empty()) {
    return std::string(1, '\0');
  }
  aPrefix.back() = static_cast<char>(aPrefix.back() + 1);
  return aPrefix;
}

std::optional<std::string>
ReadBase64(const nlohmann::json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  if (found == aObject.end()) {
    return std::string();
  }
  return found->is_string() ? DecodeBase64(found->get<std::string>())
                            : std::nullopt;
}

std::optional<StoreRecord>
ReadRecord(const nlohmann::json& aObject)
{
  if (!aObject.is_object()) {
    return std::nullopt;
  }
  const auto key = ReadBase64(aObject, "key");
  const auto value = ReadBase64(aObject, "value");
  if (!key || !value) {
    return std::nullopt;
  }
  StoreRecord record;
  record.key_ = *key;
  record.value_ = *value;
  record.createRevision_ = ReadInt64(aObject, "create_revision");
  record.modRevision_ = ReadInt64(aObject, "mod_revision");
  return record;
}

}
