// The records of targets that have left: when a leave counts as recorded, and what a restarted node knows of it.

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

// A store with the calls that the records need.
class RecordStore {
 public:
  explicit RecordStore(asio::io_context& context)
      : m_server(std::make_unique<Http1Server>(
            context,
            Http1ServerOptions{"127.0.0.1", 0},
            [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); },
            nullptr)) {
    REQUIRE(m_server->Start().ok());
  }
  std::uint16_t Port() const { return m_server->Port(); }
  // Loses its items, as a store may that comes back from an older copy.
  void RollBack() {
    ++era;
    m_items.clear();
  }

  bool down = false;
  bool loses_write_answer = false;  // the next write is applied, but its answer is lost
  std::int64_t era = 0;             // 0: not stated
  int writes = 0;
  std::int64_t lease_ms = 0;

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    if (down) {
      Answer(exchange, 503, json::object());
      return;
    }
    const std::string& target = exchange->request.target;
    if (target.starts_with("/api/kv-range")) {
      json items = json::array();
      for (const auto& [key, item] : m_items) {
        items.push_back(item);
      }
      Answer(exchange, 200, {{"items", items}, {"more_pages", false}, {"current_rev", m_revision}});
    } else if (target == "/api/kv-lease") {
      lease_ms = json::parse(exchange->request.body)["ttl_ms"].get<std::int64_t>();
      Answer(exchange, 200, {{"lease", 7}, {"ttl_ms", lease_ms}});
    } else {
      Write(exchange, json::parse(exchange->request.body));
    }
  }
  void Write(const std::shared_ptr<HttpExchange>& exchange, const json& txn) {
    json found = json::array();
    bool holds = true;
    for (const json& condition : txn["precondition"]) {
      const auto item = m_items.find(condition["key"].get<std::string>());
      holds = holds && condition["revision"] == (item == m_items.end() ? 0 : item->second["revision"].get<int>());
      if (item != m_items.end()) {
        found.push_back(item->second);
      }
    }
    if (!holds) {
      Answer(exchange, 412, {{"items", found}});
      return;
    }
    ++writes;
    ++m_revision;
    for (json item : txn["writes"]) {
      item["revision"] = item["created"] = m_revision;
      m_items[item["key"].get<std::string>()] = item;
    }
    if (std::exchange(loses_write_answer, false)) {
      m_unanswered.push_back(exchange);
    } else {
      Answer(exchange, 200, {{"revision", m_revision}});
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

  std::map<std::string, json> m_items;
  int m_revision = 3;
  std::unique_ptr<Http1Server> m_server;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

// The part of a node process that keeps the records.
class RecordingProcess {
 public:
  RecordingProcess(asio::io_context& context, const RecordStore& kv)
      : m_context(context),
        m_timers(context),
        m_wire(CreateKvPlatform()),
        m_log("n1"),
        store(context,
              HttpClientOptions{"127.0.0.1", kv.Port(), 2},
              *m_wire,
              m_log,
              [](const HttpMessage&, Duration, const HttpClient::Done&) { return false; }),
        records(m_timers, store, m_log, "n1", [this] { known = true; }) {}

  void Leave(const std::string& id, std::int64_t start_ms) {
    proto::TargetLife life;
    life.set_id(id);
    life.set_start_ms(start_ms);
    records.Record(life, [this](const absl::Status& status) { results.push_back(status); });
  }
  bool WaitForResults(std::size_t count) {
    return RunUntil(m_context, [&] { return results.size() >= count; });
  }
  bool WaitUntilKnown() {
    records.Read();
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
  DepartureRecords records;
};

// Guards against requests at a target that has left: what only the memory of its node held was lost with a restart, and
// a late heartbeat brought the target back (review/7).
TEST_CASE("a recorded leave outlasts the process that recorded it") {
  asio::io_context context;
  RecordStore kv(context);
  RecordingProcess first(context, kv);
  RecordingProcess second(context, kv);

  SECTION("a process knows of no leave, nor that there was none, until it has read the records") {
    CHECK_FALSE(second.records.HasLeft("t1", 100).has_value());
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.records.HasLeft("t1", 100) == false);
  }
  SECTION("the next process knows the life that has left, and no other") {
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(1));
    CHECK(first.results[0].ok());
    CHECK(kv.lease_ms == 600000);
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.records.HasLeft("t1", 100) == true);
    CHECK(second.records.HasLeft("t1", 101) == false);
    CHECK(second.records.HasLeft("t2", 100) == false);
  }
  SECTION("a leave that is recorded is not written again") {
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(1));
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(2));
    CHECK(kv.writes == 1);
  }
  SECTION("the leaves of several targets, and of later lives, are all kept") {
    first.Leave("t1", 100);
    first.Leave("t2", 150);
    first.Leave("t1", 200);
    first.Leave("t1", 100);
    REQUIRE(first.WaitForResults(4));
    REQUIRE(second.WaitUntilKnown());
    CHECK(second.records.HasLeft("t1", 200) == true);
    CHECK(second.records.HasLeft("t2", 150) == true);
  }
}

TEST_CASE("a leave counts as recorded only when the store holds it") {
  asio::io_context context;
  RecordStore kv(context);
  RecordingProcess process(context, kv);
  REQUIRE(process.WaitUntilKnown());

  SECTION("without the store it is refused at once, has effect in the process, and is written later") {
    kv.down = true;
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(1));
    CHECK(absl::IsUnavailable(process.results[0]));
    CHECK(process.records.HasLeft("t1", 100) == true);
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
  // Guards against leaves that are never acknowledged because a write contains a key that the store refuses.
  SECTION("an id that cannot be part of a key is refused, and other records are written") {
    process.Leave(std::string(200, 'x'), 100);
    process.Leave("t\xff", 100);
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(3));
    CHECK(absl::IsInvalidArgument(process.results[0]));
    CHECK(absl::IsInvalidArgument(process.results[1]));
    CHECK(process.results[2].ok());
  }
  SECTION("a record that the store has lost with an older copy is written again") {
    process.Leave("t1", 100);
    REQUIRE(process.WaitForResults(1));
    kv.RollBack();
    process.store.NoteEra(kv.era);
    process.records.OnTick();
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

  // Guards against requests at a target that left before its first heartbeat had arrived (mesh_soak.py --leaves --seed
  // 10).
  SECTION("the leave of a target that the node does not know binds each life that has started until now") {
    CHECK(start_of(leave) == 1000);
    REQUIRE(node.SendHeartbeat(5, 1).ok());
    leave.id = "t9";
    REQUIRE(node.target.OnCall(leave).ok());
    CHECK_FALSE(node.target.Report(BootClock::now()).leaving());
    CHECK(start_of(leave) == 1000);
  }
  SECTION("the leave of the known target binds its life") {
    REQUIRE(node.SendHeartbeat(5, 1).ok());
    REQUIRE(node.target.OnCall(leave).ok());
    CHECK(start_of(leave) == 5);
    SECTION("unless that has left before, so that the leave may be that of its next life") {
      node.has_left = [](const std::string& /*id*/, std::int64_t start_ms) { return start_ms <= 5; };
      CHECK(start_of(leave) == 1000);
    }
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
