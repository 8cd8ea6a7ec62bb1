#include "magnoliaarch/role.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include "absl/strings/str_cat.h"

namespace magnoliaarch {
namespace {

// Allowed clock drift between two hosts: 1/100 of the lease.
constexpr std::int64_t kDriftDivisor = 100;
constexpr int kMaxDoublings = 10;
// Time that a holder waits after a handover, so that better candidates can take the role.
constexpr Duration kHandOverPause = std::chrono::seconds(3);

// Whether the store's error guarantees that the call had no effect.
bool HadNoEffect(const absl::Status& status) {
  return status.code() != absl::StatusCode::kDeadlineExceeded && status.code() != absl::StatusCode::kUnknown;
}

std::optional<StoreKv> ReadKey(Store* store, const std::string& key, absl::Status* status) {
  const absl::StatusOr<StoreRange> range = store->Range(key, /*exact=*/true);
  *status = range.status();
  if (!range.ok() || range->kvs.empty()) {
    return std::nullopt;
  }
  return range->kvs.front();
}

}  // namespace

RoleCallResult RunRoleCall(Store* store, const RoleCall& call) {
  RoleCallResult result;
  result.id = call.id;
  switch (call.kind) {
    case RoleCall::Kind::kRead:
      result.role = ReadKey(store, call.role_key, &result.status);
      if (result.status.ok()) {
        result.term = ReadKey(store, call.term_key, &result.status);
      }
      break;
    case RoleCall::Kind::kGrantLease: {
      const absl::StatusOr<std::int64_t> lease = store->GrantLease(call.ttl_seconds);
      result.status = lease.status();
      result.lease = lease.value_or(0);
      break;
    }
    case RoleCall::Kind::kTxn: {
      const absl::StatusOr<StoreTxnResult> txn = store->Txn(call.txn);
      result.status = txn.status();
      result.txn_succeeded = txn.ok() && txn->succeeded;
      break;
    }
    case RoleCall::Kind::kKeepAlive:
      result.status = store->KeepLeaseAlive(call.lease);
      break;
    case RoleCall::Kind::kRevoke:
      result.status = store->RevokeLease(call.lease);
      break;
  }
  return result;
}

RoleHolder::RoleHolder(const IncarnationId& self, std::string kind, std::string name, const RoleOptions& options)
    : m_self(self),
      m_kind(std::move(kind)),
      m_name(std::move(name)),
      m_role_key(absl::StrCat(std::string(kRolePrefix), m_kind, "/", m_name)),
      m_term_key(absl::StrCat(std::string(kRoleTermPrefix), m_kind, "/", m_name)),
      m_options(options),
      m_random(options.seed) {}

std::string RoleHolder::FirstCandidate(const View& view,
                                       std::string_view kind,
                                       std::string_view name,
                                       std::string_view excluded) {
  const std::uint64_t seed = HashKey(fmt::format("{}/{}", kind, name));
  std::string first;
  std::uint64_t highest = 0;
  for (const auto& [node, member] : view.Members()) {
    const std::uint64_t hash = RendezvousHash(seed, node);
    if (node != excluded && (first.empty() || hash > highest) && view.AcceptsWork(member.record())) {
      first = node;
      highest = hash;
    }
  }
  return first;
}

std::optional<std::size_t> RoleHolder::Rank(const View& view,
                                            std::string_view kind,
                                            std::string_view name,
                                            const IncarnationId& node,
                                            std::size_t limit) {
  const proto::MemberRecord* self = view.FindMember(node.node);
  if (self == nullptr || self->incarnation() != node.number || self->fenced()) {
    return std::nullopt;
  }
  // When no member accepts new work, for example while the only failure domain is taken out, every active unfenced
  // member may hold roles.
  const bool any_accepts = std::any_of(view.Members().begin(), view.Members().end(),
                                       [&](const auto& member) { return view.AcceptsWork(member.second.record()); });
  const auto may_hold = [&](const proto::MemberRecord& member) {
    return any_accepts ? view.AcceptsWork(member) : !member.fenced() && member.state() == proto::MEMBER_STATE_ACTIVE;
  };
  if (!may_hold(*self)) {
    return std::nullopt;
  }
  const std::uint64_t seed = HashKey(fmt::format("{}/{}", kind, name));
  const std::uint64_t own = RendezvousHash(seed, node.node);
  std::size_t rank = 0;
  for (auto it = view.Members().begin(); it != view.Members().end() && rank < limit; ++it) {
    const std::uint64_t hash = RendezvousHash(seed, it->first);
    const bool is_ahead = hash > own || (hash == own && it->first < node.node);
    rank += is_ahead && may_hold(it->second.record()) ? 1 : 0;
  }
  return rank;
}

RoleActions RoleHolder::OnView(const View& view, TimePoint now) {
  RoleActions actions;
  const auto found = view.Roles().find(m_role_key);
  const proto::RoleRecord* role = found == view.Roles().end() ? nullptr : &found->second.record();
  if (m_state == State::kHolding) {
    const bool superseded = role != nullptr && role->term() > m_term;
    if (superseded || !Rank(view, m_kind, m_name, m_self, 0)) {
      Release(now, &actions);
    }
  }
  if (role != nullptr) {
    m_vacant_since.reset();
    return actions;
  }
  if (!m_vacant_since) {
    m_vacant_since = now;
    m_failures = 0;
  }
  // Computed only for a vacant role, and only up to max_candidates: most nodes rank far behind the candidates.
  m_rank = Rank(view, m_kind, m_name, m_self, m_options.max_candidates);
  return actions;
}

bool RoleHolder::MayAttempt(TimePoint now) const {
  if (m_resigned || !m_rank || !m_vacant_since || now < m_not_before) {
    return false;
  }
  const auto doublings = std::min<std::int64_t>((now - *m_vacant_since) / m_options.widen_period, kMaxDoublings);
  const std::uint64_t candidates =
      std::min<std::uint64_t>(std::uint64_t{m_options.candidates} << doublings, m_options.max_candidates);
  return *m_rank < candidates && now - *m_vacant_since >= static_cast<std::int64_t>(*m_rank) * m_options.rank_delay;
}

RoleActions RoleHolder::OnTick(TimePoint now) {
  RoleActions actions;
  if (m_state != State::kWaiting && m_lease != 0 && now >= m_held_until) {
    Release(now, &actions);
    return actions;
  }
  if (m_pending_call != 0 && now - m_pending_sent >= m_options.call_timeout) {
    OnCallTimeout(now, &actions);
    return actions;
  }
  if (m_state == State::kWaiting && MayAttempt(now)) {
    m_state = State::kReading;
    CallRead(now, &actions);
  } else if (m_state == State::kConfirming && m_pending_call == 0 && now >= m_not_before) {
    CallRead(now, &actions);
  } else if (m_state == State::kHolding && now >= m_next_keep_alive) {
    SendKeepAlive(now, &actions);
  }
  return actions;
}

RoleActions RoleHolder::OnCallResult(const RoleCallResult& result, TimePoint now) {
  RoleActions actions;
  if (m_state != State::kWaiting && m_lease != 0 && now >= m_held_until) {
    Release(now, &actions);
    return actions;
  }
  if (const auto it = m_keep_alives.find(result.id); it != m_keep_alives.end()) {
    const TimePoint sent = it->second;
    m_keep_alives.erase(it);
    OnKeepAlive(result, sent, now, &actions);
    return actions;
  }
  if (result.id != m_pending_call || m_pending_call == 0) {
    // Revokes an unused lease, which the store granted after the attempt had ended.
    if (result.lease != 0 && result.lease != m_lease) {
      RoleCall revoke;
      revoke.kind = RoleCall::Kind::kRevoke;
      revoke.id = ++m_last_call_id;
      revoke.lease = result.lease;
      actions.calls.push_back(std::move(revoke));
    }
    return actions;
  }
  const TimePoint sent = m_pending_sent;
  m_pending_call = 0;
  switch (m_state) {
    case State::kWaiting:
    case State::kHolding:
      break;
    case State::kReading:
    case State::kConfirming:
      OnRead(result, now, &actions);
      break;
    case State::kGranting:
      if (!result.status.ok()) {
        Release(now, &actions);
        break;
      }
      m_lease = result.lease;
      m_held_until = LeaseEnd(sent);
      m_state = State::kWriting;
      CallTxn(now, &actions);
      break;
    case State::kWriting:
      if (result.status.ok() && result.txn_succeeded) {
        StartTenure(now, &actions);
      } else if (result.status.ok() || HadNoEffect(result.status)) {
        Release(now, &actions);
      } else {
        m_state = State::kConfirming;
        CallRead(now, &actions);
      }
      break;
  }
  return actions;
}

void RoleHolder::OnRead(const RoleCallResult& result, TimePoint now, RoleActions* actions) {
  if (m_state == State::kConfirming) {
    proto::RoleRecord role;
    if (!result.status.ok()) {
      m_not_before = now + m_options.initial_backoff;
    } else if (result.role && role.ParseFromString(result.role->value) && role.write_id() == m_write_id) {
      StartTenure(now, actions);
    } else {
      // The write may still be in transit; it cannot take effect without its lease, which Release revokes.
      Release(now, actions);
    }
    return;
  }
  if (!result.status.ok() || result.role) {
    Release(now, actions);
    return;
  }
  proto::RoleRecord last;
  m_term_revision = 0;
  m_last_term = 0;
  if (result.term) {
    if (!last.ParseFromString(result.term->value)) {
      Release(now, actions);
      return;
    }
    m_term_revision = result.term->mod_revision;
    m_last_term = last.term();
  }
  m_state = State::kGranting;
  RoleCall call;
  call.kind = RoleCall::Kind::kGrantLease;
  call.ttl_seconds = m_options.lease_ttl_seconds;
  Call(std::move(call), now, actions);
}

void RoleHolder::SendKeepAlive(TimePoint now, RoleActions* actions) {
  RoleCall call;
  call.kind = RoleCall::Kind::kKeepAlive;
  call.id = ++m_last_call_id;
  call.lease = m_lease;
  m_keep_alives[call.id] = now;
  m_next_keep_alive = now + m_options.keep_alive_retry;
  actions->calls.push_back(std::move(call));
}

void RoleHolder::OnKeepAlive(const RoleCallResult& result, TimePoint sent, TimePoint now, RoleActions* actions) {
  if (result.status.ok()) {
    m_held_until = std::max(m_held_until, LeaseEnd(sent));
    std::erase_if(m_keep_alives, [&](const auto& earlier) { return earlier.second <= sent; });
    m_next_keep_alive = sent + m_options.keep_alive_period;
  } else if (result.status.code() == absl::StatusCode::kNotFound) {
    m_lease = 0;
    Release(now, actions);
  } else {
    m_next_keep_alive = std::max(m_next_keep_alive, now + m_options.initial_backoff);
  }
}

void RoleHolder::OnCallTimeout(TimePoint now, RoleActions* actions) {
  m_pending_call = 0;
  switch (m_state) {
    case State::kWaiting:
    case State::kHolding:
      break;
    case State::kReading:
    case State::kGranting:
      Release(now, actions);
      break;
    case State::kWriting:
      m_state = State::kConfirming;
      CallRead(now, actions);
      break;
    case State::kConfirming:
      m_not_before = now;
      break;
  }
}

RoleActions RoleHolder::Resign(TimePoint now) {
  RoleActions actions;
  m_resigned = true;
  if (m_state != State::kWaiting) {
    Release(now, &actions);
  }
  return actions;
}

RoleActions RoleHolder::HandOver(TimePoint now) {
  RoleActions actions;
  if (m_state == State::kHolding) {
    Release(now, &actions);
    m_not_before = now + kHandOverPause;
  }
  return actions;
}

bool RoleHolder::Holds(TimePoint now) const {
  return m_state == State::kHolding && now < m_held_until;
}

void RoleHolder::Call(RoleCall call, TimePoint now, RoleActions* actions) {
  call.id = ++m_last_call_id;
  m_pending_call = call.id;
  m_pending_sent = now;
  actions->calls.push_back(std::move(call));
}

void RoleHolder::CallRead(TimePoint now, RoleActions* actions) {
  RoleCall call;
  call.kind = RoleCall::Kind::kRead;
  call.role_key = m_role_key;
  call.term_key = m_term_key;
  Call(std::move(call), now, actions);
}

void RoleHolder::CallTxn(TimePoint now, RoleActions* actions) {
  proto::RoleRecord record;
  record.set_kind(m_kind);
  record.set_name(m_name);
  record.set_node(m_self.node);
  record.set_incarnation(m_self.number);
  record.set_term(m_last_term + 1);
  m_write_id = fmt::format("{:016x}{:016x}", m_self.number, m_random());
  record.set_write_id(m_write_id);
  RoleCall call;
  call.kind = RoleCall::Kind::kTxn;
  call.txn.compares = {StoreCompare{m_role_key, 0}, StoreCompare{m_term_key, m_term_revision}};
  call.txn.puts = {StorePut{m_role_key, record.SerializeAsString(), m_lease},
                   StorePut{m_term_key, record.SerializeAsString(), 0}};
  Call(std::move(call), now, actions);
}

void RoleHolder::Release(TimePoint now, RoleActions* actions) {
  if (m_lease != 0) {
    RoleCall revoke;
    revoke.kind = RoleCall::Kind::kRevoke;
    revoke.id = ++m_last_call_id;
    revoke.lease = m_lease;
    actions->calls.push_back(std::move(revoke));
    m_lease = 0;
  }
  actions->lost = m_state == State::kHolding;
  m_state = State::kWaiting;
  m_pending_call = 0;
  m_keep_alives.clear();
  m_not_before = now + NextBackoff();
}

void RoleHolder::StartTenure(TimePoint now, RoleActions* actions) {
  if (now >= m_held_until) {
    Release(now, actions);
    return;
  }
  m_state = State::kHolding;
  m_failures = 0;
  m_term = m_last_term + 1;
  m_next_keep_alive = now;
  actions->acquired = true;
}

Duration RoleHolder::NextBackoff() {
  const Duration max_delay = std::min<Duration>(
      m_options.initial_backoff * (1LL << std::min(m_failures, kMaxDoublings)), m_options.max_backoff);
  ++m_failures;
  std::uniform_int_distribution<Duration::rep> spread(max_delay.count() / 2, max_delay.count());
  return Duration(spread(m_random));
}

TimePoint RoleHolder::LeaseEnd(TimePoint sent) const {
  const Duration ttl = std::chrono::seconds(m_options.lease_ttl_seconds);
  return sent + ttl - ttl / kDriftDivisor - m_options.stop_margin;
}

}  // namespace magnoliaarch
