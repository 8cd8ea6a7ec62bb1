#include "peer_client_p.h"

#include <atomic>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "h2_session_p.h"
#include "hmac_p.h"
#include "magnoliaarch/error.h"
#include "peer_wire_p.h"

namespace magnoliaarch {
namespace {

constexpr int kOk = 200;
// Time allowed beyond the deadline for the peer's own deadline response to arrive.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(20);
constexpr Duration kCancelTimeout = std::chrono::seconds(1);
constexpr Duration kIdleCheckPeriod = std::chrono::seconds(1);

}  // namespace

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, PeerClientOptions options)
      : m_context(context), m_options(std::move(options)), m_deadline_timer(context), m_idle_timer(context) {}

  using AttemptId = std::pair<RequestId, std::uint32_t>;

  // A message to send and the handler of its result.
  struct Call {
    std::string_view path;
    std::function<std::string()> head;  // called at send time to build the envelope
    std::shared_ptr<const std::string> body;
    std::shared_ptr<std::atomic<bool>> sent;
    TimePoint deadline;
    std::function<void(PeerOutcome, H2Message, const std::string& detail)> done;
    std::optional<AttemptId> attempt;  // set for requests only
  };

  void Start(const PeerAddress& peer, Call call) {
    asio::dispatch(m_context, [self = shared_from_this(), peer, call = std::move(call)]() mutable {
      self->StartCall(peer, std::move(call));
    });
  }

  void CancelUnsent(const AttemptId& attempt) {
    asio::dispatch(m_context, [self = shared_from_this(), attempt] {
      const auto it = self->m_attempts.find(attempt);
      if (it != self->m_attempts.end()) {
        self->FinishIfUnsent(it->second);
      }
    });
  }

  const PeerClientOptions& Options() const { return m_options; }
  std::size_t Connections() const { return m_connections_open; }

  void Close() {
    m_closed = true;
    asio::error_code ignored;
    m_deadline_timer.cancel(ignored);
    m_idle_timer.cancel(ignored);
    for (const auto& [endpoint, connection] : std::exchange(m_connections, {})) {
      EndConnection(connection, "the client stops");
    }
    for (const ConnectionPtr& connection : std::exchange(m_retired, {})) {
      EndConnection(connection, "the client stops");
    }
  }

 private:
  using Endpoint = std::pair<std::string, std::uint16_t>;
  using CallId = std::uint64_t;

  enum class State { kConnecting, kAuthenticating, kReady, kEnded };

  struct Connection {
    Endpoint endpoint;
    State state = State::kConnecting;
    std::unique_ptr<asio::ip::tcp::socket> socket;  // until it is moved into the session
    std::unique_ptr<asio::steady_timer> timer;      // timeout of connecting and authenticating
    std::shared_ptr<H2Session> session;
    std::string client_nonce;
    std::unordered_map<CallId, Call> waiting;
    std::deque<CallId> waiting_order;  // of the waiting calls, first in first out
    std::unordered_map<std::int32_t, std::pair<CallId, Call>> streams;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct CallLocation {
    ConnectionPtr connection;
    std::int32_t stream = 0;  // 0: the call waits for the connection
  };

  void StartCall(const PeerAddress& peer, Call call) {
    if (m_closed) {
      call.done(PeerOutcome::kNotSent, {}, "the client stops");
      return;
    }
    const Endpoint endpoint(peer.ip, peer.port);
    ConnectionPtr& slot = m_connections[endpoint];
    if (!slot) {
      const auto failed = m_reconnect_at.find(endpoint);
      if (failed != m_reconnect_at.end() && BootClock::now() < failed->second) {
        m_connections.erase(endpoint);
        call.done(PeerOutcome::kNotSent, {}, "the peer did not accept the last connection");
        return;
      }
      slot = std::make_shared<Connection>();
      slot->endpoint = endpoint;
      Connect(slot);
    }
    const ConnectionPtr connection = slot;
    if (connection->streams.size() + connection->waiting.size() >= m_options.max_streams) {
      call.done(PeerOutcome::kNotSent, {}, "too many outstanding streams to this peer");
      return;
    }
    const CallId id = ++m_last_call;
    m_deadlines.emplace(call.deadline, id);
    m_call_locations.emplace(id, CallLocation{connection, 0});
    if (call.attempt.has_value()) {
      m_attempts.emplace(*call.attempt, id);
    }
    ArmDeadlineTimer();
    if (connection->state == State::kReady) {
      SendCall(connection, id, std::move(call));
    } else {
      connection->waiting.emplace(id, std::move(call));
      connection->waiting_order.push_back(id);
    }
  }

  void Connect(const ConnectionPtr& connection) {
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(connection->endpoint.first, error);
    connection->socket = std::make_unique<asio::ip::tcp::socket>(m_context);
    connection->timer = std::make_unique<asio::steady_timer>(m_context, m_options.connect_timeout);
    connection->timer->async_wait([self = shared_from_this(), connection](const asio::error_code& cancelled) {
      if (!cancelled && connection->state != State::kReady) {
        self->FailConnection(connection, "connecting took too long");
      }
    });
    ArmIdleTimer();
    if (error) {
      asio::post(m_context,
                 [self = shared_from_this(), connection] { self->FailConnection(connection, "invalid address"); });
      return;
    }
    connection->socket->async_connect(asio::ip::tcp::endpoint(address, connection->endpoint.second),
                                      [self = shared_from_this(), connection](const asio::error_code& failed) {
                                        if (connection->state != State::kConnecting) {
                                          return;
                                        }
                                        if (failed) {
                                          self->FailConnection(connection,
                                                               fmt::format("connect failed: {}", failed.message()));
                                          return;
                                        }
                                        self->Authenticate(connection);
                                      });
  }

  void Authenticate(const ConnectionPtr& connection) {
    connection->state = State::kAuthenticating;
    H2SessionOptions options;
    options.max_streams = 0;  // the server opens no streams
    options.max_message_bytes = m_options.max_message_bytes;
    options.keep_alive = true;
    connection->session = std::make_shared<H2Session>(std::move(*connection->socket), options);
    connection->session->SetMessageLimit(kMaxHandshakeMessageBytes);
    connection->socket.reset();
    ++m_connections_open;
    H2SessionHooks hooks;
    const std::weak_ptr<Connection> weak = connection;
    hooks.on_message = [self = shared_from_this(), weak](std::int32_t stream, H2Message message) {
      if (const ConnectionPtr open = weak.lock()) {
        self->OnMessage(open, stream, std::move(message));
      }
    };
    hooks.on_failed = [self = shared_from_this(), weak](std::int32_t stream, H2Failure failure,
                                                        const std::string& detail) {
      if (const ConnectionPtr open = weak.lock()) {
        self->OnFailed(open, stream, failure, detail);
      }
    };
    hooks.on_goaway = [self = shared_from_this(), weak] {
      if (const ConnectionPtr open = weak.lock()) {
        self->Retire(open);
      }
    };
    hooks.on_closed = [self = shared_from_this(), weak](const std::string& reason) {
      if (const ConnectionPtr open = weak.lock()) {
        self->OnClosed(open, reason);
      }
    };
    connection->session->Start(std::move(hooks));
    connection->client_nonce = RandomNonce();
    proto::AuthHello hello;
    hello.set_client_nonce(connection->client_nonce);
    *hello.mutable_client() = ToProto(m_options.self);
    connection->session->Send(kHelloPath, hello.SerializeAsString(), m_empty_body, nullptr);
  }

  // Handles the two handshake responses. The server authenticates first, so that no request reaches an impostor.
  void OnHandshake(const ConnectionPtr& connection, const H2Message& message) {
    if (message.status != kOk) {
      FailConnection(connection, "the peer refused the authentication");
      return;
    }
    if (!connection->client_nonce.empty()) {
      proto::AuthChallenge challenge;
      const bool valid =
          challenge.ParseFromString(message.head) && challenge.server_nonce().size() == kNonceBytes &&
          ConstantTimeEquals(challenge.proof(), ServerProof(m_options.secret, connection->client_nonce,
                                                            challenge.server_nonce(), challenge.server()));
      if (!valid) {
        FailConnection(connection, "the peer does not know the shared secret");
        return;
      }
      proto::AuthProof proof;
      proof.set_proof(ClientProof(m_options.secret, connection->client_nonce, challenge.server_nonce(),
                                  ToProto(m_options.self), challenge.server()));
      connection->client_nonce.clear();
      connection->session->Send(kProofPath, proof.SerializeAsString(), m_empty_body, nullptr);
      return;
    }
    connection->state = State::kReady;
    asio::error_code ignored;
    connection->timer->cancel(ignored);
    connection->session->SetMessageLimit(m_options.max_message_bytes);
    m_reconnect_at.erase(connection->endpoint);
    for (const CallId id : std::exchange(connection->waiting_order, {})) {
      auto node = connection->waiting.extract(id);
      if (!node.empty()) {
        SendCall(connection, id, std::move(node.mapped()));
      }
    }
  }

  void SendCall(const ConnectionPtr& connection, CallId id, Call call) {
    const std::int32_t stream = connection->session->Send(call.path, call.head(), call.body, call.sent);
    if (stream < 0) {
      Finish(id, call, PeerOutcome::kNotSent, {}, "the connection takes no more streams");
      Retire(connection);
      return;
    }
    m_call_locations.at(id).stream = stream;
    connection->streams.emplace(stream, std::make_pair(id, std::move(call)));
  }

  void OnMessage(const ConnectionPtr& connection, std::int32_t stream, H2Message message) {
    if (connection->state == State::kAuthenticating) {
      OnHandshake(connection, message);
      return;
    }
    auto node = connection->streams.extract(stream);
    if (node.empty()) {
      return;
    }
    Call& call = node.mapped().second;
    if (message.status == kOk) {
      Finish(node.mapped().first, call, PeerOutcome::kAnswered, std::move(message), {});
    } else {
      // The server sends an error status only before it processes the message.
      Finish(node.mapped().first, call, PeerOutcome::kNotSent, {},
             fmt::format("the peer refused the stream with status {}", message.status));
    }
    EndIfRetired(connection);
  }

  void OnFailed(const ConnectionPtr& connection, std::int32_t stream, H2Failure failure, const std::string& detail) {
    auto node = connection->streams.extract(stream);
    if (!node.empty()) {
      Finish(node.mapped().first, node.mapped().second,
             failure == H2Failure::kNotProcessed ? PeerOutcome::kNotSent : PeerOutcome::kBroken, {}, detail);
    }
    EndIfRetired(connection);
  }

  void OnClosed(const ConnectionPtr& connection, const std::string& reason) {
    if (connection->state == State::kAuthenticating) {
      m_reconnect_at[connection->endpoint] = BootClock::now() + m_options.reconnect_delay;
    }
    RemoveConnection(connection);
    connection->state = State::kEnded;
    asio::error_code ignored;
    connection->timer->cancel(ignored);
    --m_connections_open;
    EndCalls(connection, reason);
  }

  // Ends a connection that cannot be established and delays the next attempt.
  void FailConnection(const ConnectionPtr& connection, const std::string& reason) {
    if (connection->state == State::kEnded) {
      return;
    }
    m_reconnect_at[connection->endpoint] = BootClock::now() + m_options.reconnect_delay;
    EndConnection(connection, reason);
  }

  void EndConnection(const ConnectionPtr& connection, const std::string& reason) {
    RemoveConnection(connection);
    if (connection->session) {
      connection->session->Close(reason);
      return;
    }
    connection->state = State::kEnded;
    asio::error_code ignored;
    connection->timer->cancel(ignored);
    if (connection->socket) {
      connection->socket->close(ignored);
    }
    EndCalls(connection, reason);
  }

  void EndCalls(const ConnectionPtr& connection, const std::string& reason) {
    connection->waiting_order.clear();
    for (auto& [id, call] : std::exchange(connection->waiting, {})) {
      Finish(id, call, PeerOutcome::kNotSent, {}, reason);
    }
    for (auto& [stream, entry] : std::exchange(connection->streams, {})) {
      Finish(entry.first, entry.second, PeerOutcome::kBroken, {}, reason);
    }
  }

  // Stops using the connection for new calls; streams in progress continue.
  void Retire(const ConnectionPtr& connection) {
    const auto it = m_connections.find(connection->endpoint);
    if (it != m_connections.end() && it->second == connection) {
      m_connections.erase(it);
      m_retired.insert(connection);
    }
    EndIfRetired(connection);
  }

  void EndIfRetired(const ConnectionPtr& connection) {
    if (m_retired.contains(connection) && connection->streams.empty() && connection->waiting.empty()) {
      m_retired.erase(connection);
      asio::post(m_context, [connection] { connection->session->Close("the connection was replaced"); });
    }
  }

  void RemoveConnection(const ConnectionPtr& connection) {
    const auto it = m_connections.find(connection->endpoint);
    if (it != m_connections.end() && it->second == connection) {
      m_connections.erase(it);
    }
    m_retired.erase(connection);
  }

  void Finish(CallId id, Call& call, PeerOutcome outcome, H2Message message, const std::string& detail) {
    m_deadlines.erase({call.deadline, id});
    m_call_locations.erase(id);
    if (call.attempt.has_value()) {
      m_attempts.erase(*call.attempt);
    }
    // The handler may start new calls, so the client's state must be consistent here.
    const auto done = std::move(call.done);
    done(outcome, std::move(message), detail);
  }

  void ArmDeadlineTimer() {
    if (m_deadlines.empty() || (m_deadline_armed && m_armed_deadline <= m_deadlines.begin()->first)) {
      return;
    }
    m_deadline_armed = true;
    m_armed_deadline = m_deadlines.begin()->first;
    m_deadline_timer.expires_after(std::max(Duration::zero(), m_armed_deadline - BootClock::now()));
    m_deadline_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
      if (cancelled || self->m_closed) {
        return;
      }
      self->m_deadline_armed = false;
      self->ExpireCalls();
      self->ArmDeadlineTimer();
    });
  }

  void ExpireCalls() {
    const TimePoint now = BootClock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
      const CallId id = m_deadlines.begin()->second;
      const CallLocation location = m_call_locations.at(id);
      if (location.stream == 0) {
        auto waiting = location.connection->waiting.extract(id);
        Finish(id, waiting.mapped(), PeerOutcome::kNotSent, {}, "the deadline passed before the connection was up");
        continue;
      }
      const bool incomplete = location.connection->session->CancelStream(location.stream);
      auto open = location.connection->streams.extract(location.stream);
      Finish(id, open.mapped().second, incomplete ? PeerOutcome::kNotSent : PeerOutcome::kBroken, {},
             "the deadline passed");
      EndIfRetired(location.connection);
    }
  }

  // Ends a call whose message is not completely sent; other calls continue.
  void FinishIfUnsent(CallId id) {
    const CallLocation location = m_call_locations.at(id);
    const std::string detail = "withdrawn";
    if (location.stream == 0) {
      auto waiting = location.connection->waiting.extract(id);
      if (!waiting.empty()) {
        Finish(id, waiting.mapped(), PeerOutcome::kNotSent, {}, detail);
      }
    } else if (!location.connection->session->IsSent(location.stream)) {
      location.connection->session->CancelStream(location.stream);
      auto open = location.connection->streams.extract(location.stream);
      Finish(id, open.mapped().second, PeerOutcome::kNotSent, {}, detail);
      EndIfRetired(location.connection);
    }
  }

  void ArmIdleTimer() {
    if (std::exchange(m_idle_armed, true)) {
      return;
    }
    m_idle_timer.expires_after(kIdleCheckPeriod);
    m_idle_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
      if (cancelled || self->m_closed) {
        return;
      }
      self->m_idle_armed = false;
      const TimePoint now = BootClock::now();
      std::vector<ConnectionPtr> idle;
      for (const auto& [endpoint, connection] : self->m_connections) {
        if (connection->state == State::kReady && connection->streams.empty() &&
            now - connection->session->LastUse() > self->m_options.idle_timeout) {
          idle.push_back(connection);
        }
      }
      for (const ConnectionPtr& connection : idle) {
        self->EndConnection(connection, "idle");
      }
      std::erase_if(self->m_reconnect_at, [now](const auto& failed) { return failed.second <= now; });
      if (!self->m_connections.empty() || !self->m_reconnect_at.empty()) {
        self->ArmIdleTimer();
      }
    });
  }

  asio::io_context& m_context;
  const PeerClientOptions m_options;
  asio::steady_timer m_deadline_timer;
  asio::steady_timer m_idle_timer;
  const std::shared_ptr<const std::string> m_empty_body = std::make_shared<const std::string>();
  std::map<Endpoint, ConnectionPtr> m_connections;
  std::set<ConnectionPtr> m_retired;             // accept no new calls
  std::map<Endpoint, TimePoint> m_reconnect_at;  // time before which no new connection is attempted
  std::set<std::pair<TimePoint, CallId>> m_deadlines;
  std::unordered_map<CallId, CallLocation> m_call_locations;  // of all calls in progress
  std::map<AttemptId, CallId> m_attempts;                     // of the calls that are requests
  CallId m_last_call = 0;
  std::atomic<std::size_t> m_connections_open{0};
  TimePoint m_armed_deadline;
  bool m_deadline_armed = false;
  bool m_idle_armed = false;
  bool m_closed = false;
};

namespace {

// Converts a call's outcome to a PeerResult, for calls whose reply is a Response.
std::function<void(PeerOutcome, H2Message, const std::string&)> MakeResponseHandler(
    RequestId id,
    std::function<void(PeerResult)> done) {
  return [id, done = std::move(done)](PeerOutcome outcome, H2Message message, const std::string& detail) {
    PeerResult result;
    result.outcome = outcome;
    result.detail = detail;
    if (outcome == PeerOutcome::kAnswered) {
      std::optional<Response> response = ParseResponse(message.head);
      if (response.has_value() && response->id == id) {
        result.response = std::move(*response);
        result.response.body = std::move(message.body);
      } else {
        result.outcome = PeerOutcome::kBroken;
        result.detail = "the answer is invalid or for another request";
      }
    }
    done(std::move(result));
  };
}

}  // namespace

PeerClient::PeerClient(asio::io_context& context, PeerClientOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

PeerClient::~PeerClient() = default;

void PeerClient::Send(const PeerAddress& peer, PeerCall call, std::function<void(PeerResult)> done) {
  Impl::Call message;
  message.path = kRequestPath;
  message.body = std::shared_ptr<const std::string>(call.request, &call.request->body);
  message.sent = std::move(call.sent);
  message.deadline = call.request->deadline + kDeadlineGrace;
  message.attempt = {call.request->id, call.attempt};
  message.done = MakeResponseHandler(call.request->id, std::move(done));
  message.head = [request = std::move(call.request), target = peer.incarnation, attempt = call.attempt,
                  epoch = call.epoch] { return SerializeRequest(*request, target, attempt, epoch, BootClock::now()); };
  m_impl->Start(peer, std::move(message));
}

void PeerClient::CancelUnsent(RequestId id, std::uint32_t attempt) {
  m_impl->CancelUnsent({id, attempt});
}

void PeerClient::Query(const PeerAddress& peer,
                       RequestId id,
                       std::uint32_t attempt,
                       Duration timeout,
                       std::function<void(PeerResult)> done) {
  Impl::Call message;
  message.path = kQueryPath;
  message.body = std::make_shared<const std::string>();
  message.deadline = BootClock::now() + timeout;
  message.done = MakeResponseHandler(id, std::move(done));
  proto::QueryRequest query;
  query.set_id_high(id.high);
  query.set_id_low(id.low);
  query.set_attempt(attempt);
  *query.mutable_target() = ToProto(peer.incarnation);
  message.head = [head = query.SerializeAsString()] { return head; };
  m_impl->Start(peer, std::move(message));
}

void PeerClient::Cancel(const PeerAddress& peer, RequestId id, std::uint32_t attempt) {
  Impl::Call message;
  message.path = kCancelPath;
  message.body = std::make_shared<const std::string>();
  message.deadline = BootClock::now() + kCancelTimeout;
  message.done = [](PeerOutcome /*outcome*/, const H2Message& /*message*/, const std::string& /*detail*/) {};
  proto::CancelRequest cancel;
  cancel.set_id_high(id.high);
  cancel.set_id_low(id.low);
  cancel.set_attempt(attempt);
  *cancel.mutable_target() = ToProto(peer.incarnation);
  message.head = [head = cancel.SerializeAsString()] { return head; };
  m_impl->Start(peer, std::move(message));
}

void PeerClient::SendMessage(const PeerAddress& peer,
                             proto::PeerMessage control,
                             Duration timeout,
                             std::function<void(PeerMessageResult)> done) {
  Impl::Call message;
  message.path = kMessagePath;
  message.body = std::make_shared<const std::string>(control.SerializeAsString());
  message.deadline = BootClock::now() + timeout;
  message.head = [] { return std::string(); };
  message.done = [done = std::move(done)](PeerOutcome outcome, const H2Message& answer, const std::string& detail) {
    PeerMessageResult result;
    result.outcome = outcome;
    result.detail = detail;
    proto::PeerMessage reply;
    if (outcome == PeerOutcome::kAnswered && !answer.body.empty()) {
      if (reply.ParseFromString(answer.body)) {
        result.reply = std::move(reply);
      } else {
        result.outcome = PeerOutcome::kBroken;
        result.detail = "the reply is invalid";
      }
    }
    done(std::move(result));
  };
  m_impl->Start(peer, std::move(message));
}

std::size_t PeerClient::Connections() const {
  return m_impl->Connections();
}

void PeerClient::Close() {
  m_impl->Close();
}

}  // namespace magnoliaarch
