#include "mesh_log_p.h"

#include <fcntl.h>
#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace magnoliaarch {
namespace {

// Each event has its own limit. Refusals under overload are repetitive; state changes are rare.
constexpr std::uint32_t kMaxStateLinesPerSecond = 200;
constexpr std::uint32_t kMaxFailureLinesPerSecond = 20;
constexpr std::uint32_t kMaxSuccessLinesPerSecond = 2;
constexpr Duration kQuotaWindow = std::chrono::seconds(1);
// Lines are buffered while standard output would block. Above this size new lines are dropped.
constexpr std::size_t kMaxBufferedBytes = 256 << 10;
constexpr std::size_t kFlushBytes = 4 << 10;

std::uint32_t MaxLinesPerSecond(LogCategory category) {
  switch (category) {
    case LogCategory::kState:
      return kMaxStateLinesPerSecond;
    case LogCategory::kFailure:
      return kMaxFailureLinesPerSecond;
    case LogCategory::kSuccess:
      return kMaxSuccessLinesPerSecond;
  }
  return kMaxSuccessLinesPerSecond;
}

// Log4cplus appender that writes to a memory buffer.
class BufferAppender : public log4cplus::Appender {
 public:
  BufferAppender(std::string* buffer, std::uint64_t* dropped) : m_buffer(buffer), m_dropped(dropped) {
    setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  }
  ~BufferAppender() override { destructorImpl(); }
  void close() override { closed = true; }  // NOLINT(readability-identifier-naming)

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {  // NOLINT(readability-identifier-naming)
    if (m_buffer->size() > kMaxBufferedBytes) {
      ++*m_dropped;
      return;
    }
    m_buffer->append(event.getMessage());
    m_buffer->push_back('\n');
  }

 private:
  std::string* m_buffer;
  std::uint64_t* m_dropped;
};

}  // namespace

MeshLog::MeshLog(std::string node) : m_node(std::move(node)) {
  log4cplus::Logger logger = log4cplus::Logger::getInstance("mesh");
  logger.setAdditivity(false);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  logger.addAppender(log4cplus::SharedAppenderPtr(new BufferAppender(&m_buffer, &m_dropped)));
  // The process must not block when the reader of its output stops reading.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

MeshLog::~MeshLog() {
  Flush();
  log4cplus::Logger::getInstance("mesh").removeAllAppenders();
}

void MeshLog::Write(LogCategory category, std::string_view event, std::initializer_list<LogField> fields) {
  const TimePoint now = BootClock::now();
  auto found = m_quotas.find(event);
  if (found == m_quotas.end()) {
    found = m_quotas.emplace(std::string(event), Quota{now, 0, 0}).first;
  }
  Quota& quota = found->second;
  if (now - quota.window_start > kQuotaWindow) {
    quota.window_start = now;
    quota.lines = 0;
  }
  if (++quota.lines > MaxLinesPerSecond(category)) {
    ++quota.suppressed;
    return;
  }
  nlohmann::ordered_json line;
  line["t_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  line["node"] = m_node;
  line["event"] = event;
  for (const LogField& field : fields) {
    if (const auto* text = std::get_if<std::string_view>(&field.value)) {
      line[std::string(field.name)] = *text;
    } else {
      line[std::string(field.name)] = std::get<std::int64_t>(field.value);
    }
  }
  if (quota.suppressed != 0) {
    line["left_out_before"] = std::exchange(quota.suppressed, 0);
  }
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("mesh");
  LOG4CPLUS_INFO(logger, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (m_buffer.size() > kFlushBytes) {
    Flush();
  }
}

void MeshLog::Flush() {
  if (m_buffer.empty()) {
    return;
  }
  const ssize_t written = write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
  if (written > 0) {
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace magnoliaarch
