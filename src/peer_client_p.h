// HTTP/2 client towards other nodes.

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

// Where a node listens for other nodes, and the run of its process that is meant.
struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;
  IncarnationId incarnation;
  auto operator<=>(const PeerAddress&) const = default;
};

enum class PeerOutcome {
  kAnswered,
  kNotSent,  // certainly not processed by the peer
  kBroken,   // may have been processed
};

struct PeerResult {
  PeerOutcome outcome = PeerOutcome::kNotSent;
  Response response;   // kAnswered only
  std::string detail;  // why there is no answer
};

// One attempt of a request.
struct PeerCall {
  std::shared_ptr<const Request> request;
  std::uint32_t attempt = 1;
  std::uint64_t epoch = 0;  // of the ownership grant that the attempt was routed by
  // Set when the last bytes of the request may have left this node. May be null.
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
  std::size_t max_streams = 1024;            // outstanding streams per peer
  std::size_t max_message_bytes = 64 << 20;  // envelope and body of one answer
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration idle_timeout = std::chrono::seconds(60);
  // Shortest time between two connection attempts to a peer that did not answer.
  Duration reconnect_delay = std::chrono::milliseconds(100);
};

// Keeps one connection per peer. All calls may come from any thread; results arrive on the context's thread, exactly
// once for each call, at the latest shortly after its deadline.
class PeerClient {
 public:
  PeerClient(asio::io_context& context, PeerClientOptions options);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends a request to the owner's node. The time left until its deadline travels with it.
  void Send(const PeerAddress& peer, PeerCall call, std::function<void(PeerResult)> done);

  // Stops the sending of an attempt, which then ends as not sent. One that was sent whole goes on. Call after Send.
  void CancelUnsent(RequestId id, std::uint32_t attempt);

  // Asks the same incarnation what became of a request's attempts up to this one; the peer bars what it never saw.
  void Query(const PeerAddress& peer,
             RequestId id,
             std::uint32_t attempt,
             Duration timeout,
             std::function<void(PeerResult)> done);

  // Tells the peer that the answer to this attempt is no longer wanted. No result.
  void Cancel(const PeerAddress& peer, RequestId id, std::uint32_t attempt);

  // Sends a control message; the reply, if the peer gives one, is in the result.
  void SendMessage(const PeerAddress& peer,
                   proto::PeerMessage message,
                   Duration timeout,
                   std::function<void(PeerMessageResult)> done);

  // Open connections, from any thread.
  std::size_t Connections() const;

  // Closes all connections and ends every call in progress. Call on the context's thread, or after the context has
  // stopped.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_PEER_CLIENT_P_H_
