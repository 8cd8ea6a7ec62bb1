#include "mesh_rollout_evidence_p.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kSliceLength = std::chrono::milliseconds(500);
// Fewer failures than this prove nothing: single requests fail for many reasons.
constexpr std::uint64_t kMinFailures = 4;
// Failures beyond the expected ones, in standard deviations, that chance does not explain. Failures of a service that
// it calls come in clusters, so that their number varies more than that of independent ones.
constexpr double kFailureDeviations = 3;
constexpr double kFailureClustering = 3;  // variance of the number of failures, relative to its mean
// A version that fails at less than this multiple of the others' rate may have got other requests.
constexpr double kMinFailureRatio = 1.5;
// Difference of two failure rates that callers notice.
constexpr double kMinRateDifference = 0.02;
// With fewer answers of other versions there is nothing to compare with, as after a change of the coordinator. Then
// only more failures at a high rate count, since the service may fail as a whole.
constexpr std::uint64_t kMinComparedAnswers = 20;
constexpr std::uint64_t kMinFailuresWithoutComparison = 12;
// A half second with fewer answers of other versions is compared with the whole window.
constexpr std::uint64_t kMinAnswersOfSlice = 5;
constexpr double kFailureRateWithoutComparison = 0.3;
// A target with fewer answers on a route says nothing about its version.
constexpr std::uint64_t kMinAnswersOfTarget = 3;
// Ratio of the mean times from which on a version is slow, over all targets and at a single one. Hosts differ in speed,
// so a single one may be slow for reasons of its own.
constexpr double kSlowRatio = 1.6;
constexpr double kSlowRatioOfTarget = 1.4;
constexpr std::uint64_t kMinTimedAnswers = 15;
// Answers of the version in the last seconds from which on these alone are compared.
constexpr std::uint64_t kManyAnswers = 60;
// Answers that prove the version on a route with at least kFullProofShare of the requests. Routes with less get fewer
// of the exposed requests, and need fewer answers in proportion; those below kMinProvenRouteShare need none.
constexpr double kProofAnswers = 30;
constexpr double kFullProofShare = 0.1;
constexpr double kMinProofAnswers = 8;
constexpr double kMinProvenRouteShare = 0.02;
// A version is not proven on a route where it has failed this often, with a rate so much higher than the others'.
constexpr std::uint64_t kSuspiciousFailures = 2;
constexpr double kSuspiciousRateDifference = 0.1;

RolloutTally Find(const RouteTallies& routes, const std::string& route) {
  const auto it = routes.find(route);
  return it != routes.end() ? it->second : RolloutTally();
}

using TallyOf = RouteTallies VersionTargetEvidence::*;

RouteTallies Pool(const std::vector<VersionTargetEvidence>& targets, bool candidate, TallyOf tallies) {
  RouteTallies pooled;
  for (const VersionTargetEvidence& target : targets) {
    if (target.candidate == candidate) {
      for (const auto& [route, tally] : target.*tallies) {
        pooled[route] += tally;
      }
    }
  }
  return pooled;
}

// Whether more than half of the candidate's targets that have answers of the route meet the condition. Trouble of a few
// targets is not trouble of their version.
template <typename Condition>
bool AtMostTargets(const std::vector<VersionTargetEvidence>& targets,
                   TallyOf tallies,
                   const std::string& route,
                   const Condition& condition) {
  std::size_t voters = 0;
  std::size_t votes = 0;
  for (const VersionTargetEvidence& target : targets) {
    const RolloutTally tally = Find(target.*tallies, route);
    if (target.candidate && tally.answers >= kMinAnswersOfTarget) {
      ++voters;
      votes += condition(tally) ? 1 : 0;
    }
  }
  return votes * 2 > voters;
}

bool IsSlower(const RolloutTally& candidate, const RolloutTally& other, double ratio) {
  return candidate.MeanSeconds() > other.MeanSeconds() * ratio;
}

std::string Describe(const RolloutTally& tally) {
  return fmt::format("{} of {} failed, mean {:.0f} ms", tally.failures, tally.answers, tally.MeanSeconds() * 1000);
}

// Failures of the candidate on a route that the others' rates in the same half seconds make likely. Its requests come
// unevenly, so that a moment of failures may weigh more in its answers than in theirs.
double ExpectedFailures(const std::vector<VersionTargetEvidence>& targets,
                        const std::string& route,
                        double others_rate) {
  std::map<std::int64_t, std::pair<RolloutTally, RolloutTally>> slices;  // of the candidate and of the others
  for (const VersionTargetEvidence& target : targets) {
    for (const auto& [number, routes] : target.slices) {
      auto& [candidate, others] = slices[number];
      (target.candidate ? candidate : others) += Find(routes, route);
    }
  }
  double expected = 0;
  for (const auto& [number, tallies] : slices) {
    const auto& [candidate, others] = tallies;
    const double rate = others.answers >= kMinAnswersOfSlice ? others.FailureRate() : others_rate;
    expected += static_cast<double>(candidate.answers) * rate;
  }
  return expected;
}

// The verdict against the candidate on a route, if there is one.
VersionJudgement JudgeRoute(const std::vector<VersionTargetEvidence>& targets,
                            TallyOf tallies,
                            const std::string& route,
                            const RolloutTally& candidate,
                            const RolloutTally& other) {
  const auto fails = [&](const RolloutTally& tally) {
    return tally.failures > 0 && tally.FailureRate() > other.FailureRate() + kMinRateDifference;
  };
  const bool is_recent = tallies == &VersionTargetEvidence::recent;
  const double expected = is_recent ? ExpectedFailures(targets, route, other.FailureRate())
                                    : static_cast<double>(candidate.answers) * other.FailureRate();
  if (FailsMore(candidate, other, expected) && AtMostTargets(targets, tallies, route, fails)) {
    return {VersionVerdict::kFailing,
            fmt::format("fails on route {}: {}; other versions: {}", route, Describe(candidate), Describe(other))};
  }
  const auto is_slow = [&](const RolloutTally& tally) {
    return tally.timed > 0 && IsSlower(tally, other, kSlowRatioOfTarget);
  };
  const bool timed = candidate.timed >= kMinTimedAnswers && other.timed >= kMinTimedAnswers;
  if (timed && IsSlower(candidate, other, kSlowRatio) && AtMostTargets(targets, tallies, route, is_slow)) {
    return {VersionVerdict::kSlow,
            fmt::format("slow on route {}: {}; other versions: {}", route, Describe(candidate), Describe(other))};
  }
  return {};
}

// Whether each route that counts has proven the candidate. There is no verdict against it.
VersionJudgement JudgeProof(const RouteTallies& candidates, const RouteTallies& others) {
  RouteTallies all = candidates;
  for (const auto& [route, tally] : others) {
    all[route] += tally;
  }
  if (all.empty()) {
    return {VersionVerdict::kUndecided, "no answers yet"};
  }
  const auto sum = static_cast<double>(Sum(all).answers);
  for (const auto& [route, tally] : all) {
    const double share = static_cast<double>(tally.answers) / sum;
    if (share < kMinProvenRouteShare) {
      continue;
    }
    const RolloutTally candidate = Find(candidates, route);
    const double needed = std::clamp(kProofAnswers * share / kFullProofShare, kMinProofAnswers, kProofAnswers);
    if (static_cast<double>(candidate.answers) < needed) {
      return {VersionVerdict::kUndecided,
              fmt::format("{} of {:.0f} answers on route {}", candidate.answers, needed, route)};
    }
    const double difference = candidate.FailureRate() - Find(others, route).FailureRate();
    if (candidate.failures >= kSuspiciousFailures && difference > kSuspiciousRateDifference) {
      return {VersionVerdict::kUndecided, fmt::format("route {}: {}", route, Describe(candidate))};
    }
  }
  return {VersionVerdict::kProven, fmt::format("proven on {} routes: {}", all.size(), Describe(Sum(candidates)))};
}

}  // namespace

RolloutTally& RolloutTally::operator+=(const RolloutTally& other) {
  answers += other.answers;
  failures += other.failures;
  timed += other.timed;
  service_s += other.service_s;
  return *this;
}

RolloutTally Sum(const RouteTallies& routes) {
  RolloutTally sum;
  for (const auto& [route, tally] : routes) {
    sum += tally;
  }
  return sum;
}

// ---- Counting ----

void EvidenceCounter::OnAnswer(const std::string& route, bool failed, Duration service) {
  RouteCount& count = m_routes[route];
  ++count.answers;
  if (failed) {
    ++count.failures;
  } else {
    count.service_us += static_cast<std::uint64_t>(service.count());
  }
}

void EvidenceCounter::Fill(proto::VersionEvidence* evidence) const {
  for (const auto& [route, count] : m_routes) {
    proto::RouteEvidence* entry = evidence->add_routes();
    entry->set_route(route);
    entry->set_answers(count.answers);
    entry->set_failures(count.failures);
    entry->set_service_us(count.service_us);
  }
}

void EvidenceWindow::Update(TimePoint now, const proto::VersionEvidence& counts, bool cold, bool counts_from_start) {
  const bool adds = m_has_last || counts_from_start;
  m_has_last = m_has_last || counts.routes_size() > 0;
  while (!m_slices.empty() && now - m_slices.front().since > kEvidenceWindow) {
    m_slices.pop_front();
  }
  const TimePoint slice_start(kSliceLength * (now.time_since_epoch() / kSliceLength));
  if (m_slices.empty() || slice_start > m_slices.back().since) {
    m_slices.push_back(Slice{slice_start, {}});
  }
  for (const proto::RouteEvidence& count : counts.routes()) {
    proto::RouteEvidence& last = m_last[count.route()];
    if (count.answers() < last.answers() || count.failures() < last.failures() ||
        count.service_us() < last.service_us()) {
      // The node or its target has started again.
      last.Clear();
    }
    RolloutTally added;
    added.answers = count.answers() - last.answers();
    added.failures = count.failures() - last.failures();
    if (!cold) {
      added.timed = added.answers - std::min(added.failures, added.answers);
      added.service_s = static_cast<double>(count.service_us() - last.service_us()) / 1e6;
    }
    last = count;
    if (adds && added.answers > 0) {
      m_slices.back().routes[count.route()] += added;
      m_total[count.route()] += added;
    }
  }
}

RouteTallies EvidenceWindow::Recent(TimePoint now, Duration window) const {
  RouteTallies recent;
  for (const Slice& slice : m_slices) {
    if (now - slice.since <= window) {
      for (const auto& [route, tally] : slice.routes) {
        recent[route] += tally;
      }
    }
  }
  return recent;
}

std::map<std::int64_t, RouteTallies> EvidenceWindow::RecentSlices(TimePoint now) const {
  std::map<std::int64_t, RouteTallies> slices;
  for (const Slice& slice : m_slices) {
    if (now - slice.since <= kEvidenceWindow) {
      slices.emplace(slice.since.time_since_epoch() / kSliceLength, slice.routes);
    }
  }
  return slices;
}

// ---- Comparison ----

bool FailsMore(const RolloutTally& candidate, const RolloutTally& other) {
  return FailsMore(candidate, other, static_cast<double>(candidate.answers) * other.FailureRate());
}

bool FailsMore(const RolloutTally& candidate, const RolloutTally& other, double expected) {
  if (candidate.failures < kMinFailures) {
    return false;
  }
  if (other.answers < kMinComparedAnswers) {
    return candidate.failures >= kMinFailuresWithoutComparison &&
           candidate.FailureRate() >= kFailureRateWithoutComparison;
  }
  const double excess = static_cast<double>(candidate.failures) - expected;
  const double expected_rate = expected / static_cast<double>(candidate.answers);
  return excess >= kFailureDeviations * std::max(1.0, std::sqrt(expected * kFailureClustering)) &&
         candidate.FailureRate() > std::max(expected_rate * kMinFailureRatio, expected_rate + kMinRateDifference);
}

VersionJudgement JudgeVersion(const std::vector<VersionTargetEvidence>& targets) {
  for (const TallyOf tallies : {&VersionTargetEvidence::recent, &VersionTargetEvidence::total}) {
    const RouteTallies others = Pool(targets, false, tallies);
    if (tallies == &VersionTargetEvidence::total &&
        Sum(Pool(targets, true, &VersionTargetEvidence::recent)).answers >= kManyAnswers) {
      // The time since the order is compared only where the last seconds have too few answers.
      break;
    }
    for (const auto& [route, candidate] : Pool(targets, true, tallies)) {
      RolloutTally other = Find(others, route);
      if (other.answers < kMinComparedAnswers) {
        other = Find(Pool(targets, false, &VersionTargetEvidence::total), route);
      }
      VersionJudgement against = JudgeRoute(targets, tallies, route, candidate, other);
      if (against.verdict != VersionVerdict::kUndecided) {
        return against;
      }
    }
  }
  return JudgeProof(Pool(targets, true, &VersionTargetEvidence::total),
                    Pool(targets, false, &VersionTargetEvidence::total));
}

}  // namespace magnoliaarch
