// A caller that reads a large answer slowly and meanwhile sends the head of its
// next request, with Expect: 100-continue.

#include "ReviewCase.h"

using namespace peridotsail;
using namespace peridotsail::review;

namespace {

// More than the buffers of a connection on the loopback interface hold, and
// less than the largest answer that the system forwards.
constexpr int kLines = 800000;
constexpr int kReceiveBytes = 65536;
constexpr char kHead[] = "Host: post.example\r\n"
                         "Authorization: Token key-1\r\n"
                         "Deadline-Ms: 10000\r\n";

std::string
LargeBody()
{
  std::string body;
  char line[16];
  for (int i = 0; i < kLines; ++i) {
    std::snprintf(line, sizeof(line), "%09d\n", i);
    body += line;
  }
  return body;
}

Verdict
Run(Record& aRecord)
{
  const std::string large = LargeBody();
  PlatformFixture fixture;
  fixture.Configure("00000001");
  ChangeConfiguration(fixture, [](nlohmann::json& aDocument) {
    for (auto& rule : aDocument["listeners"][0]["rules"]) {
      rule["action"]["timeoutMs"] = 10000;
      if (rule["name"] == "safe") {
        rule["kind"] = "download";
      }
    }
  });
  fixture.AddInstance(
    "i-1", [&](const ReceivedRequest& aRequest) -> ScriptedResponse {
      const bool isDownload =
        aRequest.head_.find("/safe/recording") != std::string::npos;
      return { SignedResponse(aRequest, isDownload ? large : "noted") };
    });
  fixture.StartHost(1);

  const Caller caller(fixture.CallerAddress(1), kReceiveBytes);
  const std::string first =
    std::string("GET /safe/recording HTTP/1.1\r\nRequest-Id: r1\r\n") + kHead +
    "\r\n";
  aRecord.Write("sent: " + Visible(first));
  caller.Send(first);
  Sleep(std::chrono::milliseconds(700));

  const std::string body = "hello";
  const std::string next =
    std::string("POST /safe/note HTTP/1.1\r\nRequest-Id: r2\r\n") + kHead +
    (HasTrouble() ? "Expect: 100-continue\r\n" : "") +
    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
    (HasTrouble() ? "" : body);
  aRecord.Write("sent before the answer was read: " + Visible(next));
  caller.Send(next);
  Sleep(std::chrono::milliseconds(300));

  const std::string answer =
    caller.ReadUntilSilent(std::chrono::milliseconds(1500));
  const std::size_t end = answer.find("\r\n\r\n");
  if (end == std::string::npos || StatusOf(answer) != 200) {
    aRecord.Write("no answer: " + Visible(answer));
    return Verdict::NotRun;
  }
  const std::string head = answer.substr(0, end + 4);
  aRecord.Write("answered: " + Visible(head));
  const std::size_t announced =
    std::stoul("0" + HeaderOf(head, "Content-Length"));
  if (announced != large.size()) {
    aRecord.Write("the answer announces another length");
    return Verdict::NotRun;
  }
  const std::string got = answer.substr(head.size(), announced);
  if (got.size() < announced) {
    aRecord.Write("the answer ended early, after " +
                  std::to_string(got.size()) + " bytes of its body");
    return Verdict::Held;
  }
  const auto differs = std::mismatch(got.begin(), got.end(), large.begin());
  if (differs.first == got.end()) {
    aRecord.Write("the body is the instance's whole body");
    return Verdict::Held;
  }
  const auto at = static_cast<std::size_t>(differs.first - got.begin());
  aRecord.Write(
    "a signed 200 whose body differs from the instance's from byte " +
    std::to_string(at) + " on: " + Visible(got.substr(at), 60));
  return Verdict::Broken;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
