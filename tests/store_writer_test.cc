#include "magnoliaarch/store_writer.h"

#include <deque>
#include <map>

#include <catch2/catch.hpp>

#include "magnoliaarch/view.h"

namespace magnoliaarch {
namespace {

using Writer = StoreWriter;

// How the store handles one transaction.
enum class TxnBehavior { kAnswered, kAnswerLost, kNeverSent, kDelayed, kRefused };

// In-memory store that handles its transactions by the given list of behaviors, and all later ones normally.
class ScriptedStore : public Store {
 public:
  absl::StatusOr<StoreRange> Range(const std::string& key, bool) override {
    if (failing_reads > 0) {
      --failing_reads;
      return absl::UnavailableError("down");
    }
    StoreRange range{revision, {}};
    if (keys.contains(key)) {
      range.kvs.push_back(keys[key]);
    }
    return range;
  }

  absl::StatusOr<StoreTxnResult> Txn(const StoreTxn& txn) override {
    ++txn_count;
    TxnBehavior behavior = TxnBehavior::kAnswered;
    if (!behaviors.empty()) {
      behavior = behaviors.front();
      behaviors.pop_front();
    }
    if (behavior == TxnBehavior::kNeverSent) {
      return absl::UnavailableError("refused");
    }
    if (behavior == TxnBehavior::kRefused) {
      return absl::InvalidArgumentError("too large");
    }
    if (behavior == TxnBehavior::kDelayed) {
      delayed_txns.push_back(txn);
      return absl::DeadlineExceededError("slow");
    }
    const StoreTxnResult result = Apply(txn);
    return behavior == TxnBehavior::kAnswerLost ? absl::StatusOr<StoreTxnResult>(absl::UnknownError("lost")) : result;
  }

  StoreTxnResult Apply(const StoreTxn& txn) {
    for (const StoreCompare& compare : txn.compares) {
      if ((keys.contains(compare.key) ? keys[compare.key].mod_revision : 0) != compare.mod_revision) {
        return StoreTxnResult{false, revision};
      }
    }
    ++revision;
    for (const StorePut& put : txn.puts) {
      keys[put.key] = StoreKv{put.key, put.value, revision, put.lease};
      ++puts;
    }
    return StoreTxnResult{true, revision};
  }

  absl::StatusOr<std::int64_t> GrantLease(std::int64_t) override { return 1; }
  absl::Status KeepLeaseAlive(std::int64_t) override { return absl::OkStatus(); }
  absl::Status RevokeLease(std::int64_t) override { return absl::OkStatus(); }
  absl::Status Watch(const std::string&,
                     std::int64_t,
                     const std::atomic<bool>&,
                     const std::function<void(const StoreWatchBatch&)>&) override {
    return absl::OkStatus();
  }

  std::deque<TxnBehavior> behaviors;
  std::vector<StoreTxn> delayed_txns;
  int failing_reads = 0;
  int txn_count = 0;
  int puts = 0;
  std::int64_t revision = 10;
  std::map<std::string, StoreKv> keys;
};

const std::string kKey = std::string(kMemberPrefix) + "n1";

proto::MemberRecord Member(const std::string& domain) {
  proto::MemberRecord member;
  member.set_domain(domain);
  return member;
}

TEST_CASE("a store write is applied at most once despite lost responses") {
  ScriptedStore store;
  std::vector<Duration> waits;
  std::function<void(Duration)> on_wait = [&](Duration wait) { waits.push_back(wait); };
  StoreWriterOptions options;
  options.seed = 7;
  Writer writer(&store, options, [&](Duration wait) { on_wait(wait); });

  // Guards against reporting failure or writing twice when only the response was lost.
  GIVEN("a write whose response is lost") {
    store.behaviors = {TxnBehavior::kAnswerLost};
    const auto outcome = writer.WriteRecord(kKey, Member("a"), 0);
    REQUIRE(outcome.ok());
    CHECK(outcome->applied);
    CHECK(outcome->revision == 11);
    CHECK(store.puts == 1);
    CHECK(store.txn_count == 1);
  }

  // Guards against a write that is applied twice because the first attempt arrives after its retry.
  GIVEN("a write that arrives after the read-back and the retry") {
    store.behaviors = {TxnBehavior::kDelayed};
    const auto outcome = writer.WriteRecord(kKey, Member("a"), 0);
    REQUIRE(outcome.ok());
    CHECK(outcome->applied);
    CHECK_FALSE(store.Apply(store.delayed_txns[0]).succeeded);
    CHECK(store.puts == 1);
  }

  // Guards against treating the writer's own earlier attempt as a conflict with another writer.
  GIVEN("a write that arrives between the read-back and the retry") {
    store.behaviors = {TxnBehavior::kDelayed};
    on_wait = [&](Duration) { store.Apply(store.delayed_txns[0]); };
    const auto outcome = writer.WriteRecord(kKey, Member("a"), 0);
    REQUIRE(outcome.ok());
    CHECK(outcome->applied);
    CHECK(store.puts == 1);
  }

  GIVEN("another writer that wrote the key first") {
    REQUIRE(writer.WriteRecord(kKey, Member("a"), 0)->applied);
    THEN("the conflict returns the record in the store") {
      const auto outcome = writer.WriteRecord(kKey, Member("b"), 0);
      REQUIRE(outcome.ok());
      CHECK_FALSE(outcome->applied);
      CHECK_FALSE(outcome->may_have_been_replaced);
      CHECK(outcome->current->mod_revision == 11);
    }
    // Guards against reporting a plain conflict when it is unknown whether the write was applied.
    THEN("a conflict after a lost response reports that the write may have been overwritten") {
      store.behaviors = {TxnBehavior::kAnswerLost};
      store.failing_reads = 1;
      on_wait = [&](Duration) {
        store.Apply(StoreTxn{{}, {{kKey, Member("c").SerializeAsString(), 0}}, {}});
        on_wait = [](Duration) {};
      };
      const auto outcome = writer.WriteRecord(kKey, Member("b"), 11);
      REQUIRE(outcome.ok());
      CHECK_FALSE(outcome->applied);
      CHECK(outcome->may_have_been_replaced);
    }
    THEN("a read-modify-write starts over with the current record") {
      int calls = 0;
      const auto outcome = writer.Update<proto::MemberRecord>(kKey, [&](proto::MemberRecord* member, bool exists) {
        CHECK(exists);
        if (++calls == 1) {
          store.Apply(StoreTxn{{}, {{kKey, Member("c").SerializeAsString(), 0}}, {}});
        }
        member->set_domain(member->domain() + "+");
        return true;
      });
      REQUIRE(outcome.ok());
      CHECK(outcome->applied);
      CHECK(calls == 2);
      proto::MemberRecord stored;
      stored.ParseFromString(store.keys[kKey].value);
      CHECK(stored.domain() == "c+");
    }
    THEN("nothing is written if the change function returns false") {
      const auto outcome = writer.Update<proto::MemberRecord>(kKey, [](proto::MemberRecord*, bool) { return false; });
      REQUIRE(outcome.ok());
      CHECK_FALSE(outcome->applied);
      CHECK(outcome->current.has_value());
      CHECK(store.puts == 1);
    }
  }

  // Guards against endless retries, and against a definite result for a write whose outcome is unknown.
  GIVEN("a store that stays unreachable") {
    store.behaviors = std::deque<TxnBehavior>(50, TxnBehavior::kNeverSent);
    WHEN("no attempt was sent") {
      CHECK(writer.WriteRecord(kKey, Member("a"), 0).status().code() == absl::StatusCode::kUnavailable);
      CHECK(store.txn_count == options.max_attempts);
      for (std::size_t i = 0; i < waits.size(); ++i) {
        CHECK(waits[i] <= options.max_backoff);
        CHECK(waits[i] >= options.initial_backoff * (1 << i) / 2);
      }
    }
    WHEN("the first attempt was sent and the reads fail") {
      store.behaviors.push_front(TxnBehavior::kAnswerLost);
      store.failing_reads = 50;
      CHECK(writer.WriteRecord(kKey, Member("a"), 0).status().code() == absl::StatusCode::kUnknown);
    }
  }

  GIVEN("a write that the store rejects") {
    store.behaviors = {TxnBehavior::kRefused};
    CHECK(writer.WriteRecord(kKey, Member("a"), 0).status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(store.txn_count == 1);
  }
}

}  // namespace
}  // namespace magnoliaarch
