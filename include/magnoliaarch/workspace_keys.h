// Workspace keys: creation, salted hashes and authentication.

#ifndef MAGNOLIAARCH_WORKSPACE_KEYS_H_
#define MAGNOLIAARCH_WORKSPACE_KEYS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "magnolia.pb.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Maximum number of withdrawn keys that an index keeps. The oldest are dropped first.
inline constexpr std::size_t kMaxWithdrawnKeys = 4096;

// A new workspace key. The text is shown to the operator once; only the hash is stored.
struct IssuedKey {
  std::string text;  // "mk_<id>_<secret>"
  proto::WorkspaceKeyHash hash;
};

// Creates a key with a random 64-bit id and a random 256-bit secret, both in hexadecimal. Aborts the process if the
// random number generator fails.
IssuedKey IssueWorkspaceKey();

// Returns the id part of a key, or an empty view if the text is not a well-formed key.
std::string_view ParseKeyId(std::string_view key_text);

// Whether the key matches the stored salted hash. The hashes are compared in constant time.
bool MatchesKeyHash(std::string_view key_text, const proto::WorkspaceKeyHash& hash);

enum class KeyStatus { kValid, kUnknown, kWithdrawn };

struct KeyCheckResult {
  KeyStatus status = KeyStatus::kUnknown;
  std::string_view workspace;  // set for valid keys only; points into the index
};

// Immutable index of the workspace keys in a view. Thread-safe.
class WorkspaceKeyIndex {
 public:
  // Builds the index of a view. Returns the previous index, which may be null, if no workspace has changed. Otherwise
  // keys of the previous index that are not in the view are kept as withdrawn. A node that starts after the withdrawal
  // has no record of the key and reports it as unknown.
  static std::shared_ptr<const WorkspaceKeyIndex> Build(const View& view,
                                                        std::shared_ptr<const WorkspaceKeyIndex> previous);

  // Authenticates the key in the Authorization header of a request.
  KeyCheckResult Check(std::string_view key_text) const;

  std::size_t KeyCount() const { return m_keys.size(); }

 private:
  struct StoredKey {
    std::string workspace;
    std::string salt;
    std::array<unsigned char, 32> sha256{};
  };

  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using KeyMap = std::unordered_map<std::string, StoredKey, TextHash, std::equal_to<>>;

  static bool Matches(const StoredKey& key, std::string_view key_text);

  std::map<std::string, std::int64_t> m_revisions;  // workspace revisions that the index was built from
  KeyMap m_keys;
  KeyMap m_withdrawn;
  std::deque<std::string> m_withdrawn_order;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_WORKSPACE_KEYS_H_
