// Store calls through other nodes, for nodes that the store refuses.

#ifndef MAGNOLIAARCH_SRC_MESH_RELAY_P_H_
#define MAGNOLIAARCH_SRC_MESH_RELAY_P_H_

#include <string_view>

#include "http1_p.h"
#include "mesh.pb.h"
#include "mesh_peers_p.h"
#include "mesh_store_p.h"

namespace magnoliaarch {

// Path of such calls between nodes.
inline constexpr std::string_view kRelayPath = "/store";

// Has another node make the call. `done` tells as much as that node knows: a call that may have taken effect is broken,
// not unconnected.
void RelayStoreCall(MeshPeers& peers,
                    const MeshPeerAddress& peer,
                    const HttpMessage& call,
                    Duration timeout,
                    HttpClient::Done done);

// Makes another node's call.
void ServeRelayedCall(MeshStore& store, const H2Message& message, MeshPeers::Reply reply);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_RELAY_P_H_
