// Data path of a request: ingress, routing, peer stream, egress gate and target.

#ifndef MAGNOLIAARCH_SRC_DATA_PLANE_P_H_
#define MAGNOLIAARCH_SRC_DATA_PLANE_P_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "http_ingress_p.h"
#include "magnolia.pb.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/gate.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"
#include "peer_client_p.h"
#include "peer_server_p.h"
#include "target_client_p.h"

namespace magnoliaarch {

struct DataPlaneOptions {
  IncarnationId self;
  std::string entry;  // served by the local target; empty: no local target
  HttpIngressOptions ingress;
  PeerServerOptions peer_server;  // `secret` and `self` are also used by the client
  PeerClientOptions peer_client;
  TargetClientOptions target;
  GateOptions gate;  // the concurrency limits are taken from the catalogue
  Duration probe_period = std::chrono::seconds(1);
  std::uint64_t seed = 1;
};

// Result of checking a bearer key: its workspace, or the reason why it is refused.
struct Authentication {
  std::optional<ErrorKind> refusal;
  std::string workspace;
};

// Callbacks into the other components of the node. Each one states the threads that call it; none may block.
struct DataPlaneHooks {
  // Returns the current view. All threads.
  std::function<std::shared_ptr<const View>()> view;
  // Checks the bearer key (empty if the caller sent none) for an entry that requires one. Ingress thread.
  std::function<Authentication(const View& view, const proto::EntryRecord& entry, std::string_view key)> authenticate;
  // Takes one request from the workspace's rate share. `done` may be called later and on any thread. Ingress thread.
  std::function<void(const Request& request, std::function<void(std::optional<ErrorKind>)> done)> admit;
  // Returns why the request must not be sent to the target now, or nothing if it may be sent. Egress thread.
  std::function<std::optional<ErrorKind>(const Request& request, TimePoint now)> check_ownership;
  // Repeats check_ownership immediately before the bytes are sent. If the check passes, the request counts as in flight
  // until end_send. Egress thread.
  std::function<std::optional<ErrorKind>(const Request& request, TimePoint now)> begin_send;
  std::function<void(RequestId id)> end_send;
  // Returns a number that increases each time the lease lapses. Egress thread.
  std::function<std::uint64_t()> lease_generation;
  // Fetches the current grant of this slice after a first attempt was refused with `wrong-owner`. Ingress thread.
  std::function<void(const std::string& entry, SliceHandle slice)> refresh_view;
  // Handles a control message from another node. Peer thread.
  std::function<void(const proto::PeerMessage&, std::function<void(std::optional<proto::PeerMessage>)>)> on_message;
  // Reports the result of a periodic probe of the local target. Egress thread.
  std::function<void(const TargetProbe&)> on_probe;
  // Reports an answer to a caller and the time since its request arrived. Ingress thread. May be empty.
  std::function<void(const Request& request, const Response& response, Duration latency)> on_answered;
};

class DataPlane {
 public:
  DataPlane(DataPlaneOptions options, DataPlaneHooks hooks);
  ~DataPlane();
  DataPlane(const DataPlane&) = delete;
  DataPlane& operator=(const DataPlane&) = delete;

  absl::Status Start();

  std::uint16_t IngressPort() const;
  std::uint16_t PeerPort() const;

  // Client for sending control messages to other nodes.
  PeerClient& GetPeerClient();

  // Routes waiting requests again after the view has changed. Any thread.
  void OnViewChanged();

  // Sets whether new requests to the local target are refused. Any thread.
  void SetTargetDraining(bool draining);

  // Calls `read` with the gate's state on the egress thread. Does nothing without a local target.
  void ReadGate(std::function<void(const GateCounters&, int limit, int in_flight)> read);

  // Stops accepting connections from callers and peers; requests in progress continue.
  void Drain();

  // Drains, waits up to `grace` for requests in progress, then stops all threads. Returns whether every request was
  // answered.
  bool Stop(Duration grace);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_DATA_PLANE_P_H_
