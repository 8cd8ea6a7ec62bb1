#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "http1_p.h"
#include "http_headers_p.h"
#include "tcp_path_p.h"

namespace magnoliaarch {
namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr std::size_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kMaxHeaderFields = 512;
// Limit of interim responses and responses to other requests that are skipped before the response to a request.
constexpr int kMaxSkippedAnswers = 32;
// Responses with a lower status are interim responses.
constexpr int kFirstFinalStatus = 200;
// An idle connection is not reused in the last second of the server's keep-alive time: if a request crosses the close
// on the wire, it is unknown whether it was executed.
constexpr Duration kKeepAliveMargin = std::chrono::seconds(1);
// The connection is closed when sent bytes stay unacknowledged for this long.
constexpr Duration kPathLossTimeout = std::chrono::seconds(2);
// Limit of request keys stored per connection, 8 bytes each. A connection that reaches it is closed after its response,
// because a connection with an incomplete key list could carry two requests with the same key.
constexpr std::size_t kMaxConnectionKeys = 2048;

// Returns the seconds of "timeout=N" in the Keep-Alive field; negative if absent.
int KeepAliveSeconds(const HttpMessage& message) {
  const std::string* field = message.Find("keep-alive");
  if (field == nullptr) {
    return -1;
  }
  const std::size_t at = field->find("timeout=");
  int seconds = -1;
  if (at != std::string::npos) {
    const char* begin = field->data() + at + 8;
    std::from_chars(begin, field->data() + field->size(), seconds);
  }
  return seconds;
}

}  // namespace

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& owner, std::weak_ptr<bool> owner_alive)
      : m_owner(&owner),
        m_owner_alive(std::move(owner_alive)),
        m_socket(owner.m_context),
        m_timer(owner.m_context),
        m_parser(HTTP_RESPONSE,
                 Http1Parser::Limits{kMaxHeaderBytes, owner.m_options.max_answer_bytes, kMaxHeaderFields},
                 [this](HttpMessage message) { return OnMessage(std::move(message)); }) {}

  void Start(std::uint64_t call,
             HttpMessage request,
             Duration timeout,
             std::optional<std::size_t> key_hash,
             MatchAnswer match_answer,
             Done done) {
    m_call_id = call;
    m_request_head = SerializeRequestHead(request);
    m_request_body = request.shared_body != nullptr ? std::move(request.shared_body)
                                                    : std::make_shared<const std::string>(std::move(request.body));
    m_match_answer = std::move(match_answer);
    if (key_hash) {
      m_key_hashes.push_back(*key_hash);
    }
    m_done = std::move(done);
    m_answer_complete = false;
    m_written = false;
    m_answer_bytes = 0;
    m_skipped_answers = 0;
    m_deadline = BootClock::now() + timeout;
    m_path = PathLossDetector(kPathLossTimeout);
    m_parser.ExpectNoBody(request.method == "HEAD");
    if (m_connected) {
      ArmTimer(timeout, HttpOutcome::kTimedOut);
      Write();
      return;
    }
    m_new_connection = true;
    ArmTimer(std::min(timeout, m_owner->m_options.connect_timeout), HttpOutcome::kNotConnected);
    asio::error_code error;
    const auto address = asio::ip::make_address(m_owner->m_options.ip, error);
    m_socket.async_connect({address, m_owner->m_options.port},
                           [self = shared_from_this()](const asio::error_code& failed) { self->OnConnected(failed); });
  }

  void Close() {
    m_open = false;
    m_charge.reset();
    asio::error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
  }

  // Goes on with input that waits for memory. Called at each tick while a request is in progress.
  void RetryInput(TimePoint now) {
    if (m_waiting_bytes == 0 || !m_open) {
      return;
    }
    if (ReserveInput(now)) {
      OnInput(std::exchange(m_waiting_bytes, 0));
    } else if (m_done && now - m_waiting_since >= kMemoryWait) {
      Finish(HttpOutcome::kBroken, "no memory for the response");
    }
  }

  // Whether the network path is lost. Called at each tick while a request is in progress.
  bool IsPathLost(TimePoint now) { return m_connected && m_path.IsPathLost(now, AcknowledgementOf(m_socket)); }

  void Fail(std::string why) { Finish(HttpOutcome::kBroken, std::move(why)); }

  // Closes the connection without calling `done`.
  void CloseWithoutResult() {
    m_done = nullptr;
    Close();
  }

  bool WaitsForMemory() const { return m_waiting_bytes != 0; }
  bool IsConnected() const { return m_open && m_connected; }
  std::size_t BufferedBytes() const { return m_parser.BufferedBytes(); }
  bool IsUsable(TimePoint now) const { return m_open && now < m_idle_until; }
  // A hash collision between keys costs only an extra connection.
  bool HasSentKey(std::size_t key_hash) const {
    return std::find(m_key_hashes.begin(), m_key_hashes.end(), key_hash) != m_key_hashes.end();
  }

 private:
  void OnConnected(const asio::error_code& error) {
    if (!m_open || !m_done) {
      return;
    }
    if (error) {
      const bool refused = error == asio::error::connection_refused;
      Finish(refused ? HttpOutcome::kRefused : HttpOutcome::kNotConnected, error.message());
      return;
    }
    m_connected = true;
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    ArmTimer(m_deadline - BootClock::now(), HttpOutcome::kTimedOut);
    Read();
    Write();
  }

  void Write() {
    m_owner->m_bytes.sent += m_request_head.size() + m_request_body->size();
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(m_request_head), asio::buffer(*m_request_body)};
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this()](const asio::error_code& error, std::size_t /*bytes*/) {
                        if (!self->m_open) {
                          return;
                        }
                        if (error) {
                          self->Finish(HttpOutcome::kBroken, error.message());
                          return;
                        }
                        self->m_written = true;
                        self->m_request_body.reset();
                      });
  }

  void Read() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) { self->OnRead(error, bytes); });
  }

  void OnRead(const asio::error_code& error, std::size_t bytes) {
    if (!m_open) {
      return;
    }
    if (error) {
      if (error == asio::error::eof && m_done) {
        m_eof = true;
        m_parser.FinishAtEof();
      }
      if (m_done) {
        Finish(HttpOutcome::kBroken, error.message());
      } else {
        CloseUnused();
      }
      return;
    }
    m_owner->m_bytes.received += bytes;
    if (!m_done) {
      // Data without a pending request, so the connection cannot be reused.
      CloseUnused();
      return;
    }
    const TimePoint now = BootClock::now();
    if (ReserveInput(now)) {
      OnInput(bytes);
    } else if (m_open) {
      // The connection is not read on, so that the server has to wait.
      m_waiting_bytes = bytes;
      m_waiting_since = now;
    }
  }

  // Charges the memory that the bytes in the read buffer may take.
  bool ReserveInput(TimePoint now) {
    if (m_owner->m_options.budget == nullptr) {
      return true;
    }
    if (m_charge == nullptr) {
      m_charge = std::make_shared<MemoryCharge>(m_owner->m_options.budget);
    }
    // Keeps the charge alive if the eviction of another holder closes this connection.
    const std::shared_ptr<MemoryCharge> charge = m_charge;
    return charge->Resize(m_parser.HeldBytesDuring(kReadBufferBytes), now) && m_open;
  }

  void OnInput(std::size_t bytes) {
    m_parsing = true;
    const bool parsed = m_parser.Feed(m_buffer.data(), bytes);
    m_parsing = false;
    if (m_charge != nullptr) {
      m_charge->Transfer(m_parser.HeldBytes());
    }
    if (m_answer_complete) {
      // Data after the response makes the connection unusable.
      Complete(parsed && !m_parser.InMessage());
      return;
    }
    if (!parsed) {
      Finish(HttpOutcome::kBroken,
             m_ambiguous ? "the response may belong to another request" : "invalid HTTP response");
      return;
    }
    m_answer_bytes += bytes;
    if (m_answer_bytes >= m_owner->m_options.max_answer_bytes || m_skipped_answers > kMaxSkippedAnswers) {
      Finish(HttpOutcome::kBroken, "the response or the responses before it exceed the limit");
      return;
    }
    if (m_parser.BufferedBytes() > kReadBufferBytes) {
      m_owner->EnforceBufferLimit();
    }
    if (m_open) {
      Read();
    }
  }

  // Handles one complete response. Responses that do not belong to the request are skipped.
  bool OnMessage(HttpMessage message) {
    if (m_answer_complete) {
      m_extra_bytes = true;
      return false;
    }
    if (message.status < kFirstFinalStatus) {
      ++m_skipped_answers;
      return true;
    }
    const AnswerMatch owner = m_match_answer ? m_match_answer(message, m_only_request) : AnswerMatch::kThisRequest;
    m_only_request = false;
    if (owner == AnswerMatch::kOtherRequest) {
      ++m_skipped_answers;
      return true;
    }
    if (owner == AnswerMatch::kAmbiguous) {
      m_ambiguous = true;
      return false;
    }
    m_answer = std::move(message);
    if (m_charge != nullptr) {
      m_charge->Transfer(m_answer.body.capacity());
      m_answer.charge = std::move(m_charge);
    }
    m_answer_complete = true;
    if (!m_parsing) {
      Complete(false);
    }
    return true;
  }

  void Complete(bool clean) {
    const int keep_alive_s = KeepAliveSeconds(m_answer);
    const TimePoint now = BootClock::now();
    m_idle_until =
        now + (keep_alive_s >= 0 ? std::chrono::seconds(keep_alive_s) - kKeepAliveMargin : m_owner->m_options.max_idle);
    const bool keep = clean && !m_extra_bytes && m_written && m_answer.keep_alive && !m_eof && m_idle_until > now &&
                      m_key_hashes.size() < kMaxConnectionKeys;
    asio::error_code ignored;
    m_timer.cancel(ignored);
    ++m_timer_generation;
    const std::shared_ptr<Connection> self = shared_from_this();
    Done done = std::exchange(m_done, nullptr);
    HttpResult result;
    result.outcome = HttpOutcome::kAnswered;
    result.answer = std::move(m_answer);
    result.new_connection = std::exchange(m_new_connection, false);
    result.extra_bytes = !clean && !m_eof;
    if (!keep) {
      Close();
    }
    if (!m_owner_alive.expired()) {
      m_owner->m_busy.erase(m_call_id);
      if (keep) {
        m_only_request = false;
        m_owner->ReturnToIdle(self);
        Read();
      }
    }
    if (done) {
      done(std::move(result));
    }
  }

  void Finish(HttpOutcome outcome, std::string detail) {
    const std::shared_ptr<Connection> self = shared_from_this();
    Done done = std::exchange(m_done, nullptr);
    Close();
    if (!m_owner_alive.expired()) {
      m_owner->m_busy.erase(m_call_id);
    }
    if (done) {
      HttpResult result;
      result.outcome = outcome;
      result.detail = std::move(detail);
      result.new_connection = m_new_connection;
      done(std::move(result));
    }
  }

  // Closes this connection after it ended while idle, and removes it from the idle connections.
  void CloseUnused() {
    const std::shared_ptr<Connection> self = shared_from_this();
    Close();
    if (!m_owner_alive.expired()) {
      std::erase(m_owner->m_idle, self);
    }
  }

  void ArmTimer(Duration delay, HttpOutcome outcome) {
    const std::uint64_t generation = ++m_timer_generation;
    m_timer.expires_after(std::max(delay, Duration(0)));
    m_timer.async_wait([self = shared_from_this(), outcome, generation](const asio::error_code& error) {
      if (!error && self->m_open && self->m_done && generation == self->m_timer_generation) {
        self->Finish(outcome, "timed out");
      }
    });
  }

  HttpClient* m_owner;
  std::weak_ptr<bool> m_owner_alive;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  Http1Parser m_parser;
  std::array<char, kReadBufferBytes> m_buffer{};
  std::string m_request_head;
  std::shared_ptr<const std::string> m_request_body;  // until it is written
  std::shared_ptr<MemoryCharge> m_charge;             // for the response that is being read
  MatchAnswer m_match_answer;
  Done m_done;
  HttpMessage m_answer;
  std::vector<std::size_t> m_key_hashes;  // hashes of the keys of all requests so far
  TimePoint m_deadline;
  TimePoint m_idle_until;
  PathLossDetector m_path{kPathLossTimeout};
  std::uint64_t m_call_id = 0;
  std::uint64_t m_timer_generation = 0;
  TimePoint m_waiting_since;
  std::size_t m_waiting_bytes = 0;  // bytes in the read buffer that wait for memory
  std::size_t m_answer_bytes = 0;   // bytes read for the current request
  int m_skipped_answers = 0;
  bool m_open = true;
  bool m_connected = false;
  bool m_new_connection = false;
  bool m_written = false;
  bool m_answer_complete = false;
  bool m_only_request = true;  // no earlier request on this connection and no response yet
  bool m_ambiguous = false;
  bool m_extra_bytes = false;
  bool m_eof = false;
  bool m_parsing = false;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientOptions options)
    : m_context(context), m_options(std::move(options)) {}

HttpClient::~HttpClient() {
  CloseAll();
}

std::uint64_t HttpClient::Send(HttpMessage request,
                               Duration timeout,
                               MatchAnswer match_answer,
                               Done done,
                               const ConnectionConstraint& constraint) {
  const std::uint64_t call = ++m_last_call;
  const std::optional<std::size_t> key_hash =
      constraint.key.empty() ? std::nullopt : std::optional(std::hash<std::string>()(constraint.key));
  std::shared_ptr<Connection> connection = AcquireIdle(BootClock::now(), key_hash);
  if (connection == nullptr) {
    if (m_busy.size() >= m_options.max_connections) {
      asio::post(m_context, [done = std::move(done)] {
        done(HttpResult{HttpOutcome::kNotConnected, {}, "all connections are in use", false});
      });
      return call;
    }
    if (!m_idle.empty() && m_busy.size() + m_idle.size() >= m_options.max_connections) {
      // Closes the least recently used connection: the others stay usable for longer.
      m_idle.front()->Close();
      m_idle.erase(m_idle.begin());
    }
    connection = std::make_shared<Connection>(*this, m_alive);
  }
  m_busy.emplace(call, connection);
  connection->Start(call, std::move(request), timeout, key_hash, std::move(match_answer), std::move(done));
  return call;
}

void HttpClient::Cancel(std::uint64_t call) {
  const auto it = m_busy.find(call);
  if (it != m_busy.end()) {
    const std::shared_ptr<Connection> connection = it->second;
    m_busy.erase(it);
    connection->CloseWithoutResult();
  }
}

std::shared_ptr<HttpClient::Connection> HttpClient::AcquireIdle(TimePoint now, std::optional<std::size_t> key_hash) {
  CloseIdle(now);
  const auto found = std::find_if(m_idle.rbegin(), m_idle.rend(), [&](const std::shared_ptr<Connection>& connection) {
    return !key_hash || !connection->HasSentKey(*key_hash);
  });
  if (found == m_idle.rend()) {
    return nullptr;
  }
  std::shared_ptr<Connection> connection = std::move(*found);
  m_idle.erase(std::next(found).base());
  return connection;
}

void HttpClient::ReturnToIdle(const std::shared_ptr<Connection>& connection) {
  m_idle.push_back(connection);
}

void HttpClient::OnTick(TimePoint now) {
  CloseIdle(now);
  std::vector<std::shared_ptr<Connection>> lost;
  std::vector<std::shared_ptr<Connection>> waiting;
  for (const auto& [call, connection] : m_busy) {
    if (connection->IsPathLost(now)) {
      lost.push_back(connection);
    } else if (connection->WaitsForMemory()) {
      waiting.push_back(connection);
    }
  }
  for (const std::shared_ptr<Connection>& connection : waiting) {
    connection->RetryInput(now);
  }
  for (const std::shared_ptr<Connection>& connection : lost) {
    connection->Fail("the connection lost its network path");
  }
}

void HttpClient::CloseIdle(TimePoint now) {
  std::erase_if(m_idle, [now](const std::shared_ptr<Connection>& connection) {
    if (connection->IsUsable(now)) {
      return false;
    }
    connection->Close();
    return true;
  });
}

void HttpClient::CloseAll() {
  for (const std::shared_ptr<Connection>& connection : std::exchange(m_idle, {})) {
    connection->Close();
  }
  for (const auto& [call, connection] : std::exchange(m_busy, {})) {
    connection->CloseWithoutResult();
  }
}

void HttpClient::EnforceBufferLimit() {
  if (BufferedBytes() <= m_options.max_buffered_bytes) {
    return;
  }
  const auto largest = std::max_element(m_busy.begin(), m_busy.end(), [](const auto& a, const auto& b) {
    return a.second->BufferedBytes() < b.second->BufferedBytes();
  });
  const std::shared_ptr<Connection> connection = largest->second;
  connection->Fail("the incomplete responses exceed the memory limit");
}

std::size_t HttpClient::BufferedBytes() const {
  std::size_t buffered = 0;
  for (const auto& [call, connection] : m_busy) {
    buffered += connection->BufferedBytes();
  }
  return buffered;
}

std::size_t HttpClient::Connected() const {
  const auto connected =
      std::count_if(m_busy.begin(), m_busy.end(), [](const auto& busy) { return busy.second->IsConnected(); });
  return m_idle.size() + static_cast<std::size_t>(connected);
}

}  // namespace magnoliaarch
