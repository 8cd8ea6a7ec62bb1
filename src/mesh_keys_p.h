// Assigns the keys of a sharded service to targets and moves them on load imbalance, loss of targets and drains. Does
// no I/O; the caller applies every change by a compare-and-swap in the store.

#ifndef MAGNOLIAARCH_SRC_MESH_KEYS_P_H_
#define MAGNOLIAARCH_SRC_MESH_KEYS_P_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

// Measures the request rate of each key with exponential decay.
class KeyLoadMeter {
 public:
  void OnRequest(TimePoint now, std::uint32_t key);
  // Returns the load of a range in thousandths of a request per second, with split keys that divide it into pieces of
  // about equal load.
  proto::RangeLoad Measure(TimePoint now, std::uint32_t first, std::uint32_t last);
  // Makes Measure correct the rates for the time before the first request, in which the average had nothing to count.
  void CorrectStart(bool correct) { m_corrects_start = correct; }
  // Seconds of requests that the rates are averages of; zero if they are not corrected for the start.
  double WindowS(TimePoint now) const;

 private:
  void Decay(TimePoint now);

  std::map<std::uint32_t, double> m_counts;
  TimePoint m_last_decay_at;
  TimePoint m_first_request_at;
  bool m_corrects_start = false;
};

// A target that can own keys of the service.
struct KeyTarget {
  proto::TargetLife life;
  bool accepts = false;  // may receive keys
  bool leaving = false;  // must hand over its keys
  bool cold = false;
  double slots = 1;
  double service_s = 0.05;  // mean service time of a request
  double offered = 0;       // requests per second that arrive for its keys
  // Seconds of requests that the rates are averages of. Zero: of the full time constant, and keys move one part at a
  // time, because rates of a shorter time are too low.
  double window_s = 0;
  std::vector<proto::RangeLoad> loads;

  double Capacity() const { return slots / std::max(service_s, 1e-3); }
  double Utilization() const { return offered / Capacity(); }
};

struct KeyPlanInput {
  TimePoint now;
  std::map<std::string, KeyTarget> targets;  // by node; only the target's current process
  std::set<std::string> lost_nodes;          // nodes whose lease has ended, so that their grants have lapsed
  std::set<std::string> ended_targets;       // nodes whose reported target process has ended
};

struct KeyPlan {
  bool changed = false;
  proto::KeyTable table;
  // Nodes that lost keys because they have no lease. The change is valid only while they have no member record.
  std::set<std::string> required_absent;
  std::string reason;
};

// Plans key ownership. Keeps rebalancing state between plans.
class KeyPlanner {
 public:
  // Returns the next table, or a plan without changes.
  KeyPlan Plan(const KeyPlanInput& input, const proto::KeyTable& table);

 private:
  void AssignInitial(const KeyPlanInput& input, KeyPlan* plan);
  void ReassignLost(const KeyPlanInput& input, KeyPlan* plan);
  void MoveFromLeaving(const KeyPlanInput& input, KeyPlan* plan);
  void Balance(const KeyPlanInput& input, KeyPlan* plan);
  void MergeRanges(const KeyPlanInput& input, KeyPlan* plan);
  // Sets the utilization goal of each target, such that requests wait equally long at all targets.
  void ComputeUtilizationGoals(const KeyPlanInput& input);
  // Returns the target's utilization with the added rate (requests per second), minus its goal.
  double ExcessUtilization(const KeyTarget& target, double more) const;
  // Returns the target that is furthest below its goal with the added rate; null if no target accepts keys.
  const KeyTarget* LeastUtilized(const KeyPlanInput& input, double more, const std::string& except) const;
  // Counts the rate of moved keys for their new node until its reports include it.
  void AddExpectedLoad(const std::string& node, double rate, TimePoint now);

  struct ExpectedLoad {
    std::string node;
    double rate = 0;
    TimePoint planned_at;
  };

  std::map<std::string, double> m_projected_rates;    // requests per second by node, including planned moves
  std::map<std::string, double> m_utilization_goals;  // by node
  std::vector<ExpectedLoad> m_expected_loads;         // moves whose load the reports do not include yet
  std::map<std::string, TimePoint> m_last_move_at;    // last balancing move away from each node
  TimePoint m_last_merge_at;
};

// Converts a table to its stored form and back.
std::string PackTable(const proto::KeyTable& table);
bool UnpackTable(std::string_view packed, proto::KeyTable* table);

// Makes the successor the owner of a released range, with a higher fence. Returns false if the table no longer contains
// a range with these keys, this owner, this fence and a successor.
bool CompleteMove(proto::KeyTable* table,
                  const proto::TargetLife& owner,
                  std::uint32_t first,
                  std::uint32_t last,
                  std::uint64_t fence,
                  const std::string& handover);

// Raises the fences of ranges whose grants a target has refused because it has seen higher ones. Returns whether the
// table has changed.
bool RaiseFences(proto::KeyTable* table, const proto::TargetLife& owner, const std::set<std::uint64_t>& refused_fences);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_KEYS_P_H_
