// The egress side of a node: the gate beside the local target, with its I/O.

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

// Called on the egress thread. See DataPlaneHooks.
struct EgressHooks {
  std::function<std::shared_ptr<const View>()> view;
  std::function<std::optional<ErrorKind>(const Request&, TimePoint)> check_ownership;
  std::function<std::optional<ErrorKind>(const Request&, TimePoint)> begin_send;
  std::function<void(RequestId)> end_send;
  std::function<std::uint64_t()> lease_generation;
  std::function<void(const TargetProbe&)> on_probe;
};

// All calls may come from any thread. A reply runs on the egress thread, exactly once.
class Egress {
 public:
  using Reply = std::function<void(Response)>;

  Egress(TargetClientOptions options, GateOptions gate, std::string entry, Duration probe_period, EgressHooks hooks);
  ~Egress();
  Egress(const Egress&) = delete;
  Egress& operator=(const Egress&) = delete;

  absl::Status Start();

  // False, with no reply, when the ring to the egress thread is full.
  bool OnRequest(std::shared_ptr<const Request> request, std::uint32_t attempt, Reply reply);
  bool OnQuery(RequestId id, std::uint32_t attempt, Reply reply);
  void OnCancel(RequestId id, std::uint32_t attempt);

  // Refuses new work for the target, or ends that.
  void SetDraining(bool draining);

  // The gate's counters, on the egress thread.
  void ReadCounters(std::function<void(const GateCounters&, int limit, int in_flight)> read);

  // Requests at the gate that wait for their answer.
  std::size_t PendingReplies() const;

  // Ends the thread; requests still waiting are answered as they stand (unknown or not run).
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_EGRESS_P_H_
