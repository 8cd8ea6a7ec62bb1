#include "data_plane_p.h"

#include <pthread.h>

#include <atomic>
#include <thread>
#include <utility>

#include "classify_p.h"
#include "egress_p.h"
#include "ingress_flows_p.h"
#include "magnoliaarch/ring.h"

namespace magnoliaarch {
namespace {

// Larger than the number of callers and peer streams that can be in progress, so that results always find room.
constexpr std::size_t kRingCapacity = 1 << 16;
// An unanswered query is repeated by the flow after less than this.
constexpr Duration kQueryTimeout = std::chrono::seconds(20);
constexpr Duration kStopPoll = std::chrono::milliseconds(5);

using Task = std::function<void()>;

}  // namespace

class DataPlane::Impl {
 public:
  Impl(DataPlaneOptions options, DataPlaneHooks hooks)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_to_ingress(kRingCapacity, [this] { m_ingress.Post([this] { DrainRing(m_to_ingress); }); }),
        m_to_peer(kRingCapacity, [this] { asio::post(m_peer_context, [this] { DrainRing(m_to_peer); }); }),
        m_flows(m_options.seed, FlowHooks()),
        m_ingress(m_options.ingress,
                  [this](HttpRequest request, Responder respond) { OnCaller(std::move(request), std::move(respond)); }),
        m_peer_work(asio::make_work_guard(m_peer_context)),
        m_client(m_peer_context, m_options.peer_client),
        m_server(m_peer_context, m_options.peer_server, ServerHooks()) {
    if (!m_options.entry.empty()) {
      m_egress = std::make_unique<Egress>(m_options.target, m_options.gate, m_options.entry, m_options.probe_period,
                                          ToEgressHooks());
    }
  }

  ~Impl() { Stop(Duration::zero()); }

  absl::Status Start() {
    absl::Status status = m_server.Start();
    if (status.ok() && m_egress) {
      status = m_egress->Start();
    }
    if (status.ok()) {
      m_peer_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), "peer");
        m_peer_context.run();
      });
      status = m_ingress.Start();
    }
    return status;
  }

  std::uint16_t IngressPort() const { return m_ingress.Port(); }
  std::uint16_t PeerPort() const { return m_server.Port(); }
  PeerClient& Peers() { return m_client; }

  void OnViewChanged() {
    ToIngress([this] { m_flows.OnViewChanged(); });
  }

  void SetTargetDraining(bool draining) {
    if (m_egress) {
      m_egress->SetDraining(draining);
    }
  }

  void ReadGate(std::function<void(const GateCounters&, int, int)> read) {
    if (m_egress) {
      m_egress->ReadCounters(std::move(read));
    }
  }

  void Drain() {
    m_ingress.Drain();
    m_server.Drain();
  }

  bool Stop(Duration grace) {
    if (m_stopped.exchange(true)) {
      return true;
    }
    const TimePoint end = BootClock::now() + grace;
    Drain();
    bool complete = m_ingress.Stop(grace);
    // A request is no longer in progress when its answer begins to leave; its connection closes when the answer is
    // there.
    while ((m_server.InProgress() != 0 || m_server.Connections() != 0) && BootClock::now() < end) {
      std::this_thread::sleep_for(kStopPoll);
    }
    complete = complete && m_server.InProgress() == 0;
    if (m_egress) {
      m_egress->Stop();
    }
    if (m_peer_thread.joinable()) {
      asio::post(m_peer_context, [this] {
        m_server.Close();
        m_client.Close();
        m_peer_work.reset();
        m_peer_context.stop();
      });
      m_peer_thread.join();
    } else {
      m_server.Close();
      m_client.Close();
    }
    return complete;
  }

 private:
  // ---- Rings ----

  static void DrainRing(BoundedRing<Task>& ring) {
    while (std::optional<Task> task = ring.TryPop()) {
      (*task)();
    }
  }

  // A result must not be lost: without room in the ring, which leaves the task untouched, it goes directly to the
  // thread's loop.
  void ToIngress(Task task) {
    if (!m_to_ingress.TryPush(std::move(task))) {
      m_ingress.Post(std::move(task));  // NOLINT(bugprone-use-after-move)
    }
  }

  void ToPeer(Task task) {
    if (!m_to_peer.TryPush(std::move(task))) {
      asio::post(m_peer_context, std::move(task));  // NOLINT(bugprone-use-after-move)
    }
  }

  // ---- Ingress thread ----

  void OnCaller(HttpRequest http, Responder respond) {
    const RequestId id = http.id;
    const TimePoint received = http.received;
    const std::shared_ptr<const View> view = m_hooks.view();
    if (!view) {
      respond(MakeRefusal(id, ErrorKind::kStaleView, "the node has no view yet"));
      return;
    }
    Classified result = Classify(*view, std::move(http));
    // The key is checked before anything else about an existing entry is told.
    if (result.entry != nullptr && !result.entry->open_to_all()) {
      Authentication who = m_hooks.authenticate(*view, *result.entry, result.workspace_key);
      if (who.refusal.has_value()) {
        respond(MakeRefusal(id, *who.refusal, "the workspace key is not accepted here"));
        return;
      }
      result.request.workspace = std::move(who.workspace);
    }
    if (result.refusal.has_value()) {
      respond(MakeRefusal(id, *result.refusal, std::move(result.detail)));
      return;
    }
    auto request = std::make_shared<const Request>(std::move(result.request));
    auto shared = std::make_shared<Responder>(std::move(respond));
    m_hooks.admit(*request, [this, request, received, shared,
                             ingress = std::this_thread::get_id()](std::optional<ErrorKind> refusal) {
      auto admitted = [this, request, received, shared, refusal] {
        if (refusal.has_value()) {
          (*shared)(MakeRefusal(request->id, *refusal, "not admitted"));
          return;
        }
        m_flows.Start(request, received, std::move(*shared));
      };
      if (std::this_thread::get_id() == ingress) {
        admitted();
      } else {
        ToIngress(std::move(admitted));
      }
    });
  }

  IngressFlowHooks FlowHooks() {
    IngressFlowHooks hooks;
    hooks.view = m_hooks.view;
    hooks.send = [this](std::shared_ptr<const Request> request, std::uint32_t attempt, const Route& route,
                        std::shared_ptr<std::atomic<bool>> sent, std::function<void(AttemptResult)> done) {
      Send(std::move(request), attempt, route, std::move(sent), std::move(done));
    };
    hooks.query = [this](RequestId id, std::uint32_t attempt, const IncarnationId& node,
                         std::function<void(AttemptResult)> done) { Query(id, attempt, node, std::move(done)); };
    hooks.withdraw = [this](RequestId id, std::uint32_t attempt) {
      ToPeer([this, id, attempt] { m_client.CancelUnsent(id, attempt); });
    };
    hooks.cancel = [this](RequestId id, std::uint32_t attempt, const IncarnationId& node) {
      if (node == m_options.self) {
        if (m_egress) {
          m_egress->OnCancel(id, attempt);
        }
      } else if (const std::optional<PeerAddress> peer = AddressOf(node)) {
        ToPeer([this, peer = *peer, id, attempt] { m_client.Cancel(peer, id, attempt); });
      }
    };
    hooks.refresh_view = [this](const std::string& entry, SliceHandle slice) { m_hooks.refresh_view(entry, slice); };
    hooks.wake = [this](TimePoint at) { Wake(at); };
    hooks.on_answered = m_hooks.on_answered;
    return hooks;
  }

  void Wake(TimePoint at) {
    if (m_wake_at.has_value() && *m_wake_at <= at) {
      return;
    }
    m_wake_at = at;
    m_ingress.PostAfter(std::max(Duration::zero(), at - BootClock::now()), [this, at] {
      if (m_wake_at == at) {
        m_wake_at.reset();
        m_flows.OnTick();
      }
    });
  }

  std::optional<PeerAddress> AddressOf(const IncarnationId& node) const {
    const std::shared_ptr<const View> view = m_hooks.view();
    const proto::MemberRecord* member = view ? view->FindMember(node.node) : nullptr;
    if (member == nullptr || member->incarnation() != node.number) {
      return std::nullopt;
    }
    return PeerAddress{member->ip(), static_cast<std::uint16_t>(member->peer_port()), node};
  }

  // The result of a local call, on the ingress thread.
  std::function<void(Response)> LocalReply(std::function<void(AttemptResult)> done) {
    return [this, done = std::move(done)](Response response) {
      ToIngress([done, response = std::move(response)]() mutable { done(AttemptResult{true, std::move(response)}); });
    };
  }

  void Send(std::shared_ptr<const Request> request,
            std::uint32_t attempt,
            const Route& route,
            std::shared_ptr<std::atomic<bool>> sent,
            std::function<void(AttemptResult)> done) {
    if (route.node == m_options.self) {
      if (request->epoch != route.epoch) {
        auto copy = std::make_shared<Request>(*request);
        copy->epoch = route.epoch;
        request = std::move(copy);
      }
      const RequestId id = request->id;
      if (!m_egress) {
        Later(std::move(done), AttemptResult{true, MakeRefusal(id, ErrorKind::kWrongOwner, "no local target")});
        return;
      }
      *sent = true;
      if (!m_egress->OnRequest(std::move(request), attempt, LocalReply(done))) {
        Later(std::move(done), AttemptResult{true, MakeRefusal(id, ErrorKind::kOverloaded, "the egress ring is full")});
      }
      return;
    }
    const std::optional<PeerAddress> peer = AddressOf(route.node);
    if (!peer.has_value()) {
      Later(std::move(done), AttemptResult{});
      return;
    }
    const bool queued = m_to_peer.TryPush(
        [this, peer = *peer, done, call = PeerCall{std::move(request), attempt, route.epoch, sent}]() mutable {
          m_client.Send(peer, std::move(call), PeerReply(std::move(done)));
        });
    if (!queued) {
      Later(std::move(done), AttemptResult{});
    }
  }

  void Query(RequestId id, std::uint32_t attempt, const IncarnationId& node, std::function<void(AttemptResult)> done) {
    if (node == m_options.self) {
      if (!m_egress || !m_egress->OnQuery(id, attempt, LocalReply(done))) {
        Later(std::move(done), AttemptResult{});
      }
      return;
    }
    const std::optional<PeerAddress> peer = AddressOf(node);
    if (!peer.has_value()) {
      Later(std::move(done), AttemptResult{});
      return;
    }
    ToPeer([this, peer = *peer, id, attempt, done = std::move(done)]() mutable {
      m_client.Query(peer, id, attempt, kQueryTimeout, PeerReply(std::move(done)));
    });
  }

  std::function<void(PeerResult)> PeerReply(std::function<void(AttemptResult)> done) {
    return [this, done = std::move(done)](PeerResult result) {
      ToIngress([done, result = std::move(result)]() mutable {
        done(AttemptResult{result.outcome == PeerOutcome::kAnswered, std::move(result.response)});
      });
    };
  }

  // Results never arrive within the call that starts an attempt.
  void Later(std::function<void(AttemptResult)> done, AttemptResult result) {
    m_ingress.Post([done = std::move(done), result = std::move(result)]() mutable { done(std::move(result)); });
  }

  // ---- Peer thread ----

  PeerServerHooks ServerHooks() {
    PeerServerHooks hooks;
    if (!m_options.entry.empty()) {
      hooks.on_request = [this](Request request, std::uint32_t attempt, std::function<void(Response)> reply) {
        const RequestId id = request.id;
        if (request.entry != m_options.entry) {
          reply(MakeRefusal(id, ErrorKind::kWrongOwner, "the local target serves another entry"));
        } else if (!m_egress->OnRequest(std::make_shared<const Request>(std::move(request)), attempt, reply)) {
          reply(MakeRefusal(id, ErrorKind::kOverloaded, "the egress ring is full"));
        }
      };
      hooks.on_query = [this](RequestId id, std::uint32_t attempt, std::function<void(Response)> reply) {
        // Without room the stream stays open until the caller's deadline, or until its next query.
        m_egress->OnQuery(id, attempt, std::move(reply));
      };
      hooks.on_cancel = [this](RequestId id, std::uint32_t attempt) { m_egress->OnCancel(id, attempt); };
    }
    hooks.on_message = m_hooks.on_message;
    return hooks;
  }

  EgressHooks ToEgressHooks() {
    EgressHooks hooks;
    hooks.view = m_hooks.view;
    hooks.check_ownership = m_hooks.check_ownership;
    hooks.begin_send = m_hooks.begin_send;
    hooks.end_send = m_hooks.end_send;
    hooks.lease_generation = m_hooks.lease_generation;
    hooks.on_probe = m_hooks.on_probe;
    return hooks;
  }

  const DataPlaneOptions m_options;
  const DataPlaneHooks m_hooks;
  asio::io_context m_peer_context{1};
  BoundedRing<Task> m_to_ingress;
  BoundedRing<Task> m_to_peer;
  IngressFlows m_flows;                // ingress thread
  std::optional<TimePoint> m_wake_at;  // ingress thread
  std::unique_ptr<Egress> m_egress;
  HttpIngress m_ingress;
  asio::executor_work_guard<asio::io_context::executor_type> m_peer_work;
  PeerClient m_client;
  PeerServer m_server;
  std::thread m_peer_thread;
  std::atomic<bool> m_stopped{false};
};

DataPlane::DataPlane(DataPlaneOptions options, DataPlaneHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

DataPlane::~DataPlane() = default;

absl::Status DataPlane::Start() {
  return m_impl->Start();
}

std::uint16_t DataPlane::IngressPort() const {
  return m_impl->IngressPort();
}

std::uint16_t DataPlane::PeerPort() const {
  return m_impl->PeerPort();
}

PeerClient& DataPlane::Peers() {
  return m_impl->Peers();
}

void DataPlane::OnViewChanged() {
  m_impl->OnViewChanged();
}

void DataPlane::SetTargetDraining(bool draining) {
  m_impl->SetTargetDraining(draining);
}

void DataPlane::ReadGate(std::function<void(const GateCounters&, int, int)> read) {
  m_impl->ReadGate(std::move(read));
}

void DataPlane::Drain() {
  m_impl->Drain();
}

bool DataPlane::Stop(Duration grace) {
  return m_impl->Stop(grace);
}

}  // namespace magnoliaarch
