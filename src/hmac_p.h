// Message authentication between nodes with the cluster secret.

#ifndef MAGNOLIAARCH_HMAC_P_H_
#define MAGNOLIAARCH_HMAC_P_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace magnoliaarch {

// HMAC-SHA256 of the text under the key, 32 bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

// Compares two byte strings in time that depends only on their length.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

// Puts a truncated HMAC-SHA256 in front of the payload of a datagram.
std::string SignDatagram(std::string_view secret, std::string_view payload);

// The payload of a sealed datagram, or an error when it was not sealed with this secret.
absl::StatusOr<std::string> VerifyDatagram(std::string_view secret, std::string_view datagram);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_HMAC_P_H_
