#include "mesh_keys_p.h"

#include <cmath>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "mesh_table_writer_p.h"
#include "mesh_util.h"
#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

KeyTarget MakeTarget(const std::string& node, double offered = 10, std::int64_t start = 1) {
  KeyTarget target;
  target.life.set_node(node);
  target.life.set_id("t-" + node);
  target.life.set_start_ms(start);
  target.accepts = true;
  target.slots = 6;
  target.service_s = 0.1;
  target.offered = offered;
  return target;
}

KeyPlanInput MakeInput(int ms, const std::vector<KeyTarget>& targets) {
  KeyPlanInput input;
  input.now = At(ms);
  for (const KeyTarget& target : targets) {
    input.targets.emplace(target.life.node(), target);
  }
  return input;
}

// Checks that every key has exactly one owner, and that no fence is used for different owners.
void CheckCoversAllKeys(const proto::KeyTable& table) {
  std::uint32_t next = 0;
  std::map<std::uint64_t, std::string> owners;
  for (const proto::KeyRange& range : table.ranges()) {
    REQUIRE(range.first() == next);
    REQUIRE(range.last() >= range.first());
    REQUIRE(range.fence() <= table.last_fence());
    const auto [owner, fresh] = owners.emplace(range.fence(), range.owner().node());
    REQUIRE((fresh || owner->second == range.owner().node()));
    next = range.last() + 1;
  }
  REQUIRE(next == kMaxKey + 1);
}

proto::KeyTable AssignInitialTable(KeyPlanner* planner, const std::vector<KeyTarget>& targets) {
  const KeyPlan plan = planner->Plan(MakeInput(0, targets), proto::KeyTable());
  REQUIRE(plan.changed);
  CheckCoversAllKeys(plan.table);
  return plan.table;
}

std::map<std::string, std::uint64_t> OwnerAndFence(const proto::KeyTable& table, std::uint32_t key) {
  for (const proto::KeyRange& range : table.ranges()) {
    if (range.first() <= key && key <= range.last()) {
      return {{range.owner().node(), range.fence()}};
    }
  }
  return {};
}

// Guards against plans that the store rejects because they have more than its 32 conditions and writes (a failure
// domain of large sofia, or a herd of lost nodes), and against a table that grows with the square of the number of
// targets.
TEST_CASE("the keys of many lost nodes move in plans that the store accepts") {
  constexpr int kTargets = 113;
  constexpr int kLost = 62;
  constexpr std::size_t kMaxTxnEntries = 32;
  std::vector<KeyTarget> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(MakeTarget("n" + std::to_string(i)));
  }
  KeyPlanner planner;
  proto::KeyTable table = AssignInitialTable(&planner, targets);
  const std::vector<KeyTarget> left(targets.begin() + kLost, targets.end());
  std::set<std::string> lost;
  for (int i = 0; i < kLost; ++i) {
    lost.insert(targets[static_cast<std::size_t>(i)].life.node());
  }
  const auto owned_by_lost = [&] {
    return std::count_if(table.ranges().begin(), table.ranges().end(),
                         [&](const proto::KeyRange& range) { return lost.contains(range.owner().node()); });
  };
  int plans = 0;
  while (owned_by_lost() > 0 && plans < 5) {
    KeyPlanInput input = MakeInput(1000 + 200 * plans++, left);
    input.lost_nodes = lost;
    const KeyPlan plan = planner.Plan(input, table);
    REQUIRE(plan.changed);
    CheckCoversAllKeys(plan.table);
    // One more condition for the table, and one write.
    CHECK(plan.required_absent.size() + 2 <= kMaxTxnEntries);
    table = plan.table;
  }
  CHECK(owned_by_lost() == 0);
  CHECK(table.ranges_size() <= kTargets + kLost * 8);
}

// Plays callers of equally busy keys at many slow targets, and counts the moves of keys.
class LoadedTargets {
 public:
  LoadedTargets(int count, double rate_each) : m_rate(rate_each), m_random(17) {
    for (int i = 0; i < count; ++i) {
      KeyTarget target = MakeTarget("n" + std::to_string(1000 + i), rate_each);
      target.slots = 5;
      target.service_s = 0.3;
      m_targets.push_back(target);
      m_measured.push_back(rate_each);
    }
    m_table = AssignInitialTable(&m_planner, m_targets);
  }
  // Gives one target this rate instead.
  void SetRate(std::size_t target, double rate) { m_rates[target] = rate; }
  void Run(int seconds) {
    constexpr double kPlanS = 0.2;
    constexpr double kDecayS = 1.5;
    for (int step = 0; step < seconds * 5; ++step) {
      m_ms += 200;
      for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const double rate = m_rates.contains(i) ? m_rates[i] : m_rate;
        const int arrived = std::poisson_distribution<>(rate * kPlanS)(m_random);
        const double decay = std::exp(-kPlanS / kDecayS);
        m_measured[i] = m_measured[i] * decay + arrived / kPlanS * (1 - decay);
        m_targets[i].offered = m_measured[i];
        m_targets[i].loads = {LoadOf(i)};
      }
      const KeyPlan plan = m_planner.Plan(MakeInput(m_ms, m_targets), m_table);
      for (const proto::KeyRange& range : plan.table.ranges()) {
        moves += range.has_successor() ? 1 : 0;
        moved_from.insert(range.has_successor() ? range.owner().node() : "");
      }
    }
  }

  int moves = 0;
  std::set<std::string> moved_from;

 private:
  proto::RangeLoad LoadOf(std::size_t i) const {
    const proto::KeyRange& range = m_table.ranges(static_cast<int>(i));
    proto::RangeLoad load;
    load.set_first(range.first());
    load.set_rate_milli(static_cast<std::uint32_t>(m_measured[i] * 1000));
    const std::uint32_t width = (range.last() - range.first() + 1) / 8;
    for (std::uint32_t piece = 1; piece < 8; ++piece) {
      load.add_splits(range.first() + piece * width);
    }
    return load;
  }
  double m_rate;
  std::mt19937 m_random;
  std::map<std::size_t, double> m_rates;
  std::vector<KeyTarget> m_targets;
  std::vector<double> m_measured;
  KeyPlanner m_planner;
  proto::KeyTable m_table;
  int m_ms = 1000;
};

// Guards against moves that follow the noise of the measured rates: each move keeps callers of its keys waiting until
// the running requests have ended (large sofia, quiet-1: all keys moved 3.6 times in 30 s, 22% of the requests
// refused).
TEST_CASE("keys of evenly loaded targets stay where they are") {
  constexpr int kTargets = 113;
  LoadedTargets targets(kTargets, 8);
  targets.Run(30);
  CHECK(targets.moves <= kTargets / 10);
}

TEST_CASE("keys of a target with twice the load that it can take move at once") {
  LoadedTargets targets(113, 6);
  targets.SetRate(40, 33);
  targets.Run(2);
  CHECK(targets.moved_from.contains("n1040"));
}

TEST_CASE("the planner assigns every key to one owner") {
  KeyPlanner planner;
  const std::vector<KeyTarget> targets = {MakeTarget("a"), MakeTarget("b"), MakeTarget("c")};
  const proto::KeyTable table = AssignInitialTable(&planner, targets);
  CHECK(table.ranges_size() == 3);

  SECTION("a steady load causes no change") {
    CHECK_FALSE(planner.Plan(MakeInput(1000, targets), table).changed);
  }

  // Guards against two owners of a key: the write must fail in the store if the node has registered again.
  SECTION("keys of a node without a lease move to other nodes on condition that its record is still absent") {
    KeyPlanInput input = MakeInput(1000, {MakeTarget("b"), MakeTarget("c")});
    input.lost_nodes.insert("a");
    const KeyPlan plan = planner.Plan(input, table);
    REQUIRE(plan.changed);
    CheckCoversAllKeys(plan.table);
    CHECK(plan.required_absent == std::set<std::string>{"a"});
    const auto owner = OwnerAndFence(plan.table, 5);
    CHECK_FALSE(owner.contains("a"));
    CHECK(owner.begin()->second > table.last_fence());
  }

  // Guards against assigning keys to a restarted target under the fence of its previous life (process run).
  SECTION("a restarted target gets its keys under new fences") {
    const KeyPlan plan =
        planner.Plan(MakeInput(1000, {MakeTarget("a", 10, 2), MakeTarget("b"), MakeTarget("c")}), table);
    REQUIRE(plan.changed);
    CheckCoversAllKeys(plan.table);
    CHECK(OwnerAndFence(plan.table, 5).begin()->second > table.last_fence());
  }

  // Guards against a long recovery after a power loss: keys that are spread by load must stay spread.
  SECTION("after a restart of all targets the keys keep their owners") {
    std::vector<KeyTarget> cold = {MakeTarget("a", 0, 2), MakeTarget("b", 0, 2), MakeTarget("c", 0, 2)};
    for (KeyTarget& target : cold) {
      target.cold = true;
    }
    const KeyPlan plan = planner.Plan(MakeInput(1000, cold), table);
    REQUIRE(plan.changed);
    CheckCoversAllKeys(plan.table);
    REQUIRE(plan.table.ranges_size() == table.ranges_size());
    for (int i = 0; i < table.ranges_size(); ++i) {
      CHECK(plan.table.ranges(i).owner().node() == table.ranges(i).owner().node());
      CHECK(plan.table.ranges(i).owner().start_ms() == 2);
      CHECK(plan.table.ranges(i).fence() > table.last_fence());
    }
  }

  // Guards against keys that stay with a draining target.
  SECTION("the keys of a leaving target move to others after their release") {
    std::vector<KeyTarget> leaving = targets;
    leaving[1].leaving = true;
    leaving[1].accepts = false;
    KeyPlan plan = planner.Plan(MakeInput(1000, leaving), table);
    REQUIRE(plan.changed);
    CheckCoversAllKeys(plan.table);
    for (const proto::KeyRange& range : plan.table.ranges()) {
      CHECK(range.has_successor() == (range.owner().node() == "b"));
    }
    // The owner keeps the keys until it has released them; only then is the fence raised.
    const proto::KeyRange moved = plan.table.ranges(1);
    REQUIRE(moved.has_successor());
    const std::uint64_t last = plan.table.last_fence();
    REQUIRE(CompleteMove(&plan.table, moved.owner(), moved.first(), moved.last(), moved.fence(), "token"));
    CHECK(plan.table.ranges(1).owner().node() == moved.successor().node());
    CHECK(plan.table.ranges(1).fence() == last + 1);
    CHECK(plan.table.ranges(1).handover() == "token");
    CHECK_FALSE(CompleteMove(&plan.table, moved.owner(), moved.first(), moved.last(), moved.fence(), "token"));
  }

  // Guards against a move that is completed by a release of an earlier move of the same keys: the completion waited for
  // its write while the owner got the keys back and they moved again, under the same fence (review/6).
  SECTION("a completed release gives away its keys only while it is in force") {
    proto::KeyTable moving = table;
    proto::KeyRange* range = moving.mutable_ranges(1);
    *range->mutable_successor() = table.ranges(0).owner();
    const std::vector<CompletedRelease> releases = {CompletedRelease{7, *range, "token"}};
    CHECK_FALSE(CompleteMoves(&moving, releases, [](std::uint64_t number) { return number != 7; }));
    CHECK(moving.ranges(1).has_successor());
    CHECK(CompleteMoves(&moving, releases, [](std::uint64_t number) { return number == 7; }));
    CHECK(moving.ranges(1).owner().node() == table.ranges(0).owner().node());
  }

  // Guards against a plan that waits for a successor that has ended.
  SECTION("a successor that has ended is replaced or removed") {
    std::vector<KeyTarget> leaving = targets;
    leaving[1].leaving = true;
    leaving[1].accepts = false;
    const KeyPlan first = planner.Plan(MakeInput(1000, leaving), table);
    const std::string successor = first.table.ranges(1).successor().node();
    std::vector<KeyTarget> later = leaving;
    for (KeyTarget& target : later) {
      target.accepts = target.accepts && target.life.node() != successor;
    }
    const KeyPlan second = planner.Plan(MakeInput(1200, later), first.table);
    REQUIRE(second.changed);
    CheckCoversAllKeys(second.table);
    CHECK(second.table.ranges(1).successor().node() != successor);
  }
}

TEST_CASE("busy keys that are close together are spread over targets") {
  KeyPlanner planner;
  std::vector<KeyTarget> targets = {MakeTarget("a"), MakeTarget("b"), MakeTarget("c")};
  proto::KeyTable table = AssignInitialTable(&planner, targets);
  KeyLoadMeter meter;
  for (int i = 0; i < 600; ++i) {
    meter.OnRequest(At(i * 10), static_cast<std::uint32_t>(100 + i % 60));
  }
  const proto::RangeLoad load = meter.Measure(At(6000), table.ranges(0).first(), table.ranges(0).last());
  CHECK(load.rate_milli() > 80'000);
  CHECK(load.rate_milli() < 120'000);
  REQUIRE(load.splits_size() >= 6);
  for (const std::uint32_t split : load.splits()) {
    CHECK(split >= 100);
    CHECK(split < 160);
  }
  targets[0].offered = 100;
  targets[0].loads = {load};
  const KeyPlan plan = planner.Plan(MakeInput(3000, targets), table);
  REQUIRE(plan.changed);
  CheckCoversAllKeys(plan.table);
  int moving = 0;
  for (const proto::KeyRange& range : plan.table.ranges()) {
    moving += range.has_successor() ? 1 : 0;
  }
  CHECK(moving >= 1);

  // Guards against oscillating moves while the measured rates lag behind.
  SECTION("unchanged reports cause no second move at once") {
    const KeyPlan again = planner.Plan(MakeInput(3200, targets), plan.table);
    CHECK_FALSE(again.changed);
  }
}

// Guards against owners that refuse most requests for their keys for seconds while one part after the other moves: at
// the start of a day nobody knows which keys are busy, and half of the first two seconds' requests were refused (media
// deployment, trouble-3).
TEST_CASE("the keys of a target that is overloaded at the start are spread with one plan") {
  std::vector<KeyTarget> targets = {MakeTarget("a", 0)};
  for (int i = 0; i < 7; ++i) {
    targets.push_back(MakeTarget("idle-" + std::to_string(i), 5));
  }
  KeyPlanner planner;
  const proto::KeyTable table = AssignInitialTable(&planner, targets);
  // Four times what the target can take, for half a second.
  constexpr int kRequestsPerS = 240;
  KeyLoadMeter meter;
  const bool corrects = GENERATE(true, false);
  meter.CorrectStart(corrects);
  for (int i = 0; i < kRequestsPerS / 2; ++i) {
    meter.OnRequest(At(1000 + i * 1000 / kRequestsPerS), static_cast<std::uint32_t>(100 + i % 60));
  }
  const proto::RangeLoad load = meter.Measure(At(1500), table.ranges(0).first(), table.ranges(0).last());
  targets[0].offered = load.rate_milli() / 1000.0;
  targets[0].loads = {load};
  targets[0].window_s = meter.WindowS(At(1500));
  const KeyPlan plan = planner.Plan(MakeInput(1500, targets), table);
  CheckCoversAllKeys(plan.table);
  std::set<std::string> successors;
  for (const proto::KeyRange& range : plan.table.ranges()) {
    if (range.has_successor()) {
      successors.insert(range.successor().node());
    }
  }
  if (corrects) {
    CHECK(targets[0].offered > 0.8 * kRequestsPerS);
    CHECK(targets[0].offered < 1.2 * kRequestsPerS);
    CHECK(successors.size() >= 3);
    SECTION("the parts that stay keep their load, so that the next plan moves nothing more") {
      const KeyPlan again = planner.Plan(MakeInput(1700, targets), plan.table);
      CHECK_FALSE(again.changed);
    }
  } else {
    CHECK(targets[0].offered < 0.5 * kRequestsPerS);
  }
}

TEST_CASE("keys move to the targets with the shortest waits") {
  KeyPlanner planner;
  std::vector<KeyTarget> targets = {MakeTarget("fast"), MakeTarget("slow")};
  targets[0].service_s = 0.08;
  targets[1].service_s = 0.2;
  proto::KeyTable table = AssignInitialTable(&planner, targets);
  // Spreads the rate evenly over all keys and plans repeatedly; returns the final rate of each target.
  const auto settle = [&](double rate) {
    std::map<std::string, double> rates;
    for (int second = 1; second < 20; ++second) {
      for (KeyTarget& target : targets) {
        target.offered = 0;
        target.loads.clear();
        for (const proto::KeyRange& range : table.ranges()) {
          if (!SameLife(range.owner(), target.life)) {
            continue;
          }
          const std::uint32_t keys = range.last() - range.first() + 1;
          proto::RangeLoad load;
          load.set_first(range.first());
          load.set_rate_milli(static_cast<std::uint32_t>(rate * keys / (kMaxKey + 1) * 1000));
          for (std::uint32_t i = 1; i < 8; ++i) {
            load.add_splits(range.first() + keys * i / 8);
          }
          target.offered += load.rate_milli() / 1000.0;
          target.loads.push_back(load);
        }
        rates[target.life.node()] = target.offered;
      }
      table = planner.Plan(MakeInput(second * 10'000, targets), table).table;
      CheckCoversAllKeys(table);
      for (proto::KeyRange& range : *table.mutable_ranges()) {
        if (range.has_successor()) {
          *range.mutable_owner() = range.successor();
          range.clear_successor();
          table.set_last_fence(table.last_fence() + 1);
          range.set_fence(table.last_fence());
        }
      }
    }
    return rates;
  };

  // Guards against late answers because a slow target has as many keys as a fast one that is half idle.
  SECTION("a slow target gets few keys while a fast one has spare capacity") {
    const auto rates = settle(30);
    CHECK(rates.at("slow") < 7);
    CHECK(rates.at("slow") > 0);
  }
  // Guards against a fast target that refuses requests while a slow one has spare capacity.
  SECTION("both targets become full at about the same load") {
    const auto rates = settle(95);
    CHECK(rates.at("fast") / targets[0].Capacity() < 1);
    CHECK(rates.at("slow") / targets[1].Capacity() > 0.7);
  }
  SECTION("equal targets get equal load") {
    targets[1].service_s = 0.08;
    const auto rates = settle(60);
    CHECK(rates.at("slow") > 25);
    CHECK(rates.at("slow") < 35);
  }
}

TEST_CASE("every key has exactly one owner after random load changes, drains, restarts and losses of targets") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    KeyPlanner planner;
    std::vector<KeyTarget> targets;
    for (const char* node : {"a", "b", "c", "d", "e"}) {
      targets.push_back(MakeTarget(node));
    }
    proto::KeyTable table = AssignInitialTable(&planner, targets);
    std::uint64_t last_fence = table.last_fence();
    for (int step = 1; step < 60; ++step) {
      KeyTarget& changed = targets[random() % targets.size()];
      switch (random() % 5) {
        case 0:
          changed.leaving = !changed.leaving;
          changed.accepts = !changed.leaving;
          break;
        case 1:
          changed.life.set_start_ms(changed.life.start_ms() + 1);
          break;
        default:
          changed.offered = static_cast<double>(random() % 200);
          break;
      }
      KeyPlanInput input = MakeInput(step * 300, targets);
      if (random() % 6 == 0) {
        const std::string lost = targets[random() % targets.size()].life.node();
        input.targets.erase(lost);
        input.lost_nodes.insert(lost);
      }
      for (auto& [node, target] : input.targets) {
        for (const proto::KeyRange& range : table.ranges()) {
          if (SameLife(range.owner(), target.life)) {
            proto::RangeLoad load;
            load.set_first(range.first());
            load.set_rate_milli(static_cast<std::uint32_t>(random() % 20000));
            load.add_splits((range.first() + range.last()) / 2 + 1);
            target.loads.push_back(load);
          }
        }
      }
      INFO("seed " << seed << " step " << step);
      KeyPlan plan = planner.Plan(input, table);
      if (plan.changed) {
        CheckCoversAllKeys(plan.table);
        REQUIRE(plan.table.last_fence() >= last_fence);
        table = plan.table;
        last_fence = table.last_fence();
      }
      const proto::KeyTable before = table;
      for (const proto::KeyRange& range : before.ranges()) {
        if (range.has_successor() && random() % 2 == 0) {
          CompleteMove(&table, range.owner(), range.first(), range.last(), range.fence(), "h");
        }
      }
      CheckCoversAllKeys(table);
    }
  }
}

TEST_CASE("packing and unpacking a table preserves it") {
  KeyPlanner planner;
  proto::KeyTable table = AssignInitialTable(&planner, {MakeTarget("a"), MakeTarget("b")});
  *table.mutable_ranges(0)->mutable_successor() = table.ranges(1).owner();
  table.mutable_ranges(1)->set_handover("token");
  proto::KeyTable read;
  REQUIRE(UnpackTable(PackTable(table), &read));
  CHECK(read.SerializeAsString() == table.SerializeAsString());
  // Guards against using a truncated record.
  CHECK_FALSE(UnpackTable("\x12\x04\x08\x05\x10\x09", &read));
}

TEST_CASE("refused fences are raised above all others") {
  KeyPlanner planner;
  proto::KeyTable table = AssignInitialTable(&planner, {MakeTarget("a"), MakeTarget("b")});
  const std::uint64_t refused = table.ranges(0).fence();
  REQUIRE(RaiseFences(&table, table.ranges(0).owner(), {refused}));
  CHECK(table.ranges(0).fence() == table.last_fence());
  CHECK_FALSE(RaiseFences(&table, table.ranges(0).owner(), {refused}));
}

}  // namespace
}  // namespace magnoliaarch
