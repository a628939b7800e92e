#include "budget/TokenMessages.h"

#include "base/BoundedJson.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

// Bounds the lists within an entry, which have one element per loan of a
// budget.
constexpr std::size_t kMaxLoansPerEntry = 4096;
constexpr std::size_t kMaxNameBytes = 256;

// Entries are encoded as arrays rather than maps to save space, because a
// message can have many of them.
Json
ShareToJson(const BudgetShare& aShare)
{
  return Json::array({ aShare.tokens_, aShare.rate_, aShare.capacity_ });
}

// Reads the elements of an array in order and records whether any was
// malformed.
class ArrayReader
{
public:
  ArrayReader(const Json& aArray, std::size_t aSize)
    : array_(&aArray)
    , isValid_(aArray.is_array() && aArray.size() == aSize)
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

  BudgetShare Share()
  {
    const Json* value = Next();
    if (value == nullptr) {
      return Fail<BudgetShare>();
    }
    ArrayReader reader(*value, 3);
    BudgetShare share;
    share.tokens_ = reader.Amount();
    share.rate_ = reader.Amount();
    share.capacity_ = reader.Amount();
    isValid_ = isValid_ && reader.IsValid();
    return share;
  }

  // Returns the next element if it is an array of at most aLimit elements,
  // otherwise an empty array.
  const Json& List(std::size_t aLimit)
  {
    static const Json kEmpty = Json::array();
    const Json* value = Next();
    if (value == nullptr || !value->is_array() || value->size() > aLimit) {
      isValid_ = false;
      return kEmpty;
    }
    return *value;
  }

  std::vector<std::uint64_t> Ids()
  {
    std::vector<std::uint64_t> ids;
    for (const Json& id : List(kMaxLoansPerEntry)) {
      if (!id.is_number_unsigned()) {
        isValid_ = false;
        return {};
      }
      ids.push_back(id.get<std::uint64_t>());
    }
    return ids;
  }

  bool IsValid() const { return isValid_; }

private:
  const Json* Next() { return isValid_ ? &(*array_)[position_++] : nullptr; }

  template<typename T>
  T Fail()
  {
    isValid_ = false;
    return T{};
  }

  const Json* array_;
  std::size_t position_ = 0;
  bool isValid_;
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
                       ShareToJson(aEntry.wanted_),
                       Json(aEntry.renew_),
                       std::move(returns) });
}

Json
ToJson(const TokenGrantEntry& aEntry)
{
  return Json::array({ aEntry.budget_,
                       aEntry.request_,
                       aEntry.loan_,
                       ShareToJson(aEntry.share_),
                       Json(aEntry.renewed_) });
}

bool
FromJson(const Json& aJson, TokenRequestEntry& aEntry)
{
  ArrayReader reader(aJson, 5);
  aEntry.budget_ = reader.Name();
  aEntry.request_ = reader.Id();
  aEntry.wanted_ = reader.Share();
  aEntry.renew_ = reader.Ids();
  bool isValid = true;
  for (const Json& item : reader.List(kMaxLoansPerEntry)) {
    ArrayReader pair(item, 2);
    LoanReturn loanReturn;
    loanReturn.loan_ = pair.Id();
    loanReturn.tokens_ = pair.Amount();
    isValid = isValid && pair.IsValid();
    aEntry.returns_.push_back(loanReturn);
  }
  return isValid && reader.IsValid();
}

bool
FromJson(const Json& aJson, TokenGrantEntry& aEntry)
{
  ArrayReader reader(aJson, 5);
  aEntry.budget_ = reader.Name();
  aEntry.request_ = reader.Id();
  aEntry.loan_ = reader.Id();
  aEntry.share_ = reader.Share();
  aEntry.renewed_ = reader.Ids();
  // More tokens than capacity would raise the sum of all tokens above the
  // burst.
  return reader.IsValid() && aEntry.share_.tokens_ <= aEntry.share_.capacity_;
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

// Nesting: message, entry, list of returns, return.
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
