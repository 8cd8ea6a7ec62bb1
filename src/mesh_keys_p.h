// Which target owns which keys of a sharded service, and how that changes with load, loss and planned work. Pure
// decisions: the caller makes every change by a compare-and-swap in the store.

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

// Request rates of single keys, with exponential decay.
class KeyLoadMeter {
 public:
  void OnRequest(TimePoint now, std::uint32_t key);
  // Load of a range in requests a second, with keys that part it into pieces of equal load.
  proto::RangeLoad Measure(TimePoint now, std::uint32_t first, std::uint32_t last);

 private:
  void Decay(TimePoint now);

  std::map<std::uint32_t, double> m_counts;
  TimePoint m_last_decay_at;
};

// A target that can own keys of the service.
struct KeyTarget {
  proto::TargetLife life;
  bool accepts = false;  // may get more keys
  bool leaving = false;  // must give its keys away
  bool cold = false;
  double slots = 1;
  double service_s = 0.05;  // mean time of one request
  double offered = 0;       // requests a second that arrive for its keys
  std::vector<proto::RangeLoad> loads;

  double Capacity() const { return slots / std::max(service_s, 1e-3); }
  double Utilization() const { return offered / Capacity(); }
};

struct KeyPlanInput {
  TimePoint now;
  std::map<std::string, KeyTarget> targets;  // by node: the present life of each
  std::set<std::string> lost_nodes;          // whose lease has ended: their grants have lapsed
  std::set<std::string> ended_targets;       // nodes whose reported target life has certainly ended
};

struct KeyPlan {
  bool changed = false;
  proto::KeyTable table;
  // Nodes that lost keys because they have no lease: the change holds only while they have none.
  std::set<std::string> required_absent;
  std::string reason;
};

// Rebalancing state that outlives one plan.
class KeyPlanner {
 public:
  // The next table, or no change.
  KeyPlan Plan(const KeyPlanInput& input, const proto::KeyTable& table);

 private:
  void AssignInitial(const KeyPlanInput& input, KeyPlan* plan);
  void ReassignLost(const KeyPlanInput& input, KeyPlan* plan);
  void MoveFromLeaving(const KeyPlanInput& input, KeyPlan* plan);
  void Balance(const KeyPlanInput& input, KeyPlan* plan);
  void MergeRanges(const KeyPlanInput& input, KeyPlan* plan);
  // Sets the use that each target should have, so that requests wait equally long at all.
  void ComputeUtilizationGoals(const KeyPlanInput& input);
  // By how much the use of a target with this much more exceeds its aim.
  double ExcessUtilization(const KeyTarget& target, double more) const;
  // The target furthest below its aim after it gets this rate.
  const KeyTarget* LeastUtilized(const KeyPlanInput& input, double more, const std::string& except) const;
  // Counts keys of this rate for the node that gets them, until its own reports do.
  void AddExpectedLoad(const std::string& node, double rate, TimePoint now);

  struct ExpectedLoad {
    std::string node;
    double rate = 0;
    TimePoint planned_at;
  };

  std::map<std::string, double> m_projected_rates;    // requests a second by node, with the moves planned now
  std::map<std::string, double> m_utilization_goals;  // use by node
  std::vector<ExpectedLoad> m_expected_loads;         // of moves whose load the reports do not show yet
  std::map<std::string, TimePoint> m_last_move_at;    // last balancing move from a node
  TimePoint m_last_merge_at;
};

// The stored form of a table and back.
std::string PackTable(const proto::KeyTable& table);
bool UnpackTable(std::string_view packed, proto::KeyTable* table);

// Moves a range that its owner has released: the successor owns it with a higher fence. False when the table no longer
// says that this owner gives the range away.
bool CompleteMove(proto::KeyTable* table,
                  const proto::TargetLife& owner,
                  std::uint32_t first,
                  std::uint32_t last,
                  std::uint64_t fence,
                  const std::string& handover);

// Raises the fence of ranges whose grants a target refused because it has seen a higher one. Returns whether anything
// changed.
bool RaiseFences(proto::KeyTable* table, const proto::TargetLife& owner, const std::set<std::uint64_t>& refused_fences);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_KEYS_P_H_
