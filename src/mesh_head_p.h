// Encoding of requests and answers between nodes. The envelope is the serialized MeshRequest or MeshAnswer. Repeated
// strings, such as route names and a client's usual headers, are sent as HTTP/2 header fields instead of in the
// envelope, because HPACK compresses a repeated field to one byte.

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
  // Whether the text was seen recently and is a valid header field value. Records the text as seen.
  bool IsRepeated(const std::string& text);
  void MoveToField(char tag, std::string* text, MessageHead* packed);
  void MoveHeadersToFields(google::protobuf::RepeatedPtrField<proto::MeshHeader>* headers, MessageHead* packed);

  std::unordered_set<std::size_t> m_seen_hashes;
};

// Returns false if the envelope or a field cannot be parsed.
bool UnpackRequest(const H2Message& message, proto::MeshRequest* request);
// The answer to a request that cannot be parsed and therefore certainly has not run.
proto::MeshAnswer UnreadableRequestAnswer();
// Also returns false for an unknown outcome, and for a target's answer without a final status. This includes an empty
// message: its fields have their default values, so its outcome is MESH_ANSWERED with status 0.
bool UnpackAnswer(const H2Message& message, proto::MeshAnswer* answer);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_HEAD_P_H_
