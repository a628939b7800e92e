#include "app/ConfigurationEnvelope.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

std::string
EncodeEnvelope(const ConfigurationEnvelope& aEnvelope)
{
  return nlohmann::json{
    { "version", aEnvelope.version_ },
    { "attempt", aEnvelope.attempt_ },
    { "author", aEnvelope.author_ },
    { "document", nlohmann::json::parse(aEnvelope.document_) }
  }.dump();
}

std::optional<ConfigurationEnvelope>
DecodeEnvelope(std::string_view aText)
{
  const nlohmann::json value = nlohmann::json::parse(aText, nullptr, false);
  if (!value.is_object() || !value.contains("document")) {
    return std::nullopt;
  }
  const auto version = value.find("version");
  if (version == value.end() || !version->is_number_integer() ||
      version->get<std::int64_t>() < 1) {
    return std::nullopt;
  }
  const auto text = [&](const char* aField) {
    const auto found = value.find(aField);
    const bool usable = found != value.end() && found->is_string();
    return usable ? found->get<std::string>() : std::string();
  };
  ConfigurationEnvelope envelope;
  envelope.version_ = version->get<std::int64_t>();
  envelope.attempt_ = text("attempt");
  envelope.author_ = text("author");
  envelope.document_ = value["document"].dump();
  return envelope;
}

}
