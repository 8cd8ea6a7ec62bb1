// INI parser that records line numbers and collects all errors of a file. SimpleIni does not provide the line numbers
// that error messages for operators need.

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

// Collects the errors of a file and reports them in line order.
class IniErrors {
 public:
  explicit IniErrors(std::string file_name) : m_file_name(std::move(file_name)) {}

  void Add(int line, const std::string& message) { m_messages.emplace(line, message); }
  bool Empty() const { return m_messages.empty(); }
  // Returns kInvalidArgument with one "FILE:LINE: message" per line, or OK if there are no errors.
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

// Splits the text into sections. A line that starts with ';' or '#' is a comment. Errors do not quote malformed lines,
// which may contain a secret.
std::vector<IniSection> ParseIniSections(std::string_view text, IniErrors* errors);

// Reads and validates the keys of one section.
class IniReader {
 public:
  IniReader(const IniSection& section, IniErrors* errors);

  // Returns the item with this key, or null if it is absent. The constructor reports repeated keys.
  const IniItem* Find(const std::string& key);

  // Returns the items whose key starts with the prefix, in file order.
  std::vector<const IniItem*> FindPrefix(std::string_view prefix);

  // Reads a value. Returns false and leaves `out` unchanged if the key is absent or its value is invalid. An invalid
  // value is an error; an absent key is an error in the Required functions only.
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

  // Returns the line of the key, or the line of the section header if the key is absent.
  int LineOf(const std::string& key) const;

  void AddError(int line, const std::string& message) { m_errors->Add(line, message); }

  // Adds an error for each key that no call has read or looked up.
  void ReportUnknownKeys();

 private:
  const IniSection& m_section;
  IniErrors* m_errors;
  std::map<std::string, const IniItem*> m_items;
  std::map<std::string, bool> m_requested;
};

// Splits a comma-separated list. Trims the parts and drops empty ones.
std::vector<std::string> SplitList(std::string_view text);

// Removes blanks, tabs and carriage returns at both ends.
std::string_view TrimWhitespace(std::string_view text);

// Parses a decimal number. The text must consist of digits only; digit separators as in "65,536" are rejected.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_INI_P_H_
