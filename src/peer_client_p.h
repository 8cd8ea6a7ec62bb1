// HTTP/2 client for calls to other nodes.

#ifndef MAGNOLIAARCH_SRC_PEER_CLIENT_P_H_
#define MAGNOLIAARCH_SRC_PEER_CLIENT_P_H_

#include <asio.hpp>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Address on which a node listens for its peers, and the incarnation of its process that is addressed.
struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;
  IncarnationId incarnation;
  auto operator<=>(const PeerAddress&) const = default;
};

enum class PeerOutcome {
  kAnswered,
  kNotSent,  // definitely not processed by the peer
  kBroken,   // may have been processed
};

struct PeerResult {
  PeerOutcome outcome = PeerOutcome::kNotSent;
  Response response;   // kAnswered only
  std::string detail;  // why there is no response
};

// One attempt of a request.
struct PeerCall {
  std::shared_ptr<const Request> request;
  std::uint32_t attempt = 1;
  std::uint64_t epoch = 0;  // epoch of the ownership grant used to route the attempt
  // Set when the last bytes of the request are passed to the socket. May be null.
  std::shared_ptr<std::atomic<bool>> sent;
};

struct PeerMessageResult {
  PeerOutcome outcome = PeerOutcome::kNotSent;
  std::optional<proto::PeerMessage> reply;
  std::string detail;
};

struct PeerClientOptions {
  std::string secret;
  IncarnationId self;
  std::size_t max_streams = 1024;            // limit of outstanding streams per peer
  std::size_t max_message_bytes = 64 << 20;  // envelope and body of one response
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration idle_timeout = std::chrono::seconds(60);
  // Minimum delay before the next connection attempt to a peer after a failed one.
  Duration reconnect_delay = std::chrono::milliseconds(100);
};

// Keeps one connection per peer. Thread-safe unless noted; each call's result is delivered exactly once, on the
// io_context's thread, at the latest shortly after the call's deadline.
class PeerClient {
 public:
  PeerClient(asio::io_context& context, PeerClientOptions options);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends a request to the owner's node, with the time left until its deadline.
  void Send(const PeerAddress& peer, PeerCall call, std::function<void(PeerResult)> done);

  // Cancels an attempt that is not completely sent; the attempt then ends with kNotSent. A completely sent attempt
  // continues. Call after Send.
  void CancelUnsent(RequestId id, std::uint32_t attempt);

  // Asks the addressed incarnation for the outcome of a request. The query covers all attempts up to `attempt`; the
  // peer will reject those that it has not received so far.
  void Query(const PeerAddress& peer,
             RequestId id,
             std::uint32_t attempt,
             Duration timeout,
             std::function<void(PeerResult)> done);

  // Tells the peer that the response to this attempt is no longer needed. There is no result.
  void Cancel(const PeerAddress& peer, RequestId id, std::uint32_t attempt);

  // Sends a control message; the result contains the peer's reply, if any.
  void SendMessage(const PeerAddress& peer,
                   proto::PeerMessage message,
                   Duration timeout,
                   std::function<void(PeerMessageResult)> done);

  // Number of open connections. Thread-safe.
  std::size_t Connections() const;

  // Closes all connections and ends every call in progress. Call on the io_context's thread or after it has stopped.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_PEER_CLIENT_P_H_
