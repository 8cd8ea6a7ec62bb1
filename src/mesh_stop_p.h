// The steps of a planned stop. Pure decisions: time and state are passed in, each step is told once.

#ifndef MAGNOLIAARCH_SRC_MESH_STOP_P_H_
#define MAGNOLIAARCH_SRC_MESH_STOP_P_H_

#include <optional>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// What a stopping node knows of itself.
struct StopState {
  bool target_accepts = false;  // its target could take work
  bool idle = false;            // no request of callers or at the target is in progress
  bool store_notified = false;  // the goodbye to the store has ended
  bool tick_late = false;       // this turn of the loop came late: requests may lie unread
};

// What is to be done now, in this order.
struct StopSteps {
  bool drain_callers = false;   // kept connections end after their answers
  bool refuse_callers = false;  // requests that begin now could outlast the grace
  bool hand_over_keys = false;  // the target's keys move away, and other nodes stop choosing it
  bool refuse_work = false;     // nothing new is sent to the target
  bool notify_store = false;    // the node says goodbye
  bool end = false;
};

class PlannedStop {
 public:
  void Begin(TimePoint now) { m_since = now; }
  bool Begun() const { return m_since.has_value(); }
  bool HasHandedOver() const { return m_handed_over_at.has_value(); }
  // `grace`: time from the signal until the process is killed.
  StopSteps Step(TimePoint now, Duration grace, const StopState& state);

 private:
  std::optional<TimePoint> m_since;
  std::optional<TimePoint> m_handed_over_at;
  std::optional<TimePoint> m_end_by;  // set when the store is being told
  bool m_drained = false;
  bool m_refuses_callers = false;
  bool m_refuses_work = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_STOP_P_H_
