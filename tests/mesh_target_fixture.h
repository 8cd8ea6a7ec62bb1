// Fixture for MeshTarget: the test simulates the rest of the node. The target records its calls, or writes the bytes
// that the test chooses.

#ifndef MAGNOLIAARCH_TESTS_MESH_TARGET_FIXTURE_H_
#define MAGNOLIAARCH_TESTS_MESH_TARGET_FIXTURE_H_

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "kv_platform.h"
#include "mesh_target_p.h"
#include "mesh_util.h"
#include "raw_target.h"

namespace magnoliaarch {

// A target on loopback that records calls and requests and answers as the test demands.
class FakeTarget {
 public:
  explicit FakeTarget(asio::io_context& context)
      : m_server(std::make_unique<Http1Server>(
            context,
            Http1ServerOptions{"127.0.0.1", 0},
            [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); },
            [](Http1Parser::Error) {
              HttpMessage answer;
              answer.status = 400;
              return answer;
            })) {
    REQUIRE(m_server->Start().ok());
  }
  std::uint16_t Port() const { return m_server->Port(); }

  bool answer_grants = true;
  bool answer_releases = true;
  int grant_status = 200;
  std::string
      stale_answer_id;  // id of an earlier request, whose late answer is sent instead of the answers to key calls
  std::string next_rejection_status;                            // status with which the next request is rejected
  std::vector<std::string> events;                              // "grant FIRST FENCE", "release FIRST FENCE", "run ID"
  std::vector<std::shared_ptr<HttpExchange>> running_requests;  // requests in progress

  // Refuses new connections; open ones stay.
  void StopListening() { m_server->StopAccepting(); }
  // Closes the connections that have no request in progress.
  void CloseIdle() { m_server->Drain(); }
  int Count(const std::string& prefix) const {
    return static_cast<int>(std::count_if(events.begin(), events.end(),
                                          [&](const std::string& event) { return event.starts_with(prefix); }));
  }
  // Closes the port and all connections, like a crash of the process.
  void Crash() { m_server.reset(); }
  // Answers a release that has had no answer, by the order of arrival from 0.
  void AnswerRelease(std::size_t index) {
    HttpMessage answer;
    answer.status = 200;
    answer.headers = {{"Handover", "token" + std::to_string(index)}};
    m_releases.at(index)->Respond(std::move(answer));
  }
  void AnswerAll() {
    for (const auto& exchange : std::exchange(running_requests, {})) {
      HttpMessage answer;
      answer.status = 200;
      answer.headers = {{"Request-Id", *exchange->request.Find("Request-Id")}, {"Response-Signature", "s"}};
      answer.body = "body";
      exchange->Respond(std::move(answer));
    }
  }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    HttpMessage answer;
    answer.status = 200;
    const std::string& target = exchange->request.target;
    if (target == "/api/grant" || target == "/api/release") {
      const auto body = nlohmann::json::parse(exchange->request.body);
      const bool grant = target == "/api/grant";
      events.push_back((grant ? "grant " : "release ") + std::to_string(body["from"].get<int>()) + " " +
                       std::to_string(body["fence"].get<int>()));
      m_unanswered.push_back(exchange);
      if (!grant) {
        m_releases.push_back(exchange);
      }
      if (grant ? answer_grants : answer_releases) {
        answer.status = grant ? grant_status : 200;
        answer.headers = {{"Handover", "token"}};
        if (!stale_answer_id.empty()) {
          answer.headers = {{"Request-Id", stale_answer_id}, {"Response-Signature", "s"}};
        }
        exchange->Respond(std::move(answer));
      }
      return;
    }
    const std::string id = *exchange->request.Find("Request-Id");
    if (!next_rejection_status.empty()) {
      answer.status = std::stoi(std::exchange(next_rejection_status, {}));
      answer.headers = {{"Request-Id", id}, {"Not-Executed", "1"}};
      exchange->Respond(std::move(answer));
      return;
    }
    events.push_back("run " + id);
    running_requests.push_back(exchange);
  }

  std::unique_ptr<Http1Server> m_server;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
  std::vector<std::shared_ptr<HttpExchange>> m_releases;
};

inline constexpr const char* kTargetConfig =
    R"({"version":"00000001","services":[{"name":"desk","sharded":true,"warmup_per_s":12,
  "warmup_s":3},{"name":"ledger","warmup_per_s":12,"warmup_s":3}],"virtual_hosts":[]})";

// A MeshTarget and the target process that it calls; the test simulates the rest of the node.
class TargetFixture {
 public:
  // `raw`: uses the RawTarget, whose answers the test writes byte by byte.
  explicit TargetFixture(const std::string& service, bool raw = false)
      : service(service),
        raw(raw),
        target_server(context),
        raw_target(context),
        target_port(raw ? raw_target.Port() : target_server.Port()),
        timers(context),
        wire(CreateKvPlatform()),
        log("test"),
        view(*wire, [](const std::string&, const absl::Status&) {}),
        target(context, timers, *wire, log, Options(), Hooks()) {}

  MeshTargetOptions Options() {
    MeshTargetOptions options;
    options.node = "n1";
    options.ip = "127.0.0.1";
    options.port = target_port;
    options.service = service;
    options.domain = "z1";
    options.bounds = &bounds;
    return options;
  }
  MeshTargetHooks Hooks() {
    MeshTargetHooks hooks;
    hooks.authority_end = [this] { return authority_end.value_or(BootClock::now() + std::chrono::seconds(5)); };
    hooks.view = [this]() -> const MeshView& { return view; };
    hooks.has_left = [this](const std::string& id, std::int64_t start_ms) {
      return has_left ? has_left(id, start_ms) : std::optional<bool>(false);
    };
    hooks.on_released = [this](const CompletedRelease& release) {
      released.emplace_back(release.range.first(), release.handover);
    };
    hooks.on_fences_refused = [this](const std::set<std::uint64_t>& fences) { refused_fences = fences; };
    hooks.on_changed = [this] { ++changes; };
    return hooks;
  }

  void Configure() {
    proto::ViewItem item;
    item.set_key("op/config");
    item.set_value(kTargetConfig);
    item.set_revision(++revision);
    view.Apply(item);
    target.OnViewChanged();
  }
  // Address of the target, also after it has closed its port.
  std::string Address() const { return "127.0.0.1:" + std::to_string(target_port); }
  absl::Status SendHeartbeat(std::int64_t start, std::uint64_t sequence, int cold_ms = 0, bool draining = false) {
    TargetCall call;
    call.id = call.heartbeat.id = "t1";
    call.heartbeat.service = service;
    call.heartbeat.address = Address();
    call.heartbeat.domain = "z1";
    call.heartbeat.start_ms = start;
    call.heartbeat.sequence = sequence;
    call.heartbeat.slots = 6;
    call.heartbeat.cold_left = std::chrono::milliseconds(cold_ms);
    call.heartbeat.draining = draining;
    return target.OnCall(call);
  }
  // Assigns all keys to the target, or plans their move from the target to node n2.
  void AssignAllKeys(std::uint64_t fence, std::int64_t start, bool moves = false) {
    proto::KeyTable table;
    proto::KeyRange* range = table.add_ranges();
    range->set_last(kMaxKey);
    range->mutable_owner()->set_node("n1");
    range->mutable_owner()->set_id("t1");
    range->mutable_owner()->set_start_ms(start);
    range->set_fence(fence);
    table.set_last_fence(fence);
    if (moves) {
      range->mutable_successor()->set_node("n2");
      range->mutable_successor()->set_id("t2");
    }
    proto::ViewItem item;
    item.set_key(TableKey(service));
    item.set_value(PackTable(table));
    item.set_revision(++revision);
    view.Apply(item);
    target.OnViewChanged();
  }
  // Plans moves of all keys from the target: pairs of the last key of each range and its new node, empty for a range
  // that stays.
  void PlanMoves(std::uint64_t fence,
                 std::int64_t start,
                 const std::vector<std::pair<std::uint32_t, std::string>>& moves) {
    proto::KeyTable table;
    std::uint32_t first = 0;
    for (const auto& [last, to] : moves) {
      proto::KeyRange* range = table.add_ranges();
      range->set_first(first);
      range->set_last(last);
      range->mutable_owner()->set_node("n1");
      range->mutable_owner()->set_id("t1");
      range->mutable_owner()->set_start_ms(start);
      range->set_fence(fence);
      if (!to.empty()) {
        range->mutable_successor()->set_node(to);
        range->mutable_successor()->set_id("t-" + to);
      }
      first = last + 1;
    }
    table.set_last_fence(fence);
    proto::ViewItem item;
    item.set_key(TableKey(service));
    item.set_value(PackTable(table));
    item.set_revision(++revision);
    view.Apply(item);
    target.OnViewChanged();
  }
  // The default request id is derived from the ticket.
  void Send(AdmissionTicket ticket, bool idempotent, bool keyed, const std::string& id = "") {
    proto::MeshRequest request;
    request.set_id(id.empty() ? "r" + std::to_string(ticket) : id);
    request.set_service(service);
    request.set_method("GET");
    request.set_path("/x/");
    request.set_route("route");
    request.set_idempotent(idempotent);
    request.set_time_left_ms(1200);
    request.set_objective_left_ms(400);
    if (keyed) {
      request.set_key(7);
    }
    target.Handle(ticket, request, std::make_shared<const std::string>(),
                  [this, ticket](const proto::MeshAnswer& answer, const std::string&) { answers[ticket] = answer; });
  }
  bool WaitUntil(const std::function<bool()>& condition, Duration timeout = kTestTimeout) {
    return RunUntil(
        context,
        [&] {
          const TimePoint now = BootClock::now();
          if (now - ticked > std::chrono::milliseconds(20)) {
            ticked = now;
            target.OnTick(now);
          }
          return condition();
        },
        timeout);
  }

  std::string service;
  bool raw;
  asio::io_context context;
  FakeTarget target_server;
  RawTarget raw_target;
  std::uint16_t target_port;
  TimerQueue timers;
  std::unique_ptr<MeshWire> wire;
  MeshLog log;
  MeshBounds bounds;
  MeshView view;
  std::optional<TimePoint> authority_end;
  std::function<std::optional<bool>(const std::string& id, std::int64_t start_ms)> has_left;  // null: none has
  int changes = 0;
  std::vector<std::pair<std::uint32_t, std::string>> released;
  std::set<std::uint64_t> refused_fences;
  std::map<AdmissionTicket, proto::MeshAnswer> answers;
  std::int64_t revision = 0;
  TimePoint ticked;
  MeshTarget target;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_MESH_TARGET_FIXTURE_H_
