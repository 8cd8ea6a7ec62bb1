// Which heartbeats a node takes for its target's, and when it trusts that a new life of the target holds no keys.

#include "mesh_target_fixture.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a heartbeat that names another target changes nothing") {
  TargetFixture node("desk");
  node.Configure();
  REQUIRE(node.SendHeartbeat(5, 1).ok());
  node.AssignAllKeys(3, 5);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("grant 0 3") == 1; }));
  TargetCall call;
  call.id = call.heartbeat.id = "t9";
  call.heartbeat.service = "desk";
  call.heartbeat.address = node.Address();
  call.heartbeat.start_ms = 6;
  call.heartbeat.sequence = 1;
  call.heartbeat.slots = 6;
  // Guards against two owners of a key: the heartbeat of a service that is in no configuration replaced the target,
  // whose keys were given away while it held them (review/1).
  SECTION("a service that does not exist") {
    call.heartbeat.service = "vault";
  }
  SECTION("another service of the configuration") {
    call.heartbeat.service = "ledger";
  }
  SECTION("another address") {
    call.heartbeat.address = "127.0.0.1:1";
  }
  CHECK(absl::IsInvalidArgument(node.target.OnCall(call)));
  const proto::TargetReport report = node.target.Report(BootClock::now());
  CHECK(report.id() == "t1");
  CHECK(report.start_ms() == 5);
  CHECK(report.accepts());
  node.Send(1, true, true);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("run r1") == 1; }));
}

// Guards against two owners of a key: a grant had reached the next life of a crashed target before its first heartbeat,
// and its keys were given away at that heartbeat (review/4).
TEST_CASE("a restarted target is reported only when no grant for its former life can be in force") {
  TargetFixture node("desk");
  const auto reported_start = [&] { return node.target.Report(BootClock::now()).start_ms(); };
  const auto wait_for_start = [&](std::int64_t start_ms) {
    return node.WaitUntil([&] { return reported_start() == start_ms; });
  };
  node.Configure();

  SECTION("while the node runs") {
    REQUIRE(node.SendHeartbeat(1, 4).ok());
    node.AssignAllKeys(3, 1);
    REQUIRE(node.WaitUntil([&] { return node.target_server.Count("grant 0 3") == 1; }));
    const TimePoint granted = BootClock::now();
    SECTION("a heartbeat of the former life arrives after the grant") {
      REQUIRE(node.SendHeartbeat(1, 5).ok());
      REQUIRE(node.SendHeartbeat(2, 1).ok());
    }
    SECTION("a heartbeat of the former life arrives after the first one of the new life") {
      REQUIRE(node.SendHeartbeat(2, 1).ok());
      REQUIRE(node.SendHeartbeat(1, 5).ok());
    }
    CHECK(reported_start() == 1);
    CHECK_FALSE(node.target.Report(BootClock::now()).gone());
    REQUIRE(wait_for_start(2));
    CHECK(BootClock::now() - granted > milliseconds(1000));
    CHECK(node.target_server.Count("grant 0 3") == 1);
  }
  SECTION("after a restart of the node, which does not know what its earlier run has granted") {
    const TimePoint start = BootClock::now();
    node.AssignAllKeys(3, 1);
    REQUIRE(node.SendHeartbeat(2, 1).ok());
    CHECK(reported_start() == 0);
    SECTION("a heartbeat of the former life that arrives late is ignored") {
      REQUIRE(node.SendHeartbeat(1, 9).ok());
      CHECK(reported_start() == 0);
    }
    REQUIRE(wait_for_start(2));
    CHECK(BootClock::now() - start > milliseconds(1500));
    CHECK(node.target_server.Count("grant") == 0);
  }
  SECTION("a life that owns the keys according to the table is reported at once") {
    node.AssignAllKeys(3, 2);
    REQUIRE(node.SendHeartbeat(2, 6).ok());
    CHECK(reported_start() == 2);
  }
  SECTION("a life on a node that owns no keys is reported at once") {
    REQUIRE(node.SendHeartbeat(2, 1).ok());
    CHECK(reported_start() == 2);
  }
  SECTION("a life on a node whose replica may be old is reported when the grants of its earlier run have lapsed") {
    node.authority_end = TimePoint();
    REQUIRE(node.SendHeartbeat(2, 1).ok());
    CHECK(reported_start() == 0);
    REQUIRE(wait_for_start(2));
  }
}

// Guards against requests in an evacuated failure domain after the bound: the time that a target may still serve its
// keys began anew when its node restarted (found while tracing review/7).
TEST_CASE("a node that starts in an evacuated failure domain grants no keys") {
  TargetFixture node("desk");
  proto::ViewItem item;
  item.set_key("op/evacuate/z1");
  item.set_value("{}");
  item.set_revision(++node.revision);
  node.view.Apply(item);
  node.Configure();
  REQUIRE(node.SendHeartbeat(1, 4).ok());
  node.AssignAllKeys(3, 1);
  node.Send(1, true, true);
  REQUIRE(node.WaitUntil([&] { return node.answers.contains(1); }, milliseconds(300)));
  CHECK(node.answers[1].reason() == proto::MESH_DRAINING);
  CHECK(node.target_server.Count("grant") == 0);
  CHECK_FALSE(node.target.Report(BootClock::now()).gone());
  REQUIRE(node.WaitUntil([&] { return node.target.Report(BootClock::now()).gone(); }));
}

// Guards against two owners of a key: the keys of a target that was reported gone were being given away by a write that
// does not depend on the target, while it answered again and its node renewed the grants.
TEST_CASE("keys that were reported as free are granted again only under a new fence") {
  TargetFixture node("desk");
  node.Configure();
  REQUIRE(node.SendHeartbeat(1, 4).ok());
  node.AssignAllKeys(3, 1);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("grant 0 3") == 1; }));
  const auto evacuate = [&](bool evacuated) {
    proto::ViewItem item;
    item.set_key("op/evacuate/z1");
    item.set_value("{}");
    item.set_deleted(!evacuated);
    item.set_revision(++node.revision);
    node.view.Apply(item);
    node.target.OnViewChanged();
  };
  node.bounds.evacuate = std::chrono::milliseconds(2600);  // the target serves its keys for 0.1 s of this
  evacuate(true);
  REQUIRE(node.WaitUntil([&] { return node.target.Report(BootClock::now()).gone(); }));
  const int granted = node.target_server.Count("grant 0 3");

  evacuate(false);
  CHECK_FALSE(node.target.Report(BootClock::now()).gone());
  REQUIRE(node.WaitUntil([&] { return node.refused_fences.contains(3); }));
  node.WaitUntil([] { return false; }, milliseconds(300));
  CHECK(node.target_server.Count("grant 0 3") == granted);
  node.Send(1, true, true);
  node.AssignAllKeys(4, 1);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("grant 0 4") == 1; }));
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("run r1") == 1; }));
}

}  // namespace
}  // namespace magnoliaarch
