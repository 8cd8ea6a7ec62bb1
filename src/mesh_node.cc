#include "mesh_node_p.h"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include <fmt/format.h>

#include "absl/cleanup/cleanup.h"
#include "http1_p.h"
#include "magnoliaarch/metrics.h"
#include "memory_budget_p.h"
#include "mesh_chain_control_p.h"
#include "mesh_coordinator_p.h"
#include "mesh_departure_p.h"
#include "mesh_domain_control_p.h"
#include "mesh_eras_p.h"
#include "mesh_head_p.h"
#include "mesh_ingress_p.h"
#include "mesh_log_p.h"
#include "mesh_peers_p.h"
#include "mesh_relay_p.h"
#include "mesh_reports_p.h"
#include "mesh_rollout_role_p.h"
#include "mesh_session_p.h"
#include "mesh_status_p.h"
#include "mesh_stop_p.h"
#include "mesh_store_p.h"
#include "mesh_table_writer_p.h"
#include "mesh_target_p.h"
#include "mesh_timer_p.h"
#include "mesh_token_client_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

// Period in which leases, grants and timeouts are checked. Each tick wakes the process up.
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
// When a tick is this late, requests may have been unread for a noticeable time.
constexpr Duration kLateTick = std::chrono::milliseconds(100);
// A tick this late is logged as a stall. To callers and other nodes, a stall looks like a slow network.
constexpr Duration kStallThreshold = std::chrono::milliseconds(200);
constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(2);
constexpr std::size_t kStoreConnections = 8;
// Set in the tickets of requests that this node itself sends to its target. Distinguishes them from requests of other
// nodes, which are identified by their call ids.
constexpr std::uint64_t kLocalTicketBit = std::uint64_t{1} << 63U;

// Connections of callers and from other nodes: the limits, and the parts of the descriptors that they may use.
constexpr std::size_t kMaxCallerConnections = 2000;
constexpr std::size_t kCallerDescriptorPart = 2;
constexpr std::size_t kMaxPeerConnections = 1024;
constexpr std::size_t kPeerDescriptorPart = 4;
// Limits of the readiness, registration and metrics ports, which only the platform, the local target and operators use.
constexpr std::size_t kMaxControlConnections = 64;
constexpr std::size_t kMaxControlBody = 256 << 10;
// Suggested to a caller whose request was refused because there was no memory for it.
constexpr Duration kMemoryRetryAfter = std::chrono::milliseconds(500);

const std::string kRunPath = "/run";

std::int64_t ModificationTimeNs(const std::string& path) {
  struct stat info {};
  return stat(path.c_str(), &info) == 0 ? info.st_mtim.tv_sec * 1'000'000'000LL + info.st_mtim.tv_nsec : 0;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class MeshNode::Impl {
 public:
  Impl(MeshSettings settings, std::string settings_path, std::unique_ptr<MeshWire> wire)
      : m_settings(std::move(settings)),
        m_settings_path(std::move(settings_path)),
        m_wire(std::move(wire)),
        m_incarnation(RandomNumber()),
        m_log(m_settings.node),
        m_timers(m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_tick_timer(m_context),
        m_budget(std::make_shared<MemoryBudget>(MemoryLimitsFor(MemoryBytes()))),
        m_peers(m_context, m_timers, m_settings.peer.ip, m_settings.peer.port, PeerHooks(), PeerLimits()),
        m_store(m_context,
                HttpClientOptions{m_settings.store.ip, m_settings.store.port, kStoreConnections},
                *m_wire,
                m_log,
                [this](const HttpMessage& call, Duration timeout, HttpClient::Done done) {
                  return Relay(call, timeout, std::move(done));
                }),
        m_session(m_timers, m_store, *m_wire, m_log, SelfRecord(), m_settings.bounds.min_lease, SessionHooks()),
        m_departures(m_timers, m_store, m_log, m_settings.node, [this] { m_target.OnViewChanged(); }),
        m_coordinator(m_session, m_log, m_settings.node, m_incarnation, CoordinatorHooks()),
        m_table_writer(m_timers,
                       m_session,
                       m_log,
                       m_settings.service,
                       [this](std::uint64_t release) { return m_target.IsReleaseInForce(release); }),
        m_chain_control(m_log, m_metrics, m_incarnation, ChainHooks()),
        m_target(m_context, m_timers, *m_wire, m_log, TargetOptions(), TargetHooks()),
        m_ingress(m_timers, *m_wire, m_log, m_metrics, IngressOptions(), IngressHooks()),
        m_reports(m_timers, m_peers, m_session, m_coordinator, m_ingress, m_log, [this] { return OwnReport(); }),
        m_rollouts(*m_wire, m_log, m_metrics, m_settings.rollout, RolloutHooks()),
        m_domains(m_settings.domain, m_log, m_metrics, DomainHooks()),
        m_token_service([this]() -> const MeshView& { return m_session.View(); },
                        m_settings.node,
                        [this](TimePoint now) { return now < TokenAuthorityEnd(); }),
        m_token_client(m_context,
                       m_peers,
                       m_session,
                       m_token_service,
                       m_log,
                       m_ingress.Tokens(),
                       [this] { m_ingress.OnTokens(); }),
        m_caller_server(m_context, CallerServerOptions(), CallerHandler(), UnreadableHandler()),
        m_readiness_server(m_context, ServerOptions(m_settings.ready), ReadinessHandler(), UnreadableHandler()),
        m_registration_server(m_context,
                              ServerOptions(m_settings.registration),
                              RegistrationHandler(),
                              UnreadableHandler()),
        m_metrics_server(m_context, ServerOptions(m_settings.metrics), MetricsHandler(), UnreadableHandler()) {
    m_reports.AddExtension(m_chain_control.Extension());
  }

  absl::Status Start() {
    for (Http1Server* server : {&m_caller_server, &m_readiness_server, &m_registration_server, &m_metrics_server}) {
      const absl::Status status = server->Start();
      if (!status.ok()) {
        return status;
      }
    }
    return m_peers.Start();
  }

  int Run() {
    m_log.Write(LogCategory::kState, "started",
                {{"incarnation", std::to_string(m_incarnation)},
                 {"domain", m_settings.domain},
                 {"service", m_settings.service},
                 {"store", fmt::format("{}:{}", m_settings.store.ip, m_settings.store.port)}});
    m_settings_modified_ns = ModificationTimeNs(m_settings_path);
    m_reports.AddExtension(m_rollouts.Reports());
    m_budget->on_evicted = [this](std::size_t bytes) {
      m_log.Write(LogCategory::kFailure, "memory_evicted", {{"bytes", bytes}, {"used", m_budget->CurrentStats().used}});
    };
    m_reports.AddExtension(DomainExtension());
    WaitForSignal();
    m_session.Start();
    m_departures.Read();
    Tick();
    RunEventLoop();
    m_log.Write(LogCategory::kState, "stopped", {{"cut", m_requests_cut}});
    m_log.Flush();
    return 0;
  }

 private:
  // ---- Construction ----

  Http1ServerOptions ServerOptions(const SocketAddress& address) {
    Http1ServerOptions options;
    options.on_error = [this](std::string_view what) { OnUnexpectedError("request", what); };
    options.ip = address.ip;
    options.port = address.port;
    options.max_connections = kMaxControlConnections;
    options.limits.body_bytes = kMaxControlBody;
    return options;
  }

  Http1ServerOptions CallerServerOptions() {
    Http1ServerOptions options = ServerOptions(m_settings.ingress);
    options.max_connections =
        std::min<std::size_t>(kMaxCallerConnections, m_settings.limits.descriptors / kCallerDescriptorPart);
    options.limits = {};
    options.budget = m_budget;
    return options;
  }

  std::size_t MemoryBytes() const { return std::size_t{m_settings.limits.memory_mb} << 20U; }

  MeshPeersLimits PeerLimits() const {
    MeshPeersLimits limits;
    limits.budget = m_budget;
    limits.max_accepted =
        std::min<std::size_t>(kMaxPeerConnections, m_settings.limits.descriptors / kPeerDescriptorPart);
    return limits;
  }

  proto::MeshMember SelfRecord() const {
    proto::MeshMember self;
    self.set_node(m_settings.node);
    self.set_incarnation(m_incarnation);
    self.set_ip(m_settings.peer.ip);
    self.set_peer_port(m_settings.peer.port);
    self.set_domain(m_settings.domain);
    self.set_service(m_settings.service);
    self.set_cpu_milli(static_cast<std::uint32_t>(m_settings.cpu_share * 1000));
    return self;
  }

  MeshTargetOptions TargetOptions() const {
    MeshTargetOptions options;
    options.node = m_settings.node;
    options.ip = m_settings.target.ip;
    options.port = m_settings.target.port;
    options.service = m_settings.service;
    options.domain = m_settings.domain;
    options.bounds = &m_settings.bounds;
    options.load_control = m_settings.load_control;
    options.budget = m_budget;
    return options;
  }

  MeshIngressOptions IngressOptions() const {
    MeshIngressOptions options;
    options.node = m_settings.node;
    options.domain = m_settings.domain;
    options.service = m_settings.service;
    options.bounds = &m_settings.bounds;
    options.domain_preference = m_settings.domain_preference;
    options.seed = m_incarnation;
    return options;
  }

  MeshPeers::Hooks PeerHooks() {
    MeshPeers::Hooks hooks;
    hooks.on_message = [this](std::uint64_t call, H2Message message, MeshPeers::Reply reply) {
      OnPeerMessage(call, std::move(message), std::move(reply));
    };
    hooks.on_abandoned = [this](std::uint64_t call) { m_target.Abandon(call); };
    hooks.on_silent = [this](const PeerSilence& silence) { OnPeerSilent(silence); };
    hooks.on_error = [this](std::string_view what) { OnUnexpectedError("peer", what); };
    return hooks;
  }

  MeshSessionHooks SessionHooks() {
    MeshSessionHooks hooks;
    hooks.on_view = [this] { OnViewChanged(); };
    hooks.on_registered = [this] {
      m_reports.ReportSoon();
      // The store is reached: a target that waits for the records need not wait for the next attempt.
      m_departures.Read();
    };
    return hooks;
  }

  CoordinatorRoleHooks CoordinatorHooks() {
    CoordinatorRoleHooks hooks;
    hooks.push = [this](const proto::MeshMember& to, const proto::MeshPush& push,
                        std::function<void(PushOutcome)> done) { m_reports.Push(to, push, std::move(done)); };
    hooks.restrict_plan = [this](const std::string& service, KeyPlanInput* input) {
      m_rollouts.RestrictPlan(service, input);
    };
    hooks.hints_sharded = [this](const std::string& service) { return m_rollouts.IsSteered(service); };
    return hooks;
  }

  RolloutRoleHooks RolloutHooks() {
    RolloutRoleHooks hooks;
    hooks.view = [this]() -> const MeshView& { return m_session.View(); };
    hooks.is_coordinator = [this] { return m_coordinator.IsCoordinator(); };
    hooks.write = [this](StoreTxn txn, std::function<void(const absl::StatusOr<StoreWrite>&)> done) {
      m_session.Write(std::move(txn), std::move(done));
    };
    hooks.hints = [this]() -> const std::map<std::string, TargetHint>& { return m_ingress.Hints(); };
    hooks.unix_ms = UnixMs;
    return hooks;
  }

  MeshTargetHooks TargetHooks() {
    MeshTargetHooks hooks;
    hooks.authority_end = [this] {
      const TableState* table = m_session.View().Table(m_settings.service);
      return table == nullptr || IsOfEra(table->table, m_session.Era()) ? m_session.AuthorityEnd()
                                                                        : m_session.EarlierAuthorityEnd();
    };
    hooks.is_earlier_fence = [this](std::uint64_t fence) { return EraOfFence(fence) < m_session.Era(); };
    hooks.view = [this]() -> const MeshView& { return m_session.View(); };
    hooks.has_left = [this](const std::string& id, std::int64_t start_ms) {
      return m_departures.HasLeft(id, start_ms);
    };
    hooks.on_released = [this](const CompletedRelease& release) { m_table_writer.CompleteRelease(release); };
    hooks.on_fences_refused = [this](const std::set<std::uint64_t>& fences) {
      m_table_writer.RaiseRefusedFences(LocalTargetLife(), fences);
    };
    hooks.on_changed = [this] { m_reports.ReportSoon(); };
    hooks.admits_version = [this](const std::string& version) {
      return m_rollouts.LocalTargetMayServe(m_settings.service, version);
    };
    hooks.reports_evidence = [this] { return m_rollouts.IsSteered(m_settings.service); };
    m_chain_control.Connect(&hooks);
    return hooks;
  }

  ChainControlHooks ChainHooks() {
    ChainControlHooks hooks;
    hooks.in_force = [this] { return m_chains_controlled; };
    hooks.view = [this]() -> const MeshView& { return m_session.View(); };
    hooks.set_inner_slots = [this](std::uint32_t slots) { m_target.SetInnerSlots(slots); };
    return hooks;
  }

  MeshIngressHooks IngressHooks() {
    MeshIngressHooks hooks;
    hooks.view = [this]() -> const MeshView& { return m_session.View(); };
    hooks.live_nodes = [this] { return std::max<std::size_t>(m_session.View().Members().size(), 1); };
    hooks.send = [this](const std::string& node, const proto::MeshRequest& request,
                        std::shared_ptr<const std::string> body, SendHooks send) {
      m_rollouts.OnSend(request, node);
      return node == m_settings.node ? SendLocally(request, std::move(body), std::move(send.done))
                                     : SendToPeer(node, request, std::move(body), std::move(send));
    };
    hooks.cancel = [this](std::uint64_t send) {
      if ((send & kLocalTicketBit) != 0) {
        m_local_callbacks.erase(send);
        m_target.Abandon(send);
      } else {
        m_peers.Cancel(send);
      }
    };
    hooks.may_lack_configuration = [this] {
      // A watch that works may wait for a change longer than the bound.
      const TimePoint now = BootClock::now();
      return m_session.OperatorAge(now) > m_settings.bounds.config && !m_session.IsOperatorWatchLive(now);
    };
    hooks.request_tokens = [this](std::size_t workspace) { return m_token_client.RequestNow(workspace); };
    hooks.on_admitted = [this](const proto::MeshRequest& request, TimePoint now) {
      m_domains.OnAdmitted(request, now);
    };
    m_chain_control.Connect(&hooks);
    hooks.on_send_ended = [this, count = std::move(hooks.on_send_ended)](const EndedSend& send) {
      count(send);
      m_rollouts.OnSendEnded(send);
      MeasureHop(send);
    };
    if (m_settings.rollout.expose_share == 0) {
      // Spares each choice the calls where roll-outs are off.
      return hooks;
    }
    hooks.admits_target = [this](const proto::MeshRequest& request, const std::string& node) {
      return m_rollouts.AdmitsTarget(request, node);
    };
    hooks.target_cost_factor = [this, by_evidence = std::move(hooks.target_cost_factor)](
                                   const proto::MeshRequest& request, const std::string& node) {
      return m_rollouts.CostFactor(request, node) * by_evidence(request, node);
    };
    return hooks;
  }

  DomainControlHooks DomainHooks() {
    DomainControlHooks hooks;
    hooks.view = [this]() -> const MeshView& { return m_session.View(); };
    hooks.chooser = [this]() -> TargetChooser& { return m_ingress.Chooser(); };
    return hooks;
  }

  ReportExtension DomainExtension() {
    ReportExtension extension;
    extension.fill_report = [this](TimePoint now, proto::MeshReport* report) { m_domains.FillReport(now, report); };
    extension.on_report = [this](TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
      m_domains.OnReport(now, report, reply);
    };
    extension.on_reply = [this](TimePoint now, const proto::MeshReply& reply) { m_domains.OnReply(now, reply); };
    return extension;
  }

  Http1Server::OnParseError UnreadableHandler() {
    return [this](Http1Parser::Error error) {
      switch (error) {
        case Http1Parser::Error::kHeaderTooLarge:
          return m_wire->Refusal(MeshError::kHeaderTooLarge, "", std::nullopt);
        case Http1Parser::Error::kBodyTooLarge:
          return m_wire->Refusal(MeshError::kBodyTooLarge, "", std::nullopt);
        case Http1Parser::Error::kNoMemory:
          m_log.Write(LogCategory::kFailure, "request_refused", {{"reason", "no-memory"}, {"status", 503}});
          return m_wire->Refusal(MeshError::kBusy, "", kMemoryRetryAfter);
        default:
          return m_wire->Refusal(MeshError::kMalformed, "", std::nullopt);
      }
    };
  }

  Http1Server::OnRequest CallerHandler() {
    return [this](const std::shared_ptr<HttpExchange>& exchange) { m_ingress.OnRequest(exchange); };
  }

  Http1Server::OnRequest ReadinessHandler() {
    return [this](const std::shared_ptr<HttpExchange>& exchange) {
      HttpMessage answer;
      answer.status = m_wire->IsReadinessCheck(exchange->request) && IsReady() ? 200 : 503;
      exchange->Respond(std::move(answer));
    };
  }

  Http1Server::OnRequest RegistrationHandler() {
    return [this](const std::shared_ptr<HttpExchange>& exchange) {
      const absl::StatusOr<TargetCall> call = m_wire->ParseTargetCall(exchange->request);
      if (!call.ok()) {
        m_log.Write(LogCategory::kFailure, "registration_unreadable", {{"why", std::string(call.status().message())}});
      }
      const absl::Status status = call.ok() ? m_target.OnCall(*call) : call.status();
      const auto departed = status.ok() ? m_target.DepartureOf(*call, UnixMs()) : std::nullopt;
      if (!departed) {
        exchange->Respond(m_wire->TargetCallAnswer(status));
        return;
      }
      // The leave takes effect at once. Its acknowledgement binds the next run of this node too, so it waits until the
      // store holds its record.
      m_departures.Record(*departed, [this, exchange](const absl::Status& recorded) {
        exchange->Respond(m_wire->TargetCallAnswer(recorded));
      });
    };
  }

  Http1Server::OnRequest MetricsHandler() {
    return [this](const std::shared_ptr<HttpExchange>& exchange) {
      HttpMessage answer;
      answer.status = 200;
      if (exchange->request.target == "/status") {
        answer.body = StatusPage(CurrentStatus(), m_session.View());
        answer.headers.push_back(Header{"Content-Type", "application/json"});
      } else {
        SetGauges(CurrentStatus(), m_session.View(), &m_metrics);
        answer.body = m_metrics.PrometheusText();
        answer.headers.push_back(Header{"Content-Type", "text/plain; version=0.0.4"});
      }
      exchange->Respond(std::move(answer));
    };
  }

  // ---- Requests ----

  std::uint64_t SendLocally(const proto::MeshRequest& request,
                            std::shared_ptr<const std::string> body,
                            std::function<void(SendResult)> done) {
    const std::uint64_t ticket = ++m_last_local_ticket | kLocalTicketBit;
    m_local_callbacks.emplace(ticket, std::move(done));
    m_target.Handle(
        ticket, request, std::move(body), [this, ticket](proto::MeshAnswer answer, std::string answer_body) {
          // The callback must not run inside the send.
          asio::post(
              m_context, [this, ticket, answer = std::move(answer), answer_body = std::move(answer_body)]() mutable {
                auto found = m_local_callbacks.extract(ticket);
                if (!found.empty()) {
                  found.mapped()(SendResult{SendOutcome::kAnswered, std::move(answer), std::move(answer_body), {}});
                }
              });
        });
    return ticket;
  }

  std::uint64_t SendToPeer(const std::string& node,
                           const proto::MeshRequest& request,
                           std::shared_ptr<const std::string> body,
                           SendHooks hooks) {
    const proto::MeshMember* member = m_session.View().FindMember(node);
    const MeshPeerAddress address = member != nullptr ? AddressOf(*member) : MeshPeerAddress{};
    return m_peers.Call(
        address, kRunPath, m_packer.Pack(request), std::move(body), Duration(0),
        [done = std::move(hooks.done)](MeshCallResult result) {
          SendResult sent;
          sent.detail = std::move(result.detail);
          if (result.outcome == MeshCallOutcome::kAnswered && UnpackAnswer(result.answer, &sent.answer)) {
            sent.outcome = SendOutcome::kAnswered;
            sent.body = std::move(result.answer.body);
          } else {
            sent.outcome = result.outcome == MeshCallOutcome::kNotSent ? SendOutcome::kNotSent : SendOutcome::kBroken;
          }
          done(std::move(sent));
        },
        std::move(hooks.silent));
  }

  void MeasureHop(const EndedSend& send) {
    const proto::MeshMember* member = m_session.View().FindMember(send.node);
    if (member != nullptr && send.result.outcome == SendOutcome::kAnswered && send.elapsed > Duration(0) &&
        send.result.answer.outcome() == proto::MESH_ANSWERED) {
      const auto at_target = std::chrono::microseconds(send.result.answer.service_us());
      m_domains.OnAnswer(send.request, member->domain(), send.elapsed - at_target,
                         static_cast<double>(send.request_bytes + send.result.body.size()), send.now);
    }
  }

  void OnPeerMessage(std::uint64_t call, H2Message message, MeshPeers::Reply reply) {
    if (message.path == kRunPath) {
      proto::MeshRequest request;
      if (!UnpackRequest(message, &request)) {
        m_log.Write(LogCategory::kFailure, "peer_request_unreadable", {{"bytes", message.head.size()}});
        reply(m_packer.Pack(UnreadableRequestAnswer()), "");
        return;
      }
      m_target.Handle(call, std::move(request), ShareBody(std::move(message.body), std::move(message.charge)),
                      [this, reply = std::move(reply)](const proto::MeshAnswer& answer, std::string body) {
                        reply(m_packer.Pack(answer), std::move(body));
                      });
    } else if (message.path == kReportPath) {
      reply(m_reports.OnReport(message.head), "");
    } else if (message.path == kTokenPath) {
      proto::TokenCall tokens;
      proto::TokenReply answer;
      if (tokens.ParseFromString(message.head)) {
        answer = m_token_service.OnTokenCall(BootClock::now(), tokens);
      }
      reply(answer.SerializeAsString(), "");
    } else if (message.path == kPushPath) {
      reply(m_reports.OnPush(message.head), "");
    } else if (message.path == kRelayPath) {
      ServeRelayedCall(m_store, message, std::move(reply));
    } else {
      m_log.Write(LogCategory::kFailure, "peer_message_unknown", {{"path", message.path}});
      reply("", "");
    }
  }

  void OnPeerSilent(const PeerSilence& silence) {
    m_log.Write(LogCategory::kFailure, "peer_silent",
                {{"peer", fmt::format("{}:{}", silence.peer.ip, silence.peer.port)},
                 {"accepted", silence.accepted},
                 {"calls", silence.calls},
                 {"quiet_ms", silence.quiet_for}});
    m_metrics
        .GetCounter("magnolia_mesh_peer_silences_total", "Connections between nodes that gave no sign of life in time.",
                    {{"side", silence.accepted ? "accepted" : "opened"}})
        .Add();
  }

  // ---- Replica ----

  void OnViewChanged() {
    if (m_view_change_posted) {
      return;
    }
    // Handles all changes of one iteration of the event loop together.
    m_view_change_posted = true;
    asio::post(m_context, [this] {
      m_view_change_posted = false;
      const auto config = m_session.View().Config();
      if (config != nullptr && config->version != m_config_version) {
        m_config_version = config->version;
        m_chains_controlled = IsChainControlled(m_settings, *config);
        const CallerLimits& limits = config->limits;
        m_caller_server.SetLimits(Http1Parser::Limits{limits.header_bytes, limits.body_bytes}, limits.header_timeout,
                                  limits.idle_timeout);
        if (!FitsAlone(m_budget->Limits(), limits.body_bytes)) {
          m_log.Write(LogCategory::kState, "body_limit_over_memory",
                      {{"body_bytes", limits.body_bytes}, {"budget_bytes", m_budget->Limits().total}});
        }
        ApplyLoadControl(*config);
        m_log.Write(LogCategory::kState, "configured",
                    {{"version", config->version},
                     {"hosts", config->hosts.size()},
                     {"workspaces", config->workspaces.size()},
                     {"chains_controlled", m_chains_controlled},
                     {"revision", m_session.View().Revision()}});
      }
      m_coordinator.OnViewChanged();
      m_rollouts.OnViewChanged();
      m_token_service.OnViewChanged(BootClock::now());
      m_target.OnViewChanged();
      m_ingress.OnViewChanged();
    });
  }

  void ApplyLoadControl(const MeshConfig& config) {
    std::optional<DomainPolicy> policy;
    if (IsDomainControlled(m_settings, config)) {
      policy = m_settings.domain_policy;
    }
    m_ingress.Chooser().SetSampling(IsLoadControlled(m_settings.load_control, config), policy);
    m_domains.SetPolicy(policy);
  }

  proto::MeshReport OwnReport() {
    proto::MeshReport report;
    report.set_node(m_settings.node);
    report.set_incarnation(m_incarnation);
    *report.mutable_target() = m_target.Report(BootClock::now());
    report.set_stopping(m_stop.HasHandedOver());
    return report;
  }

  // ---- Store calls through other nodes ----

  // Uses the same node as long as it reaches the store.
  bool Relay(const HttpMessage& call, Duration timeout, HttpClient::Done done) {
    const proto::MeshMember* member = m_session.View().FindMember(m_relay_node);
    if (member == nullptr) {
      member = m_reports.RandomMember();
    }
    if (member == nullptr) {
      return false;
    }
    m_relay_node = member->node();
    RelayStoreCall(m_peers, AddressOf(*member), call, timeout,
                   [this, node = m_relay_node, done = std::move(done)](HttpResult result) {
                     if (result.outcome != HttpOutcome::kAnswered && m_relay_node == node) {
                       m_relay_node.clear();
                     }
                     done(std::move(result));
                   });
    return true;
  }

  // Until when other nodes certainly take this one for a member, and leave its parts of the workspaces' limits to it.
  TimePoint TokenAuthorityEnd() const { return std::max(m_session.AuthorityEnd(), m_session.EarlierAuthorityEnd()); }

  // ---- Keys ----

  proto::TargetLife LocalTargetLife() {
    const proto::TargetReport report = m_target.Report(BootClock::now());
    proto::TargetLife life;
    life.set_node(m_settings.node);
    life.set_id(report.id());
    life.set_start_ms(report.start_ms());
    return life;
  }

  // ---- Time ----

  // A handler that throws ends only its own work: its connection if it has one.
  void RunEventLoop() {
    while (!m_context.stopped()) {
      try {
        m_context.run();
      } catch (const std::exception& error) {
        OnUnexpectedError("event", error.what());
      }
    }
  }

  void OnUnexpectedError(std::string_view handler, std::string_view what) {
    m_log.Write(LogCategory::kFailure, "unexpected_error", {{"handler", handler}, {"what", what}});
    m_metrics
        .GetCounter("magnolia_mesh_unexpected_errors_total", "Handlers of events that ended with an exception.",
                    {{"handler", std::string(handler)}})
        .Add();
  }

  void Tick() {
    const absl::Cleanup arm = [this] { ArmTick(); };
    const TimePoint now = BootClock::now();
    const Duration since_last = m_last_tick_at == TimePoint() ? Duration(0) : now - m_last_tick_at;
    if (since_last > kStallThreshold) {
      ReportStall(since_last);
    }
    m_session.SetMustWatch(m_coordinator.IsCoordinator());
    m_session.OnTick(now);
    m_departures.OnTick();
    m_coordinator.OnTick(now, m_store.IsReachable(), m_stop.Begun());
    m_chain_control.OnTick(now);
    m_target.OnTick(now);
    m_store.OnTick(now);
    m_peers.OnTick(now);
    m_caller_server.OnMemoryTick(now);
    m_reports.OnTick(now);
    m_rollouts.OnTick(now);
    m_token_client.OnTick(now, TokenAuthorityEnd());
    if (now - m_last_slow_tick_at > std::chrono::milliseconds(500)) {
      m_last_slow_tick_at = now;
      for (Http1Server* server : {&m_caller_server, &m_readiness_server, &m_registration_server, &m_metrics_server}) {
        server->OnTick(now);
      }
      m_log.Flush();
    }
    if (now - m_settings_checked_at > kSettingsCheckPeriod) {
      m_settings_checked_at = now;
      if (ModificationTimeNs(m_settings_path) != m_settings_modified_ns) {
        Reload();
      }
    }
    m_last_tick_at = now;
    if (m_stop.Begun()) {
      AdvanceStop(now, since_last > kLateTick);
    }
  }

  void ArmTick() {
    m_tick_timer.expires_after(kTickPeriod);
    m_tick_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  // The process was not scheduled, or a single task took this long.
  void ReportStall(Duration stalled) {
    m_log.Write(LogCategory::kFailure, "stalled",
                {{"for_ms", stalled}, {"requests", m_ingress.InProgress()}, {"at_target", m_target.InProgress()}});
    m_metrics.GetCounter("magnolia_mesh_stalls_total", "Times in which the event loop did not turn.").Add();
    m_budget->OnStall(BootClock::now());
  }

  void WaitForSignal() {
    m_signals.async_wait([this](const asio::error_code& error, int number) {
      if (error) {
        return;
      }
      const absl::Cleanup wait = [this] { WaitForSignal(); };
      if (number == SIGHUP) {
        Reload();
      } else {
        BeginStop(number);
      }
    });
  }

  // Bounds take effect immediately; addresses and names only after a restart.
  void Reload() {
    m_settings_modified_ns = ModificationTimeNs(m_settings_path);
    const absl::StatusOr<MeshSettings> settings = LoadMeshSettings(m_settings_path);
    if (!settings.ok()) {
      m_log.Write(LogCategory::kState, "reload_refused", {{"why", std::string(settings.status().message())}});
      return;
    }
    m_settings.bounds = settings->bounds;
    m_settings.rollout = settings->rollout;
    m_log.Write(LogCategory::kState, "reloaded", {{"path", m_settings_path}});
  }

  bool IsReady() const {
    return !m_stop.Begun() && m_session.View().Config() != nullptr && !m_session.View().Members().empty();
  }

  // ---- Planned stop ----

  void BeginStop(int signal) {
    if (m_stop.Begun()) {
      return;
    }
    m_stop.Begin(BootClock::now());
    m_log.Write(LogCategory::kState, "stopping",
                {{"signal", signal}, {"requests", m_ingress.InProgress()}, {"at_target", m_target.InProgress()}});
    m_log.Flush();
    m_coordinator.Resign();
  }

  void AdvanceStop(TimePoint now, bool tick_late) {
    StopState state;
    state.tick_late = tick_late;
    state.target_accepts = m_target.Report(now).accepts();
    state.idle = m_ingress.InProgress() == 0 && m_target.InProgress() == 0 && m_caller_server.InProgress() == 0;
    state.store_notified = m_store_notified;
    if (const auto config = m_session.View().Config()) {
      state.longest_work = config->LongestObjective(m_settings.service);
    }
    const StopSteps steps = m_stop.Step(now, m_settings.bounds.stop_grace, state);
    if (steps.drain_callers) {
      m_caller_server.Drain();
    }
    if (steps.refuse_callers) {
      m_ingress.RefuseAll();
    }
    if (steps.hand_over_keys) {
      m_target.SetStopping();
      m_reports.ReportNow(now);
    }
    if (steps.refuse_work) {
      m_target.RefuseNew();
    }
    if (steps.notify_store) {
      m_caller_server.StopAccepting();
      // The lease is not revoked while key grants may depend on it; it expires by itself.
      if (m_target.MayHoldKeys(now)) {
        m_session.StopRenewing();
        m_store_notified = true;
      } else {
        m_session.Leave([this] { m_store_notified = true; });
      }
    }
    if (steps.end) {
      m_requests_cut = m_ingress.InProgress() + m_target.InProgress();
      m_context.stop();
    }
  }

  NodeStatus CurrentStatus() const {
    const TimePoint now = BootClock::now();
    NodeStatus status;
    status.node = m_settings.node;
    status.incarnation = m_incarnation;
    status.ready = IsReady();
    status.is_coordinator = m_coordinator.IsCoordinator();
    status.config_version = m_config_version;
    status.view_age = std::max(m_session.ConfirmedAge(now), Duration(0));
    status.lease_left = std::max(m_session.AuthorityEnd() - now, Duration(0));
    status.store_reachable = m_store.IsReachable();
    status.store_calls = m_store.Calls();
    status.store_relayed = m_store.Relayed();
    status.target_state = m_target.DescribeState(now);
    status.requests_open = m_ingress.InProgress();
    status.target_running = m_target.Queue().Running();
    status.target_queued = m_target.Queue().Queued();
    status.target_service = m_target.Queue().MeanServiceTime();
    status.peer_connections = m_peers.Connections();
    status.store_bytes = m_store.Bytes();
    status.peer_bytes = m_peers.Bytes();
    status.message_bytes = m_peers.MessageBytes();
    status.log_dropped = m_log.Dropped();
    for (const auto& [service, record] : m_session.View().RolloutRecords()) {
      status.rollout_evidence.emplace(service, m_rollouts.EvidenceOf(service));
    }
    status.memory = m_budget->CurrentStats();
    status.memory_total = m_budget->Limits().total;
    status.caller_connections = m_caller_server.Connections();
    return status;
  }

  MeshSettings m_settings;
  const std::string m_settings_path;
  const std::unique_ptr<MeshWire> m_wire;
  const std::uint64_t m_incarnation;
  MeshLog m_log;
  MetricsRegistry m_metrics;
  asio::io_context m_context{1};
  TimerQueue m_timers;
  asio::signal_set m_signals;
  asio::steady_timer m_tick_timer;
  HeadPacker m_packer;
  const std::shared_ptr<MemoryBudget> m_budget;
  MeshPeers m_peers;
  MeshStore m_store;
  MeshSession m_session;
  DepartureRecords m_departures;
  CoordinatorRole m_coordinator;
  TableWriter m_table_writer;
  ChainControl m_chain_control;
  MeshTarget m_target;
  MeshIngress m_ingress;
  ReportExchange m_reports;
  RolloutRole m_rollouts;
  DomainControl m_domains;
  TokenService m_token_service;
  TokenClient m_token_client;
  Http1Server m_caller_server;
  Http1Server m_readiness_server;
  Http1Server m_registration_server;
  Http1Server m_metrics_server;

  std::uint64_t m_last_local_ticket = 0;
  std::unordered_map<std::uint64_t, std::function<void(SendResult)>> m_local_callbacks;
  std::string m_relay_node;  // the node that relayed the last store call
  bool m_view_change_posted = false;
  std::uint64_t m_config_version = 0;
  bool m_chains_controlled = false;
  TimePoint m_last_tick_at;
  TimePoint m_last_slow_tick_at;
  TimePoint m_settings_checked_at;
  std::int64_t m_settings_modified_ns = 0;
  PlannedStop m_stop;
  bool m_store_notified = false;
  std::size_t m_requests_cut = 0;
};

MeshNode::MeshNode(MeshSettings settings, std::string settings_path, std::unique_ptr<MeshWire> wire)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(settings_path), std::move(wire))) {}

MeshNode::~MeshNode() = default;

absl::Status MeshNode::Start() {
  return m_impl->Start();
}

int MeshNode::Run() {
  return m_impl->Run();
}

}  // namespace magnoliaarch
