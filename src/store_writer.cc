#include "magnoliaarch/store_writer.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>
#include "absl/strings/str_cat.h"

namespace magnoliaarch {

StoreWriter::StoreWriter(Store* store, const StoreWriterOptions& options, std::function<void(Duration)> sleep)
    : m_store(store), m_options(options), m_sleep(std::move(sleep)), m_random(options.seed) {
  if (!m_sleep) {
    m_sleep = [](Duration wait) { std::this_thread::sleep_for(wait); };
  }
}

std::string StoreWriter::NewWriteId() {
  return fmt::format("{:016x}{:016x}", RandomNumber(), RandomNumber());
}

bool StoreWriter::WaitBeforeRetry(int* attempt) {
  if (++*attempt >= m_options.max_attempts) {
    return false;
  }
  const int doublings = std::min(*attempt - 1, 20);
  const Duration wait = std::min<Duration>(m_options.initial_backoff * (1LL << doublings), m_options.max_backoff);
  std::uniform_int_distribution<Duration::rep> jitter(wait.count() / 2, wait.count());
  m_sleep(Duration(jitter(m_random)));
  return true;
}

absl::StatusOr<StoreRange> StoreWriter::ReadBack(const std::string& key, int* attempt) {
  while (true) {
    absl::StatusOr<StoreRange> range = m_store->Range(key, /*exact=*/true);
    if (range.ok() || range.status().code() == absl::StatusCode::kInvalidArgument || !WaitBeforeRetry(attempt)) {
      return range;
    }
  }
}

absl::StatusOr<StoreWriteOutcome> StoreWriter::Write(const StoreWrite& write) {
  bool answer_lost = false;
  int attempt = 0;
  while (true) {
    const absl::StatusOr<StoreTxnResult> result = m_store->Txn(write.txn);
    if (result.ok() && result->succeeded) {
      return StoreWriteOutcome{true, result->revision, false, std::nullopt};
    }
    if (!result.ok()) {
      const absl::StatusCode code = result.status().code();
      if (code == absl::StatusCode::kDeadlineExceeded || code == absl::StatusCode::kUnknown) {
        answer_lost = true;
      } else if (code != absl::StatusCode::kUnavailable) {
        // An error of this attempt does not tell whether an earlier one, whose response was lost, was applied.
        return answer_lost ? absl::UnknownError(absl::StrCat("response lost, then: ", result.status().message()))
                           : result.status();
      }
    }
    if (result.ok() || answer_lost) {
      const absl::StatusOr<StoreRange> range = ReadBack(write.id_key, &attempt);
      if (!range.ok()) {
        return answer_lost ? absl::UnknownError(absl::StrCat("response lost, then: ", range.status().message()))
                           : absl::UnavailableError(absl::StrCat("write conflict, then: ", range.status().message()));
      }
      std::optional<StoreKv> current;
      if (!range->kvs.empty()) {
        current = range->kvs.front();
      }
      if (current && write.read_id(current->value) == write.write_id) {
        return StoreWriteOutcome{true, current->mod_revision, false, std::nullopt};
      }
      const std::int64_t current_revision = current ? current->mod_revision : 0;
      const auto compare = std::find_if(write.txn.compares.begin(), write.txn.compares.end(),
                                        [&](const StoreCompare& c) { return c.key == write.id_key; });
      // If the key still has the compared revision, the unanswered attempt has not been applied so far. The retry has
      // the same compare, so at most one of them will be applied.
      if (result.ok() || (compare != write.txn.compares.end() && compare->mod_revision != current_revision)) {
        return StoreWriteOutcome{false, range->revision, answer_lost, current};
      }
    }
    if (!WaitBeforeRetry(&attempt)) {
      return answer_lost ? absl::UnknownError(fmt::format("no response to the write of {}", write.id_key))
                         : absl::UnavailableError(fmt::format("store unreachable for the write of {}", write.id_key));
    }
  }
}

absl::StatusOr<StoreWriteOutcome> StoreWriter::UpdateLoop(
    const std::string& key,
    const std::function<std::optional<StoreWrite>(const StoreKv* current)>& prepare) {
  int attempt = 0;
  while (true) {
    const absl::StatusOr<StoreRange> range = ReadBack(key, &attempt);
    if (!range.ok()) {
      return absl::UnavailableError(range.status().message());
    }
    const StoreKv* current = range->kvs.empty() ? nullptr : &range->kvs.front();
    const std::optional<StoreWrite> write = prepare(current);
    if (!write) {
      StoreWriteOutcome unchanged;
      unchanged.revision = range->revision;
      if (current != nullptr) {
        unchanged.current = *current;
      }
      return unchanged;
    }
    absl::StatusOr<StoreWriteOutcome> outcome = Write(*write);
    // A write that may have been applied and overwritten is not retried: that could apply the change twice.
    if (!outcome.ok() || outcome->applied || outcome->may_have_been_replaced || !WaitBeforeRetry(&attempt)) {
      return outcome;
    }
  }
}

}  // namespace magnoliaarch
