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

// Number of hexadecimal digits of the reversed time in a key.
constexpr int kTimeDigits = 16;
// Keys in one read window differ only in the last 6 digits of the time: 2^24 ms, about 4.7 hours.
constexpr int kWindowBits = 24;
// Pruning ignores the digits before this one, which change once in 34 years.
constexpr int kFirstPrunedDigit = 6;
constexpr std::string_view kWorkspaceKeyPrefix = "mk_";

std::uint64_t ReversedTime(std::uint64_t unix_ms) {
  return std::numeric_limits<std::uint64_t>::max() - unix_ms;
}

// Redacts before truncating, because a truncated secret would no longer be recognised as part of a key.
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
  // Older records have larger keys. The keys above the boundary are the ranges of all prefixes that share the first
  // digits of the boundary and have a larger next digit. The ranges are read from the smallest to the largest, so that
  // regular pruning reads only records that it deletes. The window that contains the boundary is not pruned until all
  // of it is old enough.
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
