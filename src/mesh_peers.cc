#include "mesh_peers_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <fmt/format.h>

#include "http1_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// A connection on which nothing is acknowledged for this long has no path. TCP's own user time-out is not used: it also
// ends connections whose receive window is full, because the other process reads late.
constexpr Duration kNoPath = std::chrono::milliseconds(1500);
// A connection with open streams that received nothing for this long is asked for a sign of life.
constexpr Duration kPingAfter = std::chrono::milliseconds(300);
// Without a sign of life for this long after the ping its peer is suspected: new calls use another connection.
constexpr Duration kSilence = std::chrono::milliseconds(700);
// Ticks this far apart mean that the process did not run in between.
constexpr Duration kStall = std::chrono::milliseconds(200);
// Accepted connections without calls in progress that are silent for this long are closed.
constexpr Duration kServedIdle = std::chrono::seconds(60);
constexpr int kOk = 200;
// Bytes are counted for this many paths; nodes use six, and a peer that sends others must not fill the memory.
constexpr std::size_t kMaxPaths = 16;
// Messages between nodes are small and connections many.
constexpr std::size_t kReadBytes = 8 << 10;
// Head and body of one message. Nodes run with 160 to 260 MB of memory, and a message exists up to three times in it.
constexpr std::size_t kMaxMessageBytes = 16 << 20;
// All incomplete messages of one connection.
constexpr std::size_t kMaxBufferedBytes = 32 << 20;

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

MeshPeers::MeshPeers(asio::io_context& context, TimerQueue& timers, std::string ip, std::uint16_t port, Hooks hooks)
    : m_context(context),
      m_timers(timers),
      m_ip(std::move(ip)),
      m_port(port),
      m_hooks(std::move(hooks)),
      m_acceptor(context) {}

MeshPeers::~MeshPeers() {
  m_alive.reset();
  asio::error_code ignored;
  m_acceptor.close(ignored);
  for (auto& [id, link] : m_links) {
    if (link.session) {
      link.session->Close("the node ends");
    }
  }
  for (auto& [id, served] : m_served) {
    served.session->Close("the node ends");
  }
}

H2SessionOptions MeshPeers::SessionOptions(bool server) const {
  H2SessionOptions options;
  options.server = server;
  options.read_bytes = kReadBytes;
  options.max_message_bytes = kMaxMessageBytes;
  options.max_buffered_bytes = kMaxBufferedBytes;
  options.bytes = m_bytes;
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
    if (!error) {
      Serve(std::move(socket));
    }
    Accept();
  });
}

void MeshPeers::Serve(asio::ip::tcp::socket socket) {
  asio::error_code gone;
  const auto remote = socket.remote_endpoint(gone);
  const MeshPeerAddress peer = gone ? MeshPeerAddress{} : MeshPeerAddress{remote.address().to_string(), remote.port()};
  const auto session = std::make_shared<H2Session>(std::move(socket), SessionOptions(true));
  const std::uint64_t link = ++m_last_id;
  m_served.emplace(link, Served{session, {}, {}, peer, {}});
  const std::weak_ptr<bool> alive = m_alive;
  H2SessionHooks hooks;
  hooks.on_message = [this, alive, link](std::int32_t stream, H2Message message) {
    const auto it = m_served.find(link);
    if (alive.expired() || it == m_served.end()) {
      return;
    }
    const std::uint64_t call = ++m_last_id;
    it->second.streams.emplace(stream, call);
    const bool counted = m_message_bytes.size() < kMaxPaths || m_message_bytes.contains(message.path);
    ByteCount* count = counted ? &m_message_bytes[message.path] : nullptr;
    if (count != nullptr) {
      count->received += BytesOf(message);
    }
    m_hooks.on_message(call, std::move(message), [=, this](MessageHead head, std::string body) {
      if (alive.expired()) {
        return;
      }
      const auto served = m_served.find(link);
      if (served != m_served.end() && served->second.streams.erase(stream) != 0) {
        if (count != nullptr) {
          count->sent += BytesOf(head, body);
        }
        served->second.session->Respond(stream, kOk, std::move(head.head), std::move(body), head.fields);
      }
    });
  };
  const auto abandon = [this, alive, link](std::int32_t stream) {
    if (alive.expired()) {
      return;
    }
    const auto it = m_served.find(link);
    if (it == m_served.end()) {
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
  hooks.on_closed = [this, alive, link, abandon](const std::string& /*reason*/) {
    if (alive.expired()) {
      return;
    }
    const auto it = m_served.find(link);
    if (it != m_served.end()) {
      const auto streams = it->second.streams;
      for (const auto& [stream, call] : streams) {
        abandon(stream);
      }
      m_served.erase(link);
    }
  };
  session->Start(std::move(hooks));
}

MeshPeers::Link& MeshPeers::LinkTo(const MeshPeerAddress& peer, std::uint64_t* id) {
  const auto current = m_current.find(peer);
  if (current != m_current.end()) {
    *id = current->second;
    return m_links.at(*id);
  }
  *id = ++m_last_id;
  m_current.emplace(peer, *id);
  Link& link = m_links[*id];
  link.peer = peer;
  asio::error_code error;
  const auto address = asio::ip::make_address(peer.ip, error);
  link.connecting = std::make_shared<asio::ip::tcp::socket>(m_context);
  link.connect_timer = m_timers.At(BootClock::now() + kConnectTimeout, [this, link_id = *id] {
    const auto it = m_links.find(link_id);
    if (it != m_links.end() && it->second.connecting != nullptr) {
      asio::error_code ignored;
      it->second.connecting->close(ignored);
      FailLink(link_id, "connecting timed out");
    }
  });
  const std::weak_ptr<bool> alive = m_alive;
  link.connecting->async_connect(
      {address, peer.port}, [this, alive, link_id = *id, socket = link.connecting](const asio::error_code& failed) {
        if (!alive.expired()) {
          OnConnected(link_id, failed);
        }
      });
  return link;
}

void MeshPeers::OnConnected(std::uint64_t id, const asio::error_code& error) {
  const auto it = m_links.find(id);
  if (it == m_links.end()) {
    return;
  }
  Link& link = it->second;
  m_timers.Cancel(link.connect_timer);
  if (error) {
    FailLink(id, error.message());
    return;
  }
  const std::shared_ptr<asio::ip::tcp::socket> socket = std::exchange(link.connecting, nullptr);
  link.session = std::make_shared<H2Session>(std::move(*socket), SessionOptions(false));
  const std::weak_ptr<bool> alive = m_alive;
  const auto take = [this, alive, id](std::int32_t stream) -> std::uint64_t {
    if (alive.expired()) {
      return 0;
    }
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
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
  hooks.on_message = [this, take, id](std::int32_t stream, H2Message message) {
    if (const std::uint64_t call = take(stream)) {
      Finish(call, MeshCallResult{MeshCallOutcome::kAnswered, std::move(message), {}});
      CloseIfUnused(id);
    }
  };
  hooks.on_failed = [this, take, id](std::int32_t stream, H2Failure failure, const std::string& detail) {
    if (const std::uint64_t call = take(stream)) {
      const bool not_sent = failure == H2Failure::kNotProcessed;
      Finish(call, MeshCallResult{not_sent ? MeshCallOutcome::kNotSent : MeshCallOutcome::kBroken, {}, detail});
      CloseIfUnused(id);
    }
  };
  hooks.on_closed = [this, alive, id](const std::string& /*reason*/) {
    if (!alive.expired()) {
      EraseLink(id);
    }
  };
  link.session->Start(std::move(hooks));
  for (const std::uint64_t call : std::exchange(link.queued, {})) {
    SendOn(link, call);
  }
}

void MeshPeers::SendOn(Link& link, std::uint64_t id) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) {
    return;
  }
  PendingCall& call = it->second;
  m_message_bytes[call.path].sent += BytesOf(call.head, *call.body);
  call.stream = link.session->Send(call.path, std::move(call.head.head), call.body, nullptr, call.head.fields);
  if (call.stream < 0) {
    const std::weak_ptr<bool> alive = m_alive;
    asio::post(m_context, [this, alive, id] {
      if (!alive.expired()) {
        Finish(id, MeshCallResult{MeshCallOutcome::kNotSent, {}, "the peer takes no more streams"});
      }
    });
    return;
  }
  link.streams.emplace(call.stream, id);
}

void MeshPeers::FailLink(std::uint64_t id, const std::string& detail) {
  const auto it = m_links.find(id);
  if (it == m_links.end()) {
    return;
  }
  const std::vector<std::uint64_t> queued = std::move(it->second.queued);
  m_timers.Cancel(it->second.connect_timer);
  EraseLink(id);
  for (const std::uint64_t call : queued) {
    Finish(call, MeshCallResult{MeshCallOutcome::kNotSent, {}, detail});
  }
}

void MeshPeers::EraseLink(std::uint64_t id) {
  const auto it = m_links.find(id);
  if (it == m_links.end()) {
    return;
  }
  if (IsCurrent(id, it->second)) {
    m_current.erase(it->second.peer);
  }
  m_links.erase(it);
}

bool MeshPeers::IsCurrent(std::uint64_t id, const Link& link) const {
  const auto current = m_current.find(link.peer);
  return current != m_current.end() && current->second == id;
}

void MeshPeers::CloseIfUnused(std::uint64_t id) {
  const auto it = m_links.find(id);
  if (it != m_links.end() && it->second.session != nullptr && it->second.streams.empty() &&
      !IsCurrent(id, it->second)) {
    const std::shared_ptr<H2Session> session = it->second.session;
    // The ends of cancelled calls go out first, so that the peer does not handle what it has not read yet.
    session->Close("another connection is in use", true);
  }
}

std::uint64_t MeshPeers::Call(const MeshPeerAddress& peer,
                              std::string_view path,
                              MessageHead head,
                              std::shared_ptr<const std::string> body,
                              Duration timeout,
                              Done done,
                              Silent silent) {
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
  Link& link = LinkTo(peer, &call.link);
  m_calls.emplace(id, std::move(call));
  if (link.session != nullptr) {
    SendOn(link, id);
  } else {
    link.queued.push_back(id);
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
  const auto link = m_links.find(call.link);
  if (link == m_links.end()) {
    return;
  }
  std::erase(link->second.queued, id);
  const auto stream = link->second.streams.find(call.stream);
  if (call.stream > 0 && stream != link->second.streams.end() && stream->second == id) {
    link->second.streams.erase(stream);
    link->second.session->CancelStream(call.stream);
    CloseIfUnused(call.link);
  }
}

void MeshPeers::Finish(std::uint64_t id, MeshCallResult result) {
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

// The peer may only be slow: what it is at work on still counts when its answer comes.
void MeshPeers::OnSilentLink(std::uint64_t id, const PeerSilence& silence) {
  m_hooks.on_silent(silence);
  const Link& link = m_links.at(id);
  if (IsCurrent(id, link)) {
    m_current.erase(link.peer);
  }
  std::vector<Silent> told;
  for (const auto& [stream, call] : link.streams) {
    const auto it = m_calls.find(call);
    if (it != m_calls.end() && it->second.silent) {
      told.push_back(std::exchange(it->second.silent, nullptr));
    }
  }
  for (const Silent& tell : told) {
    tell();
  }
}

bool PathCheck::IsGone(TimePoint now, const H2Acknowledgement& acknowledgement) {
  const bool paused = now - m_checked_at > kStall;
  m_checked_at = now;
  if (paused || !acknowledgement.outstanding) {
    m_acknowledged_at = now;
  }
  m_acknowledged_at = std::max(m_acknowledged_at, now - acknowledgement.age);
  return now - m_acknowledged_at > kNoPath;
}

void MeshPeers::OnTick(TimePoint now) {
  if (m_ticked_at != TimePoint() && now - m_ticked_at > kStall) {
    m_stalled_at = now;
  }
  m_ticked_at = now;
  std::vector<std::shared_ptr<H2Session>> without_path;
  // Whether the other side has not answered a ping in time.
  const auto is_silent = [&](const std::shared_ptr<H2Session>& quiet, TimePoint& pinged, PathCheck& path) {
    H2Session& session = *quiet;
    if (now - session.LastReceived() < kPingAfter) {
      return false;
    }
    if (path.IsGone(now, session.Acknowledgement())) {
      without_path.push_back(quiet);
      return false;
    }
    const bool waits = pinged > session.LastReceived();
    if (waits && now - pinged <= kSilence) {
      return false;
    }
    // After a time in which this node did not run the answer may lie unread.
    const bool silent = waits && m_stalled_at <= pinged;
    session.Ping();
    pinged = now;
    return silent;
  };
  std::vector<std::pair<std::uint64_t, PeerSilence>> silent;
  for (auto& [id, link] : m_links) {
    // A connection that new calls do not use may still have to send the ends of its calls.
    const bool in_use = !link.streams.empty() || !IsCurrent(id, link);
    if (link.session != nullptr && in_use && is_silent(link.session, link.pinged, link.path)) {
      silent.emplace_back(id, PeerSilence{link.peer, false, link.streams.size(), now - link.session->LastReceived()});
    }
  }
  std::vector<std::shared_ptr<H2Session>> unused;
  for (auto& [id, served] : m_served) {
    if (served.streams.empty()) {
      if (now - served.session->LastReceived() > kServedIdle) {
        unused.push_back(served.session);
      }
    } else if (is_silent(served.session, served.pinged, served.path)) {
      m_hooks.on_silent(PeerSilence{served.peer, true, served.streams.size(), now - served.session->LastReceived()});
    }
  }
  for (const std::shared_ptr<H2Session>& session : unused) {
    session->Close("the connection is unused");
  }
  for (const std::shared_ptr<H2Session>& session : without_path) {
    session->Close("the connection has no path");
  }
  for (const auto& [id, silence] : silent) {
    if (m_links.contains(id)) {
      OnSilentLink(id, silence);
    }
  }
}

}  // namespace magnoliaarch
