// Dissemination: digests, the push tree and the view's age.

#include "magnoliaarch/dissemination.h"

#include <algorithm>
#include <iterator>

namespace magnoliaarch {

// ---- Digests ----

bool Dissemination::IsParentSilent(TimePoint now) const {
  // A heartbeat can be skipped, so up to twice the period passes without a loss. During an outage heartbeats are less
  // frequent and there is nothing to repair.
  return !m_parent.empty() && !IsOutage(now) && 2 * (now - m_parent_heard) > 5 * m_options.heartbeat_period;
}

void Dissemination::TickDigests(TimePoint now, DisseminationActions* actions) {
  const bool silent = IsParentSilent(now);
  if (silent) {
    // Records about a takeover of the parent itself arrive only through another watcher's tree.
    m_next_digest = std::min(m_next_digest, m_last_digest + m_options.repair_period);
  }
  if (now < m_next_digest) {
    return;
  }
  m_last_digest = now;
  const bool fresh = IsFresh(now);
  // The first outage reports must spread before the views become stale.
  const bool outage = IsOutage(now);
  const bool urgent = m_is_watcher && m_probe_failed && !outage;
  m_next_digest = now + (fresh    ? m_options.digest_period
                         : urgent ? m_options.repair_period / 2
                                  : m_options.repair_period);
  const std::size_t round = m_digest_round++;
  const auto own = m_member_order.find(m_domain);
  std::set<std::string> to;
  if (m_is_watcher) {
    for (int i = 0; i < m_options.watchers_per_domain && i < static_cast<int>(own->second.size()); ++i) {
      to.insert(own->second[static_cast<std::size_t>(i)].second);
    }
    for (int i = 0; i < (fresh ? 1 : outage ? m_options.outage_domains : m_options.repair_domains); ++i) {
      to.insert(RandomRemoteWatcher());
    }
  } else {
    to.insert(m_parent);
    // The alternate parent's tree has the records that were lost above this node's parent.
    constexpr std::size_t kAlternateParentInterval = 4;
    if (silent || (fresh && round % kAlternateParentInterval == 0)) {
      to.insert(m_alternate_parent);
    }
    if (!fresh) {
      constexpr std::size_t kRepairSources = 4;
      const std::size_t members = own == m_member_order.end() ? 0 : own->second.size();
      switch (round % kRepairSources) {
        case 0:
          to.insert(m_alternate_parent);
          break;
        case 1:
        case 2:
          // Asks the watchers; during an outage, when all nodes ask and any node has the reports, asks a random member.
          if (members > 0) {
            const std::size_t index = m_outages.empty() ? round % kRepairSources - 1 : m_random();
            to.insert(own->second[index % members].second);
          }
          break;
        default:
          if (members > 0) {
            to.insert(own->second[m_random() % members].second);
          }
          to.insert(RandomRemoteWatcher());
          break;
      }
    }
  }
  to.erase("");
  to.erase(m_self.node);
  for (const std::string& node : to) {
    SendDigest(node, now, actions);
  }
}

std::string Dissemination::RandomRemoteWatcher() {
  const std::size_t others = m_member_order.size() - (m_member_order.contains(m_domain) ? 1 : 0);
  if (others == 0) {
    return {};
  }
  std::size_t skip = m_random() % others;
  for (const auto& [domain, order] : m_member_order) {
    if (domain == m_domain || skip-- > 0) {
      continue;
    }
    const std::size_t watchers = std::min(order.size(), static_cast<std::size_t>(m_options.watchers_per_domain));
    return order[m_random() % watchers].second;
  }
  return {};
}

// ---- Tree ----

void Dissemination::UpdateTree(TimePoint now, DisseminationActions* actions) {
  if (!m_tree_outdated) {
    return;
  }
  m_tree_outdated = false;
  const bool was_watcher = m_is_watcher;
  const std::string old_parent = m_parent;
  m_is_watcher = false;
  m_parent.clear();
  m_alternate_parent.clear();
  m_children.clear();
  const auto found = m_member_order.find(m_domain);
  if (found != m_member_order.end()) {
    const MemberOrder& order = found->second;
    const std::size_t roots = static_cast<std::size_t>(m_options.watchers_per_domain);
    const std::size_t fan_out = static_cast<std::size_t>(m_options.fan_out);
    const std::pair<std::uint64_t, std::string> member_key(HashKey(m_self.node), m_self.node);
    const auto at = std::lower_bound(order.begin(), order.end(), member_key);
    const auto name = [&](std::size_t index) { return index < order.size() ? order[index].second : std::string(); };
    if (at == order.end() || *at != member_key) {
      // Not a member yet: the watchers answer its digests.
      m_parent = name(0);
      m_alternate_parent = name(1);
    } else {
      // Member i belongs to the tree of watcher i % roots, at heap position i / roots.
      const std::size_t index = static_cast<std::size_t>(std::distance(order.begin(), at));
      const std::size_t root = index % roots;
      const std::size_t position = index / roots;
      m_is_watcher = position == 0;
      if (!m_is_watcher) {
        const std::size_t above = (position - 1) / fan_out;
        m_parent = name(roots * above + root);
        m_alternate_parent = name(roots * above + (root + 1) % roots);
      }
      for (std::size_t k = 1; k <= fan_out; ++k) {
        const std::size_t child = roots * (fan_out * position + k) + root;
        if (child < order.size()) {
          m_children.push_back(order[child].second);
        }
      }
    }
  }
  if (m_parent != old_parent) {
    m_parent_heard = now;
  }
  if (m_is_watcher && !was_watcher) {
    m_next_read = m_next_watch = now;
  }
  if (!m_is_watcher && was_watcher) {
    actions->stop_watch = m_watching;
    m_watching = false;
    if (!m_pending_is_full_read) {
      m_pending_read = 0;
    }
  }
}

std::vector<std::string> Dissemination::DomainOrder(std::string_view domain) const {
  std::vector<std::string> nodes;
  const auto found = m_member_order.find(std::string(domain));
  if (found != m_member_order.end()) {
    std::transform(found->second.begin(), found->second.end(), std::back_inserter(nodes),
                   [](const auto& member_key) { return member_key.second; });
  }
  return nodes;
}

bool Dissemination::IsChild(const std::string& node) const {
  return std::find(m_children.begin(), m_children.end(), node) != m_children.end();
}

// ---- Age ----

std::optional<Duration> Dissemination::Age(TimePoint now) const {
  return m_fresh_at ? std::optional<Duration>(now - *m_fresh_at) : std::nullopt;
}

bool Dissemination::IsFresh(TimePoint now) const {
  if (m_is_watcher && m_probe_failed) {
    return false;
  }
  if (m_fresh_at && now - *m_fresh_at <= m_options.fresh_age) {
    return true;
  }
  // During a store outage no node has a fresher view, so only the watchers keep exchanging reports at the faster rate.
  return !m_is_watcher && 2 * CountOutages(now, m_options.stale_age - m_options.fresh_age) > Domains();
}

int Dissemination::CountOutages(TimePoint now, Duration oldest) const {
  return static_cast<int>(std::count_if(m_outages.begin(), m_outages.end(), [&](const auto& outage) {
    return m_member_order.contains(outage.first) && now - outage.second.reported_at <= oldest;
  }));
}

bool Dissemination::IsOutage(TimePoint now) const {
  return 2 * DomainsReportingOutage(now) > Domains();
}

int Dissemination::DomainsReportingOutage(TimePoint now) const {
  return CountOutages(now, m_options.stale_age);
}

bool Dissemination::AcceptsWorkspaceKeys(TimePoint now) const {
  if (!m_fresh_at) {
    return false;
  }
  return now - *m_fresh_at <= m_options.stale_age || IsOutage(now);
}

}  // namespace magnoliaarch
