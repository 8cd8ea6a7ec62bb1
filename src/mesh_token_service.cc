#include "mesh_token_service_p.h"

#include <utility>

namespace magnoliaarch {
namespace {

// Initial share of the burst in a pool. A node that takes over a workspace does not know what its predecessor handed
// out, and several nodes may take it over one after another.
constexpr double kInitialPoolFill = 0.1;
constexpr double kMilliPerToken = 1000;

}  // namespace

TokenService::TokenService(std::function<const MeshView&()> view, std::string node)
    : m_view(std::move(view)), m_node(std::move(node)), m_pool(kInitialPoolFill) {}

void TokenService::OnViewChanged(TimePoint now) {
  const MeshView& view = m_view();
  const auto config = view.Config();
  if (config == nullptr || !m_duties.Update(view)) {
    return;
  }
  if (m_pool_version != config->version) {
    m_pool_version = config->version;
    m_pool.SetLimits(now, *config);
  }
  std::set<std::string> own;
  for (std::size_t i = 0; i < config->workspaces.size(); ++i) {
    if (m_duties.NodeFor(i) != m_node) {
      continue;
    }
    const std::string& name = config->workspaces[i].name;
    own.insert(name);
    if (!m_own_workspaces.contains(name)) {
      m_pool.Reset(now, i);
    }
  }
  m_own_workspaces = std::move(own);
}

proto::TokenReply TokenService::OnTokenCall(TimePoint now, const proto::TokenCall& call) {
  OnViewChanged(now);
  proto::TokenReply reply;
  const auto version = static_cast<std::int64_t>(m_pool_version);
  if (m_view().Config() == nullptr || call.quota_version() != version) {
    return reply;
  }
  for (const proto::TenantDemand& demand : call.demands()) {
    if (m_duties.NodeFor(demand.tenant()) != m_node) {
      return proto::TokenReply();
    }
    m_pool.Return(now, demand.tenant(), demand.returned_milli() / kMilliPerToken);
    const double given =
        m_pool.Take(now, demand.tenant(), demand.wanted_milli() / kMilliPerToken, m_view().Members().size());
    if (given > 0) {
      proto::TokenGrant* grant = reply.add_tokens();
      grant->set_tenant(demand.tenant());
      grant->set_milli(static_cast<std::uint32_t>(given * kMilliPerToken));
    }
  }
  reply.set_quota_version(version);
  return reply;
}

}  // namespace magnoliaarch
