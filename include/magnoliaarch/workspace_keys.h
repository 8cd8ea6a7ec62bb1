// Workspace keys: issue, salted hashes and authentication.

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

// Withdrawn keys that an index remembers, oldest dropped first.
inline constexpr std::size_t kMaxWithdrawnKeys = 4096;

// A new key. The text is shown to the operator once; only the hash is stored.
struct IssuedKey {
  std::string text;  // "mk_<id>_<secret>"
  proto::WorkspaceKeyHash hash;
};

// Creates a key from the operating system's random source: a 64-bit id and a 256-bit secret, both in hexadecimal.
IssuedKey IssueWorkspaceKey();

// The id inside a key's text, empty if the text does not have the form of a key.
std::string_view ParseKeyId(std::string_view key_text);

// Whether the key's text matches the stored salted hash, compared in constant time.
bool MatchesKeyHash(std::string_view key_text, const proto::WorkspaceKeyHash& hash);

enum class KeyStatus { kValid, kUnknown, kWithdrawn };

struct KeyCheckResult {
  KeyStatus status = KeyStatus::kUnknown;
  std::string_view workspace;  // valid keys only; lives as long as the index
};

// Immutable index over the keys of a view. Any number of threads may check keys at the same time.
class WorkspaceKeyIndex {
 public:
  // Builds the index of a view. The previous index, if there is one, is returned as it is when no workspace changed;
  // otherwise its keys that the view no longer holds are remembered as withdrawn. A node that started after the
  // withdrawal cannot know the key and reports it as unknown.
  static std::shared_ptr<const WorkspaceKeyIndex> Build(const View& view,
                                                        std::shared_ptr<const WorkspaceKeyIndex> previous);

  // Authenticates the bearer key of a request.
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
