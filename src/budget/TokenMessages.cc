#include "budget/TokenMessages.h"

#include "base/BoundedCbor.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

// Lists within an entry are as short as the number of loans of one budget.
constexpr std::size_t kMaxLoans = 4096;
constexpr std::size_t kMaxNameBytes = 256;

// Entries are arrays, not maps, because a message has many of them.
Json
PartToJson(const BudgetPart& aPart)
{
  return Json::array({ aPart.tokens_, aPart.rate_, aPart.cap_ });
}

// Reads the elements of an array in order and remembers whether any was wrong.
class ArrayReader
{
public:
  ArrayReader(const Json& aArray, std::size_t aSize)
    : array_(&aArray)
    , good_(aArray.is_array() && aArray.size() == aSize)
  {
  }

  std::uint64_t Id()
  {
    const Json* value = Next();
    if (value == nullptr || !value->is_number_unsigned()) {
      return Fail<std::uint64_t>();
    }
    return value->get<std::uint64_t>();
  }

  double Amount()
  {
    const Json* value = Next();
    if (value == nullptr || !value->is_number()) {
      return Fail<double>();
    }
    const double amount = value->get<double>();
    return std::isfinite(amount) && amount >= 0 ? amount : Fail<double>();
  }

  std::string Name()
  {
    const Json* value = Next();
    if (value == nullptr || !value->is_string() ||
        value->get_ref<const std::string&>().size() > kMaxNameBytes) {
      return Fail<std::string>();
    }
    return value->get<std::string>();
  }

  BudgetPart Part()
  {
    const Json* value = Next();
    if (value == nullptr) {
      return Fail<BudgetPart>();
    }
    ArrayReader reader(*value, 3);
    BudgetPart part;
    part.tokens_ = reader.Amount();
    part.rate_ = reader.Amount();
    part.cap_ = reader.Amount();
    good_ = good_ && reader.Good();
    return part;
  }

  // An array of at most aLimit elements, or an empty one.
  const Json& List(std::size_t aLimit)
  {
    static const Json kEmpty = Json::array();
    const Json* value = Next();
    if (value == nullptr || !value->is_array() || value->size() > aLimit) {
      good_ = false;
      return kEmpty;
    }
    return *value;
  }

  std::vector<std::uint64_t> Ids()
  {
    std::vector<std::uint64_t> ids;
    for (const Json& id : List(kMaxLoans)) {
      if (!id.is_number_unsigned()) {
        good_ = false;
        return {};
      }
      ids.push_back(id.get<std::uint64_t>());
    }
    return ids;
  }

  bool Good() const { return good_; }

private:
  const Json* Next() { return good_ ? &(*array_)[position_++] : nullptr; }

  template<typename T>
  T Fail()
  {
    good_ = false;
    return T{};
  }

  const Json* array_;
  std::size_t position_ = 0;
  bool good_;
};

Json
ToJson(const TokenRequestEntry& aEntry)
{
  Json returns = Json::array();
  for (const LoanReturn& item : aEntry.returns_) {
    returns.push_back(Json::array({ item.loan_, item.tokens_ }));
  }
  return Json::array({ aEntry.budget_,
                       aEntry.request_,
                       PartToJson(aEntry.wanted_),
                       Json(aEntry.renew_),
                       std::move(returns) });
}

Json
ToJson(const TokenGrantEntry& aEntry)
{
  return Json::array({ aEntry.budget_,
                       aEntry.request_,
                       aEntry.loan_,
                       PartToJson(aEntry.part_),
                       Json(aEntry.renewed_) });
}

bool
FromJson(const Json& aJson, TokenRequestEntry& aEntry)
{
  ArrayReader reader(aJson, 5);
  aEntry.budget_ = reader.Name();
  aEntry.request_ = reader.Id();
  aEntry.wanted_ = reader.Part();
  aEntry.renew_ = reader.Ids();
  bool good = true;
  for (const Json& item : reader.List(kMaxLoans)) {
    ArrayReader pair(item, 2);
    LoanReturn back;
    back.loan_ = pair.Id();
    back.tokens_ = pair.Amount();
    good = good && pair.Good();
    aEntry.returns_.push_back(back);
  }
  return good && reader.Good();
}

bool
FromJson(const Json& aJson, TokenGrantEntry& aEntry)
{
  ArrayReader reader(aJson, 5);
  aEntry.budget_ = reader.Name();
  aEntry.request_ = reader.Id();
  aEntry.loan_ = reader.Id();
  aEntry.part_ = reader.Part();
  aEntry.renewed_ = reader.Ids();
  // A loan of more tokens than cap would put the sum of tokens above the burst.
  return reader.Good() && aEntry.part_.tokens_ <= aEntry.part_.cap_;
}

template<typename Message>
std::vector<std::uint8_t>
Encode(const Message& aMessage)
{
  Json list = Json::array();
  for (const auto& entry : aMessage.entries_) {
    list.push_back(ToJson(entry));
  }
  return Json::to_cbor(list);
}

// Message, entry, list of returns, return.
constexpr int kMaxDepth = 4;

template<typename Message>
std::optional<Message>
Decode(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::optional<Json> list = DecodeBoundedCbor(bytes, kMaxDepth);
  if (!list || !list->is_array() || list->size() > kMaxTokenEntries) {
    return std::nullopt;
  }
  Message message;
  message.entries_.resize(list->size());
  for (std::size_t i = 0; i < list->size(); ++i) {
    if (!FromJson((*list)[i], message.entries_[i])) {
      return std::nullopt;
    }
  }
  return message;
}

}

std::vector<std::uint8_t>
EncodeTokenRequest(const TokenRequest& aRequest)
{
  return Encode(aRequest);
}

std::vector<std::uint8_t>
EncodeTokenGrant(const TokenGrant& aGrant)
{
  return Encode(aGrant);
}

std::optional<TokenRequest>
DecodeTokenRequest(const std::uint8_t* aData, std::size_t aSize)
{
  return Decode<TokenRequest>(aData, aSize);
}

std::optional<TokenGrant>
DecodeTokenGrant(const std::uint8_t* aData, std::size_t aSize)
{
  return Decode<TokenGrant>(aData, aSize);
}

}
