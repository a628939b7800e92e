#include "base/EventLog.h"

#include "base/BootClock.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace peridotsail {

namespace {

// Capacity of the queue to the background thread.
constexpr std::size_t kLogQueueLines = 8192;

struct LogState
{
  std::shared_ptr<spdlog::logger> logger_;
  LogOptions options_;
  std::atomic<bool> running_{ false };
  // The current second and the number of limited lines in it.
  std::atomic<std::int64_t> second_{ 0 };
  std::atomic<std::size_t> lines_{ 0 };
  std::atomic<std::uint64_t> dropped_{ 0 };
};

LogState&
State()
{
  static LogState state;
  return state;
}

// Counts a line and returns whether it is within the limit per second.
bool
CountLine(LogState& aState)
{
  if (aState.options_.maxLinesPerSecond_ == 0) {
    return true;
  }
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                                BootClock::now().time_since_epoch())
                                .count();
  if (aState.second_.exchange(second) != second) {
    aState.lines_ = 0;
  }
  if (aState.lines_.fetch_add(1) < aState.options_.maxLinesPerSecond_) {
    return true;
  }
  ++aState.dropped_;
  return false;
}

const EventInfo&
FindEventInfo(Event aEvent)
{
  const std::vector<EventInfo>& table = EventTable();
  const auto found = std::lower_bound(
    table.begin(),
    table.end(),
    aEvent,
    [](const EventInfo& aRow, Event aWanted) { return aRow.event_ < aWanted; });
  return *found;
}

spdlog::level::level_enum
ToSpdlog(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

std::string
QuoteIfNeeded(const std::string& aValue)
{
  const bool needsNoQuotes =
    !aValue.empty() &&
    aValue.find_first_of(" \"=\n\r\t\\") == std::string::npos;
  if (needsNoQuotes) {
    return aValue;
  }
  return nlohmann::json(aValue).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
ToText(const EventInfo& aInfo, std::initializer_list<LogField> aFields)
{
  std::string line = std::to_string(static_cast<int>(aInfo.event_));
  line += ' ';
  line += aInfo.name_;
  line += " host=" + QuoteIfNeeded(State().options_.hostName_);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.name_;
    line += '=';
    line += QuoteIfNeeded(field.value_);
  }
  return line;
}

std::string
ToJson(const EventInfo& aInfo, std::initializer_list<LogField> aFields)
{
  nlohmann::ordered_json line;
  line["event"] = static_cast<int>(aInfo.event_);
  line["name"] = std::string(aInfo.name_);
  line["level"] = std::string(NameOf(aInfo.level_));
  line["host"] = State().options_.hostName_;
  for (const LogField& field : aFields) {
    if (field.isNumber_) {
      line[std::string(field.name_)] = nlohmann::json::parse(field.value_);
    } else {
      line[std::string(field.name_)] = field.value_;
    }
  }
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The logger's pattern writes the opening brace and the time.
  return text.substr(1);
}

}

void
StartLog(const LogOptions& aOptions)
{
  LogState& state = State();
  state.options_ = aOptions;
  spdlog::init_thread_pool(kLogQueueLines, 1);
  spdlog::sink_ptr sink;
  if (aOptions.output_ == LogOutput::StandardOutput) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  state.logger_ = std::make_shared<spdlog::async_logger>(
    "peridotsail",
    std::move(sink),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  state.logger_->set_level(ToSpdlog(aOptions.level_));
  state.logger_->flush_on(spdlog::level::warn);
  if (aOptions.format_ == LogFormat::Json) {
    state.logger_->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",%v");
  } else {
    state.logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  }
  state.running_ = true;
}

void
StopLog()
{
  LogState& state = State();
  if (!state.running_.exchange(false)) {
    return;
  }
  state.logger_->flush();
  state.logger_.reset();
  spdlog::shutdown();
}

void
LogEvent(Event aEvent, std::initializer_list<LogField> aFields)
{
  LogState& state = State();
  if (!state.running_) {
    return;
  }
  const EventInfo& info = FindEventInfo(aEvent);
  const spdlog::level::level_enum level = ToSpdlog(info.level_);
  if (!state.logger_->should_log(level)) {
    return;
  }
  if (level < spdlog::level::warn && !CountLine(state)) {
    return;
  }
  const std::string line = state.options_.format_ == LogFormat::Json
                             ? ToJson(info, aFields)
                             : ToText(info, aFields);
  state.logger_->log(level, spdlog::string_view_t(line));
}

std::uint64_t
DroppedLogLines()
{
  const auto pool = spdlog::thread_pool();
  const std::uint64_t overrunLines = pool ? pool->overrun_counter() : 0;
  return State().dropped_ + overrunLines;
}

std::string_view
NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

std::optional<LogLevel>
LogLevelFromName(std::string_view aName)
{
  for (const LogLevel level : { LogLevel::Debug,
                                LogLevel::Info,
                                LogLevel::Warning,
                                LogLevel::Error }) {
    if (NameOf(level) == aName) {
      return level;
    }
  }
  return std::nullopt;
}

std::optional<LogFormat>
LogFormatFromName(std::string_view aName)
{
  if (aName == "text") {
    return LogFormat::Text;
  }
  if (aName == "json") {
    return LogFormat::Json;
  }
  return std::nullopt;
}

}
