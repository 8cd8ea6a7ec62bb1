// Settings of a mesh node, from one INI file.

#ifndef MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_
#define MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "mesh_domains_p.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const SocketAddress&) const = default;
};

// Returns nullopt if the text is not IP:PORT.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// Whether the node admits and places requests by the measured capacity of the services.
enum class LoadControl {
  kOff,
  kOn,
  kAuto,  // on if the configuration limits no workspace's rate, so that nothing else bounds what callers ask for
};

// What the process may use on its host. The defaults are those of the smallest host that the users name.
struct ProcessLimits {
  std::uint32_t memory_mb = 160;
  std::uint32_t descriptors = 4100;
  auto operator<=>(const ProcessLimits&) const = default;
};

struct MeshSettings {
  std::string node;
  std::string domain;
  std::string service;         // of the local target
  SocketAddress target;        // the local target
  SocketAddress ingress;       // for callers
  SocketAddress ready;         // for readiness checks of the platform
  SocketAddress registration;  // for the local target
  SocketAddress peer;          // for other nodes
  SocketAddress metrics;
  SocketAddress store;
  double cpu_share = 0;  // of this host, in cores; 0: not known
  double domain_preference = 0.4;
  LoadControl load_control = LoadControl::kAuto;
  ProcessLimits limits;
  // Whether inner calls go before new work and targets are weighed by how sends end. Auto: where load control is in
  // force.
  LoadControl chain_control = LoadControl::kOff;
  // Whether the share of requests that leaves the failure domain is planned. Auto: where load control is in force.
  LoadControl domain_control = LoadControl::kOff;
  DomainPolicy domain_policy;
  MeshBounds bounds;
  RolloutBounds rollout;
};

// Whether load control is in force under a configuration.
bool IsLoadControlled(LoadControl setting, const MeshConfig& config);

// Whether chain control is in force under a configuration. It needs load control.
bool IsChainControlled(const MeshSettings& settings, const MeshConfig& config);
// Whether domain control is in force under a configuration. It needs load control.
bool IsDomainControlled(const MeshSettings& settings, const MeshConfig& config);

// Errors: kInvalidArgument with one line "FILE:LINE: message" per error.
absl::StatusOr<MeshSettings> ParseMeshSettings(std::string_view text, const std::string& file_name);
absl::StatusOr<MeshSettings> LoadMeshSettings(const std::string& path);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_
