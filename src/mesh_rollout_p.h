// The state machine of a roll-out: moves a service to targets of another version in steps that grow with evidence, and
// takes it back on evidence against the version. Does no I/O; the caller passes in the time and stores the result by a
// compare-and-swap.

#ifndef MAGNOLIAARCH_SRC_MESH_ROLLOUT_P_H_
#define MAGNOLIAARCH_SRC_MESH_ROLLOUT_P_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"
#include "mesh_rollout_evidence_p.h"

namespace magnoliaarch {

// Hash of a version that identifies it in load hints; 0 only for the empty version.
std::uint32_t VersionHash(std::string_view version);

bool IsFinal(proto::RolloutPhase phase);
RolloutState StateOf(proto::RolloutPhase phase);
const char* NameOf(proto::RolloutPhase phase);

// What the coordinator knows when it decides about a running roll-out.
struct RolloutInput {
  Duration elapsed{};   // since the order
  Duration in_phase{};  // since this coordinator first saw the phase
  std::vector<VersionTargetEvidence> targets;
  std::size_t foreign_ranges = 0;  // key ranges that targets of other versions own; 0 for a service that is not sharded
  RolloutBounds bounds;
  bool targets_known = true;  // all members of the service have reported lately
};

struct RolloutStep {
  proto::RolloutPhase phase = proto::ROLLOUT_EXPOSING;
  std::uint32_t step = 0;
  std::uint32_t canaries = 0;
  std::string reason;
  bool operator==(const RolloutStep&) const = default;
};

// Time whose answers count as recent in a phase. Shorter while other versions get nothing new, as only answers under
// the full load count then.
Duration EvidenceWindowOf(proto::RolloutPhase phase);

// The next step of a running roll-out, or nullopt if nothing changes.
std::optional<RolloutStep> DecideRollout(const proto::RolloutRecord& record, const RolloutInput& input);

// Share of a service's requests that the version may get in an exposure step.
double ExposureShare(std::uint32_t step, const RolloutBounds& bounds);
// Number of targets that carry with the share what each other target carries; at least two, so that trouble of a single
// one is not taken for trouble of the version.
std::uint32_t CanaryCount(double share, std::size_t other_targets);

// What an order means for the record of its service.
enum class OrderEffect {
  kNone,
  kBegin,     // starts a roll-out; there is none, or the last one has ended
  kAbandon,   // rolls the running one back, for the order is gone or names another version
  kExtend,    // the running one takes the new duration
  kWithdraw,  // marks the ended one, so that a later order with the same content starts anew
};

// `order_missing_for`: time for which the order has been missing; zero if there is one. A store that was restored from
// a copy may miss an order for some seconds.
OrderEffect EffectOfOrder(const RolloutOrder* order, const proto::RolloutRecord* record, Duration order_missing_for);

// The record of a roll-out that begins. `last`: the record of the service's last one; may be null.
proto::RolloutRecord BeginRollout(const RolloutOrder& order,
                                  const proto::RolloutRecord* last,
                                  const RolloutBounds& bounds,
                                  std::int64_t now_ms);
// Writes the step into the record. A version that is rolled back joins the rejected ones.
void ApplyStep(const RolloutStep& step, const RolloutBounds& bounds, proto::RolloutRecord* record);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_ROLLOUT_P_H_
