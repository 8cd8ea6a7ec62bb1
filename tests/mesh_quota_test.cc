// The limit of a workspace over all nodes while the pool of its tokens moves between nodes or is out of reach.

#include <catch2/catch.hpp>

#include "quota_fleet.h"

namespace magnoliaarch {
namespace {

constexpr double kRate = 107;
constexpr double kUsualDemand = kRate / 1.6;
constexpr double kHotDemand = 7.5 * kUsualDemand;
// The others take a node for lost after this time without contact with the store.
constexpr int kLeaseMs = 5000;

// Guards against exceeding a workspace's limit around the loss of the node that hands out its tokens: the pool was full
// although the nodes held tokens, each takeover added a third of the burst, and nodes out of touch added their shares
// to the whole rate (QUOTA on vch-renewals).
TEST_CASE("a workspace that asks for many times its rate stays within its limit") {
  QuotaFleet fleet;
  fleet.Run(10000, kUsualDemand);
  SECTION("after a calm time") {
    fleet.Run(6000, kHotDemand);
  }
  SECTION("while other nodes take the pool over") {
    for (int node = 1; node <= 3; ++node) {
      fleet.Run(1500, kHotDemand);
      fleet.MoveTo(node);
    }
    fleet.Run(5000, kHotDemand);
  }
  SECTION("while a node loses the pool and regains it several times") {
    for (int i = 0; i < 6; ++i) {
      fleet.Run(1000, kHotDemand);
      fleet.MoveTo(i % 2);
    }
    fleet.Run(5000, kHotDemand);
  }
  SECTION("while a third of the nodes cannot reach the pool") {
    fleet.Run(500, kHotDemand);
    fleet.Cut(6, 8, false);
    fleet.Run(6500, kHotDemand);
    fleet.Heal();
    fleet.Run(5000, kHotDemand);
  }
  SECTION("while most nodes cannot reach the pool") {
    fleet.Cut(3, 8, false);
    fleet.Run(6500, kHotDemand);
  }
  SECTION("while no node hands out tokens, and another one takes over") {
    fleet.Kill(0, 6000);
    fleet.Run(5500, kHotDemand);
    fleet.Cut(6, 8, true);
    fleet.Run(7000, kHotDemand);
  }
  CHECK(fleet.Busiest() <= fleet.Limit());
}

// Guards against exceeding a workspace's limit after its targets refused requests (QUOTA on vch-renewals, inc1).
TEST_CASE("tokens of refused requests do not add to a workspace's limit") {
  QuotaFleet fleet;
  fleet.Run(10000, kUsualDemand);
  fleet.SetRefusing(1);
  fleet.Run(5000, kHotDemand);
  fleet.SetRefusing(0);
  fleet.Run(6000, kHotDemand);
  CHECK(fleet.Busiest() <= fleet.Limit());
}

// Guards against two nodes that hand out the tokens of one workspace (QUOTA, review/8).
TEST_CASE("nodes that are cut off for longer than their lease do not add to a workspace's limit") {
  QuotaFleet fleet;
  fleet.Run(10000, kUsualDemand);
  SECTION("with the node that hands out the tokens") {
    fleet.Cut(0, 2, true);
  }
  SECTION("without it") {
    fleet.Cut(6, 8, true);
  }
  fleet.Run(kLeaseMs + 7000, kHotDemand);
  fleet.Heal();
  fleet.Run(7000, kHotDemand);
  CHECK(fleet.Busiest() <= fleet.Limit());
}

void PlayFault(QuotaFleet* fleet, int nodes) {
  const int first = fleet->Draw(0, nodes - 1);
  const int last = std::min(nodes - 1, first + fleet->Draw(0, nodes / 2));
  switch (fleet->Draw(0, 6)) {
    case 0:
      fleet->Cut(first, last, fleet->Chance(0.7));
      break;
    case 1:
      fleet->Heal();
      break;
    case 2:
      for (int node = first; node <= last; ++node) {
        fleet->Kill(node, fleet->Draw(100, 8000));
      }
      break;
    case 3:
      fleet->Freeze(first, fleet->Draw(500, 9000));
      break;
    case 4:
      fleet->MoveTo(first);
      break;
    default:
      fleet->SetRefusing(fleet->Chance(0.5) ? 0 : 0.8);
      break;
  }
}

// Guards against any place whose tokens the others do not count, in any order of elections, cuts, restarts and freezes.
TEST_CASE("faults in any order do not add to a workspace's limit") {
  constexpr int kSeeds = 60;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaFleetOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 24 : 9;
    options.loss = seed % 2 == 0 ? 0.05 : 0;
    QuotaFleet fleet(options);
    fleet.Run(6000, kUsualDemand);
    for (int i = 0; i < 30; ++i) {
      PlayFault(&fleet, options.nodes);
      fleet.Run(fleet.Draw(200, 3000), fleet.Chance(0.7) ? kHotDemand : kUsualDemand);
    }
    INFO("seed " << seed);
    CHECK(fleet.Busiest() <= fleet.Limit());
    CHECK(fleet.Busiest() > 0);
  }
}

// Guards against refusals below a workspace's limit.
TEST_CASE("a workspace within its limit is served") {
  QuotaFleet fleet;
  fleet.Run(4000, kUsualDemand);
  fleet.ForgetServed();
  SECTION("at the usual demand") {
    fleet.Run(20000, kUsualDemand);
    CHECK(fleet.Served() > 0.99);
  }
  SECTION("at nine tenths of the rate") {
    fleet.Run(20000, 0.9 * kRate);
    CHECK(fleet.Served() > 0.98);
  }
  SECTION("when another node takes the pool over") {
    fleet.MoveTo(3);
    fleet.Run(5000, kUsualDemand);
    CHECK(fleet.Served() > 0.97);
  }
  SECTION("at many times the rate, which it still gets") {
    fleet.Run(20000, kHotDemand);
    CHECK(fleet.Busiest() > kRate * QuotaFleet::kWindowMs / 1000 * 0.95);
  }
}

// Guards against refusing every request while nobody hands out tokens: the nodes go on with the parts that they have.
TEST_CASE("a workspace is served while the node that hands out its tokens is lost") {
  QuotaFleet fleet;
  fleet.Run(10000, kUsualDemand);
  fleet.ForgetServed();
  SECTION("until another one takes over, at the other nodes") {
    fleet.Kill(0, 60000);
    fleet.Run(5000, kUsualDemand);
    CHECK(fleet.Served() > 0.6 * 8 / 9);
  }
  SECTION("and in full by the next one once all members have reported") {
    fleet.Kill(0, 60000);
    fleet.Run(7500, kUsualDemand);
    fleet.ForgetServed();
    fleet.Run(10000, kUsualDemand);
    CHECK(fleet.Served() > 0.97 * 8 / 9);
  }
  SECTION("and soon after all nodes have restarted") {
    for (int node = 0; node < 9; ++node) {
      fleet.Kill(node, 500);
    }
    fleet.Run(7000, kUsualDemand);
    fleet.ForgetServed();
    fleet.Run(10000, kUsualDemand);
    CHECK(fleet.Served() > 0.98);
  }
}

}  // namespace
}  // namespace magnoliaarch
