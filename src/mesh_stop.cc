#include "mesh_stop_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// A stopping node accepts callers for at least this long, so that two readiness checks, a second apart, fail first.
constexpr Duration kMinServeAfterSignal = std::chrono::milliseconds(2200);
constexpr Duration kDrainCallersAfter = std::chrono::milliseconds(1900);
// New requests are refused after this time, because they could outlast the grace period.
constexpr Duration kRefuseCallersAfter = std::chrono::milliseconds(2700);
// The target's keys move away when at least this much of the grace period is left; other nodes know of it
// kHandOverPropagation later.
constexpr Duration kMinHandOverBeforeEnd = std::chrono::milliseconds(2200);
constexpr Duration kHandOverPropagation = std::chrono::milliseconds(600);
// Part of the grace period that is reserved for the last calls to the store.
constexpr Duration kStoreCallsBeforeEnd = std::chrono::milliseconds(700);

// The node exits in any case when this much of the grace period is left. The margin allows for a slightly late tick.
constexpr Duration kExitBeforeEnd = std::chrono::milliseconds(250);

// Time before the end of the grace period at which the keys move away, such that requests which arrive until the other
// nodes know of it have their objective left before the exit.
Duration HandOverBeforeEnd(Duration grace, Duration longest_work) {
  const Duration needed = kHandOverPropagation + longest_work + kStoreCallsBeforeEnd;
  return std::min(std::max(kMinHandOverBeforeEnd, needed), std::max(kMinHandOverBeforeEnd, grace * 3 / 5));
}

// Returns true only the first time that the step is due.
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
  // Connections close only after all received requests were read, unless the process is about to be killed.
  const bool may_close = !state.tick_late || elapsed > grace - kStoreCallsBeforeEnd / 2;
  steps.drain_callers = IsFirstDue(elapsed > kDrainCallersAfter && may_close, &m_drained);
  steps.refuse_callers = IsFirstDue(elapsed > kRefuseCallersAfter, &m_refuses_callers);
  // The target keeps serving through this node until the grace period is nearly over, unless it leaves or exits first.
  if (!m_handed_over_at && (!state.target_accepts || elapsed > grace - HandOverBeforeEnd(grace, state.longest_work))) {
    m_handed_over_at = now;
    steps.hand_over_keys = true;
  }
  const bool handover_known = m_handed_over_at && now - *m_handed_over_at > kHandOverPropagation;
  // Requests keep arriving if the keys have no other owner. The exit could cut off requests that started now. The time
  // also counts if a stall of this node has delayed the handover.
  const Duration refuse_before_end = HandOverBeforeEnd(grace, state.longest_work) - kHandOverPropagation;
  steps.refuse_work = IsFirstDue(handover_known || elapsed > grace - refuse_before_end, &m_refuses_work);
  const bool idle = handover_known && state.idle;
  if (!m_exit_deadline && may_close &&
      ((idle && elapsed > kMinServeAfterSignal) || elapsed > grace - kStoreCallsBeforeEnd)) {
    m_exit_deadline = std::min(now + kStoreCallsBeforeEnd / 2, *m_since + grace - kExitBeforeEnd);
    steps.notify_store = true;
    // Callers that connect in the meantime are refused instead of cut off.
    steps.refuse_callers = true;
    steps.drain_callers = true;
    return steps;
  }
  steps.end = m_exit_deadline && may_close && ((state.store_notified && idle) || now > *m_exit_deadline);
  return steps;
}

}  // namespace magnoliaarch
