#include "mesh_rollout_exposure_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "mesh_rollout_p.h"

namespace magnoliaarch {
namespace {

// Credits that a node keeps while it finds no canary that takes a request.
constexpr double kMaxCredit = 3;
// A node that has not heard from the coordinator for this long judges by its own sends.
constexpr Duration kDeciderSilence = std::chrono::milliseconds(1000);
// Prefers canaries while there is credit, or the share would only be used when the others are full.
constexpr double kCanaryCostFactor = 0.1;
// After a completed roll-out, targets of other versions are a last resort.
constexpr double kReplacedCostFactor = 100;
constexpr double kMillion = 1e6;

}  // namespace

void RolloutExposure::Update(const RolloutOrder* order, const proto::RolloutRecord* record, double first_credit) {
  // An order without a record of its own is not decided about yet: its version gets nothing.
  const std::string to = order != nullptr ? order->version : record != nullptr ? record->to() : std::string();
  const std::uint32_t version = VersionHash(to);
  m_rejected.clear();
  if (record != nullptr) {
    for (const std::string& rejected : record->rejected()) {
      m_rejected.insert(VersionHash(rejected));
    }
    if (record->to() != to && record->phase() != proto::ROLLOUT_COMPLETED) {
      m_rejected.insert(VersionHash(record->to()));
    }
  }
  m_has_record = record != nullptr && record->to() == to;
  const bool begins = version != m_version || (m_has_record && IsFinal(m_phase) && !IsFinal(record->phase()));
  if (begins) {
    m_version = version;
    m_credit = 0;
    m_exposed = 0;
    m_stopped = false;
    m_canaries.clear();
    m_own_version = RolloutTally();
    m_own_others = RolloutTally();
  }
  if (m_has_record && std::exchange(m_saw_order, false)) {
    m_credit = first_credit;
  }
  m_saw_order = m_saw_order || !m_has_record;
  m_phase = m_has_record ? record->phase() : proto::ROLLOUT_EXPOSING;
  m_share = m_has_record ? record->share_ppm() / kMillion : 0;
  m_canary_count = m_has_record ? record->canaries() : 0;
}

void RolloutExposure::SetTargets(std::vector<ExposureTarget> targets) {
  std::erase_if(targets, [&](const ExposureTarget& target) { return !target.accepts || !IsCandidate(target.version); });
  std::sort(targets.begin(), targets.end(), [](const ExposureTarget& a, const ExposureTarget& b) {
    return std::make_tuple(NodeHash(a.node), a.node) < std::make_tuple(NodeHash(b.node), b.node);
  });
  m_canaries.clear();
  for (const ExposureTarget& target : targets) {
    if (m_canaries.size() < m_canary_count) {
      m_canaries.insert(target.node);
    }
  }
}

void RolloutExposure::OnDecider(TimePoint now, bool stopped) {
  m_heard_at = now;
  m_stopped = stopped;
}

bool RolloutExposure::IsStopped(TimePoint now) const {
  return m_stopped || (now - m_heard_at > kDeciderSilence && FailsMore(m_own_version, m_own_others));
}

bool RolloutExposure::Admits(TimePoint now, std::uint32_t version, const std::string& node, bool any_target) const {
  if (m_rejected.contains(version)) {
    return false;
  }
  if (!IsCandidate(version)) {
    // Keys of other versions stay with them until they have moved.
    return any_target || !m_has_record || m_phase != proto::ROLLOUT_FINISHING;
  }
  if (!m_has_record || IsStopped(now)) {
    return m_has_record && m_phase == proto::ROLLOUT_COMPLETED;
  }
  if (m_phase != proto::ROLLOUT_EXPOSING) {
    return m_phase != proto::ROLLOUT_ROLLED_BACK;
  }
  return m_credit >= 1 && (any_target || m_canaries.contains(node));
}

double RolloutExposure::CostFactor(std::uint32_t version) const {
  if (!m_has_record) {
    return 1;
  }
  if (m_phase == proto::ROLLOUT_EXPOSING) {
    return IsCandidate(version) ? kCanaryCostFactor : 1;
  }
  return m_phase == proto::ROLLOUT_COMPLETED && !IsCandidate(version) ? kReplacedCostFactor : 1;
}

void RolloutExposure::OnSend(std::uint32_t version) {
  if (IsCandidate(version)) {
    m_credit -= 1;
    ++m_exposed;
  }
}

void RolloutExposure::OnSendEnded(std::uint32_t version, VersionSendEnd end) {
  if (end == VersionSendEnd::kNotReached) {
    if (IsCandidate(version)) {
      m_credit = std::min(m_credit + 1, kMaxCredit);
      m_exposed -= std::min<std::uint64_t>(m_exposed, 1);
    }
    return;
  }
  if (m_has_record && m_phase == proto::ROLLOUT_EXPOSING) {
    m_credit = std::min(m_credit + m_share, kMaxCredit);
  }
  if (end == VersionSendEnd::kRejected) {
    return;
  }
  RolloutTally& tally = IsCandidate(version) ? m_own_version : m_own_others;
  ++tally.answers;
  tally.failures += end == VersionSendEnd::kFailed ? 1 : 0;
}

bool RolloutExposure::MayServe(std::uint32_t version) const {
  return !m_rejected.contains(version) && !(IsCandidate(version) && m_stopped);
}

}  // namespace magnoliaarch
