// Simulates many dissemination state machines and a store in one process on virtual time, for tests and the benchmark.

#ifndef MAGNOLIAARCH_DISSEMINATION_SIM_P_H_
#define MAGNOLIAARCH_DISSEMINATION_SIM_P_H_

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include "magnoliaarch/dissemination.h"

namespace magnoliaarch::sim {

struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  // Range of the delay of messages and store answers; a wide range reorders them.
  Duration min_delay = std::chrono::microseconds(300);
  Duration max_delay = std::chrono::milliseconds(2);
};

// Header bytes that are counted for each message.
inline constexpr std::size_t kIpUdpHeaderBytes = 28;

struct Traffic {
  std::uint64_t messages_out = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t messages_in = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t largest_datagram = 0;
  std::uint64_t cpu_ns = 0;  // state machine and codec, without I/O
};

// Adds the thread's CPU time in its scope to a total.
class CpuTimer {
 public:
  explicit CpuTimer(std::uint64_t* total_ns) : m_total_ns(total_ns), m_start_ns(Now()) {}
  ~CpuTimer() { *m_total_ns += Now() - m_start_ns; }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  static std::uint64_t Now() {
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<std::uint64_t>(ts.tv_sec) * 1000000000 + static_cast<std::uint64_t>(ts.tv_nsec);
  }

  std::uint64_t* m_total_ns;
  std::uint64_t m_start_ns;
};

class DisseminationSim {
 public:
  struct Node {
    std::string name;
    std::string domain;
    std::unique_ptr<Dissemination> machine;
    Traffic traffic;
    bool up = true;
    bool watching = false;
    std::uint64_t watch_id = 0;  // identifies the running watch; deliveries of earlier ones are dropped
    std::int64_t watch_position = 0;
  };

  explicit DisseminationSim(std::uint64_t seed) : m_random(seed) { m_now += std::chrono::hours(1); }

  // Adds a member record for each node, and simulates those nodes that the filter accepts.
  void AddNodes(int domains, int nodes_per_domain, const std::function<bool(const Node&)>& runs = nullptr) {
    for (int d = 0; d < domains; ++d) {
      for (int i = 0; i < nodes_per_domain; ++i) {
        Node node;
        node.domain = fmt::format("domain-{:02}", d);
        node.name = fmt::format("node-{:02}-{:03}", d, i);
        proto::MemberRecord record;
        record.set_node(node.name);
        record.set_incarnation(1);
        record.set_region(fmt::format("region-{}", d % 7));
        record.set_domain(node.domain);
        record.set_ip("10.0.0.1");
        record.set_entry("storefront");
        Put(std::string(kMemberPrefix) + node.name, record.SerializeAsString());
        if (!runs || runs(node)) {
          m_nodes.emplace(node.name, std::move(node));
        }
      }
    }
  }

  // Starts every added node that is not started yet.
  void Start() {
    for (auto& [name, node] : m_nodes) {
      if (!node.machine) {
        StartNode(&node);
      }
    }
  }

  // Restarts a node, which loses all its state.
  void Restart(const std::string& name) {
    m_nodes.at(name).up = true;
    StartNode(&m_nodes.at(name));
  }

  void Put(const std::string& key, const std::string& value) {
    ++m_revision;
    m_store[key] = StoreKv{key, value, m_revision, 0};
    m_history.push_back(StoreEvent{false, m_store[key]});
    DeliverToWatches();
  }

  void Delete(const std::string& key) {
    ++m_revision;
    m_store.erase(key);
    m_history.push_back(StoreEvent{true, StoreKv{key, "", m_revision, 0}});
    DeliverToWatches();
  }

  // Takes a failure domain out or back in, which writes a small record whose arrival tests can check.
  void PutDomain(const std::string& domain, bool out) {
    proto::DomainRecord record;
    record.set_name(domain);
    record.set_out(out);
    Put(std::string(kDomainPrefix) + domain, record.SerializeAsString());
  }

  // A silent store does not answer at all, instead of refusing calls.
  void SetStoreDown(bool down, bool silent = false) {
    m_store_down = down;
    m_store_silent = silent;
  }
  NetworkFaults& Faults() { return m_faults; }
  // Whether two nodes reach each other; null stands for the store.
  void SetReachable(std::function<bool(const Node*, const Node*)> reachable) { m_reachable = std::move(reachable); }

  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    m_now = end;
  }

  TimePoint Now() const { return m_now; }
  std::int64_t StoreRevision() const { return m_revision; }
  std::uint64_t StoreReads() const { return m_store_reads; }
  std::uint64_t Watches() const {
    std::uint64_t count = 0;
    for (const auto& [name, node] : m_nodes) {
      count += node.watching ? 1 : 0;
    }
    return count;
  }
  std::map<std::string, Node>& Nodes() { return m_nodes; }
  Node& Get(const std::string& name) { return m_nodes.at(name); }

  // Number of running nodes for which the condition does not hold.
  int CountFailing(const std::function<bool(const Node&)>& condition) const {
    int count = 0;
    for (const auto& [name, node] : m_nodes) {
      count += node.up && !condition(node) ? 1 : 0;
    }
    return count;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
  };

  void Schedule(TimePoint at, std::function<void()> run) { m_events.push(Event{at, ++m_order, std::move(run)}); }

  Duration Delay() {
    std::uniform_int_distribution<Duration::rep> spread(m_faults.min_delay.count(), m_faults.max_delay.count());
    return Duration(spread(m_random));
  }

  bool RandomBool(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

  bool Reaches(const Node* a, const Node* b) const { return !m_reachable || m_reachable(a, b); }

  void StartNode(Node* node) {
    DisseminationOptions options;
    options.seed = m_random();
    node->watching = false;
    ++node->watch_id;
    node->machine = std::make_unique<Dissemination>(IncarnationId{node->name, m_random() | 1}, node->domain, options);
    Run(node, node->machine->Start(m_now));
    const Dissemination* machine = node->machine.get();
    Schedule(m_now + std::chrono::microseconds(m_random() % 100000), [this, node, machine] { Tick(node, machine); });
  }

  void Tick(Node* node, const Dissemination* machine) {
    if (node->machine.get() != machine) {
      return;
    }
    if (node->up) {
      Run(node, Timed(node, [&] { return node->machine->OnTick(m_now); }));
    }
    Schedule(m_now + std::chrono::milliseconds(100), [this, node, machine] { Tick(node, machine); });
  }

  static DisseminationActions Timed(Node* node, const std::function<DisseminationActions()>& call) {
    const CpuTimer timer(&node->traffic.cpu_ns);
    return call();
  }

  void Run(Node* node, DisseminationActions actions) {
    for (DisseminationMessage& message : actions.messages) {
      Send(node, std::move(message));
    }
    for (const DisseminationRead& read : actions.reads) {
      Read(node, read);
    }
    if (actions.stop_watch) {
      node->watching = false;
      ++node->watch_id;
    }
    if (actions.start_watch) {
      node->watching = true;
      node->watch_position = *actions.start_watch;
      const std::uint64_t run = ++node->watch_id;
      Schedule(m_now + Delay(), [this, node, run] { WatchLoop(node, run); });
    }
  }

  void Send(Node* from, DisseminationMessage message) {
    std::string wire;
    {
      const CpuTimer timer(&from->traffic.cpu_ns);
      wire = message.message.SerializeAsString();
    }
    const std::size_t bytes = wire.size();
    from->traffic.messages_out += 1;
    from->traffic.bytes_out += bytes + kIpUdpHeaderBytes;
    if (!message.stream) {
      from->traffic.largest_datagram = std::max<std::uint64_t>(from->traffic.largest_datagram, bytes);
    }
    const auto to = m_nodes.find(message.to);
    if (to == m_nodes.end() || !Reaches(from, &to->second)) {
      return;
    }
    Node* receiver = &to->second;
    const auto shared = std::make_shared<const std::string>(std::move(wire));
    const int copies = RandomBool(m_faults.loss) ? 0 : RandomBool(m_faults.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Schedule(m_now + Delay(), [this, receiver, shared, bytes] {
        if (receiver->up && receiver->machine) {
          receiver->traffic.messages_in += 1;
          receiver->traffic.bytes_in += bytes + kIpUdpHeaderBytes;
          Run(receiver, Timed(receiver, [&] {
                proto::PeerMessage received;
                received.ParseFromString(*shared);
                return receiver->machine->OnMessage(received, m_now);
              }));
        }
      });
    }
  }

  void Read(Node* node, const DisseminationRead& read) {
    ++m_store_reads;
    DisseminationReadResult result;
    result.id = read.id;
    if (m_store_down || !Reaches(node, nullptr)) {
      result.status = absl::UnavailableError("down");
      if (m_store_silent) {
        return;
      }
    } else {
      result.range.revision = m_revision;
      if (read.full_read) {
        for (const auto& [key, kv] : m_store) {
          result.range.kvs.push_back(kv);
        }
      }
    }
    const Dissemination* machine = node->machine.get();
    Schedule(m_now + 2 * Delay(), [this, node, machine, result] {
      if (node->up && node->machine.get() == machine) {
        Run(node, Timed(node, [&] { return node->machine->OnReadResult(result, m_now); }));
      }
    });
  }

  // Delivers new changes to every running watch.
  void DeliverToWatches() {
    for (auto& [name, node] : m_nodes) {
      if (node.watching) {
        Schedule(m_now + m_faults.min_delay, [this, n = &node, run = node.watch_id] { DeliverToWatch(n, run, false); });
      }
    }
  }

  // Delivers all changes after the watch's position, one batch for each revision, or a progress notification.
  void DeliverToWatch(Node* node, std::uint64_t run, bool progress) {
    if (!node->watching || node->watch_id != run || !node->up) {
      return;
    }
    if (m_store_down || !Reaches(node, nullptr)) {
      node->watching = false;
      Run(node, node->machine->OnWatchEnded(absl::UnknownError("down"), m_now));
      return;
    }
    const auto first = std::lower_bound(
        m_history.begin(), m_history.end(), node->watch_position,
        [](const StoreEvent& event, std::int64_t revision) { return event.kv.mod_revision <= revision; });
    const std::size_t begin = static_cast<std::size_t>(first - m_history.begin());
    for (std::size_t i = begin; i < m_history.size() && node->watch_id == run; ++i) {
      node->watch_position = m_history[i].kv.mod_revision;
      const StoreWatchBatch batch{node->watch_position, {m_history[i]}};
      Run(node, Timed(node, [&] { return node->machine->OnWatchBatch(batch, m_now); }));
    }
    if (progress && node->watch_id == run) {
      Run(node, node->machine->OnWatchBatch(StoreWatchBatch{m_revision, {}}, m_now));
    }
  }

  void WatchLoop(Node* node, std::uint64_t run) {
    DeliverToWatch(node, run, true);
    if (node->watching && node->watch_id == run) {
      Schedule(m_now + std::chrono::milliseconds(500), [this, node, run] { WatchLoop(node, run); });
    }
  }

  std::mt19937_64 m_random;
  TimePoint m_now;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  std::map<std::string, Node> m_nodes;
  NetworkFaults m_faults;
  std::function<bool(const Node*, const Node*)> m_reachable;
  std::int64_t m_revision = 1;
  std::map<std::string, StoreKv> m_store;
  std::vector<StoreEvent> m_history;
  bool m_store_down = false;
  bool m_store_silent = false;
  std::uint64_t m_store_reads = 0;
};

}  // namespace magnoliaarch::sim

#endif  // MAGNOLIAARCH_DISSEMINATION_SIM_P_H_
