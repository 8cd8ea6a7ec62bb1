// Authenticates messages between nodes with the cluster secret.

#ifndef MAGNOLIAARCH_HMAC_P_H_
#define MAGNOLIAARCH_HMAC_P_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace magnoliaarch {

// Returns the HMAC-SHA256 of the text, 32 bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

// Compares two byte strings in time that depends only on their length, so that timing reveals no secret.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

// Returns a datagram of the payload with a truncated HMAC-SHA256 in front.
std::string SignDatagram(std::string_view secret, std::string_view payload);

// Returns the payload of a signed datagram: kInvalidArgument if it is too short, kUnauthenticated if the authentication
// code does not match the secret.
absl::StatusOr<std::string> VerifyDatagram(std::string_view secret, std::string_view datagram);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_HMAC_P_H_
