#include "egress_p.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace magnoliaarch {
namespace {

constexpr Duration kViewPollPeriod = std::chrono::milliseconds(50);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

}  // namespace

class Egress::Impl {
 public:
  Impl(TargetClientOptions options, GateOptions gate, std::string entry, Duration probe_period, EgressHooks hooks)
      : m_entry(std::move(entry)),
        m_probe_period(probe_period),
        m_hooks(std::move(hooks)),
        m_gate(gate,
               [this](const Request& request, TimePoint now) {
                 return LeaseVerdict{m_hooks.check_ownership(request, now), Generation(request)};
               }),
        m_client(std::make_unique<TargetClient>(std::move(options), MakeClientHooks())) {}

  absl::Status Start() { return m_client->Start(); }

  bool OnRequest(std::shared_ptr<const Request> request, std::uint32_t attempt, Reply reply) {
    return Post([this, request = std::move(request), attempt, reply = std::move(reply)]() mutable {
      const ReplyTicket ticket = RegisterReply(request->id, attempt, std::move(reply));
      GateActions actions;
      m_gate.OnRequest(BootClock::now(), GateRequest{std::move(request), attempt, ticket}, actions);
      Apply(std::move(actions));
    });
  }

  bool OnQuery(RequestId id, std::uint32_t attempt, Reply reply) {
    return Post([this, id, attempt, reply = std::move(reply)]() mutable {
      const ReplyTicket ticket = ++m_last_ticket;
      m_pending_replies.emplace(ticket, PendingReply{id, 0, std::move(reply)});
      ++m_pending_reply_count;
      GateActions actions;
      m_gate.OnQuery(BootClock::now(), id, attempt, ticket, actions);
      Apply(std::move(actions));
    });
  }

  void OnCancel(RequestId id, std::uint32_t attempt) {
    Post([this, id, attempt] {
      const auto it = m_tickets.find({id, attempt});
      if (it == m_tickets.end()) {
        return;
      }
      const ReplyTicket ticket = it->second;
      GateActions actions;
      m_gate.OnCancel(BootClock::now(), id, ticket, actions);
      Apply(std::move(actions));
      // The caller no longer needs this answer, but every reply must be called.
      SendReply(ticket, MakeRefusal(id, ErrorKind::kInternal, "cancelled"));
    });
  }

  void SetDraining(bool draining) {
    Post([this, draining] {
      GateActions actions;
      if (draining) {
        m_gate.OnDrain(BootClock::now(), actions);
      } else {
        m_gate.OnResume(BootClock::now(), actions);
      }
      Apply(std::move(actions));
    });
  }

  void ReadCounters(std::function<void(const GateCounters&, int, int)> read) {
    Post([this, read = std::move(read)] { read(m_gate.Counters(), m_gate.Limit(), m_gate.InFlight()); });
  }

  std::size_t PendingReplies() const { return m_pending_reply_count; }

  void Stop() {
    m_stopping = true;
    m_client->Stop();
    for (auto& [ticket, pending] : std::exchange(m_pending_replies, {})) {
      // Whether the target executed the request is not known here.
      pending.reply(MakeRefusal(pending.id, ErrorKind::kInternal, "the node stopped"));
    }
    m_pending_reply_count = 0;
  }

 private:
  struct PendingReply {
    RequestId id;
    std::uint32_t attempt = 0;  // 0: a query
    Reply reply;
  };
  struct ActiveSend {
    std::shared_ptr<const Request> request;
    std::uint64_t generation = 0;
    bool stale = false;  // the gate has a newer target generation
    std::optional<ErrorKind> refusal;
    bool started = false;
  };

  TargetClientHooks MakeClientHooks() {
    TargetClientHooks hooks;
    hooks.may_send = [this](std::uint64_t send, const Request& request) { return MaySend(send, request); };
    hooks.on_new_connection = [this](bool reconnect) {
      if (reconnect) {
        m_gate.OnReconnect(BootClock::now(), m_queued_actions);
      }
    };
    hooks.on_loop_iteration = [this] { return OnLoopIteration(); };
    return hooks;
  }

  bool Post(std::function<void()> task) { return !m_stopping && m_client->Post(std::move(task)); }

  // Returns a number that changes with each new grant and each lapse of the lease.
  std::uint64_t Generation(const Request& request) const {
    constexpr unsigned kEpochBits = 32;
    return (m_hooks.lease_generation() << kEpochBits) + request.epoch;
  }

  ReplyTicket RegisterReply(RequestId id, std::uint32_t attempt, Reply reply) {
    const ReplyTicket ticket = ++m_last_ticket;
    m_pending_replies.emplace(ticket, PendingReply{id, attempt, std::move(reply)});
    m_tickets[{id, attempt}] = ticket;
    ++m_pending_reply_count;
    return ticket;
  }

  void SendReply(ReplyTicket ticket, Response response) {
    auto node = m_pending_replies.extract(ticket);
    if (node.empty()) {
      return;
    }
    const PendingReply& pending = node.mapped();
    const auto it = m_tickets.find({pending.id, pending.attempt});
    if (it != m_tickets.end() && it->second == ticket) {
      m_tickets.erase(it);
    }
    response.id = pending.id;
    pending.reply(std::move(response));
    --m_pending_reply_count;
  }

  // Called by the HTTP library immediately before it sends the first byte.
  bool MaySend(std::uint64_t send, const Request& request) {
    ActiveSend& active = m_active_sends.at(send);
    const TimePoint now = BootClock::now();
    if (active.generation != m_gate.TargetGeneration()) {
      active.stale = true;
      return false;
    }
    active.refusal = m_hooks.begin_send(request, now);
    if (active.refusal.has_value()) {
      return false;
    }
    active.started = true;
    m_gate.OnSendStarted(now, send);
    return true;
  }

  void Apply(GateActions actions) {
    // Executing an action can produce further actions; these are queued instead of being executed recursively.
    m_queued_actions.insert(m_queued_actions.end(), std::make_move_iterator(actions.begin()),
                            std::make_move_iterator(actions.end()));
    if (std::exchange(m_applying, true)) {
      return;
    }
    while (!m_queued_actions.empty()) {
      for (GateAction& action : std::exchange(m_queued_actions, {})) {
        std::visit([this](auto& typed) { Execute(typed); }, action);
      }
    }
    m_applying = false;
  }

  void Execute(GateSend& action) {
    m_active_sends[action.send] = ActiveSend{action.request, action.target_generation, false, std::nullopt, false};
    const bool accepted = m_client->Send(action.send, action.request, [this, send = action.send](TargetResult result) {
      OnResult(send, std::move(result));
    });
    if (!accepted) {
      OnResult(action.send, TargetResult{});
    }
  }

  void Execute(GateAnswer& action) {
    Response response = *action.response;
    response.id = action.id;
    SendReply(action.ticket, std::move(response));
  }

  void Execute(GateRefuse& action) {
    SendReply(action.ticket, MakeRefusal(action.id, action.kind, "refused at the gate"));
  }

  void Execute(GateCancelAtTarget& action) {
    if (m_active_sends.contains(action.send)) {
      m_client->Cancel(action.send);
    } else {
      // The request ended before the gate asked to cancel it, but the gate still counts it as in flight.
      GateActions actions;
      m_gate.OnCancelled(BootClock::now(), action.send, actions);
      Apply(std::move(actions));
    }
  }

  void Execute(GateWake& action) { m_gate_tick_at = action.at; }

  void OnResult(SendId send, TargetResult result) {
    auto node = m_active_sends.extract(send);
    if (node.empty()) {
      return;
    }
    const ActiveSend& active = node.mapped();
    if (active.started) {
      m_hooks.end_send(active.request->id);
    }
    const TimePoint now = BootClock::now();
    GateActions actions;
    switch (result.outcome) {
      case TargetOutcome::kAnswered:
        if (IsShed(result.response)) {
          m_gate.OnShed(now, send, actions);
        } else {
          m_gate.OnAnswered(now, send, std::move(result.response), actions);
        }
        break;
      case TargetOutcome::kConnectFailed:
      case TargetOutcome::kTimedOutBeforeSend:
        m_gate.OnConnectFailed(now, send, actions);
        break;
      case TargetOutcome::kRefused:
        if (active.stale) {
          m_gate.OnSendReturned(now, send, actions);
        } else {
          m_gate.OnSendRefused(now, send, active.refusal.value_or(ErrorKind::kDeadlineBeforeSend), actions);
        }
        break;
      case TargetOutcome::kBrokenAfterSend:
        m_gate.OnBroken(now, send, actions);
        break;
      case TargetOutcome::kTimedOutAfterSend:
        // The gate normally responds with GateCancelAtTarget, which ends the send.
        m_gate.OnTimedOut(now, send, actions);
        if (!std::any_of(actions.begin(), actions.end(), [send](const GateAction& action) {
              const auto* cancel = std::get_if<GateCancelAtTarget>(&action);
              return cancel != nullptr && cancel->send == send;
            })) {
          m_gate.OnCancelled(now, send, actions);
        }
        break;
      case TargetOutcome::kCancelled:
        m_gate.OnCancelled(now, send, actions);
        break;
    }
    Apply(std::move(actions));
  }

  Duration OnLoopIteration() {
    const TimePoint now = BootClock::now();
    if (now >= m_next_view_poll) {
      m_next_view_poll = now + kViewPollPeriod;
      ApplyViewLimits();
    }
    if (now >= m_next_probe && !m_stopping) {
      m_next_probe = now + m_probe_period;
      m_client->Probe(kProbeTimeout, [this](const TargetProbe& probe) {
        if (m_hooks.on_probe) {
          m_hooks.on_probe(probe);
        }
      });
    }
    GateActions actions;
    if (m_gate_tick_at.has_value() && now >= *m_gate_tick_at) {
      m_gate_tick_at.reset();
      m_gate.OnTick(now, actions);
    }
    Apply(std::move(actions));
    TimePoint next = std::min(m_next_view_poll, m_next_probe);
    if (m_gate_tick_at.has_value()) {
      next = std::min(next, *m_gate_tick_at);
    }
    return std::max(Duration::zero(), next - now);
  }

  // Applies the limits and workspace weights of the catalogue to the gate.
  void ApplyViewLimits() {
    const std::shared_ptr<const View> view = m_hooks.view();
    if (!view || view == m_applied_view) {
      return;
    }
    m_applied_view = view;
    if (const proto::EntryRecord* entry = view->FindEntry(m_entry); entry != nullptr && entry->warm_limit() != 0) {
      const int warm = static_cast<int>(entry->warm_limit());
      m_gate.SetLimits(std::clamp(static_cast<int>(entry->cold_limit()), 1, warm), warm,
                       std::chrono::milliseconds(entry->warm_up_ms()));
    }
    for (const auto& [name, workspace] : view->Workspaces()) {
      m_gate.SetWeight(name, std::max<std::uint32_t>(1, workspace.record().weight()));
    }
  }

  const std::string m_entry;
  const Duration m_probe_period;
  const EgressHooks m_hooks;
  Gate m_gate;
  std::unordered_map<ReplyTicket, PendingReply> m_pending_replies;
  std::map<std::pair<RequestId, std::uint32_t>, ReplyTicket> m_tickets;
  std::unordered_map<SendId, ActiveSend> m_active_sends;
  GateActions m_queued_actions;
  bool m_applying = false;
  std::optional<TimePoint> m_gate_tick_at;
  TimePoint m_next_view_poll;
  TimePoint m_next_probe;
  std::shared_ptr<const View> m_applied_view;
  ReplyTicket m_last_ticket = 0;
  std::atomic<std::size_t> m_pending_reply_count{0};
  std::atomic<bool> m_stopping{false};
  std::unique_ptr<TargetClient> m_client;  // its thread uses all members above
};

Egress::Egress(TargetClientOptions options,
               GateOptions gate,
               std::string entry,
               Duration probe_period,
               EgressHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), gate, std::move(entry), probe_period, std::move(hooks))) {}

Egress::~Egress() = default;

absl::Status Egress::Start() {
  return m_impl->Start();
}

bool Egress::OnRequest(std::shared_ptr<const Request> request, std::uint32_t attempt, Reply reply) {
  return m_impl->OnRequest(std::move(request), attempt, std::move(reply));
}

bool Egress::OnQuery(RequestId id, std::uint32_t attempt, Reply reply) {
  return m_impl->OnQuery(id, attempt, std::move(reply));
}

void Egress::OnCancel(RequestId id, std::uint32_t attempt) {
  m_impl->OnCancel(id, attempt);
}

void Egress::SetDraining(bool draining) {
  m_impl->SetDraining(draining);
}

void Egress::ReadCounters(std::function<void(const GateCounters&, int, int)> read) {
  m_impl->ReadCounters(std::move(read));
}

std::size_t Egress::PendingReplies() const {
  return m_impl->PendingReplies();
}

void Egress::Stop() {
  m_impl->Stop();
}

}  // namespace magnoliaarch
