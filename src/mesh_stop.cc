#include "mesh_stop_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// A stopping node still takes callers for this long: two missed readiness checks, a second apart.
constexpr Duration kMinServeAfterSignal = std::chrono::milliseconds(2200);
constexpr Duration kDrainCallersAfter = std::chrono::milliseconds(1900);
// Callers that still come after this time are refused: their requests could outlast the grace.
constexpr Duration kRefuseCallersAfter = std::chrono::milliseconds(2700);
// Time left of the grace when the target's keys start to move away, and the time until other nodes know.
constexpr Duration kHandOverBeforeEnd = std::chrono::milliseconds(2200);
constexpr Duration kHandOverPropagation = std::chrono::milliseconds(600);
// Time left of the grace for the last calls to the store.
constexpr Duration kStoreCallsBeforeEnd = std::chrono::milliseconds(700);

// Time left of the grace at which the node ends in any case. A turn may come a little late.
constexpr Duration kExitBeforeEnd = std::chrono::milliseconds(250);

// True the first time that a step is due.
bool IsFirstDue(bool due, bool* done) {
  return due && !std::exchange(*done, true);
}

}  // namespace

StopSteps PlannedStop::Step(TimePoint now, Duration grace, const StopState& state) {
  StopSteps steps;
  if (!m_since) {
    return steps;
  }
  const Duration elapsed = now - *m_since;
  // Connections close only when all that has arrived was read, unless the process would be killed soon.
  const bool may_close = !state.tick_late || elapsed > grace - kStoreCallsBeforeEnd / 2;
  steps.drain_callers = IsFirstDue(elapsed > kDrainCallersAfter && may_close, &m_drained);
  steps.refuse_callers = IsFirstDue(elapsed > kRefuseCallersAfter, &m_refuses_callers);
  // The target serves on through this node until the grace is nearly over, unless it leaves or ends itself.
  if (!m_handed_over_at && (!state.target_accepts || elapsed > grace - kHandOverBeforeEnd)) {
    m_handed_over_at = now;
    steps.hand_over_keys = true;
  }
  const bool handover_known = m_handed_over_at && now - *m_handed_over_at > kHandOverPropagation;
  // Without another owner requests go on to arrive; those that began now could be cut by the end.
  steps.refuse_work = IsFirstDue(handover_known, &m_refuses_work);
  const bool idle = handover_known && state.idle;
  if (!m_end_by && may_close && ((idle && elapsed > kMinServeAfterSignal) || elapsed > grace - kStoreCallsBeforeEnd)) {
    m_end_by = std::min(now + kStoreCallsBeforeEnd / 2, *m_since + grace - kExitBeforeEnd);
    steps.notify_store = true;
    // A caller that comes meanwhile is refused, not cut.
    steps.refuse_callers = true;
    steps.drain_callers = true;
    return steps;
  }
  steps.end = m_end_by && may_close && ((state.store_notified && idle) || now > *m_end_by);
  return steps;
}

}  // namespace magnoliaarch
