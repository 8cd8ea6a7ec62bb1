#include <catch2/catch.hpp>

#include <cstdio>
#include <functional>

#include "ownership_cases.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Guards against two owners of a key, a lost assignment, work after a target has left service and an interrupted
// request when any single fault occurs at any single step.
TEST_CASE("ownership matrix: every single fault at every step keeps the invariants") {
  int cases = 0;
  int injected = 0;
  for (std::size_t i = 0; i < AllSteps().size(); ++i) {
    for (std::size_t k = 0; k < AllFaults().size(); ++k) {
      const std::uint64_t seed = 1 + i * AllFaults().size() + k;
      const ScenarioStep& scenario_step = AllSteps()[i];
      const CaseResult result =
          RunCase(scenario_step.scenario, {{scenario_step.step, Duration::zero(), AllFaults()[k]}}, seed);
      ++cases;
      injected += result.injected;
      INFO("scenario " << static_cast<int>(scenario_step.scenario) << " step " << static_cast<int>(scenario_step.step)
                       << " fault " << static_cast<int>(AllFaults()[k].kind) << " participant "
                       << static_cast<int>(AllFaults()[k].participant) << " seed " << seed << ": "
                       << (result.violations.empty() ? "" : result.violations.front()));
      CHECK(result.violations.empty());
    }
  }
  std::printf("ownership matrix: %d single faults, %d of them injected\n", cases, injected);
  // If a step no longer occurred, the cases of this step would pass without a fault.
  CHECK(injected == cases);
}

// Guards against faults that are harmless alone but not in combination. All pairs would take far longer than a minute.
TEST_CASE("ownership matrix: sampled pairs of faults keep the invariants") {
  constexpr std::uint64_t kFirstSeed = 5'000'000;
  constexpr int kCases = 1500;
  int injected = 0;
  for (int i = 0; i < kCases; ++i) {
    const std::uint64_t seed = kFirstSeed + static_cast<std::uint64_t>(i);
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    const ScenarioStep& scenario_step = AllSteps()[pick(AllSteps().size())];
    std::vector<Step> steps;
    for (const ScenarioStep& other : AllSteps()) {
      if (other.scenario == scenario_step.scenario) {
        steps.push_back(other.step);
      }
    }
    const CaseResult result =
        RunCase(scenario_step.scenario,
                {{scenario_step.step, Duration::zero(), AllFaults()[pick(AllFaults().size())]},
                 {steps[pick(steps.size())], Duration::zero(), AllFaults()[pick(AllFaults().size())]}},
                seed);
    injected += result.injected;
    INFO("seed " << seed << ": " << (result.violations.empty() ? "" : result.violations.front()));
    CHECK(result.violations.empty());
  }
  std::printf("ownership matrix: %d sampled pairs, seeds %llu to %llu, %d faults injected\n", kCases,
              static_cast<unsigned long long>(kFirstSeed), static_cast<unsigned long long>(kFirstSeed + kCases - 1),
              injected);
}

// Runs the case with the broken rules over seeds until the observer sees two owners, then once more with all rules.
void ExpectViolation(const char* rule,
                     const LeaseRules& broken,
                     const std::function<CaseResult(std::uint64_t, LeaseRules)>& run) {
  constexpr std::uint64_t kSeeds = 400;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const CaseResult result = run(seed, broken);
    if (result.double_owners > 0) {
      std::printf("broken rule %s: detected with seed %llu: %s\n", rule, static_cast<unsigned long long>(seed),
                  result.violations.front().c_str());
      CHECK(run(seed, LeaseRules{}).violations.empty());
      return;
    }
  }
  FAIL("the observer did not detect broken rule " << rule);
}

CaseResult RunRandom(std::uint64_t seed, LeaseRules rules) {
  return RunRandomCase(seed, rules);
}

// The following cases guard against a matrix that passes because its observer or its faults are too weak.

TEST_CASE("ownership matrix detects a renewal that counts from its reply instead of its request") {
  LeaseRules rules;
  rules.count_from_send = false;
  ExpectViolation("R1", rules, [](std::uint64_t seed, LeaseRules r) {
    // Replies arrive late, then the owner is partitioned and keeps an old view.
    return RunCase(Scenario::kHotKey,
                   {{Step::kRenew, Duration::zero(), {FaultKind::kMessageDelay, Participant::kOwner}},
                    {Step::kRenew, milliseconds(1500), {FaultKind::kPartitionOutbound, Participant::kOwner}},
                    {Step::kRenew, milliseconds(1500), {FaultKind::kStoreUnreachable, Participant::kOwner}}},
                   seed, r);
  });
}

TEST_CASE("ownership matrix detects a restarted witness that counts without being recorded") {
  LeaseRules rules;
  rules.require_recorded_witnesses = false;
  ExpectViolation("R2", rules, [](std::uint64_t seed, LeaseRules r) {
    // Two witnesses lose their stopped state in a restart, then the paused owner resumes with an old view.
    return RunCase(Scenario::kOwnerPause,
                   {{Step::kStopRequest, Duration::zero(), {FaultKind::kStoreUnreachable, Participant::kOwner}},
                    {Step::kStopRequest, milliseconds(30), {FaultKind::kRestart, Participant::kWitnessA}},
                    {Step::kStopRequest, milliseconds(30), {FaultKind::kRestart, Participant::kWitnessB}}},
                   seed, r);
  });
}

TEST_CASE("ownership matrix detects a takeover that does not fence the owner first") {
  LeaseRules rules;
  rules.fence_owner_first = false;
  ExpectViolation("R3 fence", rules, RunRandom);
}

TEST_CASE("ownership matrix detects a takeover that does not stop the witnesses") {
  LeaseRules rules;
  rules.stop_witnesses = false;
  ExpectViolation("R3 stop", rules, RunRandom);
}

TEST_CASE("ownership matrix detects a grant before the renewals at stopped witnesses have expired") {
  LeaseRules rules;
  rules.wait_for_renewal_expiry = false;
  ExpectViolation("R4", rules, RunRandom);
}

TEST_CASE("ownership matrix detects a grant before the old owner has released the slot") {
  LeaseRules rules;
  rules.release_before_grant = false;
  ExpectViolation("release before grant", rules, RunRandom);
}

TEST_CASE("ownership matrix detects a gate that does not check the lease again after queueing") {
  LeaseRules rules;
  rules.recheck_lease_after_queueing = false;
  ExpectViolation("lease checked again after a wait", rules, RunRandom);
}

}  // namespace
}  // namespace magnoliaarch
