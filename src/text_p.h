// Concatenates and validates text. Cat replaces absl::StrCat, which does not take std::string_view in the packaged
// Abseil.

#ifndef MAGNOLIAARCH_TEXT_P_H_
#define MAGNOLIAARCH_TEXT_P_H_

#include <fmt/format.h>

#include <iterator>
#include <string>
#include <string_view>

namespace magnoliaarch {

// Appends the values in their default formatting.
template <typename... Values>
void AppendText(std::string* out, const Values&... values) {
  (fmt::format_to(std::back_inserter(*out), "{}", values), ...);
}

// Returns the values in their default formatting, one after the other.
template <typename... Values>
std::string Cat(const Values&... values) {
  std::string out;
  AppendText(&out, values...);
  return out;
}

// Whether the text is valid UTF-8. Protobuf refuses to parse string fields that are not.
bool IsUtf8(std::string_view text);

// Returns the text on one line of valid UTF-8: control characters become blanks, and if the text is not UTF-8, every
// byte above 127 becomes '?'. The result is cut to at most `max_bytes` without splitting a character.
std::string CleanText(std::string_view text, std::size_t max_bytes);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TEXT_P_H_
