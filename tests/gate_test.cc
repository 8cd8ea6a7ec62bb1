#include "magnoliaarch/gate.h"

#include <catch2/catch.hpp>

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

// A gate with helpers that send events and keep the actions of the last event.
struct Fixture {
  explicit Fixture(GateOptions options = {}) : gate(options, [this](const Request&, TimePoint) { return lease; }) {}

  void Arrive(std::uint64_t id,
              int ms,
              RequestClass request_class = RequestClass::kNormal,
              const std::string& workspace = "temple",
              const std::string& key = "",
              std::uint32_t attempt = 1) {
    Request request;
    request.id = {1, id};
    request.entry = "storefront";
    request.workspace = workspace;
    request.request_class = request_class;
    request.deadline = At(ms + 1000);
    if (!key.empty()) {
      request.headers.push_back({"Idempotency-Key", key});
    }
    actions.clear();
    gate.OnRequest(At(ms), {std::make_shared<const Request>(request), attempt, id * 10 + attempt}, actions);
  }

  // Answers the oldest open send and returns the low part of its request id.
  std::uint64_t AnswerOldest(int ms) {
    const GateSend send = open.front();
    open.erase(open.begin());
    actions.clear();
    gate.OnSendStarted(At(ms), send.send);
    gate.OnAnswered(At(ms), send.send, Response{}, actions);
    CollectSends();
    return send.request->id.low;
  }

  void CollectSends() {
    for (const GateAction& action : actions) {
      if (const auto* send = std::get_if<GateSend>(&action); send != nullptr) {
        open.push_back(*send);
      }
    }
  }

  template <typename Action>
  std::vector<Action> ActionsOf() const {
    std::vector<Action> found;
    for (const GateAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action); typed != nullptr) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  LeaseVerdict lease;
  Gate gate;
  GateActions actions;
  std::vector<GateSend> open;
};

GateOptions WithLimits(int cold, int warm) {
  GateOptions options;
  options.cold_limit = cold;
  options.warm_limit = warm;
  return options;
}

TEST_CASE("the gate serves classes by priority and workspaces by weight") {
  GIVEN("a target that takes one request at a time, and queued requests of two workspaces and all classes") {
    Fixture f(WithLimits(1, 1));
    f.gate.SetWeight("abbey", 2);
    f.Arrive(1, 0);
    f.CollectSends();
    for (std::uint64_t i = 0; i < 6; ++i) {
      f.Arrive(100 + i, 0, RequestClass::kNormal, "temple");
      f.Arrive(200 + i, 0, RequestClass::kNormal, "abbey");
      f.Arrive(300 + i, 0, RequestClass::kBulk, "temple");
    }
    f.Arrive(400, 0, RequestClass::kPrompt, "temple");
    REQUIRE(f.AnswerOldest(1) == 1);

    // Guards against bulk work that delays prompt work, and against a workspace that gets more than its weight.
    THEN("the prompt request is sent first, then two requests of the heavier workspace for each one of the other") {
      CHECK(f.AnswerOldest(2) == 400);
      std::vector<std::uint64_t> order(6);
      for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = f.AnswerOldest(3 + static_cast<int>(i));
      }
      CHECK(order == std::vector<std::uint64_t>{100, 200, 201, 101, 202, 203});
    }
    // Guards against starvation of bulk work under steady higher-priority load.
    THEN("bulk is served before the normal queue is empty") {
      int bulk_at = 0;
      for (int i = 0; i < 19; ++i) {
        const std::uint64_t id = f.AnswerOldest(2 + i);
        if (bulk_at == 0 && id >= 300 && id < 400) {
          bulk_at = i;
        }
      }
      CHECK(bulk_at > 0);
      CHECK(bulk_at < 11);
    }
  }
}

TEST_CASE("a request id is run at most once") {
  Fixture f;
  f.Arrive(7, 0);
  f.CollectSends();
  REQUIRE(f.open.size() == 1);

  // Guards against a second run when an ingress repeats a request that it believes lost.
  WHEN("the id arrives again while its request runs") {
    f.Arrive(7, 1, RequestClass::kNormal, "temple", "", 2);
    THEN("both streams and a later query get the same answer") {
      CHECK(f.ActionsOf<GateSend>().empty());
      f.AnswerOldest(5);
      CHECK(f.ActionsOf<GateAnswer>().size() == 2);
      f.actions.clear();
      f.gate.OnQuery(At(6), {1, 7}, 2, 99, f.actions);
      REQUIRE(f.ActionsOf<GateAnswer>().size() == 1);
      CHECK(f.ActionsOf<GateAnswer>()[0].response->run_state == RunState::kRan);
    }
  }
  // Guards against a false not-run answer: the request arrives after the gate told the ingress that it did not run.
  WHEN("an unknown id is queried before its request arrives") {
    f.actions.clear();
    f.gate.OnQuery(At(1), {1, 8}, 1, 99, f.actions);
    REQUIRE(f.ActionsOf<GateRefuse>().size() == 1);
    CHECK(f.ActionsOf<GateRefuse>()[0].kind == ErrorKind::kBarred);
    THEN("the queried attempt is refused, and only a later attempt runs") {
      f.Arrive(8, 2);
      CHECK(f.ActionsOf<GateSend>().empty());
      f.Arrive(8, 3, RequestClass::kNormal, "temple", "", 2);
      CHECK(f.ActionsOf<GateSend>().size() == 1);
    }
  }
}

TEST_CASE("a full request table refuses new requests and keeps every outcome") {
  GateOptions options;
  options.table.capacity = 2;
  options.table.tombstone_capacity = 1;
  Fixture f(options);
  f.Arrive(1, 0);
  f.CollectSends();
  f.Arrive(2, 0);
  f.CollectSends();
  f.AnswerOldest(1);

  // Guards against eviction before the retention ends, after which a repeated request would run again.
  THEN("a third request is refused, and the table still answers a repetition of the first request") {
    f.Arrive(3, 2);
    CHECK(f.ActionsOf<GateRefuse>().at(0).kind == ErrorKind::kOverloaded);
    f.Arrive(1, 3, RequestClass::kNormal, "temple", "", 2);
    CHECK(f.ActionsOf<GateAnswer>().size() == 1);
  }
  // Guards against answering not-run when no tombstone is left to refuse the attempt if it arrives later.
  THEN("a query without room for a tombstone is answered with an unknown outcome") {
    f.actions.clear();
    f.gate.OnQuery(At(2), {1, 50}, 1, 98, f.actions);
    f.actions.clear();
    f.gate.OnQuery(At(2), {1, 51}, 1, 99, f.actions);
    CHECK(AnswerFor(f.ActionsOf<GateRefuse>().at(0).kind).run_state == RunState::kUnknown);
  }
}

TEST_CASE("a repeated Idempotency-Key is answered from the request table within its workspace and lease generation") {
  Fixture f;
  f.Arrive(1, 0, RequestClass::kNormal, "temple", "rollover-17");
  f.CollectSends();
  f.AnswerOldest(1);

  // Guards against a payout confirmed twice when the caller repeats it.
  WHEN("the same workspace repeats the key with a new request id") {
    f.Arrive(2, 2, RequestClass::kNormal, "temple", "rollover-17");
    THEN("the repeated request gets the first answer under its own id, and a query for this id finds the answer") {
      REQUIRE(f.ActionsOf<GateAnswer>().size() == 1);
      CHECK(f.ActionsOf<GateAnswer>()[0].id.low == 2);
      f.actions.clear();
      f.gate.OnQuery(At(3), {1, 2}, 1, 99, f.actions);
      CHECK(f.ActionsOf<GateAnswer>().size() == 1);
    }
  }
  // Guards against one workspace reading another's answer by guessing a key.
  WHEN("another workspace uses the same key") {
    f.Arrive(2, 2, RequestClass::kNormal, "abbey", "rollover-17");
    THEN("its request runs") {
      CHECK(f.ActionsOf<GateSend>().size() == 1);
    }
  }
  // Guards against an answer that a later run by another owner has made stale.
  WHEN("the lease generation changed in between") {
    f.lease.generation = 2;
    f.Arrive(2, 2, RequestClass::kNormal, "temple", "rollover-17");
    THEN("the request is sent") {
      CHECK(f.ActionsOf<GateSend>().size() == 1);
    }
  }
}

TEST_CASE("the concurrency limit rises only after successful requests and drops when the target may be cold") {
  Fixture f(WithLimits(2, 8));
  int ms = 0;
  std::uint64_t id = 1;
  const auto run = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      while (f.open.size() < static_cast<std::size_t>(f.gate.Limit())) {
        f.Arrive(id++, ms);
        f.CollectSends();
      }
      ms += 20;
      f.AnswerOldest(ms);
    }
  };
  run(150);
  REQUIRE(f.gate.Limit() == 8);

  // Guards against full load on a restarted target, whatever its health endpoint reports.
  WHEN("the target is reconnected") {
    f.gate.OnReconnect(At(ms), f.actions);
    THEN("the limit drops to the cold limit, and answers to earlier sends do not raise it") {
      CHECK(f.gate.Limit() == 2);
      while (!f.open.empty()) {
        ms += 300;
        f.AnswerOldest(ms);
      }
      CHECK(f.gate.Limit() == 2);
    }
  }
  WHEN("the target sheds a request") {
    f.gate.OnShed(At(ms), f.open.back().send, f.actions);
    THEN("the limit drops to the cold limit") {
      CHECK(f.gate.Limit() == 2);
    }
  }
  // Guards against a frozen target that gets as many requests as the limit allows each time their deadlines pass.
  WHEN("the target answers nothing until the deadlines pass") {
    while (f.open.size() < 8) {
      f.Arrive(id++, ms);
      f.CollectSends();
    }
    for (const GateSend& send : f.open) {
      f.gate.OnSendStarted(At(ms), send.send);
    }
    f.actions.clear();
    f.gate.OnTick(At(ms + 1500), f.actions);
    THEN("one request at a time is sent until one is answered") {
      CHECK(f.gate.IsFrozen());
      const std::vector<GateCancelAtTarget> cancels = f.ActionsOf<GateCancelAtTarget>();
      CHECK(cancels.size() == 8);
      for (const GateCancelAtTarget& cancel : cancels) {
        f.gate.OnCancelled(At(ms + 1500), cancel.send, f.actions);
      }
      f.open.clear();
      for (int i = 0; i < 5; ++i) {
        f.Arrive(id++, ms + 1600);
        f.CollectSends();
      }
      CHECK(f.open.size() == 1);
      f.AnswerOldest(ms + 1610);
      CHECK(f.open.size() == 2);
    }
  }
}

// Guards against requests sent by an owner whose lease ended while they were queued, and against a drain that refuses
// queued requests.
TEST_CASE("the lease of queued requests is checked again before the send, and a drain finishes them") {
  Fixture f(WithLimits(1, 1));
  f.Arrive(1, 0);
  f.CollectSends();
  f.Arrive(2, 0);
  WHEN("the lease lapses") {
    f.lease.refusal = ErrorKind::kLeaseLapsed;
    f.AnswerOldest(5);
    CHECK(f.ActionsOf<GateRefuse>().at(0).kind == ErrorKind::kLeaseLapsed);
    CHECK(f.open.empty());
  }
  WHEN("a drain begins") {
    f.gate.OnDrain(At(1), f.actions);
    f.Arrive(3, 2);
    CHECK(f.ActionsOf<GateRefuse>().at(0).kind == ErrorKind::kDraining);
    f.AnswerOldest(5);
    CHECK(f.open.size() == 1);
    CHECK(f.gate.HasUnfinished([](const Request& request) { return request.id.low == 2; }));
    f.AnswerOldest(6);
    CHECK_FALSE(f.gate.HasUnfinished([](const Request&) { return true; }));
  }
}

}  // namespace
}  // namespace magnoliaarch
