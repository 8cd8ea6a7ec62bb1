#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "request_path_sim.h"

namespace magnoliaarch {
namespace {

RequestPathSimOptions Options(Fault fault, Step step, bool keyed, std::uint64_t seed) {
  RequestPathSimOptions options;
  options.seed = seed;
  options.fault = fault;
  options.step = step;
  options.keyed = keyed;
  options.gate.cold_limit = 2;
  options.gate.warm_limit = 8;
  options.gate.raise_interval = std::chrono::milliseconds(20);
  return options;
}

// Number of seeds for each combination, set by MAGNOLIAARCH_MATRIX_SEEDS; the default keeps the test within seconds.
std::uint64_t Seeds() {
  const char* text = std::getenv("MAGNOLIAARCH_MATRIX_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 12;
}

// Injects every fault at every step of the request path. Guards against double runs, false not-run answers, answers to
// other requests, two or no answers, more load on a cold target than its answers justify, and requests refused by a
// planned stop.
TEST_CASE("the request path keeps its invariants under every fault at every step") {
  int runs = 0;
  int injected = 0;
  for (int fault = 0; fault < kFaults; ++fault) {
    for (int step = 0; step < kSteps; ++step) {
      for (const bool keyed : {true, false}) {
        for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
          RequestPathSim sim(Options(static_cast<Fault>(fault), static_cast<Step>(step), keyed, seed));
          const LimitsObserver& observer = sim.Run();
          ++runs;
          injected += sim.Injections() > 0 ? 1 : 0;
          if (!observer.Violations().empty()) {
            INFO("fault " << fault << " step " << step << " keyed " << keyed << " seed " << seed << ": "
                          << observer.Violations().size() << " violations");
            FAIL_CHECK(observer.Violations().front());
          }
        }
      }
    }
  }
  std::cout << "request path matrix: " << runs << " runs, a fault injected in " << injected << "\n";
}

// Runs seeds until the observer reports the violated rule, and prints the seed. Runs with all rules enabled must report
// no violation.
void ExpectViolation(const char* rule, RequestPathSimOptions options) {
  RequestPathSimOptions without_faults = options;
  without_faults.gate.faults = {};
  without_faults.flow = {};
  without_faults.second_lease_check = true;
  for (without_faults.seed = 1; without_faults.seed <= 20; ++without_faults.seed) {
    CHECK(RequestPathSim(without_faults).Run().Violations().empty());
  }
  for (options.seed = 1; options.seed <= 300; ++options.seed) {
    RequestPathSim sim(options);
    for (const std::string& violation : sim.Run().Violations()) {
      if (violation.find(rule) == 0) {
        std::cout << "caught: " << violation << ", seed " << options.seed << "\n";
        return;
      }
    }
  }
  FAIL_CHECK("the observer never reported " << rule);
}

// Guards against an observer that never fails: with each rule disabled, it must report a violation.
TEST_CASE("the observer reports each disabled rule of the request path") {
  RequestPathSimOptions options = Options(Fault::kAnswerLost, Step::kSend, true, 1);
  SECTION("finished requests are not recorded") {
    options.gate.faults.forget_finished = true;
    ExpectViolation("I9 request", options);
    ExpectViolation("I9 by Idempotency-Key", options);
  }
  SECTION("a full table evicts its oldest record") {
    options.gate.faults.evict_early = true;
    options.gate.table.capacity = 4;
    ExpectViolation("I9 by Idempotency-Key", options);
  }
  SECTION("the tombstone of a queried request is missing") {
    options.fault = Fault::kLateArrival;
    options.keyed = false;
    SECTION("the query leaves no tombstone") {
      options.gate.faults.skip_tombstone = true;
    }
    SECTION("the tombstone is evicted") {
      options.gate.faults.evict_early = true;
      options.gate.table.tombstone_capacity = 1;
    }
    ExpectViolation("I9 request", options);
  }
  SECTION("the limit rises without successful requests") {
    options.gate.faults.raise_limit_over_time = true;
    options.max_service_ms = 150;
    ExpectViolation("I3", options);
  }
  SECTION("the limit is kept after a reconnect") {
    options.fault = Fault::kTargetRestart;
    options.gate.faults.keep_limit_on_reconnect = true;
    ExpectViolation("I3", options);
  }
  SECTION("the lease is not checked before the send") {
    options.fault = Fault::kLeaseLapse;
    options.gate.faults.skip_lease_check = true;
    options.second_lease_check = false;
    ExpectViolation("work without a lease", options);
  }
  SECTION("requests are queued past their deadline") {
    options.gate.faults.queue_past_deadline = true;
    options.max_service_ms = 400;
    ExpectViolation("work after the deadline", options);
  }
  SECTION("a request is sent again after a break") {
    options.fault = Fault::kBreakAfterSend;
    options.gate.faults.resend_after_break = true;
    ExpectViolation("I9", options);
  }
  SECTION("answers to an Idempotency-Key are kept across a lease lapse") {
    options.fault = Fault::kLeaseLapse;
    options.gate.faults.idempotency_across_lapse = true;
    ExpectViolation("answer from memory after a broken lease", options);
  }
  SECTION("idempotency keys are shared between workspaces") {
    options.gate.faults.shared_idempotency_keys = true;
    ExpectViolation("I5", options);
  }
  SECTION("a drain refuses queued requests") {
    options.fault = Fault::kDrain;
    options.nodes = 1;
    options.max_service_ms = 60;
    options.gate.faults.refuse_queued_on_drain = true;
    ExpectViolation("I11", options);
  }
  SECTION("a non-idempotent request is retried after the send") {
    // On a keyed entry the owner's request table would still prevent the second run.
    options.keyed = false;
    options.flow.retry_after_send = true;
    ExpectViolation("I9", options);
  }
  SECTION("an answer with another request id is accepted") {
    options.fault = Fault::kMismatchedAnswer;
    options.flow.accept_mismatched_answer = true;
    ExpectViolation("I7: another request's answer", options);
  }
  SECTION("an unknown outcome is not remembered") {
    // The answer of a first attempt that ran is lost, then the second node's queue is full.
    options.keyed = false;
    options.nodes = 2;
    options.max_service_ms = 100;
    options.requests = 70;
    options.gate.warm_limit = 3;
    options.gate.queue_per_class = 1;
    options.flow.forget_unknown = true;
    ExpectViolation("I8", options);
  }
  SECTION("late answers are sent to the caller") {
    options.keyed = false;
    options.flow.answer_twice = true;
    ExpectViolation("I7: two answers", options);
  }
  SECTION("a lost stream is answered not-run without a query") {
    options.flow.not_run_without_query = true;
    ExpectViolation("I8", options);
  }
  SECTION("retries have no budget") {
    options.fault = Fault::kOutage;
    options.keyed = false;
    options.requests = 400;
    options.flow.unlimited_retries = true;
    ExpectViolation("retries multiply load", options);
  }
}

}  // namespace
}  // namespace magnoliaarch
