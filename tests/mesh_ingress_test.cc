#include "mesh_ingress_p.h"

#include <catch2/catch.hpp>

#include "kv_platform.h"
#include "mesh_keys_p.h"
#include "mesh_util.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

constexpr const char* kConfig = R"({"version":"00000001","services":[{"name":"archive"},{"name":"desk","sharded":true}],
  "tenants":[{"name":"guild","api_keys":["k1"],"rate_per_s":500,"burst":500}],
  "virtual_hosts":[{"host":"h","paths":[
    {"name":"read","path_prefix":"/read/","type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":1,
     "service":"archive","max_attempts":2},
    {"name":"order","path_prefix":"/order/","type":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":1,
     "service":"archive","max_attempts":2},
    {"name":"many","path_prefix":"/many/","type":"safe","timeout_ms":1500,"target_latency_ms":100,"priority":1,
     "service":"archive","max_attempts":4},
    {"name":"look","path_prefix":"/look/","type":"safe","timeout_ms":1500,"target_latency_ms":50,"priority":1,
     "service":"desk","max_attempts":2}]}]})";

SendResult NotRunResult(proto::MeshReason reason, std::uint32_t retry_after_ms = 0) {
  SendResult result;
  result.outcome = SendOutcome::kAnswered;
  result.answer.set_outcome(proto::MESH_NOT_RUN);
  result.answer.set_reason(reason);
  result.answer.set_retry_after_ms(retry_after_ms);
  return result;
}

SendResult AnsweredResult(std::uint32_t status) {
  SendResult result;
  result.outcome = SendOutcome::kAnswered;
  result.answer.set_status(status);
  return result;
}

SendResult BrokenResult() {
  SendResult result;
  result.outcome = SendOutcome::kBroken;
  return result;
}

// An ingress behind a real port; the test simulates the other nodes.
struct Fixture {
  Fixture()
      : timers(context),
        wire(CreateKvPlatform()),
        log("test"),
        view(*wire, [](const std::string&, const absl::Status&) {}),
        ingress(timers, *wire, log, metrics, Options(), Hooks()),
        server(
            context,
            Http1ServerOptions{"127.0.0.1", 0},
            [this](const std::shared_ptr<HttpExchange>& exchange) { ingress.OnRequest(exchange); },
            [](Http1Parser::Error) { return HttpMessage(); }) {
    REQUIRE(server.Start().ok());
    HttpClientOptions options;
    options.ip = "127.0.0.1";
    options.port = server.Port();
    client = std::make_unique<HttpClient>(context, options);
    Put("op/config", kConfig);
  }

  MeshIngressOptions Options() const {
    MeshIngressOptions options;
    options.node = "n1";
    options.domain = "z1";
    options.service = "shop";
    options.bounds = &bounds;
    return options;
  }
  MeshIngressHooks Hooks() {
    MeshIngressHooks hooks;
    hooks.view = [this]() -> const MeshView& { return view; };
    hooks.live_nodes = [] { return std::size_t{2}; };
    hooks.may_lack_configuration = [this] { return may_lack_configuration; };
    hooks.send = [this](const std::string& node, const proto::MeshRequest& request,
                        const std::shared_ptr<const std::string>& /*body*/, SendHooks send) {
      sends.push_back(node);
      requests.push_back(request);
      if (!results.empty()) {
        timers.At(BootClock::now() + result_delay, [done = send.done, result = results.front()] { done(result); });
        results.erase(results.begin());
      }
      send_hooks.push_back(std::move(send));
      return static_cast<std::uint64_t>(sends.size());
    };
    hooks.cancel = [this](std::uint64_t /*send*/) { ++cancels; };
    hooks.is_inner_route = [this](const std::string& route, TimePoint /*now*/) { return route == inner_route; };
    hooks.refuse_new = [this](const proto::MeshRequest& /*request*/, TimePoint /*objective*/, TimePoint /*now*/) {
      return refuses_new ? std::optional(IngressRefusal{}) : std::nullopt;
    };
    hooks.request_tokens = [this](std::size_t) {
      asio::post(context, [this] {
        proto::TokenGrant grant;
        grant.set_milli(100'000);
        ingress.Tokens().OnGrant(BootClock::now(), 1, proto::TenantDemand(), grant);
        ingress.OnTokens();
      });
      return true;
    };
    return hooks;
  }

  void Put(const std::string& key, const std::string& value) {
    proto::ViewItem item;
    item.set_key(key);
    item.set_value(value);
    item.set_revision(++revision);
    view.Apply(item);
  }
  void AddTarget(const std::string& node) {
    proto::MeshMember member;
    member.set_node(node);
    member.set_incarnation(1);
    member.set_domain("z1");
    member.set_service("archive");
    Put(MemberKey(node), member.SerializeAsString());
    ingress.Hints()[node].accepts = true;
  }
  // Adds a node whose target owns all keys of the sharded service.
  void AddOwner(const std::string& node) {
    proto::MeshMember member;
    member.set_node(node);
    member.set_incarnation(1);
    member.set_domain("z1");
    member.set_service("desk");
    Put(MemberKey(node), member.SerializeAsString());
    proto::KeyTable table;
    proto::KeyRange* range = table.add_ranges();
    range->set_last(kMaxKey);
    range->mutable_owner()->set_node(node);
    range->set_fence(1);
    table.set_last_fence(1);
    Put(TableKey("desk"), PackTable(table));
  }
  // Sends a request and returns its answer; status 0 if there is none.
  HttpMessage Call(const std::string& path, const std::string& key = "k1", Duration timeout = milliseconds(1200)) {
    std::optional<HttpMessage> answer;
    StartCall(path, &answer, key, timeout);
    REQUIRE(RunUntil(context, [&] { return answer.has_value(); }));
    return *answer;
  }
  // Sends a request and returns its id in the client.
  std::uint64_t StartCall(const std::string& path,
                          std::optional<HttpMessage>* answer,
                          const std::string& key = "k1",
                          Duration timeout = milliseconds(1500)) {
    HttpMessage request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", "h"}, {"Request-Id", "r1"}, {"Deadline-Ms", "1200"}, {"Key", key}, {"Shard-Key", "7"}};
    return client->Send(request, timeout, nullptr, [answer](const HttpResult& result) { *answer = result.answer; });
  }

  asio::io_context context;
  TimerQueue timers;
  std::unique_ptr<MeshWire> wire;
  MeshLog log;
  MetricsRegistry metrics;
  MeshBounds bounds;
  MeshView view;
  std::int64_t revision = 0;
  std::vector<SendResult> results;  // results of the next sends
  Duration result_delay{};
  bool may_lack_configuration = false;
  std::vector<SendHooks> send_hooks;
  std::vector<std::string> sends;
  std::vector<proto::MeshRequest> requests;
  int cancels = 0;
  std::string inner_route;
  bool refuses_new = false;
  MeshIngress ingress;
  Http1Server server;
  std::unique_ptr<HttpClient> client;
};

TEST_CASE("the answer to a caller matches what happened to its request") {
  Fixture f;
  f.AddTarget("t1");
  f.AddTarget("t2");

  // Guards against executing requests with an invalid key or path.
  SECTION("a request with an unknown key or route is refused and not sent") {
    CHECK(f.Call("/read/1", "other").status == 401);
    CHECK(f.Call("/nowhere/1").status == 404);
    CHECK(f.sends.empty());
  }
  // Guards against 404 for a route that a newer configuration has, from a node whose link was choked while the
  // configuration came. Seen on trouble-3 of the media deployment, in two of five plays and again with logs: the node
  // had heard neither the store nor the coordinator for 12 s.
  SECTION(
      "while the configuration is not confirmed, an unknown key or route is refused as not run, to be tried again") {
    f.may_lack_configuration = true;
    CHECK(f.Call("/read/1", "other").status == 503);
    const HttpMessage answer = f.Call("/nowhere/1");
    CHECK(answer.status == 503);
    CHECK(answer.Find("Retry-After") != nullptr);
    CHECK(f.sends.empty());
    f.results = {AnsweredResult(200)};
    CHECK(f.Call("/read/1").status == 200);
  }
  SECTION("the workspace is forwarded with the request, and the workspace key is not") {
    f.results = {AnsweredResult(200)};
    CHECK(f.Call("/read/1").status == 200);
    CHECK(f.requests[0].workspace() == "guild");
    for (const proto::MeshHeader& header : f.requests[0].headers()) {
      CHECK(header.name() != "Key");
    }
    CHECK(f.requests[0].caller_service() == "shop");
  }
  // Guards against executing a request twice, and against a refusal that wrongly promises that it was not executed.
  SECTION("a non-idempotent request is not sent again after a broken send") {
    f.results = {BrokenResult(), AnsweredResult(200)};
    CHECK(f.Call("/order/1").status == 502);
    CHECK(f.sends.size() == 1);
  }
  SECTION("an idempotent request is sent to another target after a broken send") {
    f.results = {BrokenResult(), AnsweredResult(200)};
    CHECK(f.Call("/read/1").status == 200);
    REQUIRE(f.sends.size() == 2);
    CHECK(f.sends[0] != f.sends[1]);
  }
  SECTION("a request that was not executed is sent to another target, even if it is not idempotent") {
    f.results = {NotRunResult(proto::MESH_DRAINING), AnsweredResult(200)};
    CHECK(f.Call("/order/1").status == 200);
    CHECK(f.sends.size() == 2);
  }
  // Guards against losing the work of a run whose call is refused while other targets have room.
  SECTION("an inner call is offered to more targets than other requests, and is never refused as new work") {
    for (const char* node : {"t3", "t4", "t5"}) {
      f.AddTarget(node);
    }
    f.results.assign(4, NotRunResult(proto::MESH_BUSY, 60));
    f.results.push_back(AnsweredResult(200));
    f.refuses_new = true;
    f.inner_route = "read";
    CHECK(f.Call("/read/1").status == 200);
    CHECK(f.sends.size() == 5);
    CHECK(f.requests[0].inner());
    CHECK(f.Call("/order/1").status == 503);
    CHECK(f.sends.size() == 5);
  }
  SECTION("when all targets are busy the answer has a retry delay") {
    f.results = {NotRunResult(proto::MESH_BUSY, 60), NotRunResult(proto::MESH_BUSY, 60)};
    const HttpMessage answer = f.Call("/order/1");
    CHECK(answer.status == 503);
    REQUIRE(answer.Find("Retry-After") != nullptr);
  }
  // Guards against work for a caller that has disconnected.
  SECTION("the send is cancelled when the caller disconnects") {
    f.Call("/read/1", "k1", milliseconds(60));
    REQUIRE(RunUntil(f.context, [&] { return f.cancels == 1; }));
  }
}

// Guards against answering a request that may be running with status 429 or 503, which promise that it was not
// executed. Seen in hunt-e578-3 of vch-renewals-grown.
TEST_CASE("a request that may have run before its connection broke fails with status 502, not 429 or 503") {
  Fixture f;
  f.AddTarget("t1");
  f.AddTarget("t2");
  f.AddOwner("o1");

  SECTION("the connection to the owner breaks after the objective") {
    f.result_delay = milliseconds(100);
    f.results = {BrokenResult()};
    CHECK(f.Call("/look/1").status == 502);
  }
  SECTION("the connection to the owner breaks, and the request is not sent to the owner again before its objective") {
    f.results = {BrokenResult()};
    CHECK(f.Call("/look/1").status == 502);
  }
  SECTION("the second target is busy") {
    f.results = {BrokenResult(), NotRunResult(proto::MESH_BUSY, 60)};
    CHECK(f.Call("/read/1").status == 502);
    CHECK(f.sends.size() == 2);
  }
  SECTION("the second target rejects the request") {
    SendResult rejected;
    rejected.outcome = SendOutcome::kAnswered;
    rejected.answer.set_outcome(proto::MESH_REJECTED);
    f.results = {BrokenResult(), rejected};
    CHECK(f.Call("/read/1").status == 502);
  }
  SECTION("the second target is draining and there is no third") {
    f.results = {BrokenResult(), NotRunResult(proto::MESH_DRAINING)};
    CHECK(f.Call("/read/1").status == 502);
  }
}

TEST_CASE("a request whose first node becomes silent still gets the best available answer") {
  Fixture f;
  f.AddTarget("t1");
  f.AddTarget("t2");
  f.AddOwner("o1");
  std::optional<HttpMessage> answer;
  // Sends a request and reports the node of its first send as silent.
  const auto send_to_silent_node = [&](const std::string& path) {
    f.StartCall(path, &answer);
    REQUIRE(RunUntil(f.context, [&] { return f.sends.size() == 1; }));
    f.send_hooks[0].silent();
  };
  const auto wait_for_answer = [&] { REQUIRE(RunUntil(f.context, [&] { return answer.has_value(); })); };

  SECTION("an idempotent request is also sent to another target, and the first answer is used") {
    send_to_silent_node("/read/1");
    REQUIRE(f.sends.size() == 2);
    CHECK(f.sends[0] != f.sends[1]);
    CHECK(f.cancels == 0);
    f.send_hooks[0].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
    CHECK(f.cancels == 1);
  }
  // Guards against cancelling the send to the silent node after the other target has refused.
  SECTION("after a refusal by the other target the silent node may still answer") {
    send_to_silent_node("/read/1");
    REQUIRE(f.sends.size() == 2);
    f.send_hooks[1].done(NotRunResult(proto::MESH_BUSY, 60));
    RunFor(f.context, milliseconds(400));
    CHECK_FALSE(answer.has_value());
    CHECK(f.cancels == 0);
    f.send_hooks[0].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
  }
  SECTION("when both sends have failed the request ends at once without a retry delay") {
    send_to_silent_node("/read/1");
    f.send_hooks[1].done(NotRunResult(proto::MESH_BUSY, 60));
    f.send_hooks[0].done(BrokenResult());
    wait_for_answer();
    CHECK(answer->status == 502);
    CHECK(answer->Find("Retry-After") == nullptr);
  }
  SECTION("an error answer of a target is returned if no send succeeds") {
    send_to_silent_node("/read/1");
    f.send_hooks[1].done(NotRunResult(proto::MESH_BUSY, 60));
    f.send_hooks[0].done(AnsweredResult(500));
    wait_for_answer();
    CHECK(answer->status == 500);
  }
  // Guards against ending a request while a later target is executing it.
  SECTION("a refusal that was kept for the silent node does not end a later send") {
    f.AddTarget("t3");
    f.AddTarget("t4");
    send_to_silent_node("/many/1");
    REQUIRE(f.sends.size() == 2);
    RunFor(f.context, milliseconds(120));
    f.send_hooks[1].done(NotRunResult(proto::MESH_BUSY, 60));
    f.send_hooks[0].done(AnsweredResult(500));
    REQUIRE(f.sends.size() == 3);
    f.send_hooks[2].silent();
    REQUIRE(f.sends.size() == 4);
    f.send_hooks[2].done(BrokenResult());
    CHECK(f.cancels == 0);
    f.send_hooks[3].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
  }
  SECTION("an error answer of the silent node's target counts as one attempt") {
    f.AddTarget("t3");
    send_to_silent_node("/read/1");
    RunFor(f.context, milliseconds(320));
    f.send_hooks[1].done(NotRunResult(proto::MESH_BUSY, 60));
    f.send_hooks[0].done(AnsweredResult(500));
    REQUIRE(f.sends.size() == 3);
    f.send_hooks[2].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
  }
  // Guards against executing a request twice.
  SECTION("a non-idempotent request waits for the silent node") {
    send_to_silent_node("/order/1");
    RunFor(f.context, milliseconds(400));
    CHECK(f.sends.size() == 1);
    CHECK_FALSE(answer.has_value());
    f.send_hooks[0].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
  }
  SECTION("a request with a key waits, since only the owner may execute it") {
    send_to_silent_node("/look/1");
    RunFor(f.context, milliseconds(400));
    CHECK(f.sends.size() == 1);
    CHECK_FALSE(answer.has_value());
    f.send_hooks[0].done(AnsweredResult(200));
    wait_for_answer();
    CHECK(answer->status == 200);
  }
  SECTION("a request that reaches its deadline gets the answer that it may have been executed") {
    send_to_silent_node("/look/1");
    wait_for_answer();
    CHECK(answer->status == 504);
    CHECK(f.cancels == 1);
  }
  SECTION("all sends are cancelled when the caller disconnects") {
    f.client->Cancel(f.StartCall("/read/1", &answer));
    answer.reset();
    const std::uint64_t call = f.StartCall("/read/1", &answer);
    REQUIRE(RunUntil(f.context, [&] { return !f.sends.empty(); }));
    const int before = f.cancels;
    f.send_hooks.back().silent();
    f.client->Cancel(call);
    REQUIRE(RunUntil(f.context, [&] { return f.cancels >= before + 2; }));
  }
}

TEST_CASE("a request to a service without targets waits at first, and later is refused at once") {
  Fixture f;
  SECTION("a request waits for a target within its objective") {
    const TimePoint start = BootClock::now();
    CHECK(f.Call("/read/1").status == 503);
    CHECK(BootClock::now() - start > milliseconds(200));
  }
  // Guards against pointless waits: a call that waits holds a slot of the target that makes it. Seen in
  // trouble-1 of sofia, seed 581097757937.
  SECTION("after some time without a target requests are refused at once") {
    f.Call("/read/1");
    RunFor(f.context, milliseconds(1500));
    const TimePoint start = BootClock::now();
    CHECK(f.Call("/read/1").status == 503);
    CHECK(BootClock::now() - start < milliseconds(100));
    f.AddTarget("t1");
    f.results = {AnsweredResult(200)};
    CHECK(f.Call("/read/1").status == 200);
  }
}

}  // namespace
}  // namespace magnoliaarch
