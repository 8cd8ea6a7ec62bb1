// State machine of a planned stop. It has no side effects: time and state are passed in, and each step is returned
// once.

#ifndef MAGNOLIAARCH_SRC_MESH_STOP_P_H_
#define MAGNOLIAARCH_SRC_MESH_STOP_P_H_

#include <optional>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// State of a stopping node.
struct StopState {
  bool target_accepts = false;  // the target can take requests
  bool idle = false;            // no request of a caller or at the target is in progress
  bool store_notified = false;  // the lease was revoked, or its renewal stopped
  bool tick_late = false;       // this tick came late: requests may be waiting unread in sockets
  Duration longest_work{};      // longest latency objective of the requests at the target
};

// Steps to take now, in this order.
struct StopSteps {
  bool drain_callers = false;   // keep-alive connections close after their current answers
  bool refuse_callers = false;  // refuse new requests, which could outlast the grace period
  bool hand_over_keys = false;  // move the target's keys away and tell other nodes not to choose it
  bool refuse_work = false;     // send no new requests to the target
  bool notify_store = false;    // revoke the lease, or stop renewing it
  bool end = false;
};

class PlannedStop {
 public:
  void Begin(TimePoint now) { m_since = now; }
  bool Begun() const { return m_since.has_value(); }
  bool HasHandedOver() const { return m_handed_over_at.has_value(); }
  // `grace` is the time between the signal and the kill of the process.
  StopSteps Step(TimePoint now, Duration grace, const StopState& state);

 private:
  std::optional<TimePoint> m_since;
  std::optional<TimePoint> m_handed_over_at;
  std::optional<TimePoint> m_exit_deadline;  // set with notify_store
  bool m_drained = false;
  bool m_refuses_callers = false;
  bool m_refuses_work = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_STOP_P_H_
