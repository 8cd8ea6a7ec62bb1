// Evidence about versions of a service: answers by route, counted beside each target and compared at the coordinator.
// Does no I/O; the caller passes in the time.

#ifndef MAGNOLIAARCH_SRC_MESH_ROLLOUT_EVIDENCE_P_H_
#define MAGNOLIAARCH_SRC_MESH_ROLLOUT_EVIDENCE_P_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"

namespace magnoliaarch {

// Answers to requests of one route.
struct RolloutTally {
  std::uint64_t answers = 0;   // requests that ran, failures included
  std::uint64_t failures = 0;  // server errors and missing answers
  std::uint64_t timed = 0;     // answers whose times count: no failures, and not of a cold target
  double service_s = 0;        // sum of their times

  RolloutTally& operator+=(const RolloutTally& other);
  double FailureRate() const { return answers > 0 ? static_cast<double>(failures) / static_cast<double>(answers) : 0; }
  double MeanSeconds() const { return timed > 0 ? service_s / static_cast<double>(timed) : 0; }
  bool operator==(const RolloutTally&) const = default;
};

using RouteTallies = std::map<std::string, RolloutTally>;  // by route

// Sums of all routes.
RolloutTally Sum(const RouteTallies& routes);

// Counts the answers of the local target, for its node's reports.
class EvidenceCounter {
 public:
  void OnAnswer(const std::string& route, bool failed, Duration service);
  // Forgets the counts: another life of the target has begun.
  void Reset() { m_routes.clear(); }
  void Fill(proto::VersionEvidence* evidence) const;

 private:
  struct RouteCount {
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
    std::uint64_t service_us = 0;
  };
  std::map<std::string, RouteCount> m_routes;
};

// What the coordinator learns of one target from the counts in its reports.
class EvidenceWindow {
 public:
  // Takes the counts of a report. They may have started again from zero. `counts_from_start`: the first report's counts
  // are evidence too; otherwise only what is counted after it.
  void Update(TimePoint now, const proto::VersionEvidence& counts, bool cold, bool counts_from_start);
  // Answers of the last `window`, at most kEvidenceWindow, and of all the time.
  RouteTallies Recent(TimePoint now, Duration window) const;
  std::map<std::int64_t, RouteTallies> RecentSlices(TimePoint now) const;
  const RouteTallies& Total() const { return m_total; }

 private:
  struct Slice {
    TimePoint since;
    RouteTallies routes;
  };
  std::map<std::string, proto::RouteEvidence> m_last;
  bool m_has_last = false;
  std::deque<Slice> m_slices;
  RouteTallies m_total;
};

// Versions are compared by their answers within this time, so that trouble that strikes both counts for both.
inline constexpr Duration kEvidenceWindow = std::chrono::seconds(3);

// One target of the service, with its evidence.
struct VersionTargetEvidence {
  std::string node;
  bool candidate = false;  // runs the version that is rolled out
  bool accepts = false;
  bool cold = false;
  double slots = 1;
  std::uint32_t running = 0;  // requests in progress
  RouteTallies recent;
  std::map<std::int64_t, RouteTallies> slices;  // of the recent answers, by the number of the half second
  RouteTallies total;
};

// Evidence of a roll-out as an operator sees it; known at the coordinator only.
struct RolloutEvidenceRow {
  std::string route;
  bool candidate = false;
  RolloutTally tally;
};

enum class VersionVerdict { kUndecided, kProven, kFailing, kSlow };

struct VersionJudgement {
  VersionVerdict verdict = VersionVerdict::kUndecided;
  std::string reason;
  bool operator==(const VersionJudgement&) const = default;
};

// Whether a version with the first tally fails significantly more often than one with the second. `expected`: failures
// that the other's rate makes likely.
bool FailsMore(const RolloutTally& candidate, const RolloutTally& other, double expected);
bool FailsMore(const RolloutTally& candidate, const RolloutTally& other);

// Compares the candidate with the other versions on each route.
VersionJudgement JudgeVersion(const std::vector<VersionTargetEvidence>& targets);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_ROLLOUT_EVIDENCE_P_H_
