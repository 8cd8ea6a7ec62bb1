#include "mesh_token_holder_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// A node holds tokens for this many seconds of the demand that its own part of the limit does not cover,
// kMinReserveTokens at least. The reserves of all nodes together stay within a share of the burst, because many nodes
// could otherwise hold all tokens and leave none for those that have requests.
constexpr double kTokenReserveS = 1.0;
constexpr double kMinReserveTokens = 2;
constexpr double kMaxReserveShareOfBurst = 0.7;
// Time constant of the average demand, in seconds.
constexpr double kDemandDecayS = 1.0;
// Requests are counted for this long before they enter the average.
constexpr double kMinDemandIntervalS = 0.05;
// After a denial a node asks again when this share of the burst has been refilled, within the limits. A longer pause
// would let the pool overflow while requests are refused.
constexpr double kPauseShareOfBurst = 0.2;
constexpr Duration kMinDeniedPause = std::chrono::milliseconds(50);
constexpr Duration kMaxDeniedPause = std::chrono::milliseconds(250);
// The pool hears this often of a node's parts and tokens, and again until the node has none.
constexpr Duration kReportPeriod = std::chrono::milliseconds(1000);
// A node with a part calls this often, and refills itself when no call has been answered for the second time.
constexpr Duration kTouchPeriod = std::chrono::milliseconds(400);
constexpr Duration kPromise = std::chrono::milliseconds(1200);
// A token that is given back later than this stays spent, and so does one that has not reached the pool by the second
// limit. The pool has refilled since it was taken, so that late tokens would come on top of a full bucket.
constexpr Duration kMaxRefundAge = std::chrono::milliseconds(200);
constexpr Duration kMaxReturnAge = std::chrono::milliseconds(400);

}  // namespace

void TokenHolder::SetLimits(TimePoint now, const MeshConfig& config) {
  std::vector<WorkspaceTokens> all;
  for (const MeshWorkspace& workspace : config.workspaces) {
    const auto old = std::find_if(m_workspace_tokens.begin(), m_workspace_tokens.end(),
                                  [&](const WorkspaceTokens& state) { return state.name == workspace.name; });
    WorkspaceTokens state;
    state.updated_at = state.refilled_at = now;
    if (old != m_workspace_tokens.end()) {
      state = std::move(*old);
      // Tokens that were received under a higher limit are reduced in proportion.
      if (workspace.burst < state.burst) {
        state.tokens *= workspace.burst / state.burst;
      }
    }
    state.name = workspace.name;
    state.waiting = 0;
    state.rate = workspace.rate;
    state.burst = workspace.burst;
    all.push_back(std::move(state));
  }
  m_workspace_tokens = std::move(all);
}

double TokenHolder::DemandAt(TimePoint now, const WorkspaceTokens& state) {
  const double elapsed = Seconds(now - state.updated_at);
  if (elapsed < kMinDemandIntervalS) {
    return state.demand_per_s;
  }
  const double decay = std::exp(-elapsed / kDemandDecayS);
  return state.demand_per_s * decay + state.arrived_requests / elapsed * (1 - decay);
}

void TokenHolder::UpdateDemand(TimePoint now, WorkspaceTokens* state) {
  if (Seconds(now - state->updated_at) >= kMinDemandIntervalS) {
    state->demand_per_s = DemandAt(now, *state);
    state->arrived_requests = 0;
    state->updated_at = now;
  }
}

void TokenHolder::RefillOne(TimePoint now, WorkspaceTokens* state) const {
  if (now >= m_authority_end) {
    state->tokens = state->part = 0;
    state->refunds.clear();
  }
  const double elapsed = Seconds(now - std::max(state->refilled_at, state->promised_until));
  state->refilled_at = now;
  const double most = std::max(state->tokens, state->part * state->burst);
  const double refilled = std::min(state->tokens + state->rate * state->part * std::max(elapsed, 0.0), most);
  state->use.refilled += refilled - state->tokens;
  state->tokens = refilled;
}

void TokenHolder::Refill(TimePoint now, TimePoint authority_end) {
  m_authority_end = authority_end;
  for (WorkspaceTokens& state : m_workspace_tokens) {
    RefillOne(now, &state);
  }
}

void TokenHolder::OnSourceChanged(std::size_t workspace) {
  if (workspace < m_workspace_tokens.size()) {
    m_workspace_tokens[workspace].reported = false;
    m_workspace_tokens[workspace].reported_at = TimePoint();
    m_workspace_tokens[workspace].answered_sequence = 0;
  }
}

bool TokenHolder::Take(TimePoint now, std::size_t workspace) {
  if (workspace >= m_workspace_tokens.size()) {
    return true;
  }
  WorkspaceTokens& state = m_workspace_tokens[workspace];
  if (state.rate <= 0) {
    return true;
  }
  state.arrived_requests += 1;
  UpdateDemand(now, &state);
  RefillOne(now, &state);
  if (state.tokens < 1) {
    state.use.denied += 1;
    return false;
  }
  state.tokens -= 1;
  state.use.admitted += 1;
  return true;
}

void TokenHolder::AddWaiting(std::size_t workspace, int count) {
  if (workspace < m_workspace_tokens.size()) {
    m_workspace_tokens[workspace].waiting += count;
  }
}

void TokenHolder::Refund(TimePoint now, std::size_t workspace, TimePoint taken_at) {
  if (workspace < m_workspace_tokens.size() && m_workspace_tokens[workspace].rate > 0 &&
      now - taken_at <= kMaxRefundAge) {
    WorkspaceTokens& state = m_workspace_tokens[workspace];
    std::erase_if(state.refunds, [&](TimePoint earlier) { return now - earlier > kMaxReturnAge; });
    state.refunds.push_back(taken_at);
    state.use.refunded += 1;
  }
}

double TokenHolder::Wish(TimePoint now, const WorkspaceTokens& state, std::size_t nodes) {
  // With more nodes than the burst has requests, parts would leave no tokens for nodes with few requests.
  if (state.burst < static_cast<double>(nodes)) {
    return 0;
  }
  const double wish = std::min(1.0, DemandAt(now, state) / state.rate);
  return wish * state.burst >= 1 ? wish : 0;
}

double TokenHolder::Reserve(TimePoint now, const WorkspaceTokens& state, std::size_t nodes) {
  const auto node_count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  return std::min(std::max(kMinReserveTokens, std::floor(DemandAt(now, state) * kTokenReserveS)),
                  std::floor(state.burst * kMaxReserveShareOfBurst / node_count));
}

double TokenHolder::Missing(TimePoint now, const WorkspaceTokens& state, std::size_t nodes) {
  return Reserve(now, state, nodes) + state.waiting - state.tokens;
}

bool TokenHolder::NeedsCall(TimePoint now, std::size_t nodes, const Filter& selects) const {
  for (std::size_t i = 0; i < m_workspace_tokens.size(); ++i) {
    const WorkspaceTokens& state = m_workspace_tokens[i];
    if (state.rate <= 0 || !selects(i)) {
      continue;
    }
    const bool short_of_tokens = now >= state.request_paused_until && Missing(now, state, nodes) >= 1;
    // A request that waited may have left its token behind.
    const bool has_any = state.part > 0 || state.tokens > 0;
    const bool report =
        (!state.reported || has_any) && now - state.reported_at >= (has_any ? kTouchPeriod : kReportPeriod);
    if (short_of_tokens || !state.refunds.empty() || report) {
      return true;
    }
  }
  return false;
}

double TokenHolder::TakeReturned(TimePoint now, std::size_t nodes, WorkspaceTokens* state) {
  std::erase_if(state->refunds, [&](TimePoint taken_at) { return now - taken_at > kMaxReturnAge; });
  const auto refunded = static_cast<double>(state->refunds.size());
  state->refunds.clear();
  // A part of a token admits nothing here, and is missing elsewhere.
  const double kept = std::min(std::floor(state->tokens), Reserve(now, *state, nodes));
  return refunded + std::exchange(state->tokens, kept) - kept;
}

proto::TenantDemand TokenHolder::BeginCallFor(TimePoint now, std::size_t nodes, WorkspaceTokens* state) const {
  UpdateDemand(now, state);
  RefillOne(now, state);
  double returned = 0;
  const double missing = Missing(now, *state, nodes);
  proto::TenantDemand demand;
  if (now >= state->request_paused_until && missing >= 1) {
    demand.set_wanted_milli(static_cast<std::uint32_t>(std::ceil(missing) * kMilliPerToken));
    demand.set_waiting_milli(static_cast<std::uint32_t>(state->waiting * kMilliPerToken));
  }
  // Calls that are not answered put off neither the return of tokens nor the time from which this node refills itself.
  if (std::exchange(state->call_answered, false)) {
    returned = TakeReturned(now, nodes, state);
    state->promised_until = now + kPromise;
  }
  demand.set_returned_milli(static_cast<std::uint32_t>(returned * kMilliPerToken));
  demand.set_held_milli(static_cast<std::uint32_t>(std::ceil(state->tokens * kMilliPerToken)));
  demand.set_part_micro(static_cast<std::uint32_t>(std::ceil(state->part * kMicroPerPart)));
  demand.set_wish_micro(static_cast<std::uint32_t>(Wish(now, *state, nodes) * kMicroPerPart));
  demand.set_promise_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(state->promised_until - now).count())));
  demand.set_answered_sequence(state->answered_sequence);
  state->reported_at = now;
  state->reported = false;
  return demand;
}

std::vector<proto::TenantDemand> TokenHolder::BeginCall(TimePoint now, std::size_t nodes, const Filter& selects) {
  std::vector<proto::TenantDemand> demands;
  for (std::size_t i = 0; i < m_workspace_tokens.size(); ++i) {
    if (m_workspace_tokens[i].rate > 0 && selects(i)) {
      demands.push_back(BeginCallFor(now, nodes, &m_workspace_tokens[i]));
      demands.back().set_tenant(static_cast<std::uint32_t>(i));
    }
  }
  return demands;
}

void TokenHolder::OnGrant(TimePoint now,
                          std::uint64_t sequence,
                          const proto::TenantDemand& demand,
                          const proto::TokenGrant& grant) {
  if (grant.tenant() >= m_workspace_tokens.size()) {
    return;
  }
  WorkspaceTokens& state = m_workspace_tokens[grant.tenant()];
  RefillOne(now, &state);
  state.call_answered = true;
  state.answered_sequence = sequence;
  state.part = grant.part_micro() / kMicroPerPart;
  state.tokens += grant.milli() / kMilliPerToken;
  state.use.received += grant.milli() / kMilliPerToken;
  state.reported = demand.held_milli() == 0 && grant.milli() <= demand.waiting_milli() && grant.part_micro() == 0 &&
                   demand.wish_micro() == 0;
  if (grant.milli() == 0 && demand.wanted_milli() > 0) {
    const auto refill = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kPauseShareOfBurst * state.burst / std::max(state.rate, 0.001)));
    state.request_paused_until = now + std::clamp(refill, kMinDeniedPause, kMaxDeniedPause);
  }
}

bool TokenHolder::IsAtLimit(TimePoint now, std::size_t workspace) const {
  return workspace < m_workspace_tokens.size() && now < m_workspace_tokens[workspace].request_paused_until;
}

std::vector<TokenUse> TokenHolder::CollectUse() {
  std::vector<TokenUse> all;
  for (WorkspaceTokens& state : m_workspace_tokens) {
    TokenUse use = std::exchange(state.use, {});
    if (use.denied + use.refunded > 0) {
      use.workspace = state.name;
      use.tokens = state.tokens;
      use.part = state.part;
      all.push_back(std::move(use));
    }
  }
  return all;
}

}  // namespace magnoliaarch
