#pragma once

// Parses and validates a configuration document. All faults are reported
// together, each with the path of its field.
//
//   std::vector<ConfigurationFault> faults;
//   std::optional<Configuration> parsed = ParseConfiguration(text, faults);
//   if (!parsed) { Show(faults); }

#include "config/Configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// Maximum size of a document. The store accepts values up to 1 MB, part of
// which is taken by the envelope.
constexpr std::size_t kMaxDocumentBytes = 900'000;

struct ConfigurationFault
{
  // For example "backend_servers[2].slots"; empty for the whole document.
  std::string path_;
  std::string message_;
};

// Returns nullopt if there is any fault. The version is left at 0.
std::optional<Configuration>
ParseConfiguration(std::string_view aText,
                   std::vector<ConfigurationFault>& aFaults);

// The faults as one line: "path: message; path: message".
std::string
DescribeFaults(const std::vector<ConfigurationFault>& aFaults);

}
