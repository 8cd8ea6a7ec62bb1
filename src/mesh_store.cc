#include "mesh_store_p.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "mesh_eras_p.h"

namespace magnoliaarch {
namespace {

// The store usually answers within milliseconds, and within some hundred when it is slow.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(1200);
// Added to the time that a watch waits for a change.
constexpr Duration kWatchAnswerTime = std::chrono::milliseconds(800);
// While the store is not reachable, calls go through another node first, and one call in this time also goes to the
// store directly.
constexpr Duration kProbePeriod = std::chrono::milliseconds(1500);
// Nodes that are asked to relay a call, if the first ones cannot reach the store either.
constexpr int kMaxRelayNodes = 3;

// If a relayed call fails too, the store is down or overloaded, and further relayed calls would only add load.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);

// A page holds about 1 MB; after an outage a watch answer can be larger. Parsed JSON takes a multiple of its text size.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
constexpr std::size_t kMaxHeldBytes = 16 << 20;

HttpClientOptions WithSizeLimits(HttpClientOptions options) {
  options.max_answer_bytes = kMaxAnswerBytes;
  options.max_buffered_bytes = kMaxHeldBytes;
  return options;
}

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Whether the call certainly had no effect in the store.
bool IsNotApplied(const HttpResult& result) {
  switch (result.outcome) {
    case HttpOutcome::kRefused:
    case HttpOutcome::kNotConnected:
      return true;
    case HttpOutcome::kAnswered:
      return result.answer.status == kTooManyRequests || result.answer.status == kServiceUnavailable;
    case HttpOutcome::kBroken:
    case HttpOutcome::kTimedOut:
      return false;
  }
  return false;
}

bool HasUsableAnswer(const HttpResult& result) {
  return result.outcome == HttpOutcome::kAnswered && !IsNotApplied(result);
}

absl::Status FailureStatus(const HttpResult& result) {
  if (IsNotApplied(result)) {
    return absl::UnavailableError(result.outcome == HttpOutcome::kAnswered
                                      ? fmt::format("the store answered {}", result.answer.status)
                                      : result.detail);
  }
  return absl::UnknownError(result.detail);
}

}  // namespace

MeshStore::MeshStore(asio::io_context& context,
                     HttpClientOptions options,
                     const MeshWire& wire,
                     MeshLog& log,
                     Relay relay)
    : m_wire(wire),
      m_log(log),
      m_relay(std::move(relay)),
      m_client(context, WithSizeLimits(options)),
      m_host(fmt::format("{}:{}", options.ip, options.port)) {}

HttpMessage MeshStore::WithHost(HttpMessage call) const {
  call.headers.push_back(Header{"Host", m_host});
  return call;
}

void MeshStore::SetReachable(bool reachable, std::string_view detail) {
  if (reachable != m_reachable) {
    m_reachable = reachable;
    m_log.Write(LogCategory::kState, reachable ? "store_regained" : "store_lost", {{"detail", detail}});
  }
}

void MeshStore::NoteEra(std::int64_t era) {
  if (era > m_era) {
    m_era = era;
    if (m_on_era) {
      m_on_era(era);
    }
  }
}

void MeshStore::CheckEra(HttpResult* result) {
  if (result->outcome != HttpOutcome::kAnswered) {
    return;
  }
  const std::int64_t era = m_wire.StoreEra(result->answer);
  NoteEra(era);
  if (era < m_era && HasUsableAnswer(*result)) {
    result->outcome = HttpOutcome::kBroken;
    result->detail = "the answer comes from an earlier era";
  }
}

void MeshStore::CallForPeer(HttpMessage call, Duration timeout, HttpClient::Done done) {
  if (!m_reachable) {
    // The asking node tries another one at once instead of waiting for a time-out.
    HttpResult refused;
    refused.outcome = HttpOutcome::kNotConnected;
    refused.detail = "the relaying node does not reach the store";
    done(std::move(refused));
    return;
  }
  CallDirectly("for_peer", std::move(call), timeout, std::move(done));
}

void MeshStore::CallDirectly(std::string_view kind, HttpMessage call, Duration timeout, HttpClient::Done done) {
  ++m_calls[kind];
  m_client.Send(WithHost(std::move(call)), timeout, nullptr, [this, done = std::move(done)](HttpResult result) {
    if (HasUsableAnswer(result)) {
      SetReachable(true, "");
    } else {
      SetReachable(false, result.outcome == HttpOutcome::kAnswered ? "the store refuses calls" : result.detail);
    }
    done(std::move(result));
  });
}

bool MeshStore::TryRelay(const HttpMessage& call, HttpClient::Done done, int nodes_left) {
  if (BootClock::now() < m_relay_paused_until) {
    return false;
  }
  const bool relayed = m_relay(call, kRelayTimeout, [this, call, done, nodes_left](HttpResult result) {
    const bool not_reached = result.outcome == HttpOutcome::kRefused || result.outcome == HttpOutcome::kNotConnected;
    if (not_reached && nodes_left > 1 && TryRelay(call, done, nodes_left - 1)) {
      return;
    }
    if (!HasUsableAnswer(result)) {
      m_relay_paused_until = BootClock::now() + kRelayPause;
    }
    done(std::move(result));
  });
  m_relayed += relayed ? 1 : 0;
  return relayed;
}

void MeshStore::ProbeDirectly(std::string_view kind, const HttpMessage& call, RetryPolicy retry_policy) {
  const TimePoint now = BootClock::now();
  if (retry_policy == RetryPolicy::kAlways && now >= m_next_probe_at) {
    m_next_probe_at = now + kProbePeriod;
    CallDirectly(kind, call, kCallTimeout, [](const HttpResult&) {});
  }
}

void MeshStore::Call(std::string_view kind, HttpMessage call, RetryPolicy retry_policy, HttpClient::Done on_result) {
  const HttpClient::Done done = [this, on_result = std::move(on_result)](HttpResult result) {
    CheckEra(&result);
    on_result(std::move(result));
  };
  const auto call_directly_unless_sent = [this, kind, call, done](HttpResult result) {
    if (HasUsableAnswer(result) || !IsNotApplied(result)) {
      done(std::move(result));
    } else {
      CallDirectly(kind, call, kCallTimeout, done);
    }
  };
  if (!m_reachable && TryRelay(call, call_directly_unless_sent, kMaxRelayNodes)) {
    ProbeDirectly(kind, call, retry_policy);
    return;
  }
  CallDirectly(kind, call, kCallTimeout, [this, call, retry_policy, done](HttpResult result) {
    const bool may_retry = !HasUsableAnswer(result) && (IsNotApplied(result) || retry_policy == RetryPolicy::kAlways);
    if (!may_retry || !TryRelay(call, done, kMaxRelayNodes)) {
      done(std::move(result));
    }
  });
}

void MeshStore::Range(std::string prefix, std::function<void(absl::StatusOr<StoreRange>)> done) {
  ReadPages(std::move(prefix), "", std::make_shared<StoreRange>(), std::move(done));
}

void MeshStore::ReadPages(std::string prefix,
                          std::string after,
                          std::shared_ptr<StoreRange> range,
                          std::function<void(absl::StatusOr<StoreRange>)> done) {
  HttpMessage call = m_wire.RangeCall(prefix, after);
  Call("range", std::move(call), RetryPolicy::kAlways, [this, prefix, range, done](const HttpResult& result) {
    if (!HasUsableAnswer(result)) {
      done(FailureStatus(result));
      return;
    }
    absl::StatusOr<StorePage> page = m_wire.ParseRange(result.answer);
    if (!page.ok()) {
      done(page.status());
      return;
    }
    if (range->revision != 0 && EraOf(range->revision) != EraOf(page->range.revision)) {
      done(absl::UnavailableError("the pages come from different eras"));
      return;
    }
    // The revision of the first page is used, so that the watch also reports changes made while later pages are read.
    if (range->revision == 0) {
      range->revision = page->range.revision;
    }
    range->unreadable += page->range.unreadable;
    for (StoreKv& kv : page->range.kvs) {
      range->kvs.push_back(std::move(kv));
    }
    if (page->after.empty()) {
      done(std::move(*range));
    } else {
      ReadPages(prefix, page->after, range, done);
    }
  });
}

void MeshStore::Txn(const StoreTxn& txn, std::function<void(absl::StatusOr<StoreWrite>)> done) {
  const bool is_of_era = std::all_of(txn.compares.begin(), txn.compares.end(), [&](const StoreCompare& compare) {
    return compare.mod_revision == 0 || EraOf(compare.mod_revision) == m_era;
  });
  if (!is_of_era) {
    done(absl::UnavailableError("a condition comes from another era"));
    return;
  }
  Call("txn", m_wire.TxnCall(txn), RetryPolicy::kOnlyIfNotApplied,
       [this, era = m_era, done = std::move(done)](const HttpResult& result) {
         if (HasUsableAnswer(result) && m_wire.StoreEra(result.answer) != era) {
           done(absl::UnknownError("the answer comes from another era than the write"));
           return;
         }
         done(HasUsableAnswer(result) ? m_wire.ParseTxn(result.answer)
                                      : absl::StatusOr<StoreWrite>(FailureStatus(result)));
       });
}

void MeshStore::GrantLease(Duration ttl, std::function<void(absl::StatusOr<std::int64_t>)> done) {
  Call("lease", m_wire.GrantLeaseCall(ttl), RetryPolicy::kAlways,
       [this, done = std::move(done)](const HttpResult& result) {
         done(HasUsableAnswer(result) ? m_wire.ParseGrantedLease(result.answer)
                                      : absl::StatusOr<std::int64_t>(FailureStatus(result)));
       });
}

void MeshStore::RenewLease(std::int64_t lease, std::function<void(absl::Status)> done) {
  Call("renewal", m_wire.RenewLeaseCall(lease), RetryPolicy::kAlways,
       [this, done = std::move(done)](const HttpResult& result) {
         done(HasUsableAnswer(result) ? m_wire.ParseLeaseRenewal(result.answer) : FailureStatus(result));
       });
}

void MeshStore::RevokeLease(std::int64_t lease, std::function<void(absl::Status)> done) {
  Call("lease_end", m_wire.RevokeLeaseCall(lease), RetryPolicy::kAlways,
       [done = std::move(done)](const HttpResult& result) {
         done(HasUsableAnswer(result) ? absl::OkStatus() : FailureStatus(result));
       });
}

std::uint64_t MeshStore::Watch(const std::string& prefix,
                               std::int64_t after_revision,
                               Duration wait,
                               std::function<void(absl::StatusOr<StoreWatchBatch>)> done) {
  ++m_calls["watch"];
  return m_client.Send(WithHost(m_wire.WatchCall(prefix, after_revision, wait)), wait + kWatchAnswerTime, nullptr,
                       [this, after_revision, done = std::move(done)](HttpResult result) {
                         CheckEra(&result);
                         if (!HasUsableAnswer(result)) {
                           done(FailureStatus(result));
                           return;
                         }
                         if (m_wire.StoreEra(result.answer) != EraOf(after_revision)) {
                           done(absl::OutOfRangeError("the revision comes from another era"));
                           return;
                         }
                         done(m_wire.ParseWatch(result.answer));
                       });
}

}  // namespace magnoliaarch
