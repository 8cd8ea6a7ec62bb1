// Store calls that are relayed through another node, for nodes that cannot reach the store or are refused by it.

#ifndef MAGNOLIAARCH_SRC_MESH_RELAY_P_H_
#define MAGNOLIAARCH_SRC_MESH_RELAY_P_H_

#include <string_view>

#include "http1_p.h"
#include "mesh.pb.h"
#include "mesh_peers_p.h"
#include "mesh_store_p.h"

namespace magnoliaarch {

// Path of relayed calls between nodes.
inline constexpr std::string_view kRelayPath = "/store";

// Makes the call through another node. `done` receives kBroken if the call may have taken effect, and kNotConnected
// only if the call certainly has not.
void RelayStoreCall(MeshPeers& peers,
                    const MeshPeerAddress& peer,
                    const HttpMessage& call,
                    Duration timeout,
                    HttpClient::Done done);

// Makes a store call on behalf of another node and replies with its result.
void ServeRelayedCall(MeshStore& store, const H2Message& message, MeshPeers::Reply reply);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_RELAY_P_H_
