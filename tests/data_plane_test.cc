#include "data_plane_p.h"

#include <future>

#include <catch2/catch.hpp>

#include "datapath_util.h"

namespace magnoliaarch {
namespace {

using datapath_test::BinaryBody;
using datapath_test::Caller;
using datapath_test::Eventually;
using datapath_test::HttpAnswer;
using datapath_test::PostRequest;
using datapath_test::ScriptedTarget;

constexpr char kKey[] = "mk_1_secret";
const std::string kAuthHeaders = std::string("Authorization: Bearer ") + kKey + "\r\nX-Routing-Key: lion\r\n";

// Two nodes that share one view. "node-b" owns every slice of the keyed entry "storefront"; "node-a" has no local
// target.
class TwoNodeCluster {
 public:
  explicit TwoNodeCluster(ScriptedTarget::Script script, Duration deadline = std::chrono::seconds(10))
      : target(std::move(script)) {
    node_a = StartNode("node-a", 1);
    node_b = StartNode("node-b", 2);
    proto::EntryRecord entry;
    entry.set_name("storefront");
    entry.set_keyed(true);
    entry.set_slices(2);
    entry.set_cold_limit(4);
    entry.set_warm_limit(16);
    entry.set_deadline_ms(static_cast<std::uint32_t>(deadline.count() / 1000));
    Put(std::string(kEntryPrefix) + "storefront", entry);
    proto::SlicePack pack;
    pack.set_entry("storefront");
    for (int i = 0; i < 2; ++i) {
      proto::SliceRecord& slice = *pack.add_slices();
      slice.set_owner("node-b");
      slice.set_owner_incarnation(2);
      slice.set_epoch(3);
      slice.set_state(proto::SLICE_STATE_OWNED);
    }
    Put(SlicePackKey("storefront", 0), pack);
    PutMember("node-a", 1, *node_a);
    PutMember("node-b", 2, *node_b);
  }

  template <typename Record>
  void Put(const std::string& key, const Record& record) {
    proto::ViewRecord change;
    change.set_key(key);
    change.set_revision(++m_revision);
    change.set_value(record.SerializeAsString());
    REQUIRE(m_builder.Apply(change));
    std::atomic_store(&m_view, m_builder.Snapshot());
    node_a->OnViewChanged();
    node_b->OnViewChanged();
  }

  void PutMember(const std::string& name, std::uint64_t incarnation, const DataPlane& node, bool fenced = false) {
    proto::MemberRecord member;
    member.set_node(name);
    member.set_incarnation(incarnation);
    member.set_ip("127.0.0.1");
    member.set_peer_port(node.PeerPort());
    member.set_fenced(fenced);
    member.set_entry(name == "node-b" ? "storefront" : "");
    Put(std::string(kMemberPrefix) + name, member);
  }

  ScriptedTarget target;
  std::unique_ptr<DataPlane> node_a;
  std::unique_ptr<DataPlane> node_b;
  std::atomic<bool> lease_held{true};

 private:
  std::unique_ptr<DataPlane> StartNode(const std::string& name, std::uint64_t incarnation) {
    DataPlaneOptions options;
    options.self = IncarnationId{name, incarnation};
    options.entry = name == "node-b" ? "storefront" : "";
    options.peer_server.secret = options.peer_client.secret = "secret";
    options.peer_server.self = options.peer_client.self = options.self;
    options.target.port = target.Port();
    options.probe_period = std::chrono::hours(1);
    DataPlaneHooks hooks;
    hooks.view = [this] { return std::atomic_load(&m_view); };
    hooks.authenticate = [](const View&, const proto::EntryRecord&, std::string_view key) {
      return key == kKey ? Authentication{std::nullopt, "crest"} : Authentication{ErrorKind::kUnauthenticated, {}};
    };
    hooks.admit = [](const Request&, const std::function<void(std::optional<ErrorKind>)>& done) { done(std::nullopt); };
    hooks.check_ownership = [this](const Request&, TimePoint) {
      return lease_held ? std::nullopt : std::optional(ErrorKind::kLeaseLapsed);
    };
    hooks.begin_send = hooks.check_ownership;
    hooks.end_send = [](RequestId) {};
    hooks.lease_generation = [] { return 1; };
    hooks.refresh_view = [](const std::string&, SliceHandle) {};
    auto node = std::make_unique<DataPlane>(options, hooks);
    REQUIRE(node->Start().ok());
    return node;
  }

  std::int64_t m_revision = 0;
  ViewBuilder m_builder;
  std::shared_ptr<const View> m_view = std::make_shared<const View>();
};

ScriptedTarget::Script EchoScript() {
  return [](int, const std::string&, const std::string& body) {
    return ScriptedTarget::Answer(body, "X-Target: echo\r\n");
  };
}

TEST_CASE("a request to any node is forwarded to the owner's target and its answer is returned", "[process]") {
  TwoNodeCluster cluster(EchoScript());
  for (DataPlane* entry_node : {cluster.node_a.get(), cluster.node_b.get()}) {
    Caller caller(entry_node->IngressPort());
    // Guards against bodies that are truncated on the way and against a workspace key that reaches the target.
    const std::string body = BinaryBody(5 << 20);
    const HttpAnswer answer = caller.Call(PostRequest("/storefront/charges?x=1", kAuthHeaders, body));
    CHECK(answer.status == 200);
    CHECK(answer.Field("X-Run-State") == "ran");
    CHECK(answer.Field("X-Target") == "echo");
    CHECK((answer.body == body));
  }
  const HttpAnswer seen{1, cluster.target.Heads(), {}};
  CHECK(seen.head.find("POST /charges?x=1 HTTP/1.1") != std::string::npos);
  CHECK(seen.head.find("mk_1") == std::string::npos);
  CHECK(seen.Field("X-Workspace") == "crest");
  CHECK(seen.Field("X-Fence-Epoch") == "3");

  const int before = cluster.target.Requests();
  struct Case {
    std::string input;
    const char* kind;
  };
  const std::vector<Case> refused = {
      {PostRequest("/storefront/a", "X-Routing-Key: lion\r\n", "x"), "unauthenticated"},
      {PostRequest("/storefront/a", "Authorization: Bearer mk_2_wrong\r\nX-Routing-Key: lion\r\n", "x"),
       "unauthenticated"},
      {PostRequest("/storefront/a", std::string("Authorization: Bearer ") + kKey + "\r\n", "x"), "missing-routing-key"},
      {PostRequest("/storefront/a", kAuthHeaders + "X-Routing-Key: bear\r\n", "x"), "malformed-request"},
      {PostRequest("/storefront/a", kAuthHeaders + "X-Deadline-Ms: soon\r\n", "x"), "malformed-request"},
      {PostRequest("/nowhere/a", kAuthHeaders, "x"), "unknown-route"},
      // Guards against callers that reach the target's control endpoints.
      {PostRequest("/storefront/-/fault", kAuthHeaders, "x"), "unknown-route"},
      {PostRequest("/storefront/a/%2E%2e//./%2d/fault", kAuthHeaders, "x"), "unknown-route"},
  };
  for (const Case& test_case : refused) {
    INFO(test_case.input);
    const HttpAnswer answer = Caller(cluster.node_a->IngressPort()).Call(test_case.input);
    CHECK(answer.Field("X-Error-Kind") == test_case.kind);
    CHECK(answer.Field("X-Run-State") == "not-run");
  }
  CHECK(cluster.target.Requests() == before);
}

// Guards against answers that are delivered to the wrong caller, also when they arrive in a different order than the
// requests.
TEST_CASE("each concurrent caller receives the answer to its own request", "[process]") {
  TwoNodeCluster cluster([](int, const std::string&, const std::string& body) {
    std::this_thread::sleep_for(std::chrono::microseconds(100 * (std::hash<std::string>()(body) % 20)));
    return ScriptedTarget::Answer(body);
  });
  std::atomic<int> correct{0};
  std::atomic<int> incorrect{0};
  std::vector<std::thread> callers;
  callers.reserve(12);
  for (int c = 0; c < 12; ++c) {
    callers.emplace_back([&, c] {
      Caller caller((c % 2 == 0 ? cluster.node_a : cluster.node_b)->IngressPort());
      for (int i = 0; i < 100; ++i) {
        const std::string body = std::to_string(c) + ":" + std::to_string(i) + std::string(i * 37, 'x');
        const HttpAnswer answer = caller.Call(PostRequest("/storefront/a", kAuthHeaders, body));
        ++(answer.status == 200 && answer.body == body ? correct : incorrect);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(correct == 1200);
  CHECK(incorrect == 0);
}

TEST_CASE("a request that fails after it was sent is not retried and not reported as not-run", "[process]") {
  std::promise<void> release;
  const auto released = release.get_future().share();
  std::atomic<bool> drop{false};
  TwoNodeCluster cluster([&, released](int, const std::string& head, const std::string& body) {
    if (head.find("/wait") != std::string::npos) {
      released.wait();
    }
    return drop ? std::string() : ScriptedTarget::Answer(body);
  });
  Caller caller(cluster.node_a->IngressPort());
  REQUIRE(caller.Call(PostRequest("/storefront/warm", kAuthHeaders, "x")).status == 200);

  GIVEN("a target that closes a keep-alive connection instead of answering a non-idempotent request") {
    drop = true;
    const HttpAnswer answer = caller.Call(PostRequest("/storefront/confirm", kAuthHeaders, "x"));
    CHECK(answer.Field("X-Error-Kind") == "target-broken");
    CHECK(answer.Field("X-Run-State") == "unknown");
    CHECK(cluster.target.Requests() == 2);
  }
  GIVEN("an owner that is lost while its target processes a non-idempotent request") {
    caller.Send(PostRequest("/storefront/wait", kAuthHeaders + "X-Deadline-Ms: 3000\r\n", "x"));
    REQUIRE(Eventually([&] { return cluster.target.Requests() == 2; }));
    release.set_value();
    cluster.node_b->Stop(Duration::zero());
    cluster.PutMember("node-b", 2, *cluster.node_b, true);
    const HttpAnswer answer = caller.Read();
    // The answer may have been sent before the stop; it must never be reported as not-run.
    CHECK((answer.status == 200 || answer.Field("X-Run-State") == "unknown"));
    CHECK(cluster.target.Requests() == 2);
    // Guards against a request that waits for a lost owner until the deadline of the request.
    const HttpAnswer next = Caller(cluster.node_a->IngressPort())
                                .Call(PostRequest("/storefront/next", kAuthHeaders + "X-Deadline-Ms: 300\r\n", "x"));
    CHECK(next.Field("X-Run-State") == "not-run");
  }
  GIVEN("a target that is slower than the deadline") {
    const HttpAnswer answer =
        caller.Call(PostRequest("/storefront/wait", kAuthHeaders + "X-Deadline-Ms: 200\r\n", "x"));
    CHECK(answer.Field("X-Error-Kind") == "deadline-after-send");
    CHECK(answer.Field("X-Run-State") == "unknown");
    release.set_value();
  }
  GIVEN("an owner whose lease has lapsed") {
    cluster.lease_held = false;
    const HttpAnswer answer = caller.Call(PostRequest("/storefront/a", kAuthHeaders + "X-Deadline-Ms: 300\r\n", "x"));
    CHECK(answer.Field("X-Run-State") == "not-run");
    CHECK(cluster.target.Requests() == 1);
    // Guards against waiting requests that are not sent once the lease is held again.
    caller.Send(PostRequest("/storefront/a", kAuthHeaders, "y"));
    cluster.lease_held = true;
    CHECK(caller.Read().body == "y");
  }
}

TEST_CASE("a graceful stop of both nodes completes every request in progress", "[process]") {
  TwoNodeCluster cluster([](int, const std::string&, const std::string& body) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return ScriptedTarget::Answer(body);
  });
  std::atomic<int> correct{0};
  std::atomic<int> cut{0};
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&] {
      while (!stopping) {
        Caller caller(cluster.node_a->IngressPort());
        if (!caller.IsConnected()) {
          return;
        }
        for (int i = 0; i < 1000 && caller.Send(PostRequest("/storefront/a", kAuthHeaders, "body")); ++i) {
          const HttpAnswer answer = caller.Read();
          ++(answer.status == 200 && answer.body == "body" ? correct : cut);
          if (answer.status == 0 || answer.Field("Connection") == "close") {
            break;
          }
        }
      }
    });
  }
  REQUIRE(Eventually([&] { return correct > 100; }));
  stopping = true;
  CHECK(cluster.node_a->Stop(std::chrono::seconds(10)));
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(cluster.node_b->Stop(std::chrono::seconds(10)));
  CHECK(cut == 0);
}

// Guards against a planned stop that aborts an answer while the other node is still receiving it (LOST).
TEST_CASE("a graceful stop waits until a large answer has reached the other node", "[process]") {
  const std::string large = BinaryBody(24 << 20);
  std::promise<void> release;
  const auto released = release.get_future().share();
  TwoNodeCluster cluster([&, released](int, const std::string&, const std::string&) {
    released.wait();
    return ScriptedTarget::Answer(large);
  });
  Caller caller(cluster.node_a->IngressPort());
  caller.Send(PostRequest("/storefront/a", kAuthHeaders, "x"));
  REQUIRE(Eventually([&] { return cluster.target.Requests() == 1; }));
  std::atomic<bool> stopped{false};
  std::thread stop([&] { stopped = cluster.node_b->Stop(std::chrono::seconds(10)); });
  // By now the node waits only for this answer.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  release.set_value();
  const HttpAnswer answer = caller.Read();
  stop.join();
  CHECK(stopped);
  CHECK(answer.status == 200);
  CHECK((answer.body == large));
}

// Guards against abandoning requests because their node is slow while its target is still processing them (LOST).
TEST_CASE("a request in progress at a node that is fenced ends with the target's answer", "[process]") {
  std::promise<void> release;
  const auto released = release.get_future().share();
  TwoNodeCluster cluster([&, released](int, const std::string&, const std::string& body) {
    released.wait();
    return ScriptedTarget::Answer(body);
  });
  Caller caller(cluster.node_a->IngressPort());
  caller.Send(PostRequest("/storefront/confirm", kAuthHeaders, "x"));
  REQUIRE(Eventually([&] { return cluster.target.Requests() == 1; }));
  cluster.PutMember("node-b", 2, *cluster.node_b, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  release.set_value();
  const HttpAnswer answer = caller.Read();
  CHECK(answer.status == 200);
  CHECK(answer.body == "x");
  CHECK(cluster.target.Requests() == 1);
}

}  // namespace
}  // namespace magnoliaarch
