#include "node_p.h"

#include <atomic>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/strip.h"
#include "control_plane_p.h"
#include "data_plane_p.h"
#include "hmac_p.h"
#include "http_ingress_p.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/workspace_keys.h"
#include "ownership_guard_p.h"
#include "share_service_p.h"

namespace magnoliaarch {
namespace {

// Longest wait for the slices to move away in a planned stop.
constexpr Duration kDrainGrace = std::chrono::seconds(20);
// Other nodes stop choosing a draining member within this time, so that balanced requests are not cut either.
constexpr Duration kDrainNotice = std::chrono::milliseconds(1500);
constexpr Duration kAnswerGrace = std::chrono::seconds(10);
constexpr Duration kPollPeriod = std::chrono::milliseconds(20);
constexpr Duration kStreamMessageTimeout = std::chrono::seconds(2);
constexpr std::size_t kAdminConnections = 64;

Response PlainAnswer(RequestId id, int status, std::string content_type, std::string body) {
  Response response;
  response.id = id;
  response.status = status;
  response.run_state = RunState::kRan;
  response.headers.push_back(Header{"Content-Type", std::move(content_type)});
  response.body = std::move(body);
  return response;
}

}  // namespace

std::string AdminToken(std::string_view cluster_secret) {
  return absl::BytesToHexString(HmacSha256(cluster_secret, "magnolia admin port"));
}

class Node::Impl {
 public:
  Impl(NodeSettings settings, std::uint64_t incarnation)
      : m_settings(std::move(settings)),
        m_self{m_settings.name, incarnation},
        m_logger(log4cplus::Logger::getInstance("node")),
        m_view(std::make_shared<const View>()),
        m_keys(WorkspaceKeyIndex::Build(*m_view, nullptr)),
        m_ownership(m_self, m_settings.target.has_value() ? m_settings.target->entry : std::string()),
        m_shares(m_self),
        m_data(DataOptions(), DataHooks()),
        m_admin(AdminOptions(), [this](HttpRequest request, Responder respond) { OnAdmin(request, respond); }) {}

  absl::Status Start() {
    absl::Status status = m_data.Start();
    if (status.ok()) {
      status = m_admin.Start();
    }
    if (!status.ok()) {
      return status;
    }
    ControlPlaneOptions options;
    options.settings = m_settings;
    options.self = m_self;
    options.ingress_port = m_data.IngressPort();
    options.peer_port = m_data.PeerPort();
    options.admin_port = m_admin.Port();
    options.seed = m_self.number;
    auto control = std::make_unique<ControlPlane>(options, ControlHooks(), &m_ownership, &m_shares, &m_metrics);
    status = control->Start();
    if (!status.ok()) {
      return status;
    }
    m_control_owner = std::move(control);
    m_control.store(m_control_owner.get(), std::memory_order_release);
    LOG4CPLUS_INFO(m_logger, "started incarnation " << m_self.number << " ingress " << options.ingress_port << " peer "
                                                    << options.peer_port << " admin " << options.admin_port);
    return absl::OkStatus();
  }

  NodePorts Ports() const { return NodePorts{m_data.IngressPort(), m_data.PeerPort(), m_admin.Port()}; }

  bool IsFenced() const { return m_fenced.load(std::memory_order_acquire); }

  bool StopRequested() const { return m_stop_requested.load(std::memory_order_acquire); }

  bool StopGracefully() {
    LOG4CPLUS_INFO(m_logger, "planned stop: moving slices away");
    const TimePoint start = BootClock::now();
    m_control_owner->Drain();
    while (!IsFenced() && !IsStopDue(BootClock::now() - start)) {
      std::this_thread::sleep_for(kPollPeriod);
    }
    return Stop();
  }

  bool Stop() {
    const bool complete = m_data.Stop(kAnswerGrace);
    ControlPlane* control = m_control.exchange(nullptr);
    if (control != nullptr) {
      control->Stop();
    }
    m_admin.Stop(kAnswerGrace);
    LOG4CPLUS_INFO(m_logger, (complete ? "stopped, every request was answered" : "stopped, requests were cut"));
    return complete;
  }

 private:
  // Whether a planned stop may go on after this time: the slices have moved, and no owner needs this node as a witness.
  bool IsStopDue(Duration waited) const {
    if (waited < kDrainNotice) {
      return false;
    }
    const bool moved = m_ownership.OwnedSlots() == 0;
    return m_control_owner->IsDrained() || waited > kDrainGrace || (moved && waited > kWitnessLinger);
  }

  DataPlaneOptions DataOptions() const {
    DataPlaneOptions options;
    options.self = m_self;
    options.ingress.ip = m_settings.ip;
    options.ingress.port = m_settings.ingress_port;
    options.ingress.max_header_bytes = m_settings.max_header_bytes;
    options.ingress.max_body_bytes = m_settings.max_body_bytes;
    options.ingress.connections = m_settings.connections;
    options.peer_server.ip = m_settings.ip;
    options.peer_server.port = m_settings.peer_port;
    options.peer_server.secret = m_settings.cluster_secret;
    options.peer_server.self = m_self;
    options.peer_client.secret = m_settings.cluster_secret;
    options.peer_client.self = m_self;
    if (m_settings.target.has_value()) {
      options.entry = m_settings.target->entry;
      options.target.ip = m_settings.target->ip;
      options.target.port = m_settings.target->port;
    }
    options.seed = m_self.number;
    return options;
  }

  HttpIngressOptions AdminOptions() const {
    HttpIngressOptions options;
    options.ip = m_settings.ip;
    options.port = m_settings.admin_port;
    options.connections = kAdminConnections;
    return options;
  }

  DataPlaneHooks DataHooks() {
    DataPlaneHooks hooks;
    hooks.view = [this] { return CurrentView(); };
    hooks.authenticate = [this](const View&, const proto::EntryRecord& entry, std::string_view key) {
      return Authenticate(entry, key);
    };
    hooks.admit = [this](const Request& request, std::function<void(std::optional<ErrorKind>)> done) {
      Admit(request, std::move(done));
    };
    hooks.check_ownership = [this](const Request& request, TimePoint now) { return m_ownership.Check(request, now); };
    hooks.begin_send = [this](const Request& request, TimePoint now) { return m_ownership.BeginSend(request, now); };
    hooks.end_send = [this](RequestId id) { m_ownership.EndSend(id); };
    hooks.lease_generation = [this] { return m_ownership.LeaseGeneration(); };
    hooks.refresh_view = [this](const std::string& entry, SliceHandle slice) { Refresh(entry, slice); };
    hooks.on_message = [this](const proto::PeerMessage& message,
                              const std::function<void(std::optional<proto::PeerMessage>)>& reply) {
      if (ControlPlane* control = m_control.load(std::memory_order_acquire)) {
        control->OnStreamMessage(message);
      }
      reply(std::nullopt);
    };
    hooks.on_answered = [this](const Request& request, const Response& response, Duration latency) {
      CountAnswer(request, response, latency);
    };
    hooks.on_probe = [this](const TargetProbe& probe) {
      m_target_healthy.Set(probe.health_status == 200 ? 1 : 0);
      m_data.ReadGate([this](const GateCounters& counters, int limit, int in_flight) {
        m_gate_limit.Set(limit);
        m_gate_in_flight.Set(in_flight);
        m_gate_limit_drops.Set(static_cast<double>(counters.limit_drops));
        m_gate_refused.Set(static_cast<double>(counters.refused));
      });
    };
    return hooks;
  }

  // Metrics of one kind of answer; kept because a look-up in the registry takes a lock and renders the labels.
  struct AnswerMetrics {
    Counter* count = nullptr;
    Histogram* seconds = nullptr;
  };
  using AnswerKind = std::tuple<std::string, RequestClass, RunState, std::string>;

  // Ingress thread only.
  void CountAnswer(const Request& request, const Response& response, Duration latency) {
    AnswerKind kind(request.entry, request.request_class, response.run_state, response.error_kind);
    auto found = m_answers.find(kind);
    if (found == m_answers.end()) {
      const AnswerMetrics metrics = FindAnswerMetrics(kind);
      found = m_answers.emplace(std::move(kind), metrics).first;
    }
    found->second.count->Add();
    found->second.seconds->Observe(std::chrono::duration<double>(latency).count());
  }

  AnswerMetrics FindAnswerMetrics(const AnswerKind& kind) {
    const auto& [entry, answer_class, run_state, error_kind] = kind;
    const std::string request_class(ToString(answer_class));
    const std::string error = error_kind.empty() ? "none" : error_kind;
    AnswerMetrics metrics;
    metrics.count = &m_metrics.GetCounter("magnolia_answers_total", "Answers given to callers.",
                                          {{"entry", entry},
                                           {"class", request_class},
                                           {"run_state", std::string(ToString(run_state))},
                                           {"error", error}});
    metrics.seconds = &m_metrics.GetHistogram("magnolia_answer_seconds", "Time from a caller's request to its answer.",
                                              {{"entry", entry}, {"class", request_class}});
    return metrics;
  }

  ControlPlaneHooks ControlHooks() {
    ControlPlaneHooks hooks;
    hooks.on_view = [this](std::shared_ptr<const View> view) {
      std::atomic_store(&m_keys, WorkspaceKeyIndex::Build(*view, std::atomic_load(&m_keys)));
      std::atomic_store(&m_view, std::move(view));
      m_data.OnViewChanged();
    };
    hooks.send_stream = [this](const proto::MemberRecord& to, proto::PeerMessage message) {
      const PeerAddress address{to.ip(), static_cast<std::uint16_t>(to.peer_port()),
                                IncarnationId{to.node(), to.incarnation()}};
      m_data.Peers().SendMessage(address, std::move(message), kStreamMessageTimeout, [](const PeerMessageResult&) {});
    };
    hooks.on_fenced = [this] { m_fenced.store(true, std::memory_order_release); };
    return hooks;
  }

  std::shared_ptr<const View> CurrentView() const { return std::atomic_load(&m_view); }

  Authentication Authenticate(const proto::EntryRecord& entry, std::string_view key) const {
    if (entry.open_to_all()) {
      return Authentication{};
    }
    const ControlPlane* control = m_control.load(std::memory_order_acquire);
    if (control == nullptr || !control->AcceptsWorkspaceKeys()) {
      return Authentication{ErrorKind::kStaleView, {}};
    }
    const std::shared_ptr<const WorkspaceKeyIndex> keys = std::atomic_load(&m_keys);
    const KeyCheckResult check = keys->Check(key);
    switch (check.status) {
      case KeyStatus::kUnknown:
        return Authentication{ErrorKind::kUnauthenticated, {}};
      case KeyStatus::kWithdrawn:
        return Authentication{ErrorKind::kKeyWithdrawn, {}};
      case KeyStatus::kValid:
        break;
    }
    Authentication result;
    result.workspace = std::string(check.workspace);
    bool allowed = entry.workspaces().empty();
    for (const std::string& name : entry.workspaces()) {
      allowed = allowed || name == result.workspace;
    }
    if (!allowed) {
      result.refusal = ErrorKind::kForbidden;
    }
    return result;
  }

  // Takes one request from the share of its workspace and from the share of its entry, where these have limits.
  void Admit(const Request& request, std::function<void(std::optional<ErrorKind>)> done) {
    const proto::EntryRecord* entry = CurrentView()->FindEntry(request.entry);
    if (entry != nullptr && entry->rate() != 0) {
      done = [this, name = EntryShareName(request.entry), done = std::move(done)](std::optional<ErrorKind> refusal) {
        if (refusal.has_value()) {
          done(refusal);
        } else {
          m_shares.Admit(name, BootClock::now(), done);
        }
      };
    }
    if (request.workspace.empty()) {
      done(std::nullopt);
    } else {
      m_shares.Admit(request.workspace, BootClock::now(), std::move(done));
    }
  }

  // Asks the node that holds the grant by this view, which knows best what became of it.
  void Refresh(const std::string& entry_name, SliceHandle slice) {
    ControlPlane* control = m_control.load(std::memory_order_acquire);
    const std::shared_ptr<const View> view = CurrentView();
    const auto pack = view->Packs().find(SlicePackKey(entry_name, slice.index));
    if (control == nullptr || pack == view->Packs().end()) {
      return;
    }
    const proto::SlicePack& record = pack->second.record();
    const std::uint32_t offset = slice.index - record.first_slice();
    if (offset < static_cast<std::uint32_t>(record.slices_size())) {
      control->RefreshFrom(record.slices(static_cast<int>(offset)).owner());
    }
  }

  // ---- Admin port ----

  void OnAdmin(const HttpRequest& request, const Responder& respond) {
    const std::string* authorization = request.FindHeader("Authorization");
    const std::string expected = "Bearer " + AdminToken(m_settings.cluster_secret);
    if (authorization == nullptr || !ConstantTimeEquals(*authorization, expected)) {
      respond(MakeRefusal(request.id, ErrorKind::kUnauthenticated, "the admin port needs the admin token"));
      return;
    }
    if (request.method == "GET" && request.target == "/metrics") {
      respond(PlainAnswer(request.id, 200, "text/plain; version=0.0.4", m_metrics.PrometheusText()));
    } else if (request.method == "GET" && request.target == "/healthz") {
      respond(PlainAnswer(request.id, 200, "text/plain", "ok\n"));
    } else if (request.method == "GET" && (request.target == "/readyz" || request.target == "/status")) {
      AnswerStatus(request, respond);
    } else if (request.method == "POST" && request.target == "/stop") {
      m_stop_requested.store(true, std::memory_order_release);
      respond(PlainAnswer(request.id, 202, "text/plain", "stopping\n"));
    } else {
      respond(MakeRefusal(request.id, ErrorKind::kUnknownRoute, "no such admin path"));
    }
  }

  void AnswerStatus(const HttpRequest& request, const Responder& respond) {
    ControlPlane* control = m_control.load(std::memory_order_acquire);
    if (control == nullptr) {
      respond(MakeRefusal(request.id, ErrorKind::kDraining, "the node is starting or stopping"));
      return;
    }
    const ControlStatus status = control->Status();
    const bool ready = status.registered && status.lease_held && status.accepts_keys;
    nlohmann::json json;
    json["node"] = m_self.node;
    json["incarnation"] = m_self.number;
    json["ready"] = ready;
    json["registered"] = status.registered;
    json["lease_held"] = status.lease_held;
    json["lease_left_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(status.lease_left).count();
    json["accepts_keys"] = status.accepts_keys;
    if (status.view_age.has_value()) {
      json["view_age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*status.view_age).count();
    }
    json["view_revision"] = status.view_revision;
    json["watcher"] = status.is_watcher;
    json["domains_reporting_outage"] = status.domains_reporting_outage;
    json["owned_slots"] = status.owned_slots;
    json["roles"] = status.roles;
    json["takeovers"] = status.takeovers;
    const int code = request.target == "/readyz" && !ready ? 503 : 200;
    respond(PlainAnswer(request.id, code, "application/json", json.dump(2) + "\n"));
  }

  const NodeSettings m_settings;
  const IncarnationId m_self;
  log4cplus::Logger m_logger;
  MetricsRegistry m_metrics;
  std::map<AnswerKind, AnswerMetrics> m_answers;
  std::shared_ptr<const View> m_view;               // accessed atomically
  std::shared_ptr<const WorkspaceKeyIndex> m_keys;  // accessed atomically
  Gauge& m_target_healthy =
      m_metrics.GetGauge("magnolia_target_healthy", "1 while the target's health endpoint answers 200; a hint only.");
  Gauge& m_gate_limit = m_metrics.GetGauge("magnolia_gate_limit", "Concurrent requests that the target may receive.");
  Gauge& m_gate_in_flight = m_metrics.GetGauge("magnolia_gate_in_flight", "Requests at the target.");
  Gauge& m_gate_limit_drops =
      m_metrics.GetGauge("magnolia_gate_limit_drops", "Times the limit dropped: cold start, shedding or timeouts.");
  Gauge& m_gate_refused = m_metrics.GetGauge("magnolia_gate_refused", "Requests that the gate refused.");
  std::atomic<bool> m_fenced{false};
  std::atomic<bool> m_stop_requested{false};
  OwnershipGuard m_ownership;
  ShareService m_shares;
  DataPlane m_data;
  HttpIngress m_admin;
  std::unique_ptr<ControlPlane> m_control_owner;
  std::atomic<ControlPlane*> m_control{nullptr};
};

Node::Node(NodeSettings settings, std::uint64_t incarnation)
    : m_impl(std::make_unique<Impl>(std::move(settings), incarnation)) {}

Node::~Node() = default;

absl::Status Node::Start() {
  return m_impl->Start();
}

NodePorts Node::Ports() const {
  return m_impl->Ports();
}

bool Node::IsFenced() const {
  return m_impl->IsFenced();
}

bool Node::StopRequested() const {
  return m_impl->StopRequested();
}

bool Node::StopGracefully() {
  return m_impl->StopGracefully();
}

bool Node::Stop() {
  return m_impl->Stop();
}

}  // namespace magnoliaarch
