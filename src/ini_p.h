// INI scanner that keeps line numbers and collects every fault. SimpleIni does not report lines, and operators need
// them.

#ifndef MAGNOLIAARCH_INI_P_H_
#define MAGNOLIAARCH_INI_P_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace magnoliaarch {

// Faults of one file, reported together in line order.
class IniErrors {
 public:
  explicit IniErrors(std::string file_name) : m_file_name(std::move(file_name)) {}

  void Add(int line, const std::string& message) { m_messages.emplace(line, message); }
  bool Empty() const { return m_messages.empty(); }
  // kInvalidArgument with one "FILE:LINE: message" per line, or OK.
  absl::Status ToStatus() const;

 private:
  std::string m_file_name;
  std::multimap<int, std::string> m_messages;
};

struct IniItem {
  std::string key;
  std::string value;
  int line = 0;
};

struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniItem> items;
};

// Splits the text into sections. Comments start with ';' or '#' at the start of a line. Malformed lines are reported
// without their content, which may be a secret.
std::vector<IniSection> ParseIniSections(std::string_view text, IniErrors* errors);

// Reads the keys of one section with their checks; Finish reports the keys that nobody asked for.
class IniReader {
 public:
  IniReader(const IniSection& section, IniErrors* errors);

  // The item with this key, null when absent. Repeated keys are reported by the constructor.
  const IniItem* Find(const std::string& key);

  // Items whose key starts with the prefix, in file order.
  std::vector<const IniItem*> FindPrefix(std::string_view prefix);

  // Each reads the key if it is present and leaves the output alone otherwise. The required forms report absence.
  bool Text(const std::string& key, std::string* out);
  bool RequiredText(const std::string& key, const std::string& expected, std::string* out);
  bool Number(const std::string& key,
              std::uint64_t min,
              std::uint64_t max,
              const std::string& unit,
              std::uint32_t* out);
  bool RequiredNumber(const std::string& key,
                      std::uint64_t min,
                      std::uint64_t max,
                      const std::string& unit,
                      std::uint32_t* out);
  bool Flag(const std::string& key, bool* out);
  bool Real(const std::string& key, double min, double max, const std::string& unit, double* out);

  // Line of the key, or of the section when the key is absent.
  int LineOf(const std::string& key) const;

  void AddError(int line, const std::string& message) { m_errors->Add(line, message); }

  void ReportUnknownKeys();

 private:
  const IniSection& m_section;
  IniErrors* m_errors;
  std::map<std::string, const IniItem*> m_items;
  std::map<std::string, bool> m_requested;
};

// Comma-separated list without blanks and empty parts.
std::vector<std::string> SplitList(std::string_view text);

// Text with blanks at both ends removed.
std::string_view TrimWhitespace(std::string_view text);

// Decimal number with optional digit separators as in "65,536" refused; nothing but digits is accepted.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_INI_P_H_
