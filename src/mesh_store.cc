#include "mesh_store_p.h"

#include <utility>

#include <fmt/format.h>

namespace magnoliaarch {
namespace {

// Answers take milliseconds; a slow store takes some hundred.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(1200);
// How long one watch waits for a change. Short, because a connection that went silent shows only by its time-out.
constexpr Duration kWatchWait = std::chrono::seconds(3);
constexpr Duration kWatchTimeout = kWatchWait + std::chrono::milliseconds(800);
// After a failure calls go through another node first for this long, but for an occasional attempt.
constexpr Duration kAvoidAfterFailure = std::chrono::milliseconds(1500);

// When another node fails to reach the store too, the store is away or at its limit; more calls would only add to that.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);

// A page holds about 1 MB, and a watch more after an outage. Parsed JSON takes a multiple of its text.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
constexpr std::size_t kMaxHeldBytes = 16 << 20;

HttpClientOptions WithBounds(HttpClientOptions options) {
  options.max_answer_bytes = kMaxAnswerBytes;
  options.max_buffered_bytes = kMaxHeldBytes;
  return options;
}

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Whether the store has certainly done nothing.
bool IsWithoutEffect(const HttpResult& result) {
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

bool IsUseful(const HttpResult& result) {
  return result.outcome == HttpOutcome::kAnswered && !IsWithoutEffect(result);
}

absl::Status FailureOf(const HttpResult& result) {
  if (IsWithoutEffect(result)) {
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
      m_client(context, WithBounds(options)),
      m_host(fmt::format("{}:{}", options.ip, options.port)) {}

HttpMessage MeshStore::WithHost(HttpMessage call) const {
  call.headers.push_back(Header{"Host", m_host});
  return call;
}

void MeshStore::NoteReachable(bool reachable, std::string_view detail) {
  if (!reachable) {
    m_failed_at = BootClock::now();
  }
  if (reachable != m_reachable) {
    m_reachable = reachable;
    m_log.Write(LogRank::kState, reachable ? "store_regained" : "store_lost", {{"detail", detail}});
  }
}

void MeshStore::CallForPeer(HttpMessage call, Duration timeout, HttpClient::Done done) {
  CallDirectly("for_peer", std::move(call), timeout, std::move(done));
}

void MeshStore::CallDirectly(std::string_view kind, HttpMessage call, Duration timeout, HttpClient::Done done) {
  ++m_calls[kind];
  m_client.Send(WithHost(std::move(call)), timeout, nullptr, [this, done = std::move(done)](HttpResult result) {
    if (IsUseful(result)) {
      NoteReachable(true, "");
    } else {
      NoteReachable(false, result.outcome == HttpOutcome::kAnswered ? "the store refuses calls" : result.detail);
    }
    done(std::move(result));
  });
}

bool MeshStore::TryRelay(const HttpMessage& call, HttpClient::Done done) {
  if (BootClock::now() < m_no_relay_until) {
    return false;
  }
  const bool asked = m_relay(call, kRelayTimeout, [this, done = std::move(done)](HttpResult result) {
    if (!IsUseful(result)) {
      m_no_relay_until = BootClock::now() + kRelayPause;
    }
    done(std::move(result));
  });
  m_relayed += asked ? 1 : 0;
  return asked;
}

void MeshStore::Call(std::string_view kind, HttpMessage call, Repeat repeat, HttpClient::Done done) {
  const bool avoid = !m_reachable && BootClock::now() - m_failed_at < kAvoidAfterFailure;
  if (avoid && TryRelay(call, [this, kind, call, done](HttpResult result) {
        if (IsUseful(result) || !IsWithoutEffect(result)) {
          done(std::move(result));
        } else {
          CallDirectly(kind, call, kCallTimeout, done);
        }
      })) {
    return;
  }
  CallDirectly(kind, call, kCallTimeout, [this, call, repeat, done](HttpResult result) {
    const bool may_repeat = !IsUseful(result) && (IsWithoutEffect(result) || repeat == Repeat::kSafe);
    if (!may_repeat || !TryRelay(call, done)) {
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
  Call("range", std::move(call), Repeat::kSafe, [this, prefix, range, done](const HttpResult& result) {
    if (!IsUseful(result)) {
      done(FailureOf(result));
      return;
    }
    absl::StatusOr<StorePage> page = m_wire.ParseRange(result.answer);
    if (!page.ok()) {
      done(page.status());
      return;
    }
    // The first page's revision counts: later changes are seen by the watch.
    if (range->revision == 0) {
      range->revision = page->range.revision;
    }
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
  Call("txn", m_wire.TxnCall(txn), Repeat::kOnlyIfNotSent, [this, done = std::move(done)](const HttpResult& result) {
    done(IsUseful(result) ? m_wire.ParseTxn(result.answer) : absl::StatusOr<StoreWrite>(FailureOf(result)));
  });
}

void MeshStore::GrantLease(Duration ttl, std::function<void(absl::StatusOr<std::int64_t>)> done) {
  Call("lease", m_wire.LeaseCall(ttl), Repeat::kSafe, [this, done = std::move(done)](const HttpResult& result) {
    done(IsUseful(result) ? m_wire.ParseLease(result.answer) : absl::StatusOr<std::int64_t>(FailureOf(result)));
  });
}

void MeshStore::KeepLease(std::int64_t lease, std::function<void(absl::Status)> done) {
  Call("renewal", m_wire.KeepCall(lease), Repeat::kSafe, [this, done = std::move(done)](const HttpResult& result) {
    done(IsUseful(result) ? m_wire.ParseKeep(result.answer) : FailureOf(result));
  });
}

void MeshStore::EndLease(std::int64_t lease, std::function<void(absl::Status)> done) {
  Call("lease_end", m_wire.EndLeaseCall(lease), Repeat::kSafe, [done = std::move(done)](const HttpResult& result) {
    done(IsUseful(result) ? absl::OkStatus() : FailureOf(result));
  });
}

std::uint64_t MeshStore::Watch(const std::string& prefix,
                               std::int64_t after_revision,
                               std::function<void(absl::StatusOr<StoreWatchBatch>)> done) {
  ++m_calls["watch"];
  return m_client.Send(WithHost(m_wire.WatchCall(prefix, after_revision, kWatchWait)), kWatchTimeout, nullptr,
                       [this, done = std::move(done)](const HttpResult& result) {
                         if (!IsUseful(result)) {
                           done(FailureOf(result));
                           return;
                         }
                         done(m_wire.ParseWatch(result.answer));
                       });
}

}  // namespace magnoliaarch
