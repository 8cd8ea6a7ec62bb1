// Simulated cluster for the ownership state machines: a store with compare-and-swap, a network, clocks that drift,
// nodes that are paused, killed and restarted, and targets that freeze. All randomness comes from one seed.

#ifndef MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_H_
#define MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "magnoliaarch/assignment.h"
#include "magnoliaarch/lease.h"
#include "ownership_observer.h"

namespace magnoliaarch {

// Steps of the protocols at which a fault can be injected; each is the first occurrence after the scenario has started.
enum class Step {
  kRenew,
  kReplaceWitness,
  kLapseReport,
  kFence,
  kStopRequest,
  kWaitForExpiry,
  kTakeoverGrant,
  kMarkReleasing,
  kReleaseRequest,
  kMoveGrant,
  kDomainDrain,
  kPlannedStop,
  kRestart,
  kRoleChange,
};

enum class FaultKind {
  // Faults of one node.
  kPauseShort,
  kPauseLong,
  kKill,
  kRestart,
  kPartitionBothWays,  // from all other nodes; the next two kinds cut one direction only
  kPartitionOutbound,
  kPartitionInbound,
  kStoreUnreachable,
  kStaleView,
  kPartitionFromAssigner,  // from the assigner only; the assigner itself: from the owner
  // Faults of the owner with its first witness, and of its target.
  kPartitionOwnerAndWitness,
  kFreezeTarget,
  // Faults of the store.
  kStoreDown,
  kStoreSlow,
  kStoreResponseLost,  // the write takes effect, its response is lost
  kStoreWriteDelayed,  // no response, the write takes effect later
  // Faults of all messages.
  kMessageLoss,
  kMessageDuplicate,
  kMessageDelay,
  // The owner's clock drifts by 1% in one direction and all others by 1% in the other, from the step on.
  kOwnerClockSlow,
  kOwnerClockFast,
};

// Nodes by their role in the scenario.
enum class Participant { kOwner, kUninvolved, kWitnessA, kWitnessB, kAssigner };
inline constexpr int kParticipantCount = 5;

struct Fault {
  FaultKind kind = FaultKind::kMessageLoss;
  Participant participant = Participant::kOwner;
};

struct SimulatedNode {
  std::string name;
  std::string domain;
  bool alive = false;
  bool target_frozen = false;
  TimePoint paused_until;
  double clock_rate = 1.0;
  Duration clock_offset{};
  std::uint64_t incarnation = 0;
  TimePoint view_blocked_until;   // no view is delivered before this time
  TimePoint store_blocked_until;  // neither store calls nor views pass before this time
  bool planned_stop = false;
  TimePoint witness_drain_deadline;
  std::int64_t view_revision = 0;
  std::shared_ptr<const View> view;
  std::unique_ptr<LeaseOwner> lease;
  std::unique_ptr<Witness> witness;
  std::unique_ptr<SliceOwner> slices;
  std::unique_ptr<Assigner> assigner;
};

class SimulatedCluster {
 public:
  static constexpr std::uint32_t kSlices = 8;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);
  static constexpr Duration kFaultDuration = std::chrono::milliseconds(1800);
  static constexpr Duration kDowntimeAfterKill = std::chrono::milliseconds(2500);
  static constexpr Duration kRoleTtl = std::chrono::seconds(1);
  static constexpr Duration kRequestDeadline = std::chrono::milliseconds(50);  // of every request, from its start

  // Starts the first `started` of the nodes.
  SimulatedCluster(std::uint64_t seed, LeaseRules rules, int nodes = 6, int domains = 3, int started = 6);

  // Runs all events up to the given true time.
  void RunUntil(TimePoint end);
  void ScheduleAt(TimePoint time, std::function<void()> action) { m_events.push({time, ++m_order, std::move(action)}); }
  // Calls the hook once, at the first occurrence of the step from now on.
  void OnStep(Step step, std::function<void()> hook) { m_hooks.emplace(step, std::move(hook)); }
  void SignalStep(Step step);

  // Chooses the node of each participant by the current state of the store.
  void SelectParticipants();
  SimulatedNode& NodeOf(Participant participant) {
    return m_nodes[m_participants[static_cast<std::size_t>(participant)]];
  }
  void InjectFault(const Fault& fault);
  // Ends all faults and restarts killed nodes.
  void EndFaults();

  void Kill(SimulatedNode& node);
  void Start(SimulatedNode& node);
  void Pause(SimulatedNode& node, Duration time) { node.paused_until = std::max(node.paused_until, m_now + time); }
  void BlockLink(const SimulatedNode& from, const SimulatedNode& to) {
    m_blocked_links[{from.name, to.name}] = m_now + kFaultDuration;
  }
  void SetDomainOut(const std::string& domain, bool out);
  void StartPlannedStop(SimulatedNode& node);
  void MoveRole();
  void ReportHotKey(std::uint64_t key, double requests_per_second);
  void DeclareHostLost(const HostLostDeclared& declared) {
    Perform(*AssignerNode(), AssignerNode()->assigner->Handle(declared, LocalTime(*AssignerNode())), true);
  }

  TimePoint Now() const { return m_now; }
  std::vector<SimulatedNode>& Nodes() { return m_nodes; }
  SimulatedNode* Find(const std::string& name);
  SimulatedNode* AssignerNode() { return Find(m_role.node()); }
  const std::vector<std::uint64_t>& Keys() const { return m_keys; }
  const proto::SlicePack& Pack() const { return m_pack; }
  const proto::MemberRecord& Member(const std::string& name) { return m_members[name].record(); }
  const OwnershipObserver& Observer() const { return m_observer; }
  OwnershipObserver& Observer() { return m_observer; }
  // For each key: the start time of each piece of work and the node that ran it.
  const std::map<std::uint64_t, std::vector<std::pair<TimePoint, std::string>>>& WorkStarts() const {
    return m_work_starts;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const { return std::pair(other.time, other.order) < std::pair(time, order); }
  };
  using NodeCallback = std::function<void(SimulatedNode&, TimePoint)>;

  Duration RandomDuration(int from_us, int to_us) {
    return Duration(std::uniform_int_distribution<int>(from_us, to_us)(m_random_engine));
  }
  bool RandomBool(double p) { return std::uniform_real_distribution<double>(0, 1)(m_random_engine) < p; }
  TimePoint LocalTime(const SimulatedNode& node) const {
    return TimePoint(node.clock_offset +
                     std::chrono::duration_cast<Duration>(m_now.time_since_epoch() * node.clock_rate));
  }
  bool IsFaultActive(FaultKind kind) const {
    const auto it = m_fault_until.find(kind);
    return it != m_fault_until.end() && m_now < it->second;
  }
  bool IsPaused(const SimulatedNode& node) const { return m_now < node.paused_until; }
  bool IsLinkBlocked(const std::string& from, const std::string& to) const {
    const auto it = m_blocked_links.find({from, to});
    return it != m_blocked_links.end() && m_now < it->second;
  }
  void RunOnNode(const std::string& node, std::uint64_t incarnation, NodeCallback callback);
  void Send(SimulatedNode& from, const SendDatagram& datagram);
  void Receive(SimulatedNode& node, const proto::PeerMessage& message, TimePoint local);
  template <typename Actions>
  void Perform(SimulatedNode& node, const Actions& actions, bool by_assigner);
  void StoreCall(SimulatedNode& node,
                 bool write,
                 std::function<std::int64_t()> effect,
                 std::function<void(SimulatedNode&, TimePoint, WriteOutcome, std::int64_t)> done);
  void SignalPackSteps(const WritePack& write);
  void Commit(const std::string& key, const std::string& value);
  void DistributeView();
  void DeliverView(SimulatedNode& node);
  void Tick(SimulatedNode& node);
  void OfferRequests(SimulatedNode& node, TimePoint local);
  void StartWork(SimulatedNode& node, std::uint64_t key, std::uint64_t incarnation, const SendPermit& checked);
  void RenewRole();

  std::mt19937_64 m_random_engine;
  LeaseRules m_rules;
  TimePoint m_now;
  std::uint64_t m_order = 0;
  std::uint64_t m_next_incarnation = 0;
  std::priority_queue<Event> m_events;
  std::multimap<Step, std::function<void()>> m_hooks;
  std::vector<SimulatedNode> m_nodes;
  std::vector<std::size_t> m_participants = std::vector<std::size_t>(kParticipantCount, 0);
  std::vector<std::uint64_t> m_keys;
  OwnershipObserver m_observer;
  std::map<std::uint64_t, std::vector<std::pair<TimePoint, std::string>>> m_work_starts;
  // Store.
  std::int64_t m_revision = 0;
  std::map<std::string, Versioned<proto::MemberRecord>> m_members;
  std::map<std::string, bool> m_domains_out;
  proto::SlicePack m_pack;
  std::int64_t m_pack_revision = 0;
  proto::RoleRecord m_role;
  TimePoint m_role_renewed_at;
  ViewBuilder m_builder;
  std::shared_ptr<const View> m_snapshot;
  // Faults.
  std::map<std::pair<std::string, std::string>, TimePoint> m_blocked_links;
  std::map<FaultKind, TimePoint> m_fault_until;  // end of each fault of the store or of all messages
};

// ---- Construction, scenario and faults ----

inline SimulatedCluster::SimulatedCluster(std::uint64_t seed, LeaseRules rules, int nodes, int domains, int started)
    : m_random_engine(seed), m_rules(rules) {
  m_now = TimePoint(std::chrono::seconds(1));
  proto::EntryRecord entry;
  entry.set_name("storefront");
  entry.set_keyed(true);
  entry.set_slices(kSlices);
  for (std::uint64_t i = 0; i < kSlices; ++i) {
    m_keys.push_back((i << 61) | 0x1234);
  }
  m_nodes.resize(static_cast<std::size_t>(nodes));
  for (int i = 0; i < nodes; ++i) {
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(i)];
    node.name = fmt::format("n{}", i);
    node.domain = fmt::format("domain-{}", i % domains);
    node.clock_rate = 1.0 + std::uniform_real_distribution<double>(-0.005, 0.005)(m_random_engine);
    node.clock_offset = RandomDuration(0, 1'000'000'000);
  }
  Commit(std::string(kEntryPrefix) + "storefront", entry.SerializeAsString());
  m_role_renewed_at = m_now;
  m_role.set_kind(std::string(kAssignerRole));
  m_role.set_name(AssignerRoleName("storefront", 0));
  for (SimulatedNode& node : m_nodes) {
    if (started-- > 0) {
      ScheduleAt(m_now + RandomDuration(0, 20'000), [this, &node] { Start(node); });
    }
    ScheduleAt(m_now + RandomDuration(0, 10'000), [this, &node] { Tick(node); });
  }
  ScheduleAt(m_now + std::chrono::milliseconds(30), [this] { RenewRole(); });
}

inline void SimulatedCluster::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().time <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  m_now = end;
}

inline void SimulatedCluster::SignalStep(Step step) {
  const auto [first, last] = m_hooks.equal_range(step);
  std::vector<std::function<void()>> hooks;
  for (auto it = first; it != last; ++it) {
    hooks.push_back(it->second);
  }
  m_hooks.erase(first, last);
  for (const auto& hook : hooks) {
    // Runs the hook at the same simulated time, after the current action.
    ScheduleAt(m_now, hook);
  }
}

inline SimulatedNode* SimulatedCluster::Find(const std::string& name) {
  for (SimulatedNode& node : m_nodes) {
    if (node.name == name) {
      return &node;
    }
  }
  return nullptr;
}

inline void SimulatedCluster::SelectParticipants() {
  const auto index = [this](const std::string& name) { return static_cast<std::size_t>(Find(name) - m_nodes.data()); };
  const std::size_t assigner = index(m_role.node());
  std::vector<std::size_t> owners;
  for (const proto::SliceRecord& slice : m_pack.slices()) {
    if (Find(slice.owner()) != nullptr && index(slice.owner()) != assigner) {
      owners.push_back(index(slice.owner()));
    }
  }
  std::shuffle(owners.begin(), owners.end(), m_random_engine);
  const std::size_t owner = owners.empty() ? (assigner + 1) % m_nodes.size() : owners.front();
  std::vector<std::size_t> witnesses;
  for (const proto::Incarnation& witness : Member(m_nodes[owner].name).witnesses()) {
    witnesses.push_back(index(witness.node()));
  }
  std::shuffle(witnesses.begin(), witnesses.end(), m_random_engine);
  std::size_t other = (owner + 1) % m_nodes.size();
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (i != owner && i != assigner && std::find(witnesses.begin(), witnesses.end(), i) == witnesses.end()) {
      other = i;
    }
  }
  while (witnesses.size() < 2) {
    witnesses.push_back(other);
  }
  m_participants = {owner, other, witnesses[0], witnesses[1], assigner};
}

inline void SimulatedCluster::InjectFault(const Fault& fault) {
  SimulatedNode& node = NodeOf(fault.participant);
  const TimePoint until = m_now + kFaultDuration;
  switch (fault.kind) {
    case FaultKind::kPauseShort:
      return Pause(node, std::chrono::milliseconds(400));
    case FaultKind::kPauseLong:
      return Pause(node, kFaultDuration);
    case FaultKind::kKill:
      Kill(node);
      ScheduleAt(m_now + kDowntimeAfterKill, [this, &node] { Start(node); });
      return;
    case FaultKind::kRestart:
      Kill(node);
      ScheduleAt(m_now + std::chrono::milliseconds(30), [this, &node] { Start(node); });
      return;
    case FaultKind::kPartitionBothWays:
    case FaultKind::kPartitionOutbound:
    case FaultKind::kPartitionInbound:
      for (const SimulatedNode& other : m_nodes) {
        if (fault.kind != FaultKind::kPartitionInbound) {
          BlockLink(node, other);
        }
        if (fault.kind != FaultKind::kPartitionOutbound) {
          BlockLink(other, node);
        }
      }
      return;
    case FaultKind::kStoreUnreachable:
      node.store_blocked_until = until;
      return;
    case FaultKind::kStaleView:
      node.view_blocked_until = until;
      return;
    case FaultKind::kPartitionFromAssigner: {
      const SimulatedNode& other =
          NodeOf(fault.participant == Participant::kAssigner ? Participant::kOwner : Participant::kAssigner);
      BlockLink(node, other);
      BlockLink(other, node);
      return;
    }
    case FaultKind::kPartitionOwnerAndWitness:
      for (const SimulatedNode& other : m_nodes) {
        for (const Participant participant : {Participant::kOwner, Participant::kWitnessA}) {
          if (&other != &NodeOf(Participant::kOwner) && &other != &NodeOf(Participant::kWitnessA)) {
            BlockLink(other, NodeOf(participant));
            BlockLink(NodeOf(participant), other);
          }
        }
      }
      return;
    case FaultKind::kFreezeTarget:
      node.target_frozen = true;
      ScheduleAt(until, [&node] { node.target_frozen = false; });
      return;
    case FaultKind::kOwnerClockSlow:
    case FaultKind::kOwnerClockFast:
      // The offset compensates the change of rate, so that the local clocks stay continuous.
      for (SimulatedNode& other : m_nodes) {
        const bool slow = (&other == &NodeOf(Participant::kOwner)) == (fault.kind == FaultKind::kOwnerClockSlow);
        const TimePoint before = LocalTime(other);
        other.clock_rate = slow ? 0.99 : 1.01;
        other.clock_offset += before - LocalTime(other);
      }
      return;
    default:
      m_fault_until[fault.kind] = until;
      return;
  }
}

inline void SimulatedCluster::EndFaults() {
  m_blocked_links.clear();
  m_fault_until.clear();
  for (SimulatedNode& node : m_nodes) {
    node.view_blocked_until = node.store_blocked_until = m_now;
    node.paused_until = std::min(node.paused_until, m_now);
    node.target_frozen = false;
    if (!node.alive && !node.planned_stop) {
      Start(node);
    }
  }
  m_observer.OnFaultsEnded(m_now);
  DistributeView();
}

inline void SimulatedCluster::Kill(SimulatedNode& node) {
  node.alive = false;
  node.paused_until = m_now;
  node.lease.reset();
  node.witness.reset();
  node.slices.reset();
  node.assigner.reset();
}

inline void SimulatedCluster::Start(SimulatedNode& node) {
  if (node.alive) {
    return;
  }
  node.alive = true;
  node.incarnation = ++m_next_incarnation;
  proto::MemberRecord self;
  self.set_node(node.name);
  self.set_incarnation(node.incarnation);
  self.set_region("ishikari");
  self.set_domain(node.domain);
  self.set_ip("10.0.0." + node.name);
  self.set_entry("storefront");
  node.lease = std::make_unique<LeaseOwner>(self, m_rules);
  node.witness = std::make_unique<Witness>(IncarnationId{node.name, node.incarnation}, LocalTime(node), m_rules);
  node.slices = std::make_unique<SliceOwner>(IncarnationId{node.name, node.incarnation}, "storefront");
  node.view_revision = 0;
  DeliverView(node);
}

inline void SimulatedCluster::SetDomainOut(const std::string& domain, bool out) {
  proto::DomainRecord record;
  record.set_name(domain);
  record.set_out(out);
  m_domains_out[domain] = out;
  Commit(std::string(kDomainPrefix) + domain, record.SerializeAsString());
  for (const auto& [name, member] : m_members) {
    m_observer.OnMember(member.record(), m_domains_out[member.record().domain()], m_now);
  }
}

inline void SimulatedCluster::StartPlannedStop(SimulatedNode& node) {
  if (node.alive) {
    node.planned_stop = true;
  }
}

inline void SimulatedCluster::MoveRole() {
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    SimulatedNode& node = m_nodes[(i + static_cast<std::size_t>(m_role.term())) % m_nodes.size()];
    if (node.alive && !IsPaused(node) && node.incarnation != m_role.incarnation() &&
        m_now >= node.store_blocked_until) {
      m_role.set_node(node.name);
      m_role.set_incarnation(node.incarnation);
      m_role.set_term(m_role.term() + 1);
      m_role_renewed_at = m_now;
      Commit(std::string(kRolePrefix) + m_role.kind() + "/" + m_role.name(), m_role.SerializeAsString());
      AssignerSettings settings;
      settings.entry = "storefront";
      settings.slices = kSlices;
      settings.self = IncarnationId{node.name, node.incarnation};
      settings.term = m_role.term();
      settings.balance_moves_per_minute = 60;
      settings.merge_delay = std::chrono::seconds(1);
      settings.rules = m_rules;
      node.assigner = std::make_unique<Assigner>(settings);
      if (node.view != nullptr) {
        Perform(node, node.assigner->Handle(ViewChanged{node.view}, LocalTime(node)), true);
      }
      return;
    }
  }
}

inline void SimulatedCluster::RenewRole() {
  const SimulatedNode* holder = AssignerNode();
  const bool store_up = !IsFaultActive(FaultKind::kStoreDown);
  if (holder != nullptr && holder->alive && !IsPaused(*holder) && store_up && m_now >= holder->store_blocked_until &&
      holder->incarnation == m_role.incarnation() && holder->assigner != nullptr) {
    m_role_renewed_at = m_now;
  } else if (store_up && (holder == nullptr || m_now - m_role_renewed_at > kRoleTtl)) {
    MoveRole();
  }
  ScheduleAt(m_now + std::chrono::milliseconds(100), [this] { RenewRole(); });
}

inline void SimulatedCluster::ReportHotKey(std::uint64_t key, double requests_per_second) {
  SimulatedNode* holder = AssignerNode();
  if (holder != nullptr && holder->assigner != nullptr && !IsPaused(*holder)) {
    DatagramReceived event;
    event.message.mutable_hot_key_report()->set_entry("storefront");
    proto::KeyLoad* load = event.message.mutable_hot_key_report()->add_keys();
    load->set_key_hash(key);
    load->set_requests_per_second(requests_per_second);
    Perform(*holder, holder->assigner->Handle(event, LocalTime(*holder)), true);
  }
}

}  // namespace magnoliaarch

#include "simulated_cluster_run.h"

#endif  // MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_H_
