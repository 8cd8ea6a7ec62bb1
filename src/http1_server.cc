#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include <fmt/format.h>

#include "http1_p.h"
#include "http_headers_p.h"

namespace magnoliaarch {
namespace {

constexpr std::size_t kReadBufferBytes = 16384;
// Limit of unanswered requests per connection; reading pauses at the limit.
constexpr std::size_t kMaxPipelinedRequests = 64;
// A caller that receives no data for this long is treated as disconnected.
constexpr Duration kWriteTimeout = std::chrono::seconds(5);

}  // namespace

// A caller's connection.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server& server, asio::ip::tcp::socket socket)
      : m_server(&server),
        m_socket(std::move(socket)),
        m_parser(HTTP_REQUEST,
                 server.m_options.limits,
                 [this](HttpMessage message) { return OnMessage(std::move(message)); }),
        m_last_activity(BootClock::now()) {}

  void Read() {
    if (m_reading || !m_open || m_input_ended || m_exchanges.size() >= kMaxPipelinedRequests) {
      return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                               self->m_reading = false;
                               self->OnRead(error, bytes);
                             });
  }

  // Writes the responses that are ready, in request order.
  void Flush() {
    if (m_writing || !m_open) {
      return;
    }
    m_write_buffer.clear();
    bool close = false;
    while (!m_exchanges.empty() && m_exchanges.front()->m_answered && !close) {
      const std::shared_ptr<HttpExchange> exchange = std::move(m_exchanges.front());
      m_exchanges.pop_front();
      // Later requests that are already being handled still get their responses.
      const bool last = m_exchanges.empty();
      close =
          last && (!exchange->request.keep_alive || m_input_ended || (m_server->m_draining && !m_parser.InMessage()));
      m_write_buffer += SerializeAnswer(exchange->m_answer, close, exchange->request.method == "HEAD");
    }
    if (m_write_buffer.empty()) {
      return;
    }
    m_last_activity = BootClock::now();
    m_writing = true;
    m_closing = close;
    asio::async_write(m_socket, asio::buffer(m_write_buffer),
                      [self = shared_from_this(), close](const asio::error_code& error, std::size_t /*bytes*/) {
                        self->m_writing = false;
                        if (error || !self->m_open) {
                          self->Close();
                          return;
                        }
                        if (close) {
                          self->StartLingeringClose();
                          return;
                        }
                        self->Flush();
                        self->Read();
                      });
  }

  void Close() {
    if (!m_open) {
      return;
    }
    const std::shared_ptr<Http1Connection> keep = shared_from_this();
    m_open = false;
    asio::error_code ignored;
    m_socket.close(ignored);
    auto exchanges = std::exchange(m_exchanges, {});
    for (const std::shared_ptr<HttpExchange>& exchange : exchanges) {
      if (!exchange->m_answered) {
        exchange->m_disconnected = true;
        if (auto on_disconnect = std::exchange(exchange->on_disconnect, nullptr)) {
          on_disconnect();
        }
      }
    }
    m_server->m_connections.erase(this);
  }

  // When this process is slow, a request may wait unread in the socket buffer.
  bool HasUnreadInput() const {
    asio::error_code error;
    return m_open && !m_input_ended && !m_closing && m_socket.available(error) > 0;
  }

  // Whether a timeout of the connection has expired.
  bool IsExpired(TimePoint now) const {
    if (m_lingering) {
      return now - m_last_activity > std::chrono::seconds(1);
    }
    if (m_writing) {
      return now - m_last_activity > kWriteTimeout;
    }
    if (!m_exchanges.empty()) {
      return false;
    }
    if (m_parser.InMessage()) {
      return now - m_message_start > m_server->m_options.header_timeout + m_server->m_options.idle_timeout;
    }
    return now - m_last_activity > m_server->m_options.idle_timeout && !HasUnreadInput();
  }

  bool IsIdle() const {
    return m_exchanges.empty() && !m_writing && !m_parser.InMessage() && !m_lingering && !HasUnreadInput();
  }
  std::size_t InProgress() const {
    const std::size_t count = m_exchanges.size() + (m_writing ? 1 : 0);
    return count == 0 && HasUnreadInput() ? 1 : count;
  }

 private:
  // Whether the peer closed the connection directly after the data read so far.
  bool PeerHasClosed() {
    char next = 0;
    const ssize_t bytes = recv(m_socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  bool OnMessage(HttpMessage message) {
    auto exchange = std::make_shared<HttpExchange>();
    exchange->request = std::move(message);
    exchange->received = BootClock::now();
    exchange->m_connection = weak_from_this();
    m_exchanges.push_back(exchange);
    if (!exchange->request.keep_alive) {
      m_input_ended = true;
    }
    m_new_exchanges.push_back(exchange);
    return !m_input_ended;
  }

  void OnRead(const asio::error_code& error, std::size_t bytes) {
    if (!m_open) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    // Discards requests that follow a response with "Connection: close", since they can no longer be answered.
    if (m_closing) {
      Read();
      return;
    }
    const bool was_in_message = m_parser.InMessage();
    if (!was_in_message) {
      m_parser.SetLimits(m_server->m_options.limits);
      m_message_start = BootClock::now();
    }
    const bool parsed = m_parser.Feed(m_buffer.data(), bytes);
    const std::shared_ptr<Http1Connection> keep = shared_from_this();
    if (!m_new_exchanges.empty() && PeerHasClosed()) {
      m_new_exchanges.clear();
      Close();
      return;
    }
    for (const std::shared_ptr<HttpExchange>& exchange : std::exchange(m_new_exchanges, {})) {
      if (!m_server->Handle(exchange)) {
        Close();
        return;
      }
    }
    if (!parsed && m_parser.GetError() != Http1Parser::Error::kNone) {
      AnswerParseError();
    }
    if (m_open && m_input_ended) {
      WatchForClose();
    } else if (m_open) {
      Read();
    }
  }

  // Queues an error response behind the pending responses, after which the connection closes.
  void AnswerParseError() {
    m_input_ended = true;
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_connection = weak_from_this();
    exchange->request.keep_alive = false;
    m_exchanges.push_back(exchange);
    exchange->Respond(m_server->m_on_parse_error(m_parser.GetError()));
  }

  // After the last request, reads only to detect the end of the connection.
  void WatchForClose() {
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code& error, std::size_t /*bytes*/) {
                               if (self->m_open && error) {
                                 self->Close();
                               } else if (self->m_open) {
                                 self->WatchForClose();
                               }
                             });
  }

  // Shuts down the send direction and reads for up to a second, because closing with unread input would reset the
  // connection and lose the last response.
  void StartLingeringClose() {
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_lingering = true;
    m_last_activity = BootClock::now();
    if (!m_input_ended) {
      Read();
    }
  }

  Http1Server* m_server;
  asio::ip::tcp::socket m_socket;
  Http1Parser m_parser;
  std::array<char, kReadBufferBytes> m_buffer{};
  std::deque<std::shared_ptr<HttpExchange>> m_exchanges;
  std::vector<std::shared_ptr<HttpExchange>> m_new_exchanges;
  std::string m_write_buffer;
  TimePoint m_last_activity;
  TimePoint m_message_start;
  bool m_open = true;
  bool m_reading = false;
  bool m_writing = false;
  bool m_input_ended = false;
  bool m_closing = false;  // the last response is being or has been written
  bool m_lingering = false;
};

void HttpExchange::Respond(HttpMessage answer) {
  if (!IsOpen()) {
    return;
  }
  m_answered = true;
  m_answer = std::move(answer);
  on_disconnect = nullptr;
  if (const std::shared_ptr<Http1Connection> connection = m_connection.lock()) {
    connection->Flush();
  }
}

Http1Server::Http1Server(asio::io_context& context,
                         Http1ServerOptions options,
                         OnRequest on_request,
                         OnParseError on_parse_error)
    : m_options(std::move(options)),
      m_on_request(std::move(on_request)),
      m_on_parse_error(std::move(on_parse_error)),
      m_acceptor(context) {}

Http1Server::~Http1Server() {
  StopAccepting();
  const auto connections = m_connections;
  for (const auto& [key, connection] : connections) {
    connection->Close();
  }
}

absl::Status Http1Server::Start() {
  const absl::Status status = Listen(m_acceptor, m_options.ip, m_options.port);
  if (!status.ok()) {
    return status;
  }
  Accept();
  return absl::OkStatus();
}

std::uint16_t Http1Server::Port() const {
  asio::error_code ignored;
  return m_acceptor.local_endpoint(ignored).port();
}

void Http1Server::Accept() {
  m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
      return;
    }
    if (!error) {
      Serve(std::move(socket));
    }
    Accept();
  });
}

void Http1Server::Serve(asio::ip::tcp::socket socket) {
  if (m_connections.size() >= m_options.max_connections) {
    return;
  }
  SetUserTimeout(socket, kWriteTimeout);
  auto connection = std::make_shared<Http1Connection>(*this, std::move(socket));
  m_connections.emplace(connection.get(), connection);
  connection->Read();
}

bool Http1Server::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  try {
    m_on_request(exchange);
    return true;
  } catch (const std::exception& error) {
    if (m_options.on_error) {
      m_options.on_error(error.what());
    }
    return false;
  }
}

void Http1Server::SetLimits(Http1Parser::Limits limits, Duration header_timeout, Duration idle_timeout) {
  m_options.limits = limits;
  m_options.header_timeout = header_timeout;
  m_options.idle_timeout = idle_timeout;
}

void Http1Server::Drain() {
  m_draining = true;
  const auto connections = m_connections;
  for (const auto& [key, connection] : connections) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void Http1Server::StopAccepting() {
  // Accepts all queued connections first: the kernel resets them when the port closes.
  asio::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket = m_acceptor.accept(error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
  asio::error_code ignored;
  m_acceptor.close(ignored);
}

void Http1Server::OnTick(TimePoint now) {
  std::vector<std::shared_ptr<Http1Connection>> expired;
  for (const auto& [key, connection] : m_connections) {
    if (connection->IsExpired(now)) {
      expired.push_back(connection);
    }
  }
  for (const std::shared_ptr<Http1Connection>& connection : expired) {
    connection->Close();
  }
}

std::size_t Http1Server::InProgress() const {
  std::size_t count = 0;
  for (const auto& [key, connection] : m_connections) {
    count += connection->InProgress();
  }
  return count;
}

}  // namespace magnoliaarch
