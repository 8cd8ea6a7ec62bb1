#include "magnoliaarch/retry.h"

#include <catch2/catch.hpp>

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

struct Fixture {
  explicit Fixture(bool idempotent, bool keyed) : m_request(std::make_shared<Request>()) {
    m_request->id = {1, 42};
    m_request->idempotent = idempotent;
    m_request->keyed = keyed;
    m_request->request_class = RequestClass::kPrompt;
    m_request->deadline = At(2000);
    FlowContext context;
    context.pick = [this](const Request&, const std::vector<IncarnationId>& excluded, TimePoint) {
      for (const Route& route : routes) {
        if (std::find(excluded.begin(), excluded.end(), route.node) == excluded.end()) {
          return route;
        }
      }
      return Route{};
    };
    context.retry_budget = &budget;
    context.hedge = &hedge;
    context.counters = &counters;
    flow.emplace(FlowOptions{}, context, m_request);
  }

  Response TargetResponse(std::uint64_t id = 42) const {
    Response response;
    response.id = {1, id};
    response.status = 200;
    return response;
  }
  Response Refusal(ErrorKind kind) const { return MakeRefusal({1, 42}, kind, {}); }

  template <typename Action>
  std::vector<Action> ActionsOf() const {
    std::vector<Action> found;
    for (const FlowAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action); typed != nullptr) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  RunState AnswerRunState() const { return ActionsOf<FlowAnswer>().at(0).response.run_state; }

  std::vector<Route> routes = {{{"a", 1}, 5}, {{"b", 2}, 5}};
  RetryBudget budget;
  HedgePolicy hedge;
  FlowCounters counters;
  FlowActions actions;
  std::optional<RequestFlow> flow;

 private:
  std::shared_ptr<Request> m_request;
};

TEST_CASE("a non-idempotent request whose stream broke is queried before it is sent again") {
  Fixture f(false, true);
  f.flow->Start(At(0), f.actions);
  f.flow->OnAttemptSent(At(0), 1);
  f.actions.clear();
  f.flow->OnStreamBroken(At(10), 1, f.actions);
  REQUIRE(f.ActionsOf<FlowQuery>().size() == 1);
  CHECK(f.ActionsOf<FlowSend>().empty());

  // Guards against a non-idempotent request that runs twice because its first answer was lost.
  WHEN("the egress node still has the answer") {
    f.flow->OnQueryAnswer(At(20), 1, f.TargetResponse(), f.actions);
    CHECK(f.AnswerRunState() == RunState::kRan);
  }
  WHEN("the egress node has not seen the request") {
    f.flow->OnQueryAnswer(At(20), 1, f.Refusal(ErrorKind::kBarred), f.actions);
    f.flow->OnTick(At(60), f.actions);
    THEN("the next attempt has a higher number") {
      REQUIRE(f.ActionsOf<FlowSend>().size() == 1);
      CHECK(f.ActionsOf<FlowSend>()[0].attempt == 2);
    }
  }
  // Guards against answering not-run because the node can no longer be queried.
  WHEN("the queried incarnation is lost") {
    f.flow->OnNodeLost(At(20), {"a", 1}, f.actions);
    CHECK(f.AnswerRunState() == RunState::kUnknown);
    CHECK(f.ActionsOf<FlowSend>().empty());
  }
  WHEN("no query is answered until the deadline") {
    f.flow->OnQueryFailed(At(20), 1, f.actions);
    f.flow->OnTick(At(2020), f.actions);
    CHECK(f.AnswerRunState() == RunState::kUnknown);
  }
}

// Guards against requests that fail although the target of a slow node is still running them (LOST), and against a
// request that is sent to a second node while the first still receives it (TWICE).
TEST_CASE("a request that was sent to a node that is lost may still be answered") {
  const IncarnationId lost{"a", 1};
  GIVEN("a non-idempotent request that was sent") {
    Fixture f(false, true);
    f.flow->Start(At(0), f.actions);
    f.flow->OnAttemptSent(At(0), 1);
    f.actions.clear();
    f.flow->OnNodeLost(At(20), lost, f.actions);
    CHECK(f.ActionsOf<FlowAnswer>().empty());
    CHECK(f.ActionsOf<FlowSend>().empty());
    WHEN("the node still answers") {
      f.flow->OnAnswer(At(900), 1, f.TargetResponse(), f.actions);
      CHECK(f.AnswerRunState() == RunState::kRan);
    }
    WHEN("the node's connection ends") {
      f.flow->OnStreamBroken(At(900), 1, f.actions);
      f.flow->OnNodeLost(At(900), lost, f.actions);
      CHECK(f.AnswerRunState() == RunState::kUnknown);
      CHECK(f.ActionsOf<FlowSend>().empty());
    }
    WHEN("no answer arrives until the deadline") {
      f.flow->OnTick(At(2020), f.actions);
      CHECK(f.AnswerRunState() == RunState::kUnknown);
    }
  }
  GIVEN("a non-idempotent request that is still being sent") {
    Fixture f(false, false);
    f.flow->Start(At(0), f.actions);
    f.actions.clear();
    f.flow->OnNodeLost(At(20), lost, f.actions);
    CHECK(f.ActionsOf<FlowWithdraw>().size() == 1);
    CHECK(f.ActionsOf<FlowSend>().empty());
    WHEN("the request is withdrawn before it is sent completely") {
      f.flow->OnStreamBroken(At(21), 1, f.actions);
      CHECK(f.ActionsOf<FlowSend>().size() == 1);
    }
    WHEN("the last bytes of the request are sent before the withdrawal") {
      f.flow->OnAttemptSent(At(21), 1);
      CHECK(f.ActionsOf<FlowSend>().empty());
      f.flow->OnAnswer(At(900), 1, f.TargetResponse(), f.actions);
      CHECK(f.AnswerRunState() == RunState::kRan);
    }
  }
  GIVEN("an idempotent request") {
    Fixture f(true, false);
    f.flow->Start(At(0), f.actions);
    f.flow->OnAttemptSent(At(0), 1);
    f.actions.clear();
    f.flow->OnNodeLost(At(20), lost, f.actions);
    THEN("the request is sent to another node as well") {
      REQUIRE(f.ActionsOf<FlowSend>().size() == 1);
      CHECK(f.ActionsOf<FlowCancel>().empty());
    }
    WHEN("the other node refuses and the first one still answers") {
      f.flow->OnAnswer(At(30), 2, f.Refusal(ErrorKind::kOverloaded), f.actions);
      CHECK(f.ActionsOf<FlowAnswer>().empty());
      f.flow->OnAnswer(At(900), 1, f.TargetResponse(), f.actions);
      CHECK(f.AnswerRunState() == RunState::kRan);
    }
    WHEN("both attempts fail, which ends the request at once with an unknown outcome") {
      f.flow->OnAnswer(At(30), 2, f.Refusal(ErrorKind::kOverloaded), f.actions);
      f.flow->OnStreamBroken(At(40), 1, f.actions);
      CHECK(f.AnswerRunState() == RunState::kUnknown);
    }
  }
}

TEST_CASE("a keyed request waits while its key has no owner") {
  Fixture f(false, true);
  const std::vector<Route> owners = f.routes;
  f.routes.clear();
  f.flow->Start(At(0), f.actions);
  CHECK(f.ActionsOf<FlowSend>().empty());
  // Guards against refusals during a planned move or a takeover that ends before the deadline.
  WHEN("an owner is granted before the deadline") {
    f.routes = {owners[1]};
    f.flow->OnRouteChanged(At(900), f.actions);
    CHECK(f.ActionsOf<FlowSend>().size() == 1);
  }
  WHEN("no owner is granted before the deadline") {
    f.flow->OnTick(At(2000), f.actions);
    CHECK(f.AnswerRunState() == RunState::kNotRun);
  }
}

// Guards against retries that multiply the load during an outage, and against requests that fail during a short lease
// lapse.
TEST_CASE("a refusal by the owner is retried at once on a new grant and within the retry budget on the old one") {
  Fixture f(false, true);
  f.flow->Start(At(0), f.actions);
  f.actions.clear();
  WHEN("the owner moved") {
    f.flow->OnAnswer(At(5), 1, f.Refusal(ErrorKind::kWrongOwner), f.actions);
    CHECK(f.ActionsOf<FlowFetchPack>().size() == 1);
    CHECK(f.ActionsOf<FlowSend>().empty());
    f.routes = {f.routes[1]};
    f.flow->OnRouteChanged(At(8), f.actions);
    CHECK(f.ActionsOf<FlowSend>().size() == 1);
  }
  WHEN("the lease lapsed and the budget is spent") {
    while (f.budget.TakeRetry()) {
    }
    f.flow->OnAnswer(At(5), 1, f.Refusal(ErrorKind::kLeaseLapsed), f.actions);
    f.flow->OnTick(At(100), f.actions);
    CHECK(f.ActionsOf<FlowSend>().empty());
    f.flow->OnOwnerAvailable(At(300), f.actions);
    CHECK(f.ActionsOf<FlowSend>().size() == 1);
  }
}

TEST_CASE("the caller gets exactly one answer, to its own request and with the correct run state") {
  // Guards against an answer that belongs to another caller.
  GIVEN("an answer with another id") {
    Fixture f(false, true);
    f.flow->Start(At(0), f.actions);
    f.flow->OnAttemptSent(At(0), 1);
    f.flow->OnAnswer(At(5), 1, f.TargetResponse(43), f.actions);
    CHECK(f.ActionsOf<FlowAnswer>().empty());
    CHECK(f.counters.mismatched_answers == 1);
    CHECK(f.ActionsOf<FlowQuery>().size() == 1);
  }
  // Guards against a refusal of the second attempt that hides the unknown outcome of the first.
  GIVEN("an idempotent request whose first attempt may have run and whose second attempt is refused") {
    Fixture f(true, false);
    f.flow->Start(At(0), f.actions);
    f.flow->OnAttemptSent(At(0), 1);
    f.flow->OnStreamBroken(At(5), 1, f.actions);
    f.flow->OnAnswer(At(9), 2, f.Refusal(ErrorKind::kOverloaded), f.actions);
    CHECK(f.AnswerRunState() == RunState::kUnknown);
  }
  GIVEN("a hedged request") {
    Fixture f(true, false);
    for (int i = 0; i < 100; ++i) {
      f.hedge.OnRequest();
      f.hedge.OnLatency(milliseconds(4));
    }
    f.flow->Start(At(0), f.actions);
    f.flow->OnTick(At(6), f.actions);
    REQUIRE(f.ActionsOf<FlowSend>().size() == 2);
    CHECK(f.ActionsOf<FlowSend>()[1].route.node.node == "b");
    // Guards against two answers, and against a losing attempt that continues to load a slow target.
    THEN("the first answer wins, the other copy is cancelled and its answer is dropped") {
      f.flow->OnAnswer(At(8), 2, f.TargetResponse(), f.actions);
      f.flow->OnAnswer(At(30), 1, f.TargetResponse(), f.actions);
      CHECK(f.ActionsOf<FlowAnswer>().size() == 1);
      REQUIRE(f.ActionsOf<FlowCancel>().size() == 1);
      CHECK(f.ActionsOf<FlowCancel>()[0].attempt == 1);
      CHECK(f.counters.late_answers == 1);
    }
  }
}

}  // namespace
}  // namespace magnoliaarch
