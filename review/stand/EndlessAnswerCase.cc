// A server in trouble answers one request with a chunked body whose chunk line
// never ends. The entry host keeps all of it, and is killed by the platform
// once it holds more memory than its limit. Requests of other callers, at which
// sound servers are at work, then end without an answer.

#include "Fleet.h"

namespace peridotsail::review {

namespace {

constexpr Milliseconds kWatchTime{ 8000 };
// The rate of the server in trouble, below the 1,000 Mbit/s of a link.
constexpr std::size_t kPieceBytes = 1 << 20;
constexpr Milliseconds kPieceInterval{ 10 };
constexpr std::size_t kUploadBytes = 60000;
constexpr std::size_t kUploadBytesPerSecond = 10 << 20;

// Sends a chunk line without end until the caller closes.
bool
SendWithoutEnd(const Socket& aSocket, const Message& aRequest, Record& aRecord)
{
  const std::string id = aRequest.Header("Request-Id");
  std::size_t sent = 0;
  bool open = aSocket.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                           "\r\nResponse-Signature: made-here\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n400;x=");
  const std::string piece(kPieceBytes, 'x');
  Clock::time_point next = Clock::now();
  while (open) {
    open = aSocket.Send(piece);
    sent += open ? piece.size() : 0;
    next += kPieceInterval;
    std::this_thread::sleep_until(next);
  }
  aRecord.Add("server in trouble sent " + std::to_string(sent >> 20) +
              " MB for " + id + " before its caller closed");
  return false;
}

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  static Fleet fleet(aArguments, aRecord);
  fleet.AddUploadServer(
    Milliseconds(0), [&](const Socket& aSocket, const Message& aRequest) {
      return aArguments.trouble_
               ? SendWithoutEnd(aSocket, aRequest, aRecord)
               : aSocket.Send(Server::SignedAnswer(aRequest, "kept"));
    });
  if (!fleet.Start()) {
    return Finish(aRecord, Result::CouldNotRun, "the host is not ready");
  }
  fleet.StartCallers();
  std::thread upload([&] {
    fleet.Upload(
      "scan-1", std::string(kUploadBytes, 's'), kUploadBytesPerSecond);
  });
  fleet.WatchMemory(kWatchTime);
  upload.join();
  fleet.Stop();
  return fleet.Judge();
}

}

}

int
main(int aCount, char** aValues)
{
  peridotsail::review::RunCase(aCount, aValues, peridotsail::review::Run);
}
