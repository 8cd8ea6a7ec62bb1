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

// Has another node make the call. The result passed to `done` keeps that node's uncertainty: kBroken if the call may
// have taken effect, kNotConnected only if it certainly has not.
void RelayStoreCall(MeshPeers& peers,
                    const MeshPeerAddress& peer,
                    const HttpMessage& call,
                    Duration timeout,
                    HttpClient::Done done);

// Makes a store call on behalf of another node and replies with its result.
void ServeRelayedCall(MeshStore& store, const H2Message& message, MeshPeers::Reply reply);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_RELAY_P_H_
