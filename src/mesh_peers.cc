#include "mesh_peers_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <fmt/format.h>

#include "http1_p.h"

namespace magnoliaarch {
namespace {

// A connection that was quiet for less time may be receiving a request, so it is not closed for a new one.
constexpr Duration kMinQuietTime = std::chrono::seconds(1);

constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// A connection with open streams that received nothing for this long is pinged.
constexpr Duration kPingAfterQuiet = std::chrono::milliseconds(300);
// A peer that sends nothing for this long after the ping is suspected to be down: new calls use another connection.
constexpr Duration kPingTimeout = std::chrono::milliseconds(700);
// A gap between ticks above this means that the process was not scheduled in between.
constexpr Duration kStallThreshold = std::chrono::milliseconds(200);
// Accepted connections without calls in progress are closed after this long without received bytes.
constexpr Duration kInboundIdleTimeout = std::chrono::seconds(60);
constexpr int kOk = 200;
// Bytes are counted for at most this many request paths, so that a peer that sends unknown paths cannot exhaust the
// memory. Nodes use six paths.
constexpr std::size_t kMaxCountedPaths = 16;
// Read buffer of a connection. Small, since there are many connections and messages are small.
constexpr std::size_t kReadBytes = 8 << 10;
// Limit for head and body of one message: a body of 64 MB, the largest that callers may send, and its envelope. What
// all messages take together is limited by the memory budget.
constexpr std::size_t kMaxMessageBytes = 65 << 20;
// Limit for all incomplete messages of one connection.
constexpr std::size_t kMaxBufferedBytes = 2 * kMaxMessageBytes;

std::size_t FieldBytes(const std::vector<std::string>& fields) {
  return std::accumulate(fields.begin(), fields.end(), std::size_t{0},
                         [](std::size_t sum, const std::string& field) { return sum + field.size(); });
}

std::size_t BytesOf(const H2Message& message) {
  return message.head.size() + message.body.size() + FieldBytes(message.fields);
}

std::size_t BytesOf(const MessageHead& head, const std::string& body) {
  return head.head.size() + body.size() + FieldBytes(head.fields);
}

}  // namespace

MeshPeers::MeshPeers(asio::io_context& context,
                     TimerQueue& timers,
                     std::string ip,
                     std::uint16_t port,
                     Hooks hooks,
                     MeshPeersLimits limits)
    : m_context(context),
      m_timers(timers),
      m_ip(std::move(ip)),
      m_port(port),
      m_hooks(std::move(hooks)),
      m_limits(std::move(limits)),
      m_acceptor(context) {}

MeshPeers::~MeshPeers() {
  m_alive.reset();
  asio::error_code ignored;
  m_acceptor.close(ignored);
  for (auto& [id, connection] : m_outbound) {
    if (connection.session) {
      connection.session->Close("the node shuts down");
    }
  }
  for (auto& [id, inbound] : m_inbound) {
    inbound.session->Close("the node shuts down");
  }
}

H2SessionOptions MeshPeers::SessionOptions(bool server) const {
  H2SessionOptions options;
  options.server = server;
  options.read_bytes = kReadBytes;
  options.max_message_bytes = kMaxMessageBytes;
  options.max_buffered_bytes = kMaxBufferedBytes;
  options.bytes = m_bytes;
  options.budget = m_limits.budget;
  return options;
}

absl::Status MeshPeers::Start() {
  const absl::Status status = Listen(m_acceptor, m_ip, m_port);
  if (!status.ok()) {
    return status;
  }
  Accept();
  return absl::OkStatus();
}

void MeshPeers::Accept() {
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
      ServeConnection(std::move(socket));
    }
    Accept();
  });
}

bool MeshPeers::CloseIdlestAccepted() {
  const InboundConnection* idlest = nullptr;
  const TimePoint now = BootClock::now();
  for (const auto& [id, inbound] : m_inbound) {
    if (inbound.streams.empty() && now - inbound.session->LastReceived() >= kMinQuietTime &&
        (idlest == nullptr || inbound.session->LastReceived() < idlest->session->LastReceived())) {
      idlest = &inbound;
    }
  }
  if (idlest == nullptr) {
    return false;
  }
  const std::shared_ptr<H2Session> session = idlest->session;
  session->Close("too many connections");
  return true;
}

void MeshPeers::ServeConnection(asio::ip::tcp::socket socket) {
  if (m_inbound.size() >= m_limits.max_accepted && !CloseIdlestAccepted()) {
    return;
  }
  asio::error_code gone;
  const auto remote = socket.remote_endpoint(gone);
  const MeshPeerAddress peer = gone ? MeshPeerAddress{} : MeshPeerAddress{remote.address().to_string(), remote.port()};
  const auto session = std::make_shared<H2Session>(std::move(socket), SessionOptions(true));
  const std::uint64_t connection = ++m_last_id;
  m_inbound.emplace(connection, InboundConnection{session, {}, {}, peer});
  const std::weak_ptr<bool> alive = m_alive;
  H2SessionHooks hooks;
  hooks.on_message = [this, alive, connection](std::int32_t stream, H2Message message) {
    const auto it = m_inbound.find(connection);
    if (alive.expired() || it == m_inbound.end()) {
      return;
    }
    const std::uint64_t call = ++m_last_id;
    it->second.streams.emplace(stream, call);
    const bool counted = m_message_bytes.size() < kMaxCountedPaths || m_message_bytes.contains(message.path);
    ByteCount* count = counted ? &m_message_bytes[message.path] : nullptr;
    if (count != nullptr) {
      count->received += BytesOf(message);
    }
    m_hooks.on_message(call, std::move(message), [=, this](MessageHead head, std::string body) {
      if (alive.expired()) {
        return;
      }
      const auto inbound = m_inbound.find(connection);
      if (inbound != m_inbound.end() && inbound->second.streams.erase(stream) != 0) {
        if (count != nullptr) {
          count->sent += BytesOf(head, body);
        }
        inbound->second.session->Respond(stream, kOk, std::move(head.head), std::move(body), head.fields);
      }
    });
  };
  const auto abandon = [this, alive, connection](std::int32_t stream) {
    if (alive.expired()) {
      return;
    }
    const auto it = m_inbound.find(connection);
    if (it == m_inbound.end()) {
      return;
    }
    const auto call = it->second.streams.find(stream);
    if (call != it->second.streams.end()) {
      const std::uint64_t id = call->second;
      it->second.streams.erase(call);
      m_hooks.on_abandoned(id);
    }
  };
  hooks.on_cancelled = abandon;
  hooks.on_error = m_hooks.on_error;
  hooks.on_closed = [this, alive, connection, abandon](const std::string& /*reason*/) {
    if (alive.expired()) {
      return;
    }
    const auto it = m_inbound.find(connection);
    if (it != m_inbound.end()) {
      const auto streams = it->second.streams;
      for (const auto& [stream, call] : streams) {
        abandon(stream);
      }
      m_inbound.erase(connection);
    }
  };
  session->Start(std::move(hooks));
}

MeshPeers::OutboundConnection& MeshPeers::ConnectionTo(const MeshPeerAddress& peer, std::uint64_t* id) {
  const auto current = m_current.find(peer);
  if (current != m_current.end()) {
    *id = current->second;
    return m_outbound.at(*id);
  }
  *id = ++m_last_id;
  m_current.emplace(peer, *id);
  OutboundConnection& connection = m_outbound[*id];
  connection.peer = peer;
  asio::error_code error;
  const auto address = asio::ip::make_address(peer.ip, error);
  if (error || peer.port == 0) {
    asio::post(m_context, [this, alive = std::weak_ptr<bool>(m_alive), connection_id = *id] {
      if (!alive.expired()) {
        FailConnection(connection_id, "the node has no valid address");
      }
    });
    return connection;
  }
  connection.connecting = std::make_shared<asio::ip::tcp::socket>(m_context);
  connection.connect_timer = m_timers.At(BootClock::now() + kConnectTimeout, [this, connection_id = *id] {
    const auto it = m_outbound.find(connection_id);
    if (it != m_outbound.end() && it->second.connecting != nullptr) {
      asio::error_code ignored;
      it->second.connecting->close(ignored);
      FailConnection(connection_id, "connecting timed out");
    }
  });
  const std::weak_ptr<bool> alive = m_alive;
  connection.connecting->async_connect(
      {address, peer.port},
      [this, alive, connection_id = *id, socket = connection.connecting](const asio::error_code& failed) {
        if (!alive.expired()) {
          OnConnected(connection_id, failed);
        }
      });
  return connection;
}

void MeshPeers::OnConnected(std::uint64_t id, const asio::error_code& error) {
  const auto it = m_outbound.find(id);
  if (it == m_outbound.end()) {
    return;
  }
  OutboundConnection& connection = it->second;
  m_timers.Cancel(connection.connect_timer);
  if (error) {
    FailConnection(id, error.message());
    return;
  }
  const std::shared_ptr<asio::ip::tcp::socket> socket = std::exchange(connection.connecting, nullptr);
  connection.session = std::make_shared<H2Session>(std::move(*socket), SessionOptions(false));
  const std::weak_ptr<bool> alive = m_alive;
  const auto take_call = [this, alive, id](std::int32_t stream) -> std::uint64_t {
    if (alive.expired()) {
      return 0;
    }
    const auto found = m_outbound.find(id);
    if (found == m_outbound.end()) {
      return 0;
    }
    const auto call = found->second.streams.find(stream);
    if (call == found->second.streams.end()) {
      return 0;
    }
    const std::uint64_t call_id = call->second;
    found->second.streams.erase(call);
    return call_id;
  };
  H2SessionHooks hooks;
  hooks.on_message = [this, take_call, id](std::int32_t stream, H2Message message) {
    if (const std::uint64_t call = take_call(stream)) {
      CompleteCall(call, MeshCallResult{MeshCallOutcome::kAnswered, std::move(message), {}});
      CloseIfUnused(id);
    }
  };
  hooks.on_error = m_hooks.on_error;
  hooks.on_failed = [this, take_call, id](std::int32_t stream, H2Failure failure, const std::string& detail) {
    if (const std::uint64_t call = take_call(stream)) {
      const bool not_sent = failure == H2Failure::kNotProcessed;
      CompleteCall(call, MeshCallResult{not_sent ? MeshCallOutcome::kNotSent : MeshCallOutcome::kBroken, {}, detail});
      CloseIfUnused(id);
    }
  };
  hooks.on_closed = [this, alive, id](const std::string& /*reason*/) {
    if (!alive.expired()) {
      EraseConnection(id);
    }
  };
  connection.session->Start(std::move(hooks));
  for (const std::uint64_t call : std::exchange(connection.queued, {})) {
    SendOn(connection, call);
  }
}

void MeshPeers::SendOn(OutboundConnection& connection, std::uint64_t id) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) {
    return;
  }
  PendingCall& call = it->second;
  m_message_bytes[call.path].sent += BytesOf(call.head, *call.body);
  call.stream = connection.session->Send(call.path, std::move(call.head.head), call.body, nullptr, call.head.fields);
  if (call.stream < 0) {
    const std::weak_ptr<bool> alive = m_alive;
    asio::post(m_context, [this, alive, id] {
      if (!alive.expired()) {
        CompleteCall(id, MeshCallResult{MeshCallOutcome::kNotSent, {}, "the peer takes no more streams"});
      }
    });
    return;
  }
  connection.streams.emplace(call.stream, id);
}

void MeshPeers::FailConnection(std::uint64_t id, const std::string& detail) {
  const auto it = m_outbound.find(id);
  if (it == m_outbound.end()) {
    return;
  }
  const std::vector<std::uint64_t> queued = std::move(it->second.queued);
  m_timers.Cancel(it->second.connect_timer);
  EraseConnection(id);
  for (const std::uint64_t call : queued) {
    CompleteCall(call, MeshCallResult{MeshCallOutcome::kNotSent, {}, detail});
  }
}

void MeshPeers::EraseConnection(std::uint64_t id) {
  const auto it = m_outbound.find(id);
  if (it == m_outbound.end()) {
    return;
  }
  if (IsCurrent(id, it->second)) {
    m_current.erase(it->second.peer);
  }
  m_outbound.erase(it);
}

bool MeshPeers::IsCurrent(std::uint64_t id, const OutboundConnection& connection) const {
  const auto current = m_current.find(connection.peer);
  return current != m_current.end() && current->second == id;
}

void MeshPeers::CloseIfUnused(std::uint64_t id) {
  const auto it = m_outbound.find(id);
  if (it != m_outbound.end() && it->second.session != nullptr && it->second.streams.empty() &&
      !IsCurrent(id, it->second)) {
    const std::shared_ptr<H2Session> session = it->second.session;
    // Resets of cancelled calls are sent first, so that the peer does not handle cancelled calls that it reads later.
    session->Close("another connection is in use", true);
  }
}

std::uint64_t MeshPeers::Call(const MeshPeerAddress& peer,
                              std::string_view path,
                              MessageHead head,
                              std::shared_ptr<const std::string> body,
                              Duration timeout,
                              Done done,
                              SilenceCallback silent) {
  const std::uint64_t id = ++m_last_id;
  PendingCall call;
  call.path = std::string(path);
  call.head = std::move(head);
  call.body = std::move(body);
  call.done = std::move(done);
  call.silent = std::move(silent);
  if (timeout > Duration(0)) {
    call.timer = m_timers.At(BootClock::now() + timeout, [this, id] {
      const auto it = m_calls.find(id);
      if (it == m_calls.end()) {
        return;
      }
      Done timed_out = std::move(it->second.done);
      const bool sent = it->second.stream > 0;
      Cancel(id);
      timed_out(MeshCallResult{sent ? MeshCallOutcome::kBroken : MeshCallOutcome::kNotSent, {}, "timed out"});
    });
  }
  OutboundConnection& connection = ConnectionTo(peer, &call.connection);
  m_calls.emplace(id, std::move(call));
  if (connection.session != nullptr) {
    SendOn(connection, id);
  } else {
    connection.queued.push_back(id);
  }
  return id;
}

void MeshPeers::Cancel(std::uint64_t id) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) {
    return;
  }
  const PendingCall call = std::move(it->second);
  m_calls.erase(it);
  m_timers.Cancel(call.timer);
  const auto connection = m_outbound.find(call.connection);
  if (connection == m_outbound.end()) {
    return;
  }
  std::erase(connection->second.queued, id);
  const auto stream = connection->second.streams.find(call.stream);
  if (call.stream > 0 && stream != connection->second.streams.end() && stream->second == id) {
    connection->second.streams.erase(stream);
    connection->second.session->CancelStream(call.stream);
    CloseIfUnused(call.connection);
  }
}

void MeshPeers::CompleteCall(std::uint64_t id, MeshCallResult result) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) {
    return;
  }
  const PendingCall call = std::move(it->second);
  m_calls.erase(it);
  m_timers.Cancel(call.timer);
  m_message_bytes[call.path].received += BytesOf(result.answer);
  call.done(std::move(result));
}

// The peer may just be slow, so its calls stay in progress and their answers are still accepted.
void MeshPeers::OnSilentConnection(std::uint64_t id, const PeerSilence& silence) {
  m_hooks.on_silent(silence);
  const OutboundConnection& connection = m_outbound.at(id);
  if (IsCurrent(id, connection)) {
    m_current.erase(connection.peer);
  }
  std::vector<SilenceCallback> callbacks;
  for (const auto& [stream, call] : connection.streams) {
    const auto it = m_calls.find(call);
    if (it != m_calls.end() && it->second.silent) {
      callbacks.push_back(std::exchange(it->second.silent, nullptr));
    }
  }
  for (const SilenceCallback& callback : callbacks) {
    callback();
  }
}

void MeshPeers::OnTick(TimePoint now) {
  if (std::exchange(m_accept_paused, false)) {
    Accept();
  }
  if (m_last_tick_at != TimePoint() && now - m_last_tick_at > kStallThreshold) {
    m_stall_ended_at = now;
  }
  m_last_tick_at = now;
  std::vector<std::shared_ptr<H2Session>> path_lost;
  // Whether the peer has not answered a ping in time. Also pings the peer and detects a lost path.
  const auto is_silent = [&](const std::shared_ptr<H2Session>& quiet_session, TimePoint& pinged,
                             PathLossDetector& path) {
    H2Session& session = *quiet_session;
    if (now - session.LastReceived() < kPingAfterQuiet) {
      return false;
    }
    if (path.IsPathLost(now, session.Acknowledgement())) {
      path_lost.push_back(quiet_session);
      return false;
    }
    const bool ping_unanswered = pinged > session.LastReceived();
    if (ping_unanswered && now - pinged <= kPingTimeout) {
      return false;
    }
    // After a stall of this node the peer's answer may be waiting unread in the socket.
    const bool silent = ping_unanswered && m_stall_ended_at <= pinged;
    session.Ping();
    pinged = now;
    return silent;
  };
  std::vector<std::pair<std::uint64_t, PeerSilence>> silent;
  for (auto& [id, connection] : m_outbound) {
    // A connection that new calls do not use may still have to send resets of its cancelled calls.
    const bool in_use = !connection.streams.empty() || !IsCurrent(id, connection);
    if (connection.session != nullptr && in_use && is_silent(connection.session, connection.pinged, connection.path)) {
      silent.emplace_back(
          id, PeerSilence{connection.peer, false, connection.streams.size(), now - connection.session->LastReceived()});
    }
  }
  std::vector<std::shared_ptr<H2Session>> unused;
  for (auto& [id, inbound] : m_inbound) {
    if (inbound.streams.empty()) {
      if (now - inbound.session->LastReceived() > kInboundIdleTimeout) {
        unused.push_back(inbound.session);
      }
    } else if (is_silent(inbound.session, inbound.pinged, inbound.path)) {
      m_hooks.on_silent(PeerSilence{inbound.peer, true, inbound.streams.size(), now - inbound.session->LastReceived()});
    }
  }
  for (const std::shared_ptr<H2Session>& session : unused) {
    session->Close("the connection was idle");
  }
  for (const std::shared_ptr<H2Session>& session : path_lost) {
    session->Close("the connection lost its network path");
  }
  for (const auto& [id, silence] : silent) {
    if (m_outbound.contains(id)) {
      OnSilentConnection(id, silence);
    }
  }
}

}  // namespace magnoliaarch
