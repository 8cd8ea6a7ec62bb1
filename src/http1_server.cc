#include <sys/socket.h>

#include <algorithm>
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
// Larger bodies are written from where they are instead of being copied behind their head.
constexpr std::size_t kMaxCopiedBody = 16 << 10;
// A connection may be closed in favour of a new one after it was idle for this long.
constexpr Duration kMinIdleForClose = std::chrono::seconds(1);

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
        m_output_charge(server.m_options.budget),
        m_last_activity(BootClock::now()) {
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
  }

  // Waits for input. After the last request, input is only discarded and the end of the connection detected.
  void Read() {
    if (m_reading || !m_open || m_waits_for_memory || (!m_input_ended && m_exchanges.size() >= kMaxPipelinedRequests)) {
      return;
    }
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
      self->m_reading = false;
      self->OnReadable(error);
    });
  }

  // Reads on if there is memory for more input now. Refuses the request that is being read if there was none for
  // kMemoryWait. Returns whether the connection still waits.
  bool RetryInput(TimePoint now) {
    if (!m_open || !m_waits_for_memory) {
      return false;
    }
    if (ReserveInput(now)) {
      m_waits_for_memory = false;
      Read();
    } else if (m_open && now - m_waiting_since >= kMemoryWait) {
      RefuseUnfinished();
    }
    return m_open && m_waits_for_memory;
  }

  // Writes the responses that are ready, in request order.
  void Flush() {
    if (m_writing || !m_open) {
      return;
    }
    bool close = false;
    while (!m_exchanges.empty() && m_exchanges.front()->m_answered && !close) {
      const std::shared_ptr<HttpExchange> exchange = std::move(m_exchanges.front());
      m_exchanges.pop_front();
      // Later requests that are already being handled still get their responses.
      const bool last = m_exchanges.empty();
      close =
          last && (!exchange->request.keep_alive || m_input_ended || (m_server->m_draining && !m_parser.InMessage()));
      AddOutput(std::move(exchange->m_answer), close, exchange->request.method == "HEAD");
    }
    if (m_output.empty()) {
      return;
    }
    const TimePoint now = BootClock::now();
    m_last_activity = now;
    m_writing = true;
    m_closing = close;
    std::size_t bytes = 0;
    for (const std::string& piece : m_output) {
      bytes += piece.capacity();
    }
    if (bytes > kMaxCopiedBody) {
      m_output_charge.Transfer(bytes);
      m_output_charge.SetEvict([this] { Close(); }, now);
    }
    Write();
  }

  void Close() {
    if (!m_open) {
      return;
    }
    const std::shared_ptr<Http1Connection> keep = shared_from_this();
    m_open = false;
    asio::error_code ignored;
    m_socket.close(ignored);
    ReleaseMemory();
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

  // Whether nothing was read, and no answer is due, since this time.
  bool IsQuietSince(TimePoint since) const {
    return m_exchanges.empty() && !m_writing && m_last_activity <= since && m_last_input <= since && !HasUnreadInput();
  }
  TimePoint LastActivity() const { return std::max(m_last_activity, m_last_input); }

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
    if (m_input_charge != nullptr) {
      m_input_charge->SetEvict(nullptr, m_last_activity);
      m_input_charge->Transfer(message.body.capacity());
      message.charge = std::move(m_input_charge);
      m_evictable = false;
    }
    auto exchange = std::make_shared<HttpExchange>();
    exchange->request = std::move(message);
    exchange->m_budget = m_server->m_options.budget;
    exchange->received = BootClock::now();
    exchange->m_connection = weak_from_this();
    m_exchanges.push_back(exchange);
    if (!exchange->request.keep_alive) {
      m_input_ended = true;
    }
    m_new_exchanges.push_back(exchange);
    return !m_input_ended;
  }

  // Charges the memory that the next input may take. The caller must check afterwards whether the connection is open,
  // since its unread answers may have been evicted.
  bool ReserveInput(TimePoint now) {
    if (m_server->m_options.budget == nullptr) {
      return true;
    }
    if (m_input_charge == nullptr) {
      m_input_charge = std::make_shared<MemoryCharge>(m_server->m_options.budget);
    }
    // Closing this connection, because its unread answers are evicted, drops its own reference to the charge.
    const std::shared_ptr<MemoryCharge> charge = m_input_charge;
    return charge->Resize(m_parser.HeldBytesDuring(kReadBufferBytes), now);
  }

  // Sets the charge to what the incomplete request takes.
  void SettleInput(std::size_t bytes_read, TimePoint now) {
    if (m_input_charge == nullptr) {
      return;
    }
    const bool in_message = m_parser.InMessage();
    m_input_charge->Transfer(m_parser.HeldBytes());
    m_input_charge->NoteProgress(bytes_read, now);
    if (in_message && !m_evictable) {
      m_input_charge->SetEvict([this] { RefuseUnfinished(); }, now);
    }
    m_evictable = in_message;
  }

  // Frees the request that is being read and refuses it. It has not run, since it is incomplete.
  void RefuseUnfinished() {
    m_waits_for_memory = false;
    AnswerParseError(Http1Parser::Error::kNoMemory);
    Read();
  }

  void ReleaseMemory() {
    m_parser.Discard();
    m_input_charge.reset();
    m_output.clear();
    m_output_charge.Transfer(0);
  }

  void OnReadable(const asio::error_code& error) {
    if (!m_open) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    // Requests that follow a response with "Connection: close" are discarded, since they can no longer be answered.
    const bool discard = m_closing || m_input_ended;
    const TimePoint now = BootClock::now();
    if (!discard && !ReserveInput(now)) {
      if (m_open) {
        m_waits_for_memory = true;
        m_waiting_since = now;
        m_server->m_waiting.push_back(weak_from_this());
      }
      return;
    }
    if (!m_open) {
      return;
    }
    asio::error_code failed;
    const std::size_t bytes = m_socket.read_some(asio::buffer(m_server->m_read_buffer), failed);
    if (failed == asio::error::would_block) {
      SettleInput(0, now);
      Read();
    } else if (failed) {
      Close();
    } else if (discard) {
      Read();
    } else {
      OnRead(bytes);
    }
  }

  void OnRead(std::size_t bytes) {
    const bool was_in_message = m_parser.InMessage();
    if (!was_in_message) {
      m_parser.SetLimits(m_server->m_options.limits);
      m_message_start = BootClock::now();
    }
    const bool parsed = m_parser.Feed(m_server->m_read_buffer.data(), bytes);
    m_last_input = BootClock::now();
    SettleInput(bytes, m_last_input);
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
      AnswerParseError(m_parser.GetError());
    }
    Read();
  }

  // Queues an error response behind the pending responses, after which the connection closes.
  void AnswerParseError(Http1Parser::Error error) {
    m_input_ended = true;
    m_parser.Discard();
    m_input_charge.reset();
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_connection = weak_from_this();
    exchange->request.keep_alive = false;
    m_exchanges.push_back(exchange);
    exchange->Respond(m_server->m_on_parse_error(error));
  }

  void AddOutput(HttpMessage answer, bool close, bool to_head_request) {
    if (m_output.empty() || m_output.back().size() > kMaxCopiedBody) {
      m_output.emplace_back();
    }
    m_output.back() += SerializeAnswerHead(answer, close, to_head_request);
    if (!SendsBody(answer, to_head_request)) {
      return;
    }
    if (answer.body.size() > kMaxCopiedBody) {
      m_output.push_back(std::move(answer.body));
    } else {
      m_output.back() += answer.body;
    }
  }

  // Writes the pieces of output one after the other and frees each once it is written.
  void Write() {
    const std::string& piece = m_output.front();
    m_socket.async_write_some(asio::buffer(piece.data() + m_output_offset, piece.size() - m_output_offset),
                              [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                                self->OnWritten(error, bytes);
                              });
  }

  void OnWritten(const asio::error_code& error, std::size_t bytes) {
    if (error || !m_open) {
      m_writing = false;
      Close();
      return;
    }
    m_last_activity = BootClock::now();
    m_output_charge.NoteProgress(bytes, m_last_activity);
    m_output_offset += bytes;
    if (m_output_offset == m_output.front().size()) {
      m_output_offset = 0;
      const std::size_t freed = std::min(m_output.front().capacity(), m_output_charge.Bytes());
      m_output.pop_front();
      m_output_charge.Transfer(m_output.empty() ? 0 : m_output_charge.Bytes() - freed);
    }
    if (!m_output.empty()) {
      Write();
      return;
    }
    m_output_charge.SetEvict(nullptr, m_last_activity);
    m_writing = false;
    if (m_closing) {
      StartLingeringClose();
      return;
    }
    Flush();
    Read();
  }

  // Shuts down the send direction and reads for up to a second, because closing with unread input would reset the
  // connection and lose the last response.
  void StartLingeringClose() {
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_lingering = true;
    m_last_activity = BootClock::now();
    Read();
  }

  Http1Server* m_server;
  asio::ip::tcp::socket m_socket;
  Http1Parser m_parser;
  std::deque<std::shared_ptr<HttpExchange>> m_exchanges;
  std::vector<std::shared_ptr<HttpExchange>> m_new_exchanges;
  std::shared_ptr<MemoryCharge> m_input_charge;  // for the request that is being read
  std::deque<std::string> m_output;              // serialized answers; the first one is being written
  std::size_t m_output_offset = 0;               // bytes of the first piece that are written
  MemoryCharge m_output_charge;
  TimePoint m_last_activity;
  TimePoint m_last_input;
  TimePoint m_message_start;
  TimePoint m_waiting_since;
  bool m_open = true;
  bool m_reading = false;
  bool m_writing = false;
  bool m_input_ended = false;
  bool m_closing = false;  // the last response is being or has been written
  bool m_lingering = false;
  bool m_waits_for_memory = false;
  bool m_evictable = false;  // the request that is being read can be evicted
};

void HttpExchange::Respond(HttpMessage answer) {
  if (!IsOpen()) {
    return;
  }
  m_answered = true;
  m_answer = std::move(answer);
  on_disconnect = nullptr;
  if (m_budget != nullptr && m_answer.body.size() > kMaxCopiedBody) {
    m_answer.charge = std::make_shared<MemoryCharge>(m_budget);
    m_answer.charge->Transfer(m_answer.body.capacity());
  }
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
      m_acceptor(context),
      m_read_buffer(kReadBufferBytes) {}

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
    if (error == asio::error::no_descriptors) {
      // Accepting again at once would fail in the same way; OnTick resumes.
      m_accept_paused = true;
      return;
    }
    if (!error) {
      Serve(std::move(socket));
    }
    Accept();
  });
}

void Http1Server::Serve(asio::ip::tcp::socket socket) {
  if (m_connections.size() >= m_options.max_connections && !CloseIdlest(BootClock::now())) {
    return;
  }
  SetUserTimeout(socket, kWriteTimeout);
  auto connection = std::make_shared<Http1Connection>(*this, std::move(socket));
  m_connections.emplace(connection.get(), connection);
  connection->Read();
}

bool Http1Server::CloseIdlest(TimePoint now) {
  std::shared_ptr<Http1Connection> idlest;
  for (const auto& [key, connection] : m_connections) {
    if ((idlest == nullptr || connection->LastActivity() < idlest->LastActivity()) &&
        connection->IsQuietSince(now - kMinIdleForClose)) {
      idlest = connection;
    }
  }
  if (idlest != nullptr) {
    idlest->Close();
  }
  return idlest != nullptr;
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

void Http1Server::OnMemoryTick(TimePoint now) {
  for (const std::weak_ptr<Http1Connection>& waiting : std::exchange(m_waiting, {})) {
    const std::shared_ptr<Http1Connection> connection = waiting.lock();
    if (connection != nullptr && connection->RetryInput(now)) {
      m_waiting.push_back(waiting);
    }
  }
}

void Http1Server::OnTick(TimePoint now) {
  if (std::exchange(m_accept_paused, false)) {
    Accept();
  }
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
