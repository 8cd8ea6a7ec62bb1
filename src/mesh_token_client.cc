#include "mesh_token_client_p.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace magnoliaarch {
namespace {

// Interval of token requests while tokens are missing. If a caller's request waits for a token, they are sent at once.
constexpr Duration kRequestPeriod = std::chrono::milliseconds(200);
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
// Calls to a node that does not answer are repeated with exponential backoff, so that they do not add to its load.
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1600);
// If a node has not answered for this long, requests do not wait for its tokens.
constexpr Duration kSourceTimeout = std::chrono::milliseconds(1200);
constexpr Duration kUseLogPeriod = std::chrono::milliseconds(1000);

}  // namespace

TokenClient::TokenClient(asio::io_context& context,
                         MeshPeers& peers,
                         MeshSession& session,
                         TokenService& service,
                         MeshLog& log,
                         TokenHolder& holder,
                         std::function<void()> on_tokens)
    : m_context(context),
      m_peers(peers),
      m_session(session),
      m_service(service),
      m_log(log),
      m_holder(holder),
      m_on_tokens(std::move(on_tokens)) {}

bool TokenClient::IsServed(std::size_t workspace, TimePoint now) const {
  const std::string& node = m_service.NodeFor(workspace);
  if (node.empty()) {
    return false;
  }
  const auto source = m_sources.find(node);
  return source == m_sources.end() || !IsFailing(source->second, now);
}

bool TokenClient::IsFailing(const Source& source, TimePoint now) {
  return source.failing_since != TimePoint() && now - source.failing_since >= kSourceTimeout;
}

bool TokenClient::RequestNow(std::size_t workspace) {
  const TimePoint now = BootClock::now();
  Request(now);
  return IsServed(workspace, now);
}

void TokenClient::OnTick(TimePoint now, TimePoint authority_end) {
  m_holder.Refill(now, authority_end);
  if (now >= m_next_request_at) {
    m_next_request_at = now + kRequestPeriod;
    Request(now);
  }
  LogUse(now);
}

void TokenClient::FollowSources() {
  const auto config = m_session.View().Config();
  for (std::size_t i = 0; i < config->workspaces.size(); ++i) {
    const std::string& node = m_service.NodeFor(i);
    std::string& known = m_source_of[config->workspaces[i].name];
    if (!node.empty() && node != known) {
      known = node;
      m_holder.OnSourceChanged(i);
    }
  }
}

// One line for each workspace that was short of tokens, so that the sum over all nodes and pools can be compared with
// its limit.
void TokenClient::LogUse(TimePoint now) {
  if (now < m_next_use_log_at) {
    return;
  }
  m_next_use_log_at = now + kUseLogPeriod;
  for (const TokenUse& use : m_holder.CollectUse()) {
    m_log.Write(LogCategory::kFailure, "tokens_used",
                {{"workspace", use.workspace},
                 {"admitted", std::llround(use.admitted)},
                 {"refunded", std::llround(use.refunded)},
                 {"denied", std::llround(use.denied)},
                 {"received", std::llround(use.received)},
                 {"refilled", std::llround(use.refilled)},
                 {"part_permille", std::llround(use.part * 1000)},
                 {"held", std::llround(use.tokens)}});
  }
  for (const TokenUse& use : m_service.CollectUse()) {
    m_log.Write(LogCategory::kFailure, "tokens_given",
                {{"workspace", use.workspace},
                 {"given", std::llround(use.given)},
                 {"returned", std::llround(use.returned)},
                 {"refilled", std::llround(use.refilled)},
                 {"part_permille", std::llround(use.part * 1000)},
                 {"in_pool", std::llround(use.tokens)},
                 {"held_by_nodes", std::llround(use.out)}});
  }
}

void TokenClient::Request(TimePoint now) {
  const auto config = m_session.View().Config();
  if (config == nullptr) {
    return;
  }
  FollowSources();
  std::set<std::string> nodes;
  for (std::size_t i = 0; i < config->workspaces.size(); ++i) {
    nodes.insert(m_service.NodeFor(i));
  }
  nodes.erase("");
  const std::size_t sharing = m_session.View().Members().size();
  for (const std::string& node : nodes) {
    const Source& source = m_sources[node];
    const auto selects = [&](std::size_t workspace) { return m_service.NodeFor(workspace) == node; };
    if (source.call_in_flight || now < source.not_before || !m_holder.NeedsCall(now, sharing, selects)) {
      continue;
    }
    proto::TokenCall call;
    call.set_quota_version(static_cast<std::int64_t>(config->version));
    call.set_node(m_session.Self().node());
    call.set_incarnation(m_session.Self().incarnation());
    call.set_sequence(++m_last_sequence);
    for (proto::TenantDemand& demand : m_holder.BeginCall(now, sharing, selects)) {
      *call.add_demands() = std::move(demand);
    }
    Send(node, call, now);
  }
}

void TokenClient::Send(const std::string& node, const proto::TokenCall& call, TimePoint now) {
  if (node == m_session.Self().node()) {
    m_sources[node].call_in_flight = true;
    const proto::TokenReply reply = m_service.OnTokenCall(now, call);
    // Posted, so that OnReply never runs within the admission of a request.
    asio::post(m_context, [this, node, call, reply, now] {
      m_sources[node].call_in_flight = false;
      OnReply(node, call, reply, now);
    });
    return;
  }
  const proto::MeshMember* member = m_session.View().FindMember(node);
  if (member == nullptr) {
    return;
  }
  m_sources[node].call_in_flight = true;
  m_peers.Call(AddressOf(*member), kTokenPath, call.SerializeAsString(), m_no_body, kRequestTimeout,
               [this, node, call, now](const MeshCallResult& result) {
                 m_sources[node].call_in_flight = false;
                 proto::TokenReply reply;
                 if (result.outcome == MeshCallOutcome::kAnswered && reply.ParseFromString(result.answer.head)) {
                   OnReply(node, call, reply, now);
                 } else {
                   OnFailure(node, now, result.detail);
                 }
               });
}

void TokenClient::OnFailure(const std::string& node, TimePoint sent, std::string_view detail) {
  Source& source = m_sources[node];
  if (source.failing_since == TimePoint()) {
    source.failing_since = sent;
  }
  source.backoff = std::clamp(source.backoff * 2, kMinBackoff, kMaxBackoff);
  source.not_before = BootClock::now() + source.backoff;
  m_log.Write(LogCategory::kFailure, "tokens_not_given", {{"from", node}, {"detail", detail}});
  // Requests that still wait are counted again, so that the next call asks for their tokens.
  m_on_tokens();
}

void TokenClient::OnReply(const std::string& node,
                          const proto::TokenCall& call,
                          const proto::TokenReply& reply,
                          TimePoint sent) {
  if (reply.quota_version() != call.quota_version()) {
    OnFailure(node, sent, "the node has another configuration or other members");
    return;
  }
  Source& source = m_sources[node];
  source.failing_since = TimePoint();
  source.backoff = Duration(0);
  const auto config = m_session.View().Config();
  if (config == nullptr || reply.quota_version() != static_cast<std::int64_t>(config->version)) {
    return;
  }
  const TimePoint now = BootClock::now();
  for (const proto::TenantDemand& demand : call.demands()) {
    const auto grant = std::find_if(reply.tokens().begin(), reply.tokens().end(),
                                    [&](const proto::TokenGrant& one) { return one.tenant() == demand.tenant(); });
    // Tokens of a node that no longer hands them out are on no ledger that counts.
    if (grant != reply.tokens().end() && m_service.NodeFor(demand.tenant()) == node) {
      m_holder.OnGrant(now, call.sequence(), demand, *grant);
    }
  }
  m_on_tokens();
}

}  // namespace magnoliaarch
