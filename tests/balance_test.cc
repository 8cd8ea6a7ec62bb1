#include "magnoliaarch/balance.h"

#include <catch2/catch.hpp>

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

std::vector<IncarnationId> Targets(int count) {
  std::vector<IncarnationId> targets(static_cast<std::size_t>(count), {"a", 1});
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i].node[0] = static_cast<char>('a' + i);
  }
  return targets;
}

TEST_CASE("the balancer avoids slow, failing and cold targets") {
  Balancer balancer({}, 7);
  const std::vector<IncarnationId> targets = Targets(5);
  balancer.SetTargets(At(0), targets);
  for (int i = 0; i < 8; ++i) {
    for (const IncarnationId& target : targets) {
      balancer.OnSent(At(i), target);
      balancer.OnEnded(At(i), target, BalanceOutcome::kAnswered, milliseconds(target.node == "a" ? 200 : 4));
    }
  }
  const auto picks = [&](const IncarnationId& wanted, TimePoint now) {
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      count += balancer.Pick(now, {}) == wanted ? 1 : 0;
    }
    return count;
  };

  // Guards against a slow target that keeps its full share of prompt requests.
  THEN("a slow target is not picked until its latency sample is old") {
    CHECK(picks(targets[0], At(10)) == 0);
    for (std::size_t i = 1; i < targets.size(); ++i) {
      balancer.OnSent(At(29990), targets[i]);
      balancer.OnEnded(At(29990), targets[i], BalanceOutcome::kAnswered, milliseconds(4));
    }
    CHECK(picks(targets[0], At(30000)) > 100);
  }
  // Guards against ejecting so many targets that the others are overloaded.
  THEN("failing targets are ejected up to the allowed share") {
    for (const IncarnationId& target : targets) {
      for (int i = 0; i < 5; ++i) {
        balancer.OnSent(At(20), target);
        balancer.OnEnded(At(20), target, BalanceOutcome::kFailed, milliseconds(1));
      }
    }
    CHECK(balancer.EjectedCount(At(21)) == 1);
    CHECK(balancer.EjectedCount(At(1100)) == 0);
  }
  // Guards against a burst of requests to a target that has not responded yet.
  THEN("a new target gets one request at a time until enough requests have succeeded") {
    std::vector<IncarnationId> more = targets;
    more.push_back({"z", 1});
    balancer.SetTargets(At(30), more);
    balancer.OnSent(At(30), more.back());
    CHECK(picks(more.back(), At(30)) == 0);
  }
  THEN("excluded targets are never picked") {
    CHECK_FALSE(balancer.Pick(At(10), targets).has_value());
  }
}

// Guards against hedges that add more load than their budget while every target is slow.
TEST_CASE("hedges wait for the latency quantile and stay within their budget") {
  HedgeOptions options;
  options.quantile = 0.95;
  options.tokens_per_request = 0.05;
  HedgePolicy hedge(options);
  CHECK_FALSE(hedge.Delay().has_value());
  int hedges = 0;
  for (int i = 0; i < 1000; ++i) {
    hedge.OnRequest();
    hedge.OnLatency(milliseconds(i % 100 < 90 ? 2 : 50));
    hedges += hedge.TryTakeHedge() ? 1 : 0;
  }
  REQUIRE(hedge.Delay().has_value());
  CHECK(*hedge.Delay() >= milliseconds(50));
  CHECK(*hedge.Delay() <= milliseconds(60));
  CHECK(hedges <= 50);
  CHECK(hedges >= 49);
}

}  // namespace
}  // namespace magnoliaarch
