#include "http_ingress_p.h"

#include <pthread.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <asio.hpp>
#include <restinio/all.hpp>

#include "http_headers_p.h"
#include "magnoliaarch/error.h"

namespace magnoliaarch {
namespace {

// Limits for reading and discarding input on a connection that is being closed. Closing a socket with unread input
// makes the kernel discard the last answer.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 4 << 20;
// Requests end at their own deadline; this only limits a connection whose request is never answered.
constexpr Duration kHandlerTimeout = std::chrono::minutes(10);
constexpr Duration kWriteTimeout = std::chrono::seconds(30);
// Stop closes keep-alive connections after this time without a request.
constexpr Duration kStopIdleTime = std::chrono::milliseconds(200);
constexpr Duration kStopPollPeriod = std::chrono::milliseconds(10);

// Headers that only this node may set. They are removed from the target's answer, because a target must not report the
// run state.
constexpr std::array<std::string_view, 3> kReservedHeaders = {"x-request-id", "x-run-state", "x-error-kind"};

// Kind of the parser error for which the connection is being closed. The HTTP library reports a parser error only to
// its logger and then closes the socket on the same thread.
thread_local std::optional<ErrorKind> g_parser_error_kind;

std::string EscapeJson(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      escaped += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RefusalBody(const Response& response) {
  return fmt::format("{{\"error\":\"{}\",\"run_state\":\"{}\",\"detail\":\"{}\"}}\n", response.error_kind,
                     ToString(response.run_state), EscapeJson(response.detail));
}

std::string SerializeRefusal(const Response& response) {
  const std::string body = RefusalBody(response);
  return fmt::format(
      "HTTP/1.1 {} Refused\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
      "X-Request-Id: {}\r\nX-Run-State: {}\r\nX-Error-Kind: {}\r\n\r\n{}",
      response.status, body.size(), response.id.ToString(), ToString(response.run_state), response.error_kind, body);
}

ErrorKind ParserErrorKind(std::string_view message) {
  const auto contains = [message](std::string_view name) { return message.find(name) != std::string_view::npos; };
  if (contains("HPE_CB_url") || contains("HPE_CB_header_field") || contains("HPE_CB_header_value") ||
      contains("HPE_HEADER_OVERFLOW")) {
    return ErrorKind::kHeaderTooLarge;
  }
  if (contains("HPE_CB_headers_complete") || contains("HPE_CB_body")) {
    return ErrorKind::kBodyTooLarge;
  }
  return ErrorKind::kMalformedRequest;
}

// Logger for the HTTP library that only detects parser errors.
class ParserErrorLogger {
 public:
  template <typename Builder>
  void trace(Builder&& /*builder*/) {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void info(Builder&& /*builder*/) {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void warn(Builder&& /*builder*/) {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void error(Builder&& builder) {  // NOLINT(readability-identifier-naming)
    const std::string message = builder();
    if (message.find("parser error HPE_") != std::string::npos) {
      g_parser_error_kind = ParserErrorKind(message);
    }
  }
};

// Writes the final bytes, shuts down the sending side and discards input until the caller closes the connection.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  LingeringClose(asio::ip::tcp::socket socket, std::string final_bytes)
      : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_final_bytes(std::move(final_bytes)) {}

  void Start() {
    m_timer.expires_after(kLingerTimeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) {
        self->End();
      }
    });
    asio::async_write(m_socket, asio::buffer(m_final_bytes),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t /*bytes*/) {
                        if (error) {
                          self->End();
                          return;
                        }
                        asio::error_code ignored;
                        self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                        self->DiscardInput();
                      });
  }

 private:
  void DiscardInput() {
    m_socket.async_read_some(asio::buffer(m_discard_buffer),
                             [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                               self->m_discarded_bytes += bytes;
                               if (error || self->m_discarded_bytes > kMaxLingerBytes) {
                                 self->End();
                                 return;
                               }
                               self->DiscardInput();
                             });
  }

  void End() {
    asio::error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_final_bytes;
  std::array<char, 16384> m_discard_buffer{};
  std::size_t m_discarded_bytes = 0;
};

// The library closes a connection immediately. This socket first answers a parser error and closes without losing
// output.
class IngressSocket : public asio::ip::tcp::socket {
 public:
  using asio::ip::tcp::socket::socket;

  // Called by the library immediately before close(), which shuts the connection down.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown(asio::ip::tcp::socket::shutdown_type /*what*/, asio::error_code& /*error*/) {}

  // NOLINTNEXTLINE(readability-identifier-naming)
  void close() {
    const std::optional<ErrorKind> refusal = std::exchange(g_parser_error_kind, std::nullopt);
    if (!is_open()) {
      return;
    }
    asio::error_code ignored;
    cancel(ignored);
    std::string final_bytes;
    if (refusal.has_value()) {
      final_bytes = SerializeRefusal(MakeRefusal(RequestId::Random(), *refusal, "the request cannot be parsed"));
    }
    std::make_shared<LingeringClose>(static_cast<asio::ip::tcp::socket&&>(*this), std::move(final_bytes))->Start();
  }
};

struct IngressTraits : public restinio::default_single_thread_traits_t {
  using logger_t = ParserErrorLogger;
  using stream_socket_t = IngressSocket;
  static constexpr bool use_connection_count_limiter = true;  // NOLINT(readability-identifier-naming)
};

// Counts a request as in progress until its answer is written or its connection is closed.
class InProgressToken {
 public:
  explicit InProgressToken(std::atomic<std::size_t>& count) : m_count(count) { ++m_count; }
  ~InProgressToken() { --m_count; }
  InProgressToken(const InProgressToken&) = delete;
  InProgressToken& operator=(const InProgressToken&) = delete;

 private:
  std::atomic<std::size_t>& m_count;
};

}  // namespace

const std::string* HttpRequest::FindHeader(std::string_view name) const {
  return magnoliaarch::FindHeader(headers, name);
}

class HttpIngress::Impl {
 public:
  Impl(HttpIngressOptions options, OnRequest on_request)
      : m_options(std::move(options)), m_on_request(std::move(on_request)) {}

  ~Impl() { Join(); }

  absl::Status Start() {
    try {
      m_server = std::make_unique<restinio::http_server_t<IngressTraits>>(
          restinio::external_io_context(m_context),
          restinio::server_settings_t<IngressTraits>{}
              .address(m_options.ip)
              .port(m_options.port)
              .max_parallel_connections(m_options.max_connections)
              .buffer_size(kReadBufferBytes)
              // One request at a time per connection, so that the refusal of a request that cannot be parsed never
              // overtakes an earlier answer.
              .max_pipelined_requests(1)
              .read_next_http_message_timelimit(m_options.idle_timeout)
              .handle_request_timeout(kHandlerTimeout)
              .write_http_response_timelimit(kWriteTimeout)
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(m_options.max_header_bytes)
                                            .max_field_name_size(m_options.max_header_bytes)
                                            .max_field_value_size(m_options.max_header_bytes)
                                            .max_body_size(m_options.max_body_bytes))
              .acceptor_post_bind_hook([this](auto& acceptor) { m_port = acceptor.local_endpoint().port(); })
              .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
              .request_handler([this](const restinio::request_handle_t& r) { return Handle(r); }));
      m_server->open_sync();
    } catch (const std::exception& error) {
      return absl::UnavailableError(
          fmt::format("cannot listen on {}:{}: {}", m_options.ip, m_options.port, error.what()));
    }
    m_thread = std::thread([this] {
      pthread_setname_np(pthread_self(), "ingress");
      m_context.run();
    });
    return absl::OkStatus();
  }

  std::uint16_t Port() const { return m_port; }
  asio::io_context& Context() { return m_context; }
  std::size_t InProgress() const { return m_in_progress; }

  void Drain() {
    if (!m_draining.exchange(true)) {
      asio::post(m_context, [this] { m_server->close_sync(); });
    }
  }

  bool Stop(Duration grace) {
    if (!m_thread.joinable()) {
      return true;
    }
    Drain();
    const TimePoint end = BootClock::now() + grace;
    TimePoint idle_since = BootClock::now();
    std::uint64_t last_received = m_received;
    while (BootClock::now() < end) {
      if (m_in_progress != 0 || m_received != last_received) {
        last_received = m_received;
        idle_since = BootClock::now();
      } else if (BootClock::now() - idle_since >= kStopIdleTime) {
        break;
      }
      std::this_thread::sleep_for(kStopPollPeriod);
    }
    const bool answered = m_in_progress == 0;
    Join();
    return answered;
  }

 private:
  static constexpr std::size_t kReadBufferBytes = 16384;

  // State of one request, shared by the copies of its responder.
  struct Exchange {
    Exchange(restinio::request_handle_t handle, RequestId request_id, std::shared_ptr<InProgressToken> in_progress)
        : request(std::move(handle)), id(request_id), token(std::move(in_progress)) {}
    restinio::request_handle_t request;
    RequestId id;
    std::shared_ptr<InProgressToken> token;
    std::atomic<bool> answered{false};
  };

  restinio::request_handling_status_t Handle(const restinio::request_handle_t& handle) {
    ++m_received;
    HttpRequest request;
    request.id = RequestId::Random();
    request.received = BootClock::now();
    request.method = handle->header().method().c_str();
    request.target = handle->header().request_target();
    std::size_t header_bytes = request.target.size();
    request.headers.reserve(handle->header().fields_count());
    handle->header().for_each_field([&request, &header_bytes](const restinio::http_header_field_t& field) {
      header_bytes += field.name().size() + field.value().size();
      request.headers.push_back(Header{field.name(), field.value()});
    });
    request.caller_ip = handle->remote_endpoint().address().to_string();
    request.body = std::move(handle->body());
    auto exchange = std::make_shared<Exchange>(handle, request.id, std::make_shared<InProgressToken>(m_in_progress));
    // Protocol upgrades and tunnels are not supported; such a connection is closed after the answer.
    const bool upgrade = handle->header().connection() == restinio::http_connection_header_t::upgrade;
    if (handle->header().method() == restinio::http_method_connect()) {
      Answer(exchange, MakeRefusal(request.id, ErrorKind::kMalformedRequest, "CONNECT is not supported"), true);
    } else if (header_bytes > m_options.max_header_bytes) {
      Answer(exchange, MakeRefusal(request.id, ErrorKind::kHeaderTooLarge, "too many header bytes"), true);
    } else if (request.target.empty() || request.target.front() != '/') {
      Answer(exchange, MakeRefusal(request.id, ErrorKind::kMalformedRequest, "the target is not a path"), false);
    } else {
      m_on_request(std::move(request),
                   [this, exchange, upgrade](Response response) { Answer(exchange, std::move(response), upgrade); });
    }
    return restinio::request_accepted();
  }

  // The answer is always written in a later iteration of the event loop. If it were written immediately, the library
  // would read the next request of the connection while handling the answer, and a parser error in that request would
  // be answered first.
  void Answer(const std::shared_ptr<Exchange>& exchange, Response response, bool close) {
    if (!exchange->answered.exchange(true)) {
      asio::post(m_context, [this, exchange, response = std::move(response), close]() mutable {
        Write(*exchange, std::move(response), close);
      });
    }
  }

  void Write(Exchange& exchange, Response response, bool close) {
    const bool is_head = exchange.request->header().method() == restinio::http_method_head();
    const bool refusal = !response.error_kind.empty();
    // The answer to HEAD carries the Content-Length of the answer to GET.
    const std::string* length = is_head && !refusal ? FindHeader(response.headers, "content-length") : nullptr;
    const std::size_t head_length = length != nullptr ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    RemoveHopByHop(&response.headers);
    for (const std::string_view reserved : kReservedHeaders) {
      RemoveHeader(&response.headers, reserved);
    }
    if (refusal) {
      response.headers.clear();
      response.body = RefusalBody(response);
    }
    const auto status_id = restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
    restinio::http_status_line_t status(status_id, refusal ? "Refused" : "Answer");
    const auto append_headers = [&](auto& builder) {
      for (Header& header : response.headers) {
        builder.append_header(std::move(header.name), std::move(header.value));
      }
      if (refusal) {
        builder.append_header("Content-Type", "application/json");
        builder.append_header("X-Error-Kind", response.error_kind);
      }
      builder.append_header("X-Request-Id", exchange.id.ToString());
      builder.append_header("X-Run-State", std::string(ToString(response.run_state)));
      if (close || m_draining) {
        builder.connection_close();
      }
    };
    auto on_written = [token = std::move(exchange.token)](const asio::error_code& /*error*/) {};
    if (is_head) {
      auto builder = exchange.request->create_response<restinio::user_controlled_output_t>(std::move(status));
      append_headers(builder);
      builder.set_content_length(refusal ? response.body.size() : head_length);
      builder.done(std::move(on_written));
      return;
    }
    auto builder = exchange.request->create_response(std::move(status));
    append_headers(builder);
    builder.set_body(std::move(response.body));
    builder.done(std::move(on_written));
  }

  void Join() {
    if (m_thread.joinable()) {
      m_context.stop();
      m_thread.join();
    }
  }

  const HttpIngressOptions m_options;
  const OnRequest m_on_request;
  std::atomic<std::size_t> m_in_progress{0};
  std::atomic<std::uint64_t> m_received{0};
  std::atomic<bool> m_draining{false};
  std::atomic<std::uint16_t> m_port{0};
  asio::io_context m_context{1};
  std::unique_ptr<restinio::http_server_t<IngressTraits>> m_server;
  std::thread m_thread;
};

HttpIngress::HttpIngress(HttpIngressOptions options, OnRequest on_request)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(on_request))) {}

HttpIngress::~HttpIngress() = default;

absl::Status HttpIngress::Start() {
  return m_impl->Start();
}

std::uint16_t HttpIngress::Port() const {
  return m_impl->Port();
}

void HttpIngress::Post(std::function<void()> task) {
  asio::post(m_impl->Context(), std::move(task));
}

void HttpIngress::PostAfter(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(m_impl->Context(), delay);
  timer->async_wait([timer, task = std::move(task)](const asio::error_code& error) {
    if (!error) {
      task();
    }
  });
}

void HttpIngress::Drain() {
  m_impl->Drain();
}

std::size_t HttpIngress::InProgress() const {
  return m_impl->InProgress();
}

bool HttpIngress::Stop(Duration grace) {
  return m_impl->Stop(grace);
}

}  // namespace magnoliaarch
