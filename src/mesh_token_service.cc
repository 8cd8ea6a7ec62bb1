#include "mesh_token_service_p.h"

#include <utility>

namespace magnoliaarch {

TokenService::TokenService(std::function<const MeshView&()> view,
                           std::string node,
                           std::function<bool(TimePoint)> has_authority)
    : m_view(std::move(view)), m_node(std::move(node)), m_has_authority(std::move(has_authority)) {}

void TokenService::OnViewChanged(TimePoint now) {
  const MeshView& view = m_view();
  const auto config = view.Config();
  if (config == nullptr || (!m_duties.Update(view) && !m_lost_authority)) {
    return;
  }
  m_lost_authority = false;
  if (m_pool_version != config->version) {
    m_pool_version = config->version;
    m_pool.SetLimits(now, *config);
  }
  TokenPool::Members members;
  for (const auto& [node, member] : view.Members()) {
    members.insert(TokenNode{node, member.incarnation()});
  }
  m_pool.OnMembers(now, members);
  std::set<std::string> own;
  for (std::size_t i = 0; i < config->workspaces.size(); ++i) {
    if (m_duties.NodeFor(i) != m_node) {
      continue;
    }
    const std::string& name = config->workspaces[i].name;
    own.insert(name);
    if (!m_own_workspaces.contains(name)) {
      m_pool.BeginDuty(now, i, members);
    }
  }
  m_own_workspaces = std::move(own);
}

proto::TokenReply TokenService::OnTokenCall(TimePoint now, const proto::TokenCall& call) {
  proto::TokenReply reply;
  if (!m_has_authority(now)) {
    // Others may have handed out tokens before it comes back, so the ledger does not hold any more.
    m_lost_authority = true;
    m_own_workspaces.clear();
    return reply;
  }
  OnViewChanged(now);
  const auto version = static_cast<std::int64_t>(m_pool_version);
  const proto::MeshMember* caller = m_view().FindMember(call.node());
  if (m_view().Config() == nullptr || call.quota_version() != version || caller == nullptr ||
      caller->incarnation() != call.incarnation()) {
    return reply;
  }
  const TokenNode node{call.node(), call.incarnation()};
  for (const proto::TenantDemand& demand : call.demands()) {
    if (m_duties.NodeFor(demand.tenant()) != m_node) {
      return proto::TokenReply();
    }
    const auto grant = m_pool.Answer(now, node, call.sequence(), demand, m_view().Members().size());
    if (!grant) {
      return proto::TokenReply();
    }
    *reply.add_tokens() = *grant;
  }
  reply.set_quota_version(version);
  return reply;
}

}  // namespace magnoliaarch
