#include "testing/FakeStore.h"

#include "store/StoreJson.h"

namespace peridotsail {

using namespace detail;
using nlohmann::json;

namespace {

std::string
KeyOf(const json& aBody, const char* aField = "key")
{
  return ReadBase64(aBody, aField).value_or("");
}

}

HttpResponse
FakeStore::Handle(const HttpRequest& aRequest)
{
  ++calls_;
  ExpireLeases(BootClock::now());
  const json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    return { 400, {}, R"({"error":"malformed body"})" };
  }
  json response;
  if (aRequest.target_ == "/v3/kv/range") {
    response = Range(body);
  } else if (aRequest.target_ == "/v3/kv/txn") {
    response = Transact(body);
  } else if (aRequest.target_ == "/v3/lease/grant") {
    response = GrantLease(body);
  } else if (aRequest.target_ == "/v3/lease/keepalive") {
    response = KeepAlive(body);
  } else if (aRequest.target_ == "/v3/lease/revoke") {
    response = RevokeLease(body);
  } else {
    return { 404, {}, R"({"error":"unknown call"})" };
  }
  response["header"] = { { "revision", std::to_string(revision_) } };
  return { 200, { { "Content-Type", "application/json" } }, response.dump() };
}

json
FakeStore::ToJson(const std::string& aKey, const Entry& aEntry) const
{
  return { { "key", EncodeBase64(aKey) },
           { "value", EncodeBase64(aEntry.value_) },
           { "create_revision", std::to_string(aEntry.createRevision_) },
           { "mod_revision", std::to_string(aEntry.modRevision_) } };
}

json
FakeStore::Range(const json& aBody) const
{
  const std::string key = KeyOf(aBody);
  const std::string end = KeyOf(aBody, "range_end");
  json records = json::array();
  for (auto it = entries_.lower_bound(key); it != entries_.end(); ++it) {
    const bool inside = end.empty() ? it->first == key : it->first < end;
    if (!inside) {
      break;
    }
    records.push_back(ToJson(it->first, it->second));
  }
  return { { "kvs", records } };
}

bool
FakeStore::Holds(const json& aCompare) const
{
  const auto found = entries_.find(KeyOf(aCompare));
  const std::int64_t revision =
    found == entries_.end() ? 0 : found->second.modRevision_;
  return revision == ReadInt64(aCompare, "mod_revision");
}

json
FakeStore::Transact(const json& aBody)
{
  for (const json& compare : aBody.value("compare", json::array())) {
    if (!Holds(compare)) {
      return { { "succeeded", false } };
    }
  }
  ++revision_;
  for (const json& operation : aBody.value("success", json::array())) {
    if (operation.contains("request_put")) {
      Put(operation["request_put"]);
    } else if (operation.contains("request_delete_range")) {
      Delete(KeyOf(operation["request_delete_range"]));
    }
  }
  return { { "succeeded", true } };
}

void
FakeStore::Put(const json& aBody)
{
  const std::string key = KeyOf(aBody);
  Entry& entry = entries_[key];
  if (entry.createRevision_ == 0) {
    entry.createRevision_ = revision_;
  }
  entry.modRevision_ = revision_;
  entry.value_ = KeyOf(aBody, "value");
  entry.leaseId_ = ReadInt64(aBody, "lease");
  Notify(key);
}

void
FakeStore::Set(const std::string& aKey, const std::string& aValue)
{
  ++revision_;
  Put({ { "key", EncodeBase64(aKey) }, { "value", EncodeBase64(aValue) } });
}

void
FakeStore::Delete(const std::string& aKey)
{
  if (entries_.erase(aKey) > 0) {
    Notify(aKey);
  }
}

void
FakeStore::Notify(const std::string& aKey)
{
  Entry deleted;
  deleted.modRevision_ = revision_;
  const auto found = entries_.find(aKey);
  const Entry& entry = found == entries_.end() ? deleted : found->second;
  const json event{ { "type", found == entries_.end() ? "DELETE" : "PUT" },
                    { "kv", ToJson(aKey, entry) } };
  const json message{ { "result", { { "events", json::array({ event }) } } } };
  std::vector<Watcher> kept;
  for (Watcher& watcher : watchers_) {
    if (watcher.key_ != aKey || watcher.reply_->Write(message.dump() + "\n")) {
      kept.push_back(std::move(watcher));
    }
  }
  watchers_ = std::move(kept);
}

json
FakeStore::GrantLease(const json& aBody)
{
  const std::int64_t id = ++lastLeaseId_;
  const std::int64_t seconds = ReadInt64(aBody, "TTL");
  Lease& lease = leases_[id];
  lease.timeToLive_ = std::chrono::seconds(seconds);
  lease.end_ = BootClock::now() + lease.timeToLive_;
  return { { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) } };
}

json
FakeStore::KeepAlive(const json& aBody)
{
  const std::int64_t id = ReadInt64(aBody, "ID");
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return { { "result", { { "ID", std::to_string(id) } } } };
  }
  Lease& lease = found->second;
  lease.end_ = BootClock::now() + lease.timeToLive_;
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(lease.timeToLive_);
  return { { "result",
             { { "ID", std::to_string(id) },
               { "TTL", std::to_string(seconds.count()) } } } };
}

json
FakeStore::RevokeLease(const json& aBody)
{
  const auto found = leases_.find(ReadInt64(aBody, "ID"));
  if (found != leases_.end()) {
    found->second.end_ = TimePoint{};
    ExpireLeases(BootClock::now());
  }
  return json::object();
}

void
FakeStore::ExpireLeases(TimePoint aNow)
{
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.end_ > aNow) {
      ++lease;
      continue;
    }
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.leaseId_ == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Delete(key);
    }
    lease = leases_.erase(lease);
  }
}

void
FakeStore::StartWatch(const HttpRequest& aRequest,
                      const std::shared_ptr<HttpReply>& aReply)
{
  ++calls_;
  const json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object() || !body.contains("create_request")) {
    aReply->Send({ 400, {}, "" });
    return;
  }
  aReply->Begin(200, { { "Content-Type", "application/json" } });
  aReply->Write("{\"result\":{\"created\":true}}\n");
  watchers_.push_back({ KeyOf(body["create_request"]), aReply });
}

}
