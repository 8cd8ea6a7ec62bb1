// Calls between mesh nodes as HTTP/2 streams, on the node's event loop.

#ifndef MAGNOLIAARCH_SRC_MESH_PEERS_P_H_
#define MAGNOLIAARCH_SRC_MESH_PEERS_P_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "h2_session_p.h"
#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_timer_p.h"
#include "tcp_path_p.h"

namespace magnoliaarch {

struct MeshPeerAddress {
  std::string ip;
  std::uint16_t port = 0;
  auto operator<=>(const MeshPeerAddress&) const = default;
};

inline MeshPeerAddress AddressOf(const proto::MeshMember& member) {
  return MeshPeerAddress{member.ip(), static_cast<std::uint16_t>(member.peer_port())};
}

// Serialized envelope of a message, and the strings that are sent as header fields instead.
struct MessageHead {
  std::string head;
  std::vector<std::string> fields;

  MessageHead(std::string text = {}) : head(std::move(text)) {}  // NOLINT(google-explicit-constructor)
  MessageHead(const char* text) : head(text) {}                  // NOLINT(google-explicit-constructor)
};

enum class MeshCallOutcome {
  kAnswered,
  kNotSent,  // certainly not processed by the peer
  kBroken,   // may have been processed
};

struct MeshCallResult {
  MeshCallOutcome outcome = MeshCallOutcome::kNotSent;
  H2Message answer;
  std::string detail;
};

// A connection with calls in progress whose peer did not answer a ping in time.
struct PeerSilence {
  MeshPeerAddress peer;   // remote address; of an accepted connection this is an ephemeral port
  bool accepted = false;  // the other node opened the connection
  std::size_t calls = 0;  // calls in progress
  Duration quiet_for{};   // time since the connection last received bytes
};

// If no TCP acknowledgement arrives for this long, the network path to the peer is considered lost.
inline constexpr Duration kPeerPathLossTimeout = std::chrono::milliseconds(1500);

struct MeshPeersLimits {
  std::shared_ptr<MemoryBudget> budget;  // null: unlimited
  // Beyond these the accepted connection that has been silent for longest and has no call in progress is closed.
  std::size_t max_accepted = 1024;
};

class MeshPeers {
 public:
  using Done = std::function<void(MeshCallResult)>;
  using SilenceCallback = std::function<void()>;
  using Reply = std::function<void(MessageHead head, std::string body)>;
  struct Hooks {
    // A complete message from a peer. on_abandoned identifies the message by the same `call`.
    std::function<void(std::uint64_t call, H2Message message, Reply reply)> on_message;
    // The peer no longer waits for the answer.
    std::function<void(std::uint64_t call)> on_abandoned;
    std::function<void(const PeerSilence&)> on_silent;
    // Another hook, or the `done` of a call, has thrown; its connection is closed. May be null.
    std::function<void(std::string_view what)> on_error;
  };

  MeshPeers(asio::io_context& context,
            TimerQueue& timers,
            std::string ip,
            std::uint16_t port,
            Hooks hooks,
            MeshPeersLimits limits = {});
  ~MeshPeers();
  MeshPeers(const MeshPeers&) = delete;
  MeshPeers& operator=(const MeshPeers&) = delete;

  absl::Status Start();

  // `done` is called exactly once unless the call is cancelled, and never from within Call. Zero: no timeout.
  // `silent`, if given, is called at most once and before `done`, when the peer does not answer a ping in time; the
  // call stays in progress.
  std::uint64_t Call(const MeshPeerAddress& peer,
                     std::string_view path,
                     MessageHead head,
                     std::shared_ptr<const std::string> body,
                     Duration timeout,
                     Done done,
                     SilenceCallback silent = nullptr);
  void Cancel(std::uint64_t call);

  // Pings connections that have calls in progress but received nothing lately; must be called periodically. New calls
  // to a peer that does not answer use another connection, while calls on the silent one stay in progress.
  void OnTick(TimePoint now);
  std::size_t Connections() const { return m_outbound.size(); }
  // Bytes of all connections, framing included.
  const ByteCount& Bytes() const { return *m_bytes; }
  // Bytes of messages by request path, without framing. Answers count towards the path of their call.
  const std::map<std::string, ByteCount>& MessageBytes() const { return m_message_bytes; }

 private:
  struct PendingCall {
    std::string path;
    MessageHead head;
    std::shared_ptr<const std::string> body;
    Done done;
    SilenceCallback silent;
    std::int32_t stream = 0;
    TimerId timer = 0;
    std::uint64_t connection = 0;
  };
  // A connection that this node opened.
  struct OutboundConnection {
    MeshPeerAddress peer;
    std::shared_ptr<asio::ip::tcp::socket> connecting;
    std::shared_ptr<H2Session> session;
    std::vector<std::uint64_t> queued;
    std::unordered_map<std::int32_t, std::uint64_t> streams;
    TimerId connect_timer = 0;
    TimePoint pinged;
    PathLossDetector path{kPeerPathLossTimeout};
  };
  struct InboundConnection {
    std::shared_ptr<H2Session> session;
    std::unordered_map<std::int32_t, std::uint64_t> streams;
    TimePoint pinged;
    MeshPeerAddress peer;
    PathLossDetector path{kPeerPathLossTimeout};
  };

  void Accept();
  void ServeConnection(asio::ip::tcp::socket socket);
  // Closes the idle accepted connection that has been silent for longest. Returns false if all are in use.
  bool CloseIdlestAccepted();
  // Returns the connection for new calls to the peer, opening it if there is none.
  OutboundConnection& ConnectionTo(const MeshPeerAddress& peer, std::uint64_t* id);
  void OnConnected(std::uint64_t id, const asio::error_code& error);
  void SendOn(OutboundConnection& connection, std::uint64_t call);
  void FailConnection(std::uint64_t id, const std::string& detail);
  void EraseConnection(std::uint64_t id);
  bool IsCurrent(std::uint64_t id, const OutboundConnection& connection) const;
  // Closes the connection if new calls do not use it and no call is in progress on it.
  void CloseIfUnused(std::uint64_t id);
  void OnSilentConnection(std::uint64_t id, const PeerSilence& silence);
  void CompleteCall(std::uint64_t id, MeshCallResult result);
  H2SessionOptions SessionOptions(bool server) const;

  asio::io_context& m_context;
  TimerQueue& m_timers;
  const std::string m_ip;
  const std::uint16_t m_port;
  Hooks m_hooks;
  const MeshPeersLimits m_limits;
  bool m_accept_paused = false;  // no descriptor was left
  asio::ip::tcp::acceptor m_acceptor;
  std::unordered_map<std::uint64_t, OutboundConnection> m_outbound;
  std::map<MeshPeerAddress, std::uint64_t> m_current;  // connections for new calls
  std::unordered_map<std::uint64_t, PendingCall> m_calls;
  std::unordered_map<std::uint64_t, InboundConnection> m_inbound;
  std::uint64_t m_last_id = 0;
  TimePoint m_last_tick_at;
  TimePoint m_stall_ended_at;  // end of the last stall of this node's event loop
  std::shared_ptr<ByteCount> m_bytes = std::make_shared<ByteCount>();
  std::map<std::string, ByteCount> m_message_bytes;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_PEERS_P_H_
