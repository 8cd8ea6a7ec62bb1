#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "load_p.h"
#include "magnoliaarch/catalogue.h"
#include "magnoliaarch/settings.h"
#include "standin_http_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

using standin::Json;

constexpr const char* kMix = R"([load]
rate = 200
duration_s = 60
keys = 1000
key_skew = 1
[kind compose-check]
share = 3
path = /storefront/patron/{key}/compose
key_header = X-Routing-Key
class = prompt
composing = true
target_ms = 50
[kind deposit-confirm]
path = /storefront/deposit
method = POST
body_bytes = 100
confirmation = true
teller = true
[workspace large]
share = 9
rate_limit = 1000
burst_limit = 1000
[workspace small]
kinds = deposit-confirm
spike_factor = 5
spike_every_s = 10
spike_for_s = 2
)";

LoadMix TestMix() {
  absl::StatusOr<LoadMix> mix = ParseLoadMix(kMix, "mix.ini");
  REQUIRE(mix.ok());
  return *mix;
}

std::string ParseErrorAfterReplacing(const std::string& part, const std::string& replacement) {
  std::string text = kMix;
  text.replace(text.find(part), part.size(), replacement);
  const absl::Status status = ParseLoadMix(text, "mix.ini").status();
  return std::string(status.message().data(), status.message().size());
}

// Returns the correct answer to a request: the target echoes method, path and body.
LoadAnswer EchoAnswer(const LoadRequest& request, const std::string& id) {
  return {true,
          200,
          id,
          "ran",
          "",
          Json{{"method", request.method}, {"path", request.target_path}, {"body", request.body}, {"request_id", id}}
              .dump()};
}

LoadArrival MakeArrival(std::uint64_t index, std::size_t kind) {
  LoadArrival arrival;
  arrival.index = index;
  arrival.kind = kind;
  return arrival;
}

// An HTTP server that echoes requests like a node with an echoing target. The hook may handle a request itself.
class EchoNode {
 public:
  using Hook = std::function<bool(const standin::RequestHandle&)>;

  explicit EchoNode(Hook hook) : m_hook(std::move(hook)) {
    // Probes for a free port, because the server reports the port that it uses on standard output only.
    asio::ip::tcp::acceptor probe(m_io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_port = probe.local_endpoint().port();
    probe.close();
    m_server = standin::StartServer(m_io, "127.0.0.1", m_port, [this](const auto& request) { Handle(request); });
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~EchoNode() {
    m_io.stop();
    m_thread.join();
  }

  std::string Address() const { return Cat("127.0.0.1:", m_port); }
  std::atomic<int> received{0};

 private:
  void Handle(const standin::RequestHandle& request) {
    ++received;
    if (m_hook && m_hook(request)) {
      return;
    }
    const std::string target(request->header().request_target());
    const std::string id = RequestId::Random().ToString();
    request->create_response()
        .append_header("X-Request-Id", id)
        .append_header("X-Run-State", "ran")
        .set_body(Json{
            {"method", request->header().method().c_str()},
            {"path", target.substr(target.find('/', 1))},
            {"body", request->body()},
            {"request_id",
             id}}.dump())
        .done();
  }

  Hook m_hook;
  std::uint16_t m_port = 0;
  asio::io_context m_io;
  std::unique_ptr<standin::Server> m_server;
  std::thread m_thread;
};

TEST_CASE("the example configuration files are valid and consistent") {
  // The examples must be updated together with the parsers.
  for (const char* deployment : {"kamuiwappen", "vitosha"}) {
    const std::string directory = Cat(MAGNOLIAARCH_BINARY_DIR, "/../examples/", deployment, "/");
    const absl::StatusOr<Catalogue> catalogue =
        ParseCatalogue(*ReadTextFile(directory + "catalogue.ini"), "catalogue.ini");
    REQUIRE(catalogue.ok());
    const absl::StatusOr<NodeSettings> node = LoadNodeSettings(directory + "node.ini");
    REQUIRE(node.ok());
    CHECK(catalogue->entries.contains(node->target->entry));
    CHECK(catalogue->domains.contains(node->failure_domain));
    const absl::StatusOr<LoadMix> mix = ParseLoadMix(*ReadTextFile(directory + "mix.ini"), "mix.ini");
    REQUIRE(mix.ok());
    CHECK(mix->workspaces.size() == 8);
    for (const LoadWorkspace& workspace : mix->workspaces) {
      CHECK(catalogue->workspaces.at(workspace.name).rate() == workspace.rate_limit);
    }
    for (const LoadKind& kind : mix->kinds) {
      const std::string entry = kind.path.substr(1, kind.path.find('/', 1) - 1);
      const auto& kinds = catalogue->entries.at(entry).kinds();
      const auto rule = std::find_if(kinds.begin(), kinds.end(), [&](const auto& r) { return r.kind() == kind.name; });
      REQUIRE(rule != kinds.end());
      CHECK(rule->idempotent() == kind.idempotent);
    }
  }
}

TEST_CASE("errors in a load mix are reported with file and line") {
  CHECK(ParseErrorAfterReplacing("rate = 200", "rate = fast").find("mix.ini:2: 'rate' is 'fast', expected a number") ==
        0);
  CHECK(ParseErrorAfterReplacing("method = POST", "method = HEAD").find("expected GET, POST or PUT") !=
        std::string::npos);
  CHECK(ParseErrorAfterReplacing("path = /storefront/deposit", "path = storefront").find("starts with /ENTRY/") !=
        std::string::npos);
  CHECK(ParseErrorAfterReplacing("kinds = deposit-confirm", "kinds = nothing").find("kind 'nothing' does not exist") !=
        std::string::npos);
  CHECK(ParseErrorAfterReplacing("spike_for_s = 2", "spike_for_s = 20").find("exceeds 'spike_every_s'") !=
        std::string::npos);
  // Error messages of the load generator must not contain workspace keys.
  const absl::Status keys = ParseLoadKeys("[keys]\nmk_1_secret\nW = mk_2_secret\n", "keys.ini").status();
  CHECK_FALSE(keys.ok());
  CHECK(std::string(keys.message()).find("secret") == std::string::npos);
}

TEST_CASE("arrivals match the configured mix and are reproducible from the seed") {
  const LoadMix mix = TestMix();
  LoadArrivals arrivals(mix, 3);
  LoadArrivals same(mix, 3);
  std::map<std::size_t, int> by_workspace;
  std::map<std::uint32_t, int> by_key;
  int small_in_spikes = 0;
  int total = 0;
  double last = 0;
  while (const std::optional<LoadArrival> arrival = arrivals.Next()) {
    const std::optional<LoadArrival> again = same.Next();
    REQUIRE(again);
    REQUIRE((again->at_s == arrival->at_s && again->key == arrival->key && again->node == arrival->node));
    REQUIRE(arrival->at_s >= last);
    REQUIRE(arrival->node < 3);
    last = arrival->at_s;
    ++total;
    ++by_workspace[arrival->workspace];
    ++by_key[arrival->key];
    if (arrival->workspace == 1) {
      REQUIRE(arrival->kind == 1);
      small_in_spikes += std::fmod(arrival->at_s, 10) >= 8 ? 1 : 0;
    }
  }
  // Rates, shares, spikes and key skew have to match the mix. The margins are 5 standard deviations of the Poisson
  // counts.
  CHECK(by_workspace[0] == Approx(0.9 * 200 * 60).margin(5 * std::sqrt(0.9 * 200 * 60)));
  CHECK(small_in_spikes == Approx(20 * 5 * 12).margin(5 * std::sqrt(20 * 5 * 12)));
  CHECK(by_workspace[1] - small_in_spikes == Approx(20 * 48).margin(5 * std::sqrt(20 * 48)));
  // With a Zipf exponent of 1 and 1,000 keys, the first key gets 1 / 7.485 of all requests.
  CHECK(by_key[0] == Approx(total / 7.485).margin(5 * std::sqrt(total / 7.485)));
  CHECK_FALSE(same.Next());
}

TEST_CASE("an answer counts as correct only if it matches its request") {
  const LoadMix mix = TestMix();
  const LoadRequest request = MakeLoadRequest(mix, MakeArrival(7, 1), "run");
  const LoadRequest other = MakeLoadRequest(mix, MakeArrival(8, 1), "run");
  CHECK(request.path == "/storefront/deposit?load=run-7");
  CHECK(request.target_path == "/deposit?load=run-7");
  CHECK(request.body.size() == 100);
  const LoadAnswer good = EchoAnswer(request, "id1");
  CHECK(ClassifyAnswer(request, good) == LoadOutcome::kCorrect);
  GIVEN("answers that differ from the correct answer in one field") {
    const auto classify = [&](const std::function<void(LoadAnswer&)>& change) {
      LoadAnswer answer = good;
      change(answer);
      return ClassifyAnswer(request, answer);
    };
    // A truncated, mixed-up or contradictory answer must not be counted as correct.
    CHECK(classify([](LoadAnswer& a) { a.received = false; }) == LoadOutcome::kMissing);
    CHECK(classify([](LoadAnswer& a) { a.body.pop_back(); }) == LoadOutcome::kWrong);
    CHECK(classify([](LoadAnswer& a) { a.request_id = "id2"; }) == LoadOutcome::kWrong);
    CHECK(classify([](LoadAnswer& a) { a.run_state = "unknown"; }) == LoadOutcome::kWrong);
    CHECK(classify([](LoadAnswer& a) { a.status = 500; }) == LoadOutcome::kTargetError);
    CHECK(classify([&](LoadAnswer& a) { a.body = EchoAnswer(other, "id1").body; }) == LoadOutcome::kCrossed);
    CHECK(classify([&](LoadAnswer& a) { a = {true, 503, "id1", "not-run", "overloaded", ""}; }) ==
          LoadOutcome::kRefused);
    CHECK(classify([&](LoadAnswer& a) { a = {true, 503, "id1", "ran", "overloaded", ""}; }) == LoadOutcome::kWrong);
    CHECK(classify([&](LoadAnswer& a) { a = {true, 503, "id1", "not-run", "no-such-kind", ""}; }) ==
          LoadOutcome::kWrong);
  }
}

TEST_CASE("execution counts of the targets reveal requests executed twice and false not-run answers") {
  const LoadMix mix = TestMix();
  LoadResults results(mix);
  const auto add = [&](std::uint64_t index, std::size_t kind, LoadOutcome outcome, const std::string& id,
                       const std::string& state, const std::string& error) {
    results.Add({MakeArrival(index, kind), Cat("t", index), outcome, id, state, error, 0.01}, true);
  };
  add(1, 1, LoadOutcome::kCorrect, "a", "ran", "");
  add(2, 1, LoadOutcome::kMissing, "", "", "");
  add(3, 1, LoadOutcome::kRefused, "c", "not-run", "overloaded");
  add(4, 0, LoadOutcome::kCorrect, "d", "ran", "");
  GIVEN("targets whose execution counts agree with the answers") {
    LoadExecutions executions;
    REQUIRE(AddTargetStats(
                R"({"executions_by_request": {"a": 1, "d": 2}, "executions_by_idempotency_key": {"t1": 1, "t2": 1}})",
                &executions)
                .ok());
    results.CheckExecutions(executions);
    CHECK(results.HasNoViolations());
  }
  // A confirmation that is executed twice, or in spite of a not-run answer, shows in the execution counts only.
  GIVEN("targets that together ran one confirmation twice and a refused one once") {
    LoadExecutions executions;
    for (int target = 0; target < 2; ++target) {
      REQUIRE(
          AddTargetStats(R"({"executions_by_request": {}, "executions_by_idempotency_key": {"t2": 1}})", &executions)
              .ok());
    }
    REQUIRE(AddTargetStats(R"({"executions_by_request": {"c": 1}, "executions_by_idempotency_key": null})", &executions)
                .ok());
    results.CheckExecutions(executions);
    CHECK(results.All().executed_twice.Value() == 1);
    CHECK(results.All().false_not_run.Value() == 1);
    CHECK_FALSE(results.HasNoViolations());
    // The penalty reduces the exactly-once term to 0. The teller tail (4) and the prompt kind (2) of 11 remain.
    CHECK(*VitoshaScore(results) == Approx(6.0 / 11));
  }
  GIVEN("an answer with an id that was seen before") {
    add(5, 0, LoadOutcome::kCorrect, "a", "ran", "");
    CHECK(results.RepeatedIds() == 1);
    CHECK_FALSE(results.HasNoViolations());
  }
  GIVEN("malformed statistics") {
    LoadExecutions executions;
    for (const char* json : {"", "[]", "{}", R"({"executions_by_request": {"a": -1}})"}) {
      CHECK_FALSE(AddTargetStats(json, &executions).ok());
    }
  }
}

TEST_CASE("scores use the documented weights of request kinds") {
  const LoadMix mix = TestMix();
  LoadResults good(mix);
  LoadResults slow(mix);
  LoadResults refused(mix);
  for (std::uint64_t i = 0; i < 100; ++i) {
    for (const std::size_t kind : {std::size_t{0}, std::size_t{1}}) {
      good.Add({MakeArrival(i, kind), "t", LoadOutcome::kCorrect, "", "ran", "", 0.01}, false);
      slow.Add({MakeArrival(i, kind), "t", LoadOutcome::kCorrect, "", "ran", "", kind == 0 ? 0.5 : 0.01}, false);
      const bool served = i % 2 == 0;
      refused.Add({MakeArrival(i, kind), "t", served ? LoadOutcome::kCorrect : LoadOutcome::kRefused, "",
                   served ? "ran" : "not-run", served ? "" : "overloaded", 0.01},
                  false);
    }
  }
  CHECK(*KamuiwappenScore(good) == Approx(1));
  CHECK(*VitoshaScore(good) == Approx(1));
  // Composing checks have weight 5 of 8, and their 99th percentile is ten times the target.
  CHECK(*KamuiwappenScore(slow) == Approx((5 * 0.1 + 3) / 8).margin(0.02));
  CHECK(*KamuiwappenScore(refused) == Approx(0.5));
  // Of the total weight 11, exactly-once confirmations have 5, the teller tail 4 and the prompt kind 2.
  CHECK(*VitoshaScore(refused) == Approx((5 * 0.5 + 4 + 2 * 0.5) / 11));
  CHECK(refused.Refusals().at("overloaded") == 100);
  const std::string csv = LoadCsv(refused);
  CHECK(csv.find("workspace,large,200,100,100,") != std::string::npos);
  CHECK(csv.find("refusal,overloaded,100\n") != std::string::npos);
  const std::string html = LoadHtml(refused, "a <b> title");
  CHECK(html.find("a &lt;b> title") != std::string::npos);
  CHECK(html.find("<polyline") != std::string::npos);
  CHECK(html.find("nan") == std::string::npos);
}

TEST_CASE("load is sent open-loop to a node and the outcome of every request is counted", "[process]") {
  LoadMix mix = TestMix();
  mix.duration_s = 3;
  mix.timeout_ms = 2000;
  LoadResults results(mix);
  LoadOptions options;
  options.keys = {{"large", "mk_1_secret"}};
  options.run_id = "run";
  const std::uint64_t expected = [&] {
    LoadArrivals arrivals(mix, 1);
    std::uint64_t count = 0;
    while (arrivals.Next()) {
      ++count;
    }
    return count;
  }();
  GIVEN("a node that answers immediately but stalls once for 500 ms") {
    bool stalled = false;
    EchoNode node([&](const standin::RequestHandle& request) {
      if (!stalled && request->header().request_target().find("-300") != std::string::npos) {
        stalled = true;
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
      }
      return false;
    });
    options.nodes = {node.Address()};
    RunLoad(mix, options, &results);
    CHECK(results.All().requests.Value() == expected);
    CHECK(results.All().Count(LoadOutcome::kCorrect) == expected);
    CHECK(results.HasNoViolations());
    // An open-loop generator keeps sending during the stall, so that about 100 requests have a high latency. A
    // generator that waits for late answers would hide the stall.
    CHECK(results.All().latency.Quantile(0.95) > 0.1);
    CHECK(results.All().latency.Quantile(0.5) < 0.05);
    CHECK(LoadHtml(results, "t").find("secret") == std::string::npos);
  }
  GIVEN("a node that drops every twentieth connection without an answer") {
    std::atomic<int> seen{0};
    EchoNode node([&](const standin::RequestHandle& request) {
      const bool is_post = request->header().method() == restinio::http_method_post();
      if (is_post && ++seen % 20 == 0) {
        standin::DropConnection(request);
        return true;
      }
      return false;
    });
    options.nodes = {node.Address()};
    RunLoad(mix, options, &results);
    const LoadSeries& posts = results.Kind(1);
    // The client library must not resend a request when a reused connection closes. That would look like a duplicate
    // execution or hide a lost answer.
    CHECK(static_cast<std::uint64_t>(seen) == posts.requests.Value());
    CHECK(posts.Count(LoadOutcome::kMissing) == posts.requests.Value() / 20);
    CHECK(results.Kind(0).Count(LoadOutcome::kCorrect) == results.Kind(0).requests.Value());
  }
}

}  // namespace
}  // namespace magnoliaarch
