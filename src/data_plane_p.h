// The path of a request: ingress, routing, peer stream, egress gate, target.

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
  std::string entry;  // that the local target serves; empty: none
  HttpIngressOptions ingress;
  PeerServerOptions peer_server;  // `secret` and `self` are also used by the client
  PeerClientOptions peer_client;
  TargetClientOptions target;
  GateOptions gate;  // the limits come from the catalogue
  Duration probe_period = std::chrono::seconds(1);
  std::uint64_t seed = 1;
};

// The workspace that a bearer key belongs to, or why it is refused.
struct Authentication {
  std::optional<ErrorKind> refusal;
  std::string workspace;
};

// The outside world of the data plane. Each hook states the threads that call it; none may block.
struct DataPlaneHooks {
  // The current view. All threads.
  std::function<std::shared_ptr<const View>()> view;
  // Checks the bearer key (empty: none was given) for an entry that needs one. Ingress thread.
  std::function<Authentication(const View& view, const proto::EntryRecord& entry, std::string_view key)> authenticate;
  // Takes one request from the workspace's share; the result may come later and from any thread. Ingress thread.
  std::function<void(const Request& request, std::function<void(std::optional<ErrorKind>)> done)> admit;
  // Why the request may not be sent to the target now, if so. Egress thread.
  std::function<std::optional<ErrorKind>(const Request& request, TimePoint now)> check_ownership;
  // The same check, last before the bytes are sent; the request counts as in flight until end_send. Egress thread.
  std::function<std::optional<ErrorKind>(const Request& request, TimePoint now)> begin_send;
  std::function<void(RequestId id)> end_send;
  // Grows each time the lease lapsed. Egress thread.
  std::function<std::uint64_t()> lease_generation;
  // A first attempt met `wrong-owner`: fetch the grant of this slice on demand. Ingress thread.
  std::function<void(const std::string& entry, SliceHandle slice)> refresh_view;
  // A control message from another node. Peer thread.
  std::function<void(const proto::PeerMessage&, std::function<void(std::optional<proto::PeerMessage>)>)> on_message;
  // Result of the periodic probe of the local target. Egress thread.
  std::function<void(const TargetProbe&)> on_probe;
  // An answer was given to a caller, this long after its request arrived. Ingress thread. May be empty.
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

  // Client for control messages to other nodes.
  PeerClient& GetPeerClient();

  // The view has changed: held requests look for a route again. Any thread.
  void OnViewChanged();

  // The local target refuses new work, or takes it again. Any thread.
  void SetTargetDraining(bool draining);

  // Calls the function with the gate's state on the egress thread; not at all without a local target.
  void ReadGate(std::function<void(const GateCounters&, int limit, int in_flight)> read);

  // Stops accepting callers and peers; requests in progress continue.
  void Drain();

  // Drains, waits for requests in progress at most this long, then ends all threads. Returns whether everything was
  // answered.
  bool Stop(Duration grace);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_DATA_PLANE_P_H_
