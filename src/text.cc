#include "text_p.h"

#include <algorithm>

namespace magnoliaarch {
namespace {

// Returns the length in bytes of the UTF-8 sequence at the start of the text, or 0 if it is invalid.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned char first = byte(0);
  const std::size_t length = first < 0x80                    ? 1
                             : first >= 0xC2 && first < 0xE0 ? 2
                             : first >= 0xE0 && first < 0xF0 ? 3
                             : first >= 0xF0 && first < 0xF5 ? 4
                                                             : 0;
  if (length == 0 || length > text.size()) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xC0) != 0x80) {
      return 0;
    }
  }
  // Rejects overlong forms, surrogates and code points above U+10FFFF.
  if ((first == 0xE0 && byte(1) < 0xA0) || (first == 0xED && byte(1) >= 0xA0) || (first == 0xF0 && byte(1) < 0x90) ||
      (first == 0xF4 && byte(1) >= 0x90)) {
    return 0;
  }
  return length;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = Utf8SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::string CleanText(std::string_view text, std::size_t max_bytes) {
  std::string clean(text);
  const bool is_utf8 = IsUtf8(text);
  for (char& c : clean) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7F) {
      c = ' ';
    } else if (byte >= 0x80 && !is_utf8) {
      c = '?';
    }
  }
  if (clean.size() > max_bytes) {
    std::size_t end = max_bytes;
    while (end > 0 && (static_cast<unsigned char>(clean[end]) & 0xC0) == 0x80) {
      --end;
    }
    clean.resize(end);
  }
  return clean;
}

}  // namespace magnoliaarch
