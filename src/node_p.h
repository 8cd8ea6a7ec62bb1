// A node: data plane, control plane and admin port.

#ifndef MAGNOLIAARCH_SRC_NODE_P_H_
#define MAGNOLIAARCH_SRC_NODE_P_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "magnoliaarch/settings.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Ports bound by the node.
struct NodePorts {
  std::uint16_t ingress = 0;
  std::uint16_t peer = 0;
  std::uint16_t admin = 0;
};

// One incarnation of a node.
class Node {
 public:
  Node(NodeSettings settings, std::uint64_t incarnation);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds all ports and starts all threads.
  absl::Status Start();

  NodePorts Ports() const;

  // Whether this incarnation was fenced. It must then be stopped and replaced by a new one.
  bool IsFenced() const;

  // Whether a planned stop was requested on the admin port.
  bool StopRequested() const;

  // Planned stop: moves slices to other members first, then finishes the requests in progress. Returns whether every
  // request was answered.
  bool StopGracefully();

  // Stops without moving slices, after the requests in progress are answered or 10 seconds have passed. Returns whether
  // every request was answered.
  bool Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// Bearer token of the admin port, derived from the cluster secret so that the secret itself is never sent.
std::string AdminToken(std::string_view cluster_secret);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_NODE_P_H_
