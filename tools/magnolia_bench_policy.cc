// Compares the limit and balancing policies with simple baselines in virtual time, and measures the CPU time of their
// decisions.

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "magnoliaarch/admission.h"
#include "magnoliaarch/balance.h"
#include "magnoliaarch/gate.h"
#include "magnoliaarch/retry.h"

DEFINE_uint64(seed, 1, "seed of all runs");
DEFINE_int32(seconds, 60, "virtual seconds of each run");

namespace magnoliaarch {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TimePoint AtUs(double us) {
  return kStart + Duration(static_cast<std::int64_t>(us));
}

Duration Micros(double us) {
  return Duration(static_cast<std::int64_t>(us));
}

// Event queue in virtual time. All times are in microseconds.
class EventQueue {
 public:
  void Schedule(double us, std::function<void()> event) { m_queue.push({m_now + us, m_count++, std::move(event)}); }
  double Now() const { return m_now; }
  TimePoint Time() const { return AtUs(m_now); }
  void RunUntil(double us) {
    while (!m_queue.empty() && m_queue.top().us <= us) {
      const Event event = m_queue.top();
      m_queue.pop();
      m_now = event.us;
      event.run();
    }
  }

 private:
  struct Event {
    double us;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return us != other.us ? us > other.us : order > other.order; }
  };
  std::priority_queue<Event> m_queue;
  std::uint64_t m_count = 0;
  double m_now = 0;
};

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

double ServiceTime(std::mt19937_64& random, double mean_us) {
  return std::lognormal_distribution<>(std::log(mean_us) - 0.125, 0.5)(random);
}

// ---- Tail latency with slowed targets ----

enum class Policy { kRoundRobin, kTwoChoices, kTwoChoicesWithHedge };

// Five targets with six slots each and three ingress nodes. A random target is ten times slower for one to three
// seconds at a time. The ingress nodes are not notified.
class TailBench {
 public:
  TailBench(Policy policy, double load) : m_policy(policy), m_load(load), m_random(FLAGS_seed), m_targets(kTargets) {
    for (int i = 0; i < kTargets; ++i) {
      m_ids.push_back({std::to_string(i), 1});
    }
    for (int i = 0; i < kIngress; ++i) {
      m_balancers.emplace_back(BalanceOptions{}, FLAGS_seed + static_cast<std::uint64_t>(i));
      m_balancers.back().SetTargets(kStart, m_ids);
    }
    m_hedges.resize(kIngress);
  }

  void Run(const char* name) {
    SlowRandomTarget();
    OnArrival();
    m_events.RunUntil(FLAGS_seconds * 1e6);
    fmt::print(
        "tail      load {:.0f}%  {:<22} prompt p50 {:5.1f} ms  p99 {:6.1f} ms  p99.9 {:6.1f} ms  copies {:.3f}\n",
        m_load * 100, name, Quantile(m_latencies, 0.5) / 1000, Quantile(m_latencies, 0.99) / 1000,
        Quantile(m_latencies, 0.999) / 1000, m_copies / m_requests);
  }

 private:
  static constexpr int kTargets = 5;
  static constexpr int kSlots = 6;
  static constexpr int kIngress = 3;
  static constexpr double kServiceUs = 3000;
  static constexpr double kHopUs = 1000;

  struct Copy {
    bool done = false, running = false;
    std::size_t target = 0;
    double sent = 0;
  };
  struct Work {
    bool prompt = false, answered = false;
    std::size_t ingress = 0;
    double start = 0;
    std::vector<std::shared_ptr<Copy>> copies;
  };
  struct Target {
    std::deque<std::pair<std::shared_ptr<Work>, std::shared_ptr<Copy>>> queue;
    int running = 0;
  };

  void SlowRandomTarget() {
    m_slowed = m_random() % kTargets;
    m_events.Schedule(1e6 + static_cast<double>(m_random() % 2000000), [this] { SlowRandomTarget(); });
  }

  void OnArrival() {
    const auto work = std::make_shared<Work>();
    work->prompt = m_random() % 10 < 4;
    work->ingress = m_random() % kIngress;
    work->start = m_events.Now();
    m_requests += 1;
    Send(work, *Pick(work->ingress, {}));
    HedgePolicy& hedge = m_hedges[work->ingress];
    if (m_policy == Policy::kTwoChoicesWithHedge && work->prompt) {
      hedge.OnRequest();
      if (const auto delay = hedge.Delay(); delay.has_value()) {
        m_events.Schedule(static_cast<double>(delay->count()), [this, work] { Hedge(work); });
      }
    }
    m_events.Schedule(std::exponential_distribution<>(m_load * kTargets * kSlots / kServiceUs)(m_random),
                      [this] { OnArrival(); });
  }

  void Hedge(const std::shared_ptr<Work>& work) {
    if (work->answered) {
      return;
    }
    const auto other = Pick(work->ingress, {m_ids[work->copies.front()->target]});
    if (other.has_value() && m_hedges[work->ingress].TakeHedge()) {
      Send(work, *other);
    }
  }

  std::optional<std::size_t> Pick(std::size_t ingress, const std::vector<IncarnationId>& excluded) {
    if (m_policy == Policy::kRoundRobin) {
      return m_next++ % kTargets;
    }
    const auto id = m_balancers[ingress].Pick(m_events.Time(), excluded);
    return id.has_value() ? std::optional<std::size_t>(std::stoul(id->node)) : std::nullopt;
  }

  void Send(const std::shared_ptr<Work>& work, std::size_t target) {
    const auto copy = std::make_shared<Copy>();
    copy->target = target;
    copy->sent = m_events.Now();
    work->copies.push_back(copy);
    m_copies += 1;
    m_balancers[work->ingress].OnSent(m_events.Time(), m_ids[target]);
    m_events.Schedule(kHopUs, [this, work, copy] {
      m_targets[copy->target].queue.emplace_back(work, copy);
      Serve(copy->target);
    });
  }

  void Serve(std::size_t t) {
    Target& target = m_targets[t];
    while (target.running < kSlots && !target.queue.empty()) {
      const auto [work, copy] = target.queue.front();
      target.queue.pop_front();
      if (copy->done) {
        continue;
      }
      copy->running = true;
      ++target.running;
      const double service = ServiceTime(m_random, kServiceUs);
      m_events.Schedule(t == m_slowed ? 10 * service : service, [this, work = work, copy = copy] {
        if (copy->done) {
          return;
        }
        FinishCopy(*copy);
        m_events.Schedule(kHopUs, [this, work, copy] { DeliverAnswer(work, copy); });
      });
    }
  }

  void FinishCopy(Copy& copy) {
    copy.done = true;
    if (std::exchange(copy.running, false)) {
      --m_targets[copy.target].running;
      Serve(copy.target);
    }
  }

  void DeliverAnswer(const std::shared_ptr<Work>& work, const std::shared_ptr<Copy>& winner) {
    if (std::exchange(work->answered, true)) {
      return;
    }
    for (const std::shared_ptr<Copy>& copy : work->copies) {
      m_balancers[work->ingress].OnEnded(m_events.Time(), m_ids[copy->target],
                                         copy == winner ? BalanceOutcome::kAnswered : BalanceOutcome::kCancelled,
                                         Micros(m_events.Now() - copy->sent));
      if (copy != winner && !copy->done) {
        m_events.Schedule(kHopUs, [this, copy] { FinishCopy(*copy); });
      }
    }
    if (work->prompt) {
      m_latencies.push_back(m_events.Now() - work->start);
      m_hedges[work->ingress].OnLatency(Micros(m_events.Now() - work->copies.front()->sent));
    }
  }

  Policy m_policy;
  double m_load;
  std::mt19937_64 m_random;
  EventQueue m_events;
  std::vector<Target> m_targets;
  std::vector<IncarnationId> m_ids;
  std::vector<Balancer> m_balancers;
  std::vector<HedgePolicy> m_hedges;
  std::vector<double> m_latencies;
  double m_copies = 0;
  double m_requests = 0;
  std::size_t m_next = 0;
  std::size_t m_slowed = 0;
};

// ---- Fairness at the gate ----

// Eight workspaces share a target with six slots. One of them sends five times its rate.
class FairnessBench {
 public:
  FairnessBench(bool policy_enabled, double load)
      : m_policy_enabled(policy_enabled), m_load(load), m_random(FLAGS_seed), m_gate(Options(), nullptr) {}

  void Run() {
    for (std::size_t workspace = 0; workspace < kWorkspaces; ++workspace) {
      OnArrival(workspace);
    }
    m_events.RunUntil(FLAGS_seconds * 1e6);
    double worst = 1;
    for (std::size_t workspace = 1; workspace < kWorkspaces; ++workspace) {
      worst = std::min(worst, m_served[workspace] / m_offered[workspace]);
    }
    fmt::print(
        "fairness  load {:.0f}%  {:<22} worst-served {:5.1f}%  p99 wait of the others {:6.1f} ms  noisy {:5.1f}%\n",
        m_load * 100, m_policy_enabled ? "deficit round robin" : "single FIFO", worst * 100,
        Quantile(m_waits, 0.99) / 1000, m_served[0] / m_offered[0] * 100);
  }

 private:
  static constexpr std::size_t kWorkspaces = 8;
  static constexpr double kServiceUs = 3000;
  static constexpr int kSlots = 6;

  static GateOptions Options() {
    GateOptions options;
    options.cold_limit = options.warm_limit = kSlots;
    return options;
  }

  void OnArrival(std::size_t workspace) {
    const auto request = std::make_shared<Request>();
    request->id = {workspace + 1, ++m_last};
    request->workspace = std::to_string(workspace);
    request->idempotent = true;
    request->deadline = m_events.Time() + std::chrono::milliseconds(200);
    m_offered[workspace] += 1;
    if (m_policy_enabled) {
      GateActions actions;
      m_gate.OnRequest(m_events.Time(), {request, 1, m_last}, actions);
      ApplyActions(actions);
    } else if (m_fifo.size() < 512) {
      m_fifo.push_back(request);
      Serve();
    }
    const double rate = (workspace == 0 ? 5 : 1) * m_load * kSlots / kServiceUs / kWorkspaces;
    m_events.Schedule(std::exponential_distribution<>(rate)(m_random), [this, workspace] { OnArrival(workspace); });
  }

  void Start(const std::shared_ptr<const Request>& request, const std::function<void()>& end) {
    const std::size_t workspace = request->id.high - 1;
    if (workspace != 0) {
      m_waits.push_back(static_cast<double>((m_events.Time() - request->deadline).count()) + 2e5);
    }
    m_events.Schedule(ServiceTime(m_random, kServiceUs), [this, workspace, end] {
      m_served[workspace] += 1;
      end();
    });
  }

  void ApplyActions(const GateActions& actions) {
    for (const GateAction& action : actions) {
      if (const auto* send = std::get_if<GateSend>(&action); send != nullptr) {
        Start(send->request, [this, id = send->send] {
          GateActions next;
          m_gate.OnAnswered(m_events.Time(), id, {}, next);
          ApplyActions(next);
        });
      }
    }
  }

  void Serve() {
    while (m_running < kSlots && !m_fifo.empty()) {
      const std::shared_ptr<Request> request = m_fifo.front();
      m_fifo.pop_front();
      if (request->deadline > m_events.Time()) {
        ++m_running;
        Start(request, [this] {
          --m_running;
          Serve();
        });
      }
    }
  }

  bool m_policy_enabled;
  double m_load;
  std::mt19937_64 m_random;
  EventQueue m_events;
  Gate m_gate;
  std::deque<std::shared_ptr<Request>> m_fifo;
  int m_running = 0;
  std::uint64_t m_last = 0;
  std::array<double, kWorkspaces> m_offered{};
  std::array<double, kWorkspaces> m_served{};
  std::vector<double> m_waits;
};

// ---- Refusals within the rate ----

struct ShareConfig {
  const char* name;
  double floor = 0.2;
  double reserve = 0.05;
  bool static_split = false;
  double fixed_fraction = 0;  // part of the limit that the nodes hold permanently, in place of a fast first grant
};

enum class Demand { kEven, kShifting, kNewNode, kSparse };

// Five ingress nodes whose callers send about 80 % of the rate of the workspace. For sparse demand, twelve nodes and a
// small workspace that sends half its rate through all of them, with pauses after which no node holds a share.
class ShareBench {
 public:
  ShareBench(const ShareConfig& run, Demand demand, double lost_from, double lost_until)
      : m_run(run),
        m_demand(demand),
        m_lost_from(lost_from),
        m_lost_until(lost_until),
        m_random(FLAGS_seed),
        m_nodes(demand == Demand::kSparse ? 12 : 5),
        m_limit(demand == Demand::kSparse ? ShareAmount{30, 60} : ShareAmount{500, 50}) {
    StartAllocator(kStart);
    for (int i = 0; i < m_nodes; ++i) {
      m_holders.emplace_back(ShareHolderOptions{}, "w", IncarnationId{std::to_string(i), 1});
      const double part = (run.static_split ? 1.0 : run.fixed_fraction) / m_nodes;
      m_fixed.emplace_back(ShareAmount{m_limit.rate * part, m_limit.burst * part}, kStart);
    }
  }

  // Returns the percentage of refused requests after the first ten seconds.
  double Run() {
    for (m_us = 0; m_us < FLAGS_seconds * 1e6; m_us += kTickUs) {
      Tick();
    }
    return 100 * m_refused / std::max(1.0, m_sent);
  }

 private:
  static constexpr int kTickUs = 2000;
  static constexpr double kRoundTripUs = 4000;
  struct Grant {
    double at;
    int node;
    proto::ShareGrant grant;
  };
  struct Waiting {
    int node;
    double since;
  };

  void StartAllocator(TimePoint now) {
    ShareAllocatorOptions options;
    options.floor = m_run.floor;
    options.reserve = m_run.reserve;
    m_allocator = std::make_unique<ShareAllocator>(options, "w", ++m_term, now);
    m_allocator->SetLimit(now, {m_limit.rate * (1 - m_run.fixed_fraction), m_limit.burst * (1 - m_run.fixed_fraction)});
  }

  Admission Admit(int node, double waited) {
    const TimePoint now = AtUs(m_us);
    TokenBucket& fixed = m_fixed[static_cast<std::size_t>(node)];
    if (m_run.static_split) {
      const auto wait = fixed.WaitFor(now);
      const bool may_wait = wait.has_value() && *wait <= std::chrono::milliseconds(100) && waited < 1e5;
      return fixed.Take(now) ? Admission::kAdmitted : may_wait ? Admission::kWait : Admission::kRefused;
    }
    const Admission result = m_holders[static_cast<std::size_t>(node)].Admit(now, Micros(waited));
    return result != Admission::kAdmitted && m_run.fixed_fraction > 0 && fixed.Take(now) ? Admission::kAdmitted
                                                                                         : result;
  }

  double Rate(int node) const {
    const int phase = static_cast<int>(m_us / 5e6);
    switch (m_demand) {
      case Demand::kShifting:
        return phase % m_nodes == node ? 320 : 20;
      case Demand::kNewNode:
        // The last node gets a few requests after 25 s without requests. The other nodes have a steady load.
        return node < m_nodes - 1 ? 97 : phase % 6 == 5 ? 10 : 0;
      case Demand::kSparse:
        return phase % 7 < 3 ? 1.25 : 0;
      default:
        return 80;
    }
  }

  void Tick() {
    const TimePoint now = AtUs(m_us);
    const bool lost = m_us >= m_lost_from * 1e6 && m_us < m_lost_until * 1e6;
    if (m_lost && !lost) {
      StartAllocator(now);
    }
    m_lost = lost;
    while (!m_grants.empty() && m_grants.front().at <= m_us) {
      m_holders[static_cast<std::size_t>(m_grants.front().node)].OnGrant(now, m_grants.front().grant);
      m_grants.pop_front();
    }
    const auto counts = [&](int node) { return m_us >= 10e6 && (m_demand != Demand::kNewNode || node == m_nodes - 1); };
    std::erase_if(m_waiting, [&](const Waiting& request) {
      const Admission result = Admit(request.node, m_us - request.since);
      m_refused += result == Admission::kRefused && counts(request.node) ? 1 : 0;
      return result != Admission::kWait;
    });
    for (int i = 0; i < m_nodes; ++i) {
      const double wanted = Rate(i) * kTickUs / 1e6;
      const int arrivals = wanted > 0 ? std::poisson_distribution<int>(wanted)(m_random) : 0;
      for (int n = 0; n < arrivals; ++n) {
        m_sent += counts(i) ? 1 : 0;
        const Admission result = Admit(i, 0);
        m_refused += result == Admission::kRefused && counts(i) ? 1 : 0;
        if (result == Admission::kWait) {
          m_waiting.push_back({i, m_us});
        }
      }
      const auto report = m_holders[static_cast<std::size_t>(i)].Report(now);
      if (report.has_value() && !lost && !m_run.static_split) {
        if (const auto grant = m_allocator->OnReport(now, *report); grant.has_value()) {
          m_grants.push_back({m_us + kRoundTripUs, i, *grant});
        }
      }
    }
  }

  ShareConfig m_run;
  Demand m_demand;
  double m_lost_from;
  double m_lost_until;
  std::mt19937_64 m_random;
  int m_nodes;
  ShareAmount m_limit;
  std::unique_ptr<ShareAllocator> m_allocator;
  std::vector<ShareHolder> m_holders;
  std::vector<TokenBucket> m_fixed;
  std::deque<Grant> m_grants;
  std::vector<Waiting> m_waiting;
  double m_us = 0;
  double m_sent = 0;
  double m_refused = 0;
  std::uint64_t m_term = 0;
  bool m_lost = false;
};

void BenchShares() {
  const std::vector<ShareConfig> runs = {
      {"static equal split", 0, 0, true, 0},          {"floor 0, reserve 5%", 0, 0.05, false, 0},
      {"floor 10%, reserve 5%", 0.1, 0.05, false, 0}, {"floor 20%, reserve 5%", 0.2, 0.05, false, 0},
      {"floor 40%, reserve 5%", 0.4, 0.05, false, 0}, {"floor 20%, reserve 0", 0.2, 0, false, 0},
      {"floor 20%, reserve 10%", 0.2, 0.1, false, 0}, {"floor 20%, starting 10%", 0.2, 0, false, 0.1},
  };
  fmt::print(
      "shares    refused % of requests within the rate; +3 s and +10 s: allocator lost from second 31 for so long\n");
  fmt::print("shares    {:<24} {:>8} {:>9} {:>9} {:>8} {:>10} {:>10} {:>11}\n", "policy", "even", "shifting",
             "new node", "sparse", "even+3 s", "shift+3 s", "shift+10 s");
  for (const ShareConfig& run : runs) {
    const auto refused = [&](Demand demand, double from, double until) {
      return ShareBench(run, demand, from, until).Run();
    };
    fmt::print("shares    {:<24} {:>8.3f} {:>9.3f} {:>9.3f} {:>8.3f} {:>10.3f} {:>10.3f} {:>11.3f}\n", run.name,
               refused(Demand::kEven, 1e9, 1e9), refused(Demand::kShifting, 1e9, 1e9),
               refused(Demand::kNewNode, 1e9, 1e9), refused(Demand::kSparse, 1e9, 1e9), refused(Demand::kEven, 31, 34),
               refused(Demand::kShifting, 31, 34), refused(Demand::kShifting, 31, 41));
  }
}

// ---- Cold target ----

// A target restarts every ten seconds under steady load.
class ColdBench {
 public:
  explicit ColdBench(bool policy_enabled)
      : m_policy_enabled(policy_enabled), m_random(FLAGS_seed), m_gate(Options(policy_enabled), nullptr) {}

  void Run() {
    m_events.Schedule(5e6, [this] { Restart(); });
    OnArrival();
    m_events.RunUntil(FLAGS_seconds * 1e6);
    fmt::print(
        "cold      {:<22} cold limit {}, in the first 0.5 s: most concurrent {:>3}, received {:>5.0f}; answered "
        "{:.1f}%\n",
        m_policy_enabled ? "limit by evidence" : "limit kept", kColdLimit, m_peak, m_early / std::max(1.0, m_starts),
        100 * m_answered / m_offered);
  }

 private:
  static constexpr int kColdLimit = 4;

  static GateOptions Options(bool policy_enabled) {
    GateOptions options;
    options.cold_limit = kColdLimit;
    options.warm_limit = 32;
    options.faults.keep_limit_on_reconnect = !policy_enabled;
    return options;
  }

  void Restart() {
    ++m_generation;
    m_starts += 1;
    m_started = m_events.Now();
    GateActions actions;
    m_gate.OnReconnect(m_events.Time(), actions);
    for (const auto& [send, generation] : std::exchange(m_running, {})) {
      m_gate.OnBroken(m_events.Time(), send, actions);
    }
    ApplyActions(actions);
    m_events.Schedule(10e6, [this] { Restart(); });
  }

  void OnArrival() {
    const auto request = std::make_shared<Request>();
    request->id = {1, ++m_last};
    request->idempotent = true;
    request->deadline = m_events.Time() + std::chrono::seconds(1);
    m_offered += 1;
    GateActions actions;
    m_gate.OnRequest(m_events.Time(), {request, 1, m_last}, actions);
    ApplyActions(actions);
    m_events.Schedule(std::exponential_distribution<>(2400 / 1e6)(m_random), [this] { OnArrival(); });
  }

  void ApplyActions(const GateActions& actions) {
    for (const GateAction& action : actions) {
      if (const auto* send = std::get_if<GateSend>(&action); send != nullptr) {
        m_gate.OnSendStarted(m_events.Time(), send->send);
        m_running[send->send] = m_generation;
        if (m_generation > 0 && m_events.Now() - m_started < 5e5) {
          m_peak = std::max(m_peak, m_running.size());
          m_early += 1;
        }
        m_events.Schedule(ServiceTime(m_random, 8000), [this, id = send->send] {
          if (m_running.erase(id) > 0) {
            m_answered += 1;
            GateActions next;
            m_gate.OnAnswered(m_events.Time(), id, {}, next);
            ApplyActions(next);
          }
        });
      }
    }
  }

  bool m_policy_enabled;
  std::mt19937_64 m_random;
  EventQueue m_events;
  Gate m_gate;
  std::map<SendId, std::uint64_t> m_running;
  std::uint64_t m_generation = 0;
  std::uint64_t m_last = 0;
  double m_started = 0;
  std::size_t m_peak = 0;
  double m_starts = 0;
  double m_early = 0;
  double m_offered = 0;
  double m_answered = 0;
};

// ---- CPU time ----

void MeasureCpu(const char* name, int count, const std::function<void(int)>& decide) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    decide(i);
  }
  const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
  fmt::print("cpu       {:<48} {:7.0f} ns\n", name, spent.count() / count);
}

void BenchGateCpu(const char* name, bool idempotent) {
  GateOptions options;
  options.cold_limit = options.warm_limit = 32;
  options.table.retention = std::chrono::milliseconds(100);
  Gate gate(options, [](const Request&, TimePoint) { return LeaseVerdict{}; });
  GateActions actions;
  MeasureCpu(name, 200000, [&](int i) {
    const auto request = std::make_shared<Request>();
    request->id = {1, static_cast<std::uint64_t>(i + 1)};
    request->workspace = "temple";
    request->idempotent = idempotent;
    request->deadline = AtUs(i * 10.0) + std::chrono::seconds(1);
    actions.clear();
    gate.OnRequest(AtUs(i * 10.0), {request, 1, 1}, actions);
    const SendId send = std::get<GateSend>(actions.front()).send;
    gate.OnSendStarted(AtUs(i * 10.0), send);
    gate.OnAnswered(AtUs(i * 10.0), send, {}, actions);
  });
}

void BenchCpu() {
  std::vector<IncarnationId> ids(64, IncarnationId{"node-00", 1});
  for (std::size_t i = 0; i < ids.size(); ++i) {
    ids[i].node = fmt::format("node-{:02}", i);
  }
  BenchGateCpu("gate: idempotent request, three events", true);
  BenchGateCpu("gate: non-idempotent request, three events", false);
  RetryBudget budget;
  FlowContext context;
  context.pick = [&](const Request&, const std::vector<IncarnationId>&, TimePoint) { return Route{ids[0], 1}; };
  context.retry_budget = &budget;
  FlowActions actions;
  MeasureCpu("flow: one request, three events", 200000, [&](int i) {
    const auto request = std::make_shared<Request>();
    request->id = {1, static_cast<std::uint64_t>(i + 1)};
    request->deadline = AtUs(1e6);
    RequestFlow flow({}, context, request);
    actions.clear();
    flow.Start(kStart, actions);
    flow.OnAttemptSent(kStart, 1);
    Response response;
    response.id = request->id;
    flow.OnAnswer(AtUs(5000), 1, response, actions);
  });
  for (const int targets : {5, 64}) {
    Balancer balancer({}, FLAGS_seed);
    balancer.SetTargets(kStart, {ids.begin(), ids.begin() + targets});
    MeasureCpu(targets == 5 ? "balancer: pick, sent, ended; 5 targets" : "balancer: pick, sent, ended; 64 targets",
               200000, [&](int i) {
                 const auto target = balancer.Pick(AtUs(i), {});
                 balancer.OnSent(AtUs(i), *target);
                 balancer.OnEnded(AtUs(i), *target, BalanceOutcome::kAnswered, Duration(3000));
               });
  }
  ShareAllocator allocator({}, "w", 1, AtUs(-1e7));
  allocator.SetLimit(AtUs(-1e7), {1e6, 1e5});
  ShareHolder holder({}, "w", ids[0]);
  (void)holder.Admit(kStart);
  holder.OnGrant(kStart, *allocator.OnReport(kStart, *holder.Report(kStart)));
  MeasureCpu("share holder: one admission", 200000, [&](int i) { (void)holder.Admit(AtUs(i * 2.0)); });
  std::uint64_t sequence = 100;
  MeasureCpu("share allocator: one report, 24 holders", 20000, [&](int i) {
    proto::ShareReport report;
    report.mutable_holder()->set_node(ids[static_cast<std::size_t>(i % 24)].node);
    report.mutable_holder()->set_number(1);
    report.set_demand(1000 + i % 100);
    report.set_sequence(++sequence);
    report.set_held_sequence(sequence - 24);
    (void)allocator.OnReport(AtUs(i * 40000.0), report);
  });
}

void RunAll() {
  fmt::print("seed {}, {} virtual seconds a run\n", FLAGS_seed, FLAGS_seconds);
  for (const double load : {0.4, 0.6}) {
    TailBench(Policy::kRoundRobin, load).Run("round robin");
    TailBench(Policy::kTwoChoices, load).Run("two choices, no hedge");
    TailBench(Policy::kTwoChoicesWithHedge, load).Run("two choices, hedge");
  }
  for (const double load : {0.6, 0.9}) {
    FairnessBench(false, load).Run();
    FairnessBench(true, load).Run();
  }
  BenchShares();
  ColdBench(false).Run();
  ColdBench(true).Run();
  BenchCpu();
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Measures limits and balancing policies against baselines.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  magnoliaarch::RunAll();
  return 0;
}
