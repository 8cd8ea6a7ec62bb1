// Structured log on standard output, rate-limited and non-blocking.

#ifndef MAGNOLIAARCH_SRC_MESH_LOG_P_H_
#define MAGNOLIAARCH_SRC_MESH_LOG_P_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;

  LogField(std::string_view field, std::string_view text) : name(field), value(text) {}
  LogField(std::string_view field, const char* text) : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, const std::string& text) : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, bool flag) : name(field), value(std::int64_t{flag ? 1 : 0}) {}
  LogField(std::string_view field, Duration duration)
      : name(field), value(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) {}
  template <typename Number>
  requires std::is_integral_v<Number> LogField(std::string_view field, Number number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
};

// Category of an event. The category sets the event's limit of lines per second. The number of suppressed lines is
// logged with the event's next line.
enum class LogCategory {
  kState,    // changes of state: start, stop, role, dependency, ownership
  kFailure,  // refused or failed requests
  kSuccess,  // completed requests
};

class MeshLog {
 public:
  explicit MeshLog(std::string node);
  ~MeshLog();
  MeshLog(const MeshLog&) = delete;
  MeshLog& operator=(const MeshLog&) = delete;

  void Write(LogCategory category, std::string_view event, std::initializer_list<LogField> fields);
  // Writes buffered lines to standard output, as many as it accepts without blocking.
  void Flush();
  std::uint64_t Dropped() const { return m_dropped; }

 private:
  struct Quota {
    TimePoint window_start;
    std::uint32_t lines = 0;
    std::uint64_t suppressed = 0;
  };

  std::string m_node;
  std::string m_buffer;
  std::map<std::string, Quota, std::less<>> m_quotas;
  std::uint64_t m_dropped = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_LOG_P_H_
