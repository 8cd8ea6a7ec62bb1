#include "magnoliaarch/audit.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "magnoliaarch/view.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

// Hexadecimal digits of the reversed time in a key.
constexpr int kTimeDigits = 16;
// A read window shares all but the last 6 digits: 2^24 ms, about 4.7 hours.
constexpr int kWindowBits = 24;
// The digits before this one change once in 34 years.
constexpr int kFirstPrunedDigit = 6;
constexpr std::string_view kWorkspaceKeyPrefix = "mk_";

std::uint64_t ReversedTime(std::uint64_t unix_ms) {
  return std::numeric_limits<std::uint64_t>::max() - unix_ms;
}

// Masks before it cuts, so that no cut leaves a part of a secret that is no longer recognised.
std::string RedactAndTruncate(std::string_view text) {
  return CleanText(RedactWorkspaceKeys(text), kAuditMaxFieldBytes);
}

}  // namespace

std::string AuditKey(std::uint64_t unix_ms, std::string_view id) {
  return fmt::format("{}{:016x}-{}", kAuditPrefix, ReversedTime(unix_ms), id);
}

std::string RedactWorkspaceKeys(std::string_view text) {
  std::string masked;
  const auto is_word = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0; };
  while (!text.empty()) {
    const std::size_t prefix_at = text.find(kWorkspaceKeyPrefix);
    if (prefix_at == std::string_view::npos) {
      break;
    }
    std::size_t end = prefix_at + kWorkspaceKeyPrefix.size();
    while (end < text.size() && is_word(text[end])) {
      ++end;
    }
    masked += text.substr(0, end);
    if (end < text.size() && text[end] == '_') {
      while (end < text.size() && (is_word(text[end]) || text[end] == '_')) {
        ++end;
      }
      masked += "_***";
    }
    text.remove_prefix(end);
  }
  masked += text;
  return masked;
}

void AddAuditRecord(const AuditEvent& event, std::string_view id, StoreTxn* txn) {
  proto::AuditRecord record;
  record.set_unix_ms(event.unix_ms);
  record.set_author(RedactAndTruncate(event.author));
  record.set_action(RedactAndTruncate(event.action));
  record.set_subject(RedactAndTruncate(event.subject));
  record.set_old_version(RedactAndTruncate(event.old_version));
  record.set_new_version(RedactAndTruncate(event.new_version));
  txn->puts.push_back({AuditKey(event.unix_ms, id), record.SerializeAsString(), 0});
}

absl::StatusOr<std::vector<proto::AuditRecord>> ReadAudit(Store& store,
                                                          std::uint64_t since_ms,
                                                          std::uint64_t now_ms,
                                                          std::size_t limit) {
  std::vector<proto::AuditRecord> records;
  const std::uint64_t first = ReversedTime(now_ms) >> kWindowBits;
  const std::uint64_t last = ReversedTime(std::min(since_ms, now_ms)) >> kWindowBits;
  for (std::uint64_t window = first; window <= last && records.size() < limit; ++window) {
    const std::string prefix = fmt::format("{}{:0{}x}", kAuditPrefix, window, kTimeDigits - kWindowBits / 4);
    absl::StatusOr<StoreRange> range = store.Range(prefix, false);
    if (!range.ok()) {
      return range.status();
    }
    std::sort(range->kvs.begin(), range->kvs.end(),
              [](const StoreKv& left, const StoreKv& right) { return left.key < right.key; });
    for (const StoreKv& kv : range->kvs) {
      proto::AuditRecord record;
      if (records.size() < limit && record.ParseFromString(kv.value) && record.unix_ms() >= since_ms) {
        records.push_back(std::move(record));
      }
    }
  }
  return records;
}

absl::StatusOr<std::size_t> PruneAuditBatch(Store& store, std::uint64_t older_than_ms) {
  // Older records have larger keys. The keys above the boundary are covered by the prefixes that share its first digits
  // and have a larger next digit; they are read from the smallest range to the largest, so that a regular pruning never
  // reads records that stay. The boundary's own window waits until it is over.
  const std::string boundary = fmt::format("{:0{}x}", ReversedTime(older_than_ms), kTimeDigits);
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::vector<std::string> old_keys;
  for (int position = kTimeDigits - kWindowBits / 4 - 1; position >= kFirstPrunedDigit; --position) {
    for (const char digit : kHexDigits.substr(kHexDigits.find(boundary[position]) + 1)) {
      absl::StatusOr<StoreRange> range =
          store.Range(Cat(kAuditPrefix, std::string_view(boundary).substr(0, position), digit), false);
      if (!range.ok()) {
        return range.status();
      }
      for (const StoreKv& kv : range->kvs) {
        if (old_keys.size() < kAuditPruneBatchSize) {
          old_keys.push_back(kv.key);
        }
      }
    }
    if (old_keys.size() == kAuditPruneBatchSize) {
      break;
    }
  }
  if (old_keys.empty()) {
    return 0;
  }
  StoreTxn txn;
  txn.deletes = std::move(old_keys);
  absl::StatusOr<StoreTxnResult> result = store.Txn(txn);
  if (!result.ok()) {
    return result.status();
  }
  return txn.deletes.size();
}

}  // namespace magnoliaarch
