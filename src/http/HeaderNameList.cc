#include "http/HeaderNameList.h"

#include "http/HttpTypes.h"

#include <algorithm>

namespace peridotsail {

HeaderNameList::HeaderNameList(const std::vector<std::string_view>& aValues)
{
  for (const std::string_view value : aValues) {
    Add(value);
  }
  std::sort(names_.begin(), names_.end(), LessIgnoreCase());
  const auto end = std::unique(names_.begin(), names_.end(), EqualIgnoreCase);
  names_.erase(end, names_.end());
}

void
HeaderNameList::Add(std::string_view aValue)
{
  constexpr std::string_view kSpace = " \t";
  while (!aValue.empty()) {
    std::string_view name = aValue.substr(0, aValue.find(','));
    aValue.remove_prefix(std::min(aValue.size(), name.size() + 1));
    name.remove_prefix(std::min(name.size(), name.find_first_not_of(kSpace)));
    name = name.substr(0, name.find_last_not_of(kSpace) + 1);
    if (!name.empty()) {
      names_.push_back(name);
    }
  }
}

bool
HeaderNameList::Has(std::string_view aName) const
{
  return std::binary_search(
    names_.begin(), names_.end(), aName, LessIgnoreCase());
}

}
