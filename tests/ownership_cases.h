// Cases of the fault matrix: a scenario, and faults that are injected at steps of the protocols. Shared by the tests
// and the soak program.

#ifndef MAGNOLIAARCH_TESTS_OWNERSHIP_CASES_H_
#define MAGNOLIAARCH_TESTS_OWNERSHIP_CASES_H_

#include <algorithm>
#include <string>
#include <vector>

#include "simulated_cluster.h"

namespace magnoliaarch {

// The operation or failure that a case runs; faults are injected on top of it.
enum class Scenario {
  kOwnerCrash,
  kOwnerPause,
  kOwnerPartition,
  kWitnessCrash,
  kOwnerRestart,
  kDomainDrain,
  kPlannedStop,
  kRoleChange,
  kHotKey,
  kAssignerCrash,
};

struct ScenarioStep {
  Scenario scenario;
  Step step;
};

// Every step of every scenario at which faults are injected.
inline const std::vector<ScenarioStep>& AllSteps() {
  static const std::vector<ScenarioStep> steps = [] {
    std::vector<ScenarioStep> result;
    for (const Scenario scenario : {Scenario::kOwnerCrash, Scenario::kOwnerPause, Scenario::kOwnerPartition}) {
      for (const Step step : {Step::kRenew, Step::kLapseReport, Step::kFence, Step::kStopRequest, Step::kWaitForExpiry,
                              Step::kTakeoverGrant}) {
        result.push_back({scenario, step});
      }
    }
    for (const Step step : {Step::kRenew, Step::kFence, Step::kTakeoverGrant}) {
      result.push_back({Scenario::kAssignerCrash, step});
    }
    result.push_back({Scenario::kWitnessCrash, Step::kReplaceWitness});
    for (const Step step : {Step::kRestart, Step::kReplaceWitness, Step::kStopRequest, Step::kTakeoverGrant}) {
      result.push_back({Scenario::kOwnerRestart, step});
    }
    for (const Step step : {Step::kDomainDrain, Step::kMarkReleasing, Step::kReleaseRequest, Step::kMoveGrant}) {
      result.push_back({Scenario::kDomainDrain, step});
    }
    for (const Step step : {Step::kPlannedStop, Step::kMarkReleasing, Step::kReleaseRequest, Step::kMoveGrant}) {
      result.push_back({Scenario::kPlannedStop, step});
    }
    result.push_back({Scenario::kRoleChange, Step::kRoleChange});
    result.push_back({Scenario::kHotKey, Step::kRenew});
    result.push_back({Scenario::kHotKey, Step::kReleaseRequest});
    return result;
  }();
  return steps;
}

// Every fault. A fault of a single node occurs once for each participant.
inline const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault> faults = [] {
    std::vector<Fault> result;
    for (int kind = 0; kind <= static_cast<int>(FaultKind::kOwnerClockFast); ++kind) {
      const bool of_node = kind <= static_cast<int>(FaultKind::kPartitionFromAssigner);
      for (int participant = 0; participant < (of_node ? kParticipantCount : 1); ++participant) {
        result.push_back({static_cast<FaultKind>(kind), static_cast<Participant>(participant)});
      }
    }
    return result;
  }();
  return faults;
}

struct TimedFault {
  Step step = Step::kRenew;
  Duration delay{};  // after the step
  Fault fault;
};

struct CaseResult {
  std::vector<std::string> violations;
  int double_owners = 0;
  int injected = 0;                     // faults injected, because their step was reached in time
  std::vector<Duration> takeover_gaps;  // for each key of the crashed node: time from the crash to the next work
  // For each change of a key's owner: time from the last work of the old owner to the first work of the new owner.
  std::vector<Duration> move_gaps;
};

inline CaseResult RunCase(Scenario scenario,
                          const std::vector<TimedFault>& faults,
                          std::uint64_t seed,
                          LeaseRules rules = {}) {
  using std::chrono::milliseconds;
  constexpr Duration kSettleTime = milliseconds(2200);
  static constexpr Duration kFaultPhase = milliseconds(4300);
  constexpr Duration kRecoveryTime = milliseconds(3300);
  SimulatedCluster cluster(seed, rules);
  const TimePoint started = cluster.Now() + kSettleTime;
  const TimePoint faults_end = started + kFaultPhase;
  cluster.RunUntil(started);
  cluster.SelectParticipants();
  CaseResult result;
  for (const TimedFault& timed : faults) {
    cluster.OnStep(timed.step, [&cluster, &result, timed, faults_end] {
      cluster.ScheduleAt(cluster.Now() + timed.delay, [&cluster, &result, timed, faults_end] {
        // The observer requires service after the faults have ended, so no fault is injected at a step that occurs
        // later.
        if (cluster.Now() < faults_end) {
          ++result.injected;
          cluster.InjectFault(timed.fault);
        }
      });
    });
  }
  SimulatedNode& owner = cluster.NodeOf(Participant::kOwner);
  const std::string crashed_node =
      scenario == Scenario::kAssignerCrash ? cluster.NodeOf(Participant::kAssigner).name : owner.name;
  const std::string domain = owner.domain;
  switch (scenario) {
    case Scenario::kOwnerCrash:
      cluster.InjectFault({FaultKind::kKill, Participant::kOwner});
      break;
    case Scenario::kOwnerPause:
      cluster.Pause(owner, milliseconds(1300) + milliseconds(seed % 8 * 60));
      break;
    case Scenario::kOwnerPartition:
      cluster.InjectFault({FaultKind::kPartitionBothWays, Participant::kOwner});
      break;
    case Scenario::kAssignerCrash:
      cluster.InjectFault({FaultKind::kKill, Participant::kAssigner});
      break;
    case Scenario::kWitnessCrash:
      cluster.InjectFault({FaultKind::kKill, Participant::kWitnessA});
      break;
    case Scenario::kOwnerRestart:
      cluster.InjectFault({FaultKind::kRestart, Participant::kOwner});
      cluster.SignalStep(Step::kRestart);
      break;
    case Scenario::kDomainDrain:
    case Scenario::kRoleChange:
      cluster.SetDomainOut(domain, true);
      cluster.ScheduleAt(started + milliseconds(3000), [&cluster, domain] { cluster.SetDomainOut(domain, false); });
      cluster.SignalStep(Step::kDomainDrain);
      if (scenario == Scenario::kRoleChange) {
        cluster.ScheduleAt(started + milliseconds(seed % 50), [&cluster] {
          cluster.MoveRole();
          cluster.SignalStep(Step::kRoleChange);
        });
      }
      break;
    case Scenario::kPlannedStop:
      cluster.StartPlannedStop(owner);
      cluster.SignalStep(Step::kPlannedStop);
      break;
    case Scenario::kHotKey:
      for (int i = 0; i < 15; ++i) {
        for (std::size_t key = 0; key < 3; ++key) {
          cluster.ScheduleAt(started + milliseconds(100 * i),
                             [&cluster, key] { cluster.ReportHotKey(cluster.Keys()[key], 2000); });
        }
      }
      break;
  }
  cluster.SignalStep(Step::kRenew);
  cluster.RunUntil(faults_end);
  cluster.EndFaults();
  cluster.RunUntil(faults_end + kRecoveryTime);
  cluster.Observer().OnEnd(cluster.Keys(), cluster.Now());
  result.violations = cluster.Observer().Violations();
  result.double_owners = cluster.Observer().DoubleOwners();
  for (const auto& [key, work] : cluster.WorkStarts()) {
    const auto after = std::find_if(work.begin(), work.end(), [&](const auto& w) { return w.first > started; });
    if (after == work.begin() || after == work.end()) {
      continue;
    }
    if ((scenario == Scenario::kOwnerCrash || scenario == Scenario::kAssignerCrash) &&
        std::prev(after)->second == crashed_node) {
      result.takeover_gaps.push_back(after->first - started);
    }
    if (scenario == Scenario::kDomainDrain || scenario == Scenario::kPlannedStop) {
      for (auto it = after; it != work.end(); ++it) {
        if (std::prev(it)->second != it->second) {
          result.move_gaps.push_back(it->first - std::prev(it)->first);
        }
      }
    }
  }
  return result;
}

// Runs a case chosen by the seed: any scenario with one to four faults at its steps or shortly after.
inline CaseResult RunRandomCase(std::uint64_t seed, LeaseRules rules = {}, Scenario* chosen_scenario = nullptr) {
  std::mt19937_64 random(seed);
  const auto pick = [&random](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
  const Scenario scenario = AllSteps()[pick(AllSteps().size())].scenario;
  if (chosen_scenario != nullptr) {
    *chosen_scenario = scenario;
  }
  std::vector<Step> steps;
  for (const ScenarioStep& scenario_step : AllSteps()) {
    if (scenario_step.scenario == scenario) {
      steps.push_back(scenario_step.step);
    }
  }
  std::vector<TimedFault> faults;
  for (std::size_t i = 0, count = 1 + pick(4); i < count; ++i) {
    const Duration delay = pick(2) == 0 ? Duration::zero() : std::chrono::milliseconds(pick(1200));
    faults.push_back({steps[pick(steps.size())], delay, AllFaults()[pick(AllFaults().size())]});
  }
  return RunCase(scenario, faults, seed, rules);
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_OWNERSHIP_CASES_H_
