#include "mesh_token_client_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Tokens are asked for this often while some are lacking, and at once when a request waits for one.
constexpr Duration kPeriod = std::chrono::milliseconds(200);
constexpr Duration kTimeout = std::chrono::milliseconds(500);
constexpr double kMilli = 1000;

}  // namespace

TokenClient::TokenClient(asio::io_context& context,
                         MeshPeers& peers,
                         MeshSession& session,
                         MeshCoordinatorDuty& coordinator,
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

void TokenClient::AskNow() {
  m_ask_at = TimePoint();
  OnTick(BootClock::now());
}

void TokenClient::OnTick(TimePoint now) {
  const auto config = m_session.View().Config();
  const auto& coordinator = m_session.View().Coordinator();
  if (now < m_ask_at || m_asking || config == nullptr || !coordinator.has_value()) {
    return;
  }
  proto::TokenCall call;
  call.set_quota_version(static_cast<std::int64_t>(config->version));
  for (const auto& [workspace, wanted] : m_holder.Wanted(now, m_session.View().Members().size())) {
    proto::TenantDemand* demand = call.add_demands();
    demand->set_tenant(static_cast<std::uint32_t>(workspace));
    demand->set_wanted_milli(static_cast<std::uint32_t>(wanted * kMilli));
  }
  m_ask_at = now + kPeriod;
  if (call.demands().empty()) {
    return;
  }
  if (m_coordinator.IsCoordinator()) {
    proto::TokenReply reply;
    m_coordinator.OnTokenCall(now, call, &reply);
    // Never from within an admission.
    asio::post(m_context, [this, call, reply] { OnReply(call, reply); });
    return;
  }
  const proto::MeshMember* member = m_session.View().FindMember(coordinator->node());
  if (member == nullptr) {
    return;
  }
  m_asking = true;
  m_peers.Call(AddressOf(*member), kTokenPath, call.SerializeAsString(), m_no_body, kTimeout,
               [this, call](const MeshCallResult& result) {
                 m_asking = false;
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
      m_holder.OnNoneGiven(now, demand.tenant());
    }
  }
  for (const proto::TokenGrant& grant : reply.tokens()) {
    m_holder.Add(grant.tenant(), grant.milli() / kMilli);
  }
  m_on_tokens();
}

}  // namespace magnoliaarch
