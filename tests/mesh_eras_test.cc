#include <catch2/catch.hpp>

#include "kv_platform.h"
#include "mesh_eras_p.h"
#include "mesh_keys_p.h"
#include "mesh_token_service_p.h"
#include "mesh_util.h"
#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

std::int64_t Revision(std::int64_t era, std::int64_t number) {
  return MakeRevision(era, number).value();
}

HttpMessage Answer(int status, std::string body, std::int64_t era) {
  HttpMessage answer;
  answer.status = status;
  answer.body = std::move(body);
  answer.headers.push_back(Header{"Store-Era", std::to_string(era)});
  return answer;
}

StoreRange Range(std::int64_t revision, std::vector<StoreKv> kvs) {
  StoreRange range;
  range.revision = revision;
  range.kvs = std::move(kvs);
  return range;
}

// A table whose keys all belong to one node.
proto::KeyTable Table(const std::string& owner, std::uint64_t fence) {
  proto::KeyTable table;
  proto::KeyRange* range = table.add_ranges();
  range->set_last(kMaxKey);
  range->mutable_owner()->set_node(owner);
  range->set_fence(fence);
  table.set_last_fence(fence);
  return table;
}

std::string Config(const std::string& version) {
  return R"({"version":")" + version + R"(","services":[],"virtual_hosts":[]})";
}

}  // namespace

TEST_CASE("revisions and fences of a later era are above those of earlier ones") {
  CHECK(Revision(2, 1) > Revision(1, 1'000'000'000'000));
  CHECK(Revision(1, 1) > 4'000'000'000'000'000'000);
  CHECK(EraOf(Revision(3, 17)) == 3);
  CHECK(NumberOf(Revision(3, 17)) == 17);
  // Guards against a store that states no era and uses large numbers.
  CHECK(Revision(0, std::int64_t{1} << 60U) == std::int64_t{1} << 60U);
  CHECK(EraOf(std::int64_t{1} << 60U) == 0);
  CHECK_FALSE(MakeRevision(1, std::int64_t{1} << 50U).has_value());
  CHECK_FALSE(MakeRevision(1 << 13U, 1).has_value());

  proto::KeyTable table = Table("a", 900);
  CHECK(IsOfEra(table, 0));
  CHECK_FALSE(IsOfEra(table, 2));
  RaiseToEra(&table, 2);
  CHECK(IsOfEra(table, 2));
  CHECK(table.ranges(0).fence() > 900);
  CHECK(table.ranges(0).owner().node() == "a");
  CHECK(table.last_fence() < std::uint64_t{1} << 53U);
}

TEST_CASE("the era is part of each revision that the store gives, and of no call") {
  const auto wire = CreateKvPlatform();
  const HttpMessage page = Answer(200, R"({"items":[{"key":"a","revision":4,"value":""}],"current_rev":9})", 2);
  CHECK(wire->ParseRange(page)->range.revision == Revision(2, 9));
  CHECK(wire->ParseRange(page)->range.kvs[0].mod_revision == Revision(2, 4));
  CHECK(wire->ParseTxn(Answer(200, R"({"revision":5})", 2))->revision == Revision(2, 5));
  CHECK(wire->ParseTxn(Answer(412, R"({"items":[{"key":"a","revision":4,"value":""}]})", 3))->found[0].mod_revision ==
        Revision(3, 4));
  CHECK(wire->ParseWatch(Answer(200, R"({"events":[],"current_rev":7})", 2))->revision == Revision(2, 7));
  CHECK(wire->WatchCall("p/", Revision(2, 7), std::chrono::seconds(1)).target.find("after=7&") != std::string::npos);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{"a", Revision(2, 4)});
  CHECK(wire->TxnCall(txn).body.find(R"("revision":4)") != std::string::npos);
  CHECK_FALSE(wire->ParseRange(Answer(200, R"({"items":[],"current_rev":99999999999999999})", 2)).ok());
}

TEST_CASE("a replica follows a store that came back from an older copy") {
  const auto wire = CreateKvPlatform();
  MeshView view(*wire, [](const std::string&, const absl::Status&) {});
  proto::MeshMember member;
  member.set_node("n");
  const std::string record = member.SerializeAsString();
  view.ApplyRange("magnolia/", Range(Revision(1, 50), {{MemberKey("n"), record, Revision(1, 40)}}));
  view.ApplyRange("op/", Range(Revision(1, 50), {{"op/config", Config("0000000a"), Revision(1, 45)},
                                                 {"op/evacuate/z", "{}", Revision(1, 46)}}));
  view.Advance(Revision(1, 50));

  // Guards against a node that follows nothing until the old height is passed.
  SECTION("a write at a lower number of the new era is applied") {
    view.ApplyRange("op/", Range(Revision(2, 30), {{"op/config", Config("0000000a"), Revision(2, 30)}}));
    view.Apply(StoreEvent{false, {"op/config", Config("0000000c"), Revision(2, 31)}});
    CHECK(view.Config()->version == 0xc);
  }
  // Guards against a withdrawn key that is accepted again.
  SECTION("an older configuration of the copy changes nothing and does not spread") {
    view.ApplyRange("op/", Range(Revision(2, 30), {{"op/config", Config("00000007"), Revision(2, 12)}}));
    CHECK(view.Config()->version == 0xa);
    CHECK(view.FindItem("op/config")->value() == Config("0000000a"));
    CHECK(view.FindItem("op/config")->revision() == Revision(2, 12));

    SECTION("a node that knows only the copy's learns the newer one") {
      MeshView other(*wire, [](const std::string&, const absl::Status&) {});
      other.ApplyRange("op/", Range(Revision(2, 30), {{"op/config", Config("00000007"), Revision(2, 12)}}));
      CHECK(other.Apply(*view.FindItem("op/config")));
      CHECK(other.Config()->version == 0xa);
    }
    SECTION("the operator's next version is followed") {
      view.Apply(StoreEvent{false, {"op/config", Config("0000000b"), Revision(2, 31)}});
      CHECK(view.Config()->version == 0xb);
    }
  }
  // Guards against a lost member record that reads as a node that left.
  SECTION("records that the copy lacks stay until they are given up") {
    view.ApplyRange("magnolia/", Range(Revision(2, 30), {}));
    view.ApplyRange("op/", Range(Revision(2, 30), {}));
    CHECK(view.FindMember("n") != nullptr);
    CHECK(view.IsEvacuated("z"));
    CHECK(view.DropEarlierEras("magnolia/", 2));
    CHECK(view.FindMember("n") == nullptr);
    CHECK(view.IsEvacuated("z"));
    SECTION("and are gone for good, also if another node still has them") {
      proto::ViewItem item;
      item.set_key(MemberKey("n"));
      item.set_value(record);
      item.set_revision(Revision(1, 40));
      CHECK_FALSE(view.Apply(item));
    }
    SECTION("and may be written again") {
      view.Apply(StoreEvent{false, {MemberKey("n"), record, Revision(2, 31)}});
      CHECK(view.FindMember("n") != nullptr);
    }
  }
  SECTION("a removal in the new era is a removal") {
    view.ApplyRange("op/", Range(Revision(2, 30), {}));
    view.Apply(StoreEvent{true, {"op/evacuate/z", "", Revision(2, 31)}});
    CHECK_FALSE(view.IsEvacuated("z"));
  }
  // Guards against an older owner that the copy brings back.
  SECTION("a newer key table stays, under the revision that the next write has to name") {
    const std::string key = TableKey("desk");
    view.Apply(StoreEvent{false, {key, PackTable(Table("b", 12)), Revision(1, 50)}});
    view.ApplyRange("magnolia/", Range(Revision(2, 30), {{key, PackTable(Table("a", 11)), Revision(2, 20)}}));
    CHECK(view.Table("desk")->table.ranges(0).owner().node() == "b");
    CHECK(view.Table("desk")->revision == Revision(2, 20));
    // A late write of the first era has changed the copy.
    view.Apply(StoreEvent{false, {key, PackTable(Table("c", 12)), Revision(2, 31)}});
    CHECK(view.Table("desk")->table.ranges(0).owner().node() == "b");
    CHECK(view.Table("desk")->revision == Revision(2, 31));
    proto::KeyTable adopted = Table("a", 12);
    RaiseToEra(&adopted, 2);
    view.Apply(StoreEvent{false, {key, PackTable(adopted), Revision(2, 32)}});
    CHECK(view.Table("desk")->table.ranges(0).owner().node() == "a");
  }
}

// Guards against tokens that are given out twice, by a node that takes its own duty over again.
TEST_CASE("the node that hands out tokens keeps its pool over a change of the era") {
  const auto wire = CreateKvPlatform();
  MeshView view(*wire, [](const std::string&, const absl::Status&) {});
  proto::MeshMember member;
  member.set_node("n");
  proto::MeshCoordinator coordinator;
  coordinator.set_node("n");
  const std::string config =
      R"({"version":"0000000a","services":[],"virtual_hosts":[],"tenants":[{"name":"w","rate_per_s":1,"burst":100}]})";
  view.ApplyRange("magnolia/",
                  Range(Revision(1, 50), {{MemberKey("n"), member.SerializeAsString(), Revision(1, 40)},
                                          {CoordinatorKey(), coordinator.SerializeAsString(), Revision(1, 41)}}));
  view.ApplyRange("op/", Range(Revision(1, 50), {{"op/config", config, Revision(1, 45)}}));
  TokenService service([&]() -> const MeshView& { return view; }, "n");
  TimePoint now = BootClock::now();
  std::uint64_t sequence = 0;
  const auto take = [&] {
    proto::TokenCall call;
    call.set_quota_version(0xa);
    call.set_node("n");
    call.set_sequence(++sequence);
    call.add_demands()->set_wanted_milli(1'000'000);
    const proto::TokenReply reply = service.OnTokenCall(now, call);
    return reply.tokens().empty() ? 0 : reply.tokens(0).milli();
  };
  take();
  now += std::chrono::seconds(50);
  CHECK(take() > 0);
  const auto left = take();
  view.ApplyRange("magnolia/", Range(Revision(2, 30), {}));
  CHECK(service.NodeFor(0) == "n");
  CHECK(take() <= left);
  view.Apply(StoreEvent{false, {MemberKey("n"), member.SerializeAsString(), Revision(2, 31)}});
  view.Apply(StoreEvent{false, {CoordinatorKey(), coordinator.SerializeAsString(), Revision(2, 32)}});
  CHECK(take() <= left);
}

TEST_CASE("a table of an earlier era is adopted only when no other grant can be in force") {
  EraSettlement state;
  state.era = 2;
  state.had_role = true;
  state.nodes = {"a", "b"};
  state.last_fence = 12;
  for (const std::string node : {"a", "b"}) {
    state.reports[node].set_era(2);
    state.reports[node].set_last_fence(12);
  }
  const proto::KeyTable table = Table("a", 12);
  CHECK(NextEraStep(state, table) == EraStep::kAdopt);

  SECTION("a node that has not reported from the new era may hold keys") {
    state.reports["b"].set_era(1);
    CHECK(NextEraStep(state, table) == EraStep::kWait);
    state.reports.erase("b");
    CHECK(NextEraStep(state, table) == EraStep::kWait);
  }
  SECTION("a node has seen a newer table") {
    state.reports["b"].set_last_fence(13);
    CHECK(NextEraStep(state, table) == EraStep::kWait);
  }
  SECTION("a late write has changed the copy's table") {
    CHECK(NextEraStep(state, Table("b", 13)) == EraStep::kWait);
  }
  SECTION("a new coordinator does not know all nodes") {
    state.had_role = false;
    CHECK(NextEraStep(state, table) == EraStep::kWait);
  }
  SECTION("after the end of the earlier leases nothing can be in force") {
    state.had_role = false;
    state.reports.clear();
    state.grants_lapsed = true;
    CHECK(NextEraStep(state, Table("b", 13)) == EraStep::kAdopt);
  }
  SECTION("the first table of a mesh needs no wait unless a node has seen one") {
    state.is_first = true;
    state.had_role = false;
    CHECK(NextEraStep(state, proto::KeyTable()) == EraStep::kWait);
    state.reports.clear();
    CHECK(NextEraStep(state, proto::KeyTable()) == EraStep::kAdopt);
  }
  SECTION("a table of this era is used") {
    state.reports.clear();
    CHECK(NextEraStep(state, Table("a", (std::uint64_t{2} << 40U) + 1)) == EraStep::kSettled);
  }
}

TEST_CASE("a write is bound to its era") {
  StoreTxn txn;
  BindToEra(3, false, &txn);
  REQUIRE(txn.compares.size() == 1);
  CHECK(txn.compares[0].key == EraKey(4));
  CHECK(txn.compares[0].mod_revision == 0);
  REQUIRE(txn.puts.size() == 3);
  CHECK(txn.puts[0].key == EraKey(3));
  StoreTxn later;
  BindToEra(3, true, &later);
  CHECK(later.puts.empty());
}

}  // namespace magnoliaarch
