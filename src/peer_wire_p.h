// Converts requests and responses to and from the messages on streams between nodes.

#ifndef MAGNOLIAARCH_SRC_PEER_WIRE_P_H_
#define MAGNOLIAARCH_SRC_PEER_WIRE_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Paths of the streams.
inline constexpr std::string_view kHelloPath = "/hello";
inline constexpr std::string_view kProofPath = "/proof";
inline constexpr std::string_view kRequestPath = "/request";
inline constexpr std::string_view kQueryPath = "/query";
inline constexpr std::string_view kCancelPath = "/cancel";
inline constexpr std::string_view kMessagePath = "/message";

inline constexpr std::size_t kNonceBytes = 32;
// Size limit of messages before the connection is authenticated.
inline constexpr std::size_t kMaxHandshakeMessageBytes = 4096;

// Returns kNonceBytes random bytes from the operating system.
std::string RandomNonce();

// Authentication proof of each side: an HMAC with the shared secret. It includes the role, so that a proof cannot be
// reflected as the other side's.
std::string ServerProof(std::string_view secret,
                        std::string_view client_nonce,
                        std::string_view server_nonce,
                        const proto::Incarnation& server);
std::string ClientProof(std::string_view secret,
                        std::string_view client_nonce,
                        std::string_view server_nonce,
                        const proto::Incarnation& client,
                        const proto::Incarnation& server);

proto::Incarnation ToProto(const IncarnationId& id);
IncarnationId FromProto(const proto::Incarnation& id);
RequestClass FromProto(proto::RequestClass request_class);

// Serializes the envelope of one attempt; the deadline is sent as the time left.
std::string SerializeRequest(const Request& request,
                             const IncarnationId& target,
                             std::uint32_t attempt,
                             std::uint64_t epoch,
                             TimePoint now);

// A request parsed from an envelope, without its body. ParseRequest returns nullopt if the envelope is invalid.
struct ReceivedRequest {
  Request request;
  IncarnationId target;
  std::uint32_t attempt = 0;
};
std::optional<ReceivedRequest> ParseRequest(const std::string& head, TimePoint now);

std::string SerializeResponse(const Response& response);
// Parses an envelope; the response has no body. Returns nullopt if the envelope is invalid.
std::optional<Response> ParseResponse(const std::string& head);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_PEER_WIRE_P_H_
