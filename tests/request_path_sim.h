// Simulates the request path in virtual time: ingress flows, egress gates, targets, and faults injected at chosen
// steps.

#ifndef TESTS_REQUEST_PATH_SIM_H_
#define TESTS_REQUEST_PATH_SIM_H_

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "limits_observer.h"
#include "magnoliaarch/gate.h"
#include "magnoliaarch/retry.h"

namespace magnoliaarch {

enum class Fault {
  kNone,
  kStreamBreak,
  kAnswerLost,
  kLateArrival,
  kNodeLost,
  kTargetRestart,
  kTargetFreeze,
  kTargetDown,
  kBreakAfterSend,
  kShed,
  kOutage,
  kLeaseLapse,
  kPlannedMove,
  kDrain,
  kMismatchedAnswer,
};
inline constexpr int kFaults = 15;

enum class Step { kArrive, kQueue, kSend, kRun, kAnswer, kReturn, kQuery, kRetry, kCold };
inline constexpr int kSteps = 9;

struct RequestPathSimOptions {
  std::uint64_t seed = 1;
  Fault fault = Fault::kNone;
  Step step = Step::kArrive;
  bool keyed = true;
  int nodes = 3;
  int requests = 100;
  int max_service_ms = 10;         // longest time that a target runs a request
  bool second_lease_check = true;  // whether the I/O layer checks the lease again before the first byte
  GateOptions gate;
  FlowFaults flow;
};

class RequestPathSim {
 public:
  explicit RequestPathSim(const RequestPathSimOptions& options)
      : m_options(options), m_random(options.seed), m_observer(options.gate.cold_limit) {
    m_nodes.resize(static_cast<std::size_t>(options.nodes));
    for (int i = 0; i < options.nodes; ++i) {
      StartGate(i);
      m_owner.push_back(i);
      m_generation.push_back(1);
      m_seen_owner.push_back({m_nodes[static_cast<std::size_t>(i)].id, 1});
    }
    m_countdown = Random(1, 30);
  }

  LimitsObserver& Run() {
    for (int i = 0; i < m_options.requests; ++i) {
      Schedule(Random(0, 600000), [this, i] { IssueRequest(static_cast<std::uint64_t>(i + 1)); });
    }
    while (!m_events.empty()) {
      const auto next = m_events.begin();
      m_now = next->first;
      const std::function<void()> event = std::move(next->second);
      m_events.erase(next);
      event();
    }
    const bool planned =
        m_options.step != Step::kCold &&
        (m_options.fault == Fault::kNone || m_options.fault == Fault::kDrain || m_options.fault == Fault::kPlannedMove);
    // A request in transit to the only node when its drain begins is refused, which does not count as a cut request.
    m_observer.Finish(!planned                                   ? TimePoint{}
                      : m_options.nodes == 1 && m_injections > 0 ? m_first_injection - std::chrono::milliseconds(1)
                                                                 : TimePoint::max());
    if (m_options.fault == Fault::kOutage) {
      m_observer.CheckRetryLoad();
    }
    return m_observer;
  }

  int Injections() const { return m_injections; }

 private:
  struct Target {
    std::uint64_t generation = 1;
    bool down = false, frozen = false, shedding = false;
    std::map<SendId, std::shared_ptr<const Request>> running;
    std::vector<std::function<void()>> delayed;  // while frozen
  };
  struct Node {
    IncarnationId id;
    std::unique_ptr<Gate> gate;
    Target target;
    std::uint64_t seen_generation = 1;  // target generation that the I/O layer has seen
    std::set<SendId> open;              // sends that have not ended in the I/O layer
    bool lapsed = false, gone = false;
    std::uint64_t lease = 1;
  };
  struct Flow {
    std::unique_ptr<RequestFlow> flow;
    std::uint32_t opened = 0;        // streams opened, one for each attempt
    std::set<std::uint32_t> broken;  // attempts whose stream is broken
  };
  struct Stream {
    RequestId id;
    std::uint32_t attempt;
    bool query;
  };

  std::int64_t Random(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
  }
  void Schedule(std::int64_t us, std::function<void()> event) {
    m_events.emplace(m_now + Duration(us), std::move(event));
  }
  Node& At(int node) { return m_nodes[static_cast<std::size_t>(node)]; }
  std::size_t SliceOf(const Request& request) const { return request.id.low % m_owner.size(); }
  int IndexOf(const IncarnationId& id) const { return std::stoi(id.node); }

  void StartGate(int i) {
    Node& node = At(i);
    node.id = {std::to_string(i), node.id.number + 1};
    node.open.clear();
    node.gate = std::make_unique<Gate>(m_options.gate, [this, i](const Request& request, TimePoint) {
      return LeaseVerdict{Refusal(i, request), Generation(i, request)};
    });
  }
  std::uint64_t Generation(int i, const Request& request) {
    return m_options.keyed ? m_generation[SliceOf(request)] : At(i).lease;
  }
  // Starts a new lease generation of everything that the node owns.
  void BreakLease(int i) {
    At(i).lease = ++m_last_lease;
    for (std::size_t slice = 0; slice < m_owner.size(); ++slice) {
      m_generation[slice] = m_owner[slice] == i ? m_last_lease : m_generation[slice];
    }
  }
  std::optional<ErrorKind> Refusal(int i, const Request& request) {
    if (At(i).lapsed) {
      return ErrorKind::kLeaseLapsed;
    }
    if (m_options.keyed && (m_owner[SliceOf(request)] != i || m_releasing.contains(SliceOf(request)))) {
      return ErrorKind::kWrongOwner;
    }
    return std::nullopt;
  }

  // ---- Ingress ----

  void IssueRequest(std::uint64_t number) {
    auto request = std::make_shared<Request>();
    request->id = {m_options.seed, number};
    request->entry = "renewals";
    request->workspace = "ws" + std::to_string(Random(0, 2));
    request->request_class = static_cast<RequestClass>(Random(0, 2));
    request->idempotent = Random(0, 1) == 0;
    request->keyed = m_options.keyed;
    request->deadline = m_now + Duration(Random(300000, 1200000));
    LimitsObserver::IssuedRequest record{
        request->workspace, "", request->idempotent, m_now, request->deadline, 0, 0, {}, 0};
    if (!request->idempotent && Random(0, 1) == 0) {
      // Only a few keys, so that they repeat within and across workspaces.
      record.key = "k" + std::to_string(Random(0, 5)) + "s" + std::to_string(SliceOf(*request));
      request->headers.push_back({"Idempotency-Key", record.key});
    }
    record.lease = m_generation[SliceOf(*request)];
    if (!m_options.keyed) {
      record.key.clear();  // each node has its own table, so balanced entries give no guarantee
      request->headers.clear();
    }
    m_observer.OnIssued(request->id, record);
    FlowContext context;
    context.pick = [this](const Request& r, const std::vector<IncarnationId>& excluded, TimePoint) {
      return Pick(r, excluded);
    };
    context.retry_budget = &m_budget;
    context.hedge = &m_hedge;
    FlowOptions flow_options;
    flow_options.faults = m_options.flow;
    Flow& flow = m_flows[request->id];
    flow.flow = std::make_unique<RequestFlow>(flow_options, context, request);
    RunEvent(flow, [&](FlowActions& actions) { flow.flow->Start(m_now, actions); });
  }

  Route Pick(const Request& request, const std::vector<IncarnationId>& excluded) {
    if (m_options.keyed) {
      return m_seen_owner[SliceOf(request)];
    }
    std::vector<Route> open;
    for (const Node& node : m_nodes) {
      if (!node.gone && std::find(excluded.begin(), excluded.end(), node.id) == excluded.end()) {
        open.push_back({node.id, 1});
      }
    }
    return open.empty() ? Route{} : open[static_cast<std::size_t>(Random(0, static_cast<int>(open.size()) - 1))];
  }

  void RunEvent(Flow& flow, const std::function<void(FlowActions&)>& event) {
    FlowActions actions;
    event(actions);
    const RequestId id = flow.flow->GetRequest().id;
    for (const FlowAction& action : actions) {
      if (const auto* send = std::get_if<FlowSend>(&action); send != nullptr) {
        OpenStream(flow, id, *send);
      } else if (const auto* query = std::get_if<FlowQuery>(&action); query != nullptr) {
        SendQuery(id, *query);
      } else if (const auto* cancel = std::get_if<FlowCancel>(&action); cancel != nullptr) {
        Schedule(500, [this, id, c = *cancel] {
          Node& node = At(IndexOf(c.node));
          for (const auto& [ticket, stream] : m_streams) {
            if (node.id == c.node && stream.id == id && stream.attempt == c.attempt) {
              RunEvent(node, [&, t = ticket](GateActions& out) { node.gate->OnCancel(m_now, id, t, out); });
            }
          }
        });
      } else if (const auto* answer = std::get_if<FlowAnswer>(&action); answer != nullptr) {
        m_observer.OnCallerAnswered(id, answer->response, m_now);
      } else if (const auto* wake = std::get_if<FlowWake>(&action); wake != nullptr) {
        Schedule(std::max<std::int64_t>(0, (wake->at - m_now).count()), [this, id] {
          Flow& f = m_flows[id];
          RunEvent(f, [&](FlowActions& out) { f.flow->OnTick(m_now, out); });
        });
      }
    }
  }

  void OpenStream(Flow& flow, RequestId id, const FlowSend& send) {
    const int i = IndexOf(send.route.node);
    flow.opened = send.attempt;
    const auto request = std::make_shared<const Request>(flow.flow->GetRequest());
    const bool connected = At(i).id == send.route.node && !At(i).gone;
    if (connected) {
      flow.flow->OnAttemptSent(m_now, send.attempt);
    }
    ReachStep(send.attempt > 1 ? Step::kRetry : Step::kArrive, i, id);
    // A late arrival: the stream breaks for the ingress while the request is still in transit.
    const bool late = m_late_requests.erase(id) > 0;
    Schedule(late ? Random(20000, 100000) : Random(300, 900), [this, i, id, send, request, connected] {
      Node& node = At(i);
      if (!connected || node.id != send.route.node || node.gone) {
        BreakStream(id, send.attempt);
        return;
      }
      const ReplyTicket ticket = ++m_last_ticket;
      m_streams[ticket] = {id, send.attempt, false};
      ReachStep(Step::kQueue, i, id);
      RunEvent(node, [&](GateActions& out) { node.gate->OnRequest(m_now, {request, send.attempt, ticket}, out); });
    });
    if (late) {
      Schedule(1000, [this, id, a = send.attempt] { BreakStream(id, a); });
    }
  }

  void BreakStream(RequestId id, std::uint32_t attempt) {
    Flow& flow = m_flows[id];
    if (flow.flow != nullptr && flow.broken.insert(attempt).second) {
      RunEvent(flow, [&](FlowActions& out) { flow.flow->OnStreamBroken(m_now, attempt, out); });
    }
  }

  void SendQuery(RequestId id, const FlowQuery& query) {
    const int i = IndexOf(query.node);
    ReachStep(Step::kQuery, i, id);
    Schedule(Random(300, 900), [this, i, id, query] {
      Node& node = At(i);
      Flow& flow = m_flows[id];
      if (node.id != query.node || node.gone) {
        Schedule(100000, [this, id, query] {
          Flow& f = m_flows[id];
          RunEvent(f, [&](FlowActions& out) { f.flow->OnNodeLost(m_now, query.node, out); });
        });
        return RunEvent(flow, [&](FlowActions& out) { flow.flow->OnQueryFailed(m_now, query.attempt, out); });
      }
      const ReplyTicket ticket = ++m_last_ticket;
      m_streams[ticket] = {id, query.attempt, true};
      RunEvent(node, [&](GateActions& out) { node.gate->OnQuery(m_now, id, query.attempt, ticket, out); });
    });
  }

  void Reply(int i, ReplyTicket ticket, Response response) {
    const Stream stream = m_streams[ticket];
    ReachStep(Step::kReturn, i, stream.id);
    if (m_mismatch_next_answer) {
      // Simulates a transport that mixes up answers: this answer has the id of another request.
      m_mismatch_next_answer = false;
      response.id = {m_options.seed, stream.id.low % static_cast<std::uint64_t>(m_options.requests) + 1};
      response.body = response.id.ToString();
    }
    Schedule(Random(300, 900), [this, stream, response] {
      Flow& flow = m_flows[stream.id];
      if (stream.query) {
        RunEvent(flow, [&](FlowActions& out) { flow.flow->OnQueryAnswer(m_now, stream.attempt, response, out); });
      } else if (!flow.broken.contains(stream.attempt)) {
        RunEvent(flow, [&](FlowActions& out) { flow.flow->OnAnswer(m_now, stream.attempt, response, out); });
      }
    });
  }

  void RoutesChanged() {
    for (auto& [id, flow] : m_flows) {
      RunEvent(flow, [&, f = &flow](FlowActions& out) { f->flow->OnRouteChanged(m_now, out); });
    }
  }

  // ---- Egress and target ----

  void RunEvent(Node& node, const std::function<void(GateActions&)>& event) {
    GateActions actions;
    event(actions);
    const int i = IndexOf(node.id);
    for (const GateAction& action : actions) {
      if (const auto* send = std::get_if<GateSend>(&action); send != nullptr) {
        node.open.insert(send->send);
        ReachStep(Step::kSend, i, send->request->id);
        ScheduleOnNode(i, 50, [this, i, s = *send] { Transmit(i, s); });
      } else if (const auto* answer = std::get_if<GateAnswer>(&action); answer != nullptr) {
        Response response = *answer->response;
        response.id = answer->id;
        Reply(i, answer->ticket, response);
      } else if (const auto* refuse = std::get_if<GateRefuse>(&action); refuse != nullptr) {
        Reply(i, refuse->ticket, MakeRefusal(refuse->id, refuse->kind, {}));
      } else if (const auto* cancel = std::get_if<GateCancelAtTarget>(&action); cancel != nullptr) {
        ScheduleOnNode(i, 100, [this, i, send = cancel->send] {
          StopWork(i, send);
          EndSend(i, send, [&](Gate& gate, GateActions& out) { gate.OnCancelled(m_now, send, out); });
        });
      } else if (const auto* wake = std::get_if<GateWake>(&action); wake != nullptr) {
        ScheduleOnNode(i, std::max<std::int64_t>(0, (wake->at - m_now).count()),
                       [this, i] { RunEvent(At(i), [&](GateActions& out) { At(i).gate->OnTick(m_now, out); }); });
      }
    }
  }

  // Schedules an event of this node's process; it is dropped if the process has ended by then.
  void ScheduleOnNode(int i, std::int64_t us, std::function<void()> event) {
    Schedule(us, [this, i, id = At(i).id, event = std::move(event)] {
      if (At(i).id == id && !At(i).gone) {
        event();
      }
    });
  }

  // Ends a send in the I/O layer, once.
  void EndSend(int i, SendId send, const std::function<void(Gate&, GateActions&)>& report) {
    if (At(i).open.erase(send) > 0) {
      RunEvent(At(i), [&](GateActions& out) { report(*At(i).gate, out); });
    }
  }

  void Transmit(int i, const GateSend& send) {
    Node& node = At(i);
    if (!node.open.contains(send.send)) {
      return;
    }
    if (node.seen_generation != node.target.generation) {
      node.seen_generation = node.target.generation;
      RunEvent(node, [&](GateActions& out) { node.gate->OnReconnect(m_now, out); });
    }
    const std::optional<ErrorKind> refusal = Refusal(i, *send.request);
    EndSend(i, send.send, [&](Gate& gate, GateActions& out) {
      if (m_options.second_lease_check && refusal.has_value()) {
        gate.OnSendRefused(m_now, send.send, *refusal, out);
      } else if (send.target_generation != gate.TargetGeneration()) {
        gate.OnSendReturned(m_now, send.send, out);
      } else if (node.target.down) {
        gate.OnConnectFailed(m_now, send.send, out);
      } else {
        node.open.insert(send.send);
        gate.OnSendStarted(m_now, send.send);
        Schedule(150, [this, i, send, id = node.id, generation = node.target.generation] {
          Receive(i, id, generation, send);
        });
      }
    });
  }

  void Receive(int i, const IncarnationId& id, std::uint64_t generation, const GateSend& send) {
    Node& node = At(i);
    Target& target = node.target;
    if (node.id != id || target.generation != generation || !node.open.contains(send.send)) {
      return;  // the connection is closed
    }
    if (target.frozen) {
      target.delayed.push_back([this, i, id, generation, send] { Receive(i, id, generation, send); });
      return;
    }
    ReachStep(Step::kRun, i, send.request->id);
    if (target.generation != generation || node.id != id || !node.open.contains(send.send)) {
      return;
    }
    m_observer.OnReceived();
    if (target.shedding || m_shed_next) {
      m_shed_next = false;
      ScheduleOnNode(i, 150, [this, i, s = send.send] {
        EndSend(i, s, [&](Gate& gate, GateActions& out) { gate.OnShed(m_now, s, out); });
      });
      return;
    }
    target.running[send.send] = send.request;
    const bool owns = !Refusal(i, *send.request).has_value();
    m_observer.OnStarted(i, *send.request, owns || m_allow_lapse_gap ? Generation(i, *send.request) : 0, m_now);
    Schedule(Random(1000, m_options.max_service_ms * 1000),
             [this, i, id, generation, send] { FinishWork(i, id, generation, send); });
  }

  void FinishWork(int i, const IncarnationId& id, std::uint64_t generation, const GateSend& send) {
    Target& target = At(i).target;
    if (At(i).id != id || target.generation != generation || !target.running.contains(send.send)) {
      return;
    }
    if (target.frozen) {
      target.delayed.push_back([this, i, id, generation, send] { FinishWork(i, id, generation, send); });
      return;
    }
    target.running.erase(send.send);
    m_observer.OnEnded(i, true);
    ReachStep(Step::kAnswer, i, send.request->id);
    ScheduleOnNode(i, 150, [this, i, send] {
      EndSend(i, send.send, [&](Gate& gate, GateActions& out) {
        Response response;
        response.status = 200;
        response.body = send.request->id.ToString();
        gate.OnAnswered(m_now, send.send, response, out);
      });
    });
  }

  void StopWork(int i, SendId send) {
    if (At(i).target.running.erase(send) > 0) {
      m_observer.OnEnded(i, false);
    }
  }

  void RestartTarget(int i) {
    Target& target = At(i).target;
    ++target.generation;
    target.running.clear();
    target.delayed.clear();
    target.frozen = false;
    m_observer.OnTargetRestarted(i);
    ScheduleOnNode(i, 100, [this, i] {
      Node& node = At(i);
      node.seen_generation = node.target.generation;
      RunEvent(node, [&](GateActions& out) { node.gate->OnReconnect(m_now, out); });
      for (const SendId send : std::set<SendId>(node.open)) {
        EndSend(i, send, [&](Gate& gate, GateActions& out) { gate.OnBroken(m_now, send, out); });
      }
    });
    m_cold_node = i;
  }

  // ---- Faults ----

  void ReachStep(Step step, int i, RequestId id) {
    // kCold stands for any step at a target that was restarted shortly before.
    const bool matches = step == m_options.step || (m_options.step == Step::kCold && m_cold_node == i);
    if (m_options.step == Step::kCold && m_cold_node < 0 && --m_countdown == 0) {
      m_countdown = Random(1, 20);
      Schedule(0, [this, i] { RestartTarget(i); });
      return;
    }
    if (!matches || m_injections >= (m_options.fault == Fault::kDrain ? 1 : 3) || --m_countdown > 0) {
      return;
    }
    m_countdown = Random(1, 20);
    m_first_injection = m_injections++ == 0 ? m_now : m_first_injection;
    Inject(i, id);
  }

  void Inject(int i, RequestId id) {
    Node& node = At(i);
    switch (m_options.fault) {
      case Fault::kNone:
        break;
      case Fault::kStreamBreak:
      case Fault::kAnswerLost: {
        // A lost answer is simulated as a stream that breaks while the answer may be in transit.
        const std::int64_t delay = m_options.fault == Fault::kAnswerLost ? Random(0, 12000) : 0;
        Schedule(delay, [this, id] { BreakStream(id, m_flows[id].opened); });
        break;
      }
      case Fault::kLateArrival:
        for (std::uint64_t next = 1; next <= static_cast<std::uint64_t>(m_options.requests); next += 5) {
          m_late_requests.insert({m_options.seed, next});
        }
        break;
      case Fault::kNodeLost: {
        if (node.gone) {
          break;
        }
        RestartTarget(i);
        node.gone = true;
        const IncarnationId lost = node.id;
        Schedule(300000, [this, i, lost] {
          At(i).gone = false;
          BreakLease(i);
          StartGate(i);
          At(i).seen_generation = At(i).target.generation;
          for (std::size_t slice = 0; slice < m_owner.size(); ++slice) {
            m_seen_owner[slice] =
                m_owner[slice] == i ? Route{At(i).id, m_seen_owner[slice].epoch + 1} : m_seen_owner[slice];
          }
          for (auto& [flow_id, flow] : m_flows) {
            RunEvent(flow, [&, f = &flow](FlowActions& out) { f->flow->OnNodeLost(m_now, lost, out); });
          }
          RoutesChanged();
        });
        break;
      }
      case Fault::kTargetRestart:
        Schedule(0, [this, i] { RestartTarget(i); });
        break;
      case Fault::kTargetFreeze:
        node.target.frozen = true;
        Schedule(Random(200000, 900000), [this, i] {
          Target& target = At(i).target;
          target.frozen = false;
          for (const std::function<void()>& delayed : std::exchange(target.delayed, {})) {
            Schedule(0, delayed);
          }
        });
        break;
      case Fault::kTargetDown:
        Schedule(0, [this, i] { RestartTarget(i); });
        node.target.down = true;
        Schedule(200000, [this, i] { At(i).target.down = false; });
        break;
      case Fault::kBreakAfterSend:
        Schedule(0, [this, i] {
          for (const SendId send : std::set<SendId>(At(i).open)) {
            ScheduleOnNode(i, 100, [this, i, send] {
              StopWork(i, send);
              EndSend(i, send, [&](Gate& gate, GateActions& out) { gate.OnBroken(m_now, send, out); });
            });
          }
        });
        break;
      case Fault::kShed:
        m_shed_next = true;
        break;
      case Fault::kOutage:
        for (Node& each : m_nodes) {
          each.target.shedding = true;
        }
        break;
      case Fault::kLeaseLapse:
        node.lapsed = true;
        m_allow_lapse_gap =
            m_options.second_lease_check;  // requests sent just before the lapse may still start after it
        Schedule(300000, [this, i] {
          At(i).lapsed = false;
          BreakLease(i);
        });
        break;
      case Fault::kPlannedMove:
        StartMove(id.low % m_owner.size());
        break;
      case Fault::kDrain:
        RunEvent(node, [&](GateActions& out) { node.gate->OnDrain(m_now, out); });
        if (m_options.nodes > 1) {
          for (std::size_t slice = 0; slice < m_owner.size(); ++slice) {
            if (m_owner[slice] == i) {
              StartMove(slice);
            }
          }
          Schedule(300000, [this, i] { RunEvent(At(i), [&](GateActions& out) { At(i).gate->OnResume(m_now, out); }); });
        }
        break;
      case Fault::kMismatchedAnswer:
        m_mismatch_next_answer = true;
        break;
    }
  }

  void StartMove(std::size_t slice) {
    if (m_options.keyed && m_releasing.insert(slice).second) {
      m_allow_lapse_gap = true;
      Schedule(5000, [this, slice] { FinishMove(slice); });
    }
  }

  void FinishMove(std::size_t slice) {
    Node& owner = At(m_owner[slice]);
    if (!owner.gone && owner.gate->HasUnfinished([&](const Request& request) { return SliceOf(request) == slice; })) {
      Schedule(5000, [this, slice] { FinishMove(slice); });
      return;
    }
    m_owner[slice] = (m_owner[slice] + 1) % m_options.nodes;
    m_generation[slice] = ++m_last_lease;
    Schedule(3000, [this, slice] {
      m_releasing.erase(slice);
      m_seen_owner[slice] = {At(m_owner[slice]).id, m_seen_owner[slice].epoch + 1};
      RoutesChanged();
    });
  }

  RequestPathSimOptions m_options;
  std::mt19937_64 m_random;
  LimitsObserver m_observer;
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<Node> m_nodes;
  std::map<RequestId, Flow> m_flows;
  std::map<ReplyTicket, Stream> m_streams;
  std::vector<int> m_owner;         // actual owner of each slice
  std::vector<Route> m_seen_owner;  // owner of each slice in the ingress's view
  std::vector<std::uint64_t> m_generation;
  std::set<std::size_t> m_releasing;
  std::set<RequestId> m_late_requests;
  RetryBudget m_budget;
  HedgePolicy m_hedge{{0.9, 0.05, 10, std::chrono::milliseconds(1), 10}};
  ReplyTicket m_last_ticket = 0;
  std::uint64_t m_last_lease = 1;
  std::int64_t m_countdown = 0;
  int m_injections = 0;
  int m_cold_node = -1;
  bool m_mismatch_next_answer = false, m_shed_next = false, m_allow_lapse_gap = false;
  TimePoint m_first_injection;
};

}  // namespace magnoliaarch

#endif  // TESTS_REQUEST_PATH_SIM_H_
