#include "magnoliaarch/workspace_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr std::string_view kKeyPrefix = "mk_";
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;
// Limits the hashing time of an oversized Authorization header.
constexpr std::size_t kMaxKeyTextBytes = 256;

using Sha256 = std::array<unsigned char, 32>;

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size)) != 1) {
    // Without random bytes the key would be predictable.
    std::abort();
  }
  return bytes;
}

std::string ToHex(std::string_view bytes) {
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

// Returns the SHA-256 of the salt followed by the text. The digest algorithm is fetched once, because a fetch takes
// about as long as hashing a key.
Sha256 SaltedSha256(std::string_view salt, std::string_view text) {
  static const EVP_MD* const digest = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  static const auto free_context = [](EVP_MD_CTX* context) { EVP_MD_CTX_free(context); };
  thread_local const std::unique_ptr<EVP_MD_CTX, decltype(free_context)> context(EVP_MD_CTX_new(), free_context);
  Sha256 hash{};
  if (EVP_DigestInit_ex2(context.get(), digest, nullptr) != 1 ||
      EVP_DigestUpdate(context.get(), salt.data(), salt.size()) != 1 ||
      EVP_DigestUpdate(context.get(), text.data(), text.size()) != 1 ||
      EVP_DigestFinal_ex(context.get(), hash.data(), nullptr) != 1) {
    std::abort();
  }
  return hash;
}

bool MatchesHash(std::string_view salt, std::string_view sha256, std::string_view key_text) {
  const Sha256 hash = SaltedSha256(salt, key_text);
  return sha256.size() == hash.size() && CRYPTO_memcmp(hash.data(), sha256.data(), hash.size()) == 0;
}

}  // namespace

IssuedKey IssueWorkspaceKey() {
  IssuedKey key;
  const std::string id = ToHex(RandomBytes(kIdBytes));
  key.text = Cat(kKeyPrefix, id, "_", ToHex(RandomBytes(kSecretBytes)));
  key.hash.set_key_id(id);
  key.hash.set_salt(RandomBytes(kSaltBytes));
  const Sha256 hash = SaltedSha256(key.hash.salt(), key.text);
  key.hash.set_sha256(hash.data(), hash.size());
  return key;
}

std::string_view ParseKeyId(std::string_view key_text) {
  if (!key_text.starts_with(kKeyPrefix) || key_text.size() > kMaxKeyTextBytes) {
    return {};
  }
  key_text.remove_prefix(kKeyPrefix.size());
  const std::size_t separator = key_text.find('_');
  if (separator == std::string_view::npos || separator + 1 == key_text.size()) {
    return {};
  }
  return key_text.substr(0, separator);
}

bool MatchesKeyHash(std::string_view key_text, const proto::WorkspaceKeyHash& hash) {
  return ParseKeyId(key_text) == hash.key_id() && !hash.key_id().empty() &&
         MatchesHash(hash.salt(), hash.sha256(), key_text);
}

bool WorkspaceKeyIndex::Matches(const StoredKey& key, std::string_view key_text) {
  return MatchesHash(key.salt, std::string_view(reinterpret_cast<const char*>(key.sha256.data()), key.sha256.size()),
                     key_text);
}

std::shared_ptr<const WorkspaceKeyIndex> WorkspaceKeyIndex::Build(const View& view,
                                                                  std::shared_ptr<const WorkspaceKeyIndex> previous) {
  std::map<std::string, std::int64_t> revisions;
  for (const auto& [name, workspace] : view.Workspaces()) {
    revisions.emplace(name, workspace.revision());
  }
  if (previous != nullptr && previous->m_revisions == revisions) {
    return previous;
  }
  auto index = std::make_shared<WorkspaceKeyIndex>();
  index->m_revisions = std::move(revisions);
  for (const auto& [name, workspace] : view.Workspaces()) {
    for (const proto::WorkspaceKeyHash& hash : workspace.record().keys()) {
      StoredKey key{name, hash.salt(), {}};
      if (hash.key_id().empty() || hash.sha256().size() != key.sha256.size()) {
        continue;
      }
      std::copy(hash.sha256().begin(), hash.sha256().end(), key.sha256.begin());
      index->m_keys.emplace(hash.key_id(), std::move(key));
    }
  }
  if (previous != nullptr) {
    index->m_withdrawn = previous->m_withdrawn;
    index->m_withdrawn_order = previous->m_withdrawn_order;
    for (const auto& [id, key] : previous->m_keys) {
      if (!index->m_keys.contains(id) && index->m_withdrawn.emplace(id, key).second) {
        index->m_withdrawn_order.push_back(id);
      }
    }
    while (index->m_withdrawn_order.size() > kMaxWithdrawnKeys) {
      index->m_withdrawn.erase(index->m_withdrawn_order.front());
      index->m_withdrawn_order.pop_front();
    }
  }
  return index;
}

KeyCheckResult WorkspaceKeyIndex::Check(std::string_view key_text) const {
  const std::string_view id = ParseKeyId(key_text);
  if (id.empty()) {
    return {};
  }
  if (const auto found = m_keys.find(id); found != m_keys.end()) {
    if (Matches(found->second, key_text)) {
      return {KeyStatus::kValid, found->second.workspace};
    }
    return {};
  }
  // The secret is verified for withdrawn keys too, so that an id alone does not reveal that its key was withdrawn.
  if (const auto found = m_withdrawn.find(id); found != m_withdrawn.end() && Matches(found->second, key_text)) {
    return {KeyStatus::kWithdrawn, {}};
  }
  return {};
}

}  // namespace magnoliaarch
