// One mesh node: callers, other nodes, the local target, membership and the coordinator's duty on one event loop.

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

  // Binds all ports.
  absl::Status Start();

  // Serves until SIGTERM and the planned stop that follows. Returns the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_NODE_P_H_
