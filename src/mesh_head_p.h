// Envelopes of requests and answers between nodes. Strings that recur, such as route names and a client's usual
// headers, go beside the envelope as header fields, which the connection sends as one byte each.

#ifndef MAGNOLIAARCH_SRC_MESH_HEAD_P_H_
#define MAGNOLIAARCH_SRC_MESH_HEAD_P_H_

#include <cstddef>
#include <string>
#include <unordered_set>

#include "h2_session_p.h"
#include "mesh.pb.h"
#include "mesh_peers_p.h"

namespace magnoliaarch {

class HeadPacker {
 public:
  MessageHead Pack(proto::MeshRequest request);
  MessageHead Pack(proto::MeshAnswer answer);

 private:
  // Whether the text was seen lately and may stand in a header field.
  bool IsRepeated(const std::string& text);
  void MoveToField(char tag, std::string* text, MessageHead* packed);
  void MoveHeadersToFields(google::protobuf::RepeatedPtrField<proto::MeshHeader>* headers, MessageHead* packed);

  std::unordered_set<std::size_t> m_seen_hashes;  // hashes
};

// False when the envelope or a field cannot be read.
bool UnpackRequest(const H2Message& message, proto::MeshRequest* request);
// The answer to a request that cannot be read. It certainly has not run.
proto::MeshAnswer UnreadableRequestAnswer();
// Also false for an outcome that is not known, and for a target's answer without a final status. An empty message is
// one, since all of its fields have their default values.
bool UnpackAnswer(const H2Message& message, proto::MeshAnswer* answer);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_HEAD_P_H_
