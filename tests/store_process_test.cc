#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "magnoliaarch/store_writer.h"
#include "magnoliaarch/view.h"
#include "standin_process.h"

namespace magnoliaarch {
namespace {

using tests::SendHttpRequest;
using tests::StandinProcess;

StoreTxn PutIf(const std::string& key, std::int64_t mod_revision, const std::string& value, std::int64_t lease = 0) {
  return StoreTxn{{{key, mod_revision}}, {{key, value, lease}}, {}};
}

TEST_CASE("the etcd backend works with the store stand-in", "[process]") {
  StandinProcess standin("store-standin");
  const std::unique_ptr<Store> store = CreateEtcdStore(standin.Address(), std::chrono::seconds(2));

  GIVEN("a key written on condition that it did not exist") {
    const auto written = store->Txn(PutIf("/magnolia/a", 0, std::string("\0\xff bytes", 8)));
    REQUIRE(written.ok());
    REQUIRE(written->succeeded);

    // Guards against an unchecked compare, which would allow grants to two owners.
    THEN("a second write on that condition fails and the first value stays") {
      CHECK_FALSE(store->Txn(PutIf("/magnolia/a", 0, "other"))->succeeded);
      const auto range = store->Range("/magnolia/", false);
      REQUIRE(range.ok());
      REQUIRE(range->kvs.size() == 1);
      CHECK(range->kvs[0].value == std::string("\0\xff bytes", 8));
      CHECK(range->kvs[0].mod_revision == written->revision);
    }

    // Guards against reporting a write whose response was lost as failed.
    WHEN("the response to a write is lost") {
      standin.InjectFault(R"({"lose_answers":1})");
      const auto lost = store->Txn(PutIf("/magnolia/a", written->revision, "b"));
      THEN("the error is kUnknown and the write was applied") {
        CHECK(lost.status().code() == absl::StatusCode::kUnknown);
        CHECK(store->Range("/magnolia/a", true)->kvs[0].value == "b");
      }
    }

    // Guards against reporting a conflict with the writer's own earlier attempt.
    WHEN("the response to a StoreWriter's write is lost") {
      standin.InjectFault(R"({"lose_answers":1})");
      StoreWriter writer(store.get(), StoreWriterOptions{});
      const auto outcome = writer.WriteRecord("/magnolia/member/n1", proto::MemberRecord(), 0);
      THEN("the writer recognizes its write id in the store and reports the write as applied") {
        REQUIRE(outcome.ok());
        CHECK(outcome->applied);
      }
    }

    // Guards against reporting a write to a slow store as definitely without effect.
    WHEN("the store is slower than the call timeout") {
      const std::unique_ptr<Store> short_timeout_store =
          CreateEtcdStore(standin.Address(), std::chrono::milliseconds(100));
      standin.InjectFault(R"({"delay_ms":400})");
      CHECK(short_timeout_store->Txn(PutIf("/magnolia/a", written->revision, "late")).status().code() ==
            absl::StatusCode::kDeadlineExceeded);
      standin.InjectFault(R"({"delay_ms":0})");
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      THEN("the write is applied after the call has timed out") {
        CHECK(store->Range("/magnolia/a", true)->kvs[0].value == "late");
      }
    }

    // Guards against endless retries, and against reporting a refused connection as an unknown outcome.
    WHEN("the store process was killed") {
      standin.Kill(SIGKILL);
      CHECK(store->Txn(PutIf("/magnolia/a", 1, "x")).status().code() == absl::StatusCode::kUnavailable);
    }

    // Guards against a role record that outlives its holder's lease.
    WHEN("a key is bound to a lease that is not kept alive") {
      const auto lease = store->GrantLease(1);
      REQUIRE(lease.ok());
      REQUIRE(store->Txn(PutIf("/magnolia/role/x", 0, "v", *lease))->succeeded);
      REQUIRE(store->KeepLeaseAlive(*lease).ok());
      std::this_thread::sleep_for(std::chrono::milliseconds(1300));
      THEN("the key and the lease no longer exist") {
        CHECK(store->Range("/magnolia/role/x", true)->kvs.empty());
        CHECK(store->KeepLeaseAlive(*lease).code() == absl::StatusCode::kNotFound);
        CHECK(store->Txn(PutIf("/magnolia/role/x", 0, "v", *lease)).status().code() == absl::StatusCode::kNotFound);
      }
    }

    // Guards against missing changes between the read and the start of the watch.
    WHEN("a watch starts after the revision of the first write") {
      REQUIRE(store->Txn(PutIf("/magnolia/b", 0, "before"))->succeeded);
      std::atomic<bool> stop = false;
      std::atomic<int> events = 0;
      std::atomic<int> progress = 0;
      std::atomic<std::int64_t> revision = 0;
      absl::Status ended;
      std::thread watcher([&] {
        const std::unique_ptr<Store> own = CreateEtcdStore(standin.Address(), std::chrono::seconds(2));
        ended = own->Watch("/magnolia/", written->revision, stop, [&](const StoreWatchBatch& batch) {
          events += static_cast<int>(batch.events.size());
          progress += batch.events.empty() ? 1 : 0;
          revision = batch.revision;
        });
      });
      const auto last = store->Txn(PutIf("/magnolia/c", 0, "after"));
      std::this_thread::sleep_for(std::chrono::milliseconds(1300));
      CHECK(events == 2);
      CHECK(progress >= 1);
      CHECK(revision == last->revision);
      THEN("the watch returns OK when the stop flag is set") {
        stop = true;
        watcher.join();
        CHECK(ended.ok());
      }
      THEN("the watch ends with an error when the store goes down") {
        standin.InjectFault(R"({"down":true})");
        watcher.join();
        CHECK_FALSE(ended.ok());
      }
    }

    WHEN("a watch starts at a compacted revision") {
      standin.InjectFault(R"({"compact":true})");
      const std::atomic<bool> stop = false;
      const absl::Status ended = store->Watch("/magnolia/", 0, stop, [](const StoreWatchBatch&) {});
      CHECK(ended.code() == absl::StatusCode::kOutOfRange);
    }
  }
}

TEST_CASE("the target stand-in echoes requests, counts executions and stops gracefully", "[process]") {
  StandinProcess target("target-standin", {"--slots=1", "--service_ms=50"});

  // Guards against a counter that misses a request that was executed twice.
  GIVEN("a request that reaches the target twice") {
    const std::vector<std::string> headers = {"X-Request-Id: r1", "X-Fence-Slice: 4", "X-Fence-Epoch: 7"};
    const nlohmann::json echo =
        nlohmann::json::parse(SendHttpRequest(target.Url("/deposit?x=1"), "body", headers).body);
    CHECK(echo["path"] == "/deposit?x=1");
    CHECK(echo["body"] == "body");
    CHECK(echo["fence_epoch"] == "7");
    CHECK(echo["authorization_seen"] == false);
    CHECK(SendHttpRequest(target.Url("/deposit"), "body", headers).status == 200);
    const nlohmann::json stats = nlohmann::json::parse(SendHttpRequest(target.Url("/-/stats")).body);
    CHECK(stats["executions_by_request"]["r1"] == 2);
    THEN("a request with a lower epoch is rejected and not executed") {
      CHECK(SendHttpRequest(target.Url("/deposit"), "body", {"X-Fence-Slice: 4", "X-Fence-Epoch: 6"}).status == 412);
      CHECK(nlohmann::json::parse(SendHttpRequest(target.Url("/-/stats")).body)["executions"] == 2);
    }
    THEN("a request stops at its deadline") {
      CHECK(SendHttpRequest(target.Url("/x"), "", {"X-Deadline-Ms: 10"}).status == 504);
    }
  }

  // Guards against a graceful stop that aborts requests in progress.
  GIVEN("a request in progress when the target gets SIGTERM") {
    tests::HttpAnswer answer;
    std::thread caller([&] { answer = SendHttpRequest(target.Url("/slow")); });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(target.Kill(SIGTERM) == 0);
    caller.join();
    CHECK(answer.status == 200);
  }
}

}  // namespace
}  // namespace magnoliaarch
