#include "control_plane_p.h"

#include <pthread.h>

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <future>
#include <map>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <log4cplus/loggingmacros.h>

#include "hmac_p.h"
#include "magnoliaarch/assignment.h"
#include "magnoliaarch/dissemination.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/store.h"
#include "overloaded_p.h"
#include "role_duties_p.h"
#include "store_calls_p.h"
#include "store_thread_p.h"

namespace magnoliaarch {
namespace {

// Assigners need a tick at least every 20 ms; everything else tolerates a longer period.
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kStoreRingCapacity = 1024;
constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr Duration kHotKeyReportPeriod = std::chrono::seconds(2);
constexpr double kHotKeyMinRequestsPerSecond = 50;
// Maximum time that a planned stop waits until the member record is marked as gone.
constexpr Duration kResignTimeout = std::chrono::milliseconds(800);

// Lease renewals carry the sender only in their body, because they are the most frequent datagrams and must stay small.
const proto::Incarnation& SenderOf(const proto::PeerMessage& message) {
  if (message.has_renew_request()) {
    return message.renew_request().owner();
  }
  return message.has_renew_reply() ? message.renew_reply().witness() : message.sender();
}

// Source of the last datagram received from a node.
struct LastEndpoint {
  std::uint64_t incarnation = 0;       // of the sender
  std::uint64_t view_incarnation = 0;  // of the node in the view at that time; 0: not in the view
  asio::ip::udp::endpoint endpoint;
};

double ThreadCpuSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

proto::MemberRecord MakeMemberRecord(const ControlPlaneOptions& options) {
  const NodeSettings& settings = options.settings;
  proto::MemberRecord record;
  record.set_node(options.self.node);
  record.set_incarnation(options.self.number);
  record.set_region(settings.region);
  record.set_domain(settings.failure_domain);
  record.set_ip(settings.ip);
  record.set_ingress_port(options.ingress_port);
  record.set_peer_port(options.peer_port);
  record.set_admin_port(options.admin_port);
  if (settings.target.has_value()) {
    record.set_entry(settings.target->entry);
  }
  return record;
}

}  // namespace

class ControlPlane::Impl {
 public:
  Impl(ControlPlaneOptions options,
       ControlPlaneHooks hooks,
       OwnershipGuard* ownership,
       ShareService* shares,
       MetricsRegistry* metrics)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_ownership(ownership),
        m_shares(shares),
        m_metrics(metrics),
        m_logger(log4cplus::Logger::getInstance("control")),
        m_socket(m_context),
        m_timer(m_context),
        m_dissemination(m_options.self, m_options.settings.failure_domain, DisseminationOptions{}),
        m_witness(m_options.self, BootClock::now()),
        m_datagrams_sent(metrics->GetCounter("magnolia_control_datagrams_sent_total", "Control datagrams sent.")),
        m_bytes_sent(metrics->GetCounter("magnolia_control_bytes_sent_total", "Control bytes sent, datagram payload.")),
        m_datagrams_received(
            metrics->GetCounter("magnolia_control_datagrams_received_total", "Control datagrams received.")),
        m_bytes_received(metrics->GetCounter("magnolia_control_bytes_received_total", "Control bytes received.")),
        m_datagrams_rejected(metrics->GetCounter("magnolia_control_datagrams_rejected_total",
                                                 "Datagrams without a valid authentication code.")),
        m_store_failures(metrics->GetCounter("magnolia_store_failures_total", "Calls to the store that failed.")),
        m_cpu_seconds(metrics->GetGauge("magnolia_control_cpu_seconds", "Processor time of the control thread.")),
        m_lease_held(metrics->GetGauge("magnolia_lease_held", "1 while the ownership lease is held.")),
        m_owned_slots(metrics->GetGauge("magnolia_owned_slots", "Slices and isolated keys granted to this node.")),
        m_view_age_seconds(metrics->GetGauge("magnolia_view_age_seconds", "Upper bound of the age of the view.")),
        m_lease_lapses(metrics->GetGauge("magnolia_lease_lapses", "Times the ownership lease lapsed.")) {}

  ~Impl() { Stop(); }

  absl::Status Start() {
    const NodeSettings& settings = m_options.settings;
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(settings.ip, error);
    if (error) {
      return absl::InvalidArgumentError(fmt::format("invalid IP address: {}", settings.ip));
    }
    const asio::ip::udp::endpoint endpoint(address, settings.lease_port);
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
      m_socket.bind(endpoint, error);
    }
    if (error) {
      return absl::UnavailableError(
          fmt::format("cannot bind UDP {}:{}: {}", settings.ip, settings.lease_port, error.message()));
    }
    m_socket.non_blocking(true);
    proto::MemberRecord self = MakeMemberRecord(m_options);
    self.set_lease_port(m_socket.local_endpoint().port());
    m_owner.emplace(std::move(self));
    m_store = std::make_unique<StoreThread>(CreateEtcdStore(settings.store_address, kStoreTimeout), kStoreRingCapacity);
    m_calls = std::make_unique<StoreCalls>(m_context, m_store.get(), m_metrics);
    m_duties = std::make_unique<RoleDuties>(
        m_options.self, m_options.seed, m_calls.get(),
        [this](const std::string& node, proto::PeerMessage message) { Send(node, std::move(message)); }, m_logger);
    Receive();
    asio::post(m_context, [this] {
      Run(m_dissemination.Start(BootClock::now()));
      ScheduleTick();
    });
    m_thread = std::thread([this] {
      pthread_setname_np(pthread_self(), "control");
      m_context.run();
    });
    return absl::OkStatus();
  }

  void OnStreamMessage(proto::PeerMessage message) {
    asio::post(m_context, [this, message = std::move(message)] { Dispatch(message); });
  }

  void RefreshViewFrom(const std::string& node) {
    asio::post(m_context, [this, node] { Run(m_dissemination.RequestUpdate(node, BootClock::now())); });
  }

  bool AcceptsWorkspaceKeys() const { return m_accepts_keys.load(std::memory_order_acquire); }

  ControlStatus Status() {
    std::promise<ControlStatus> promise;
    std::future<ControlStatus> future = promise.get_future();
    asio::post(m_context, [this, &promise] { promise.set_value(CurrentStatus()); });
    return future.get();
  }

  void Drain() {
    asio::post(m_context, [this] {
      LOG4CPLUS_INFO(m_logger, "draining; moving slices to other members");
      RunOwnerActions(m_owner->Handle(MemberStateRequested{proto::MEMBER_STATE_DRAINING}, BootClock::now()));
    });
  }

  bool IsDrained() const { return m_drained.load(std::memory_order_acquire); }

  void Stop() {
    if (!m_thread.joinable()) {
      return;
    }
    const auto resign_done = std::make_shared<std::promise<void>>();
    std::future<void> done = resign_done->get_future();
    asio::post(m_context, [this, resign_done] {
      m_resign_done = resign_done;
      Resign();
      CheckResigned();
    });
    done.wait_for(kResignTimeout);
    m_store->Stop();
    m_context.stop();
    m_thread.join();
    StopWatch();
    for (auto& [watch_id, watch] : m_watches) {
      watch.join();
    }
    m_watches.clear();
  }

 private:
  // ---- Threads and timers ----

  void ScheduleTick() {
    m_timer.expires_after(kTickPeriod);
    m_timer.async_wait([this](asio::error_code error) {
      if (!error) {
        Tick();
        ScheduleTick();
      }
    });
  }

  void Tick() {
    const TimePoint now = BootClock::now();
    Run(m_dissemination.OnTick(now));
    Run(m_witness.Tick(now));
    if (m_view != nullptr) {
      RunOwnerActions(m_owner->Tick(now));
      m_duties->SetStoreOutage(m_dissemination.IsOutage(now), now);
      m_duties->Tick(now);
      SendShareReports(now);
      SendHotKeyReports(now);
    }
    PublishLease();
    if (m_view != nullptr && m_owner->Record().state() == proto::MEMBER_STATE_DRAINING) {
      m_drained.store(m_ownership->IsDrained(m_owner->RecordRevision()) && !IsWitnessInUse(*m_view, m_options.self),
                      std::memory_order_release);
    }
    m_accepts_keys.store(m_dissemination.AcceptsWorkspaceKeys(now), std::memory_order_release);
    m_cpu_seconds.Set(ThreadCpuSeconds());
    m_owned_slots.Set(static_cast<double>(m_ownership->OwnedSlots()));
    m_lease_lapses.Set(static_cast<double>(m_owner->Counters().lapses));
    if (const std::optional<Duration> age = m_dissemination.Age(now)) {
      m_view_age_seconds.Set(std::chrono::duration<double>(*age).count());
    }
  }

  void PublishLease() {
    const TimePoint now = BootClock::now();
    m_ownership->SetLease(m_owner->GuaranteedUntil(), now);
    m_lease_held.Set(m_owner->IsHeld(now) ? 1 : 0);
  }

  void PublishOwnRecord() {
    if (m_owner->RecordRevision() > m_published_revision) {
      m_published_revision = m_owner->RecordRevision();
      Run(m_dissemination.OnOwnRecord(m_owner->Record(), m_published_revision, BootClock::now()));
    }
  }

  // ---- Datagrams ----

  void Receive() {
    m_socket.async_receive_from(asio::buffer(m_receive_buffer), m_receive_endpoint,
                                [this](asio::error_code error, std::size_t bytes) {
                                  if (error == asio::error::operation_aborted) {
                                    return;
                                  }
                                  if (!error) {
                                    OnDatagram(std::string_view(m_receive_buffer.data(), bytes));
                                  }
                                  Receive();
                                });
  }

  void OnDatagram(std::string_view datagram) {
    m_datagrams_received.Add();
    m_bytes_received.Add(datagram.size());
    const absl::StatusOr<std::string> payload = VerifyDatagram(m_options.settings.cluster_secret, datagram);
    proto::PeerMessage message;
    if (!payload.ok() || !message.ParseFromString(*payload)) {
      m_datagrams_rejected.Add();
      return;
    }
    const proto::Incarnation& sender = SenderOf(message);
    m_last_endpoints[sender.node()] = {sender.number(), IncarnationInView(sender.node()), m_receive_endpoint};
    Dispatch(message);
  }

  // Returns 0 if the node is not in the view.
  std::uint64_t IncarnationInView(const std::string& node) const {
    const proto::MemberRecord* member = m_view == nullptr ? nullptr : m_view->FindMember(node);
    return member == nullptr ? 0 : member->incarnation();
  }

  std::optional<asio::ip::udp::endpoint> EndpointOf(const std::string& node) const {
    // A node that has just registered is not in the view yet, and the record of a restarted node holds the port of its
    // previous incarnation until witnesses have answered the new one. Datagrams to such a node go to the source of its
    // last datagram until the view holds a newer record.
    const auto last = m_last_endpoints.find(node);
    const proto::MemberRecord* member = m_view == nullptr ? nullptr : m_view->FindMember(node);
    const bool is_newer_incarnation = member != nullptr && last != m_last_endpoints.end() &&
                                      last->second.view_incarnation == member->incarnation() &&
                                      last->second.incarnation != member->incarnation();
    if (member != nullptr && member->lease_port() != 0 && !is_newer_incarnation) {
      asio::error_code error;
      const asio::ip::address address = asio::ip::make_address(member->ip(), error);
      if (!error) {
        return asio::ip::udp::endpoint(address, static_cast<std::uint16_t>(member->lease_port()));
      }
    }
    return last == m_last_endpoints.end() ? std::nullopt : std::optional(last->second.endpoint);
  }

  void Send(const std::string& node, proto::PeerMessage message) {
    if (!message.has_renew_request() && !message.has_renew_reply()) {
      message.mutable_sender()->set_node(m_options.self.node);
      message.mutable_sender()->set_number(m_options.self.number);
    }
    if (node == m_options.self.node) {
      asio::post(m_context, [this, message = std::move(message)] { Dispatch(message); });
      return;
    }
    const std::optional<asio::ip::udp::endpoint> to = EndpointOf(node);
    if (!to.has_value()) {
      return;
    }
    const std::string datagram = SignDatagram(m_options.settings.cluster_secret, message.SerializeAsString());
    asio::error_code error;
    m_socket.send_to(asio::buffer(datagram), *to, 0, error);
    m_datagrams_sent.Add();
    m_bytes_sent.Add(datagram.size());
  }

  void SendStream(const std::string& node, proto::PeerMessage message) {
    const proto::MemberRecord* member = m_view == nullptr ? nullptr : m_view->FindMember(node);
    if (member == nullptr || !m_hooks.send_stream) {
      return;
    }
    message.mutable_sender()->set_node(m_options.self.node);
    message.mutable_sender()->set_number(m_options.self.number);
    m_bytes_sent.Add(message.ByteSizeLong());
    m_hooks.send_stream(*member, std::move(message));
  }

  // Handles a message from another node according to the type of its body.
  void Dispatch(const proto::PeerMessage& message) {
    const TimePoint now = BootClock::now();
    using Body = proto::PeerMessage;
    switch (message.body_case()) {
      case Body::kRenewRequest:
      case Body::kStopRequest:
      case Body::kLapseQuery:
        Run(m_witness.Handle(DatagramReceived{message}, now));
        break;
      case Body::kRenewReply:
        RunOwnerActions(m_owner->Handle(DatagramReceived{message}, now));
        break;
      case Body::kLapseReport:
      case Body::kStopReply:
      case Body::kReleaseReply:
      case Body::kHotKeyReport:
        m_duties->OnAssignerMessage(message, now);
        break;
      case Body::kReleaseRequest:
        if (std::optional<proto::ReleaseReply> reply = m_ownership->Release(message.release_request())) {
          proto::PeerMessage answer;
          *answer.mutable_release_reply() = *std::move(reply);
          Send(message.sender().node(), std::move(answer));
        }
        break;
      case Body::kShareReport:
        m_duties->OnShareReport(message, now);
        break;
      case Body::kShareGrant:
        m_shares->OnGrant(message.share_grant(), now);
        break;
      case Body::kViewDelta:
      case Body::kViewDigest:
        Run(m_dissemination.OnMessage(message, now));
        break;
      case Body::BODY_NOT_SET:
        break;
    }
  }

  // ---- Actions of the lease owner and the witness ----

  void Run(const LeaseActions& actions) {
    for (const LeaseAction& action : actions) {
      std::visit(Overloaded{
                     [this](const SendDatagram& send) { Send(send.node, send.message); },
                     [this](const ReadMember& read) {
                       m_calls->Read(read, [this](const MemberReadDone& done) {
                         RunOwnerActions(m_owner->Handle(done, BootClock::now()));
                       });
                     },
                     [this](const WriteMember& write) {
                       m_calls->Write(write, [this](const WriteDone& done) {
                         RunOwnerActions(m_owner->Handle(done, BootClock::now()));
                         PublishOwnRecord();
                         CheckResigned();
                       });
                     },
                     [this](const LeaseHeld&) { LOG4CPLUS_INFO(m_logger, "ownership lease acquired"); },
                     [this](const LeaseLost& lost) { OnLeaseLost(lost); },
                 },
                 action);
    }
  }

  // The gate must know about a shortened lease before any message is sent to other nodes.
  void RunOwnerActions(const LeaseActions& actions) {
    PublishLease();
    Run(actions);
  }

  void OnLeaseLost(const LeaseLost& lost) {
    PublishLease();
    if (lost.reason == LeaseLoss::kLapsed) {
      LOG4CPLUS_WARN(m_logger, "ownership lease lapsed");
      return;
    }
    LOG4CPLUS_WARN(m_logger, "this incarnation was fenced; restarting with a new incarnation");
    if (m_hooks.on_fenced) {
      m_hooks.on_fenced();
    }
  }

  // ---- Dissemination ----

  void Run(const DisseminationActions& actions) {
    for (const DisseminationMessage& message : actions.messages) {
      if (message.stream) {
        SendStream(message.to, message.message);
      } else {
        Send(message.to, message.message);
      }
    }
    for (const DisseminationRead& read : actions.reads) {
      DisseminationReadResult refused;
      refused.id = read.id;
      refused.status = absl::UnavailableError("the ring to the store thread is full");
      m_calls->Call<DisseminationReadResult>([read](Store& store) { return RunDisseminationRead(&store, read); },
                                             [this](const DisseminationReadResult& result) {
                                               if (!result.status.ok()) {
                                                 m_store_failures.Add();
                                               }
                                               Run(m_dissemination.OnReadResult(result, BootClock::now()));
                                             },
                                             refused);
    }
    if (actions.stop_watch || actions.start_watch.has_value()) {
      StopWatch();
    }
    if (actions.start_watch.has_value()) {
      StartWatch(*actions.start_watch);
    }
    if (actions.view_changed) {
      OnViewChanged();
    }
  }

  void OnViewChanged() {
    m_view = m_dissemination.Snapshot();
    const TimePoint now = BootClock::now();
    m_ownership->SetView(m_view);
    m_hooks.on_view(m_view);
    RunOwnerActions(m_owner->Handle(ViewChanged{m_view}, now));
    Run(m_witness.Handle(ViewChanged{m_view}, now));
    for (const auto& [key, role] : m_view->Roles()) {
      if (role.record().kind() == kAllocatorRole) {
        m_shares->OnTerm(role.record().name(), role.record().term());
      }
    }
    m_duties->OnView(m_view, now);
  }

  void StartWatch(std::int64_t after_revision) {
    m_watch_stop = std::make_shared<std::atomic<bool>>(false);
    const std::uint64_t watch_id = ++m_watch_id;
    m_watches[watch_id] = std::thread([this, stop = m_watch_stop, watch_id, after_revision] {
      pthread_setname_np(pthread_self(), "watch");
      const std::unique_ptr<Store> store = CreateEtcdStore(m_options.settings.store_address, kStoreTimeout);
      const absl::Status status =
          store->Watch(std::string(kRootPrefix), after_revision, *stop, [this, watch_id](const StoreWatchBatch& batch) {
            asio::post(m_context, [this, watch_id, batch] {
              if (watch_id == m_watch_id) {
                Run(m_dissemination.OnWatchBatch(batch, BootClock::now()));
              }
            });
          });
      asio::post(m_context, [this, watch_id, status] { OnWatchThreadEnded(watch_id, status); });
    });
  }

  void OnWatchThreadEnded(std::uint64_t watch_id, const absl::Status& status) {
    const auto watch = m_watches.find(watch_id);
    watch->second.join();
    m_watches.erase(watch);
    if (watch_id == m_watch_id) {
      Run(m_dissemination.OnWatchEnded(status, BootClock::now()));
    }
  }

  // Requests the running watch to end. Results that it still delivers are ignored.
  void StopWatch() {
    if (m_watch_stop != nullptr) {
      m_watch_stop->store(true);
      ++m_watch_id;
    }
  }

  // ---- Admission shares ----

  void SendShareReports(TimePoint now) {
    for (proto::ShareReport& report : m_shares->Tick(now)) {
      const proto::RoleRecord* role = m_view->FindRole(kAllocatorRole, report.workspace());
      if (role == nullptr) {
        continue;
      }
      proto::PeerMessage message;
      *message.mutable_share_report() = std::move(report);
      Send(role->node(), std::move(message));
    }
  }

  void SendHotKeyReports(TimePoint now) {
    const Duration period = now - m_last_hot_key_report;
    if (period < kHotKeyReportPeriod) {
      return;
    }
    m_last_hot_key_report = now;
    const std::vector<proto::KeyLoad> loads = m_ownership->TakeKeyLoads(period, kHotKeyMinRequestsPerSecond);
    if (loads.empty() || !m_options.settings.target.has_value()) {
      return;
    }
    proto::PeerMessage message;
    proto::HotKeyReport* report = message.mutable_hot_key_report();
    report->set_entry(m_options.settings.target->entry);
    for (const proto::KeyLoad& load : loads) {
      *report->add_keys() = load;
    }
    for (const std::string& node : AssignersOf(*m_view, m_options.self)) {
      Send(node, message);
    }
  }

  // ---- Stop and status ----

  void Resign() {
    const TimePoint now = BootClock::now();
    m_duties->Resign(now);
    if (m_view != nullptr && !m_owner->IsFenced()) {
      RunOwnerActions(m_owner->Handle(MemberStateRequested{proto::MEMBER_STATE_GONE}, now));
    }
  }

  void CheckResigned() {
    const bool gone = m_owner->IsFenced() || m_owner->Record().state() == proto::MEMBER_STATE_GONE;
    if (m_resign_done != nullptr && (gone || !m_owner->IsRegistered())) {
      m_resign_done->set_value();
      m_resign_done.reset();
    }
  }

  ControlStatus CurrentStatus() const {
    const TimePoint now = BootClock::now();
    ControlStatus status;
    status.registered = m_owner->IsRegistered();
    status.lease_held = m_owner->IsHeld(now);
    status.lease_left = m_owner->TimeLeft(now);
    status.accepts_keys = m_dissemination.AcceptsWorkspaceKeys(now);
    status.view_age = m_dissemination.Age(now);
    status.view_revision = m_dissemination.Revision();
    status.is_watcher = m_dissemination.IsWatcher();
    status.domains_reporting_outage = m_dissemination.DomainsReportingOutage(now);
    status.owned_slots = m_ownership->OwnedSlots();
    status.roles = m_duties->Held(now);
    status.takeovers = m_duties->Takeovers();
    return status;
  }

  const ControlPlaneOptions m_options;
  const ControlPlaneHooks m_hooks;
  OwnershipGuard* const m_ownership;
  ShareService* const m_shares;
  MetricsRegistry* const m_metrics;
  log4cplus::Logger m_logger;

  asio::io_context m_context;
  asio::ip::udp::socket m_socket;
  asio::steady_timer m_timer;
  std::array<char, kMaxDatagramBytes> m_receive_buffer{};
  asio::ip::udp::endpoint m_receive_endpoint;
  std::map<std::string, LastEndpoint> m_last_endpoints;

  std::unique_ptr<StoreThread> m_store;
  std::unique_ptr<StoreCalls> m_calls;
  std::unique_ptr<RoleDuties> m_duties;
  std::shared_ptr<std::atomic<bool>> m_watch_stop;
  std::uint64_t m_watch_id = 0;
  std::map<std::uint64_t, std::thread> m_watches;  // by watch id; older watches are stopping

  Dissemination m_dissemination;
  Witness m_witness;
  std::optional<LeaseOwner> m_owner;
  std::int64_t m_published_revision = 0;  // revision of this node's member record last passed to m_dissemination
  std::shared_ptr<const View> m_view;
  TimePoint m_last_hot_key_report;
  std::shared_ptr<std::promise<void>> m_resign_done;  // set during a planned stop
  std::atomic<bool> m_accepts_keys{false};
  std::atomic<bool> m_drained{false};

  Counter& m_datagrams_sent;
  Counter& m_bytes_sent;
  Counter& m_datagrams_received;
  Counter& m_bytes_received;
  Counter& m_datagrams_rejected;
  Counter& m_store_failures;
  Gauge& m_cpu_seconds;
  Gauge& m_lease_held;
  Gauge& m_owned_slots;
  Gauge& m_view_age_seconds;
  Gauge& m_lease_lapses;

  std::thread m_thread;
};

ControlPlane::ControlPlane(ControlPlaneOptions options,
                           ControlPlaneHooks hooks,
                           OwnershipGuard* ownership,
                           ShareService* shares,
                           MetricsRegistry* metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks), ownership, shares, metrics)) {}

ControlPlane::~ControlPlane() = default;

absl::Status ControlPlane::Start() {
  return m_impl->Start();
}

void ControlPlane::OnStreamMessage(proto::PeerMessage message) {
  m_impl->OnStreamMessage(std::move(message));
}

void ControlPlane::RefreshViewFrom(const std::string& node) {
  m_impl->RefreshViewFrom(node);
}

bool ControlPlane::AcceptsWorkspaceKeys() const {
  return m_impl->AcceptsWorkspaceKeys();
}

ControlStatus ControlPlane::Status() {
  return m_impl->Status();
}

void ControlPlane::Drain() {
  m_impl->Drain();
}

bool ControlPlane::IsDrained() const {
  return m_impl->IsDrained();
}

void ControlPlane::Stop() {
  m_impl->Stop();
}

}  // namespace magnoliaarch
