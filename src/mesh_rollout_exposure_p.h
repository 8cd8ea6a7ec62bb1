// Exposure of a service's versions at one node: which targets a request may go to under the record of the roll-out, and
// how many requests the node may still send to the version. Does no I/O; the caller passes in the time.

#ifndef MAGNOLIAARCH_SRC_MESH_ROLLOUT_EXPOSURE_P_H_
#define MAGNOLIAARCH_SRC_MESH_ROLLOUT_EXPOSURE_P_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"
#include "mesh_rollout_evidence_p.h"

namespace magnoliaarch {

// How a send to a target has ended, for the exposure.
enum class VersionSendEnd {
  kNotReached,  // the target has not got the request
  kRejected,    // the target got it and did not run it
  kServed,
  kFailed,  // a server error, or no usable answer
};

// A target of the service, as this node knows it.
struct ExposureTarget {
  std::string node;
  std::uint32_t version = 0;  // hash
  bool accepts = false;
};

class RolloutExposure {
 public:
  // Takes the newest order and record of the service; either may be null. Never raises the exposure beyond the record.
  // `first_credit`: from 0 to 1, what this node starts with if it sees the roll-out begin. Without it, nodes that get
  // few requests would all earn their first send late, and at the same time.
  void Update(const RolloutOrder* order, const proto::RolloutRecord* record, double first_credit = 0);
  // Picks the canaries among the service's targets. All nodes pick the same ones from the same targets.
  void SetTargets(std::vector<ExposureTarget> targets);
  // The coordinator's reply to this node's report: whether the exposure must stop although the record allows it.
  void OnDecider(TimePoint now, bool stopped);

  // Whether a request may be sent to a target of this version (hash). Any target of the version that is in roll-out
  // counts as a canary if `any_target`; so it is for keyed requests, which have only one target.
  bool Admits(TimePoint now, std::uint32_t version, const std::string& node, bool any_target) const;
  // Factor of a target's cost in the choice among the admitted ones.
  double CostFactor(std::uint32_t version) const;

  // Each send to a target of the service, and its end.
  void OnSend(std::uint32_t version);
  void OnSendEnded(std::uint32_t version, VersionSendEnd end);

  bool IsCandidate(std::uint32_t version) const { return version != 0 && version == m_version; }
  // Whether a target of this version may serve at all: false after a verdict against the version.
  bool MayServe(std::uint32_t version) const;
  double Credit() const { return m_credit; }
  std::uint64_t Exposed() const { return m_exposed; }

 private:
  bool IsStopped(TimePoint now) const;

  std::uint32_t m_version = 0;  // hash of the version in roll-out; 0: none
  bool m_saw_order = false;     // an order without its record has been seen, so that the record is a new one
  bool m_has_record = false;    // the record is about this version
  proto::RolloutPhase m_phase = proto::ROLLOUT_EXPOSING;
  double m_share = 0;
  std::uint32_t m_canary_count = 0;
  std::set<std::uint32_t> m_rejected;
  std::set<std::string> m_canaries;
  double m_credit = 0;
  std::uint64_t m_exposed = 0;  // sends to the version that have reached a target, or may have
  bool m_stopped = false;
  TimePoint m_heard_at;
  RolloutTally m_own_version;  // ends of this node's own sends
  RolloutTally m_own_others;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_ROLLOUT_EXPOSURE_P_H_
