// Choice among the targets of a balanced entry, and the hedging policy.

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
  Duration initial_latency = std::chrono::milliseconds(5);  // assumed before the first answer
  int max_cold_in_flight = 1;          // requests this node keeps open at a target that has not yet proved itself
  int successes_until_warm = 4;        // answers that prove it
  double max_load_factor = 1.5;        // most that a load report can worsen a target's score
  int ejection_failure_threshold = 5;  // failures in a row
  Duration base_ejection_time = std::chrono::seconds(1);  // doubles with each ejection in a row
  Duration max_ejection_time = std::chrono::seconds(30);
  double max_ejected_share = 0.34;  // share of the targets that may be ejected at once
};

// How one request ended, as evidence about the target.
enum class BalanceOutcome { kAnswered, kFailed, kCancelled };

// Power of two choices on own in-flight count and latency. One for each balanced entry on a node.
class Balancer {
 public:
  Balancer(BalanceOptions options, std::uint64_t seed);

  // Replaces the set of targets; known ones keep their state.
  void SetTargets(TimePoint now, const std::vector<IncarnationId>& targets);
  // Load report between 0 and 1, a hint only.
  void OnLoadReport(TimePoint now, const IncarnationId& target, double load);

  // A target for the next request that is not excluded, or nothing. Does not count the request: call OnSent.
  std::optional<IncarnationId> Pick(TimePoint now, const std::vector<IncarnationId>& excluded);
  void OnSent(TimePoint now, const IncarnationId& target);
  // `latency` runs from OnSent. A cancelled request that took longer than the target's average counts with its age.
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
  double quantile = 0.9;            // a hedge starts when this share of requests would have been answered
  double tokens_per_request = 0.1;  // hedges for each request
  double max_tokens = 10;           // hedges that can be saved up
  Duration min_delay = std::chrono::milliseconds(1);
  std::uint32_t min_samples = 50;  // no hedging before this many answers
};

// Decides when a second copy of an idempotent prompt request is sent. One for each balanced entry on a node.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : m_options(options) {}

  // A request that could be hedged was sent.
  void OnRequest();
  // A first copy was answered after this time, or still ran after it when the hedge won.
  void OnLatency(Duration latency);
  // Wait before the hedge is sent; nothing while too little is known.
  std::optional<Duration> Delay() const;
  // Takes one hedge from the budget.
  bool TryTakeHedge();

 private:
  // Eight buckets for each power of two of microseconds, 1 us to over an hour.
  static constexpr int kBucketCount = 256;
  static int BucketOf(std::int64_t micros);

  HedgeOptions m_options;
  std::array<double, kBucketCount> m_histogram{};
  double m_samples = 0;
  double m_tokens = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_BALANCE_H_
