#include "magnoliaarch/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Number of reports whose send time is kept; a grant that answers an older report is too late to be useful.
constexpr std::size_t kMaxTrackedReports = 64;

// Tolerance of token comparisons: a rounding error must not delay a request by a whole token.
constexpr double kTokenEpsilon = 1e-9;

bool FitsIn(const ShareAmount& inner, const ShareAmount& outer) {
  return inner.rate <= outer.rate + kTokenEpsilon && inner.burst <= outer.burst + kTokenEpsilon;
}

}  // namespace

// ---- TokenBucket ----

void TokenBucket::Refill(TimePoint now) {
  if (now > m_refilled_at) {
    m_tokens = std::min(m_amount.burst, m_tokens + m_amount.rate * Seconds(now - m_refilled_at));
    m_refilled_at = now;
  }
}

void TokenBucket::Set(TimePoint now, ShareAmount amount) {
  Refill(now);
  m_refilled_at = std::max(m_refilled_at, now);
  m_amount = amount;
  m_tokens = std::min(m_tokens, amount.burst);
}

void TokenBucket::Add(TimePoint now, double tokens) {
  Refill(now);
  m_tokens = std::min(m_amount.burst, m_tokens + tokens);
}

bool TokenBucket::Take(TimePoint now, double cost) {
  Refill(now);
  if (m_tokens + kTokenEpsilon < cost) {
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - cost);
  return true;
}

double TokenBucket::TakeUpTo(TimePoint now, double tokens) {
  Refill(now);
  const double taken = std::clamp(tokens, 0.0, m_tokens);
  m_tokens -= taken;
  return taken;
}

double TokenBucket::Tokens(TimePoint now) {
  Refill(now);
  return m_tokens;
}

std::optional<Duration> TokenBucket::WaitFor(TimePoint now, double cost) {
  Refill(now);
  if (m_tokens + kTokenEpsilon >= cost) {
    return Duration::zero();
  }
  if (m_amount.rate <= 0 || m_amount.burst < cost) {
    return std::nullopt;
  }
  const double seconds = std::min(3600.0, (cost - m_tokens) / m_amount.rate);
  return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

// ---- ShareHolder ----

ShareHolder::ShareHolder(ShareHolderOptions options, std::string workspace, IncarnationId self)
    : m_options(options),
      m_workspace(std::move(workspace)),
      m_self(std::move(self)),
      m_retry_interval(m_options.min_report_interval),
      m_starved_interval(m_options.starved_interval) {}

void ShareHolder::Refresh(TimePoint now) {
  if (m_accepted.empty()) {
    return;
  }
  const TimePoint until = m_accepted.back().share.until;
  if (until <= now && !m_options.faults.keep_expired_share) {
    // Tokens accrue only until the share expires, and are dropped with it.
    m_bucket.Set(until, {});
    if (!m_inner) {
      m_accepted.clear();
      return;
    }
  }
  if (!m_options.faults.keep_expired_share) {
    std::erase_if(m_accepted, [&](const AcceptedGrant& accepted) { return accepted.share.until <= now; });
  }
  while (m_accepted.size() > 1 &&
         FitsIn(m_inner ? m_inner_in_use : m_accepted.back().share.amount, m_accepted[1].share.amount)) {
    m_accepted.pop_front();
  }
}

void ShareHolder::CountArrival(TimePoint now) {
  m_request_rate = Demand(now) + 1 / Seconds(m_options.demand_time_constant);
  m_last_arrival = now;
}

double ShareHolder::Demand(TimePoint now) const {
  return m_request_rate * std::exp(-Seconds(now - m_last_arrival) / Seconds(m_options.demand_time_constant));
}

Admission ShareHolder::Admit(TimePoint now, Duration waited) {
  Refresh(now);
  const bool is_new = waited == Duration::zero();
  if (is_new) {
    CountArrival(now);
  }
  const bool waits = !is_new;
  if (m_bucket.Take(now)) {
    m_waiting -= waits ? 1 : 0;
    return Admission::kAdmitted;
  }
  m_report_soon = m_report_soon || m_accepted.empty();
  m_unsatisfied = true;
  const Duration left = m_options.max_wait - waited;
  bool worth_waiting = left > Duration::zero();
  if (m_bucket.Amount().burst >= 1) {
    const std::optional<Duration> wait = m_bucket.WaitFor(now);
    const bool in_time = wait.has_value() && *wait <= left;
    // The allocator may grant a token before the share accrues one.
    m_starved = m_starved || (worth_waiting && !in_time);
    worth_waiting = worth_waiting && (in_time || m_last_report + m_starved_interval < now + left);
  } else {
    m_starved = m_starved || worth_waiting;
  }
  const int max_waiting = std::max(m_options.min_waiting_capacity, static_cast<int>(m_bucket.Amount().burst));
  if (worth_waiting && (waits || m_waiting < max_waiting)) {
    m_waiting += is_new ? 1 : 0;
    return Admission::kWait;
  }
  m_waiting -= waits ? 1 : 0;
  return Admission::kRefused;
}

void ShareHolder::OnWaiterGone() {
  m_waiting = std::max(0, m_waiting - 1);
}

void ShareHolder::SetInner(double demand, ShareAmount in_use) {
  m_inner = true;
  m_inner_demand = demand;
  m_inner_in_use = in_use;
}

void ShareHolder::OnTerm(std::uint64_t term) {
  m_term = m_options.faults.accept_lower_terms ? m_term : std::max(m_term, term);
}

double ShareHolder::MissingTokens(TimePoint now) {
  return m_starved && !m_inner ? std::max(0.0, m_waiting - m_bucket.Tokens(now)) : 0;
}

bool ShareHolder::DemandChanged(TimePoint now) const {
  const double demand = Demand(now);
  // Three standard deviations of the decaying count: a smaller change is noise, and each report costs control traffic.
  const double noise =
      3 * std::sqrt(std::max(demand, m_reported_demand) / (2 * Seconds(m_options.demand_time_constant)));
  return std::abs(demand - m_reported_demand) > std::max(0.25 * m_reported_demand, noise);
}

TimePoint ShareHolder::NextReport(TimePoint now) const {
  if (m_sequence == 0) {
    return now;
  }
  if (m_report_soon || (!m_inner && DemandChanged(now))) {
    return m_last_report + m_options.min_report_interval;
  }
  if (m_starved && m_waiting > 0) {
    return m_last_report + m_starved_interval;
  }
  if (!m_report_answered) {
    return m_last_report + m_options.answer_timeout;
  }
  return m_last_report + (m_unsatisfied ? m_retry_interval : m_options.report_interval);
}

std::optional<proto::ShareReport> ShareHolder::Report(TimePoint now) {
  Refresh(now);
  if (now < NextReport(now)) {
    return std::nullopt;
  }
  if (m_inner ? m_inner_demand <= 0 && m_accepted.empty() : (IsIdle(now) || m_last_arrival == TimePoint{})) {
    return std::nullopt;
  }
  // A holder with unmet demand reports again soon, in case others return shares, with exponential backoff.
  m_retry_interval = m_unsatisfied && !DemandChanged(now) ? std::min(m_options.report_interval, 2 * m_retry_interval)
                                                          : m_options.min_report_interval;
  const double starved = MissingTokens(now);
  m_starved_interval =
      starved > 0 ? std::min(m_options.report_interval, 2 * m_starved_interval) : m_options.starved_interval;
  m_starved = false;
  m_last_report = now;
  m_reported_demand = Demand(now);
  m_report_answered = false;
  m_report_soon = false;
  m_unsatisfied = false;
  // Sequence numbers follow the clock, so that a holder that was dropped and created again in this process continues
  // above the last number that the allocator has seen. No grant to the earlier holder can reach the new one; but the
  // holders below an inner allocator may still use what the earlier one granted them.
  const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
  m_applied_sequence = m_sequence == 0 && !m_inner ? clock - 1 : m_applied_sequence;
  m_sequence = std::max(m_sequence + 1, clock);
  m_sent_reports.emplace_back(m_sequence, now);
  if (m_sent_reports.size() > kMaxTrackedReports) {
    m_sent_reports.pop_front();
  }
  proto::ShareReport report;
  report.set_workspace(m_workspace);
  report.mutable_holder()->set_node(m_self.node);
  report.mutable_holder()->set_number(m_self.number);
  report.set_demand(m_inner ? m_inner_demand : Demand(now) * m_options.demand_headroom);
  report.set_term(m_term);
  report.set_sequence(m_sequence);
  report.set_starved(starved);
  if (!m_accepted.empty()) {
    const TimedShare& held = m_accepted.back().share;
    report.set_held_rate(held.amount.rate);
    report.set_held_burst(held.amount.burst);
    report.set_held_for_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, ((held.until - now).count() + 999) / 1000)));
    report.set_held_sequence(m_accepted.front().sequence);
    report.set_held_term(m_accepted.front().term);
    report.set_returned(m_inner ? 0 : m_returned_tokens);
  } else {
    report.set_held_sequence(m_applied_sequence + 1);
  }
  return report;
}

bool ShareHolder::OnGrant(TimePoint now, const proto::ShareGrant& grant) {
  Refresh(now);
  if (grant.holder_incarnation() != m_self.number || (grant.term() < m_term && !m_options.faults.accept_lower_terms)) {
    return false;
  }
  if (grant.sequence() <= m_applied_sequence && !m_options.faults.accept_old_grants) {
    return false;
  }
  const auto sent = std::find_if(m_sent_reports.begin(), m_sent_reports.end(),
                                 [&](const auto& report) { return report.first == grant.sequence(); });
  if (sent == m_sent_reports.end()) {
    return false;
  }
  const TimePoint from = m_options.faults.count_from_receipt ? now : sent->second;
  const TimePoint until = from + std::chrono::milliseconds(grant.valid_ms());
  if (until <= now) {
    return false;
  }
  const ShareAmount amount{grant.rate(), grant.burst()};
  m_report_answered = true;
  const ShareAmount before = m_accepted.empty() ? ShareAmount{} : m_accepted.back().share.amount;
  m_term = m_options.faults.accept_lower_terms ? 0 : std::max(m_term, grant.term());
  m_applied_sequence = std::max(m_applied_sequence, grant.sequence());
  m_accepted.push_back({grant.sequence(), grant.term(), {amount, until}});
  const double tokens = m_bucket.Tokens(now) + grant.tokens();
  m_bucket.Set(now, amount);
  m_bucket.Add(now, m_options.faults.fill_new_bucket ? amount.burst : grant.tokens());
  m_returned_tokens =
      (m_options.faults.credit_twice ? m_returned_tokens : 0) + std::max(0.0, tokens - m_bucket.Tokens(now));
  // Nearly every grant of an exhausted pool carries a fraction of a token, which would keep the report interval short.
  if (grant.tokens() >= 1) {
    m_starved_interval = m_options.starved_interval;
  }
  // A smaller share is confirmed at once, so that the allocator can grant the difference to another holder.
  m_report_soon = m_report_soon || !FitsIn(before, amount);
  Refresh(now);
  return true;
}

ShareAmount ShareHolder::Current(TimePoint now) const {
  return m_accepted.empty() || m_accepted.back().share.until <= now ? ShareAmount{} : m_accepted.back().share.amount;
}

std::vector<TimedShare> ShareHolder::Shares(TimePoint now) const {
  std::vector<TimedShare> shares;
  for (const AcceptedGrant& accepted : m_accepted) {
    if (accepted.share.until > now) {
      shares.push_back(accepted.share);
    }
  }
  return shares;
}

}  // namespace magnoliaarch
