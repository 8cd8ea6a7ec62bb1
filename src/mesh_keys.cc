#include "mesh_keys_p.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "duration_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

// Time constant of the measured rates, in seconds.
constexpr double kLoadDecayS = 1.5;
// Rates of a shorter time than this are not corrected further: a few requests would look like a high rate.
constexpr double kMinWindowS = 0.3;
constexpr Duration kMinDecayInterval = std::chrono::milliseconds(100);
constexpr double kMinTrackedCount = 0.02;
// Number of pieces of equal load in a range's load report.
constexpr int kPiecesPerRange = 8;
// Minimum difference between the excess utilizations of two targets for a move of keys between them. Smaller gains are
// not worth the pause of the moved keys.
constexpr double kMinUtilizationGap = 0.25;
// Upper bound in seconds and number of steps of the binary search for the common wait. Beyond the bound all targets are
// full.
constexpr double kMaxWaitS = 60;
constexpr int kWaitSearchSteps = 40;
// Targets above this utilization receive no keys: an overloaded target refuses requests, so moving keys between two
// overloaded targets gains nothing.
constexpr double kMaxDestinationUtilization = 0.9;
// Minimum time between two balancing moves away from one target, so that the measured rates can follow.
constexpr Duration kMinMoveInterval = std::chrono::milliseconds(700);
constexpr std::size_t kMaxMovesPerPlan = 6;
// A target above this utilization gives away several parts of its keys with one plan: its requests would be refused
// until the last of them has moved.
constexpr double kOverloadedUtilization = 1.0;
// If a target has this many ranges, none of them is split further.
constexpr int kMaxRangesPerTarget = 16;
// A leaving target's range is split into parts of at most this share of the target's capacity, so that no successor
// receives more at once.
constexpr double kMaxLeavingShare = 0.2;
// Minimum time between merges of adjacent ranges of one owner, and the average number of ranges per target above which
// ranges are merged.
constexpr Duration kMergePeriod = std::chrono::milliseconds(2500);
constexpr int kMergeAboveRangesPerTarget = 3;
// A plan's write names each lost node in a condition, and the store takes a limited number of conditions.
constexpr std::size_t kMaxLostPerPlan = 24;
// A lost owner's range is split into at most this many parts, so that the table stays short with many targets.
constexpr std::size_t kMaxPartsOfLostRange = 8;
// When the owner of a range is lost, the range is split only if it has at least this many keys.
constexpr std::uint32_t kMinSplittableKeys = 2048;
// Bonus, as a share of the wanted rate, for a move that keeps the number of ranges low.
constexpr double kAdjacencyBonus = 0.25;
// Fraction of a cold target's capacity that plans count on.
constexpr double kColdCapacityShare = 0.25;

// Utilization that a target's measured rate exceeds its mean rate by chance, for the busiest of this many equally
// loaded targets: the rate is an exponential average of Poisson arrivals.
double MeasurementNoise(const KeyTarget& target, double rate, std::size_t targets) {
  const double window_s = target.window_s > 0 ? std::min(target.window_s, 2 * kLoadDecayS) : 2 * kLoadDecayS;
  const double deviation = std::sqrt(std::max(rate, 1.0) / window_s);
  const double highest_of_all = std::sqrt(2 * std::log(static_cast<double>(std::max<std::size_t>(targets, 2))));
  return highest_of_all * deviation / target.Capacity();
}

double CapacityOf(const KeyTarget& target) {
  return target.Capacity() * (target.cold ? kColdCapacityShare : 1.0);
}

// A part of an owned range with its rate in requests per second.
struct RangePiece {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  double rate = 0;
};

const proto::RangeLoad* LoadOf(const KeyTarget& target, std::uint32_t first) {
  for (const proto::RangeLoad& load : target.loads) {
    if (load.first() == first) {
      return &load;
    }
  }
  return nullptr;
}

// Splits a range into pieces of about equal load.
std::vector<RangePiece> PiecesOf(const proto::KeyRange& range, const proto::RangeLoad* load) {
  std::vector<std::uint32_t> starts = {range.first()};
  double rate = 0;
  if (load != nullptr) {
    rate = load->rate_milli() / 1000.0;
    for (const std::uint32_t split : load->splits()) {
      if (split > starts.back() && split <= range.last()) {
        starts.push_back(split);
      }
    }
  }
  std::vector<RangePiece> pieces;
  for (std::size_t i = 0; i < starts.size(); ++i) {
    const std::uint32_t last = i + 1 < starts.size() ? starts[i + 1] - 1 : range.last();
    pieces.push_back(RangePiece{starts[i], last, rate / static_cast<double>(starts.size())});
  }
  return pieces;
}

// Splits a range into pieces of about equal load, according to the last report of its owner.
std::vector<RangePiece> PiecesOf(const proto::KeyRange& range, const KeyTarget* owner) {
  return PiecesOf(range, owner != nullptr ? LoadOf(*owner, range.first()) : nullptr);
}

// The load of the pieces that lie within a part of their range.
proto::RangeLoad LoadOfPart(const std::vector<RangePiece>& pieces, std::uint32_t first, std::uint32_t last) {
  proto::RangeLoad load;
  load.set_first(first);
  double rate = 0;
  for (const RangePiece& piece : pieces) {
    if (piece.first < first || piece.last > last) {
      continue;
    }
    rate += piece.rate;
    if (piece.first > first) {
      load.add_splits(piece.first);
    }
  }
  load.set_rate_milli(static_cast<std::uint32_t>(rate * 1000));
  return load;
}

// Splits a range into parts of equal width, for ranges of unknown load.
std::vector<RangePiece> EvenPieces(const proto::KeyRange& range, std::size_t parts, double rate) {
  const std::uint32_t width = range.last() - range.first() + 1;
  const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(std::max<std::size_t>(parts, 1), width));
  std::vector<RangePiece> pieces;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t first = range.first() + static_cast<std::uint32_t>(std::uint64_t{width} * i / count);
    const std::uint32_t next = range.first() + static_cast<std::uint32_t>(std::uint64_t{width} * (i + 1) / count);
    pieces.push_back(RangePiece{first, next - 1, rate / count});
  }
  return pieces;
}

// Utilization of a target at which a request waits this long on average. Uses the formula of a queue with one server:
// wait = service time * utilization / (1 - utilization). At equal waits fast targets are utilized more than slow ones,
// and all about equally when all are busy.
double UtilizationAtWait(const KeyTarget& target, double wait_s) {
  return wait_s / (wait_s + target.service_s);
}

// The wait, in seconds, at which these targets together serve the rate.
double CommonWait(const std::vector<const KeyTarget*>& targets, double rate) {
  double low = 0;
  double high = kMaxWaitS;
  for (int step = 0; step < kWaitSearchSteps; ++step) {
    const double wait = (low + high) / 2;
    double carried = 0;
    for (const KeyTarget* target : targets) {
      carried += CapacityOf(*target) * UtilizationAtWait(*target, wait);
    }
    (carried < rate ? low : high) = wait;
  }
  return high;
}

int RangesOf(const proto::KeyTable& table, const std::string& node) {
  return static_cast<int>(std::count_if(table.ranges().begin(), table.ranges().end(),
                                        [&](const proto::KeyRange& range) { return range.owner().node() == node; }));
}

}  // namespace

void KeyLoadMeter::OnRequest(TimePoint now, std::uint32_t key) {
  if (m_first_request_at == TimePoint()) {
    m_first_request_at = now;
  }
  Decay(now);
  m_counts[key] += 1;
}

double KeyLoadMeter::WindowS(TimePoint now) const {
  if (!m_corrects_start || m_first_request_at == TimePoint()) {
    return 0;
  }
  return std::max(Seconds(now - m_first_request_at), kMinWindowS);
}

void KeyLoadMeter::Decay(TimePoint now) {
  if (m_last_decay_at == TimePoint()) {
    m_last_decay_at = now;
  }
  const Duration passed = now - m_last_decay_at;
  if (passed < kMinDecayInterval) {
    return;
  }
  m_last_decay_at = now;
  const double factor = std::exp(-std::chrono::duration<double>(passed).count() / kLoadDecayS);
  for (auto it = m_counts.begin(); it != m_counts.end();) {
    it->second *= factor;
    it = it->second < kMinTrackedCount ? m_counts.erase(it) : std::next(it);
  }
}

proto::RangeLoad KeyLoadMeter::Measure(TimePoint now, std::uint32_t first, std::uint32_t last) {
  Decay(now);
  proto::RangeLoad load;
  load.set_first(first);
  const auto begin = m_counts.lower_bound(first);
  const auto end = m_counts.upper_bound(last);
  double total = 0;
  for (auto it = begin; it != end; ++it) {
    total += it->second;
  }
  const double window_s = WindowS(now);
  const double weight = window_s > 0 ? 1 - std::exp(-window_s / kLoadDecayS) : 1;
  load.set_rate_milli(static_cast<std::uint32_t>(total / (kLoadDecayS * weight) * 1000));
  double sum = 0;
  int piece = 1;
  for (auto it = begin; it != end; ++it) {
    // The key starts a new piece if the pieces before it have their share of the load.
    if (it->first > first && sum >= total * piece / kPiecesPerRange) {
      load.add_splits(it->first);
      while (sum >= total * piece / kPiecesPerRange) {
        ++piece;
      }
    }
    sum += it->second;
  }
  return load;
}

KeyPlan KeyPlanner::Plan(const KeyPlanInput& input, const proto::KeyTable& table) {
  KeyPlan plan;
  plan.table = table;
  m_projected_rates.clear();
  for (const auto& [node, target] : input.targets) {
    m_projected_rates[node] = target.offered;
  }
  // A target's reports show a new load only with the delay of its moving average.
  std::erase_if(m_expected_loads,
                [&](const ExpectedLoad& move) { return input.now - move.planned_at > std::chrono::seconds(5); });
  for (const ExpectedLoad& move : m_expected_loads) {
    const double age = std::chrono::duration<double>(input.now - move.planned_at).count();
    m_projected_rates[move.node] += move.rate * std::exp(-age / kLoadDecayS);
  }
  if (table.ranges().empty()) {
    AssignInitial(input, &plan);
    return plan;
  }
  // The load of keys that are being moved no longer counts for their current owner.
  for (const proto::KeyRange& range : table.ranges()) {
    const auto owner = input.targets.find(range.owner().node());
    if (range.has_successor() && owner != input.targets.end()) {
      const proto::RangeLoad* load = LoadOf(owner->second, range.first());
      const double rate = load != nullptr ? load->rate_milli() / 1000.0 : 0;
      m_projected_rates[range.owner().node()] -= rate;
    }
  }
  ComputeUtilizationGoals(input);
  ReassignLost(input, &plan);
  MoveFromLeaving(input, &plan);
  Balance(input, &plan);
  if (!plan.changed) {
    MergeRanges(input, &plan);
  }
  return plan;
}

void KeyPlanner::ComputeUtilizationGoals(const KeyPlanInput& input) {
  std::vector<const KeyTarget*> targets;
  double rate = 0;
  for (const auto& [node, target] : input.targets) {
    rate += m_projected_rates[node];
    if (target.accepts && !target.leaving) {
      targets.push_back(&target);
    }
  }
  const double wait = CommonWait(targets, rate);
  m_utilization_goals.clear();
  for (const KeyTarget* target : targets) {
    m_utilization_goals[target->life.node()] = UtilizationAtWait(*target, wait);
  }
}

double KeyPlanner::ExcessUtilization(const KeyTarget& target, double added_rate) const {
  const auto rate = m_projected_rates.find(target.life.node());
  const auto goal = m_utilization_goals.find(target.life.node());
  const double utilization = ((rate != m_projected_rates.end() ? rate->second : 0) + added_rate) / CapacityOf(target);
  return utilization - (goal != m_utilization_goals.end() ? goal->second : 0);
}

const KeyTarget* KeyPlanner::LeastUtilized(const KeyPlanInput& input,
                                           double added_rate,
                                           const std::string& except) const {
  const KeyTarget* best = nullptr;
  double least_excess = 0;
  for (const auto& [node, target] : input.targets) {
    if (!target.accepts || target.leaving || node == except) {
      continue;
    }
    const double excess = ExcessUtilization(target, added_rate);
    if (best == nullptr || excess < least_excess) {
      best = &target;
      least_excess = excess;
    }
  }
  return best;
}

void KeyPlanner::AddExpectedLoad(const std::string& node, double rate, TimePoint now) {
  m_projected_rates[node] += rate;
  m_expected_loads.push_back(ExpectedLoad{node, rate, now});
}

// A merged range gets a new fence; the pause until its owner has the new grant is negligible.
void KeyPlanner::MergeRanges(const KeyPlanInput& input, KeyPlan* plan) {
  if (input.now - m_last_merge_at < kMergePeriod ||
      plan->table.ranges_size() <=
          kMergeAboveRangesPerTarget * static_cast<int>(std::max<std::size_t>(input.targets.size(), 1))) {
    return;
  }
  m_last_merge_at = input.now;
  proto::KeyTable next;
  next.set_last_fence(plan->table.last_fence());
  for (const proto::KeyRange& range : plan->table.ranges()) {
    proto::KeyRange* last = next.ranges().empty() ? nullptr : next.mutable_ranges(next.ranges_size() - 1);
    const auto owner = input.targets.find(range.owner().node());
    const bool owner_available =
        owner != input.targets.end() && owner->second.accepts && SameLife(owner->second.life, range.owner());
    if (last == nullptr || !owner_available || range.has_successor() || last->has_successor() ||
        !SameLife(last->owner(), range.owner())) {
      *next.add_ranges() = range;
      continue;
    }
    last->set_last(range.last());
    last->clear_handover();
    next.set_last_fence(next.last_fence() + 1);
    last->set_fence(next.last_fence());
  }
  if (next.ranges_size() < plan->table.ranges_size()) {
    plan->reason = fmt::format("{} ranges merged into {}", plan->table.ranges_size(), next.ranges_size());
    plan->table = std::move(next);
    plan->changed = true;
  }
}

void KeyPlanner::AssignInitial(const KeyPlanInput& input, KeyPlan* plan) {
  std::vector<const KeyTarget*> targets;
  double slots = 0;
  for (const auto& [node, target] : input.targets) {
    if (target.accepts && !target.leaving) {
      targets.push_back(&target);
      slots += target.slots;
    }
  }
  double before = 0;
  for (const KeyTarget* target : targets) {
    const auto first = static_cast<std::uint32_t>(std::floor((kMaxKey + 1) * before / slots));
    before += target->slots;
    const auto next = static_cast<std::uint32_t>(std::floor((kMaxKey + 1) * before / slots));
    proto::KeyRange* range = plan->table.add_ranges();
    range->set_first(first);
    range->set_last(target == targets.back() ? kMaxKey : next - 1);
    *range->mutable_owner() = target->life;
    plan->table.set_last_fence(plan->table.last_fence() + 1);
    range->set_fence(plan->table.last_fence());
    plan->changed = true;
  }
  plan->reason = "first assignment";
}

void KeyPlanner::ReassignLost(const KeyPlanInput& input, KeyPlan* plan) {
  proto::KeyTable next;
  next.set_last_fence(plan->table.last_fence());
  const auto accepting = static_cast<std::size_t>(std::count_if(
      input.targets.begin(), input.targets.end(), [](const auto& t) { return t.second.accepts && !t.second.leaving; }));
  const auto cold = static_cast<std::size_t>(std::count_if(
      input.targets.begin(), input.targets.end(), [](const auto& t) { return t.second.accepts && t.second.cold; }));
  const bool mostly_cold = cold * 2 > accepting;
  bool changed = false;
  for (proto::KeyRange& range : *plan->table.mutable_ranges()) {
    const std::string& node = range.owner().node();
    const auto owner = input.targets.find(node);
    // The keys of further lost nodes follow with the next plans.
    const bool lease_ended = input.lost_nodes.contains(node) &&
                             (plan->required_absent.contains(node) || plan->required_absent.size() < kMaxLostPerPlan);
    const bool replaced = owner != input.targets.end() && owner->second.life.start_ms() > range.owner().start_ms();
    const bool ended = input.ended_targets.contains(node) && owner != input.targets.end() &&
                       SameLife(owner->second.life, range.owner());
    if (!(lease_ended || replaced || ended) || accepting == 0) {
      *next.add_ranges() = std::move(range);
      continue;
    }
    changed = true;
    if (lease_ended) {
      plan->required_absent.insert(node);
    }
    plan->reason = fmt::format("owner {} {}", node, lease_ended ? "lost" : replaced ? "restarted" : "ended");
    if (replaced && mostly_cold && owner->second.accepts) {
      // After a restart of most targets the keys stay where they were: they are already spread by load, and no other
      // target is warmer.
      proto::KeyRange* kept = next.add_ranges();
      *kept = std::move(range);
      *kept->mutable_owner() = owner->second.life;
      kept->clear_successor();
      kept->clear_handover();
      next.set_last_fence(next.last_fence() + 1);
      kept->set_fence(next.last_fence());
      continue;
    }
    std::vector<RangePiece> pieces = PiecesOf(range, owner != input.targets.end() ? &owner->second : nullptr);
    if (pieces.size() > 1 && range.last() - range.first() < kMinSplittableKeys) {
      pieces = {RangePiece{range.first(), range.last(), pieces.front().rate * static_cast<double>(pieces.size())}};
    } else if (pieces.size() < std::min(accepting, kMaxPartsOfLostRange)) {
      pieces = EvenPieces(range, std::min(accepting, kMaxPartsOfLostRange), 0);
    }
    for (const RangePiece& piece : pieces) {
      const KeyTarget* target = LeastUtilized(input, piece.rate, "");
      const double share = static_cast<double>(piece.last - piece.first + 1) / (kMaxKey + 1);
      AddExpectedLoad(target->life.node(), std::max(piece.rate, share * target->Capacity()), input.now);
      proto::KeyRange* moved = next.add_ranges();
      moved->set_first(piece.first);
      moved->set_last(piece.last);
      *moved->mutable_owner() = target->life;
      next.set_last_fence(next.last_fence() + 1);
      moved->set_fence(next.last_fence());
    }
  }
  plan->table = std::move(next);
  plan->changed = plan->changed || changed;
}

void KeyPlanner::MoveFromLeaving(const KeyPlanInput& input, KeyPlan* plan) {
  proto::KeyTable next;
  next.set_last_fence(plan->table.last_fence());
  bool changed = false;
  for (proto::KeyRange& range : *plan->table.mutable_ranges()) {
    const auto owner = input.targets.find(range.owner().node());
    const bool leaving = owner != input.targets.end() && owner->second.leaving;
    bool successor_valid = false;
    if (range.has_successor()) {
      const auto successor = input.targets.find(range.successor().node());
      successor_valid = successor != input.targets.end() && SameLife(successor->second.life, range.successor()) &&
                        successor->second.accepts && !successor->second.leaving;
    }
    if (range.has_successor() && !successor_valid && !leaving) {
      // The planned successor is not available any more; the owner keeps its keys.
      range.clear_successor();
      changed = true;
    }
    if (!leaving || successor_valid || LeastUtilized(input, 0, range.owner().node()) == nullptr) {
      *next.add_ranges() = std::move(range);
      continue;
    }
    changed = true;
    plan->reason = fmt::format("owner {} leaves", range.owner().node());
    const std::vector<RangePiece> pieces = PiecesOf(range, &owner->second);
    double rate = 0;
    for (const RangePiece& piece : pieces) {
      rate += piece.rate;
    }
    const auto parts = static_cast<std::size_t>(std::clamp(
        std::ceil(rate / (kMaxLeavingShare * owner->second.Capacity())), 1.0, static_cast<double>(pieces.size())));
    std::vector<RangePiece> groups(parts, RangePiece{UINT32_MAX, 0, 0});
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      RangePiece& group = groups[i * parts / pieces.size()];
      group.first = std::min(group.first, pieces[i].first);
      group.last = std::max(group.last, pieces[i].last);
      group.rate += pieces[i].rate;
    }
    for (const RangePiece& piece : groups) {
      const KeyTarget* target = LeastUtilized(input, piece.rate, range.owner().node());
      AddExpectedLoad(target->life.node(), piece.rate, input.now);
      proto::KeyRange* last = next.ranges().empty() ? nullptr : next.mutable_ranges(next.ranges_size() - 1);
      if (last != nullptr && last->fence() == range.fence() && last->has_successor() &&
          last->last() + 1 == piece.first && SameLife(last->successor(), target->life)) {
        last->set_last(piece.last);
        continue;
      }
      proto::KeyRange* moved = next.add_ranges();
      *moved = range;
      moved->set_first(piece.first);
      moved->set_last(piece.last);
      *moved->mutable_successor() = target->life;
    }
  }
  if (changed) {
    plan->table = std::move(next);
    plan->changed = true;
  } else {
    plan->table.mutable_ranges()->Swap(next.mutable_ranges());
  }
}

void KeyPlanner::Balance(const KeyPlanInput& input, KeyPlan* plan) {
  std::set<std::string> moving;
  for (const proto::KeyRange& range : plan->table.ranges()) {
    if (range.has_successor()) {
      moving.insert(range.owner().node());
    }
  }
  std::set<std::string> exhausted_sources;
  std::set<std::string> sources;
  // Loads of the ranges that this plan has split, by their first keys; the reports do not have them yet.
  std::map<std::uint32_t, proto::RangeLoad> split_loads;
  const auto load_of = [&](const KeyTarget& owner, const proto::KeyRange& range) {
    const auto split = split_loads.find(range.first());
    return owner.window_s > 0 && split != split_loads.end() ? &split->second : LoadOf(owner, range.first());
  };
  for (std::size_t move = 0; move < kMaxMovesPerPlan; ++move) {
    const KeyTarget* busiest = nullptr;
    double most_excess = 0;
    for (const auto& [node, target] : input.targets) {
      const double excess = ExcessUtilization(target, 0);
      const auto moved = m_last_move_at.find(node);
      const bool moved_recently = moved != m_last_move_at.end() && input.now - moved->second < kMinMoveInterval;
      const bool may_give_more = target.window_s <= 0 || !sources.contains(node) ||
                                 m_projected_rates[node] > kOverloadedUtilization * CapacityOf(target);
      if (target.accepts && !target.leaving && !moved_recently && !moving.contains(node) && may_give_more &&
          !exhausted_sources.contains(node) && excess > most_excess &&
          excess > MeasurementNoise(target, m_projected_rates[node], input.targets.size())) {
        busiest = &target;
        most_excess = excess;
      }
    }
    if (busiest == nullptr) {
      break;
    }
    const std::string source = busiest->life.node();
    const KeyTarget* idlest = LeastUtilized(input, 0, source);
    if (idlest == nullptr) {
      break;
    }
    const double least_excess = ExcessUtilization(*idlest, 0);
    const double source_utilization = m_projected_rates[source] / CapacityOf(*busiest);
    const double destination_utilization = m_projected_rates[idlest->life.node()] / CapacityOf(*idlest);
    if (most_excess - least_excess < kMinUtilizationGap || destination_utilization > kMaxDestinationUtilization) {
      break;
    }
    // The rate to move such that both targets end up equally far from their goals.
    const double source_capacity = CapacityOf(*busiest);
    const double destination_capacity = CapacityOf(*idlest);
    double wanted = (most_excess - least_excess) / (1 / source_capacity + 1 / destination_capacity);
    if (busiest->window_s > 0 && source_utilization > kOverloadedUtilization && least_excess < 0) {
      // Several targets share what the source cannot serve, and none of them is filled beyond its goal.
      wanted = std::min(wanted, -least_excess * destination_capacity);
    }
    // Find the contiguous pieces at one end of a range whose rate comes closest to the wanted rate, without exceeding
    // it by much.
    int best_range = -1;
    RangePiece best;
    double best_distance = wanted;
    for (int i = 0; i < plan->table.ranges_size(); ++i) {
      const proto::KeyRange& range = plan->table.ranges(i);
      if (!SameLife(range.owner(), busiest->life) || range.has_successor()) {
        continue;
      }
      const std::vector<RangePiece> pieces = PiecesOf(range, load_of(*busiest, range));
      const auto consider = [&](auto begin, auto end) {
        RangePiece sum{UINT32_MAX, 0, 0};
        for (auto it = begin; it != end; ++it) {
          sum.first = std::min(sum.first, it->first);
          sum.last = std::max(sum.last, it->last);
          sum.rate += it->rate;
          double distance = std::abs(wanted - sum.rate);
          // Moving whole ranges, or pieces next to the destination's ranges, keeps the table short.
          const bool whole_range = sum.first == range.first() && sum.last == range.last();
          const bool before =
              sum.first == range.first() && i > 0 && SameLife(plan->table.ranges(i - 1).owner(), idlest->life);
          const bool after = sum.last == range.last() && i + 1 < plan->table.ranges_size() &&
                             SameLife(plan->table.ranges(i + 1).owner(), idlest->life);
          distance -= kAdjacencyBonus * wanted * ((whole_range ? 1 : 0) + (before ? 1 : 0) + (after ? 1 : 0));
          if (sum.rate > 0 && distance < best_distance && sum.rate < wanted * 1.5) {
            best_distance = distance;
            best = sum;
            best_range = i;
          }
        }
      };
      consider(pieces.begin(), pieces.end());
      consider(pieces.rbegin(), pieces.rend());
    }
    if (best_range < 0) {
      exhausted_sources.insert(source);
      continue;
    }
    const proto::KeyRange source_range = plan->table.ranges(best_range);
    const bool needs_split = best.first != source_range.first() || best.last != source_range.last();
    if (needs_split && RangesOf(plan->table, source) >= kMaxRangesPerTarget) {
      exhausted_sources.insert(source);
      continue;
    }
    const std::vector<RangePiece> source_pieces = PiecesOf(source_range, load_of(*busiest, source_range));
    proto::KeyTable next;
    next.set_last_fence(plan->table.last_fence());
    for (int i = 0; i < plan->table.ranges_size(); ++i) {
      if (i != best_range) {
        *next.add_ranges() = plan->table.ranges(i);
        continue;
      }
      const auto add = [&](std::uint32_t first, std::uint32_t last, bool moved) {
        proto::KeyRange* part = next.add_ranges();
        *part = source_range;
        part->set_first(first);
        part->set_last(last);
        if (moved) {
          *part->mutable_successor() = idlest->life;
        } else {
          split_loads[first] = LoadOfPart(source_pieces, first, last);
        }
      };
      if (best.first > source_range.first()) {
        add(source_range.first(), best.first - 1, false);
      }
      add(best.first, best.last, true);
      if (best.last < source_range.last()) {
        add(best.last + 1, source_range.last(), false);
      }
    }
    plan->table = std::move(next);
    plan->changed = true;
    plan->reason = fmt::format("{} at {:.2f}, {:.2f} above its goal, gives {:.1f}/s of {}-{} to {} at {:.2f}", source,
                               source_utilization, most_excess, best.rate, best.first, best.last, idlest->life.node(),
                               destination_utilization);
    m_projected_rates[source] -= best.rate;
    AddExpectedLoad(idlest->life.node(), best.rate, input.now);
    sources.insert(source);
  }
  for (const std::string& source : sources) {
    m_last_move_at[source] = input.now;
  }
}

std::string PackTable(const proto::KeyTable& table) {
  proto::PackedTable packed;
  packed.set_last_fence(table.last_fence());
  // Lives are sorted by their own fields, so that a move does not change their positions.
  std::map<std::tuple<std::string, std::string, std::int64_t>, std::uint32_t> positions;
  const auto key_of = [](const proto::TargetLife& life) {
    return std::make_tuple(life.node(), life.id(), life.start_ms());
  };
  for (const proto::KeyRange& range : table.ranges()) {
    positions.emplace(key_of(range.owner()), 0);
    if (range.has_successor()) {
      positions.emplace(key_of(range.successor()), 0);
    }
  }
  for (auto& [key, position] : positions) {
    position = static_cast<std::uint32_t>(packed.lives_size());
    proto::TargetLife* life = packed.add_lives();
    life->set_node(std::get<0>(key));
    life->set_id(std::get<1>(key));
    life->set_start_ms(std::get<2>(key));
  }
  const auto position_of = [&](const proto::TargetLife& life) { return positions.at(key_of(life)); };
  for (const proto::KeyRange& range : table.ranges()) {
    proto::PackedRange* stored = packed.add_ranges();
    stored->set_last(range.last());
    stored->set_owner(position_of(range.owner()));
    stored->set_fence(range.fence());
    stored->set_handover(range.handover());
    if (range.has_successor()) {
      stored->set_successor(position_of(range.successor()) + 1);
    }
  }
  return packed.SerializeAsString();
}

bool UnpackTable(std::string_view text, proto::KeyTable* table) {
  proto::PackedTable packed;
  if (!packed.ParseFromArray(text.data(), static_cast<int>(text.size()))) {
    return false;
  }
  table->Clear();
  table->set_last_fence(packed.last_fence());
  const auto lives = static_cast<std::uint32_t>(packed.lives_size());
  std::uint32_t first = 0;
  for (const proto::PackedRange& stored : packed.ranges()) {
    if (stored.owner() >= lives || stored.successor() > lives || stored.last() < first || stored.last() > kMaxKey) {
      return false;
    }
    proto::KeyRange* range = table->add_ranges();
    range->set_first(first);
    range->set_last(stored.last());
    *range->mutable_owner() = packed.lives(static_cast<int>(stored.owner()));
    range->set_fence(stored.fence());
    range->set_handover(stored.handover());
    if (stored.successor() != 0) {
      *range->mutable_successor() = packed.lives(static_cast<int>(stored.successor()) - 1);
    }
    first = stored.last() + 1;
  }
  return true;
}

bool CompleteMove(proto::KeyTable* table,
                  const proto::TargetLife& owner,
                  std::uint32_t first,
                  std::uint32_t last,
                  std::uint64_t fence,
                  const std::string& handover) {
  for (proto::KeyRange& range : *table->mutable_ranges()) {
    if (range.first() == first && range.last() == last && range.fence() == fence && range.has_successor() &&
        SameLife(range.owner(), owner)) {
      *range.mutable_owner() = range.successor();
      range.clear_successor();
      table->set_last_fence(table->last_fence() + 1);
      range.set_fence(table->last_fence());
      range.set_handover(handover);
      return true;
    }
  }
  return false;
}

bool RaiseFences(proto::KeyTable* table,
                 const proto::TargetLife& owner,
                 const std::set<std::uint64_t>& refused_fences) {
  bool changed = false;
  for (proto::KeyRange& range : *table->mutable_ranges()) {
    if (SameLife(range.owner(), owner) && !range.has_successor() && refused_fences.contains(range.fence())) {
      table->set_last_fence(table->last_fence() + 1);
      range.set_fence(table->last_fence());
      range.clear_handover();
      changed = true;
    }
  }
  return changed;
}

}  // namespace magnoliaarch
