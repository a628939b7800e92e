// A caller's upload whose Transfer-Encoding is not chunked, and whose body
// contains another request.

#include "ReviewCase.h"

#include <algorithm>
#include <set>

using namespace peridotsail;
using namespace peridotsail::review;

namespace {

constexpr char kCommonHead[] = "Host: post.example\r\n"
                               "Deadline-Ms: 3000\r\n";
constexpr char kKey[] = "Authorization: Token key-1\r\n";

// The text of a letter that somebody sent to the caller: it looks like a
// request on the public route.
std::string
Letter(const std::string& aId)
{
  return "GET /open/letter HTTP/1.1\r\nRequest-Id: " + aId + "\r\n" +
         kCommonHead + "\r\n";
}

std::string
Upload(const std::string& aId,
       const std::string& aLengthLine,
       const std::string& aBody)
{
  return "POST /upload/letter HTTP/1.1\r\nRequest-Id: " + aId + "\r\n" +
         kCommonHead + kKey + aLengthLine + "\r\n\r\n" + aBody;
}

Verdict
Run(Record& aRecord)
{
  PlatformFixture fixture;
  fixture.Configure("00000001");
  fixture.AddInstance(
    "i-1", [](const ReceivedRequest& aRequest) -> ScriptedResponse {
      return { SignedResponse(
        aRequest, "answer to " + HeaderOf(aRequest.head_, "Request-Id")) };
    });
  fixture.StartHost(1);

  std::set<std::string> sentIds;
  std::map<std::string, std::string> sentBodies;
  bool answeredMore = false;
  for (const std::string coding : { "identity", "gzip", "x-chunked" }) {
    const std::string id = "upload-" + coding;
    const std::string letter = Letter("letter-" + coding);
    const std::string line =
      HasTrouble() ? "Transfer-Encoding: " + coding
                   : "Content-Length: " + std::to_string(letter.size());
    const std::string bytes = Upload(id, line, letter);
    sentIds.insert(id);
    sentBodies[id] = letter;
    aRecord.Write("sent as one request, id " + id + ": " + Visible(bytes, 500));
    const Caller caller(fixture.CallerAddress(1));
    caller.Send(bytes);
    const std::string answer =
      caller.ReadUntilSilent(std::chrono::milliseconds(1000));
    aRecord.Write("answered: " + Visible(answer, 500));
    answeredMore =
      answeredMore || answer.find("answer to letter") != std::string::npos;
  }

  bool unasked = false;
  for (const ReceivedRequest& request : fixture.Instance("i-1").Received()) {
    const std::string id = HeaderOf(request.head_, "Request-Id");
    const bool known = sentIds.count(id) > 0;
    const bool whole = known && request.body_ == sentBodies[id];
    aRecord.Write("run by the instance: id " + id +
                  (!known ? ", which no caller sent"
                   : whole
                     ? ", with its body"
                     : ", with another body of " +
                         std::to_string(request.body_.size()) + " bytes"));
    unasked = unasked || !known || !whole;
  }
  if (answeredMore) {
    aRecord.Write("the caller got an answer to a request that it had not sent");
  }
  return unasked ? Verdict::Broken : Verdict::Held;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
