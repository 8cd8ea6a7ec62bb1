#include "mesh_token_pool_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"
#include "mesh_token_holder_p.h"

namespace magnoliaarch {
namespace {

// A node gets at most this many equal shares of the pool per request, so that tokens are left for other nodes.
constexpr double kMaxEqualSharesPerGrant = 3;

}  // namespace

void TokenPool::SetLimits(TimePoint now, const MeshConfig& config) {
  std::vector<Bucket> buckets;
  for (const MeshWorkspace& workspace : config.workspaces) {
    const auto old = std::find_if(m_buckets.begin(), m_buckets.end(),
                                  [&](const Bucket& bucket) { return bucket.name == workspace.name; });
    Bucket bucket;
    bucket.tokens = workspace.burst;
    if (old != m_buckets.end()) {
      bucket = std::move(*old);
      Refill(now, &bucket);
    }
    bucket.name = workspace.name;
    bucket.rate = workspace.rate;
    bucket.burst = workspace.burst;
    bucket.updated_at = now;
    buckets.push_back(std::move(bucket));
  }
  m_buckets = std::move(buckets);
}

void TokenPool::BeginDuty(TimePoint now, std::size_t workspace, const Members& members) {
  if (workspace >= m_buckets.size()) {
    return;
  }
  Bucket& bucket = m_buckets[workspace];
  bucket.updated_at = now;
  bucket.tokens = 0;
  bucket.known_part = members.empty() ? 1 : 0;
  bucket.unheard = members;
  bucket.holdings.clear();
  bucket.promises.clear();
  bucket.parts = bucket.wishes = bucket.parts_in_use = bucket.held = 0;
}

void TokenPool::OnMembers(TimePoint now, const Members& members) {
  for (Bucket& bucket : m_buckets) {
    Refill(now, &bucket);
    // Summed again, so that rounding errors do not add up.
    bucket.parts = bucket.wishes = bucket.parts_in_use = bucket.held = 0;
    bucket.promises.clear();
    for (auto it = bucket.holdings.begin(); it != bucket.holdings.end();) {
      if (members.contains(it->first)) {
        Count(&bucket, it->first, it->second, 1);
        ++it;
      } else {
        it = bucket.holdings.erase(it);
      }
    }
    if (!bucket.unheard.empty()) {
      bucket.unheard.clear();
      for (const TokenNode& member : members) {
        if (!bucket.holdings.contains(member)) {
          bucket.unheard.insert(member);
        }
      }
      OnAllHeard(&bucket);
    }
  }
}

void TokenPool::OnAllHeard(Bucket* bucket) {
  if (bucket->unheard.empty()) {
    bucket->known_part = 1;
  }
}

void TokenPool::RefillUntil(TimePoint time, Bucket* bucket) {
  const double elapsed = Seconds(std::max(time - bucket->updated_at, Duration(0)));
  bucket->updated_at = std::max(time, bucket->updated_at);
  const double room = std::max(0.0, bucket->burst * bucket->known_part - bucket->held);
  const double part = std::max(0.0, bucket->known_part - bucket->parts_in_use);
  const double refilled = std::min(bucket->tokens + bucket->rate * part * elapsed, room);
  bucket->use.refilled += std::max(0.0, refilled - bucket->tokens);
  bucket->tokens = refilled;
}

void TokenPool::Refill(TimePoint now, Bucket* bucket) {
  while (!bucket->promises.empty() && bucket->promises.begin()->first <= now) {
    const auto [time, node] = *bucket->promises.begin();
    RefillUntil(time, bucket);
    Holding& holding = bucket->holdings.at(node);
    Count(bucket, node, holding, -1);
    holding.in_touch = false;
    Count(bucket, node, holding, 1);
  }
  RefillUntil(now, bucket);
}

double TokenPool::Held(const Bucket& bucket, const Holding& holding) {
  return holding.in_touch ? holding.tokens : std::max(holding.tokens, holding.part * bucket.burst);
}

void TokenPool::Count(Bucket* bucket, const TokenNode& node, const Holding& holding, int sign) {
  bucket->parts += sign * holding.part;
  bucket->wishes += sign * holding.wish;
  bucket->parts_in_use += holding.in_touch ? 0 : sign * holding.part;
  bucket->held += sign * Held(*bucket, holding);
  if (holding.in_touch && sign > 0) {
    bucket->promises.emplace(holding.promised_until, node);
  } else if (holding.in_touch) {
    bucket->promises.erase({holding.promised_until, node});
  }
}

double TokenPool::PartFor(const Bucket& bucket, const Holding& holding) {
  const double fair = bucket.wishes > 1 ? holding.wish / bucket.wishes : holding.wish;
  const double free = std::max(0.0, bucket.known_part - bucket.parts);
  const double part = std::min(fair, holding.part + free);
  // A node cannot admit requests from less than a token.
  return part * bucket.burst >= 1 ? part : 0;
}

TokenPool::Holding TokenPool::Report(TimePoint now,
                                     const Holding& before,
                                     std::uint64_t sequence,
                                     const proto::TenantDemand& demand) {
  Holding next;
  next.sequence = sequence;
  next.answered_at = now;
  // The node sends a call after it has received the answer that the call names.
  const bool answer_received = before.sequence > 0 && demand.answered_sequence() == before.sequence;
  next.called_after = answer_received ? before.answered_at : before.called_after;
  next.promised_until = before.promised_until;
  if (next.called_after != TimePoint()) {
    next.promised_until =
        std::max(next.promised_until, next.called_after + std::chrono::milliseconds(demand.promise_ms()));
  }
  next.in_touch = next.promised_until > now;
  next.part = demand.part_micro() / kMicroPerPart;
  next.wish = demand.wish_micro() / kMicroPerPart;
  next.tokens = demand.held_milli() / kMilliPerToken;
  return next;
}

std::optional<proto::TokenGrant> TokenPool::Answer(TimePoint now,
                                                   const TokenNode& node,
                                                   std::uint64_t sequence,
                                                   const proto::TenantDemand& demand,
                                                   std::size_t nodes) {
  if (demand.tenant() >= m_buckets.size()) {
    return std::nullopt;
  }
  Bucket& bucket = m_buckets[demand.tenant()];
  Refill(now, &bucket);
  Holding& holding = bucket.holdings[node];
  if (sequence <= holding.sequence && holding.sequence > 0) {
    return std::nullopt;
  }
  Count(&bucket, node, holding, -1);
  holding = Report(now, holding, sequence, demand);
  Count(&bucket, node, holding, 1);
  if (bucket.unheard.erase(node) > 0) {
    bucket.known_part = std::min(1.0, bucket.known_part + holding.part);
    OnAllHeard(&bucket);
  }
  const double returned = demand.returned_milli() / kMilliPerToken;
  bucket.tokens += returned;
  bucket.use.returned += returned;

  const double granted_part = PartFor(bucket, holding);
  Count(&bucket, node, holding, -1);
  holding.part = std::max(holding.part, granted_part);
  Count(&bucket, node, holding, 1);
  Refill(now, &bucket);
  const double max_given =
      std::max(1.0, bucket.tokens * kMaxEqualSharesPerGrant / static_cast<double>(std::max<std::size_t>(nodes, 1)));
  const double wanted = demand.wanted_milli() / kMilliPerToken;
  const double given = std::max(0.0, std::floor(std::min({wanted, max_given, bucket.tokens})));
  bucket.tokens -= given;
  bucket.use.given += given;
  // Requests that wait use their tokens at once.
  Count(&bucket, node, holding, -1);
  holding.tokens += std::max(0.0, given - demand.waiting_milli() / kMilliPerToken);
  Count(&bucket, node, holding, 1);

  proto::TokenGrant grant;
  grant.set_tenant(demand.tenant());
  grant.set_milli(static_cast<std::uint32_t>(std::lround(given * kMilliPerToken)));
  grant.set_part_micro(static_cast<std::uint32_t>(granted_part * kMicroPerPart));
  return grant;
}

std::vector<TokenUse> TokenPool::CollectUse() {
  std::vector<TokenUse> all;
  for (Bucket& bucket : m_buckets) {
    TokenUse use = std::exchange(bucket.use, {});
    if (use.given + use.returned > 0) {
      use.workspace = bucket.name;
      use.tokens = bucket.tokens;
      use.out = bucket.held;
      use.part = std::max(0.0, bucket.known_part - bucket.parts_in_use);
      all.push_back(std::move(use));
    }
  }
  return all;
}

}  // namespace magnoliaarch
