#include "mesh_token_client_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Interval of token requests while tokens are missing. If a caller's request waits for a token, they are sent at once.
constexpr Duration kRequestPeriod = std::chrono::milliseconds(200);
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
constexpr double kMilliPerToken = 1000;

}  // namespace

TokenClient::TokenClient(asio::io_context& context,
                         MeshPeers& peers,
                         MeshSession& session,
                         CoordinatorRole& coordinator,
                         MeshLog& log,
                         TokenHolder& holder,
                         std::function<void()> on_tokens)
    : m_context(context),
      m_peers(peers),
      m_session(session),
      m_coordinator(coordinator),
      m_log(log),
      m_holder(holder),
      m_on_tokens(std::move(on_tokens)) {}

void TokenClient::RequestNow() {
  m_next_request_at = TimePoint();
  OnTick(BootClock::now());
}

void TokenClient::OnTick(TimePoint now) {
  const auto config = m_session.View().Config();
  const auto& coordinator = m_session.View().Coordinator();
  if (now < m_next_request_at || m_request_in_flight || config == nullptr || !coordinator.has_value()) {
    return;
  }
  proto::TokenCall call;
  call.set_quota_version(static_cast<std::int64_t>(config->version));
  for (const auto& [workspace, wanted] : m_holder.TokensToRequest(now, m_session.View().Members().size())) {
    proto::TenantDemand* demand = call.add_demands();
    demand->set_tenant(static_cast<std::uint32_t>(workspace));
    demand->set_wanted_milli(static_cast<std::uint32_t>(wanted * kMilliPerToken));
  }
  m_next_request_at = now + kRequestPeriod;
  if (call.demands().empty()) {
    return;
  }
  if (m_coordinator.IsCoordinator()) {
    proto::TokenReply reply;
    m_coordinator.OnTokenCall(now, call, &reply);
    // Posted, so that OnReply never runs within the admission of a request.
    asio::post(m_context, [this, call, reply] { OnReply(call, reply); });
    return;
  }
  const proto::MeshMember* member = m_session.View().FindMember(coordinator->node());
  if (member == nullptr) {
    return;
  }
  m_request_in_flight = true;
  m_peers.Call(AddressOf(*member), kTokenPath, call.SerializeAsString(), m_no_body, kRequestTimeout,
               [this, call](const MeshCallResult& result) {
                 m_request_in_flight = false;
                 proto::TokenReply reply;
                 if (result.outcome == MeshCallOutcome::kAnswered && reply.ParseFromString(result.answer.head)) {
                   OnReply(call, reply);
                 } else {
                   m_log.Write(LogCategory::kFailure, "tokens_not_given", {{"detail", result.detail}});
                 }
               });
}

void TokenClient::OnReply(const proto::TokenCall& call, const proto::TokenReply& reply) {
  const auto config = m_session.View().Config();
  if (config == nullptr || reply.quota_version() != static_cast<std::int64_t>(config->version) ||
      call.quota_version() != reply.quota_version()) {
    return;
  }
  const TimePoint now = BootClock::now();
  for (const proto::TenantDemand& demand : call.demands()) {
    const bool given = std::any_of(reply.tokens().begin(), reply.tokens().end(),
                                   [&](const proto::TokenGrant& grant) { return grant.tenant() == demand.tenant(); });
    if (!given) {
      m_holder.OnTokensDenied(now, demand.tenant());
    }
  }
  for (const proto::TokenGrant& grant : reply.tokens()) {
    m_holder.Add(grant.tenant(), grant.milli() / kMilliPerToken);
  }
  m_on_tokens();
}

}  // namespace magnoliaarch
