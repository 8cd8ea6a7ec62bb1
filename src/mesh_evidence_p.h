// Evidence about a single target: which share of the requests sent to it ends well. Does no I/O; the caller passes in
// the time.

#ifndef MAGNOLIAARCH_SRC_MESH_EVIDENCE_P_H_
#define MAGNOLIAARCH_SRC_MESH_EVIDENCE_P_H_

#include <cstdint>
#include <map>
#include <string>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// How a request that was sent to a target ended.
enum class SendEnd {
  kServed,
  kShed,    // the target states that it did not run the request
  kFailed,  // a server error or no usable answer
  kHung,    // no answer until the deadline
};

// Counts of recent ends at one target. Older ends count less; without new ones a target counts as sound again, so that
// it gets requests that show whether it has recovered.
class TargetEvidence {
 public:
  void OnEnd(SendEnd end, TimePoint now);
  // Estimated share of requests that end well, from 0 to 1.
  double GoodShare(TimePoint now) const;
  // Recent ends that were not good; older ones count less.
  double Bad(TimePoint now) const;

 private:
  double Decay(TimePoint now) const;

  double m_good = 0;
  double m_bad = 0;
  TimePoint m_updated_at;
};

// Evidence of one node about the targets of other nodes, and what their own nodes report of them. Answers targets that
// shed or fail while their health check is good: a target costs as much more as it needs more sends until one ends
// well.
class EvidenceTable {
 public:
  void OnEnd(const std::string& node, SendEnd end, TimePoint now) { m_own[node].OnEnd(end, now); }
  // Takes the time from a send to its answer, and the part of it that the target took.
  void OnTimes(const std::string& node, Duration elapsed, Duration service, TimePoint now);
  // Takes the share in thousandths that the node next to the target reports; 0: the target is sound.
  void OnReported(const std::string& node, std::uint32_t good_permille, TimePoint now);
  // Factor of the expected response time of a node's target; at least 1.
  double CostFactor(const std::string& node, TimePoint now) const;
  double GoodShare(const std::string& node, TimePoint now) const;

 private:
  struct Reported {
    double good_share = 1;
    TimePoint at;
  };
  // Moving averages in seconds.
  struct Times {
    double elapsed_s = 0;
    double service_s = 0;
    TimePoint at;
  };
  // Time until an answer arrives, as a multiple of the target's service time; at least 1.
  double PathFactor(const std::string& node, TimePoint now) const;

  std::map<std::string, TargetEvidence> m_own;
  std::map<std::string, Times> m_times;
  std::map<std::string, Reported> m_reported;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_EVIDENCE_P_H_
