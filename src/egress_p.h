// Egress of a node: the gate in front of the local target, with its I/O.

#ifndef MAGNOLIAARCH_SRC_EGRESS_P_H_
#define MAGNOLIAARCH_SRC_EGRESS_P_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "absl/status/status.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/gate.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"
#include "target_client_p.h"

namespace magnoliaarch {

// Callbacks, called on the egress thread. See DataPlaneHooks.
struct EgressHooks {
  std::function<std::shared_ptr<const View>()> view;
  std::function<std::optional<ErrorKind>(const Request&, TimePoint)> check_ownership;
  std::function<std::optional<ErrorKind>(const Request&, TimePoint)> begin_send;
  std::function<void(RequestId)> end_send;
  std::function<std::uint64_t()> lease_generation;
  std::function<void(const TargetProbe&)> on_probe;
};

// All functions may be called on any thread. Each reply is called exactly once, on the egress thread or in Stop.
class Egress {
 public:
  using Reply = std::function<void(Response)>;

  Egress(TargetClientOptions options, GateOptions gate, std::string entry, Duration probe_period, EgressHooks hooks);
  ~Egress();
  Egress(const Egress&) = delete;
  Egress& operator=(const Egress&) = delete;

  absl::Status Start();

  // Returns false without calling the reply if the ring to the egress thread is full or the egress is stopping.
  bool OnRequest(std::shared_ptr<const Request> request, std::uint32_t attempt, Reply reply);
  bool OnQuery(RequestId id, std::uint32_t attempt, Reply reply);
  void OnCancel(RequestId id, std::uint32_t attempt);

  // Sets whether new requests to the target are refused.
  void SetDraining(bool draining);

  // Calls `read` with the gate's state on the egress thread.
  void ReadCounters(std::function<void(const GateCounters&, int limit, int in_flight)> read);

  // Number of requests and queries that wait for their reply.
  std::size_t PendingReplies() const;

  // Stops the thread. Requests that still wait are answered with the run state known so far (unknown or not-run).
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_EGRESS_P_H_
