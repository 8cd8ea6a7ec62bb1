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

}  // namespace
}  // namespace magnoliaarch
