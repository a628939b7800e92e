#include "Store.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace peridotsail::review {

namespace {

constexpr Milliseconds kExpiryInterval{ 20 };
constexpr Milliseconds kIdleTimeout{ 60000 };
constexpr Milliseconds kShutPoll{ 20 };

constexpr char kAlphabet[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
ToBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      const std::uint32_t byte =
        k < count ? static_cast<unsigned char>(aBytes[i + k]) : 0;
      group = group << 8 | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= count ? kAlphabet[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  static const std::string kLetters = kAlphabet;
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char letter : aText) {
    const std::size_t value = kLetters.find(letter);
    if (value == std::string::npos) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

// Returns the value of a parameter; the system escapes nothing that occurs in
// the keys of these cases.
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const std::string wanted = aName + "=";
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string pair = aTarget.substr(at + 1, end - at - 1);
    if (pair.rfind(wanted, 0) == 0) {
      return pair.substr(wanted.size());
    }
    at = end;
  }
  return "";
}

std::uint64_t
ToNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

std::uint64_t
LastPart(const std::string& aTarget)
{
  return ToNumber(aTarget.substr(aTarget.rfind('/') + 1));
}

}

Store::Store(std::string aIp)
  : ip_(std::move(aIp))
{
  std::thread([this] { ExpireLeases(); }).detach();
}

int
Store::OpenDoor(const std::string& aName)
{
  auto& door = doors_[aName];
  door = std::make_unique<Door>(false);
  return Listen(ip_, [this, shut = door.get()](Socket aSocket) {
    Serve(std::move(aSocket), *shut);
  });
}

void
Store::ShutDoor(const std::string& aName, bool aShut)
{
  *doors_.at(aName) = aShut;
}

void
Store::Serve(Socket aSocket, const Door& aShut)
{
  const auto waitWhileShut = [&] {
    const bool shut = aShut;
    while (aShut) {
      std::this_thread::sleep_for(kShutPoll);
    }
    return shut;
  };
  MessageReader reader(aSocket);
  Message call;
  while (reader.Read(call, kIdleTimeout)) {
    // Bytes that were held up by a partition are lost.
    if (waitWhileShut()) {
      return;
    }
    const Reply reply = Answer(call);
    if (waitWhileShut()) {
      return;
    }
    const std::string body = reply.body_.dump();
    const bool sent =
      aSocket.Send("HTTP/1.1 " + std::to_string(reply.status_) +
                   " Status\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!sent) {
      return;
    }
  }
}

Store::Reply
Store::Answer(const Message& aCall)
{
  const std::string target = aCall.SecondWord();
  const auto is = [&](const char* aName) {
    return target.rfind(std::string("/peridotsail/") + aName, 0) == 0;
  };
  if (is("kv-range")) {
    return Range(target);
  }
  if (is("kv-watch")) {
    return Watch(target);
  }
  if (is("kv-keep/")) {
    return KeepLease(LastPart(target));
  }
  if (is("kv-lease-end/")) {
    return EndLease(LastPart(target));
  }
  const Json body = Json::parse(aCall.body_, nullptr, false);
  if (is("kv-lease") && body.is_object()) {
    return GrantLease(body);
  }
  if (is("kv-txn") && body.is_object()) {
    return Transact(body);
  }
  return { 404, Json::object() };
}

Store::Json
Store::ToJson(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", ToBase64(aItem.value_) },
           { "revision", aItem.revision_ },
           { "created", aItem.created_ },
           { "lease", aItem.lease_ } };
}

Store::Reply
Store::Range(const std::string& aTarget)
{
  const std::string prefix = Parameter(aTarget, "prefix");
  const std::string after = Parameter(aTarget, "after");
  const std::lock_guard<std::mutex> lock(mutex_);
  Json items = Json::array();
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) == 0 && key > after) {
      items.push_back(ToJson(key, item));
    }
  }
  return {
    200,
    { { "items", items }, { "hasMore", false }, { "currentRev", revision_ } }
  };
}

Store::Reply
Store::Watch(const std::string& aTarget)
{
  const std::string prefix = Parameter(aTarget, "prefix");
  const std::uint64_t after = ToNumber(Parameter(aTarget, "after"));
  const Clock::time_point end =
    Clock::now() + Milliseconds(ToNumber(Parameter(aTarget, "waitMs")));
  Json events = Json::array();
  std::unique_lock<std::mutex> lock(mutex_);
  const auto find = [&] {
    for (const Json& event : history_) {
      if (event.at("revision").get<std::uint64_t>() > after &&
          event.at("key").get<std::string>().rfind(prefix, 0) == 0) {
        events.push_back(event);
      }
    }
    return !events.empty();
  };
  changed_.wait_until(lock, end, find);
  return { 200, { { "events", events }, { "currentRev", revision_ } } };
}

Store::Reply
Store::Transact(const Json& aBody)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  Json states = Json::array();
  bool holds = true;
  for (const Json& row : aBody.value("expectedRev", Json::array())) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const std::uint64_t current =
      found == items_.end() ? 0 : found->second.revision_;
    holds = holds && row.at("revision").get<std::uint64_t>() == current;
    if (found != items_.end()) {
      states.push_back(ToJson(key, found->second));
    }
  }
  if (!holds) {
    return { 412, { { "items", states }, { "currentRev", revision_ } } };
  }
  const Json puts = aBody.value("puts", Json::array());
  for (const Json& put : puts) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && leases_.count(lease) == 0) {
      return { 404, Json::object() };
    }
  }
  for (const Json& put : puts) {
    Write(put.at("key").get<std::string>(),
          FromBase64(put.at("value").get<std::string>()),
          put.value("lease", std::uint64_t{ 0 }));
  }
  for (const Json& key : aBody.value("deletes", Json::array())) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return { 200, { { "revision", revision_ } } };
}

Store::Reply
Store::GrantLease(const Json& aBody)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const Milliseconds ttl(aBody.at("ttlMs").get<int>());
  leases_[++lastLease_] = { ttl, Clock::now() + ttl };
  return { 200, { { "lease", lastLease_ }, { "ttlMs", ttl.count() } } };
}

Store::Reply
Store::KeepLease(std::uint64_t aLease)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return { 404, Json::object() };
  }
  found->second.end_ = Clock::now() + found->second.ttl_;
  return { 200, { { "ttlMs", found->second.ttl_.count() } } };
}

Store::Reply
Store::EndLease(std::uint64_t aLease)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (leases_.erase(aLease) == 0) {
    return { 404, Json::object() };
  }
  EraseOfLease(aLease);
  changed_.notify_all();
  return { 200, Json::object() };
}

void
Store::Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease)
{
  Item& item = items_[aKey];
  item.value_ = aValue;
  item.lease_ = aLease;
  item.revision_ = ++revision_;
  item.created_ = item.created_ == 0 ? revision_ : item.created_;
  history_.push_back(ToJson(aKey, item));
}

void
Store::Erase(const std::string& aKey)
{
  if (items_.erase(aKey) > 0) {
    history_.push_back(
      { { "key", aKey }, { "revision", ++revision_ }, { "removed", true } });
  }
}

void
Store::EraseOfLease(std::uint64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease_ == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
}

void
Store::ExpireLeases()
{
  while (true) {
    std::this_thread::sleep_for(kExpiryInterval);
    const std::lock_guard<std::mutex> lock(mutex_);
    const Clock::time_point now = Clock::now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.end_ > now) {
        ++it;
        continue;
      }
      EraseOfLease(it->first);
      it = leases_.erase(it);
    }
    changed_.notify_all();
  }
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(aKey, aValue, 0);
  changed_.notify_all();
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(aKey);
  changed_.notify_all();
}

bool
Store::Has(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.count(aKey) > 0;
}

std::string
Store::Get(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = items_.find(aKey);
  return found == items_.end() ? "" : found->second.value_;
}

}
