#include "gateway/KvStore.h"

#include <array>

namespace peridotsail {

namespace {

struct StatusName
{
  KvStatus status_;
  std::string_view name_;
};

constexpr std::array<StatusName, 5> kStatusNames{ {
  { KvStatus::Done, "done" },
  { KvStatus::Refused, "refused" },
  { KvStatus::Unknown, "unknown" },
  { KvStatus::Gone, "gone" },
  { KvStatus::Conflict, "conflict" },
} };

}

std::string_view
NameOf(KvStatus aStatus)
{
  for (const StatusName& row : kStatusNames) {
    if (row.status_ == aStatus) {
      return row.name_;
    }
  }
  return "";
}

}
