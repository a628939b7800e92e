#pragma once

// Structured logging of numbered events. EventTable.cc defines the number, name
// and level of each event; docs/events.md lists the same events, and a test
// compares the two.
//
//   LogEvent(Event::RouteDecision, { { "route", route }, { "server", name } });

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace peridotsail {

enum class Event : int
{
  // 1000: process
  ProcessStarted = 1001,
  ProcessStopping = 1002,
  ProcessStopped = 1003,
  RingFull = 1005,
  // 2000: configuration and keys
  ConfigurationInForce = 2001,
  ConfigurationRefused = 2002,
  ConfigurationReverted = 2003,
  ConfigurationCommitted = 2004,
  ConfigurationConflict = 2005,
  KeyRefused = 2006,
  HostIsolated = 2007,
  EvacuationChanged = 2008,
  SettingsReloaded = 2009,
  ConfigurationEntryUnusable = 2010,
  ConfigurationUsed = 2011,
  StoreRestored = 2012,
  HostConfirmed = 2101,
  // 3000: platform
  StoreUnreachable = 3001,
  StoreReachable = 3002,
  StoreAnswerMalformed = 3003,
  HostListChanged = 3004,
  HostListUnreachable = 3005,
  StoreHistoryGone = 3006,
  HostLeaseLost = 3007,
  HostRecordRefused = 3008,
  StoreCallFailed = 3009,
  ViewNeighbourFailed = 3010,
  ViewNeighbourBehind = 3011,
  ServerRemovalDelayed = 3012,
  ViewRead = 3013,
  ViewLate = 3014,
  ViewCurrent = 3015,
  // 4000: peers
  PeerConnected = 4001,
  PeerDisconnected = 4002,
  PeerMessageMalformed = 4003,
  // 5000: routing decisions
  RouteDecision = 5001,
  RequestRefused = 5002,
  RelayDecision = 5003,
  LookupDecision = 5004,
  RequestFinished = 5005,
  AttemptFailed = 5006,
  CallerLeft = 5007,
  RequestMalformed = 5008,
  AllowanceUsedUp = 5009,
  ServerFull = 5010,
  ViewNotConfirmed = 5011,
  LoanTaken = 5012,
  PeerDatagramDropped = 5013,
  MemoryRefused = 5014,
  MemoryClosed = 5015,
  SlotRefused = 5016,
  SlotOwnerSilent = 5017,
  // 7000: at-most-once execution
  ClaimsLoaded = 7001,
  ClaimRecordMalformed = 7002,
  ClaimWriteFenced = 7003,
  SlotInDoubt = 7004,
  OnceDecision = 7005,
  OnceRelayed = 7006,
  // 6000: host slots and budgets
  SlotDecision = 6001,
  // 8000: backend servers
  BackendServerState = 8001,
  RequestQuarantined = 8002,
  BackendConnectionSilent = 8003,
  InstanceRecordRefused = 8004,
  ServerLostInRequest = 8005,
  ServerDeathConfirmed = 8006,
  SuspectHeld = 8007,
  ServerPaceChanged = 8008,
  // 9000: steering
  RegionWeightChanged = 9001,
  RegionDrainPlanned = 9002,
  RelayAdmission = 9003,
  SteeringDecision = 9004,
  RegionPlanChanged = 9005,
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat
{
  Text,
  Json,
};

enum class LogOutput
{
  StandardError,
  StandardOutput,
};

// A row of the event table.
struct EventInfo
{
  Event event_;
  std::string_view name_;
  LogLevel level_;
  // A one-sentence description, the same as in docs/events.md.
  std::string_view sentence_;
};

// The most bytes of a text in a log line. Texts of callers may be as long as
// their request's head, and thousands of lines may wait to be written.
constexpr std::size_t kMaxLoggedBytes = 512;

// A named value in a log line.
struct LogField
{
  // A longer text is cut.
  LogField(std::string_view aName, std::string_view aValue)
    : name_(aName)
    , value_(aValue.substr(0, kMaxLoggedBytes))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }
  LogField(std::string_view aName, const std::string& aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }
  template<typename T,
           typename = std::enable_if_t<std::is_arithmetic<T>::value>>
  LogField(std::string_view aName, T aValue)
    : name_(aName)
    , value_(std::to_string(aValue))
    , isNumber_(true)
  {
  }

  std::string_view name_;
  std::string value_;
  bool isNumber_ = false;
};

struct LogOptions
{
  LogFormat format_ = LogFormat::Text;
  LogLevel level_ = LogLevel::Info;
  // Included in every line.
  std::string hostName_;
  LogOutput output_ = LogOutput::StandardError;
  // Maximum number of lines below the warning level per second; further ones
  // are dropped and counted. 0 means no limit.
  std::size_t maxLinesPerSecond_ = 0;
};

// Starts logging to standard error or standard output from a background thread
// with a bounded queue. When the queue is full, the oldest lines are dropped.
// Nothing is logged before this call.
void
StartLog(const LogOptions& aOptions);

// Writes the queued lines and stops the background thread.
void
StopLog();

void
LogEvent(Event aEvent, std::initializer_list<LogField> aFields = {});

// Returns the number of lines dropped because of the limit per second or a full
// queue.
std::uint64_t
DroppedLogLines();

// Returns all events, sorted by number.
const std::vector<EventInfo>&
EventTable();

std::string_view
NameOf(LogLevel aLevel);

std::optional<LogLevel>
LogLevelFromName(std::string_view aName);

std::optional<LogFormat>
LogFormatFromName(std::string_view aName);

}
