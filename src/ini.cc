#include <charconv>
#include <cmath>
#include <set>

#include "ini_p.h"
#include "text_p.h"

namespace magnoliaarch {

absl::Status IniErrors::ToStatus() const {
  if (m_messages.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  for (const auto& [line, message] : m_messages) {
    AppendText(&text, text.empty() ? "" : "\n", m_file_name, ":", line, ": ", message);
  }
  return absl::InvalidArgumentError(text);
}

std::string_view TrimWhitespace(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = TrimWhitespace(text.substr(0, comma));
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return parts;
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::vector<IniSection> ParseIniSections(std::string_view text, IniErrors* errors) {
  std::vector<IniSection> sections;
  std::map<std::string, int> lines_of_sections;
  bool in_section = false;
  int line_number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = TrimWhitespace(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    ++line_number;
    if (line.empty() || line.front() == ';' || line.front() == '#') {
      continue;
    }
    if (!IsUtf8(line)) {
      errors->Add(line_number, "line is not UTF-8, expected UTF-8 text");
      continue;
    }
    if (line.front() == '[') {
      if (line.back() != ']' || TrimWhitespace(line.substr(1, line.size() - 2)).empty()) {
        errors->Add(line_number, "malformed section header, expected [NAME]");
        in_section = false;
        continue;
      }
      IniSection section{std::string(TrimWhitespace(line.substr(1, line.size() - 2))), line_number, {}};
      const auto [known, added] = lines_of_sections.emplace(section.name, line_number);
      if (!added) {
        errors->Add(line_number, Cat("section [", section.name, "] repeated, first seen on line ", known->second));
      }
      sections.push_back(std::move(section));
      in_section = true;
      continue;
    }
    const std::size_t equals = line.find('=');
    const std::string_view key = TrimWhitespace(line.substr(0, equals));
    if (equals == std::string_view::npos || key.empty()) {
      errors->Add(line_number, "malformed line, expected 'key = value', a [section] or a comment");
    } else if (!in_section) {
      errors->Add(line_number, Cat("key '", key, "' outside of a section, expected a [section] first"));
    } else {
      sections.back().items.push_back(
          {std::string(key), std::string(TrimWhitespace(line.substr(equals + 1))), line_number});
    }
  }
  return sections;
}

IniReader::IniReader(const IniSection& section, IniErrors* errors) : m_section(section), m_errors(errors) {
  for (const IniItem& item : section.items) {
    const auto [known, added] = m_items.emplace(item.key, &item);
    if (!added) {
      m_errors->Add(item.line, Cat("key '", item.key, "' repeated, first seen on line ", known->second->line));
    }
  }
}

const IniItem* IniReader::Find(const std::string& key) {
  m_requested[key] = true;
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : found->second;
}

std::vector<const IniItem*> IniReader::FindPrefix(std::string_view prefix) {
  std::vector<const IniItem*> found;
  for (const IniItem& item : m_section.items) {
    if (item.key.starts_with(prefix)) {
      m_requested[item.key] = true;
      if (m_items[item.key] == &item) {
        found.push_back(&item);
      }
    }
  }
  return found;
}

bool IniReader::Text(const std::string& key, std::string* out) {
  const IniItem* item = Find(key);
  if (item == nullptr) {
    return false;
  }
  if (item->value.empty()) {
    AddError(item->line, Cat("'", key, "' is empty, expected a value"));
    return false;
  }
  *out = item->value;
  return true;
}

bool IniReader::RequiredText(const std::string& key, const std::string& expected, std::string* out) {
  if (Find(key) == nullptr) {
    AddError(m_section.line, Cat("[", m_section.name, "] lacks '", key, "', expected ", expected));
    return false;
  }
  return Text(key, out);
}

bool IniReader::Number(const std::string& key,
                       std::uint64_t min,
                       std::uint64_t max,
                       const std::string& unit,
                       std::uint32_t* out) {
  const IniItem* item = Find(key);
  if (item == nullptr) {
    return false;
  }
  const std::optional<std::uint64_t> value = ParseUnsigned(item->value);
  if (!value || *value < min || *value > max) {
    AddError(item->line, Cat("'", key, "' is '", item->value, "', expected a whole number from ", min, " to ", max,
                             unit.empty() ? "" : " ", unit));
    return false;
  }
  *out = static_cast<std::uint32_t>(*value);
  return true;
}

bool IniReader::RequiredNumber(const std::string& key,
                               std::uint64_t min,
                               std::uint64_t max,
                               const std::string& unit,
                               std::uint32_t* out) {
  if (Find(key) == nullptr) {
    AddError(m_section.line, Cat("[", m_section.name, "] lacks '", key, "', expected a whole number from ", min, " to ",
                                 max, unit.empty() ? "" : " ", unit));
    return false;
  }
  return Number(key, min, max, unit, out);
}

bool IniReader::Flag(const std::string& key, bool* out) {
  const IniItem* item = Find(key);
  if (item == nullptr) {
    return false;
  }
  if (item->value != "true" && item->value != "false") {
    AddError(item->line, Cat("'", key, "' is '", item->value, "', expected true or false"));
    return false;
  }
  *out = item->value == "true";
  return true;
}

bool IniReader::Real(const std::string& key, double min, double max, const std::string& unit, double* out) {
  const IniItem* item = Find(key);
  if (item == nullptr) {
    return false;
  }
  double value = 0;
  const char* const end = item->value.data() + item->value.size();
  const auto [stop, error] = std::from_chars(item->value.data(), end, value);
  if (item->value.empty() || error != std::errc() || stop != end || !std::isfinite(value) || value < min ||
      value > max) {
    AddError(item->line, Cat("'", key, "' is '", item->value, "', expected a number from ", min, " to ", max,
                             unit.empty() ? "" : " ", unit));
    return false;
  }
  *out = value;
  return true;
}

int IniReader::LineOf(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? m_section.line : found->second->line;
}

void IniReader::ReportUnknownKeys() {
  for (const IniItem& item : m_section.items) {
    if (!m_requested.contains(item.key)) {
      std::string known;
      for (const auto& [key, used] : m_requested) {
        AppendText(&known, known.empty() ? "" : ", ", key);
      }
      AddError(item.line, Cat("unknown key '", item.key, "' in [", m_section.name, "], expected one of: ", known));
    }
  }
}

}  // namespace magnoliaarch
