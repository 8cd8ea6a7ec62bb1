// Soak test of the ownership state machines in simulation. Runs scenarios with random faults, checks the invariants,
// and prints the seeds of violations and the distribution of unavailable time.

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "../tests/ownership_cases.h"

DEFINE_uint64(seed, 1, "Seed of the first run; each further run uses the next one.");
DEFINE_uint64(runs, 1000, "Number of runs.");
DEFINE_bool(faults, true, "Inject random faults; without them the runs alternate between lost nodes and drains.");
DEFINE_bool(verbose, false, "Print every violation instead of the first of each run.");

namespace {

using magnoliaarch::CaseResult;
using magnoliaarch::Duration;
using magnoliaarch::Scenario;

void PrintDistribution(const char* name, std::vector<Duration> values) {
  if (values.empty()) {
    fmt::print("{}: no samples\n", name);
    return;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double quantile) {
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[index].count()) / 1000.0;
  };
  fmt::print("{}: {} samples, p50 {:.0f} ms, p99 {:.0f} ms, max {:.0f} ms\n", name, values.size(), at(0.5), at(0.99),
             at(1));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("random soak of the ownership state machines");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<Duration> owner_takeover_gaps;
  std::vector<Duration> assigner_takeover_gaps;
  std::vector<Duration> planned_move_gaps;
  std::uint64_t double_owners = 0;
  std::uint64_t failed_runs = 0;
  std::uint64_t injected_faults = 0;
  for (std::uint64_t i = 0; i < FLAGS_runs; ++i) {
    const std::uint64_t seed = FLAGS_seed + i;
    CaseResult result;
    Scenario scenario = Scenario::kOwnerCrash;
    if (FLAGS_faults) {
      result = magnoliaarch::RunRandomCase(seed, {}, &scenario);
    } else {
      constexpr Scenario kScenarios[] = {Scenario::kOwnerCrash, Scenario::kAssignerCrash, Scenario::kDomainDrain};
      scenario = kScenarios[i % std::size(kScenarios)];
      result = magnoliaarch::RunCase(scenario, {}, seed);
    }
    std::vector<Duration>& takeover_gaps =
        scenario == Scenario::kAssignerCrash ? assigner_takeover_gaps : owner_takeover_gaps;
    takeover_gaps.insert(takeover_gaps.end(), result.takeover_gaps.begin(), result.takeover_gaps.end());
    planned_move_gaps.insert(planned_move_gaps.end(), result.move_gaps.begin(), result.move_gaps.end());
    injected_faults += static_cast<std::uint64_t>(result.injected);
    double_owners += result.double_owners > 0 ? 1 : 0;
    if (!result.violations.empty()) {
      ++failed_runs;
      for (std::size_t k = 0; k < (FLAGS_verbose ? result.violations.size() : 1); ++k) {
        fmt::print("seed {}: {}\n", seed, result.violations[k]);
      }
    }
  }
  fmt::print("{} runs from seed {}, {} faults injected, {} runs with a double owner, {} runs with any violation\n",
             FLAGS_runs, FLAGS_seed, injected_faults, double_owners, failed_runs);
  PrintDistribution("unavailable after a lost owner", owner_takeover_gaps);
  PrintDistribution("unavailable after a lost owner that was the assigner", assigner_takeover_gaps);
  PrintDistribution("unavailable on planned moves", planned_move_gaps);
  return failed_runs == 0 ? 0 : 1;
}
