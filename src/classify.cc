#include "classify_p.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "http_headers_p.h"
#include "peer_wire_p.h"

namespace magnoliaarch {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
// First path segment of a target's control endpoints.
constexpr std::string_view kControlSegment = "-";

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 && HexDigit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::vector<std::string_view> Segments(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    path.remove_prefix(1);  // the slash
    const std::size_t slash = std::min(path.find('/'), path.size());
    segments.push_back(path.substr(0, slash));
    path.remove_prefix(slash);
  }
  return segments;
}

// Whether a target could resolve the path to one of its control endpoints, however it normalises paths.
bool IsControlPath(std::string_view path) {
  const std::string decoded = DecodePercent(path);
  std::vector<std::string_view> normal;
  for (const std::string_view segment : Segments(decoded)) {
    if (segment == "..") {
      if (!normal.empty()) {
        normal.pop_back();
      }
    } else if (!segment.empty() && segment != ".") {
      normal.push_back(segment);
    }
  }
  return !normal.empty() && normal.front() == kControlSegment;
}

std::size_t CountHeaders(const std::vector<Header>& headers, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const Header& header) { return EqualsIgnoreCase(header.name, name); }));
}

ClassifiedRequest& Refuse(ClassifiedRequest& result, ErrorKind kind, std::string detail) {
  result.refusal = kind;
  result.detail = std::move(detail);
  return result;
}

// The routing key; nullopt when the request has none.
std::optional<std::string> RoutingKey(const proto::EntryRecord& entry, const HttpRequest& http, std::string_view path) {
  if (entry.key_path_segment() != 0) {
    const std::vector<std::string_view> segments = Segments(path);
    if (entry.key_path_segment() > segments.size() || segments[entry.key_path_segment() - 1].empty()) {
      return std::nullopt;
    }
    return DecodePercent(segments[entry.key_path_segment() - 1]);
  }
  const std::string* value = http.FindHeader(entry.key_header().empty() ? kDefaultKeyHeader : entry.key_header());
  return value == nullptr || value->empty() ? std::nullopt : std::optional(*value);
}

}  // namespace

ClassifiedRequest Classify(const View& view, HttpRequest http) {
  ClassifiedRequest result;
  Request& request = result.request;
  request.id = http.id;
  if (const std::string* authorization = http.FindHeader("Authorization")) {
    if (authorization->size() > kBearerPrefix.size() &&
        EqualsIgnoreCase(std::string_view(*authorization).substr(0, kBearerPrefix.size()), kBearerPrefix)) {
      result.workspace_key = authorization->substr(kBearerPrefix.size());
    }
  }

  const std::string_view target = http.target;
  const std::string_view path = target.substr(0, target.find('?'));
  const std::size_t name_end = std::min(path.find('/', 1), path.size());
  request.entry = std::string(path.substr(1, name_end - 1));
  const std::string_view rest = path.substr(name_end);
  result.entry = view.FindEntry(request.entry);
  if (result.entry == nullptr || IsControlPath(rest)) {
    return Refuse(result, ErrorKind::kUnknownRoute, "no entry serves this path");
  }
  const proto::EntryRecord& entry = *result.entry;
  request.path = (rest.empty() ? "/" : std::string(rest)) + std::string(target.substr(path.size()));
  request.method = http.method;
  if (entry.max_body_bytes() != 0 && http.body.size() > entry.max_body_bytes()) {
    return Refuse(result, ErrorKind::kBodyTooLarge, "the body is larger than the entry allows");
  }

  request.request_class = FromProto(entry.default_class());
  request.idempotent = http.method == "GET" || http.method == "HEAD";
  if (const std::string* kind = http.FindHeader("X-Request-Kind")) {
    request.kind = *kind;
    for (const proto::KindRule& rule : entry.kinds()) {
      if (rule.kind() == request.kind) {
        request.request_class = FromProto(rule.request_class());
        request.idempotent = request.idempotent || rule.idempotent();
      }
    }
  }

  Duration deadline = entry.deadline_ms() != 0 ? std::chrono::milliseconds(entry.deadline_ms()) : kDefaultDeadline;
  if (const std::string* text = http.FindHeader("X-Deadline-Ms")) {
    std::uint32_t milliseconds = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() || milliseconds == 0) {
      return Refuse(result, ErrorKind::kMalformedRequest, "X-Deadline-Ms is not a number of milliseconds");
    }
    deadline = std::min<Duration>(deadline, std::chrono::milliseconds(milliseconds));
  }
  request.deadline = http.received + std::min(deadline, kMaxDeadline);

  request.keyed = entry.keyed();
  if (entry.keyed()) {
    const std::string_view name = entry.key_header().empty() ? kDefaultKeyHeader : std::string_view(entry.key_header());
    if (entry.key_path_segment() == 0 && CountHeaders(http.headers, name) > 1) {
      return Refuse(result, ErrorKind::kMalformedRequest, "more than one routing key");
    }
    const std::optional<std::string> key = RoutingKey(entry, http, rest);
    if (!key.has_value()) {
      return Refuse(result, ErrorKind::kMissingRoutingKey, "the request has no routing key");
    }
    request.key_hash = HashKey(*key);
    request.slice = SliceOf(request.key_hash, entry.slices());
  }

  request.headers = std::move(http.headers);
  RemoveHeader(&request.headers, "Authorization");
  request.body = std::move(http.body);
  return result;
}

}  // namespace magnoliaarch
