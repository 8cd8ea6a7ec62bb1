#include "hmac_p.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstddef>

namespace magnoliaarch {
namespace {

// Truncated to 128 bits to keep renewal datagrams small; a forger gets only one guess per datagram.
constexpr std::size_t kDatagramMacBytes = 16;

}  // namespace

std::string HmacSha256(std::string_view key, std::string_view text) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
       text.size(), mac, &length);
  return std::string(reinterpret_cast<const char*>(mac), length);
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string SignDatagram(std::string_view secret, std::string_view payload) {
  std::string datagram = HmacSha256(secret, payload).substr(0, kDatagramMacBytes);
  datagram.append(payload);
  return datagram;
}

absl::StatusOr<std::string> VerifyDatagram(std::string_view secret, std::string_view datagram) {
  if (datagram.size() < kDatagramMacBytes) {
    return absl::InvalidArgumentError("datagram is shorter than its authentication code");
  }
  const std::string_view payload = datagram.substr(kDatagramMacBytes);
  const std::string expected = HmacSha256(secret, payload).substr(0, kDatagramMacBytes);
  if (!ConstantTimeEquals(expected, datagram.substr(0, kDatagramMacBytes))) {
    return absl::UnauthenticatedError("datagram authentication code does not match the cluster secret");
  }
  return std::string(payload);
}

}  // namespace magnoliaarch
