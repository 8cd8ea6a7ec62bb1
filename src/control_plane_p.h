// Control plane of a node: view, ownership lease, witness, roles, slice assignment and admission shares.

#ifndef MAGNOLIAARCH_SRC_CONTROL_PLANE_P_H_
#define MAGNOLIAARCH_SRC_CONTROL_PLANE_P_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/settings.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"
#include "ownership_guard_p.h"
#include "share_service_p.h"

namespace magnoliaarch {

struct ControlPlaneOptions {
  NodeSettings settings;
  IncarnationId self;
  // Ports bound by the other components, for the member record.
  std::uint16_t ingress_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t admin_port = 0;
  std::uint64_t seed = 1;
};

// Callbacks into the other components of the node. They run on the control thread and must not block.
struct ControlPlaneHooks {
  std::function<void(std::shared_ptr<const View>)> on_view;
  // Sends a message that is too large for a datagram over a peer stream.
  std::function<void(const proto::MemberRecord& to, proto::PeerMessage)> send_stream;
  // Called when this incarnation was fenced and can no longer own slices. The node must restart with a new incarnation.
  std::function<void()> on_fenced;
};

// State of the control plane, for the admin port and tests.
struct ControlStatus {
  bool registered = false;
  bool lease_held = false;
  Duration lease_left{};
  bool accepts_keys = false;
  std::optional<Duration> view_age;
  std::int64_t view_revision = 0;
  bool is_watcher = false;
  int domains_reporting_outage = 0;
  std::size_t owned_slots = 0;
  std::vector<std::string> roles;
  std::vector<std::string> takeovers;
};

class ControlPlane {
 public:
  ControlPlane(ControlPlaneOptions options,
               ControlPlaneHooks hooks,
               OwnershipGuard* ownership,
               ShareService* shares,
               MetricsRegistry* metrics);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  // Binds the lease port and starts the threads `control`, `store` and, while this node is a watcher, `watch`. Returns
  // InvalidArgument if the configured IP address is invalid and Unavailable if the port cannot be bound.
  absl::Status Start();

  // Handles a control message received on a peer stream. Any thread.
  void OnStreamMessage(proto::PeerMessage message);

  // Requests newer view records from the owner's node after a wrong-owner refusal. Any thread.
  void RefreshViewFrom(const std::string& node);

  // Whether the view is fresh enough to accept workspace keys. Any thread.
  bool AcceptsWorkspaceKeys() const;

  // Returns the current state. Waits for the control thread and must not be called on it.
  ControlStatus Status();

  // Marks the member as draining, so that its slices move to other members. Any thread.
  void Drain();

  // Whether a draining member may stop: no slice record names it and no owner lists it as a witness. Any thread.
  bool IsDrained() const;

  // Releases all roles, marks the member as gone and stops all threads.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_CONTROL_PLANE_P_H_
