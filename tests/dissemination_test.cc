#include <catch2/catch.hpp>

#include "dissemination_sim_p.h"
#include "record_patch_p.h"

namespace magnoliaarch {
namespace {

using sim::DisseminationSim;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Enough nodes for every position in the push tree: watchers, inner nodes and leaves.
constexpr int kDomains = 5;
constexpr int kNodesPerDomain = 40;

std::function<bool(const DisseminationSim::Node&)> SeesDomainOut(const std::string& domain, bool out) {
  return [=](const DisseminationSim::Node& node) { return node.machine->Snapshot()->IsDomainOut(domain) == out; };
}

int CountRefusing(DisseminationSim& sim) {
  return sim.CountFailing([&](const auto& node) { return node.machine->AcceptsWorkspaceKeys(sim.Now()); });
}

int CountWatchers(DisseminationSim& sim) {
  return static_cast<int>(sim.Nodes().size()) -
         sim.CountFailing([](const auto& node) { return node.up && node.machine->IsWatcher(); });
}

Duration OldestView(DisseminationSim& sim) {
  Duration oldest{0};
  for (const auto& [name, node] : sim.Nodes()) {
    oldest = std::max(oldest, node.machine->Age(sim.Now()).value_or(std::chrono::hours(1)));
  }
  return oldest;
}

TEST_CASE("a store change reaches every node") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  DisseminationSim sim(seed);
  sim.AddNodes(kDomains, kNodesPerDomain);
  sim.Start();
  sim.RunFor(seconds(5));

  GIVEN("an idle deployment") {
    // Guards against a watch by every node, which exceeds the store's capacity.
    THEN("two nodes in each failure domain watch the store") {
      CHECK(sim.Watches() == 2 * kDomains);
      CHECK(CountWatchers(sim) == 2 * kDomains);
    }
    THEN("every view stays fresh") {
      for (int i = 0; i < 50; ++i) {
        sim.RunFor(milliseconds(97));
        CHECK(OldestView(sim) < milliseconds(1500));
      }
    }
    THEN("a change reaches every node within 100 ms") {
      sim.PutDomain("domain-01", true);
      sim.RunFor(milliseconds(100));
      CHECK(sim.CountFailing(SeesDomainOut("domain-01", true)) == 0);
    }
    // Guards against datagrams that the network fragments.
    THEN("records too large for a datagram arrive over a stream") {
      for (int i = 0; i < 20; ++i) {
        proto::SlicePack pack;
        pack.set_entry(std::string(3000, 'x'));
        sim.Put(SlicePackKey("storefront", static_cast<std::uint32_t>(i) * kSlicesPerPack), pack.SerializeAsString());
      }
      sim.RunFor(seconds(3));
      CHECK(sim.CountFailing([](const auto& node) { return node.machine->Snapshot()->Packs().size() == 20; }) == 0);
      for (const auto& [name, node] : sim.Nodes()) {
        CHECK(node.traffic.largest_datagram <= kDatagramBytes);
      }
    }
  }

  // Guards against gaps that are never repaired, and against older records that replace newer ones.
  GIVEN("a network that loses, duplicates and reorders messages") {
    sim.Faults().loss = 0.2;
    sim.Faults().duplication = 0.2;
    sim.Faults().max_delay = milliseconds(80);
    for (int i = 0; i < 40; ++i) {
      sim.PutDomain("domain-02", i % 2 == 0);
      sim.PutDomain(fmt::format("domain-x{}", i), true);
      sim.RunFor(milliseconds(50));
    }
    sim.Delete(std::string(kDomainPrefix) + "domain-x7");
    sim.PutDomain("domain-02", true);
    sim.RunFor(seconds(3));
    THEN("all nodes have the latest state within 3 s") {
      CHECK(sim.CountFailing(SeesDomainOut("domain-02", true)) == 0);
      CHECK(sim.CountFailing(SeesDomainOut("domain-x7", false)) == 0);
      CHECK(sim.CountFailing([&](const auto& node) { return node.machine->Snapshot()->Domains().size() == 40; }) == 0);
      CHECK(CountRefusing(sim) == 0);
    }
  }

  GIVEN("a failure domain whose watchers are lost") {
    const auto order = sim.Nodes().begin()->second.machine->DomainOrder("domain-01");
    sim.Get(order[0]).up = false;
    sim.Get(order[1]).up = false;
    sim.PutDomain("domain-03", true);
    // Guards against a domain that is cut off by the loss of its two watchers.
    WHEN("no assigner has fenced the watchers") {
      sim.RunFor(seconds(6));
      THEN("the domain is repaired by watchers of other domains") {
        CHECK(sim.CountFailing(SeesDomainOut("domain-03", true)) == 0);
        CHECK(CountRefusing(sim) == 0);
      }
    }
    WHEN("the member records of the watchers are fenced") {
      for (int i : {0, 1}) {
        proto::MemberRecord record;
        record.set_node(order[static_cast<std::size_t>(i)]);
        record.set_domain("domain-01");
        record.set_fenced(true);
        sim.Put(std::string(kMemberPrefix) + record.node(), record.SerializeAsString());
      }
      sim.RunFor(seconds(6));
      THEN("the next two nodes become watchers") {
        CHECK(sim.Get(order[2]).watching);
        CHECK(sim.Get(order[3]).watching);
        CHECK(CountRefusing(sim) == 0);
      }
    }
    // Guards against a deletion that restarted nodes do not know of and therefore cannot pass on.
    WHEN("a node misses a deletion while partitioned, and all others restart meanwhile") {
      const std::string cut = order[20];
      sim.PutDomain("domain-04", true);
      sim.RunFor(seconds(4));
      sim.SetReachable([cut](const auto* a, const auto* b) {
        return (a == nullptr || a->name != cut) && (b == nullptr || b->name != cut);
      });
      sim.Delete(std::string(kDomainPrefix) + "domain-04");
      sim.RunFor(seconds(5));
      CHECK_FALSE(sim.Get(cut).machine->AcceptsWorkspaceKeys(sim.Now()));
      for (const auto& [name, node] : sim.Nodes()) {
        if (name != cut) {
          sim.Restart(name);
        }
      }
      sim.RunFor(seconds(2));
      sim.SetReachable(nullptr);
      sim.RunFor(seconds(4));
      THEN("a snapshot removes the record") {
        CHECK_FALSE(sim.Get(cut).machine->Snapshot()->IsDomainOut("domain-04"));
        CHECK(sim.Get(cut).machine->AcceptsWorkspaceKeys(sim.Now()));
      }
    }
  }
}

TEST_CASE("workspace keys are refused with a stale view unless most failure domains report a store outage") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  DisseminationSim sim(seed);
  sim.AddNodes(kDomains, kNodesPerDomain);
  sim.Start();
  sim.RunFor(seconds(5));
  REQUIRE(CountRefusing(sim) == 0);

  // Guards against refusing all callers during a store outage, when no key withdrawal can have been accepted.
  GIVEN("a store that is down for everyone, refusing or silent") {
    sim.SetStoreDown(true, GENERATE(false, true));
    THEN("every node accepts workspace keys throughout, and after the store returns") {
      for (int i = 0; i < 100; ++i) {
        sim.RunFor(milliseconds(197));
        CHECK(CountRefusing(sim) == 0);
      }
      sim.SetStoreDown(false);
      for (int i = 0; i < 50; ++i) {
        sim.RunFor(milliseconds(197));
        CHECK(CountRefusing(sim) == 0);
      }
    }
  }

  // Guards against a withdrawn key that still works in a failure domain that the withdrawal cannot reach.
  GIVEN("one failure domain cut off from the store and from the other domains") {
    sim.SetReachable([](const auto* a, const auto* b) {
      return (a != nullptr && a->domain == "domain-00") == (b != nullptr && b->domain == "domain-00");
    });
    sim.RunFor(milliseconds(4100));
    THEN("the nodes of this domain refuse workspace keys after 4 s, and all other nodes accept them") {
      CHECK(sim.CountFailing([&](const auto& node) {
        return node.machine->AcceptsWorkspaceKeys(sim.Now()) == (node.domain != "domain-00");
      }) == 0);
    }
    THEN("within 3 s of the end of the partition, these nodes accept keys again and have the missed changes") {
      sim.PutDomain("domain-03", true);
      sim.RunFor(seconds(5));
      sim.SetReachable(nullptr);
      sim.RunFor(seconds(3));
      CHECK(CountRefusing(sim) == 0);
      CHECK(sim.CountFailing(SeesDomainOut("domain-03", true)) == 0);
    }
  }

  // Guards against mistaking a broken path to the store for a store outage.
  GIVEN("most failure domains that reach the other domains but not the store") {
    sim.SetReachable([](const auto* a, const auto* b) {
      return !((a == nullptr && b->domain < "domain-03") || (b == nullptr && a->domain < "domain-03"));
    });
    sim.PutDomain("domain-03", true);
    THEN("watchers of other domains keep these domains up to date, and no node sees an outage report") {
      for (int i = 0; i < 50; ++i) {
        sim.RunFor(milliseconds(197));
        CHECK(CountRefusing(sim) == 0);
        CHECK(sim.CountFailing(
                  [&](const auto& node) { return node.machine->DomainsReportingOutage(sim.Now()) == 0; }) == 0);
      }
      CHECK(sim.CountFailing(SeesDomainOut("domain-03", true)) == 0);
    }
  }

  // Guards against a resumed node that treats messages from before its pause as new.
  GIVEN("a node that is paused while a key is withdrawn") {
    const std::string name = sim.Nodes().begin()->second.machine->DomainOrder("domain-02")[10];
    Dissemination& machine = *sim.Get(name).machine;
    sim.RunFor(seconds(1));
    proto::PeerMessage held;
    proto::ViewDelta* delta = held.mutable_view_delta();
    held.mutable_sender()->set_node("node-00-000");
    delta->set_from_revision(machine.Revision());
    delta->set_to_revision(machine.Revision());
    sim.Get(name).up = false;
    sim.RunFor(seconds(20));
    THEN("the resumed node refuses workspace keys, also after it has received a message without an echo") {
      CHECK_FALSE(machine.AcceptsWorkspaceKeys(sim.Now()));
      machine.OnMessage(held, sim.Now());
      CHECK_FALSE(machine.AcceptsWorkspaceKeys(sim.Now()));
    }
    THEN("an echo of a digest that was sent before a pause adds the pause to the view age") {
      const DisseminationActions asked = machine.RequestUpdate("node-00-000", sim.Now());
      delta->set_digest_sequence(asked.messages.at(0).message.view_digest().sequence());
      machine.OnMessage(held, sim.Now() + seconds(10));
      CHECK(machine.Age(sim.Now() + seconds(10)) >= seconds(10));
      CHECK_FALSE(machine.AcceptsWorkspaceKeys(sim.Now() + seconds(10)));
    }
  }
}

TEST_CASE("a record with one changed slice is sent as a small patch") {
  const auto pack_record = [](std::int64_t revision, std::uint64_t epoch, int hot_keys) {
    proto::SlicePack pack;
    pack.set_entry("storefront");
    for (std::uint32_t i = 0; i < kSlicesPerPack; ++i) {
      pack.add_slices()->set_owner(fmt::format("node-{}", i));
    }
    pack.mutable_slices(100)->set_epoch(epoch);
    for (int i = 0; i < hot_keys; ++i) {
      pack.add_hot_keys()->set_key_hash(static_cast<std::uint64_t>(i) + 1);
    }
    pack.set_write_id(std::to_string(revision));
    proto::ViewRecord record;
    record.set_key(SlicePackKey("storefront", 0));
    record.set_revision(revision);
    record.set_value(pack.SerializeAsString());
    return record;
  };
  const proto::ViewRecord before = pack_record(5, 1, 1);

  // Guards against a patched record that differs from the one in the store.
  GIVEN("a record with a changed slice, or with more or fewer hot keys") {
    const proto::ViewRecord after = pack_record(6, 300, GENERATE(0, 1, 2, 9));
    const proto::ViewRecord patch = PatchRecord(&before, after);
    CHECK(patch.patch_of() == 5);
    CHECK(patch.ByteSizeLong() < 200);
    const std::optional<proto::ViewRecord> whole = ResolvePatch(&before, patch);
    REQUIRE(whole.has_value());
    CHECK(whole->SerializeAsString() == after.SerializeAsString());
    THEN("the patch does not apply to another earlier value") {
      const proto::ViewRecord other = pack_record(4, 1, 1);
      CHECK_FALSE(ResolvePatch(&other, patch).has_value());
      CHECK_FALSE(ResolvePatch(nullptr, patch).has_value());
    }
  }

  // Guards against a patch that refers to bytes outside the earlier value, and against a node that counts a patch as
  // applied although it could not apply it.
  GIVEN("nodes that lack the earlier value of a patch") {
    proto::ViewRecord broken = PatchRecord(&before, pack_record(6, 2, 1));
    broken.mutable_hunks(0)->set_removed(1 << 30);
    CHECK_FALSE(ResolvePatch(&before, broken).has_value());
    DisseminationSim sim(1);
    sim.AddNodes(2, 30);
    sim.Start();
    sim.RunFor(seconds(3));
    sim.Faults().loss = 0.3;
    for (int i = 0; i < 30; ++i) {
      sim.Put(before.key(), pack_record(0, static_cast<std::uint64_t>(i), i % 3).value());
      sim.RunFor(milliseconds(100));
    }
    sim.RunFor(seconds(4));
    THEN("the nodes get the whole record in a repair") {
      CHECK(sim.CountFailing([&](const auto& node) {
        const auto view = node.machine->Snapshot();
        const auto pack = view->Packs().find(before.key());
        return pack != view->Packs().end() && pack->second.record().slices(100).epoch() == 29;
      }) == 0);
    }
  }

  // Guards against a patch that arrives before its earlier value and is counted as applied.
  GIVEN("a patch that arrives before the record that it changes") {
    const TimePoint start{std::chrono::hours(1)};
    Dissemination machine({"n1", 1}, "domain-00", DisseminationOptions());
    DisseminationReadResult read;
    read.id = machine.Start(start).reads.at(0).id;
    read.range.revision = 4;
    machine.OnReadResult(read, start);
    const auto receive = [&](std::int64_t from, const proto::ViewRecord& record) {
      proto::PeerMessage message;
      message.mutable_sender()->set_node("n2");
      message.mutable_view_delta()->set_from_revision(from);
      message.mutable_view_delta()->set_to_revision(record.revision());
      *message.mutable_view_delta()->add_records() = record;
      return machine.OnMessage(message, start);
    };
    const proto::ViewRecord after = pack_record(6, 2, 1);
    const DisseminationActions asked = receive(5, PatchRecord(&before, after));
    CHECK(asked.messages.size() == 1);
    receive(4, before);
    CHECK(machine.Revision() == 5);
    receive(5, after);
    CHECK(machine.Revision() == 6);
  }
}

TEST_CASE("all nodes accept workspace keys throughout a store outage with 18 failure domains") {
  // Guards against outage reports that spread too slowly to reach every node before its view is stale.
  const std::uint64_t seed = GENERATE(1, 2);
  const bool silent = GENERATE(false, true);
  CAPTURE(seed, silent);
  DisseminationSim sim(seed);
  sim.AddNodes(18, 20);
  sim.Start();
  sim.RunFor(seconds(5));
  sim.Faults().loss = 0.02;
  const std::uint64_t reads_before = sim.StoreReads();
  sim.SetStoreDown(true, silent);
  for (int i = 0; i < 50; ++i) {
    sim.RunFor(milliseconds(197));
    CHECK(CountRefusing(sim) == 0);
  }
  // Guards against full reads by all nodes while the store is down or when it returns.
  sim.SetStoreDown(false);
  sim.RunFor(seconds(6));
  constexpr std::uint64_t kProbesPerSecond = 2 * 2 * 18;
  CHECK(sim.StoreReads() - reads_before <= kProbesPerSecond * 16);
  CHECK(OldestView(sim) < milliseconds(2000));
}

TEST_CASE("a repair omits no change") {
  // Guards against a receiver that advances past a change because the sender holds only a newer change of the key.
  GIVEN("a node that has a change of revision 7, lacks revision 8 and has a newer change of the same key") {
    const TimePoint start{std::chrono::hours(1)};
    Dissemination machine({"n1", 1}, "domain-00", DisseminationOptions());
    const DisseminationActions started = machine.Start(start);
    DisseminationReadResult read;
    read.id = started.reads.at(0).id;
    read.range.revision = 5;
    machine.OnReadResult(read, start);
    const auto message = [](std::int64_t from, std::int64_t to) {
      proto::PeerMessage result;
      result.mutable_sender()->set_node("n2");
      proto::ViewDelta* delta = result.mutable_view_delta();
      delta->set_from_revision(from);
      delta->set_to_revision(to);
      proto::ViewRecord* record = delta->add_records();
      record->set_key(std::string(kDomainPrefix) + "domain-01");
      record->set_revision(to);
      return result;
    };
    machine.OnMessage(message(5, 7), start);
    const DisseminationActions gap = machine.OnMessage(message(8, 9), start);
    CHECK(machine.Revision() == 7);
    THEN("the node requests the missing revision, and a repair that it sends includes the newer change") {
      REQUIRE(gap.messages.size() == 1);
      CHECK(gap.messages[0].message.view_digest().revision() == 7);
      proto::PeerMessage digest;
      digest.mutable_sender()->set_node("n3");
      digest.mutable_view_digest()->set_revision(5);
      digest.mutable_view_digest()->set_sequence(1);
      const DisseminationActions answer = machine.OnMessage(digest, start);
      REQUIRE(answer.messages.size() == 1);
      const proto::ViewDelta& delta = answer.messages[0].message.view_delta();
      CHECK(delta.to_revision() == 7);
      REQUIRE(delta.records_size() == 1);
      CHECK(delta.records(0).revision() == 9);
    }
    THEN("the node reaches revision 9 once the missing change arrives") {
      machine.OnMessage(message(7, 8), start);
      CHECK(machine.Revision() == 9);
    }
  }
}

TEST_CASE("the computed view age is never below the true age") {
  // Guards against view ages that are too low, with which a withdrawn key is accepted for too long.
  GIVEN("random losses, delays, partitions and store outages") {
    const std::uint64_t seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    DisseminationSim sim(seed);
    std::mt19937_64 random(seed);
    sim.AddNodes(3, 20);
    sim.Start();
    sim.RunFor(seconds(3));
    sim.Faults().loss = 0.1;
    sim.Faults().duplication = 0.1;
    sim.Faults().max_delay = milliseconds(300);
    std::vector<std::pair<TimePoint, std::int64_t>> writes;
    std::map<std::string, std::int64_t> newest;
    for (int step = 0; step < 300; ++step) {
      if (random() % 4 == 0) {
        const std::string domain = fmt::format("domain-x{}", random() % 20);
        sim.PutDomain(domain, random() % 2 == 0);
        newest[domain] = sim.StoreRevision();
        writes.emplace_back(sim.Now(), sim.StoreRevision());
      }
      if (random() % 20 == 0) {
        sim.SetStoreDown(random() % 3 == 0);
      }
      if (random() % 20 == 0) {
        const std::string cut = fmt::format("domain-0{}", random() % 6);
        sim.SetReachable([cut](const auto* a, const auto* b) {
          return (a != nullptr && a->domain == cut) == (b != nullptr && b->domain == cut);
        });
      }
      sim.RunFor(milliseconds(random() % 200));
      for (const auto& [name, node] : sim.Nodes()) {
        const TimePoint fresh_at = sim.Now() - node.machine->Age(sim.Now()).value_or(std::chrono::hours(2));
        const auto later = std::upper_bound(writes.begin(), writes.end(), std::pair(fresh_at, std::int64_t{0}));
        if (later != writes.begin()) {
          REQUIRE(node.machine->Revision() >= std::prev(later)->second);
        }
        // A view must also contain every record up to its revision.
        if (step % 10 == 0) {
          const auto view = node.machine->Snapshot();
          for (const auto& [domain, revision] : newest) {
            if (revision <= view->Revision()) {
              const auto held = view->Domains().find(domain);
              REQUIRE(held != view->Domains().end());
              REQUIRE(held->second.revision() >= revision);
            }
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace magnoliaarch
