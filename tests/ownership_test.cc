#include <catch2/catch.hpp>

#include <functional>

#include "ownership_cases.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the last node that worked for the key, or an empty name if that was more than 200 ms ago.
std::string ServedBy(const SimulatedCluster& cluster, std::uint64_t key) {
  const auto it = cluster.WorkStarts().find(key);
  const bool served = it != cluster.WorkStarts().end() && cluster.Now() - it->second.back().first < milliseconds(200);
  return served ? it->second.back().second : "";
}

bool AllServed(const SimulatedCluster& cluster) {
  return std::all_of(cluster.Keys().begin(), cluster.Keys().end(),
                     [&cluster](std::uint64_t key) { return !ServedBy(cluster, key).empty(); });
}

std::map<std::string, int> SlicesByOwner(const SimulatedCluster& cluster) {
  std::map<std::string, int> result;
  for (const proto::SliceRecord& slice : cluster.Pack().slices()) {
    ++result[slice.owner()];
  }
  return result;
}

TEST_CASE("the keys of a crashed owner are served again within two seconds") {
  // Guards against a takeover that takes longer than required although nothing else fails.
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    const CaseResult result = RunCase(Scenario::kOwnerCrash, {}, seed);
    INFO("seed " << seed);
    CHECK(result.violations.empty());
    CHECK_FALSE(result.takeover_gaps.empty());
    for (const Duration gap : result.takeover_gaps) {
      CHECK(gap < seconds(2));
    }
  }
}

TEST_CASE("a deployment grows from one node to two and shrinks again") {
  GIVEN("a single node, which has no witness") {
    SimulatedCluster cluster(1, {}, 2, 1, 1);
    cluster.RunUntil(cluster.Now() + seconds(3));
    CHECK(cluster.Member("n0").witnesses_size() == 0);
    CHECK(AllServed(cluster));

    // Guards against a single node that needs an operator to take over from its own previous incarnation.
    WHEN("the node restarts") {
      cluster.Kill(cluster.Nodes()[0]);
      cluster.Start(cluster.Nodes()[0]);
      cluster.RunUntil(cluster.Now() + seconds(4));
      THEN("the new incarnation takes over the slices of the previous one") {
        CHECK(AllServed(cluster));
        CHECK(cluster.Observer().Violations().empty());
      }
    }

    WHEN("a second node joins") {
      cluster.Start(cluster.Nodes()[1]);
      cluster.RunUntil(cluster.Now() + seconds(4));
      THEN("each node is the other's witness and owns part of the slices") {
        CHECK(cluster.Member("n0").witnesses_size() == 1);
        CHECK(cluster.Member("n1").witnesses_size() == 1);
        CHECK(SlicesByOwner(cluster)["n1"] == static_cast<int>(SimulatedCluster::kSlices / 2));
        CHECK(AllServed(cluster));
      }

      // Guards against a node that stops serving because its only witness is gone.
      AND_WHEN("the second node is lost permanently") {
        cluster.Kill(cluster.Nodes()[1]);
        cluster.RunUntil(cluster.Now() + seconds(6));
        THEN("the first node serves all slices without a witness") {
          CHECK(cluster.Member("n0").witnesses_size() == 0);
          CHECK(SlicesByOwner(cluster)["n0"] == static_cast<int>(SimulatedCluster::kSlices));
          CHECK(AllServed(cluster));
          CHECK(cluster.Observer().Violations().empty());
        }
      }
    }
  }
}

TEST_CASE("slices whose owner and witnesses are all lost stay unavailable until an operator declares the host lost") {
  GIVEN("six nodes, with an owner and its three witnesses lost permanently") {
    SimulatedCluster cluster(3, {});
    cluster.RunUntil(cluster.Now() + seconds(3));
    cluster.SelectParticipants();
    const std::string owner = cluster.NodeOf(Participant::kOwner).name;
    const proto::MemberRecord record = cluster.Member(owner);
    REQUIRE(record.witnesses_size() == 3);
    for (const proto::Incarnation& witness : record.witnesses()) {
      cluster.Kill(*cluster.Find(witness.node()));
    }
    cluster.Kill(*cluster.Find(owner));
    cluster.RunUntil(cluster.Now() + seconds(8));

    // Guards against two owners when no witness can confirm that the lease has expired.
    THEN("the owner's slices stay unavailable and the status reports missing replies") {
      CHECK_FALSE(AllServed(cluster));
      CHECK(SlicesByOwner(cluster)[owner] > 0);
      REQUIRE(cluster.AssignerNode()->assigner != nullptr);
      const std::vector<TakeoverStatus> takeovers = cluster.AssignerNode()->assigner->Takeovers();
      const auto status = std::find_if(takeovers.begin(), takeovers.end(),
                                       [&owner](const TakeoverStatus& t) { return t.owner.node == owner; });
      REQUIRE(status != takeovers.end());
      CHECK(status->replies < status->needed);
    }

    // Guards against slices that stay unavailable although the operator has declared the host lost.
    WHEN("the operator declares the owner's host lost") {
      Assigner& assigner = *cluster.AssignerNode()->assigner;
      cluster.DeclareHostLost(HostLostDeclared{owner});
      cluster.RunUntil(cluster.Now() + seconds(3));
      THEN("the owner's slices are granted to other nodes") {
        CHECK(SlicesByOwner(cluster)[owner] == 0);
        CHECK(assigner.Counters().takeovers > 0);
        CHECK(cluster.Observer().Violations().empty());
      }
    }
  }
}

TEST_CASE("hot keys are isolated and return to their slices when they turn cold") {
  GIVEN("three keys of which two are hot for a while") {
    SimulatedCluster cluster(5, {});
    cluster.RunUntil(cluster.Now() + seconds(3));
    for (int i = 0; i < 20; ++i) {
      cluster.ScheduleAt(cluster.Now() + milliseconds(100 * i), [&cluster] {
        cluster.ReportHotKey(cluster.Keys()[0], 900);
        cluster.ReportHotKey(cluster.Keys()[1], 900);
        cluster.ReportHotKey(cluster.Keys()[2], 100);
      });
    }
    WHEN("their load is reported") {
      cluster.RunUntil(cluster.Now() + milliseconds(1500));
      // Guards against isolating cold keys, and against refusing requests for isolated keys.
      THEN("only the hot keys are isolated, and all keys are served") {
        CHECK(cluster.Pack().hot_keys_size() == 2);
        CHECK(AllServed(cluster));
      }
      AND_WHEN("the hot keys turn cold") {
        cluster.RunUntil(cluster.Now() + seconds(5));
        // Guards against isolated keys that are never merged, and against an epoch that decreases when a key returns.
        THEN("the keys return to their slices under a higher epoch") {
          CHECK(cluster.Pack().hot_keys_size() == 0);
          CHECK(cluster.Pack().slices(0).epoch() > 1);
          CHECK(AllServed(cluster));
          CHECK(cluster.Observer().Violations().empty());
        }
      }
    }
  }
}

TEST_CASE("balance moves to a returning member are rate limited") {
  // Guards against many moves at once when members return.
  GIVEN("an assigner allowed two balance moves a minute, and a view with one loaded and one empty member") {
    ViewBuilder builder;
    const auto apply = [&builder](const std::string& key, const std::string& value, std::int64_t revision) {
      proto::ViewRecord record;
      record.set_key(key);
      record.set_value(value);
      record.set_revision(revision);
      builder.Apply(record);
      builder.Advance(revision);
    };
    proto::EntryRecord entry;
    entry.set_name("storefront");
    entry.set_keyed(true);
    entry.set_slices(8);
    apply(std::string(kEntryPrefix) + "storefront", entry.SerializeAsString(), 1);
    for (std::uint64_t i = 0; i < 2; ++i) {
      proto::MemberRecord member;
      member.set_node("n" + std::to_string(i));
      member.set_incarnation(i + 1);
      member.set_entry("storefront");
      apply(std::string(kMemberPrefix) + member.node(), member.SerializeAsString(), static_cast<std::int64_t>(2 + i));
    }
    proto::SlicePack pack;
    pack.set_entry("storefront");
    for (int i = 0; i < 8; ++i) {
      proto::SliceRecord* slice = pack.add_slices();
      slice->set_owner("n0");
      slice->set_owner_incarnation(1);
      slice->set_epoch(1);
      slice->set_state(proto::SLICE_STATE_OWNED);
    }
    AssignerSettings settings;
    settings.entry = "storefront";
    settings.slices = 8;
    settings.self = IncarnationId{"n0", 1};
    settings.balance_moves_per_minute = 2;
    Assigner assigner(settings);
    TimePoint now(seconds(1));
    assigner.Handle(ViewChanged{builder.Snapshot()}, now);
    const AssignerActions actions = assigner.Handle(PackReadDone{true, Versioned<proto::SlicePack>{pack, 4}}, now);
    THEN("exactly two slices are marked as releasing, and no more within the minute") {
      REQUIRE(actions.size() == 1);
      const auto& write = std::get<WritePack>(actions[0]);
      const auto releasing =
          std::count_if(write.pack.slices().begin(), write.pack.slices().end(),
                        [](const proto::SliceRecord& slice) { return slice.state() == proto::SLICE_STATE_RELEASING; });
      CHECK(releasing == 2);
      assigner.Handle(WriteDone{write.write_id, WriteOutcome::kSucceeded, 5}, now);
      const AssignerActions later = assigner.Tick(now + seconds(30));
      CHECK(std::none_of(later.begin(), later.end(),
                         [](const AssignerAction& action) { return std::holds_alternative<WritePack>(action); }));
    }
  }
}

TEST_CASE("the lease guarantee ends before the renewal expires at the witness, at maximum clock drift") {
  // Guards against a drift margin that is missing or applied in the wrong direction, which the tick interval of the
  // matrix hides.
  GIVEN("an owner with one witness, the owner's clock 1% slow and the witness's 1% fast") {
    proto::MemberRecord owner_record;
    owner_record.set_node("owner");
    owner_record.set_incarnation(1);
    owner_record.set_ip("1");
    proto::MemberRecord witness_record;
    witness_record.set_node("witness");
    witness_record.set_incarnation(2);
    witness_record.set_ip("2");
    ViewBuilder builder;
    proto::ViewRecord record;
    record.set_key(std::string(kMemberPrefix) + "witness");
    record.set_value(witness_record.SerializeAsString());
    record.set_revision(1);
    builder.Apply(record);
    builder.Advance(1);
    LeaseOwner owner(owner_record);
    Witness witness(IncarnationId{"witness", 2}, TimePoint(seconds(1)));
    const TimePoint sent(seconds(50));  // on the owner's clock; requests arrive without delay
    owner.Handle(ViewChanged{builder.Snapshot()}, sent);
    const std::function<void(const LeaseActions&)> perform = [&](const LeaseActions& actions) {
      for (const LeaseAction& action : actions) {
        if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
          const DatagramReceived received{datagram->message};
          perform(datagram->node == "witness" ? witness.Handle(received, TimePoint(seconds(9)))
                                              : owner.Handle(received, sent + milliseconds(1)));
        } else if (std::holds_alternative<ReadMember>(action)) {
          perform(owner.Handle(MemberReadDone{"owner", true, std::nullopt}, sent + milliseconds(1)));
        } else if (const auto* write = std::get_if<WriteMember>(&action)) {
          perform(owner.Handle(WriteDone{write->write_id, WriteOutcome::kSucceeded, 2}, sent + milliseconds(2)));
        }
      }
    };
    perform(owner.Tick(sent));
    REQUIRE(owner.IsHeld(sent + milliseconds(2)));
    THEN("on a clock without drift the guarantee ends before an assigner may treat the renewal as expired") {
      const double guarantee_ms = static_cast<double>((owner.GuaranteedUntil() - sent).count()) / 1000 / 0.99;
      const double expiry_ms = static_cast<double>(kExpiryAge.count()) / 1000 / 1.01;
      CHECK(guarantee_ms <= expiry_ms + 0.001);
      CHECK(guarantee_ms > 890);
    }
  }
}

TEST_CASE("witnesses are spread over failure domains, two of them in the owner's region") {
  ViewBuilder builder;
  std::int64_t revision = 0;
  const auto add = [&](const std::string& node, const std::string& region, const std::string& domain) {
    proto::MemberRecord member;
    member.set_node(node);
    member.set_incarnation(static_cast<std::uint64_t>(++revision));
    member.set_region(region);
    member.set_domain(domain);
    member.set_ip(node);
    proto::ViewRecord record;
    record.set_key(std::string(kMemberPrefix) + node);
    record.set_value(member.SerializeAsString());
    record.set_revision(revision);
    builder.Apply(record);
    return member;
  };
  const proto::MemberRecord owner = add("owner", "sofia", "sofia-a");
  add("a1", "sofia", "sofia-a");
  for (int i = 0; i < 3; ++i) {
    add("b" + std::to_string(i), "sofia", "sofia-b");
  }
  const auto domains = [&](const WitnessChoice& choice) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < 3; ++i) {
      result.push_back(builder.Snapshot()->FindMember(choice.candidates[i].node())->domain());
    }
    return result;
  };
  GIVEN("a region with one other failure domain and no other region") {
    // Guards against an owner without witnesses in a small deployment.
    THEN("different hosts are chosen instead, and the choice reports the lack of spread") {
      const WitnessChoice choice = ChooseWitnesses(*builder.Snapshot(), owner, {});
      CHECK(choice.lacks_domain_spread);
      CHECK(domains(choice) == std::vector<std::string>{"sofia-b", "sofia-b", "sofia-b"});
    }
  }
  GIVEN("a second region") {
    add("c1", "ishikari", "ishikari-a");
    // Guards against a lease that lapses when the regions are partitioned from each other.
    THEN("two witnesses are in the owner's region") {
      CHECK(domains(ChooseWitnesses(*builder.Snapshot(), owner, {})) ==
            std::vector<std::string>{"sofia-b", "sofia-b", "ishikari-a"});
    }
  }
  GIVEN("three other failure domains in the region") {
    add("c1", "sofia", "sofia-c");
    add("d1", "sofia", "sofia-d");
    THEN("each of these domains has one witness, and an excluded node is not chosen") {
      const WitnessChoice choice = ChooseWitnesses(*builder.Snapshot(), owner, {});
      CHECK_FALSE(choice.lacks_domain_spread);
      CHECK(ChooseWitnesses(*builder.Snapshot(), owner, {"c1"}).lacks_domain_spread);
    }
  }
}

}  // namespace
}  // namespace magnoliaarch
