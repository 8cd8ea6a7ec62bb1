#include <netinet/tcp.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include <fmt/format.h>

#include "http1_p.h"
#include "http_headers_p.h"

namespace magnoliaarch {

const std::string* HttpMessage::Find(std::string_view name) const {
  return FindHeader(headers, name);
}

void SetUserTimeout(asio::ip::tcp::socket& socket, Duration timeout) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int ms = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(ms), ignored);
}

absl::Status Listen(asio::ip::tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port) {
  // Limit of connections waiting to be accepted.
  constexpr int kBacklog = 1024;
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
  if (!error) {
    acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return absl::UnavailableError(fmt::format("cannot listen on {}:{}: {}", ip, port, error.message()));
  }
  return absl::OkStatus();
}

namespace {

// Whether the bytes may be part of a field name. The parser's lenient build accepts spaces: it does not take
// "Content-Length :" for a length, but another server may, which would let a body pass for a second message.
bool IsFieldName(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return std::all_of(text.begin(), text.end(), [&](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || kSymbols.find(c) != std::string_view::npos;
  });
}

// Trailers of a chunked body are read and discarded: they must not change the meaning of the header.
bool InTrailer(const http_parser& parser) {
  return (parser.flags & F_TRAILING) != 0;
}

}  // namespace

Http1Parser::Http1Parser(http_parser_type type, Limits limits, std::function<bool(HttpMessage)> on_message)
    : m_limits(limits), m_on_message(std::move(on_message)) {
  http_parser_init(&m_parser, type);
  m_parser.data = this;
}

const http_parser_settings& Http1Parser::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &OnBegin;
    settings.on_url = &OnUrl;
    settings.on_header_field = &OnHeaderField;
    settings.on_header_value = &OnHeaderValue;
    settings.on_headers_complete = &OnHeadersComplete;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnComplete;
    return settings;
  }();
  return callbacks;
}

bool Http1Parser::Feed(const char* data, std::size_t bytes) {
  if (m_stopped || m_error != Error::kNone) {
    return false;
  }
  while (bytes > 0) {
    std::size_t part = bytes;
    if (m_parser.type == HTTP_RESPONSE && !m_status_line.IsComplete()) {
      bool valid = true;
      part = m_status_line.Take(data, bytes, &valid);
      if (!valid) {
        m_error = Error::kMalformed;
        return false;
      }
    }
    const std::size_t taken = Execute(data, part);
    if (m_stopped) {
      return false;
    }
    if (m_parser.upgrade != 0 || taken == 0 || HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
      if (m_error == Error::kNone) {
        m_error = HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW ? Error::kHeaderTooLarge : Error::kMalformed;
      }
      return false;
    }
    data += taken;
    bytes -= taken;
  }
  return true;
}

std::size_t Http1Parser::Execute(const char* data, std::size_t bytes) {
  const std::size_t taken = http_parser_execute(&m_parser, &Callbacks(), data, bytes);
  // OnComplete pauses the parser after each response, so that the next status line is checked before it is parsed.
  if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
    http_parser_pause(&m_parser, 0);
  }
  return taken;
}

bool Http1Parser::FinishAtEof() {
  if (m_stopped || m_error != Error::kNone) {
    return false;
  }
  Execute(nullptr, 0);
  return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK;
}

std::size_t Http1Parser::HeldBytes() const {
  return m_in_message ? m_header_bytes + m_message.headers.capacity() * sizeof(Header) + m_message.body.capacity() : 0;
}

std::size_t Http1Parser::HeldBytesDuring(std::size_t input_bytes) const {
  const std::size_t capacity = m_in_message ? m_message.body.capacity() : 0;
  const std::size_t size = m_in_message ? m_message.body.size() : 0;
  const std::size_t limit = m_in_message ? m_body_limit : m_limits.body_bytes;
  const std::size_t next = GrownCapacity(capacity, std::min(size + input_bytes, limit), limit);
  return HeldBytes() + input_bytes + (next > capacity ? next : 0);
}

void Http1Parser::Discard() {
  m_stopped = true;
  m_in_message = false;
  // Assigning an empty string would keep the buffer.
  std::exchange(m_message, HttpMessage());
}

bool Http1Parser::CountHeaderBytes(std::size_t bytes) {
  m_header_bytes += bytes;
  if (m_header_bytes > m_limits.header_bytes) {
    m_error = Error::kHeaderTooLarge;
    return false;
  }
  return true;
}

int Http1Parser::OnBegin(http_parser* parser) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  self.m_message = HttpMessage{};
  self.m_header_bytes = 0;
  self.m_in_message = true;
  self.m_body_limit = self.m_limits.body_bytes;
  self.m_in_header_value = false;
  return 0;
}

int Http1Parser::OnUrl(http_parser* parser, const char* at, std::size_t length) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  self.m_message.target.append(at, length);
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Http1Parser::OnHeaderField(http_parser* parser, const char* at, std::size_t length) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  if (!IsFieldName({at, length})) {
    self.m_error = Error::kMalformed;
    return 1;
  }
  if (InTrailer(*parser)) {
    return self.CountHeaderBytes(length) ? 0 : 1;
  }
  if (self.m_message.headers.empty() || self.m_in_header_value) {
    if (self.m_message.headers.size() >= self.m_limits.header_fields) {
      self.m_error = Error::kHeaderTooLarge;
      return 1;
    }
    self.m_message.headers.emplace_back();
    self.m_in_header_value = false;
  }
  self.m_message.headers.back().name.append(at, length);
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Http1Parser::OnHeaderValue(http_parser* parser, const char* at, std::size_t length) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  if (InTrailer(*parser)) {
    return self.CountHeaderBytes(length) ? 0 : 1;
  }
  self.m_in_header_value = true;
  if (!self.m_message.headers.empty()) {
    self.m_message.headers.back().value.append(at, length);
  }
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Http1Parser::OnHeadersComplete(http_parser* parser) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  HttpMessage& message = self.m_message;
  if (parser->type == HTTP_REQUEST) {
    message.method = http_method_str(static_cast<http_method>(parser->method));
  } else {
    message.status = static_cast<int>(parser->status_code);
  }
  message.has_body = (parser->flags & F_CHUNKED) != 0 || (parser->flags & F_CONTENTLENGTH) != 0;
  if ((parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length > self.m_limits.body_bytes &&
      parser->content_length != UINT64_MAX) {
    self.m_error = Error::kBodyTooLarge;
    return -1;
  }
  if ((parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length != UINT64_MAX) {
    self.m_body_limit = static_cast<std::size_t>(parser->content_length);
  }
  return self.m_expect_no_body && parser->type == HTTP_RESPONSE ? 1 : 0;
}

int Http1Parser::OnBody(http_parser* parser, const char* at, std::size_t length) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  if (self.m_message.body.size() + length > self.m_limits.body_bytes) {
    self.m_error = Error::kBodyTooLarge;
    return 1;
  }
  std::string& body = self.m_message.body;
  const std::size_t capacity = GrownCapacity(body.capacity(), body.size() + length, self.m_body_limit);
  if (capacity > body.capacity()) {
    body.reserve(capacity);
  }
  body.append(at, length);
  return 0;
}

int Http1Parser::OnComplete(http_parser* parser) {
  auto& self = *static_cast<Http1Parser*>(parser->data);
  self.m_in_message = false;
  self.m_message.keep_alive = http_should_keep_alive(parser) != 0;
  if (!self.m_on_message(std::move(self.m_message))) {
    self.m_stopped = true;
    return 1;
  }
  if (parser->type == HTTP_RESPONSE) {
    self.m_status_line.Reset();
    http_parser_pause(parser, 1);
  }
  return 0;
}

namespace {

void AppendFields(const HttpMessage& message, std::string* out) {
  for (const Header& header : message.headers) {
    fmt::format_to(std::back_inserter(*out), "{}: {}\r\n", header.name, header.value);
  }
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

}  // namespace

std::string SerializeRequest(const HttpMessage& request) {
  return SerializeRequestHead(request) + (request.shared_body != nullptr ? *request.shared_body : request.body);
}

std::string SerializeRequestHead(const HttpMessage& request) {
  const std::size_t body_bytes = request.shared_body != nullptr ? request.shared_body->size() : request.body.size();
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  AppendFields(request, &out);
  if (request.has_body || body_bytes != 0) {
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", body_bytes);
  }
  out += "\r\n";
  return out;
}

bool SendsBody(const HttpMessage& answer, bool to_head_request) {
  return !to_head_request && answer.status != 204 && answer.status != 304;
}

std::string SerializeAnswer(const HttpMessage& answer, bool close, bool to_head_request) {
  std::string out = SerializeAnswerHead(answer, close, to_head_request);
  if (SendsBody(answer, to_head_request)) {
    out += answer.body;
  }
  return out;
}

std::string SerializeAnswerHead(const HttpMessage& answer, bool close, bool to_head_request) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, ReasonPhrase(answer.status));
  AppendFields(answer, &out);
  const bool bodyless = answer.status == 204 || answer.status == 304;
  if (!bodyless && !(to_head_request && answer.Find("content-length") != nullptr)) {
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", answer.body.size());
  }
  if (close) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  return out;
}

}  // namespace magnoliaarch
