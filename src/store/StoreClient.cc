#include "store/StoreClient.h"

#include "base/BoundedJson.h"
#include "base/EventLog.h"
#include "store/StoreJson.h"

namespace peridotsail {

using namespace detail;
using nlohmann::json;

namespace {

// Maximum size of a watch message. A longer one is treated as malformed.
constexpr std::size_t kMaxWatchMessageBytes = 4 << 20;

Error
ReportMalformed(const std::string& aPath)
{
  LogEvent(Event::StoreAnswerMalformed, { { "path", aPath } });
  return { ErrorKind::StoreUnreachable,
           "the store's response to " + aPath + " is malformed" };
}

// Splits a watch stream into JSON messages, one per line.
class WatchReader
{
public:
  explicit WatchReader(std::function<void(const StoreRecord&)> aOnRecord)
    : onRecord_(std::move(aOnRecord))
  {
  }

  void Append(std::string_view aPiece)
  {
    buffer_ += aPiece;
    std::size_t start = 0;
    std::size_t end = buffer_.find('\n');
    while (end != std::string::npos) {
      ReadMessage(std::string_view(buffer_).substr(start, end - start));
      start = end + 1;
      end = buffer_.find('\n', start);
    }
    buffer_.erase(0, start);
    if (buffer_.size() > kMaxWatchMessageBytes) {
      ReportMalformed("/v3/watch");
      buffer_.clear();
    }
  }

private:
  void ReadMessage(std::string_view aText)
  {
    const json message = ParseBoundedJson(aText);
    if (!message.is_object()) {
      ReportMalformed("/v3/watch");
      return;
    }
    const json result = message.value("result", json::object());
    if (!result.is_object() || !result.contains("events") ||
        !result["events"].is_array()) {
      return;
    }
    for (const json& event : result["events"]) {
      const auto record = event.is_object() && event.contains("kv")
                            ? ReadRecord(event["kv"])
                            : std::nullopt;
      if (record) {
        onRecord_(*record);
      } else {
        ReportMalformed("/v3/watch");
      }
    }
  }

  std::function<void(const StoreRecord&)> onRecord_;
  std::string buffer_;
};

}

struct StoreClient::Impl
{
  Impl(boost::asio::io_context& aContext, StoreOptions aOptions)
    : client_(aContext, {})
    , options_(std::move(aOptions))
  {
  }

  // Sends a POST request and passes the parsed response to the callback.
  void Post(const std::string& aPath,
            const json& aBody,
            Callback<json> aCallback)
  {
    ++callCount_;
    HttpRequest request{
      "POST", aPath, { { "Content-Type", "application/json" } }, aBody.dump()
    };
    const HttpTimeouts timeouts{ options_.timeout_, options_.timeout_ };
    client_.Call(options_.address_,
                 request,
                 timeouts,
                 [aPath, callback = std::move(aCallback)](
                   const std::optional<HttpResponse>& aResponse,
                   const Error& aError,
                   const HttpTransfer&) {
                   HandleResponse(aPath, aResponse, aError, callback);
                 });
  }

  static void HandleResponse(const std::string& aPath,
                             const std::optional<HttpResponse>& aResponse,
                             const Error& aError,
                             const Callback<json>& aCallback)
  {
    if (!aResponse) {
      aCallback(std::nullopt, { ErrorKind::StoreUnreachable, aError.detail_ });
      return;
    }
    if (aResponse->status_ != 200) {
      aCallback(std::nullopt,
                { ErrorKind::StoreUnreachable,
                  "the store answered with status " +
                    std::to_string(aResponse->status_) });
      return;
    }
    json response = ParseBoundedJson(aResponse->body_);
    if (!response.is_object()) {
      aCallback(std::nullopt, ReportMalformed(aPath));
      return;
    }
    aCallback(std::move(response), {});
  }

  void Range(const json& aBody, Callback<std::vector<StoreRecord>> aCallback)
  {
    Post("/v3/kv/range",
         aBody,
         [callback = std::move(aCallback)](std::optional<json> aResponse,
                                           const Error& aError) {
           if (!aResponse) {
             callback(std::nullopt, aError);
             return;
           }
           std::vector<StoreRecord> records;
           for (const json& item : aResponse->value("kvs", json::array())) {
             const auto record = ReadRecord(item);
             if (!record) {
               callback(std::nullopt, ReportMalformed("/v3/kv/range"));
               return;
             }
             records.push_back(*record);
           }
           callback(std::move(records), {});
         });
  }

  HttpClient client_;
  StoreOptions options_;
  std::uint64_t callCount_ = 0;
};

StoreClient::StoreClient(boost::asio::io_context& aContext,
                         StoreOptions aOptions)
  : impl_(std::make_unique<Impl>(aContext, std::move(aOptions)))
{
}

StoreClient::~StoreClient() = default;

void
StoreClient::Get(const std::string& aKey,
                 Callback<std::vector<StoreRecord>> aCallback)
{
  impl_->Range({ { "key", EncodeBase64(aKey) } }, std::move(aCallback));
}

void
StoreClient::GetPrefix(const std::string& aPrefix,
                       Callback<std::vector<StoreRecord>> aCallback)
{
  impl_->Range({ { "key", EncodeBase64(aPrefix) },
                 { "range_end", EncodeBase64(PrefixEnd(aPrefix)) } },
               std::move(aCallback));
}

void
StoreClient::Commit(const StoreTransaction& aTransaction,
                    Callback<StoreCommitResult> aCallback)
{
  impl_->Post("/v3/kv/txn",
              ToJson(aTransaction),
              [callback = std::move(aCallback)](std::optional<json> aResponse,
                                                const Error& aError) {
                if (!aResponse) {
                  callback(std::nullopt, aError);
                  return;
                }
                StoreCommitResult result;
                const json succeeded =
                  aResponse->value("succeeded", json(false));
                result.succeeded_ = succeeded.is_boolean() && succeeded;
                result.revision_ = ReadInt64(
                  aResponse->value("header", json::object()), "revision");
                callback(result, {});
              });
}

void
StoreClient::GrantLease(Duration aTimeToLive, Callback<std::int64_t> aCallback)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTimeToLive);
  impl_->Post("/v3/lease/grant",
              { { "TTL", std::to_string(seconds.count()) } },
              [callback = std::move(aCallback)](std::optional<json> aResponse,
                                                const Error& aError) {
                const std::int64_t id =
                  aResponse ? ReadInt64(*aResponse, "ID") : 0;
                if (aResponse && id == 0) {
                  callback(std::nullopt, ReportMalformed("/v3/lease/grant"));
                  return;
                }
                callback(aResponse ? std::optional(id) : std::nullopt, aError);
              });
}

void
StoreClient::KeepAlive(std::int64_t aLeaseId, Callback<std::int64_t> aCallback)
{
  impl_->Post("/v3/lease/keepalive",
              { { "ID", std::to_string(aLeaseId) } },
              [callback = std::move(aCallback)](std::optional<json> aResponse,
                                                const Error& aError) {
                if (!aResponse) {
                  callback(std::nullopt, aError);
                  return;
                }
                const json result = aResponse->value("result", json::object());
                callback(result.is_object() ? ReadInt64(result, "TTL") : 0, {});
              });
}

void
StoreClient::RevokeLease(std::int64_t aLeaseId, Callback<bool> aCallback)
{
  impl_->Post("/v3/lease/revoke",
              { { "ID", std::to_string(aLeaseId) } },
              [callback = std::move(aCallback)](
                const std::optional<json>& aResponse, const Error& aError) {
                callback(aResponse ? std::optional(true) : std::nullopt,
                         aError);
              });
}

std::shared_ptr<HttpStream>
StoreClient::Watch(const std::string& aKey, const StoreWatchHooks& aHooks)
{
  ++impl_->callCount_;
  const json body{ { "create_request", { { "key", EncodeBase64(aKey) } } } };
  const auto reader = std::make_shared<WatchReader>(aHooks.onRecord_);
  HttpStreamHooks hooks;
  hooks.onChunk_ = [reader](std::string_view aPiece) {
    reader->Append(aPiece);
  };
  hooks.onEnd_ = [onEnd = aHooks.onEnd_](const Error& aError) {
    onEnd({ ErrorKind::StoreUnreachable, aError.detail_ });
  };
  return impl_->client_.Stream(impl_->options_.address_,
                               { "POST", "/v3/watch", {}, body.dump() },
                               impl_->options_.timeout_,
                               impl_->options_.watchIdleTimeout_,
                               std::move(hooks));
}

std::uint64_t
StoreClient::CallCount() const
{
  return impl_->callCount_;
}

}
