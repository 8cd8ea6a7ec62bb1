// Entries that other writers leave among the mesh's records, or send in place of a target's: each is skipped alone, and
// everything else is followed.

#include <limits>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/escaping.h"
#include "kv_platform.h"
#include "mesh_keys_p.h"
#include "mesh_util.h"
#include "mesh_view_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr int kDeep = 100'000;

HttpMessage Answer(std::string body) {
  HttpMessage answer;
  answer.status = 200;
  answer.body = std::move(body);
  return answer;
}

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}

// Store entries as text: entries that differ from a valid one in one field.
std::vector<std::string> OddEntries() {
  return {Nested(kDeep),
          Cat(R"({"key":"magnolia/member/x","revision":7,"value":)", Nested(kDeep), "}"),
          R"({"key":"magnolia/member/x","revision":99999999999999999999999,"value":""})",
          R"({"key":"magnolia/member/x","revision":1e300,"value":""})",
          R"({"key":"magnolia/member/x","revision":18446744073709551615,"value":""})",
          R"({"key":"magnolia/member/x","revision":"seven","value":""})",
          R"({"key":7,"revision":7,"value":""})",
          R"({"revision":7})",
          R"({"key":"magnolia/member/x","revision":7,"lease":-1e40,"value":""})",
          "null",
          "7",
          R"("text")"};
}

TEST_CASE("an odd entry in an answer of the store hides no other entry") {
  const std::unique_ptr<MeshWire> wire = CreateKvPlatform();
  const std::string good = R"({"key":"magnolia/member/a","revision":5,"lease":3,"value":"AAA="})";
  for (const std::string& odd : OddEntries()) {
    INFO(odd.substr(0, 80));
    const std::string list = Cat("[", good, ",", odd, ",", good, "]");
    const auto page = wire->ParseRange(Answer(Cat(R"({"items":)", list, R"(,"current_rev":9,"more_pages":false})")));
    REQUIRE(page.ok());
    CHECK(page->range.kvs.size() + page->range.unreadable == 3);
    CHECK(page->range.kvs.front().key == "magnolia/member/a");
    CHECK(page->range.kvs.back().key == "magnolia/member/a");
    const auto batch = wire->ParseWatch(Answer(Cat(R"({"events":)", list, R"(,"current_rev":9})")));
    REQUIRE(batch.ok());
    CHECK(batch->revision == 9);
    CHECK(batch->events.size() + batch->unreadable == 3);
  }
  SECTION("an answer that is odd as a whole is an error") {
    CHECK_FALSE(wire->ParseWatch(Answer(Nested(kDeep))).ok());
    CHECK_FALSE(wire->ParseWatch(Answer(std::string(1 << 20, '['))).ok());
    CHECK_FALSE(wire->ParseWatch(Answer(R"({"events":[],"current_rev":1e30})")).ok());
    CHECK_FALSE(wire->ParseRange(Answer("\xff\xfe{")).ok());
  }
}

// The replica of a node that follows the store.
class Follower {
 public:
  Follower()
      : m_wire(CreateKvPlatform()),
        view(*m_wire, [this](const std::string& key, const absl::Status&) { unreadable.push_back(key); }) {}
  void Put(const std::string& key, const std::string& value) {
    StoreEvent event;
    event.kv.key = key;
    event.kv.value = value;
    event.kv.mod_revision = ++revision;
    view.Apply(event);
  }
  void PutMember(const std::string& key_node, const std::string& node, const std::string& ip, std::uint32_t port) {
    proto::MeshMember member;
    member.set_node(node);
    member.set_ip(ip);
    member.set_peer_port(port);
    Put(MemberKey(key_node), member.SerializeAsString());
  }

 private:
  std::unique_ptr<MeshWire> m_wire;

 public:
  std::int64_t revision = 0;
  std::vector<std::string> unreadable;
  MeshView view;
};

TEST_CASE("an odd member record is skipped alone") {
  Follower follower;
  follower.PutMember("a", "a", "10.1.0.1", 7660);
  SECTION("a port out of range") {
    follower.PutMember("b", "b", "10.1.0.2", 70000);
  }
  SECTION("no port") {
    follower.PutMember("b", "b", "10.1.0.2", 0);
  }
  SECTION("an address that is none") {
    follower.PutMember("b", "b", "nowhere", 7660);
  }
  SECTION("another node's name") {
    follower.PutMember("b", "a", "10.1.0.2", 7660);
  }
  SECTION("text of another format") {
    follower.Put(MemberKey("b"), Nested(kDeep));
  }
  SECTION("a megabyte of bytes") {
    follower.Put(MemberKey("b"), std::string(1 << 20, '\xff'));
  }
  SECTION("a valid record that becomes odd") {
    follower.PutMember("b", "b", "10.1.0.2", 7661);
    REQUIRE(follower.view.FindMember("b") != nullptr);
    follower.PutMember("b", "b", "10.1.0.2", std::numeric_limits<std::uint32_t>::max());
  }
  CHECK(follower.unreadable == std::vector<std::string>{MemberKey("b")});
  CHECK(follower.view.FindMember("b") == nullptr);
  CHECK(follower.view.Members().size() == 1);
  follower.PutMember("c", "c", "10.1.0.3", 7660);
  CHECK(follower.view.FindMember("c") != nullptr);
}

// Guards against key tables that no plan can replace, because the condition names the revision of an earlier record.
TEST_CASE("an odd key table leaves the last valid one in use until it is replaced") {
  Follower follower;
  proto::KeyTable table;
  proto::KeyRange* range = table.add_ranges();
  range->set_last(kMaxKey);
  range->mutable_owner()->set_node("a");
  range->set_fence(4);
  table.set_last_fence(4);
  follower.Put(TableKey("desk"), PackTable(table));
  SECTION("text of another format") {
    follower.Put(TableKey("desk"), Nested(kDeep));
  }
  SECTION("keys beyond the key space") {
    range->set_last(std::numeric_limits<std::uint32_t>::max());
    follower.Put(TableKey("desk"), PackTable(table));
  }
  const TableState* state = follower.view.Table("desk");
  REQUIRE(state != nullptr);
  CHECK(state->unreadable);
  CHECK(state->revision == follower.revision);
  CHECK(state->table.last_fence() == 4);
  CHECK(state->Find(100) != nullptr);
  range->set_last(kMaxKey);
  follower.Put(TableKey("desk"), PackTable(table));
  CHECK_FALSE(follower.view.Table("desk")->unreadable);
}

TEST_CASE("odd numbers in configurations and heartbeats are errors") {
  const std::unique_ptr<MeshWire> wire = CreateKvPlatform();
  const auto heartbeat = [&](const std::string& slots, const std::string& sequence, const std::string& cold) {
    HttpMessage call;
    call.method = "PUT";
    call.target = "/api/instances/i-1";
    call.body = Cat(
        R"({"address":"10.1.0.5:8403","born":1700000000123,"info":{"service":"desk","zone":"z","version":"v",)",
        R"("slots":)", slots, R"(},"status":{"state":"ready","seq":)", sequence, R"(,"warmup_left_ms":)", cold, "}}");
    return wire->ParseTargetCall(call);
  };
  REQUIRE(heartbeat("5", "1", "0").ok());
  CHECK_FALSE(heartbeat("-1", "1", "0").ok());
  CHECK_FALSE(heartbeat("4294967296", "1", "0").ok());
  CHECK_FALSE(heartbeat("5.5", "1", "0").ok());
  CHECK_FALSE(heartbeat(Nested(kDeep), "1", "0").ok());
  CHECK_FALSE(heartbeat("5", "-1", "0").ok());
  CHECK_FALSE(heartbeat("5", "1", "true").ok());
  SECTION("a time beyond all limits is reduced") {
    const auto call = heartbeat("5", "1", "1e300");
    REQUIRE(call.ok());
    CHECK(call->heartbeat.cold_left > std::chrono::hours(1));
    CHECK(BootClock::now() + call->heartbeat.cold_left > BootClock::now());
  }
  // Guards against the end of the process: the answer repeated the unreadable bytes, and its serialization threw
  // (review/2).
  SECTION("a heartbeat that is not valid UTF-8 gets an answer") {
    HttpMessage call;
    call.method = "PUT";
    call.target = "/api/instances/i-1";
    for (const char* body : {"{\"address\":\"\xe9\"", "\xff", "{\"\xc3\":1}", "\xed\xa0\x80"}) {
      call.body = body;
      const auto parsed = wire->ParseTargetCall(call);
      REQUIRE_FALSE(parsed.ok());
      CHECK(wire->TargetCallAnswer(parsed.status()).status == 400);
    }
  }
  SECTION("a configuration that is nested too deep is rejected") {
    CHECK_FALSE(wire->ParseConfig(Nested(kDeep)).ok());
  }
}

// Guards against the end of the next owner's process at each of its grants: one byte of the token was spoilt on its way
// into the key table (review/3).
TEST_CASE("a handover token that is no text is left out") {
  const std::unique_ptr<MeshWire> wire = CreateKvPlatform();
  for (const std::string& odd : {std::string("5c0e7a21\xe9"), std::string("a b"), std::string("\x7f"),
                                 std::string("a\0b", 3), std::string(4096, 'a')}) {
    HttpMessage released = Answer("");
    released.headers = {{"Handover", odd}};
    CHECK(wire->HandoverToken(released).empty());
    const HttpMessage call = wire->GrantCall(KeyGrant{0, 9, 4, std::chrono::seconds(1), odd}, "10.1.0.5:8403");
    CHECK(call.body.find("handover") == std::string::npos);
  }
  HttpMessage released = Answer("");
  released.headers = {{"Handover", "5c0e7a21d94b36f8"}};
  const std::string token = wire->HandoverToken(released);
  CHECK(token == "5c0e7a21d94b36f8");
  const HttpMessage call = wire->GrantCall(KeyGrant{0, 9, 4, std::chrono::seconds(1), token}, "10.1.0.5:8403");
  CHECK(call.body.find(token) != std::string::npos);
}

}  // namespace
}  // namespace magnoliaarch
