// Target selection for a balanced entry, and the hedging policy.

#ifndef MAGNOLIAARCH_BALANCE_H_
#define MAGNOLIAARCH_BALANCE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

struct BalanceOptions {
  Duration latency_decay_time = std::chrono::seconds(2);    // time constant of the latency average
  Duration initial_latency = std::chrono::milliseconds(5);  // assumed until the first response
  int max_cold_in_flight = 1;          // requests in flight from this node to a target that is not yet warm
  int successes_until_warm = 4;        // responses after which a target is warm
  double max_load_factor = 1.5;        // largest factor by which a load report can raise a target's score
  int ejection_failure_threshold = 5;  // consecutive failures that eject a target
  Duration base_ejection_time = std::chrono::seconds(1);  // doubles with each consecutive ejection
  Duration max_ejection_time = std::chrono::seconds(30);
  double max_ejected_share = 0.34;  // share of the targets that may be ejected at once
};

// Outcome of one request, as recorded for its target.
enum class BalanceOutcome { kAnswered, kFailed, kCancelled };

// Power-of-two-choices load balancer: scores targets by this node's requests in flight and the latency it observed. One
// instance for each balanced entry on a node.
class Balancer {
 public:
  Balancer(BalanceOptions options, std::uint64_t seed);

  // Replaces the set of targets. Targets that were already in the set keep their state.
  void SetTargets(TimePoint now, const std::vector<IncarnationId>& targets);
  // Records the load that a target reports, clamped to 0..1. The load multiplies the target's score by at most
  // `max_load_factor`, so a wrong report has a limited effect.
  void OnLoadReport(TimePoint now, const IncarnationId& target, double load);

  // Returns a target for the next request that is not in `excluded`, or nothing if there is no such target. Does not
  // count the request as in flight; OnSent does.
  std::optional<IncarnationId> Pick(TimePoint now, const std::vector<IncarnationId>& excluded);
  void OnSent(TimePoint now, const IncarnationId& target);
  // `latency` is the time since OnSent. A cancelled request is a latency sample only if it ran longer than the target's
  // average.
  void OnEnded(TimePoint now, const IncarnationId& target, BalanceOutcome outcome, Duration latency);

  bool IsEjected(TimePoint now, const IncarnationId& target) const;
  std::size_t EjectedCount(TimePoint now) const;
  int InFlight(const IncarnationId& target) const;

 private:
  struct Target {
    IncarnationId id;
    int in_flight = 0;
    int successes = 0;
    int failures = 0;   // in a row
    int ejections = 0;  // in a row
    double latency_us = 0;
    TimePoint latency_at;
    double load = 0;
    TimePoint ejected_until;
  };

  double Score(const Target& target, TimePoint now) const;
  bool IsCold(const Target& target) const;
  bool IsTargetEjected(const Target& target, TimePoint now) const;
  Target* Find(const IncarnationId& id);
  const Target* Find(const IncarnationId& id) const;
  std::uint64_t NextRandom();

  BalanceOptions m_options;
  std::vector<Target> m_targets;
  std::uint64_t m_random_state;
};

struct HedgeOptions {
  double quantile = 0.9;            // latency quantile after which a hedge is sent
  double tokens_per_request = 0.1;  // hedges earned by each request
  double max_tokens = 10;           // limit on accumulated hedges
  Duration min_delay = std::chrono::milliseconds(1);
  std::uint32_t min_samples = 50;  // no hedging before this many latency samples
};

// Decides when a hedge is sent. A hedge is a second copy of an idempotent request of the request class `prompt`. One
// instance for each balanced entry on a node.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : m_options(options) {}

  // Call for each request that may be hedged; adds to the budget.
  void OnRequest();
  // Records the latency of the first copy of a request: the time until its response or, if the hedge was answered
  // first, the time that the first copy had run by then.
  void OnLatency(Duration latency);
  // Time to wait before the hedge is sent; nothing until there are `min_samples` samples.
  std::optional<Duration> Delay() const;
  // Takes one hedge from the budget. Returns false when the budget is used up.
  bool TryTakeHedge();

 private:
  // Eight buckets for each power of two of microseconds, from 8 us to over an hour; shorter latencies share the first
  // bucket.
  static constexpr int kBucketCount = 256;
  static int BucketOf(std::int64_t micros);

  HedgeOptions m_options;
  std::array<double, kBucketCount> m_histogram{};
  double m_samples = 0;
  double m_tokens = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_BALANCE_H_
