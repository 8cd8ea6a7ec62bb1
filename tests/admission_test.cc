#include "magnoliaarch/admission.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

int AdmitAll(ShareHolder& holder, TimePoint now) {
  int admitted = 0;
  while (holder.Admit(now) == Admission::kAdmitted) {
    ++admitted;
  }
  return admitted;
}

TEST_CASE("changing the rate or burst of a token bucket adds no tokens") {
  TokenBucket bucket({10, 5}, At(0));
  CHECK_FALSE(bucket.Take(At(0)));
  REQUIRE(bucket.Take(At(100)));
  // Guards against a burst that is used up, granted to another holder and used again.
  bucket.Set(At(100), {10, 50});
  CHECK_FALSE(bucket.Take(At(100)));
  CHECK(bucket.WaitFor(At(100)) == Duration(milliseconds(100)));
  bucket.Set(At(10000), {10, 2});
  CHECK(bucket.Tokens(At(10000)) == Approx(2));
}

TEST_CASE("a share is granted to another holder only after it was returned or has expired") {
  ShareAllocatorOptions options;
  options.floor_fraction = 0;
  options.reserve_fraction = 0;
  ShareAllocator allocator(options, "temple", 1, At(-5000));
  allocator.SetLimit(At(-5000), {100, 20});
  ShareHolder first({}, "temple", {"a", 1});
  ShareHolder second({}, "temple", {"b", 1});

  // The first node gets the whole limit.
  first.Admit(At(0));
  const auto first_report = first.Report(At(0));
  REQUIRE(first_report.has_value());
  const auto first_grant = allocator.OnReport(At(1), *first_report);
  REQUIRE(first_grant.has_value());
  CHECK(first.OnGrant(At(2), *first_grant));
  CHECK(first.Current(At(2)).rate == Approx(100));

  // Guards against a node whose reports are ignored because it dropped an idle holder and its sequence numbers
  // restarted.
  WHEN("the first node drops its holder and creates it again") {
    ShareHolder again({}, "temple", {"a", 1});
    again.Admit(At(500));
    const auto answered = allocator.OnReport(At(501), *again.Report(At(500)));
    REQUIRE(answered.has_value());
    CHECK(again.OnGrant(At(502), *answered));
    CHECK(again.Current(At(502)).rate == Approx(100));
  }

  second.Admit(At(100));
  const auto second_report = second.Report(At(100));
  // Guards against a limit exceeded because a paused holder still uses a share that was granted to another one.
  WHEN("the first node stops reporting") {
    const auto early = allocator.OnReport(At(101), *second_report);
    REQUIRE(early.has_value());
    CHECK(early->rate() == 0);
    THEN("the second node gets the share after the share has expired, and the first node stops admitting before that") {
      second.Admit(At(4050));
      const auto late = allocator.OnReport(At(4051), *second.Report(At(4050)));
      REQUIRE(late.has_value());
      CHECK(late->rate() > 90);
      CHECK(first.Current(At(4000)) == ShareAmount{});
      CHECK(AdmitAll(first, At(4001)) == 0);
    }
  }
  WHEN("the first node reports no demand and confirms its smaller share") {
    allocator.OnReport(At(101), *second_report);
    const auto smaller = allocator.OnReport(At(9001 - 5001), *first.Report(At(3990)));
    REQUIRE(smaller.has_value());
    CHECK(first.OnGrant(At(3992), *smaller));
    // Guards against a reordered grant that brings the larger share back.
    CHECK_FALSE(first.OnGrant(At(3993), *first_grant));
    const auto confirmed = first.Report(At(4090));
    REQUIRE(confirmed.has_value());
    CHECK(confirmed->held_sequence() == smaller->sequence());
  }
}

// Guards against refusals of a small workspace within its rate. They came about when tokens that moved with a large
// burst to the first of many holders were lost as that burst shrank, and when holders got no token although no other
// holder used its own.
TEST_CASE("a small workspace within its rate is served although its load moves across many ingress nodes") {
  constexpr int kNodes = 12;
  ShareAllocator allocator({}, "temple", 1, At(-20000));
  allocator.SetLimit(At(-20000), {30, 60});
  std::vector<ShareHolder> holders;
  holders.reserve(kNodes);
  std::vector<Duration> waited(kNodes, Duration::zero());
  std::vector<bool> waits(kNodes, false);
  for (int i = 0; i < kNodes; ++i) {
    holders.emplace_back(ShareHolderOptions{}, "temple", IncarnationId{std::to_string(i), 1});
  }
  std::vector<std::pair<int, proto::ShareGrant>> grants;
  int refused = 0;
  // The nodes take turns: each receives three requests 30 ms apart every 2.4 s, 15 requests/s in total.
  for (int ms = 0; ms < 12000; ms += 5) {
    for (const auto& [node, grant] : std::exchange(grants, {})) {
      holders[static_cast<std::size_t>(node)].OnGrant(At(ms), grant);
    }
    for (int i = 0; i < kNodes; ++i) {
      const auto index = static_cast<std::size_t>(i);
      const int phase = (ms + 2400 - i * 200) % 2400;
      const bool arrives = phase == 0 || phase == 30 || phase == 60;
      if (waits[index]) {
        waited[index] += milliseconds(5);
        const Admission result = holders[index].Admit(At(ms), waited[index]);
        refused += result == Admission::kRefused ? 1 : 0;
        waits[index] = result == Admission::kWait;
      }
      if (arrives) {
        const Admission result = holders[index].Admit(At(ms));
        if (result == Admission::kWait && waits[index]) {
          holders[index].OnWaiterGone();  // the test tracks one waiting request per node
        }
        refused += result == Admission::kRefused ? 1 : 0;
        waited[index] = result == Admission::kWait && !waits[index] ? Duration::zero() : waited[index];
        waits[index] = waits[index] || result == Admission::kWait;
      }
      if (const auto report = holders[index].Report(At(ms)); report.has_value()) {
        if (const auto grant = allocator.OnReport(At(ms), *report); grant.has_value()) {
          grants.emplace_back(i, *grant);
        }
      }
    }
  }
  // Of 180 requests; the first requests of the nodes arrive before any share is granted.
  CHECK(refused <= 9);
}

// Guards against tokens that are lost when a burst shrinks, and against tokens that are credited twice.
TEST_CASE("tokens that do not fit a smaller burst are credited to the pool exactly once") {
  ShareAllocatorOptions options;
  options.floor_fraction = 0;
  options.reserve_fraction = 0;
  ShareAllocator allocator(options, "temple", 1, At(-5000));
  allocator.SetLimit(At(-5000), {100, 20});
  proto::ShareReport report;
  report.mutable_holder()->set_node("a");
  report.mutable_holder()->set_number(1);
  report.set_demand(100);
  report.set_sequence(1);
  REQUIRE(allocator.OnReport(At(0), report)->burst() == 20);
  proto::ShareReport other = report;
  other.mutable_holder()->set_node("b");
  allocator.OnReport(At(1), other);
  report.set_sequence(2);
  report.set_held_term(1);
  report.set_held_for_ms(3900);
  report.set_held_sequence(1);
  REQUIRE(allocator.OnReport(At(2), report)->burst() < 20);
  // The holder accepted the smaller burst and dropped the tokens that did not fit.
  report.set_sequence(3);
  report.set_held_sequence(2);
  report.set_returned(6);
  allocator.OnReport(At(3), report);
  report.set_sequence(4);
  allocator.OnReport(At(4), report);
  other.set_sequence(2);
  const auto grant = allocator.OnReport(At(5), other);
  CHECK(grant->tokens() >= 5.9);
  CHECK(grant->tokens() < 7.5);
}

TEST_CASE("a new allocator grants only shares that holders report until its predecessor's shares have expired") {
  ShareAllocator allocator({}, "temple", 2, At(0));
  allocator.SetLimit(At(0), {100, 20});
  proto::ShareReport report;
  report.mutable_holder()->set_node("a");
  report.mutable_holder()->set_number(1);
  report.set_demand(500);
  report.set_held_rate(30);
  report.set_held_burst(6);
  report.set_held_for_ms(2500);
  report.set_term(1);
  report.set_sequence(9);
  // Guards against a limit exceeded by shares that the predecessor granted and no holder has reported yet.
  const auto kept = allocator.OnReport(At(10), report);
  REQUIRE(kept.has_value());
  CHECK(kept->rate() > 28);
  CHECK(kept->rate() <= 30);
  report.mutable_holder()->set_node("b");
  report.set_held_for_ms(0);
  const auto nothing = allocator.OnReport(At(20), report);
  REQUIRE(nothing.has_value());
  CHECK(nothing->rate() == 0);
  report.set_sequence(10);
  const auto later = allocator.OnReport(At(4100), report);
  REQUIRE(later.has_value());
  CHECK(later->rate() > 0);
  // Guards against an allocator that grants after another one has taken its role.
  report.set_sequence(11);
  report.set_term(3);
  CHECK_FALSE(allocator.OnReport(At(4200), report).has_value());
}

// Guards against an inner allocator that returns a share to its parent while its own holders still use it.
TEST_CASE("an inner allocator confirms a smaller share only after its own holders have accepted smaller ones") {
  InnerAllocator inner({}, {}, "temple", {"i", 1}, 1, At(0));
  proto::ShareReport report;
  report.mutable_holder()->set_node("a");
  report.mutable_holder()->set_number(1);
  report.set_demand(80);
  report.set_sequence(1);
  inner.OnReport(At(0), report);
  const auto grant = [&](std::uint64_t sequence, double rate) {
    proto::ShareGrant message;
    message.set_term(1);
    message.set_sequence(sequence);
    message.set_rate(rate);
    message.set_burst(20);
    message.set_valid_ms(4000);
    message.set_holder_incarnation(1);
    return message;
  };
  const std::uint64_t first = inner.Report(At(10)).value().sequence();
  REQUIRE(inner.OnGrant(At(11), grant(first, 100)));
  report.set_sequence(2);
  REQUIRE(inner.OnReport(At(12), report)->rate() > 50);
  const std::uint64_t second = inner.Report(At(1010)).value().sequence();
  REQUIRE(inner.OnGrant(At(1011), grant(second, 10)));
  CHECK(inner.Report(At(1200))->held_sequence() == first);
  // The holder reports that it accepted the smaller share.
  report.set_sequence(3);
  CHECK(inner.OnReport(At(1300), report)->rate() <= 10);
  report.set_sequence(4);
  report.set_held_sequence(3);
  inner.OnReport(At(1400), report);
  CHECK(inner.Report(At(2300))->held_sequence() == second);
}

}  // namespace
}  // namespace magnoliaarch
