#include "base/BoundedJson.h"

#include <stdexcept>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

// Aborts the library's parser at the depth limit.
class DepthLimiter : public nlohmann::json_sax<Json>
{
public:
  explicit DepthLimiter(int aMaxDepth)
    : maxDepth_(aMaxDepth)
  {
  }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= maxDepth_; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= maxDepth_; }
  bool end_array() override { return --depth_ >= 0; }
  // Whether the value was too deep.
  bool IsExceeded() const { return depth_ > maxDepth_; }

  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  int maxDepth_;
  int depth_ = 0;
};

// Returns whether the text is nested deeper than aMaxDepth. Text that is
// malformed before that depth is not.
bool
IsTooDeep(std::string_view aText, int aMaxDepth)
{
  DepthLimiter limiter(aMaxDepth);
  Json::sax_parse(aText.begin(), aText.end(), &limiter);
  return limiter.IsExceeded();
}

}

nlohmann::json
ParseBoundedJson(std::string_view aText)
{
  return IsTooDeep(aText, kMaxJsonDepth) ? Json(Json::value_t::discarded)
                                         : Json::parse(aText, nullptr, false);
}

nlohmann::json
ParseBoundedJsonOrThrow(std::string_view aText)
{
  if (IsTooDeep(aText, kMaxJsonDepth)) {
    throw std::runtime_error("nested too deeply");
  }
  try {
    return Json::parse(aText);
  } catch (const Json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

std::optional<nlohmann::json>
DecodeBoundedCbor(std::string_view aBytes, int aMaxDepth)
{
  // The parser throws for excessive sizes even with exceptions disabled.
  try {
    DepthLimiter limiter(aMaxDepth);
    if (!Json::sax_parse(
          aBytes.begin(), aBytes.end(), &limiter, Json::input_format_t::cbor)) {
      return std::nullopt;
    }
    Json value = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
    return value.is_discarded() ? std::nullopt
                                : std::optional(std::move(value));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}
