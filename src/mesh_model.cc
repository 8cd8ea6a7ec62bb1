#include "mesh_model_p.h"

#include <algorithm>
#include <array>

namespace magnoliaarch {
namespace {

// The refusals with status 429 and 503 promise that the request has not been executed and never will be.
constexpr std::array<MeshErrorAnswer, 15> kErrorAnswers = {{
    {MeshError::kMalformed, "malformed-request", 400, false},
    {MeshError::kHeaderTooLarge, "header-too-large", 431, false},
    {MeshError::kBodyTooLarge, "body-too-large", 413, false},
    {MeshError::kUnknownRoute, "unknown-route", 404, false},
    {MeshError::kUnauthenticated, "unauthenticated", 401, false},
    {MeshError::kRateExceeded, "rate-exceeded", 429, false},
    {MeshError::kNotConfigured, "not-configured", 503, false},
    {MeshError::kConfigUnconfirmed, "configuration-unconfirmed", 503, false},
    {MeshError::kBusy, "overloaded", 503, false},
    {MeshError::kNoOwner, "no-owner", 503, false},
    {MeshError::kNoTarget, "no-target", 503, false},
    {MeshError::kExpired, "deadline-before-send", 503, false},
    {MeshError::kTimedOut, "deadline-after-send", 504, true},
    {MeshError::kTargetBroken, "target-broken", 502, true},
    {MeshError::kStopping, "stopping", 503, false},
}};

}  // namespace

const MeshErrorAnswer& AnswerFor(MeshError kind) {
  return kErrorAnswers[static_cast<std::size_t>(kind)];
}

std::uint32_t NodeHash(std::string_view node) {
  return static_cast<std::uint32_t>(HashKey(node));
}

void MeshConfig::Index() {
  for (auto& [host, routes] : hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const MeshRoute& a, const MeshRoute& b) { return a.prefix.size() > b.prefix.size(); });
  }
  keys.clear();
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    for (const std::string& key : workspaces[i].keys) {
      keys.emplace(key, i);
    }
  }
}

const MeshRoute* MeshConfig::FindRoute(std::string_view host, std::string_view path) const {
  const auto it = hosts.find(std::string(host));
  if (it == hosts.end()) {
    return nullptr;
  }
  for (const MeshRoute& route : it->second) {
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const MeshService* MeshConfig::FindService(std::string_view name) const {
  const auto it = services.find(std::string(name));
  return it == services.end() ? nullptr : &it->second;
}

Duration MeshConfig::LongestObjective(std::string_view service) const {
  Duration longest(0);
  for (const auto& [host, routes] : hosts) {
    for (const MeshRoute& route : routes) {
      const bool leads_here =
          std::any_of(route.weighted_services.begin(), route.weighted_services.end(),
                      [&](const WeightedService& candidate) { return candidate.service == service; });
      if (leads_here) {
        longest = std::max(longest, route.objective);
      }
    }
  }
  return longest;
}

}  // namespace magnoliaarch
