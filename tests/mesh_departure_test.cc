// The record of the target that has left: when a leave counts as recorded, and what a restarted node knows of it.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "kv_platform.h"
#include "mesh_departure_p.h"
#include "mesh_target_fixture.h"
#include "mesh_util.h"

namespace magnoliaarch {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A store with one key, which is all that a record needs.
class OneKeyStore {
 public:
  explicit OneKeyStore(asio::io_context& context)
      : m_server(std::make_unique<Http1Server>(
            context,
            Http1ServerOptions{"127.0.0.1", 0},
            [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); },
            nullptr)) {
    REQUIRE(m_server->Start().ok());
  }
  std::uint16_t Port() const { return m_server->Port(); }
  // Loses the record, as a store does that comes back from an older copy.
  void RollBack() {
    ++era;
    item = json();
  }

  bool down = false;
  bool loses_write_answer = false;  // the next write is applied, but its answer is lost
  std::int64_t era = 0;             // 0: not stated
  json item;
  int writes = 0;
  std::int64_t lease_ms = 0;

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    if (down) {
      Answer(exchange, 503, json::object());
      return;
    }
    const std::string& target = exchange->request.target;
    const std::int64_t revision = item.is_null() ? 0 : item["revision"].get<std::int64_t>();
    if (target.starts_with("/api/kv-range")) {
      Answer(exchange, 200,
             {{"items", item.is_null() ? json::array() : json::array({item})},
              {"more_pages", false},
              {"current_rev", m_revision}});
    } else if (target == "/api/kv-lease") {
      lease_ms = json::parse(exchange->request.body)["ttl_ms"].get<std::int64_t>();
      Answer(exchange, 200, {{"lease", 7}, {"ttl_ms", lease_ms}});
    } else {
      const json txn = json::parse(exchange->request.body);
      if (txn["precondition"][0]["revision"].get<std::int64_t>() != revision) {
        Answer(exchange, 412, {{"items", item.is_null() ? json::array() : json::array({item})}});
        return;
      }
      ++writes;
      item = txn["writes"][0];
      item["revision"] = ++m_revision;
      item["created"] = m_revision;
      if (std::exchange(loses_write_answer, false)) {
        m_unanswered.push_back(exchange);
      } else {
        Answer(exchange, 200, {{"revision", m_revision}});
      }
    }
  }
  void Answer(const std::shared_ptr<HttpExchange>& exchange, int status, const json& body) const {
    HttpMessage answer;
    answer.status = status;
    answer.body = body.dump();
    if (era > 0) {
      answer.headers.push_back(Header{"Store-Era", std::to_string(era)});
    }
    exchange->Respond(std::move(answer));
  }

  std::int64_t m_revision = 3;
  std::unique_ptr<Http1Server> m_server;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

// The part of a node process that keeps the record.
class RecordingProcess {
 public:
  RecordingProcess(asio::io_context& context, const OneKeyStore& kv)
      : m_context(context),
        m_timers(context),
        m_wire(CreateKvPlatform()),
        m_log("n1"),
        store(context,
              HttpClientOptions{"127.0.0.1", kv.Port(), 2},
              *m_wire,
              m_log,
              [](const HttpMessage&, Duration, const HttpClient::Done&) { return false; }),
        record(m_timers, store, m_log, "n1", [this] { known = true; }) {}

  void Leave(const std::string& id, std::int64_t start_ms) {
    proto::TargetLife life;
    life.set_id(id);
    life.set_start_ms(start_ms);
    record.Record(life, [this](const absl::Status& status) { results.push_back(status); });
  }
  bool WaitForResults(std::size_t count) {
    return RunUntil(m_context, [&] { return results.size() >= count; });
  }
  bool WaitUntilKnown() {
    record.Read();
    return RunUntil(m_context, [&] { return known; });
  }

 private:
  asio::io_context& m_context;
  TimerQueue m_timers;
  std::unique_ptr<MeshWire> m_wire;
  MeshLog m_log;

 public:
  MeshStore store;
  bool known = false;
  std::vector<absl::Status> results;
  DepartureRecord record;
};

// Guards against requests at a target that has left: what only the memory of its node held was lost with a restart, and
// a late heartbeat brought the target back (review/7).
TEST_CASE("a recorded leave outlasts the process that recorded it") {
  asio::io_context context;
  OneKeyStore kv(context);
  RecordingProcess first(context, kv);
  RecordingProcess second(context, kv);

  SECTION("a process knows of no leave, nor that there was none, until it has read the record") {
    CHECK_FALSE(second.record.HasLeft("t1", 100).has_value());
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.record.HasLeft("t1", 100) == false);
  }
  SECTION("the next process knows the life that has left, and no other") {
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(1));
    CHECK(first.results[0].ok());
    CHECK(kv.lease_ms == 600000);
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.record.HasLeft("t1", 100) == true);
    CHECK(second.record.HasLeft("t1", 101) == false);
    CHECK(second.record.HasLeft("t2", 100) == false);
  }
  SECTION("a leave that is recorded is not written again") {
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(1));
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(2));
    CHECK(kv.writes == 1);
  }
  SECTION("the leave of a later life replaces the record") {
    first.Leave("t1", 100);
    first.Leave("t1", 200);
    REQUIRE(first.WaitForResults(2));
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.record.HasLeft("t1", 200) == true);
  }
}

TEST_CASE("a leave counts as recorded only when the store holds it") {
  asio::io_context context;
  OneKeyStore kv(context);
  RecordingProcess process(context, kv);
  REQUIRE(process.WaitUntilKnown());

  SECTION("without the store it is refused at once, has effect in the process, and is written later") {
    kv.down = true;
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(1));
    CHECK(absl::IsUnavailable(process.results[0]));
    CHECK(process.record.HasLeft("t1", 100) == true);
    kv.down = false;
    REQUIRE(RunUntil(context, [&] { return kv.writes == 1; }));
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(2));
    CHECK(process.results[1].ok());
    CHECK(kv.writes == 1);
  }
  // Guards against a second write over the record that the first one has left.
  SECTION("a write whose answer is lost is found") {
    kv.loses_write_answer = true;
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(1));
    CHECK(absl::IsUnavailable(process.results[0]));
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(2));
    CHECK(process.results[1].ok());
    CHECK(kv.writes == 1);
  }
  SECTION("a record that the store has lost with an older copy is written again") {
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(1));
    kv.RollBack();
    process.store.NoteEra(kv.era);
    process.record.OnTick();
    REQUIRE(RunUntil(context, [&] { return kv.writes == 2; }));
  }
}

TEST_CASE("a target that left before its node restarted is not used again") {
  TargetFixture node("ledger");
  std::optional<bool> left;
  node.has_left = [&](const std::string& id, std::int64_t start_ms) {
    return left == true ? std::optional<bool>(id == "t1" && start_ms <= 5) : left;
  };
  node.Configure();
  const auto send = [&](AdmissionTicket ticket) {
    node.Send(ticket, true, false);
    REQUIRE(node.WaitUntil([&] { return node.answers.contains(ticket) || node.target_server.Count("run") > 0; }));
    return node.target_server.Count("run") > 0;
  };
  REQUIRE(node.SendHeartbeat(5, 9).ok());
  CHECK_FALSE(send(1));
  CHECK_FALSE(node.target.Report(BootClock::now()).accepts());

  SECTION("its late heartbeat gets it no requests") {
    left = true;
    node.target.OnViewChanged();
    CHECK_FALSE(send(2));
    CHECK(node.target.Report(BootClock::now()).leaving());
    CHECK(node.target.Report(BootClock::now()).gone());
    SECTION("its next life is used") {
      REQUIRE(node.SendHeartbeat(6, 1).ok());
      CHECK(send(3));
    }
  }
  SECTION("a target that has not left is used as soon as the record is known") {
    left = false;
    node.target.OnViewChanged();
    CHECK(send(2));
  }
}

// Guards against keys without a server: a target left, its node restarted before the keys had moved, and nothing was
// heard of the target any more.
TEST_CASE("the keys of a target that left before its node restarted are reported as free") {
  TargetFixture node("desk");
  node.Configure();
  node.has_left = [](const std::string& id, std::int64_t start_ms) { return id == "t1" && start_ms <= 7; };
  const auto wait_for_earlier_grants = [&] { node.WaitUntil([] { return false; }, milliseconds(2000)); };

  SECTION("once no grant of the node's earlier run can be in force") {
    node.AssignAllKeys(3, 5);
    const TimePoint start = BootClock::now();
    CHECK(node.target.Report(start).id().empty());
    REQUIRE(node.WaitUntil([&] { return node.target.Report(BootClock::now()).gone(); }));
    CHECK(BootClock::now() - start > milliseconds(1500));
    const proto::TargetReport report = node.target.Report(BootClock::now());
    CHECK(report.id() == "t1");
    CHECK(report.start_ms() == 5);
    CHECK(report.leaving());
    CHECK_FALSE(report.accepts());
  }
  SECTION("but not those of a later life, which may only be slow to call") {
    node.AssignAllKeys(3, 8);
    wait_for_earlier_grants();
    CHECK(node.target.Report(BootClock::now()).id().empty());
  }
  SECTION("until a target registers") {
    node.AssignAllKeys(3, 5);
    wait_for_earlier_grants();
    REQUIRE(node.SendHeartbeat(8, 1).ok());
    REQUIRE(node.WaitUntil([&] { return node.target.Report(BootClock::now()).start_ms() == 8; }));
    CHECK_FALSE(node.target.Report(BootClock::now()).gone());
  }
}

TEST_CASE("the life that leaves is told by the call, or by the life that the node knows") {
  TargetFixture node("ledger");
  node.Configure();
  TargetCall leave;
  leave.kind = TargetCall::Kind::kLeave;
  leave.id = "t1";
  const auto start_of = [&](const TargetCall& call) {
    const auto life = node.target.DepartureOf(call, 1000);
    return life ? life->start_ms() : 0;
  };

  SECTION("the leave of a target that the node does not know binds each life that has started until now") {
    CHECK(start_of(leave) == 1000);
  }
  SECTION("the leave of the known target binds its life") {
    REQUIRE(node.SendHeartbeat(5, 1).ok());
    REQUIRE(node.target.OnCall(leave).ok());
    CHECK(start_of(leave) == 5);
  }
  SECTION("the leave of another target binds none") {
    REQUIRE(node.SendHeartbeat(5, 1).ok());
    leave.id = "t9";
    CHECK(start_of(leave) == 0);
  }
  SECTION("a heartbeat binds the life that it comes from, if that drains") {
    TargetCall heartbeat;
    heartbeat.id = heartbeat.heartbeat.id = "t1";
    heartbeat.heartbeat.start_ms = 5;
    REQUIRE(node.SendHeartbeat(5, 1).ok());
    CHECK(start_of(heartbeat) == 0);
    heartbeat.heartbeat.draining = true;
    CHECK(start_of(heartbeat) == 5);
    heartbeat.heartbeat.start_ms = 4;  // an earlier life, whose heartbeat is late
    CHECK(start_of(heartbeat) == 0);
  }
}

}  // namespace
}  // namespace magnoliaarch
