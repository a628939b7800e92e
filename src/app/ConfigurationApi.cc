#include "app/ConfigurationApi.h"

#include "app/StoreKeys.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

using Json = nlohmann::json;

HttpResponse
MakeJsonResponse(const Json& aBody)
{
  return { 200,
           { { "Content-Type", "application/json" } },
           aBody.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

// Returns a problem response with additional members.
HttpResponse
MakeProblemWithMembers(ErrorKind aKind,
                       const std::string& aDetail,
                       const Json& aMembers)
{
  HttpResponse response = ProblemResponse(aKind, aDetail);
  Json body = Json::parse(response.body_);
  body.update(aMembers);
  response.body_ = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse
MakeChangeResponse(const ChangeOutcome& aOutcome)
{
  const ConfigurationRecord& record = aOutcome.record_;
  switch (aOutcome.result_) {
    case ChangeResult::Committed:
      return MakeJsonResponse(
        { { "result", "committed" }, { "version", record.version_ } });
    case ChangeResult::Unchanged:
      return MakeJsonResponse(
        { { "result", "unchanged" }, { "version", record.version_ } });
    case ChangeResult::Conflict:
      return MakeProblemWithMembers(
        ErrorKind::VersionConflict,
        "the store holds version " + std::to_string(record.version_),
        { { "stored",
            { { "version", record.version_ },
              { "author", record.author_ },
              { "document",
                Json::parse(
                  record.document_.empty() ? "{}" : record.document_) } } } });
    case ChangeResult::Invalid:
      return ProblemResponse(ErrorKind::ConfigurationInvalid,
                             DescribeFaults(aOutcome.faults_));
    case ChangeResult::StoreUnreachable:
      return ProblemResponse(ErrorKind::StoreUnreachable,
                             "the store does not answer; nothing was written");
    case ChangeResult::Unknown:
      break;
  }
  return ProblemResponse(ErrorKind::StoreUnreachable,
                         "the store did not answer the write, which may have "
                         "taken effect; apply the same document again");
}

bool
HasKey(const SnapshotPtr& aSnapshot, const std::string& aId)
{
  if (!aSnapshot) {
    return false;
  }
  const std::vector<KeyConfig>& keys = aSnapshot->configuration_->keys_;
  return std::any_of(keys.begin(), keys.end(), [&](const KeyConfig& aKey) {
    return aKey.id_ == aId;
  });
}

std::string
TextField(const Json& aBody, const char* aField)
{
  const auto found = aBody.find(aField);
  return found != aBody.end() && found->is_string() ? found->get<std::string>()
                                                    : "";
}

}

ConfigurationApi::ConfigurationApi(EventLoopThread& aOperatorThread,
                                   EventLoopThread& aPlatformThread,
                                   ConfigurationAgent& aAgent,
                                   StoreClient& aStore)
  : operatorThread_(aOperatorThread)
  , platformThread_(aPlatformThread)
  , agent_(aAgent)
  , store_(aStore)
{
}

void
ConfigurationApi::AddTo(OperatorServer& aServer)
{
  aServer.Add(
    "GET", "/config", [this](const HttpRequest&, const Reply& aReply) {
      Show(aReply);
    });
  aServer.Add("POST",
              "/config",
              [this](const HttpRequest& aRequest, const Reply& aReply) {
                Apply(aRequest, aReply);
              });
  aServer.Add(
    "GET", "/config/history", [this](const HttpRequest&, const Reply& aReply) {
      History(aReply);
    });
  aServer.Add(
    "GET", "/config/status", [this](const HttpRequest&, const Reply& aReply) {
      Status(aReply);
    });
  aServer.Add("POST",
              "/config/withdraw",
              [this](const HttpRequest& aRequest, const Reply& aReply) {
                Withdraw(aRequest, aReply);
              });
  aServer.Add("GET",
              "/config/withdrawal",
              [this](const HttpRequest& aRequest, const Reply& aReply) {
                Withdrawal(aRequest, aReply);
              });
}

void
ConfigurationApi::PostToPlatform(const Reply& aReply,
                                 EventLoopThread::Task aTask)
{
  if (!platformThread_.Post(std::move(aTask))) {
    aReply->Send(ProblemResponse(ErrorKind::Internal, "the host is busy"));
  }
}

void
ConfigurationApi::SendResponse(const Reply& aReply, HttpResponse aResponse)
{
  // If the ring is full, no response is sent and the client times out.
  operatorThread_.Post(
    [aReply, response = std::move(aResponse)] { aReply->Send(response); });
}

void
ConfigurationApi::Show(const Reply& aReply)
{
  PostToPlatform(aReply, [this, aReply] {
    const SnapshotPtr inForce = agent_.Node().InForce();
    if (!inForce) {
      SendResponse(aReply,
                   ProblemResponse(ErrorKind::ConfigurationMissing, ""));
      return;
    }
    SendResponse(
      aReply,
      MakeJsonResponse({ { "version", inForce->version_ },
                         { "hash", inForce->hash_ },
                         { "document", Json::parse(inForce->document_) } }));
  });
}

void
ConfigurationApi::Apply(const HttpRequest& aRequest, const Reply& aReply)
{
  const Json body = Json::parse(aRequest.body_, nullptr, false);
  const bool valid = body.is_object() && body.contains("document") &&
                     body.contains("expect") &&
                     body["expect"].is_number_integer();
  if (!valid) {
    aReply->Send(ProblemResponse(ErrorKind::BadRequest,
                                 "'expect' and 'document' are required"));
    return;
  }
  ChangeRequest change;
  change.author_ = TextField(body, "author");
  change.expectedVersion_ = body["expect"].get<std::int64_t>();
  change.document_ = body["document"].dump();
  PostToPlatform(aReply, [this, aReply, change] {
    agent_.Apply(change, [this, aReply](const ChangeOutcome& aOutcome) {
      SendResponse(aReply, MakeChangeResponse(aOutcome));
    });
  });
}

void
ConfigurationApi::History(const Reply& aReply)
{
  PostToPlatform(aReply, [this, aReply] {
    store_.GetPrefix(
      kConfigurationHistoryPrefix,
      [this, aReply](auto aRecords, const Error& aError) {
        if (!aRecords) {
          SendResponse(
            aReply,
            ProblemResponse(ErrorKind::StoreUnreachable, aError.detail_));
          return;
        }
        Json versions = Json::array();
        for (const StoreRecord& stored : *aRecords) {
          if (const auto record = ParseRecord(stored.value_)) {
            versions.push_back({ { "version", record->version_ },
                                 { "author", record->author_ },
                                 { "attempt", record->attempt_ } });
          }
        }
        SendResponse(aReply, MakeJsonResponse({ { "versions", versions } }));
      });
  });
}

void
ConfigurationApi::Status(const Reply& aReply)
{
  PostToPlatform(aReply, [this, aReply] {
    const ConfigurationNode& node = agent_.Node();
    const SnapshotPtr& inForce = node.InForce();
    Json hosts = Json::array();
    for (const HostVersion& row : node.HostVersions(BootClock::now())) {
      hosts.push_back({ { "host", row.host_ },
                        { "version", row.version_ },
                        { "confirmed", row.confirmed_ } });
    }
    SendResponse(
      aReply,
      MakeJsonResponse({ { "version", inForce ? inForce->version_ : 0 },
                         { "hash", inForce ? inForce->hash_ : "" },
                         { "hosts", hosts } }));
  });
}

void
ConfigurationApi::Withdraw(const HttpRequest& aRequest, const Reply& aReply)
{
  const Json body = Json::parse(aRequest.body_, nullptr, false);
  const std::string id = body.is_object() ? TextField(body, "id") : "";
  if (id.empty()) {
    aReply->Send(ProblemResponse(ErrorKind::BadRequest, "'id' is required"));
    return;
  }
  PostToPlatform(
    aReply, [this, aReply, id, author = TextField(body, "author")] {
      const auto sendOutcome = [this,
                                aReply](const WithdrawalOutcome& aOutcome) {
        if (aOutcome.disseminating_) {
          SendResponse(aReply,
                       MakeJsonResponse({ { "result", "disseminating" } }));
        } else if (aOutcome.change_) {
          SendResponse(aReply, MakeChangeResponse(*aOutcome.change_));
        } else {
          SendResponse(
            aReply,
            ProblemResponse(ErrorKind::StoreUnreachable,
                            "the key was not withdrawn: the store does not "
                            "answer and this host does not have the key or "
                            "is isolated"));
        }
      };
      // Without this check, a mistyped id would be reported as withdrawn.
      if (!HasKey(agent_.Node().InForce(), id)) {
        SendResponse(
          aReply,
          ProblemResponse(ErrorKind::BadRequest,
                          "the key does not exist in the configuration in "
                          "force on this host"));
        return;
      }
      agent_.Withdraw(author, { id }, sendOutcome);
    });
}

void
ConfigurationApi::Withdrawal(const HttpRequest& aRequest, const Reply& aReply)
{
  const std::string id =
    QueryParameter(aRequest.target_, "id").value_or(std::string());
  PostToPlatform(aReply, [this, aReply, id] {
    const ConfigurationNode& node = agent_.Node();
    bool committed = false;
    if (node.InForce()) {
      for (const KeyConfig& key : node.InForce()->configuration_->keys_) {
        committed = committed || (key.id_ == id && key.withdrawn_);
      }
    }
    SendResponse(
      aReply,
      MakeJsonResponse(
        { { "committed", committed },
          { "disseminated", committed || node.IsDisseminated(id) } }));
  });
}

}
