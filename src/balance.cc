#include "magnoliaarch/balance.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace magnoliaarch {
namespace {

// Weight of a new latency sample that is below the average.
constexpr double kLatencyDecreaseWeight = 0.2;

// After this many new samples, the weight of all samples in the latency histogram is halved.
constexpr double kHistogramHalvingSamples = 2048;

}  // namespace

Balancer::Balancer(BalanceOptions options, std::uint64_t seed) : m_options(options), m_random_state(seed | 1u) {}

// xorshift64* generator.
std::uint64_t Balancer::NextRandom() {
  m_random_state ^= m_random_state >> 12u;
  m_random_state ^= m_random_state << 25u;
  m_random_state ^= m_random_state >> 27u;
  return m_random_state * 0x2545F4914F6CDD1DULL;
}

Balancer::Target* Balancer::Find(const IncarnationId& id) {
  const auto it = std::find_if(m_targets.begin(), m_targets.end(), [&](const Target& t) { return t.id == id; });
  return it == m_targets.end() ? nullptr : &*it;
}

const Balancer::Target* Balancer::Find(const IncarnationId& id) const {
  const auto it = std::find_if(m_targets.begin(), m_targets.end(), [&](const Target& t) { return t.id == id; });
  return it == m_targets.end() ? nullptr : &*it;
}

void Balancer::SetTargets(TimePoint now, const std::vector<IncarnationId>& targets) {
  std::vector<Target> next;
  next.reserve(targets.size());
  for (const IncarnationId& id : targets) {
    if (Target* known = Find(id); known != nullptr) {
      next.push_back(std::move(*known));
    } else {
      Target target;
      target.id = id;
      target.latency_us = static_cast<double>(m_options.initial_latency.count());
      target.latency_at = now;
      next.push_back(std::move(target));
    }
  }
  m_targets = std::move(next);
}

void Balancer::OnLoadReport(TimePoint /*now*/, const IncarnationId& target, double load) {
  if (Target* found = Find(target); found != nullptr) {
    found->load = std::clamp(load, 0.0, 1.0);
  }
}

bool Balancer::IsCold(const Target& target) const {
  return target.successes < m_options.successes_until_warm;
}

bool Balancer::IsTargetEjected(const Target& target, TimePoint now) const {
  return now < target.ejected_until;
}

double Balancer::Score(const Target& target, TimePoint now) const {
  // Without new samples the average decays, so that a slow target is tried again.
  const double age = static_cast<double>((now - target.latency_at).count());
  const double latency =
      1 + target.latency_us * std::exp(-age / static_cast<double>(m_options.latency_decay_time.count()));
  const double load_factor = 1 + (m_options.max_load_factor - 1) * target.load;
  return (target.in_flight + 1) * latency * load_factor;
}

std::optional<IncarnationId> Balancer::Pick(TimePoint now, const std::vector<IncarnationId>& excluded) {
  const auto is_excluded = [&](const Target& target) {
    return std::find(excluded.begin(), excluded.end(), target.id) != excluded.end();
  };
  const auto is_available = [&](const Target& target) {
    return !IsTargetEjected(target, now) && !(IsCold(target) && target.in_flight >= m_options.max_cold_in_flight) &&
           !is_excluded(target);
  };
  std::size_t candidate_count = 0;
  for (const Target& target : m_targets) {
    candidate_count += is_available(target) ? 1 : 0;
  }
  // If no target is available, an ejected target or a busy cold one is picked instead of refusing the request. The
  // target's own gate protects it from overload.
  const bool ignore_limits = candidate_count == 0;
  const auto is_candidate = [&](const Target& target) {
    return ignore_limits ? !is_excluded(target) : is_available(target);
  };
  if (ignore_limits) {
    for (const Target& target : m_targets) {
      candidate_count += is_candidate(target) ? 1 : 0;
    }
  }
  if (candidate_count == 0) {
    return std::nullopt;
  }
  std::size_t first = NextRandom() % candidate_count;
  std::size_t second =
      candidate_count > 1 ? (first + 1 + NextRandom() % (candidate_count - 1)) % candidate_count : first;
  const Target* best = nullptr;
  std::size_t index = 0;
  for (const Target& target : m_targets) {
    if (!is_candidate(target)) {
      continue;
    }
    if ((index == first || index == second) && (best == nullptr || Score(target, now) < Score(*best, now))) {
      best = &target;
    }
    ++index;
  }
  return best->id;
}

void Balancer::OnSent(TimePoint /*now*/, const IncarnationId& target) {
  if (Target* found = Find(target); found != nullptr) {
    ++found->in_flight;
  }
}

void Balancer::OnEnded(TimePoint now, const IncarnationId& target, BalanceOutcome outcome, Duration latency) {
  Target* found = Find(target);
  if (found == nullptr) {
    return;
  }
  found->in_flight = std::max(0, found->in_flight - 1);
  const double sample = static_cast<double>(latency.count());
  if (outcome == BalanceOutcome::kFailed) {
    if (++found->failures < m_options.ejection_failure_threshold || IsTargetEjected(*found, now)) {
      return;
    }
    const auto max_ejected =
        static_cast<std::size_t>(m_options.max_ejected_share * static_cast<double>(m_targets.size()));
    if (EjectedCount(now) >= max_ejected) {
      return;
    }
    found->ejected_until = now + std::min(m_options.base_ejection_time * (1 << std::min(found->ejections, 10)),
                                          m_options.max_ejection_time);
    ++found->ejections;
    found->failures = m_options.ejection_failure_threshold - 1;  // one more failure after the ejection ejects it again
    found->successes = 0;
    return;
  }
  if (outcome == BalanceOutcome::kCancelled) {
    if (sample <= found->latency_us) {
      return;
    }
  } else {
    ++found->successes;
    found->failures = 0;
    found->ejections = 0;
  }
  // A higher latency replaces the average at once and a lower one moves it gradually, so that a slow target is avoided
  // after one slow response.
  found->latency_us =
      sample > found->latency_us ? sample : found->latency_us + kLatencyDecreaseWeight * (sample - found->latency_us);
  found->latency_at = now;
}

bool Balancer::IsEjected(TimePoint now, const IncarnationId& target) const {
  const Target* found = Find(target);
  return found != nullptr && IsTargetEjected(*found, now);
}

std::size_t Balancer::EjectedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
                                                [&](const Target& target) { return IsTargetEjected(target, now); }));
}

int Balancer::InFlight(const IncarnationId& target) const {
  const Target* found = Find(target);
  return found == nullptr ? 0 : found->in_flight;
}

// ---- Hedging ----

int HedgePolicy::BucketOf(std::int64_t micros) {
  const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(micros, 8));
  const int power = std::bit_width(value) - 1;  // at least 3
  const int eighth = static_cast<int>((value >> static_cast<unsigned>(power - 3)) & 7u);
  return std::min(kBucketCount - 1, (power - 3) * 8 + eighth);
}

void HedgePolicy::OnRequest() {
  m_tokens = std::min(m_options.max_tokens, m_tokens + m_options.tokens_per_request);
}

void HedgePolicy::OnLatency(Duration latency) {
  m_histogram[static_cast<std::size_t>(BucketOf(latency.count()))] += 1;
  m_samples += 1;
  if (m_samples >= 2 * kHistogramHalvingSamples) {
    m_samples = 0;
    for (double& count : m_histogram) {
      count /= 2;
      m_samples += count;
    }
  }
}

std::optional<Duration> HedgePolicy::Delay() const {
  if (m_samples < m_options.min_samples) {
    return std::nullopt;
  }
  double cumulative = 0;
  for (int bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative += m_histogram[static_cast<std::size_t>(bucket)];
    if (cumulative >= m_options.quantile * m_samples) {
      const int power = bucket / 8 + 3;
      const std::int64_t upper = static_cast<std::int64_t>(8 + bucket % 8 + 1) << static_cast<unsigned>(power - 3);
      return std::max(m_options.min_delay, Duration(upper));
    }
  }
  return std::nullopt;
}

bool HedgePolicy::TryTakeHedge() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace magnoliaarch
