#include "mesh_rollout_p.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Shares of the bound that the exposure steps use. The rest of the bound is left for requests that are counted late.
constexpr std::array<double, 2> kStepShares = {0.4, 0.8};
// Answers of the version, without a verdict against it, that lead to the next step.
constexpr std::array<std::uint64_t, 1> kStepAnswers = {20};
constexpr std::uint32_t kMinCanaries = 2;
// Share of the order's time for which the version is watched before it is promoted, since some versions fail only
// later. The rest is for moving the load, and for time that a coordinator without the store lost before it saw the
// order.
constexpr double kObservedShare = 0.5;
// From this share on, a proven version is promoted although it brings less capacity than the others.
constexpr double kLatestPromotionShare = 0.7;
// Slots of the version's targets that accept requests, as a share of those of the others, from which on it can carry
// the load together with the spare room of its slots.
constexpr double kMinCapacityShare = 0.5;
// While it is promoted, the version serves at least this many requests on each of its targets, or this long, before the
// others get nothing more.
constexpr std::uint64_t kPromotionAnswersPerTarget = 10;
constexpr Duration kMaxPromotionTime = std::chrono::milliseconds(1200);
constexpr Duration kMinPromotionTime = std::chrono::milliseconds(400);
// Time for which the version serves the whole load before the others end, since some versions fail only under load, and
// the longest wait for the others' last requests.
constexpr Duration kMinFinishTime = std::chrono::milliseconds(1500);
constexpr Duration kMaxFinishTime = std::chrono::milliseconds(2500);
constexpr Duration kFinishingWindow = std::chrono::milliseconds(500);
// An order that is missing for longer was removed by the operator.
constexpr Duration kOrderAbsence = std::chrono::seconds(3);
constexpr Duration kFinalOrderAbsence = std::chrono::seconds(10);
// Share of the version's answers that must be failures for a verdict while it finishes.
constexpr double kFinishingFailureRate = 0.25;
constexpr double kMillion = 1e6;

struct VersionTotals {
  std::size_t accepting = 0;
  double slots = 0;  // of the accepting targets
  std::uint32_t running = 0;
  std::uint64_t answers = 0;
  std::uint64_t recent_answers = 0;
};

VersionTotals TotalsOf(const std::vector<VersionTargetEvidence>& targets, bool candidate) {
  VersionTotals totals;
  for (const VersionTargetEvidence& target : targets) {
    if (target.candidate != candidate) {
      continue;
    }
    totals.accepting += target.accepts ? 1 : 0;
    totals.slots += target.accepts ? target.slots : 0;
    totals.running += target.running;
    totals.answers += Sum(target.total).answers;
    totals.recent_answers += Sum(target.recent).answers;
  }
  return totals;
}

Duration DurationOf(const proto::RolloutRecord& record) {
  return std::chrono::milliseconds(record.duration_ms());
}

// Records hold whole milliseconds.
std::uint32_t DurationMs(const RolloutOrder& order) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(order.duration).count());
}

double ElapsedShare(const proto::RolloutRecord& record, const RolloutInput& input) {
  return Seconds(input.elapsed) / std::max(Seconds(DurationOf(record)), 0.001);
}

// While other versions get nothing new, there are no answers of the same seconds to compare with: a moment in which a
// called service fails would count against the version alone.
bool FailsWithoutComparison(const std::vector<VersionTargetEvidence>& targets) {
  RolloutTally candidate;
  RolloutTally others;
  for (const VersionTargetEvidence& target : targets) {
    (target.candidate ? candidate : others) += Sum(target.candidate ? target.recent : target.total);
  }
  return candidate.FailureRate() >= std::max(kFinishingFailureRate, 2 * others.FailureRate());
}

std::optional<RolloutStep> DecideExposing(const proto::RolloutRecord& record,
                                          const RolloutInput& input,
                                          const VersionJudgement& judgement) {
  const VersionTotals candidate = TotalsOf(input.targets, true);
  const VersionTotals others = TotalsOf(input.targets, false);
  const double elapsed = ElapsedShare(record, input);
  const bool last_step = record.step() + 1 >= kStepShares.size();
  if (judgement.verdict == VersionVerdict::kProven && last_step && elapsed >= kObservedShare) {
    const bool has_capacity = candidate.slots >= others.slots * kMinCapacityShare;
    if (candidate.accepting > 0 && (has_capacity || elapsed >= kLatestPromotionShare)) {
      return RolloutStep{proto::ROLLOUT_PROMOTING, record.step(), record.canaries(), judgement.reason};
    }
  }
  if (elapsed >= 1) {
    return RolloutStep{proto::ROLLOUT_ROLLED_BACK, record.step(), record.canaries(),
                       fmt::format("not proven in time: {}", judgement.reason)};
  }
  std::uint32_t step = record.step();
  if (!last_step && candidate.answers >= kStepAnswers.at(step)) {
    ++step;
  }
  const std::uint32_t canaries = CanaryCount(ExposureShare(step, input.bounds), others.accepting);
  if (step == record.step()) {
    return std::nullopt;
  }
  return RolloutStep{proto::ROLLOUT_EXPOSING, step, canaries,
                     fmt::format("{} answers without a verdict against the version", candidate.answers)};
}

std::optional<RolloutStep> DecidePromoting(const proto::RolloutRecord& record, const RolloutInput& input) {
  const VersionTotals candidate = TotalsOf(input.targets, true);
  if (candidate.accepting == 0) {
    return std::nullopt;
  }
  const bool served = candidate.recent_answers >= kPromotionAnswersPerTarget * candidate.accepting;
  if (input.in_phase < kMinPromotionTime || (!served && input.in_phase < kMaxPromotionTime)) {
    return std::nullopt;
  }
  return RolloutStep{proto::ROLLOUT_FINISHING, record.step(), record.canaries(),
                     fmt::format("{} targets serve without a verdict against the version", candidate.accepting)};
}

std::optional<RolloutStep> DecideFinishing(const proto::RolloutRecord& record, const RolloutInput& input) {
  const VersionTotals others = TotalsOf(input.targets, false);
  const VersionTotals candidate = TotalsOf(input.targets, true);
  const bool idle = others.running == 0 && input.targets_known;
  if (input.in_phase < kMinFinishTime || (!idle && input.in_phase < kMaxFinishTime) || candidate.accepting == 0 ||
      input.foreign_ranges > 0) {
    return std::nullopt;
  }
  return RolloutStep{proto::ROLLOUT_COMPLETED, record.step(), record.canaries(),
                     fmt::format("other versions hold no keys and {} requests", others.running)};
}

}  // namespace

std::uint32_t VersionHash(std::string_view version) {
  constexpr std::uint32_t kOffsetBasis = 2166136261U;  // FNV-1a
  constexpr std::uint32_t kPrime = 16777619U;
  if (version.empty()) {
    return 0;
  }
  std::uint32_t hash = kOffsetBasis;
  for (const char c : version) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash == 0 ? 1 : hash;
}

bool IsFinal(proto::RolloutPhase phase) {
  return phase == proto::ROLLOUT_COMPLETED || phase == proto::ROLLOUT_ROLLED_BACK;
}

RolloutState StateOf(proto::RolloutPhase phase) {
  switch (phase) {
    case proto::ROLLOUT_COMPLETED:
      return RolloutState::kCompleted;
    case proto::ROLLOUT_ROLLED_BACK:
      return RolloutState::kRolledBack;
    default:
      return RolloutState::kRunning;
  }
}

const char* NameOf(proto::RolloutPhase phase) {
  switch (phase) {
    case proto::ROLLOUT_PROMOTING:
      return "promoting";
    case proto::ROLLOUT_FINISHING:
      return "finishing";
    case proto::ROLLOUT_COMPLETED:
      return "completed";
    case proto::ROLLOUT_ROLLED_BACK:
      return "rolled back";
    default:
      return "exposing";
  }
}

Duration EvidenceWindowOf(proto::RolloutPhase phase) {
  return phase == proto::ROLLOUT_FINISHING ? kFinishingWindow : kEvidenceWindow;
}

std::optional<RolloutStep> DecideRollout(const proto::RolloutRecord& record, const RolloutInput& input) {
  if (IsFinal(record.phase())) {
    return std::nullopt;
  }
  const VersionJudgement judgement = JudgeVersion(input.targets);
  const bool is_against = judgement.verdict == VersionVerdict::kFailing || judgement.verdict == VersionVerdict::kSlow;
  if (is_against && (record.phase() != proto::ROLLOUT_FINISHING || FailsWithoutComparison(input.targets))) {
    return RolloutStep{proto::ROLLOUT_ROLLED_BACK, record.step(), record.canaries(), judgement.reason};
  }
  switch (record.phase()) {
    case proto::ROLLOUT_PROMOTING:
      return DecidePromoting(record, input);
    case proto::ROLLOUT_FINISHING:
      return DecideFinishing(record, input);
    default:
      return DecideExposing(record, input, judgement);
  }
}

double ExposureShare(std::uint32_t step, const RolloutBounds& bounds) {
  return bounds.expose_share * kStepShares.at(std::min<std::size_t>(step, kStepShares.size() - 1));
}

std::uint32_t CanaryCount(double share, std::size_t other_targets) {
  return std::max(kMinCanaries, static_cast<std::uint32_t>(std::lround(share * static_cast<double>(other_targets))));
}

OrderEffect EffectOfOrder(const RolloutOrder* order, const proto::RolloutRecord* record, Duration order_missing_for) {
  const bool running = record != nullptr && !IsFinal(record->phase());
  if (order == nullptr) {
    if (running) {
      return order_missing_for > kOrderAbsence ? OrderEffect::kAbandon : OrderEffect::kNone;
    }
    const bool to_mark = record != nullptr && !record->withdrawn() && order_missing_for > kFinalOrderAbsence;
    return to_mark ? OrderEffect::kWithdraw : OrderEffect::kNone;
  }
  if (record == nullptr) {
    return OrderEffect::kBegin;
  }
  if (order->version != record->to()) {
    return running ? OrderEffect::kAbandon : OrderEffect::kBegin;
  }
  if (DurationMs(*order) == record->duration_ms()) {
    return !running && record->withdrawn() ? OrderEffect::kBegin : OrderEffect::kNone;
  }
  return running ? OrderEffect::kExtend : OrderEffect::kBegin;
}

proto::RolloutRecord BeginRollout(const RolloutOrder& order,
                                  const proto::RolloutRecord* last,
                                  const RolloutBounds& bounds,
                                  std::int64_t now_ms) {
  proto::RolloutRecord record;
  record.set_service(order.service);
  record.set_to(order.version);
  record.set_duration_ms(DurationMs(order));
  record.set_started_ms(now_ms);
  if (last != nullptr) {
    for (const std::string& version : last->rejected()) {
      if (version != order.version) {
        record.add_rejected(version);
      }
    }
  }
  ApplyStep(RolloutStep{proto::ROLLOUT_EXPOSING, 0, kMinCanaries, "ordered"}, bounds, &record);
  return record;
}

void ApplyStep(const RolloutStep& step, const RolloutBounds& bounds, proto::RolloutRecord* record) {
  record->set_phase(step.phase);
  record->set_step(step.step);
  record->set_canaries(step.canaries);
  record->set_reason(step.reason);
  record->set_share_ppm(static_cast<std::uint32_t>(ExposureShare(step.step, bounds) * kMillion));
  if (step.phase == proto::ROLLOUT_ROLLED_BACK &&
      std::find(record->rejected().begin(), record->rejected().end(), record->to()) == record->rejected().end()) {
    record->add_rejected(record->to());
  }
}

}  // namespace magnoliaarch
