// Strict check of the status line of HTTP/1 answers.

#ifndef MAGNOLIAARCH_SRC_STATUS_LINE_P_H_
#define MAGNOLIAARCH_SRC_STATUS_LINE_P_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnoliaarch {

// Whether a number is a status that an answer may have.
constexpr bool IsHttpStatus(std::uint64_t status) {
  return status >= 100 && status <= 599;
}

// Checks the status line of an answer byte by byte, because http_parser accepts statuses of any number of digits and
// more than one blank before them: "HTTP/1.1 00200" would be taken for 200.
class StatusLineCheck {
 public:
  // Starts with the next answer.
  void Reset() { m_position = 0; }
  // Whether all bytes of the status line have been read.
  bool IsComplete() const { return m_position == kComplete; }

  // Takes bytes of the answer. Returns how many of them belong to the line, which may continue in the next call;
  // `valid` is set to false if the line is not that of an answer.
  std::size_t Take(const char* data, std::size_t bytes, bool* valid) {
    for (std::size_t i = 0; i < bytes; ++i) {
      if (!TakeByte(data[i])) {
        *valid = false;
        return i + 1;
      }
      if (IsComplete()) {
        return i + 1;
      }
    }
    return bytes;
  }

 private:
  // A digit from 0 to 1 in the version, and from 1 to 5 and 0 to 9 in the status.
  static constexpr std::string_view kPattern = "HTTP/1.v sdd";
  static constexpr std::size_t kComplete = static_cast<std::size_t>(-1);

  bool TakeByte(char byte) {
    if (m_position == 0 && (byte == '\r' || byte == '\n')) {
      return true;  // blank lines before an answer are ignored
    }
    if (m_position >= kPattern.size()) {
      const bool ends = byte == '\r' || byte == '\n';
      if (m_position == kPattern.size() && byte != ' ' && !ends) {
        return false;
      }
      m_position = byte == '\n' ? kComplete : kPattern.size() + 1;
      return true;
    }
    switch (kPattern[m_position++]) {
      case 'v':
        return byte == '0' || byte == '1';
      case 's':
        return byte >= '1' && byte <= '5';
      case 'd':
        return byte >= '0' && byte <= '9';
      default:
        return byte == kPattern[m_position - 1];
    }
  }

  std::size_t m_position = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_STATUS_LINE_P_H_
