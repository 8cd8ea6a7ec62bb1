#include "mesh_departure_p.h"

#include <algorithm>
#include <utility>

#include "mesh_eras_p.h"

namespace magnoliaarch {
namespace {

// The longest lease that the platform's store grants. The records then go by themselves, also when the host is gone for
// good; heartbeats arrive seconds late, and a target that has left ends within seconds.
constexpr Duration kRecordDuration = std::chrono::minutes(10);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1000);
// Limits of the platform's store: 32 entries in one write, of which each record takes two, and 200 bytes in a key.
constexpr std::size_t kMaxRecordsPerWrite = 16;
constexpr std::size_t kMaxKeyBytes = 200;

std::string NodePrefix(std::string_view node) {
  return "magnolia-departed/" + std::string(node) + "/";
}

// One record that the store can never take would hold up the others.
bool IsRecordable(std::string_view key) {
  return key.size() <= kMaxKeyBytes && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

std::string DepartureKey(std::string_view node, std::string_view target_id) {
  return NodePrefix(node) + std::string(target_id);
}

DepartureRecords::DepartureRecords(TimerQueue& timers,
                                   MeshStore& store,
                                   MeshLog& log,
                                   std::string node,
                                   std::function<void()> on_known)
    : m_timers(timers), m_store(store), m_log(log), m_node(std::move(node)), m_on_known(std::move(on_known)) {}

std::optional<bool> DepartureRecords::HasLeft(const std::string& id, std::int64_t start_ms) const {
  const auto departure = m_departures.find(id);
  if (departure != m_departures.end() && start_ms <= departure->second.start_ms) {
    return true;
  }
  return m_known ? std::optional<bool>(false) : std::nullopt;
}

void DepartureRecords::OnTick() {
  if (m_call_pending) {
    return;
  }
  // A store that came back from an older copy may have lost the records.
  for (auto& [id, departure] : m_departures) {
    if (departure.revision != 0 && EraOf(departure.revision) != m_store.Era()) {
      departure.revision = 0;
      departure.stored_start_ms.reset();
    }
  }
  DropEnded(BootClock::now());
  if (m_known && m_retry_timer == 0) {
    Advance();
  }
}

void DepartureRecords::Read() {
  if (m_known || m_call_pending) {
    return;
  }
  m_timers.Cancel(std::exchange(m_retry_timer, 0));
  m_call_pending = true;
  m_store.Range(NodePrefix(m_node), [this](const absl::StatusOr<StoreRange>& range) {
    m_call_pending = false;
    if (!range.ok()) {
      RetryLater(range.status(), "read");
      return;
    }
    OnRead(*range);
  });
}

void DepartureRecords::OnRead(const StoreRange& range) {
  m_known = true;
  m_retry_delay = Duration(0);
  for (const StoreKv& kv : range.kvs) {
    SetStored(kv);
    m_log.Write(LogCategory::kState, "departure_read", {{"key", kv.key}, {"revision", kv.mod_revision}});
  }
  Advance();
  m_on_known();
}

void DepartureRecords::RetryLater(const absl::Status& status, std::string_view what) {
  m_log.Write(LogCategory::kFailure, "departure_failed", {{"what", what}, {"why", std::string(status.message())}});
  for (const Waiter& waiter : std::exchange(m_waiting, {})) {
    waiter.done(absl::UnavailableError("the leave is not recorded yet"));
  }
  m_retry_delay = std::clamp(m_retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  m_timers.Cancel(m_retry_timer);
  m_retry_timer = m_timers.At(BootClock::now() + m_retry_delay, [this] {
    m_retry_timer = 0;
    m_known ? Advance() : Read();
  });
}

void DepartureRecords::Record(const proto::TargetLife& life, Done done) {
  if (!IsRecordable(DepartureKey(m_node, life.id()))) {
    done(absl::InvalidArgumentError("the id is too long or has characters that a key cannot have"));
    return;
  }
  Departure& departure = m_departures[life.id()];
  departure.start_ms = std::max(departure.start_ms, life.start_ms());
  departure.recorded_at = BootClock::now();
  m_waiting.push_back(Waiter{life.id(), life.start_ms(), std::move(done)});
  // After a failure the next attempt waits for its time, so that many leaves do not overload a store that returns.
  if (m_retry_timer == 0) {
    m_known ? Advance() : Read();
  }
}

void DepartureRecords::SetStored(const StoreKv& kv) {
  proto::TargetLife life;
  if (!life.ParseFromString(kv.value) || kv.key != DepartureKey(m_node, life.id())) {
    m_log.Write(LogCategory::kFailure, "record_unreadable", {{"key", kv.key}, {"why", "it names no target"}});
    return;
  }
  Departure& departure = m_departures[life.id()];
  departure.start_ms = std::max(departure.start_ms, life.start_ms());
  departure.stored_start_ms = life.start_ms();
  departure.revision = kv.mod_revision;
  departure.recorded_at = BootClock::now();
}

void DepartureRecords::DropEnded(TimePoint now) {
  std::erase_if(m_departures, [now](const auto& entry) {
    return entry.second.IsStored() && now - entry.second.recorded_at > kRecordDuration;
  });
}

void DepartureRecords::Advance() {
  std::vector<Done> done;
  std::erase_if(m_waiting, [&](Waiter& waiter) {
    const auto departure = m_departures.find(waiter.id);
    const bool stored = departure != m_departures.end() && departure->second.Stores(waiter.start_ms);
    if (stored) {
      done.push_back(std::move(waiter.done));
    }
    return stored;
  });
  for (const Done& call : done) {
    call(absl::OkStatus());
  }
  const bool all_stored =
      std::all_of(m_departures.begin(), m_departures.end(), [](const auto& entry) { return entry.second.IsStored(); });
  if (!all_stored && !m_call_pending) {
    Write();
  }
}

void DepartureRecords::Write() {
  m_timers.Cancel(std::exchange(m_retry_timer, 0));
  m_call_pending = true;
  m_store.GrantLease(kRecordDuration, [this](const absl::StatusOr<std::int64_t>& lease) {
    if (!lease.ok()) {
      m_call_pending = false;
      RetryLater(lease.status(), "lease");
      return;
    }
    WriteUnder(*lease);
  });
}

// The write depends on the revisions that are known, so that one which the store executes late replaces no newer
// record.
void DepartureRecords::WriteUnder(std::int64_t lease) {
  StoreTxn txn;
  for (const auto& [id, departure] : m_departures) {
    if (departure.IsStored() || txn.puts.size() >= kMaxRecordsPerWrite) {
      continue;
    }
    proto::TargetLife life;
    life.set_node(m_node);
    life.set_id(id);
    life.set_start_ms(departure.start_ms);
    txn.compares.push_back(StoreCompare{DepartureKey(m_node, id), departure.revision});
    txn.puts.push_back(StorePut{DepartureKey(m_node, id), life.SerializeAsString(), lease});
  }
  m_store.Txn(txn, [this, txn](const absl::StatusOr<StoreWrite>& written) {
    m_call_pending = false;
    if (!written.ok()) {
      RetryLater(written.status(), "write");
      return;
    }
    m_retry_delay = Duration(0);
    OnWritten(txn, *written);
    Advance();
  });
}

void DepartureRecords::OnWritten(const StoreTxn& txn, const StoreWrite& written) {
  for (const StorePut& put : txn.puts) {
    if (written.succeeded) {
      SetStored(StoreKv{put.key, put.value, written.revision, put.lease});
      m_log.Write(LogCategory::kState, "departure_recorded", {{"key", put.key}, {"revision", written.revision}});
      continue;
    }
    Departure& departure = m_departures[put.key.substr(NodePrefix(m_node).size())];
    departure.revision = 0;
    departure.stored_start_ms.reset();
    const auto found = std::find_if(written.found.begin(), written.found.end(),
                                    [&](const StoreKv& kv) { return kv.key == put.key && kv.mod_revision != 0; });
    if (found != written.found.end()) {
      departure.revision = found->mod_revision;
      SetStored(*found);
    }
  }
}

}  // namespace magnoliaarch
