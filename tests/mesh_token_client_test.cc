// A node's view of the nodes that hand out the tokens of workspaces.

#include <catch2/catch.hpp>

#include "kv_platform.h"
#include "mesh_token_client_p.h"
#include "mesh_util.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// A node in a mesh of which no other node answers.
class LoneNode {
 public:
  LoneNode()
      : m_timers(m_context),
        m_wire(CreateKvPlatform()),
        m_log("n1"),
        m_peers(m_context, m_timers, "127.0.0.1", FreePort(m_context), PeerHooks()),
        m_store(m_context,
                HttpClientOptions{"127.0.0.1", FreePort(m_context), 4},
                *m_wire,
                m_log,
                [](const HttpMessage&, Duration, const HttpClient::Done&) { return false; }),
        m_session(m_timers, m_store, *m_wire, m_log, Member("n1"), std::chrono::seconds(1), SessionHooks()),
        m_service([this]() -> const MeshView& { return m_session.View(); }, "n1"),
        client(m_context, m_peers, m_session, m_service, m_log, m_holder, [] {}) {
    REQUIRE(m_peers.Start().ok());
    Apply("op/config", R"({"version":"00000001","services":[],"virtual_hosts":[],)"
                       R"("tenants":[{"name":"w","api_keys":["k"],"rate_per_s":100,"burst":100}]})");
    for (const char* node : {"n1", "n2", "n3"}) {
      Apply(MemberKey(node), Member(node).SerializeAsString());
    }
    m_holder.SetLimits(BootClock::now(), *m_session.View().Config());
  }

  // Makes a node the one that hands out the tokens; in a mesh of this size it is the coordinator.
  void SetTokenNode(const std::string& node) {
    proto::MeshCoordinator record;
    record.set_node(node);
    record.set_incarnation(1);
    Apply(CoordinatorKey(), record.SerializeAsString());
    m_service.OnViewChanged(BootClock::now());
  }
  void Run(Duration duration) {
    const TimePoint end = BootClock::now() + duration;
    while (BootClock::now() < end) {
      client.OnTick(BootClock::now(), authority_end);
      RunFor(m_context, milliseconds(50));
    }
  }

 private:
  proto::MeshMember Member(const std::string& node) {
    proto::MeshMember member;
    member.set_node(node);
    member.set_incarnation(1);
    member.set_ip("127.0.0.1");
    member.set_peer_port(FreePort(m_context));
    return member;
  }
  void Apply(const std::string& key, const std::string& value) {
    google::protobuf::RepeatedPtrField<proto::ViewItem> items;
    proto::ViewItem* item = items.Add();
    item->set_key(key);
    item->set_value(value);
    item->set_revision(++m_revision);
    m_session.Merge(items, m_revision, Duration(0));
  }
  static MeshPeers::Hooks PeerHooks() {
    MeshPeers::Hooks hooks;
    hooks.on_message = [](std::uint64_t, const H2Message&, const MeshPeers::Reply& reply) { reply("", ""); };
    hooks.on_abandoned = [](std::uint64_t) {};
    hooks.on_silent = [](const PeerSilence&) {};
    return hooks;
  }
  static MeshSessionHooks SessionHooks() {
    MeshSessionHooks hooks;
    hooks.on_view = [] {};
    hooks.on_registered = [] {};
    return hooks;
  }

  asio::io_context m_context;
  TimerQueue m_timers;
  std::unique_ptr<MeshWire> m_wire;
  MeshLog m_log;
  std::int64_t m_revision = 0;
  MeshPeers m_peers;
  MeshStore m_store;
  MeshSession m_session;
  TokenService m_service;
  TokenHolder m_holder;

 public:
  // Requests that find a token.
  int Admit(int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      admitted += m_holder.Take(BootClock::now(), 0) ? 1 : 0;
    }
    return admitted;
  }
  // Makes this node refill a tenth of the limit itself.
  void GrantPart() {
    proto::TokenGrant grant;
    grant.set_part_micro(100'000);
    m_holder.OnGrant(BootClock::now(), 1, proto::TenantDemand(), grant);
  }

  TimePoint authority_end = TimePoint::max();
  TokenClient client;
};

TEST_CASE("a node that cannot reach the node that hands out tokens") {
  LoneNode node;
  node.SetTokenNode("n2");
  node.GrantPart();
  CHECK(node.client.RequestNow(0));

  SECTION("lets no request wait for its tokens after the time-out") {
    node.Run(milliseconds(2200));
    CHECK_FALSE(node.client.RequestNow(0));

    // Guards against a failure that counts for good: a node that has handed the duty on is not called any more, so its
    // last failure never ended (large deployments, after a start).
    SECTION("but for those of the next one") {
      node.SetTokenNode("n3");
      CHECK(node.client.RequestNow(0));
    }
  }
  SECTION("admits from its own part of the limit") {
    node.Run(milliseconds(2300));
    CHECK(node.Admit(50) >= 8);
  }
  // Guards against parts that are used by two nodes (QUOTA, review/8).
  SECTION("and drops it when its authority ends") {
    node.Run(milliseconds(2300));
    node.authority_end = BootClock::now();
    node.Run(milliseconds(200));
    CHECK(node.Admit(50) == 0);
  }
}

}  // namespace
}  // namespace magnoliaarch
