#include <utility>

#include "magnoliaarch/gate.h"

namespace magnoliaarch {

RequestTable::Record* RequestTable::Find(RequestId id) {
  auto it = m_records.find(id);
  if (it == m_records.end()) {
    return nullptr;
  }
  if (it->second.duplicate_of.IsValid()) {
    const auto original = m_records.find(it->second.duplicate_of);
    if (original != m_records.end()) {
      return &original->second;
    }
  }
  return &it->second;
}

RequestTable::Record* RequestTable::Insert(RequestId id, bool is_tombstone) {
  if (is_tombstone ? m_tombstones >= m_options.tombstone_capacity : IsFull()) {
    if (!m_faults.evict_early || m_expiry.empty()) {
      return nullptr;
    }
    const Record* oldest = Find(m_expiry.front().second);
    if (oldest != nullptr && oldest->request == nullptr) {
      Erase(m_expiry.front().second);
    }
    m_expiry.pop_front();
  }
  Record& record = m_records[id];
  record.is_tombstone = is_tombstone;
  m_tombstones += is_tombstone ? 1 : 0;
  return &record;
}

void RequestTable::Retain(RequestId id, Record& record, TimePoint now) {
  record.request.reset();
  record.waiters.clear();
  record.waiters.shrink_to_fit();
  record.send = 0;
  record.expires = now + m_options.retention;
  m_expiry.emplace_back(record.expires, id);
}

std::optional<RequestId> RequestTable::FindKey(const std::string& scoped_key) const {
  const auto it = m_keys.find(scoped_key);
  return it == m_keys.end() ? std::nullopt : std::optional(it->second);
}

void RequestTable::AddKey(const std::string& scoped_key, RequestId id) {
  m_keys[scoped_key] = id;
}

void RequestTable::Expire(TimePoint now) {
  while (!m_expiry.empty() && m_expiry.front().first <= now) {
    const RequestId id = m_expiry.front().second;
    m_expiry.pop_front();
    const auto it = m_records.find(id);
    // A refused request that a later attempt runs again has a later expiry, or none while it runs.
    if (it != m_records.end() && it->second.state != State::kQueued && it->second.state != State::kSent &&
        it->second.expires <= now) {
      Erase(id);
    }
  }
}

void RequestTable::Erase(RequestId id) {
  const auto it = m_records.find(id);
  if (it == m_records.end()) {
    return;
  }
  const Record& record = it->second;
  if (!record.idempotency_key.empty()) {
    const auto key = m_keys.find(record.idempotency_key);
    if (key != m_keys.end() && key->second == id) {
      m_keys.erase(key);
    }
  }
  m_bytes -= record.bytes;
  m_tombstones -= record.is_tombstone ? 1 : 0;
  m_records.erase(it);
}

void RequestTable::StoreAnswer(Record& record, std::shared_ptr<const Response> response) {
  m_bytes -= record.bytes;
  record.bytes = response->body.size();
  for (const Header& header : response->headers) {
    record.bytes += header.name.size() + header.value.size();
  }
  m_bytes += record.bytes;
  record.response = std::move(response);
}

bool RequestTable::IsFull() const {
  return m_records.size() - m_tombstones >= m_options.capacity || m_bytes >= m_options.answer_bytes;
}

void RequestTable::ClearTombstone(Record& record) {
  m_tombstones -= record.is_tombstone ? 1 : 0;
  record.is_tombstone = false;
}

bool RequestTable::IsDuplicate(RequestId id) const {
  const auto it = m_records.find(id);
  return it != m_records.end() && it->second.duplicate_of.IsValid();
}

}  // namespace magnoliaarch
