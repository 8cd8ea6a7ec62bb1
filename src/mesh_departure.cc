#include "mesh_departure_p.h"

#include <algorithm>
#include <utility>

#include "mesh_eras_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

// The longest lease that the platform's store grants. The record then goes by itself, also when its host is gone for
// good; heartbeats arrive seconds late, and a target that has left ends within seconds.
constexpr Duration kRecordDuration = std::chrono::minutes(10);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

std::string DepartureKey(std::string_view node) {
  return "magnolia-departed/" + std::string(node) + "/target";
}

bool CoversLife(const proto::TargetLife& departed, const std::string& id, std::int64_t start_ms) {
  return departed.id() == id && start_ms <= departed.start_ms();
}

DepartureRecord::DepartureRecord(TimerQueue& timers,
                                 MeshStore& store,
                                 MeshLog& log,
                                 std::string node,
                                 std::function<void()> on_known)
    : m_timers(timers), m_store(store), m_log(log), m_node(std::move(node)), m_on_known(std::move(on_known)) {}

std::optional<bool> DepartureRecord::HasLeft(const std::string& id, std::int64_t start_ms) const {
  if (m_departed && CoversLife(*m_departed, id, start_ms)) {
    return true;
  }
  return m_known ? std::optional<bool>(false) : std::nullopt;
}

bool DepartureRecord::IsStored() const {
  return m_departed && m_stored && SameLife(*m_departed, *m_stored);
}

void DepartureRecord::OnTick() {
  // A store that came back from an older copy may have lost the record.
  if (m_revision != 0 && !m_call_pending && EraOf(m_revision) != m_store.Era()) {
    SetStored(nullptr);
    FinishWrite();
  }
}

void DepartureRecord::Read() {
  if (m_known || m_call_pending) {
    return;
  }
  m_timers.Cancel(std::exchange(m_retry_timer, 0));
  m_call_pending = true;
  m_store.Range(DepartureKey(m_node), [this](const absl::StatusOr<StoreRange>& range) {
    m_call_pending = false;
    if (!range.ok()) {
      RetryLater(range.status(), "read");
      return;
    }
    OnRead(*range);
  });
}

void DepartureRecord::OnRead(const StoreRange& range) {
  const std::string key = DepartureKey(m_node);
  const auto kv =
      std::find_if(range.kvs.begin(), range.kvs.end(), [&](const StoreKv& read) { return read.key == key; });
  m_known = true;
  m_retry_delay = Duration(0);
  SetStored(kv != range.kvs.end() ? &*kv : nullptr);
  if (m_stored) {
    m_log.Write(LogCategory::kState, "departure_read",
                {{"id", m_stored->id()}, {"start_ms", m_stored->start_ms()}, {"revision", m_revision}});
  }
  if (!m_departed) {
    m_departed = m_stored;
  }
  FinishWrite();
  m_on_known();
}

void DepartureRecord::RetryLater(const absl::Status& status, std::string_view what) {
  m_log.Write(LogCategory::kFailure, "departure_failed", {{"what", what}, {"why", std::string(status.message())}});
  for (const Done& done : std::exchange(m_waiting, {})) {
    done(absl::UnavailableError("the leave is not recorded yet"));
  }
  m_retry_delay = std::clamp(m_retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  m_timers.Cancel(m_retry_timer);
  m_retry_timer = m_timers.At(BootClock::now() + m_retry_delay, [this] {
    m_retry_timer = 0;
    m_known ? FinishWrite() : Read();
  });
}

void DepartureRecord::Record(const proto::TargetLife& life, Done done) {
  m_departed = life;
  m_departed->set_node(m_node);
  m_waiting.push_back(std::move(done));
  // After a failure the next attempt waits for its time, so that many leaves do not overload a store that returns.
  if (m_retry_timer == 0) {
    m_known ? FinishWrite() : Read();
  }
}

void DepartureRecord::SetStored(const StoreKv* kv) {
  m_revision = kv != nullptr ? kv->mod_revision : 0;
  m_stored.reset();
  proto::TargetLife life;
  if (m_revision != 0 && life.ParseFromString(kv->value) && !life.id().empty()) {
    m_stored = life;
  } else if (m_revision != 0) {
    m_log.Write(LogCategory::kFailure, "record_unreadable", {{"key", kv->key}, {"why", "it names no target"}});
  }
}

void DepartureRecord::FinishWrite() {
  if (m_call_pending || !m_departed) {
    return;
  }
  if (!IsStored()) {
    Write();
    return;
  }
  for (const Done& done : std::exchange(m_waiting, {})) {
    done(absl::OkStatus());
  }
}

void DepartureRecord::Write() {
  if (m_call_pending) {
    return;
  }
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

// The write depends on the revision that is known, so that one which the store executes late replaces no newer record.
void DepartureRecord::WriteUnder(std::int64_t lease) {
  const StoreKv record{DepartureKey(m_node), m_departed->SerializeAsString(), 0, lease};
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{record.key, m_revision});
  txn.puts.push_back(StorePut{record.key, record.value, lease});
  m_store.Txn(txn, [this, record](const absl::StatusOr<StoreWrite>& written) {
    m_call_pending = false;
    if (!written.ok()) {
      RetryLater(written.status(), "write");
      return;
    }
    m_retry_delay = Duration(0);
    if (written->succeeded) {
      StoreKv stored = record;
      stored.mod_revision = written->revision;
      SetStored(&stored);
      m_log.Write(LogCategory::kState, "departure_recorded",
                  {{"id", m_stored->id()}, {"start_ms", m_stored->start_ms()}, {"revision", m_revision}});
    } else {
      const auto found = std::find_if(written->found.begin(), written->found.end(),
                                      [&](const StoreKv& kv) { return kv.key == record.key; });
      SetStored(found != written->found.end() ? &*found : nullptr);
    }
    FinishWrite();
  });
}

}  // namespace magnoliaarch
