// HTTP/2 server for calls from other nodes.

#ifndef MAGNOLIAARCH_SRC_PEER_SERVER_P_H_
#define MAGNOLIAARCH_SRC_PEER_SERVER_P_H_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

struct PeerServerOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  std::string secret;      // cluster secret, the same on all nodes
  IncarnationId self;
  std::uint32_t max_streams = 1024;  // limit of concurrent streams per connection
  std::size_t max_connections = 4096;
  std::size_t max_message_bytes = 64 << 20;  // envelope and body of one message
  Duration handshake_timeout = std::chrono::seconds(5);
};

// Callbacks run on the io_context's thread and must not block. Each reply function must be called exactly once, from
// any thread.
struct PeerServerHooks {
  // Called for each complete request that is addressed to this incarnation.
  std::function<void(Request, std::uint32_t attempt, std::function<void(Response)>)> on_request;
  // Called when a client asks for the outcome of a request. The query covers all attempts up to `attempt`.
  std::function<void(RequestId, std::uint32_t attempt, std::function<void(Response)>)> on_query;
  // Called when a client no longer needs the response to this attempt.
  std::function<void(RequestId, std::uint32_t attempt)> on_cancel;
  // Called for each control message. The reply may be nullopt.
  std::function<void(const proto::PeerMessage&, std::function<void(std::optional<proto::PeerMessage>)>)> on_message;
};

// Runs on the given io_context, which must run on a single thread.
class PeerServer {
 public:
  PeerServer(asio::io_context& context, PeerServerOptions options, PeerServerHooks hooks);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Binds the port and starts accepting. Fails with kInvalidArgument if the secret is empty and kUnavailable if the
  // port cannot be bound.
  absl::Status Start();

  std::uint16_t Port() const;

  // Stops accepting and sends GOAWAY on every connection, so that clients open new streams elsewhere; streams in
  // progress continue. Thread-safe.
  void Drain();

  // Number of streams in progress. Thread-safe.
  std::size_t InProgress() const;

  // Number of open connections. Thread-safe. After Drain a client closes its connection once it has all responses.
  std::size_t Connections() const;

  // Closes all connections. Call on the io_context's thread or after it has stopped.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_PEER_SERVER_P_H_
