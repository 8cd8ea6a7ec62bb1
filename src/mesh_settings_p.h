// Settings of a mesh node, from one INI file.

#ifndef MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_
#define MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const SocketAddress&) const = default;
};

// Returns nullopt if the text is not IP:PORT.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

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
  MeshBounds bounds;
};

// Errors: kInvalidArgument with one line "FILE:LINE: message" per error.
absl::StatusOr<MeshSettings> ParseMeshSettings(std::string_view text, const std::string& file_name);
absl::StatusOr<MeshSettings> LoadMeshSettings(const std::string& path);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_SETTINGS_P_H_
