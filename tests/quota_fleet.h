// A model of the nodes that share one workspace's limit, in virtual time: their leases at a store, the election of the
// node that hands out the tokens, cuts, restarts, freezes and lost messages. The tokens are handled by the product's
// own TokenHolder and TokenPool.

#ifndef MAGNOLIAARCH_TESTS_QUOTA_FLEET_H_
#define MAGNOLIAARCH_TESTS_QUOTA_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "mesh_token_holder_p.h"
#include "mesh_token_pool_p.h"
#include "mesh_util.h"

namespace magnoliaarch {

struct QuotaFleetOptions {
  int nodes = 9;
  double rate = 107;
  double burst = 107;
  std::uint32_t seed = 11;
  double loss = 0;  // share of the calls that are lost, of the answers, and of the calls that arrive late
};

class QuotaFleet {
 public:
  static constexpr int kWindowMs = 5000;

  explicit QuotaFleet(QuotaFleetOptions options = {})
      : m_options(options), m_random(options.seed), m_nodes(static_cast<std::size_t>(options.nodes)) {
    m_config.version = 1;
    m_config.workspaces.push_back(MeshWorkspace{"w", {"k"}, std::nullopt, options.rate, options.burst});
    m_config.Index();
    for (int i = 0; i < options.nodes; ++i) {
      Start(i);
    }
    m_coordinator = 0;
  }

  // Requests that the rule allows in a window: a tenth and 20 requests above the limit.
  double Allowed() const { return (m_options.rate * kWindowMs / 1000 + m_options.burst) * 1.1 + 20; }
  // The same without that allowance. A refused request's token may come back 0.4 s after it was taken.
  double Limit() const { return m_options.rate * (kWindowMs + 400.0) / 1000 + m_options.burst + 1; }

  // Makes another node hand out the tokens.
  void MoveTo(int node) { m_coordinator = node; }
  // Separates nodes from all others, and from the store if `from_store`.
  void Cut(int first, int last, bool from_store) {
    ++m_last_side;
    for (int i = first; i <= last; ++i) {
      At(i).side = m_last_side;
      At(i).reaches_store = !from_store;
    }
  }
  void Heal() {
    for (Node& node : m_nodes) {
      node.side = 0;
      node.reaches_store = true;
    }
  }
  void Kill(int i, int down_ms) {
    At(i).up_at = m_now_ms + down_ms;
    At(i).holder.reset();
    At(i).pool.reset();
  }
  void Freeze(int i, int for_ms) { At(i).frozen_until = m_now_ms + for_ms; }
  // Share of the requests that targets refuse without running them, 5 to 400 ms after they were admitted.
  void SetRefusing(double share) { m_refusing = share; }

  void Run(int duration_ms, double per_s) {
    for (const int end = m_now_ms + duration_ms; m_now_ms < end; ++m_now_ms) {
      while (!m_later.empty() && m_later.begin()->first <= m_now_ms) {
        const std::function<void()> work = std::move(m_later.begin()->second);
        m_later.erase(m_later.begin());
        work();
      }
      if (m_now_ms % kTickMs == 0) {
        ExpireLeases();
        for (int i = 0; i < m_options.nodes; ++i) {
          Tick(i);
        }
      }
      std::poisson_distribution<int> arrivals(per_s / 1000);
      for (int count = arrivals(m_random); count > 0; --count) {
        Serve(Draw(0, m_options.nodes - 1));
      }
    }
  }

  // Most requests that ran in any window.
  double Busiest() const {
    std::ptrdiff_t most = 0;
    auto first = m_ran.begin();
    for (auto it = m_ran.begin(); it != m_ran.end(); ++it) {
      while (*it - *first >= kWindowMs) {
        ++first;
      }
      most = std::max(most, it - first + 1);
    }
    return static_cast<double>(most);
  }
  double Served() const { return static_cast<double>(m_ran.size()) / std::max(m_asked, 1); }
  // Counts the share of served requests from now on.
  void ForgetServed() {
    m_asked = 0;
    m_ran.clear();
  }
  int Draw(int low, int high) { return std::uniform_int_distribution<>(low, high)(m_random); }
  bool Chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

 private:
  static constexpr int kTickMs = 50;
  static constexpr int kRequestPeriodMs = 200;
  static constexpr int kLeaseMs = 5000;
  static constexpr int kRenewPeriodMs = 1000;
  static constexpr int kLeaseMarginMs = 100;
  static constexpr int kViewPeriodMs = 150;

  struct Node {
    std::unique_ptr<TokenHolder> holder;
    std::unique_ptr<TokenPool> pool;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    int side = 0;
    bool reaches_store = true;
    int up_at = 0;
    int frozen_until = 0;
    int renewed_at = -1;
    // What the node last read from the store.
    TokenPool::Members members;
    std::optional<int> coordinator;
    std::optional<int> told;  // the coordinator of the last call
    bool has_duty = false;
  };
  struct Lease {
    std::uint64_t incarnation = 0;
    int ends_at = 0;
  };

  Node& At(int i) { return m_nodes[static_cast<std::size_t>(i)]; }
  TimePoint Now() const { return magnoliaarch::At(m_now_ms); }
  TokenNode Name(int i) { return TokenNode{"n" + std::to_string(i), At(i).incarnation}; }
  bool Runs(int i) { return At(i).holder != nullptr && m_now_ms >= At(i).frozen_until; }
  TimePoint AuthorityEnd(const Node& node) const {
    return node.renewed_at < 0 ? TimePoint() : magnoliaarch::At(node.renewed_at + kLeaseMs - kLeaseMarginMs);
  }

  void Start(int i) {
    Node& node = At(i);
    node.holder = std::make_unique<TokenHolder>();
    node.pool = std::make_unique<TokenPool>();
    node.holder->SetLimits(Now(), m_config);
    node.pool->SetLimits(Now(), m_config);
    ++node.incarnation;
    node.renewed_at = -1;
    node.members.clear();
    node.coordinator.reset();
    node.told.reset();
    node.has_duty = false;
  }
  void ExpireLeases() {
    std::erase_if(m_leases, [&](const auto& lease) { return lease.second.ends_at <= m_now_ms; });
    if (m_coordinator && !m_leases.contains(*m_coordinator) && m_now_ms > kLeaseMs) {
      m_coordinator.reset();
    }
  }
  void Tick(int i) {
    Node& node = At(i);
    if (node.holder == nullptr && m_now_ms >= node.up_at) {
      Start(i);
    }
    if (!Runs(i)) {
      return;
    }
    if (node.reaches_store) {
      UseStore(i);
    }
    node.holder->Refill(Now(), AuthorityEnd(node));
    if ((m_now_ms + i * kTickMs) % kRequestPeriodMs == 0) {
      Call(i);
    }
  }
  void UseStore(int i) {
    Node& node = At(i);
    const auto lease = m_leases.find(i);
    const bool held = lease != m_leases.end() && lease->second.incarnation == node.incarnation;
    if (node.renewed_at < 0 || !held || m_now_ms - node.renewed_at >= kRenewPeriodMs) {
      m_leases[i] = Lease{node.incarnation, m_now_ms + kLeaseMs};
      node.renewed_at = m_now_ms;
    }
    if (!m_coordinator && !node.coordinator) {
      m_coordinator = i;
    }
    if ((m_now_ms + i * kTickMs) % kViewPeriodMs == 0) {
      node.members.clear();
      for (const auto& [member, state] : m_leases) {
        node.members.insert(TokenNode{"n" + std::to_string(member), state.incarnation});
      }
      node.coordinator = m_coordinator;
      node.pool->OnMembers(Now(), node.members);
      FollowDuty(i);
    }
  }
  void FollowDuty(int i) {
    Node& node = At(i);
    const bool has_duty = node.coordinator == i && Now() < AuthorityEnd(node);
    if (has_duty && !node.has_duty) {
      node.pool->BeginDuty(Now(), 0, node.members);
    }
    node.has_duty = has_duty;
  }
  void Call(int i) {
    Node& node = At(i);
    if (!node.coordinator) {
      return;
    }
    const int to = *node.coordinator;
    if (node.told != node.coordinator) {
      node.told = node.coordinator;
      node.holder->OnSourceChanged(0);
    }
    const auto all = [](std::size_t) { return true; };
    if (!node.holder->NeedsCall(Now(), node.members.size(), all)) {
      return;
    }
    const proto::TenantDemand demand = node.holder->BeginCall(Now(), node.members.size(), all).front();
    const std::uint64_t sequence = ++node.sequence;
    const TokenNode caller = Name(i);
    if (i != to && Chance(m_options.loss)) {
      m_later.emplace(m_now_ms + Draw(300, 3000),
                      [this, to, caller, sequence, demand] { Answer(to, caller, sequence, demand); });
      return;
    }
    if ((i != to && Chance(m_options.loss)) || At(to).side != node.side) {
      return;
    }
    const std::optional<proto::TokenGrant> grant = Answer(to, caller, sequence, demand);
    if (grant && (i == to || !Chance(m_options.loss))) {
      node.holder->OnGrant(Now(), sequence, demand, *grant);
    }
  }
  std::optional<proto::TokenGrant> Answer(int to,
                                          const TokenNode& caller,
                                          std::uint64_t sequence,
                                          const proto::TenantDemand& demand) {
    if (!Runs(to)) {
      return std::nullopt;
    }
    FollowDuty(to);
    Node& node = At(to);
    if (!node.has_duty || !node.members.contains(caller)) {
      return std::nullopt;
    }
    return node.pool->Answer(Now(), caller, sequence, demand, node.members.size());
  }
  void Serve(int i) {
    ++m_asked;
    if (!Runs(i)) {
      return;
    }
    bool taken = At(i).holder->Take(Now(), 0);
    if (!taken && !At(i).holder->IsAtLimit(Now(), 0)) {
      At(i).holder->AddWaiting(0, 1);
      Call(i);
      At(i).holder->AddWaiting(0, -1);
      taken = At(i).holder->Take(Now(), 0);
    }
    if (taken && Chance(m_refusing)) {
      const TimePoint taken_at = Now();
      const std::uint64_t incarnation = At(i).incarnation;
      m_later.emplace(m_now_ms + Draw(5, 400), [this, i, incarnation, taken_at] {
        if (At(i).holder != nullptr && At(i).incarnation == incarnation) {
          At(i).holder->Refund(Now(), 0, taken_at);
        }
      });
    } else if (taken) {
      m_ran.push_back(m_now_ms);
    }
  }

  const QuotaFleetOptions m_options;
  std::mt19937 m_random;
  MeshConfig m_config;
  std::vector<Node> m_nodes;
  std::map<int, Lease> m_leases;
  std::optional<int> m_coordinator;
  std::multimap<int, std::function<void()>> m_later;
  double m_refusing = 0;
  int m_last_side = 0;
  int m_now_ms = 0;
  int m_asked = 0;
  std::vector<int> m_ran;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_QUOTA_FLEET_H_
