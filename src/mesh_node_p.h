// A mesh node: serves callers, other nodes and the local target, and takes part in membership and coordination. All of
// it runs on one event loop.

#ifndef MAGNOLIAARCH_SRC_MESH_NODE_P_H_
#define MAGNOLIAARCH_SRC_MESH_NODE_P_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "mesh_settings_p.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

class MeshNode {
 public:
  MeshNode(MeshSettings settings, std::string settings_path, std::unique_ptr<MeshWire> wire);
  ~MeshNode();
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  // Binds all ports. Fails if one of them cannot be bound.
  absl::Status Start();

  // Serves until SIGTERM or SIGINT and the planned stop that it starts. Returns the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_NODE_P_H_
