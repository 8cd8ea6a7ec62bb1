#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "magnoliaarch/admission.h"

namespace magnoliaarch {
namespace {

ShareAmount MaxOf(const ShareAmount& a, const ShareAmount& b) {
  return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

// Max-min fair division with equal weights: returns the level up to which every demand is met.
double MaxMinLevel(std::vector<double> demands, double amount) {
  std::sort(demands.begin(), demands.end());
  double left = amount;
  std::size_t open = demands.size();
  for (const double demand : demands) {
    if (demand * static_cast<double>(open) >= left) {
      return left / static_cast<double>(open);
    }
    left -= demand;
    --open;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace

ShareAllocator::ShareAllocator(ShareAllocatorOptions options, std::string workspace, std::uint64_t term, TimePoint now)
    : m_options(options), m_workspace(std::move(workspace)), m_term(term), m_pool({}, now) {
  m_recovery_until = now;
  if (options.root && options.has_predecessor && !options.faults.skip_restart_wait) {
    m_recovery_until += WithDrift(options.validity + options.predecessor_grace);
  }
}

Duration ShareAllocator::WithDrift(Duration duration) const {
  return Duration(static_cast<std::int64_t>(std::ceil(static_cast<double>(duration.count()) * (1 + m_options.drift))));
}

void ShareAllocator::SetLimit(TimePoint now, ShareAmount limit) {
  if (!m_limits.empty() && m_limits.back().amount == limit) {
    return;
  }
  std::erase_if(m_limits, [&](const TimedShare& old) { return old.until <= now; });
  if (!m_limits.empty()) {
    m_limits.back().until = now + WithDrift(m_options.validity);
  }
  m_limits.push_back({limit, TimePoint::max()});
  UpdatePool(now);
}

void ShareAllocator::SetLimits(TimePoint now, std::vector<TimedShare> limits) {
  m_limits = std::move(limits);
  UpdatePool(now);
}

ShareAmount ShareAllocator::Limit(TimePoint now) const {
  const ShareAmount limit = m_limits.empty() ? ShareAmount{} : m_limits.back().amount;
  return now >= m_recovery_until
             ? limit
             : ShareAmount{std::min(limit.rate, m_recovered.rate), std::min(limit.burst, m_recovered.burst)};
}

ShareAmount ShareAllocator::CapAt(TimePoint at) const {
  if (at < m_recovery_until) {
    return m_recovered;
  }
  ShareAmount cap;
  for (const TimedShare& limit : m_limits) {
    if (limit.until > at) {
      cap = MaxOf(cap, limit.amount);
    }
  }
  return cap;
}

ShareAmount ShareAllocator::HeldAt(const HolderState& holder, TimePoint at, bool newest_only) {
  ShareAmount held;
  double extra_tokens = 0;
  for (const OutstandingGrant& grant : holder.grants) {
    if (grant.share.until > at) {
      held = newest_only ? grant.share.amount : MaxOf(held, grant.share.amount);
      extra_tokens += grant.extra_tokens;
    }
  }
  held.burst += extra_tokens;
  return held;
}

ShareAmount ShareAllocator::Outstanding(TimePoint now) const {
  ShareAmount sum;
  for (const auto& [id, holder] : m_holders) {
    const ShareAmount held = HeldAt(holder, now, m_options.faults.reassign_unreturned_share);
    sum.rate += held.rate;
    sum.burst += held.burst;
  }
  return sum;
}

double ShareAllocator::Demand(TimePoint now) const {
  double sum = 0;
  for (const auto& [id, holder] : m_holders) {
    sum += IsLive(holder, now) ? holder.demand : 0;
  }
  return sum;
}

void ShareAllocator::Expire(TimePoint now) {
  for (auto it = m_holders.begin(); it != m_holders.end();) {
    std::erase_if(it->second.grants, [&](const OutstandingGrant& grant) { return grant.share.until <= now; });
    const bool gone = it->second.grants.empty() && now - it->second.seen > m_options.silent_holder_timeout;
    it = gone ? m_holders.erase(it) : std::next(it);
  }
}

ShareAmount ShareAllocator::DesiredShare(const IncarnationId& id, TimePoint now) const {
  const ShareAmount limit = Limit(now);
  const double rate = limit.rate * (1 - m_options.reserve_fraction);
  std::vector<double> demands;
  demands.reserve(m_holders.size());
  double own_demand = 0;
  for (const auto& [holder_id, holder] : m_holders) {
    if (IsLive(holder, now)) {
      demands.push_back(holder.demand);
      own_demand = holder_id == id ? holder.demand : own_demand;
    }
  }
  const double count = static_cast<double>(demands.size());
  const double floor = rate * m_options.floor_fraction / count;
  for (double& demand : demands) {
    demand = std::max(0.0, demand - floor);
  }
  const double level = MaxMinLevel(demands, rate * (1 - m_options.floor_fraction));
  double used = floor * count;
  for (const double demand : demands) {
    used += std::min(demand, level);
  }
  // The remainder is divided too: demand changes between reports, so withheld capacity would only cause refusals.
  const double desired =
      floor + std::min(std::max(0.0, own_demand - floor), level) + std::max(0.0, rate - used) / count;

  // A bucket that holds less than one token admits nothing, so bursts are whole numbers and at least 1 while the
  // limit's burst suffices.
  const bool small = rate < m_options.small_rate * std::max(count, m_options.small_holders);
  const double bursts =
      std::floor(limit.burst * (1 - m_options.reserve_fraction - (small ? m_options.small_reserve_fraction : 0)));
  double burst = std::floor(std::max(0.0, bursts - count) * desired / std::max(rate, 1e-9)) + 1;
  if (small) {
    burst = std::min(burst, std::max(m_options.small_burst, std::ceil(m_holders.at(id).starved)));
  }
  if (bursts < count) {
    burst = 1;  // first come, first served: bounded by AvailableTo
  }
  return {desired, burst};
}

ShareAmount ShareAllocator::AvailableTo(const IncarnationId& id, TimePoint now) const {
  // What others may hold changes only when a grant expires, so checking the expiry times is enough.
  std::vector<TimePoint> times = {now, m_recovery_until};
  for (const auto& [holder_id, holder] : m_holders) {
    for (const OutstandingGrant& grant : holder.grants) {
      times.push_back(grant.share.until);
    }
  }
  for (const TimedShare& limit : m_limits) {
    times.push_back(limit.until);
  }
  const TimePoint end = now + m_options.validity;
  ShareAmount available{std::numeric_limits<double>::infinity(), std::numeric_limits<double>::infinity()};
  for (const TimePoint at : times) {
    if (at < now || at >= end) {
      continue;
    }
    const ShareAmount cap = CapAt(at);
    if (cap == ShareAmount{}) {
      continue;  // the grant expires with the limit
    }
    ShareAmount others;
    for (const auto& [holder_id, holder] : m_holders) {
      if (holder_id != id) {
        const ShareAmount held = HeldAt(holder, at, m_options.faults.reassign_unreturned_share);
        others.rate += held.rate;
        others.burst += held.burst;
      }
    }
    available.rate = std::min(available.rate, std::max(0.0, cap.rate - others.rate));
    available.burst = std::min(available.burst, std::max(0.0, cap.burst - others.burst));
  }
  return available;
}

void ShareAllocator::UpdatePool(TimePoint now) {
  const ShareAmount cap = CapAt(now);
  const ShareAmount out = Outstanding(now);
  m_pool.Set(now, {std::max(0.0, cap.rate - out.rate), std::max(0.0, cap.burst - out.burst)});
}

void ShareAllocator::Confirm(TimePoint now, const proto::ShareReport& report, HolderState& holder) {
  const double before = HeldAt(holder, now, false).burst;
  const bool holds = report.held_for_ms() > 0;
  // A late grant of the predecessor may replace what was reported, so only the acceptance of one of this allocator's
  // grants proves that older ones are no longer in use.
  if (!holds || report.held_term() == m_term) {
    std::erase_if(holder.grants, [&](const OutstandingGrant& grant) {
      return grant.sequence < report.held_sequence() && (holds || grant.sequence > 0);
    });
  }
  double returned = 0;
  for (OutstandingGrant& grant : holder.grants) {
    if (holds && report.held_term() == m_term && grant.sequence == report.held_sequence()) {
      returned = grant.confirmed && !m_options.faults.credit_twice ? 0 : report.returned();
      grant.confirmed = true;
      grant.extra_tokens = 0;  // now in the holder's bucket or returned
    }
  }
  // The part of the burst that this report frees was counted against the limit until now, so no other tokens have
  // replaced it. Up to that many returned tokens go to the pool; the rest is lost.
  if (!m_options.faults.credit_twice) {
    returned = std::min(returned, before - HeldAt(holder, now, false).burst);
  }
  UpdatePool(now);
  m_pool.Add(now, std::max(0.0, returned));
}

std::optional<proto::ShareGrant> ShareAllocator::OnReport(TimePoint now, const proto::ShareReport& report) {
  m_superseded = m_superseded || report.term() > m_term;
  if ((m_superseded || now >= m_role_until) && !m_options.faults.grant_after_role_lost) {
    return std::nullopt;
  }
  Expire(now);
  const IncarnationId id{report.holder().node(), report.holder().number()};
  const bool is_new = !m_holders.contains(id);
  HolderState& holder = m_holders[id];
  if (report.sequence() <= holder.sequence) {
    return std::nullopt;
  }
  holder.sequence = report.sequence();
  holder.demand = report.demand();
  holder.starved = report.starved();
  holder.seen = now;
  const bool holds = report.held_for_ms() > 0;
  Confirm(now, report, holder);

  const TimePoint limit_until = m_limits.empty() ? now : m_limits.back().until;
  Duration validity = m_options.validity;
  if (limit_until - now < std::chrono::hours(1)) {
    const auto left = static_cast<double>((limit_until - now).count()) / (1 + m_options.drift);
    validity = std::min(validity, Duration(static_cast<std::int64_t>(std::max(0.0, left))));
  }
  const auto valid_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, validity.count() / 1000));
  if (valid_ms == 0) {
    return std::nullopt;
  }

  if (now < m_recovery_until && is_new && holds) {
    // The predecessor had granted this share to this holder, so no other holder has it: it can be divided from now on.
    m_recovered.rate += report.held_rate();
    m_recovered.burst += report.held_burst();
    const ShareAmount held{report.held_rate(), report.held_burst()};
    const TimePoint until = now + WithDrift(std::chrono::milliseconds(report.held_for_ms() + 1));
    holder.grants.push_back({0, {held, std::max(until, m_recovery_until)}, 0, false});
    UpdatePool(now);
  }
  const ShareAmount desired = DesiredShare(id, now);
  ShareAmount available = AvailableTo(id, now);
  for (const OutstandingGrant& grant : holder.grants) {
    available.burst -= grant.extra_tokens;
  }
  ShareAmount amount{std::min(desired.rate, available.rate),
                     std::floor(std::min(desired.burst, available.burst) + 1e-9)};
  if (amount.burst < 1) {
    amount = {};
  }
  const double burst_before = HeldAt(holder, now, false).burst;
  holder.grants.push_back(
      {report.sequence(), {amount, now + WithDrift(std::chrono::milliseconds(valid_ms))}, 0, false});
  const double pool_before = m_pool.Tokens(now);
  UpdatePool(now);
  // The tokens of the part of the limit that moves to this holder move too, plus some tokens of the pool for the
  // holder's first requests.
  // Tokens in transit are in no bucket, so they must fit into the part of the burst that is new to this holder:
  // otherwise late grants would add to a burst that is already in use.
  const double moved = pool_before - m_pool.Tokens(now);
  const double wanted = moved + std::max(1.0, m_pool.Tokens(now) / 2);
  const double max_tokens = std::clamp(amount.burst - burst_before, 0.0, wanted);
  double tokens = std::min(max_tokens, moved) + m_pool.TakeUpTo(now, std::max(0.0, max_tokens - moved));
  // A starved holder gets additional tokens. They remain counted against the limit, in the pool's part of the burst,
  // until the holder confirms the grant.
  const double extra_tokens = m_pool.TakeUpTo(now, std::min(report.starved(), amount.burst) - tokens);
  holder.grants.back().extra_tokens = extra_tokens;
  tokens += extra_tokens;
  UpdatePool(now);
  proto::ShareGrant grant;
  grant.set_workspace(m_workspace);
  grant.set_term(m_term);
  grant.set_rate(amount.rate);
  grant.set_burst(amount.burst);
  grant.set_valid_ms(valid_ms);
  grant.set_sequence(report.sequence());
  grant.set_tokens(tokens);
  grant.set_holder_incarnation(id.number);
  return grant;
}

// ---- InnerAllocator ----

InnerAllocator::InnerAllocator(ShareHolderOptions holder_options,
                               ShareAllocatorOptions allocator_options,
                               std::string workspace,
                               IncarnationId self,
                               std::uint64_t term,
                               TimePoint now)
    : m_holder(holder_options, workspace, std::move(self)),
      m_allocator(
          [&allocator_options] {
            allocator_options.root = false;
            return allocator_options;
          }(),
          workspace,
          term,
          now) {
  m_holder.SetInner(0, {});
}

void InnerAllocator::Sync(TimePoint now) {
  m_holder.SetInner(m_allocator.Demand(now), m_allocator.Outstanding(now));
  m_allocator.SetLimits(now, m_holder.Shares(now));
}

std::optional<proto::ShareGrant> InnerAllocator::OnReport(TimePoint now, const proto::ShareReport& report) {
  Sync(now);
  return m_allocator.OnReport(now, report);
}

std::optional<proto::ShareReport> InnerAllocator::Report(TimePoint now) {
  Sync(now);
  std::optional<proto::ShareReport> report = m_holder.Report(now);
  // The report may have returned an older share, which must not be granted again.
  m_allocator.SetLimits(now, m_holder.Shares(now));
  return report;
}

bool InnerAllocator::OnGrant(TimePoint now, const proto::ShareGrant& grant) {
  // The shares that the holders use now determine which older shares may be dropped.
  Sync(now);
  const bool taken = m_holder.OnGrant(now, grant);
  Sync(now);
  return taken;
}

}  // namespace magnoliaarch
