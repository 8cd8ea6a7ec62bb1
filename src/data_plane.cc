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

// Larger than the number of caller requests and peer streams that can be in progress, so that results always fit.
constexpr std::size_t kRingCapacity = 1 << 16;
// The request flow repeats an unanswered query before this timeout.
constexpr Duration kQueryTimeout = std::chrono::seconds(20);
constexpr Duration kStopPollPeriod = std::chrono::milliseconds(5);

using Task = std::function<void()>;

}  // namespace

class DataPlane::Impl {
 public:
  Impl(DataPlaneOptions options, DataPlaneHooks hooks)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_ingress_tasks(kRingCapacity, [this] { m_ingress.Post([this] { DrainRing(m_ingress_tasks); }); }),
        m_peer_tasks(kRingCapacity, [this] { asio::post(m_peer_context, [this] { DrainRing(m_peer_tasks); }); }),
        m_flows(m_options.seed, MakeFlowHooks()),
        m_ingress(m_options.ingress,
                  [this](HttpRequest request, Responder respond) {
                    OnCallerRequest(std::move(request), std::move(respond));
                  }),
        m_peer_work(asio::make_work_guard(m_peer_context)),
        m_peer_client(m_peer_context, m_options.peer_client),
        m_peer_server(m_peer_context, m_options.peer_server, MakeServerHooks()) {
    if (!m_options.entry.empty()) {
      m_egress = std::make_unique<Egress>(m_options.target, m_options.gate, m_options.entry, m_options.probe_period,
                                          MakeEgressHooks());
    }
  }

  ~Impl() { Stop(Duration::zero()); }

  absl::Status Start() {
    absl::Status status = m_peer_server.Start();
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
  std::uint16_t PeerPort() const { return m_peer_server.Port(); }
  PeerClient& GetPeerClient() { return m_peer_client; }

  void OnViewChanged() {
    PostToIngress([this] { m_flows.OnViewChanged(); });
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
    m_peer_server.Drain();
  }

  bool Stop(Duration grace) {
    if (m_stopped.exchange(true)) {
      return true;
    }
    const TimePoint end = BootClock::now() + grace;
    Drain();
    bool all_answered = m_ingress.Stop(grace);
    // A request stops counting as in progress when the send of its answer starts. Its connection closes only after the
    // answer is delivered, so wait for the connections as well.
    while ((m_peer_server.InProgress() != 0 || m_peer_server.Connections() != 0) && BootClock::now() < end) {
      std::this_thread::sleep_for(kStopPollPeriod);
    }
    all_answered = all_answered && m_peer_server.InProgress() == 0;
    if (m_egress) {
      m_egress->Stop();
    }
    if (m_peer_thread.joinable()) {
      asio::post(m_peer_context, [this] {
        m_peer_server.Close();
        m_peer_client.Close();
        m_peer_work.reset();
        m_peer_context.stop();
      });
      m_peer_thread.join();
    } else {
      m_peer_server.Close();
      m_peer_client.Close();
    }
    return all_answered;
  }

 private:
  // ---- Rings ----

  static void DrainRing(BoundedRing<Task>& ring) {
    while (std::optional<Task> task = ring.TryPop()) {
      (*task)();
    }
  }

  // A result must not be lost: if the ring is full, the task is posted directly to the thread's event loop. A full ring
  // does not move from the task.
  void PostToIngress(Task task) {
    if (!m_ingress_tasks.TryPush(std::move(task))) {
      m_ingress.Post(std::move(task));  // NOLINT(bugprone-use-after-move)
    }
  }

  void PostToPeer(Task task) {
    if (!m_peer_tasks.TryPush(std::move(task))) {
      asio::post(m_peer_context, std::move(task));  // NOLINT(bugprone-use-after-move)
    }
  }

  // ---- Ingress thread ----

  void OnCallerRequest(HttpRequest http, Responder respond) {
    const RequestId id = http.id;
    const TimePoint received = http.received;
    const std::shared_ptr<const View> view = m_hooks.view();
    if (!view) {
      respond(MakeRefusal(id, ErrorKind::kStaleView, "the node has no view yet"));
      return;
    }
    ClassifiedRequest result = Classify(*view, std::move(http));
    // The key is checked first, so that a caller without a valid key learns nothing else about an existing entry.
    if (result.entry != nullptr && !result.entry->open_to_all()) {
      Authentication authentication = m_hooks.authenticate(*view, *result.entry, result.workspace_key);
      if (authentication.refusal.has_value()) {
        respond(MakeRefusal(id, *authentication.refusal, "the workspace key is not accepted here"));
        return;
      }
      result.request.workspace = std::move(authentication.workspace);
    }
    if (result.refusal.has_value()) {
      respond(MakeRefusal(id, *result.refusal, std::move(result.detail)));
      return;
    }
    auto request = std::make_shared<const Request>(std::move(result.request));
    auto shared = std::make_shared<Responder>(std::move(respond));
    m_hooks.admit(*request, [this, request, received, shared,
                             ingress = std::this_thread::get_id()](std::optional<ErrorKind> refusal) {
      auto on_decision = [this, request, received, shared, refusal] {
        if (refusal.has_value()) {
          (*shared)(MakeRefusal(request->id, *refusal, "not admitted"));
          return;
        }
        m_flows.Start(request, received, std::move(*shared));
      };
      if (std::this_thread::get_id() == ingress) {
        on_decision();
      } else {
        PostToIngress(std::move(on_decision));
      }
    });
  }

  IngressFlowHooks MakeFlowHooks() {
    IngressFlowHooks hooks;
    hooks.view = m_hooks.view;
    hooks.send = [this](std::shared_ptr<const Request> request, std::uint32_t attempt, const Route& route,
                        std::shared_ptr<std::atomic<bool>> sent, std::function<void(AttemptResult)> done) {
      Send(std::move(request), attempt, route, std::move(sent), std::move(done));
    };
    hooks.query = [this](RequestId id, std::uint32_t attempt, const IncarnationId& node,
                         std::function<void(AttemptResult)> done) { Query(id, attempt, node, std::move(done)); };
    hooks.withdraw = [this](RequestId id, std::uint32_t attempt) {
      PostToPeer([this, id, attempt] { m_peer_client.CancelUnsent(id, attempt); });
    };
    hooks.cancel = [this](RequestId id, std::uint32_t attempt, const IncarnationId& node) {
      if (node == m_options.self) {
        if (m_egress) {
          m_egress->OnCancel(id, attempt);
        }
      } else if (const std::optional<PeerAddress> peer = AddressOf(node)) {
        PostToPeer([this, peer = *peer, id, attempt] { m_peer_client.Cancel(peer, id, attempt); });
      }
    };
    hooks.refresh_view = [this](const std::string& entry, SliceHandle slice) { m_hooks.refresh_view(entry, slice); };
    hooks.schedule_tick = [this](TimePoint at) { ScheduleTick(at); };
    hooks.on_answered = m_hooks.on_answered;
    return hooks;
  }

  void ScheduleTick(TimePoint at) {
    if (m_next_tick_at.has_value() && *m_next_tick_at <= at) {
      return;
    }
    m_next_tick_at = at;
    m_ingress.PostAfter(std::max(Duration::zero(), at - BootClock::now()), [this, at] {
      if (m_next_tick_at == at) {
        m_next_tick_at.reset();
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

  // Returns a callback that passes the result of a local call to the ingress thread.
  std::function<void(Response)> MakeLocalReply(std::function<void(AttemptResult)> done) {
    return [this, done = std::move(done)](Response response) {
      PostToIngress([done, response = std::move(response)]() mutable {
        done(AttemptResult{true, std::move(response)});
      });
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
        PostResult(std::move(done), AttemptResult{true, MakeRefusal(id, ErrorKind::kWrongOwner, "no local target")});
        return;
      }
      *sent = true;
      if (!m_egress->OnRequest(std::move(request), attempt, MakeLocalReply(done))) {
        PostResult(std::move(done),
                   AttemptResult{true, MakeRefusal(id, ErrorKind::kOverloaded, "the egress ring is full")});
      }
      return;
    }
    const std::optional<PeerAddress> peer = AddressOf(route.node);
    if (!peer.has_value()) {
      PostResult(std::move(done), AttemptResult{});
      return;
    }
    const bool queued = m_peer_tasks.TryPush(
        [this, peer = *peer, done, call = PeerCall{std::move(request), attempt, route.epoch, sent}]() mutable {
          m_peer_client.Send(peer, std::move(call), MakePeerReply(std::move(done)));
        });
    if (!queued) {
      PostResult(std::move(done), AttemptResult{});
    }
  }

  void Query(RequestId id, std::uint32_t attempt, const IncarnationId& node, std::function<void(AttemptResult)> done) {
    if (node == m_options.self) {
      if (!m_egress || !m_egress->OnQuery(id, attempt, MakeLocalReply(done))) {
        PostResult(std::move(done), AttemptResult{});
      }
      return;
    }
    const std::optional<PeerAddress> peer = AddressOf(node);
    if (!peer.has_value()) {
      PostResult(std::move(done), AttemptResult{});
      return;
    }
    PostToPeer([this, peer = *peer, id, attempt, done = std::move(done)]() mutable {
      m_peer_client.Query(peer, id, attempt, kQueryTimeout, MakePeerReply(std::move(done)));
    });
  }

  std::function<void(PeerResult)> MakePeerReply(std::function<void(AttemptResult)> done) {
    return [this, done = std::move(done)](PeerResult result) {
      PostToIngress([done, result = std::move(result)]() mutable {
        done(AttemptResult{result.outcome == PeerOutcome::kAnswered, std::move(result.response)});
      });
    };
  }

  // Posts the result, because `done` must not run within the call that starts an attempt.
  void PostResult(std::function<void(AttemptResult)> done, AttemptResult result) {
    m_ingress.Post([done = std::move(done), result = std::move(result)]() mutable { done(std::move(result)); });
  }

  // ---- Peer thread ----

  PeerServerHooks MakeServerHooks() {
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
        // If the ring is full, the stream stays open until the caller's deadline or its next query.
        m_egress->OnQuery(id, attempt, std::move(reply));
      };
      hooks.on_cancel = [this](RequestId id, std::uint32_t attempt) { m_egress->OnCancel(id, attempt); };
    }
    hooks.on_message = m_hooks.on_message;
    return hooks;
  }

  EgressHooks MakeEgressHooks() {
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
  BoundedRing<Task> m_ingress_tasks;
  BoundedRing<Task> m_peer_tasks;
  IngressFlows m_flows;                     // ingress thread
  std::optional<TimePoint> m_next_tick_at;  // ingress thread
  std::unique_ptr<Egress> m_egress;
  HttpIngress m_ingress;
  asio::executor_work_guard<asio::io_context::executor_type> m_peer_work;
  PeerClient m_peer_client;
  PeerServer m_peer_server;
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

PeerClient& DataPlane::GetPeerClient() {
  return m_impl->GetPeerClient();
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
