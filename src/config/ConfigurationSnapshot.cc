#include "config/ConfigurationSnapshot.h"

#include "base/BoundedJson.h"
#include "base/Hash.h"
#include "config/KeyedDocument.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

SnapshotPtr
MakeSnapshot(std::int64_t aVersion,
             std::string_view aText,
             std::vector<ConfigurationFault>& aFaults)
{
  std::optional<Configuration> parsed = ParseConfiguration(aText, aFaults);
  if (parsed && aVersion < 1) {
    aFaults.push_back({ "", "the version is not positive" });
  }
  if (!parsed || !aFaults.empty()) {
    return nullptr;
  }
  const std::optional<json> canonical =
    detail::FromKeyed(detail::ToKeyed(json::parse(aText)));
  if (!canonical) {
    aFaults.push_back({ "", "the document has no canonical form" });
    return nullptr;
  }
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  snapshot->version_ = aVersion;
  snapshot->document_ = detail::CanonicalText(*canonical);
  snapshot->hash_ = Sha256Hex(snapshot->document_);
  parsed->version_ = aVersion;
  snapshot->configuration_ =
    std::make_shared<const Configuration>(std::move(*parsed));
  return snapshot;
}

std::optional<ConfigurationRecord>
ParseRecord(std::string_view aText)
{
  const json value = ParseBoundedJson(aText);
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto version = value.find("version");
  const auto attempt = value.find("attempt");
  const auto author = value.find("author");
  const auto document = value.find("document");
  if (version == value.end() || !version->is_number_integer() ||
      version->get<std::int64_t>() < 1 || document == value.end() ||
      !document->is_object()) {
    return std::nullopt;
  }
  ConfigurationRecord record;
  record.version_ = version->get<std::int64_t>();
  if (attempt != value.end() && attempt->is_string()) {
    record.attempt_ = attempt->get<std::string>();
  }
  if (author != value.end() && author->is_string()) {
    record.author_ = author->get<std::string>();
  }
  record.document_ = detail::CanonicalText(*document);
  return record;
}

std::string
FormatRecord(const ConfigurationRecord& aRecord)
{
  const json value{ { "version", aRecord.version_ },
                    { "attempt", aRecord.attempt_ },
                    { "author", aRecord.author_ },
                    { "document", json::parse(aRecord.document_) } };
  return detail::CanonicalText(value);
}

}
