#include "mesh_evidence_p.h"

#include <algorithm>
#include <cmath>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Time constant of the counts. Short against the time for which targets are in trouble, long against one request.
constexpr double kDecayS = 2;
// Good ends that are assumed beside the counted ones, so that one failure alone hardly changes the choice.
constexpr double kPriorGood = 4;
// Bad ends that a request without an answer counts as: it costs its caller all the time that is left, a refusal only a
// hop.
constexpr double kHungWeight = 4;
// Weight of the newest send in the averages of times.
constexpr double kTimeSampleWeight = 0.12;
// Largest factor by which the time on the way is counted.
constexpr double kMaxPathFactor = 8;
// No target is weighed as if it failed more often than this. Otherwise one trial after another would be avoided even if
// all targets of a service are in trouble.
constexpr double kMinGoodShare = 0.1;
// A reported share is used for this long; a node that is silent longer reports again once it is in touch.
constexpr Duration kReportedValid = std::chrono::seconds(3);

}  // namespace

double TargetEvidence::Decay(TimePoint now) const {
  return std::exp(-std::max(0.0, Seconds(now - m_updated_at)) / kDecayS);
}

void TargetEvidence::OnEnd(SendEnd end, TimePoint now) {
  const double decay = Decay(now);
  m_good *= decay;
  m_bad *= decay;
  m_updated_at = now;
  if (end == SendEnd::kServed) {
    m_good += 1;
  } else {
    m_bad += end == SendEnd::kHung ? kHungWeight : 1;
  }
}

double TargetEvidence::Bad(TimePoint now) const {
  return m_bad * Decay(now);
}

double TargetEvidence::GoodShare(TimePoint now) const {
  const double decay = Decay(now);
  const double good = m_good * decay + kPriorGood;
  return good / (good + m_bad * decay);
}

void EvidenceTable::OnReported(const std::string& node, std::uint32_t good_permille, TimePoint now) {
  if (good_permille == 0 || good_permille >= 1000) {
    m_reported.erase(node);
    return;
  }
  m_reported[node] = Reported{good_permille / 1000.0, now};
}

double EvidenceTable::GoodShare(const std::string& node, TimePoint now) const {
  double share = 1;
  if (const auto own = m_own.find(node); own != m_own.end()) {
    share = own->second.GoodShare(now);
  }
  if (const auto reported = m_reported.find(node);
      reported != m_reported.end() && now - reported->second.at < kReportedValid) {
    share = std::min(share, reported->second.good_share);
  }
  return share;
}

double EvidenceTable::CostFactor(const std::string& node, TimePoint now) const {
  return PathFactor(node, now) / std::max(kMinGoodShare, GoodShare(node, now));
}

void EvidenceTable::OnTimes(const std::string& node, Duration elapsed, Duration service, TimePoint now) {
  Times& times = m_times.try_emplace(node, Times{Seconds(elapsed), Seconds(service), now}).first->second;
  times.elapsed_s += (Seconds(elapsed) - times.elapsed_s) * kTimeSampleWeight;
  times.service_s += (Seconds(service) - times.service_s) * kTimeSampleWeight;
  times.at = now;
}

double EvidenceTable::PathFactor(const std::string& node, TimePoint now) const {
  const auto it = m_times.find(node);
  if (it == m_times.end() || it->second.service_s <= 0) {
    return 1;
  }
  const double ratio = std::clamp(it->second.elapsed_s / it->second.service_s, 1.0, kMaxPathFactor);
  return 1 + (ratio - 1) * std::exp(-std::max(0.0, Seconds(now - it->second.at)) / kDecayS);
}

}  // namespace magnoliaarch
