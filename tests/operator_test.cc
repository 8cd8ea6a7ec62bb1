#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fake_store.h"
#include "magnoliaarch/audit.h"
#include "magnoliaarch/catalogue.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/settings.h"
#include "magnoliaarch/workspace_keys.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr const char* kSettings = R"([node]
name = storefront-1
region = ishikari
failure_domain = ishikari-a
ip = 127.0.0.1
ingress_port = 0
peer_port = 18081
lease_port = 18081
admin_port = 18082
[store]
address = 127.0.0.1:2379
[cluster]
secret = not-to-be-printed-anywhere
)";

constexpr const char* kCatalogue = R"([entry storefront]
owner = storefront team
routing = keyed
slices = 32
cold_limit = 1
warm_limit = 6
kind.compose-check = prompt, idempotent
workspaces = sapporo-guild
[entry archive]
owner = archive team
class = bulk
routing = balanced
cold_limit = 2
warm_limit = 6
rate = 100
burst = 200
[workspace sapporo-guild]
owner = sapporo guild
rate = 600
burst = 1200
[domain ishikari-a]
state = out
[domain ishikari-b]
)";

// Returns the text with the first occurrence of `part` replaced.
std::string ReplaceFirst(std::string text, const std::string& part, const std::string& replacement) {
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message().data(), status.message().size());
}

std::string SettingsError(const std::string& text) {
  return MessageOf(ParseNodeSettings(text, "node.ini").status());
}

std::string CatalogueError(const std::string& text) {
  return MessageOf(ParseCatalogue(text, "catalogue.ini").status());
}

std::shared_ptr<const View> ViewWithWorkspaces(const std::vector<proto::WorkspaceRecord>& workspaces,
                                               std::int64_t revision) {
  ViewBuilder builder;
  for (const proto::WorkspaceRecord& workspace : workspaces) {
    proto::ViewRecord record;
    record.set_key(Cat(kWorkspacePrefix, workspace.name()));
    record.set_revision(revision);
    record.set_value(workspace.SerializeAsString());
    builder.Apply(record);
  }
  return builder.Snapshot();
}

TEST_CASE("validation of node settings reports all errors at once") {
  GIVEN("settings without a target") {
    const absl::StatusOr<NodeSettings> settings = ParseNodeSettings(kSettings, "node.ini");
    REQUIRE(settings.ok());
    THEN("specified values are read and unspecified values have their defaults") {
      CHECK(settings->name == "storefront-1");
      CHECK(settings->ingress_port == 0);
      CHECK(settings->lease_port == 18081);
      CHECK_FALSE(settings->target.has_value());
      CHECK(settings->max_header_bytes == 16384);
    }
  }
  GIVEN("settings with several errors") {
    // Guards against reporting only one error per start, which forces the operator to restart once for each error.
    const std::string text = ReplaceFirst(ReplaceFirst(kSettings, "ingress_port = 0", "ingress_port = 70000"),
                                          "ip = 127.0.0.1", "ip = localhost\ncolour = blue") +
                             "[target]\nip = 127.0.0.1\nport = 0\n[extras]\n";
    const std::string error = SettingsError(text);
    THEN("each error names the file, the line and the expected value") {
      CHECK(error.find("node.ini:5: 'ip' is 'localhost', expected a numeric") != std::string::npos);
      CHECK(error.find("node.ini:6: unknown key 'colour'") != std::string::npos);
      CHECK(error.find("node.ini:7: 'ingress_port' is '70000', expected a whole number from 0 to 65535") !=
            std::string::npos);
      CHECK(error.find("'port' is '0', expected a whole number from 1 to 65535") != std::string::npos);
      CHECK(error.find("[target] lacks 'entry'") != std::string::npos);
      CHECK(error.find("unknown section [extras]") != std::string::npos);
    }
  }
  GIVEN("settings with a missing section, a repeated key and a shared TCP port") {
    const std::string text =
        ReplaceFirst(ReplaceFirst(kSettings, "admin_port = 18082", "admin_port = 18081\nregion = sofia"),
                     "[store]\naddress = 127.0.0.1:2379\n", "");
    const std::string error = SettingsError(text);
    CHECK(error.find("section [store] is missing") != std::string::npos);
    CHECK(error.find("key 'region' repeated, first seen on line 3") != std::string::npos);
    CHECK(error.find("'admin_port' equals 'peer_port'") != std::string::npos);
  }
  GIVEN("errors in the line of the cluster secret") {
    // Guards against printing the secret to the log when a node refuses to start.
    for (const char* line : {"secret = short-one", "secret short-one", "secret = short-one\nsecret = short-one"}) {
      const std::string error = SettingsError(ReplaceFirst(kSettings, "secret = not-to-be-printed-anywhere", line));
      CHECK_FALSE(error.empty());
      CHECK(error.find("short-one") == std::string::npos);
    }
  }
}

TEST_CASE("only numeric addresses are accepted") {
  // Guards against resolving names at start, which fails while the name service is down.
  for (const char* valid_address : {"127.0.0.1:1", "[::1]:65535"}) {
    CHECK(IsSocketAddress(valid_address));
  }
  for (const char* invalid : {"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "[127.0.0.1]:80",
                              "127.0.0.1:8 0", ":80"}) {
    CAPTURE(invalid);
    CHECK_FALSE(IsSocketAddress(invalid));
  }
}

TEST_CASE("an invalid catalogue is rejected with a message for each error") {
  GIVEN("a valid catalogue") {
    const absl::StatusOr<Catalogue> catalogue = ParseCatalogue(kCatalogue, "catalogue.ini");
    REQUIRE(catalogue.ok());
    const proto::EntryRecord& storefront = catalogue->entries.at("storefront");
    CHECK(storefront.key_header() == "X-Routing-Key");
    CHECK(storefront.kinds(0).request_class() == proto::REQUEST_CLASS_PROMPT);
    CHECK(storefront.kinds(0).idempotent());
    CHECK(catalogue->domains.at("ishikari-a").out());
    THEN("the printed catalogue parses to the same records") {
      const absl::StatusOr<Catalogue> again = ParseCatalogue(FormatCatalogue(*catalogue), "again.ini");
      REQUIRE(again.ok());
      CHECK(DiffCatalogues(*catalogue, *again).empty());
      CHECK(again->domains_without_state == catalogue->domains_without_state);
    }
  }
  GIVEN("catalogues with one error each") {
    const std::vector<std::tuple<std::string, std::string, std::string>> faults = {
        {"slices = 32", "slices = 33", "catalogue.ini:4: 'slices' is 33, expected a power of two"},
        {"slices = 32", "slices = 131072", "expected a whole number from 1 to 65536"},
        {"slices = 32\n", "", "[entry storefront] lacks 'slices'"},
        {"cold_limit = 1", "cold_limit = 7", "expected at most 'warm_limit', which is 6"},
        {"routing = keyed", "routing = random", "expected keyed or balanced"},
        {"routing = balanced", "routing = balanced\nslices = 4", "'slices' applies to keyed entries"},
        {"workspaces = sapporo-guild", "workspaces = nobody", "workspace 'nobody' does not exist"},
        {"workspaces = sapporo-guild", "workspaces = sapporo-guild, sapporo-guild", "listed twice"},
        {"workspaces = sapporo-guild", "workspaces = sapporo-guild\nopen_to_all = true", "open to all"},
        {"prompt, idempotent", "urgent", "expected prompt, normal or bulk"},
        {"prompt, idempotent", "prompt, sometimes", "optionally followed by ', idempotent'"},
        {"class = bulk", "class = slow", "expected prompt, normal or bulk"},
        {"burst = 200\n", "", "'rate' and 'burst' limit together"},
        {"rate = 600", "rate = 0", "expected a whole number from 1 to 100000000 requests per second"},
        {"state = out", "state = maybe", "expected in or out"},
        {"[domain ishikari-b]", "[domain Ishikari/B]", "domain name 'Ishikari/B', expected 1 to 63"},
        {"[domain ishikari-b]", "[domain ishikari-a]", "section [domain ishikari-a] repeated"},
        {"[domain ishikari-b]", "[zone ishikari-b]", "unknown section [zone ishikari-b]"},
        {"slices = 32", "slices = 32\nkey_header = A\nkey_path_segment = 2", "are both set, expected one"},
        {"slices = 32", "slices = 32\nkey_header = a b", "expected an HTTP header name"},
        {"owner = archive team", "owner = archive \xff team", "line is not UTF-8"},
        {"owner = archive team", "deadline_ms = 60001", "'deadline_ms' is '60001', expected a whole number from 10"}};
    for (const auto& [part, replacement, expected] : faults) {
      CAPTURE(replacement);
      const std::string error = CatalogueError(ReplaceFirst(kCatalogue, part, replacement));
      CAPTURE(error);
      CHECK(error.find(expected) != std::string::npos);
    }
  }
  GIVEN("an empty file") {
    // Guards against applying an empty file, which would remove every entry.
    CHECK(CatalogueError("").find("the catalogue has no entry") != std::string::npos);
  }
}

TEST_CASE("applying a catalogue file keeps the settings that operators change by command") {
  Catalogue stored = *ParseCatalogue(kCatalogue, "stored.ini");
  stored.domains["ishikari-b"].set_out(true);
  stored.domains["ishikari-c"].set_out(true);
  *stored.workspaces["sapporo-guild"].add_keys() = IssueWorkspaceKey().hash;
  const std::string text = ReplaceFirst(ReplaceFirst(kCatalogue, "rate = 600", "rate = 700"),
                                        "[domain ishikari-a]\nstate = out\n", "[domain ishikari-a]\nstate = in\n");
  const Catalogue wanted = MergeWithStored(*ParseCatalogue(text, "new.ini"), stored);
  // Guards against an apply that puts a drained failure domain back into service or deletes issued keys.
  THEN("keys are kept, and a failure domain changes its state only if the file states one") {
    CHECK(wanted.workspaces.at("sapporo-guild").keys_size() == 1);
    CHECK_FALSE(wanted.domains.at("ishikari-a").out());
    CHECK(wanted.domains.at("ishikari-b").out());
    CHECK(wanted.domains.at("ishikari-c").out());
  }
  THEN("the difference lists exactly the changed fields") {
    const std::vector<CatalogueChange> changes = DiffCatalogues(stored, wanted);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0] ==
          CatalogueChange{ChangeType::kChanged, RecordKind::kWorkspace, "sapporo-guild", {{"rate", "600", "700"}}});
    CHECK(changes[1] ==
          CatalogueChange{ChangeType::kChanged, RecordKind::kDomain, "ishikari-a", {{"state", "out", "in"}}});
  }
}

TEST_CASE("workspace keys authenticate and can be withdrawn") {
  const IssuedKey key = IssueWorkspaceKey();
  const IssuedKey other = IssueWorkspaceKey();
  proto::WorkspaceRecord workspace;
  workspace.set_name("sapporo-guild");
  *workspace.add_keys() = key.hash;
  CHECK(key.text != other.text);
  CHECK(MatchesKeyHash(key.text, key.hash));
  CHECK_FALSE(MatchesKeyHash(other.text, key.hash));

  const auto index = WorkspaceKeyIndex::Build(*ViewWithWorkspaces({workspace}, 5), nullptr);
  GIVEN("the valid key and altered copies of it") {
    CHECK(index->Check(key.text).status == KeyStatus::kValid);
    CHECK(index->Check(key.text).workspace == "sapporo-guild");
    std::string forged = key.text;
    forged.back() = forged.back() == '0' ? '1' : '0';
    for (const std::string& invalid :
         {forged, key.text + "0", key.text.substr(1), other.text, std::string("mk_"), std::string(),
          Cat("mk_", key.hash.key_id()), Cat("mk_", key.hash.key_id(), "_")}) {
      CHECK(index->Check(invalid).status == KeyStatus::kUnknown);
    }
  }
  GIVEN("a view in which the key is withdrawn") {
    workspace.clear_keys();
    *workspace.add_keys() = other.hash;
    const auto next = WorkspaceKeyIndex::Build(*ViewWithWorkspaces({workspace}, 6), index);
    // Guards against a withdrawn key that stays valid in an index built from the previous one.
    THEN("the key is refused as withdrawn and the new key is valid") {
      CHECK(next->Check(key.text).status == KeyStatus::kWithdrawn);
      CHECK(next->Check(other.text).status == KeyStatus::kValid);
    }
    THEN("a forged secret with the id of the withdrawn key is reported as unknown") {
      CHECK(next->Check(Cat("mk_", key.hash.key_id(), "_00")).status == KeyStatus::kUnknown);
    }
    THEN("a node that never had the key reports the key as unknown") {
      CHECK(WorkspaceKeyIndex::Build(*ViewWithWorkspaces({workspace}, 6), nullptr)->Check(key.text).status ==
            KeyStatus::kUnknown);
    }
    THEN("the key is still reported as withdrawn after its workspace is removed") {
      const auto last = WorkspaceKeyIndex::Build(*ViewWithWorkspaces({}, 7), next);
      CHECK(last->Check(key.text).status == KeyStatus::kWithdrawn);
      CHECK(last->Check(other.text).status == KeyStatus::kWithdrawn);
    }
  }
  GIVEN("a view without workspace changes") {
    CHECK(WorkspaceKeyIndex::Build(*ViewWithWorkspaces({workspace}, 5), index) == index);
  }
}

TEST_CASE("checking a workspace key takes less than 10 us", "[process]") {
  // Guards against a key check that uses a significant part of a core at 7,818 requests per second.
  proto::WorkspaceRecord workspace;
  workspace.set_name("sapporo-guild");
  std::vector<IssuedKey> keys;
  for (int i = 0; i < 1000; ++i) {
    keys.push_back(IssueWorkspaceKey());
    *workspace.add_keys() = keys.back().hash;
  }
  const auto index = WorkspaceKeyIndex::Build(*ViewWithWorkspaces({workspace}, 5), nullptr);
  constexpr int kChecks = 100'000;
  int valid = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kChecks; ++i) {
    valid += index->Check(keys[static_cast<std::size_t>(i) % keys.size()].text).status == KeyStatus::kValid ? 1 : 0;
  }
  const double micros_per_check =
      std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / kChecks;
  WARN("workspace key check: " << micros_per_check << " us");
  CHECK(valid == kChecks);
  CHECK(micros_per_check < 10);
}

TEST_CASE("audit records contain no secrets and are pruned by age") {
  constexpr std::uint64_t kNow = 1'790'000'000'000;
  constexpr std::uint64_t kDay = 86'400'000;
  FakeStore store;
  GIVEN("an event whose fields contain a workspace key") {
    const IssuedKey key = IssueWorkspaceKey();
    const std::string secret = key.text.substr(key.text.rfind('_') + 1);
    StoreTxn txn;
    AddAuditRecord({kNow, key.text, "key.issue", std::string(kAuditMaxFieldBytes - 30, 'x') + " " + key.text + "\xff",
                    key.text, key.text},
                   "id1", &txn);
    REQUIRE(store.Txn(txn)->succeeded);
    // Guards against secrets in the store, also in a field truncated inside a key and in one that is not UTF-8.
    THEN("the stored bytes do not contain any usable part of the secret") {
      const StoreRange range = *store.Range(std::string(kAuditPrefix), false);
      REQUIRE(range.kvs.size() == 1);
      CHECK(range.kvs[0].value.find(secret.substr(0, 6)) == std::string::npos);
      const auto records = ReadAudit(store, kNow - kDay, kNow, 10);
      REQUIRE(records.ok());
      REQUIRE(records->size() == 1);
      CHECK((*records)[0].author() == Cat("mk_", key.hash.key_id(), "_***"));
    }
  }
  GIVEN("250 expired records and 20 recent ones") {
    for (int i = 0; i < 270; ++i) {
      StoreTxn txn;
      const std::uint64_t age = i < 250 ? 31 * kDay + static_cast<std::uint64_t>(i) * kDay / 2 : 29 * kDay;
      AddAuditRecord({kNow - age, "a", "entry.put", Cat(i), "", ""}, Cat("id", i), &txn);
      REQUIRE(store.Txn(txn)->succeeded);
    }
    THEN("records are returned newest first, within the requested limit and time range") {
      const auto records = ReadAudit(store, kNow - 32 * kDay, kNow, 22);
      REQUIRE(records.ok());
      REQUIRE(records->size() == 22);
      CHECK((*records)[0].unix_ms() == kNow - 29 * kDay);
      CHECK((*records)[20].subject() == "0");
      CHECK((*records)[21].subject() == "1");
    }
    // Guards against a pruning transaction larger than the store accepts, and against the loss of recent records.
    THEN("pruning deletes the expired records in bounded batches and then stops") {
      std::vector<std::size_t> steps;
      do {
        steps.push_back(*PruneAuditBatch(store, kNow - 30 * kDay));
      } while (steps.back() == kAuditPruneBatchSize);
      CHECK(steps == std::vector<std::size_t>{100, 100, 50});
      CHECK(store.Range(std::string(kAuditPrefix), false)->kvs.size() == 20);
    }
    THEN("pruning reports kUnavailable during a store outage") {
      store.SetDown(true);
      CHECK(PruneAuditBatch(store, kNow - 30 * kDay).status().code() == absl::StatusCode::kUnavailable);
    }
  }
}

TEST_CASE("metrics count concurrent updates exactly and render as Prometheus text") {
  MetricsRegistry registry;
  Counter& counter = registry.GetCounter("magnolia_requests_total", "Requests.", {{"entry", "a\"b\\c\nd"}});
  Histogram& histogram = registry.GetHistogram("magnolia_latency_seconds", "Latency.");
  GIVEN("four threads that update the same metrics") {
    // Guards against lost updates.
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        for (int n = 0; n < 10'000; ++n) {
          registry.GetCounter("magnolia_requests_total", "Requests.", {{"entry", "a\"b\\c\nd"}}).Add();
          histogram.Observe(n < 9'900 ? 0.001 : 0.5);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(counter.Value() == 40'000);
    CHECK(histogram.Count() == 40'000);
    CHECK(histogram.Sum() == Approx(4 * (9.9 + 50)));
    CHECK(histogram.Quantile(0.5) == Approx(0.001).epsilon(0.123));
    CHECK(histogram.Quantile(0.999) == Approx(0.5).epsilon(0.123));
    const std::string text = registry.PrometheusText();
    CHECK(text.find(
              "# TYPE magnolia_requests_total counter\nmagnolia_requests_total{entry=\"a\\\"b\\\\c\\nd\"} 40000\n") !=
          std::string::npos);
    CHECK(text.find("magnolia_latency_seconds_bucket{le=\"+Inf\"} 40000\n") != std::string::npos);
    CHECK(text.find("magnolia_latency_seconds_count 40000\n") != std::string::npos);
  }
  GIVEN("observations outside the histogram's range") {
    for (const double value : {0.0, -1.0, 1e9, 1e-9}) {
      histogram.Observe(value);
    }
    // Guards against dropping such observations, which would make the count differ from the counters.
    CHECK(histogram.Count() == 4);
    CHECK(histogram.CumulativeBuckets().back().second == 3);
  }
}

}  // namespace
}  // namespace magnoliaarch
