#include "http_headers_p.h"

#include <algorithm>
#include <array>

namespace magnoliaarch {
namespace {

constexpr std::array<std::string_view, 12> kHopByHopHeaders = {"connection",
                                                               "keep-alive",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "proxy-connection",
                                                               "te",
                                                               "trailer",
                                                               "upgrade",
                                                               "transfer-encoding",
                                                               "expect",
                                                               "content-length",
                                                               "http2-settings"};

constexpr char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return ToLowerAscii(x) == ToLowerAscii(y); });
}

const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

void RemoveHopByHop(std::vector<Header>* headers) {
  std::vector<std::string> connection_options;
  for (const Header& header : *headers) {
    if (!EqualsIgnoreCase(header.name, "connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      const std::string_view name = Trim(rest.substr(0, comma));
      if (!name.empty()) {
        connection_options.emplace_back(name);
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::erase_if(*headers, [&connection_options](const Header& header) {
    const auto matches = [&header](std::string_view name) { return EqualsIgnoreCase(header.name, name); };
    return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), matches) ||
           std::any_of(connection_options.begin(), connection_options.end(), matches);
  });
}

void RemoveHeader(std::vector<Header>* headers, std::string_view name) {
  std::erase_if(*headers, [name](const Header& header) { return EqualsIgnoreCase(header.name, name); });
}

}  // namespace magnoliaarch
