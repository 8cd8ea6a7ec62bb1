#include "mesh_gate_p.h"

#include <catch2/catch.hpp>

#include "mesh_util.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

GateWork Work(GateTicket ticket, int arrived_ms, int objective_ms, std::uint32_t priority = 2) {
  GateWork work;
  work.ticket = ticket;
  work.route = "r";
  work.priority = priority;
  work.objective = At(arrived_ms + objective_ms);
  work.expires = At(arrived_ms + 1200);
  return work;
}

// A gate whose mean service time is known.
MeshGate WarmGate(std::uint32_t slots, int service_ms) {
  MeshGate gate;
  gate.SetSlots(slots);
  gate.Offer(At(-1000), Work(1000, -1000, 5000));
  gate.OnEnded(At(-1000 + service_ms), 1000, true);
  return gate;
}

TEST_CASE("the gate keeps the target's slots") {
  MeshGate gate = WarmGate(2, 100);
  REQUIRE(gate.Offer(At(0), Work(1, 0, 300)).kind == GateVerdict::Kind::kSend);
  REQUIRE(gate.Offer(At(0), Work(2, 0, 300)).kind == GateVerdict::Kind::kSend);

  // Guards against requests that wait in the target's own queue, where priorities do not hold.
  SECTION("a third request waits for a slot") {
    REQUIRE(gate.Offer(At(0), Work(3, 0, 300)).kind == GateVerdict::Kind::kQueued);
    CHECK(gate.Next(At(10)).send.empty());
    gate.OnEnded(At(50), 1, true);
    CHECK(gate.Next(At(50)).send == std::vector<GateTicket>{3});
  }
  // Guards against holding requests that cannot be in time.
  SECTION("a request that would be late is refused at once, with a short time to come back") {
    int queued = 0;
    GateVerdict verdict;
    for (GateTicket ticket = 3; ticket < 20; ++ticket) {
      verdict = gate.Offer(At(0), Work(ticket, 0, 300));
      queued += verdict.kind == GateVerdict::Kind::kQueued ? 1 : 0;
    }
    CHECK(queued >= 2);
    CHECK(queued <= 4);
    CHECK(verdict.kind == GateVerdict::Kind::kRefused);
    CHECK(verdict.retry_after >= milliseconds(10));
    CHECK(verdict.retry_after <= milliseconds(300));
  }
  // Guards against a second refusal of a request that came back when it was told to.
  SECTION("a request with an earlier objective goes ahead of newer ones") {
    REQUIRE(gate.Offer(At(0), Work(3, 0, 300)).kind == GateVerdict::Kind::kQueued);
    REQUIRE(gate.Offer(At(0), Work(4, 0, 220)).kind == GateVerdict::Kind::kQueued);
    gate.OnEnded(At(50), 1, true);
    CHECK(gate.Next(At(50)).send == std::vector<GateTicket>{4});
  }
  SECTION("a higher priority goes first") {
    REQUIRE(gate.Offer(At(0), Work(3, 0, 300, 2)).kind == GateVerdict::Kind::kQueued);
    REQUIRE(gate.Offer(At(0), Work(4, 0, 400, 1)).kind == GateVerdict::Kind::kQueued);
    gate.OnEnded(At(50), 1, true);
    CHECK(gate.Next(At(50)).send == std::vector<GateTicket>{4});
  }
  // Guards against sending requests whose caller left while they waited.
  SECTION("a withdrawn request is not sent") {
    REQUIRE(gate.Offer(At(0), Work(3, 0, 300)).kind == GateVerdict::Kind::kQueued);
    CHECK(gate.Withdraw(3));
    CHECK_FALSE(gate.Withdraw(3));
    gate.OnEnded(At(50), 1, true);
    CHECK(gate.Next(At(50)).send.empty());
  }
  // Guards against a slot for a request that is late in any case while another could be in time.
  SECTION("a request that became hopeless in the queue is refused when others wait") {
    REQUIRE(gate.Offer(At(0), Work(3, 0, 250)).kind == GateVerdict::Kind::kQueued);
    REQUIRE(gate.Offer(At(0), Work(4, 0, 400)).kind == GateVerdict::Kind::kQueued);
    const GateStep step = gate.Next(At(230));
    REQUIRE(step.refuse.size() == 1);
    CHECK(step.refuse[0].ticket == 3);
  }
}

TEST_CASE("a cold target gets no more than its rate in any second") {
  MeshGate gate = WarmGate(50, 20);
  gate.SetCold(At(3000), 15);
  std::vector<int> sends;
  GateTicket ticket = 1;
  for (int ms = 0; ms < 3000; ms += 5) {
    const GateVerdict verdict = gate.Offer(At(ms), Work(ticket, ms, 300));
    if (verdict.kind == GateVerdict::Kind::kSend) {
      sends.push_back(ms);
      gate.OnEnded(At(ms + 2), ticket, true);
    }
    ++ticket;
    for (const GateTicket sent : gate.Next(At(ms)).send) {
      sends.push_back(ms);
      gate.OnEnded(At(ms + 2), sent, true);
    }
  }
  // Guards against crashing a target that came back cold (FAILBACK).
  for (std::size_t i = 0; i < sends.size(); ++i) {
    const auto in_second = std::count_if(sends.begin() + static_cast<std::ptrdiff_t>(i), sends.end(),
                                         [&](int ms) { return ms < sends[i] + 1000; });
    REQUIRE(in_second <= 15);
  }
  CHECK(sends.size() >= 30);
  CHECK_FALSE(gate.IsCold(At(3001)));
}

}  // namespace
}  // namespace magnoliaarch
