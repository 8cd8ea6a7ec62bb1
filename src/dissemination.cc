#include "magnoliaarch/dissemination.h"

#include <algorithm>
#include <iterator>

#include "record_patch_p.h"

namespace magnoliaarch {
namespace {

// Allowed clock drift between two hosts: 1/100 of the elapsed time.
constexpr std::int64_t kDriftDivisor = 100;
// How long a received digest is echoed, so that several messages can use it.
constexpr Duration kEchoTtl = std::chrono::seconds(10);
constexpr Duration kPruneInterval = std::chrono::seconds(5);
// Minimum time between two answers to the digests of one node.
constexpr Duration kMinReplyInterval = std::chrono::milliseconds(100);
constexpr Duration kGapDigestPeriod = std::chrono::milliseconds(200);
constexpr Duration kFullReadTimeout = std::chrono::seconds(20);
constexpr Duration kInitialReadBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxReadBackoff = std::chrono::seconds(5);
// Time between full reads of a node that gets no answer from a fresh node. Doubles, so that nodes cut off from their
// watchers do not flood the store.
constexpr Duration kInitialFallbackBackoff = std::chrono::seconds(2);
constexpr int kMaxDoublings = 5;
constexpr Duration kWatchRetry = std::chrono::milliseconds(500);
constexpr std::size_t kMaxIntervals = 64;
constexpr std::size_t kMaxPendingFreshness = 8;
constexpr std::size_t kMaxSnapshotBytes = 64 * 1024 * 1024;
// Bytes of a datagram that outage reports may use; the rest is for the other fields.
constexpr std::size_t kMaxOutageReportBytes = kDatagramBytes - 200;
// Number of reports sent beyond the majority that the stale view rule needs, because some become too old in transit.
constexpr int kSpareOutageReports = 3;
// A digest's sequence consists of a random tag of this run in the upper bits and the send time since the start, in
// microseconds, in the lower ones.
constexpr int kSequenceTimeBits = 44;
constexpr std::uint64_t kSequenceTimeMask = (std::uint64_t{1} << kSequenceTimeBits) - 1;

std::uint64_t CeilMs(Duration duration) {
  return duration.count() <= 0 ? 0 : static_cast<std::uint64_t>((duration.count() + 999) / 1000);
}

// Converts milliseconds from a message, bounded so that later sums cannot overflow.
Duration FromMs(std::uint64_t ms) {
  constexpr std::uint64_t kMaxMs = 1000ULL * 60 * 60 * 24;
  return std::chrono::milliseconds(std::min(ms, kMaxMs));
}

// Whether records with this key belong to the view.
bool IsViewKey(std::string_view key) {
  return key.starts_with(kEntryPrefix) || key.starts_with(kWorkspacePrefix) || key.starts_with(kDomainPrefix) ||
         key.starts_with(kMemberPrefix) || key.starts_with(kSlicesPrefix) || key.starts_with(kRolePrefix);
}

proto::ViewRecord ToRecord(const StoreKv& kv, bool deleted) {
  proto::ViewRecord record;
  record.set_key(kv.key);
  record.set_revision(kv.mod_revision);
  record.set_deleted(deleted);
  if (!deleted) {
    record.set_value(kv.value);
  }
  return record;
}

}  // namespace

DisseminationReadResult RunDisseminationRead(Store* store, const DisseminationRead& read) {
  const std::string_view key = read.full_read ? kRootPrefix : kCatalogueVersionKey;
  absl::StatusOr<StoreRange> range = store->Range(std::string(key), /*exact=*/!read.full_read);
  DisseminationReadResult result;
  result.id = read.id;
  result.status = range.status();
  if (range.ok()) {
    result.range = *std::move(range);
  }
  return result;
}

Dissemination::Dissemination(const IncarnationId& self, std::string domain, const DisseminationOptions& options)
    : m_self(self),
      m_domain(std::move(domain)),
      m_options(options),
      m_random(options.seed),
      m_sequence_tag(m_random() & ~kSequenceTimeMask) {}

DisseminationActions Dissemination::Start(TimePoint now) {
  DisseminationActions actions;
  m_started = now;
  m_record_budget = Budget{static_cast<double>(m_options.record_burst_bytes), now};
  m_snapshot_budget = m_record_budget;
  // Random offset, which spreads the periodic work of nodes that start together.
  std::uniform_int_distribution<Duration::rep> spread(0, m_options.digest_period.count());
  m_next_digest = now + Duration(spread(m_random));
  m_next_read = m_next_prune = m_next_watch = m_last_heartbeat = now;
  m_needs_full_read = true;
  StartRead(/*full_read=*/true, now, &actions);
  return actions;
}

DisseminationActions Dissemination::OnTick(TimePoint now) {
  DisseminationActions actions;
  UpdateTree(now, &actions);
  TickReads(now, &actions);
  if (m_is_watcher && !m_watching && Revision() > 0 && !m_needs_full_read && now >= m_next_watch) {
    m_watching = true;
    m_watch_revision = Revision();
    actions.start_watch = m_watch_revision;
  }
  TickDigests(now, &actions);
  if (now >= m_next_prune) {
    m_next_prune = now + kPruneInterval;
    std::erase_if(m_echoes, [&](const auto& echo) { return now - echo.second.received > kEchoTtl; });
    std::erase_if(m_outages, [&](const auto& outage) { return now - outage.second.reported_at > kEchoTtl; });
  }
  return actions;
}

DisseminationActions Dissemination::OnMessage(const proto::PeerMessage& message, TimePoint now) {
  DisseminationActions actions;
  const std::string& from = message.sender().node();
  if (from.empty() || from == m_self.node) {
    return actions;
  }
  if (from == m_parent) {
    m_parent_heard = now;
  }
  if (message.has_view_delta()) {
    OnDelta(from, message.view_delta(), now, &actions);
  } else if (message.has_view_digest()) {
    OnDigest(from, message.view_digest(), now, &actions);
  }
  UpdateTree(now, &actions);
  return actions;
}

DisseminationActions Dissemination::RequestUpdate(const std::string& node, TimePoint now) {
  DisseminationActions actions;
  SendDigest(node, now, &actions);
  return actions;
}

// ---- Reads and the watch ----

void Dissemination::StartRead(bool full_read, TimePoint now, DisseminationActions* actions) {
  m_pending_read = ++m_last_read_id;
  m_pending_is_full_read = full_read;
  m_read_sent = now;
  actions->reads.push_back(DisseminationRead{m_pending_read, full_read});
}

void Dissemination::TickReads(TimePoint now, DisseminationActions* actions) {
  if (m_pending_read != 0) {
    if (now - m_read_sent >= (m_pending_is_full_read ? kFullReadTimeout : m_options.probe_timeout)) {
      m_pending_read = 0;
      OnReadFailed(now, actions);
    }
    return;
  }
  if (now < m_next_read) {
    return;
  }
  if (m_needs_full_read) {
    StartRead(/*full_read=*/true, now, actions);
  } else if (m_is_watcher) {
    m_next_read = now + m_options.probe_period;
    StartRead(/*full_read=*/false, now, actions);
  } else if ((!m_fresh_at || now - *m_fresh_at > m_options.stale_age) && !IsOutage(now)) {
    // No reachable node has a fresh view: the view may list no node that still runs, as after a start of all hosts. A
    // failed read is not repeated sooner than this, so that not every node does a full read when an outage ends.
    const Duration pause = kInitialFallbackBackoff * (1LL << std::min(m_fallback_reads, kMaxDoublings));
    std::uniform_int_distribution<Duration::rep> spread(pause.count() / 2, pause.count());
    m_next_read = now + Duration(spread(m_random));
    ++m_fallback_reads;
    StartRead(/*full_read=*/true, now, actions);
  } else {
    m_fallback_reads = 0;
  }
}

DisseminationActions Dissemination::OnOwnRecord(const proto::MemberRecord& record,
                                                std::int64_t revision,
                                                TimePoint now) {
  DisseminationActions actions;
  proto::ViewRecord own;
  own.set_key(std::string(kMemberPrefix) + record.node());
  own.set_revision(revision);
  own.set_value(record.SerializeAsString());
  ApplyRecord(own, &actions);
  UpdateTree(now, &actions);
  return actions;
}

DisseminationActions Dissemination::OnReadResult(const DisseminationReadResult& result, TimePoint now) {
  DisseminationActions actions;
  if (m_pending_read == 0 || result.id != m_pending_read) {
    return actions;
  }
  m_pending_read = 0;
  if (!result.status.ok()) {
    OnReadFailed(now, &actions);
  } else if (m_pending_is_full_read) {
    m_read_failures = 0;
    m_next_read = std::max(m_next_read, now + m_options.probe_period);
    m_probe_failed = false;
    m_outages.erase(m_domain);
    OnFullRead(result.range, m_read_sent, &actions);
    UpdateTree(now, &actions);
  } else {
    m_read_failures = 0;
    m_probe_failed = false;
    m_outages.erase(m_domain);
    UpdateFreshness(result.range.revision, m_read_sent);
    SendHeartbeats(now, &actions);
  }
  return actions;
}

void Dissemination::OnReadFailed(TimePoint now, DisseminationActions* actions) {
  if (m_pending_is_full_read) {
    const Duration max_delay =
        std::min<Duration>(kInitialReadBackoff * (1LL << std::min(m_read_failures, kMaxDoublings)), kMaxReadBackoff);
    std::uniform_int_distribution<Duration::rep> spread(max_delay.count() / 2, max_delay.count());
    m_next_read = std::max(m_next_read, now + Duration(spread(m_random)));
    ++m_read_failures;
  }
  m_probe_failed = true;
  // While a reachable node gets answers from the store, only this node's path to the store is broken. With such a node,
  // the digests of the repair period keep the view younger than outage_age.
  if (m_is_watcher && (!m_fresh_at || now - *m_fresh_at > m_options.outage_age)) {
    const bool was_outage = IsOutage(now);
    m_outages[m_domain] = Outage{m_self.node, m_read_sent};
    SendHeartbeats(now, actions, !was_outage && IsOutage(now));
  }
}

void Dissemination::OnFullRead(const StoreRange& range, TimePoint sent, DisseminationActions* actions) {
  m_needs_full_read = false;
  std::set<std::string> keys;
  for (const StoreKv& kv : range.kvs) {
    if (IsViewKey(kv.key)) {
      keys.insert(kv.key);
      ApplyRecord(ToRecord(kv, false), actions);
    }
  }
  DeleteMissing(keys, range.revision, actions);
  UpdateFreshness(range.revision, sent);
}

DisseminationActions Dissemination::OnWatchBatch(const StoreWatchBatch& batch, TimePoint now) {
  DisseminationActions actions;
  if (!m_watching) {
    return actions;
  }
  proto::ViewDelta delta;
  const bool contiguous = m_watch_revision <= Revision();
  delta.set_from_revision(contiguous ? std::min(m_last_change_revision, m_watch_revision) : m_watch_revision);
  delta.set_to_revision(batch.revision);
  bool changed = false;
  for (const StoreEvent& event : batch.events) {
    if (IsViewKey(event.kv.key)) {
      const proto::ViewRecord record = ToRecord(event.kv, event.deleted);
      *delta.add_records() = PatchRecord(m_builder.FindRecord(event.kv.key), record);
      changed = ApplyRecord(record, &actions) || changed;
    }
  }
  AddInterval(m_watch_revision, batch.revision, delta.records_size() > 0);
  m_watch_revision = std::max(m_watch_revision, batch.revision);
  const bool fresher = ApplyPendingFreshness();
  if (changed) {
    PushToChildren(delta, now, &actions);
  } else if (fresher) {
    SendHeartbeats(now, &actions);
  }
  UpdateTree(now, &actions);
  return actions;
}

DisseminationActions Dissemination::OnWatchEnded(const absl::Status& status, TimePoint now) {
  DisseminationActions actions;
  m_watching = false;
  std::uniform_int_distribution<Duration::rep> spread(kWatchRetry.count() / 2, kWatchRetry.count());
  m_next_watch = now + Duration(spread(m_random));
  if (status.code() == absl::StatusCode::kOutOfRange) {
    m_needs_full_read = true;
  }
  return actions;
}

// ---- Applying ----

bool Dissemination::ApplyRecord(const proto::ViewRecord& record, DisseminationActions* actions) {
  if (!m_builder.Apply(record)) {
    return false;
  }
  actions->view_changed = true;
  if (record.key().starts_with(kMemberPrefix)) {
    UpdateMember(record);
  }
  return true;
}

void Dissemination::UpdateMember(const proto::ViewRecord& record) {
  const std::string node = record.key().substr(kMemberPrefix.size());
  const std::pair<std::uint64_t, std::string> member_key(HashKey(node), node);
  proto::MemberRecord member;
  const bool present = !record.deleted() && member.ParseFromString(record.value()) && !member.fenced() &&
                       member.state() != proto::MEMBER_STATE_GONE;
  const auto held = m_domain_of.find(node);
  if (held != m_domain_of.end()) {
    if (present && held->second == member.domain()) {
      return;
    }
    MemberOrder& order = m_member_order[held->second];
    order.erase(std::lower_bound(order.begin(), order.end(), member_key));
    if (order.empty()) {
      m_member_order.erase(held->second);
    }
    m_domain_of.erase(held);
  }
  if (present) {
    MemberOrder& order = m_member_order[member.domain()];
    order.insert(std::lower_bound(order.begin(), order.end(), member_key), member_key);
    m_domain_of[node] = member.domain();
  }
  m_tree_outdated = true;
}

void Dissemination::DeleteMissing(const std::set<std::string>& keys,
                                  std::int64_t revision,
                                  DisseminationActions* actions) {
  for (const proto::ViewRecord& record : m_builder.RecordsAfter(0)) {
    if (!record.deleted() && record.revision() < revision && !keys.contains(record.key())) {
      proto::ViewRecord tombstone;
      tombstone.set_key(record.key());
      tombstone.set_revision(revision);
      tombstone.set_deleted(true);
      ApplyRecord(tombstone, actions);
    }
  }
  m_base_revision = std::max(m_base_revision, revision);
  AddInterval(0, revision, true);
}

void Dissemination::AddInterval(std::int64_t from, std::int64_t to, bool has_records) {
  if (to <= Revision()) {
    return;
  }
  if (from > Revision()) {
    if (m_intervals.size() < kMaxIntervals) {
      std::int64_t& held = m_intervals[from];
      held = std::max(held, to);
    }
    return;
  }
  m_builder.Advance(to);
  if (has_records) {
    m_last_change_revision = to;
  }
  while (!m_intervals.empty() && m_intervals.begin()->first <= Revision()) {
    if (m_intervals.begin()->second > Revision()) {
      m_builder.Advance(m_intervals.begin()->second);
      m_last_change_revision = Revision();
    }
    m_intervals.erase(m_intervals.begin());
  }
}

bool Dissemination::UpdateFreshness(std::int64_t revision, TimePoint fresh_at) {
  if (m_fresh_at && fresh_at <= *m_fresh_at) {
    return false;
  }
  if (revision <= Revision()) {
    m_fresh_at = fresh_at;
    return true;
  }
  m_pending_freshness.push_back(Freshness{revision, fresh_at});
  if (m_pending_freshness.size() > kMaxPendingFreshness) {
    m_pending_freshness.pop_front();
  }
  return false;
}

bool Dissemination::ApplyPendingFreshness() {
  bool fresher = false;
  std::erase_if(m_pending_freshness, [&](const Freshness& pending) {
    if (pending.revision > Revision()) {
      return false;
    }
    if (!m_fresh_at || pending.fresh_at > *m_fresh_at) {
      m_fresh_at = pending.fresh_at;
      fresher = true;
    }
    return true;
  });
  return fresher;
}

// ---- Messages ----

std::uint64_t Dissemination::SequenceAt(TimePoint now) const {
  return m_sequence_tag | (static_cast<std::uint64_t>((now - m_started).count() + 1) & kSequenceTimeMask);
}

std::optional<TimePoint> Dissemination::SentAt(std::uint64_t sequence, TimePoint now) const {
  if (sequence == 0 || (sequence & ~kSequenceTimeMask) != m_sequence_tag) {
    return std::nullopt;
  }
  const TimePoint sent = m_started + Duration(static_cast<std::int64_t>(sequence & kSequenceTimeMask) - 1);
  return sent > now ? std::nullopt : std::optional(sent);
}

bool Dissemination::ApplyFreshness(const proto::ViewDelta& delta, TimePoint now) {
  const std::optional<TimePoint> sent = SentAt(delta.digest_sequence(), now);
  if (!sent) {
    return false;
  }
  const Duration since = now - *sent;
  const Duration held = FromMs(delta.digest_held_ms());
  if (held > since + since / kDriftDivisor) {
    return false;
  }
  // Upper bound of the time since the sender wrote the message.
  const Duration delay = std::max(since - held, Duration::zero()) + since / kDriftDivisor;
  bool changed = UpdateFreshness(delta.to_revision(), now - delay - FromMs(delta.age_ms()));
  for (const proto::OutageReport& report : delta.outages()) {
    if (!m_member_order.contains(report.domain())) {
      continue;
    }
    const TimePoint reported_at = now - delay - FromMs(report.age_ms());
    Outage& outage = m_outages[report.domain()];
    if (reported_at > outage.reported_at) {
      outage = Outage{report.watcher(), reported_at};
      changed = true;
    }
  }
  return changed;
}

void Dissemination::OnDelta(const std::string& from,
                            const proto::ViewDelta& delta,
                            TimePoint now,
                            DisseminationActions* actions) {
  bool records_changed = false;
  proto::ViewDelta forward;
  if (delta.snapshot()) {
    if (!OnSnapshotChunk(from, delta, actions)) {
      return;
    }
  } else {
    forward = delta;
    forward.clear_digest_sequence();
    forward.clear_digest_held_ms();
    if (delta.from_revision() <= Revision()) {
      forward.set_from_revision(std::min(delta.from_revision(), m_last_change_revision));
    }
    bool complete = true;
    for (const proto::ViewRecord& record : delta.records()) {
      if (record.patch_of() == 0) {
        records_changed = ApplyRecord(record, actions) || records_changed;
        continue;
      }
      const proto::ViewRecord* held = m_builder.FindRecord(record.key());
      if (held != nullptr && held->revision() >= record.revision()) {
        continue;
      }
      const std::optional<proto::ViewRecord> whole = ResolvePatch(held, record);
      complete = complete && whole.has_value();
      records_changed = (whole && ApplyRecord(*whole, actions)) || records_changed;
    }
    // A patch whose earlier value is not known leaves a gap, and the digest below requests the whole record.
    if (complete) {
      AddInterval(delta.from_revision(), delta.to_revision(), delta.records_size() > 0);
    }
  }
  const bool was_outage = IsOutage(now);
  bool freshness_changed = ApplyPendingFreshness();
  freshness_changed = ApplyFreshness(delta, now) || freshness_changed;
  if (records_changed) {
    PushToChildren(forward, now, actions);
  } else if (freshness_changed) {
    SendHeartbeats(now, actions, !was_outage && IsOutage(now));
  }
  if (Revision() < delta.to_revision() && now >= m_next_gap_digest) {
    m_next_gap_digest = now + kGapDigestPeriod;
    SendDigest(from, now, actions);
  }
}

bool Dissemination::OnSnapshotChunk(const std::string& from,
                                    const proto::ViewDelta& delta,
                                    DisseminationActions* actions) {
  if (delta.from_revision() == 0) {
    m_assembly = std::make_unique<SnapshotAssembly>();
    m_assembly->from = from;
  }
  if (!m_assembly || m_assembly->from != from || m_assembly->next_from != delta.from_revision()) {
    return false;
  }
  m_assembly->next_from = delta.to_revision();
  m_assembly->bytes += delta.ByteSizeLong();
  if (m_assembly->bytes > kMaxSnapshotBytes) {
    m_assembly.reset();
    return false;
  }
  for (const proto::ViewRecord& record : delta.records()) {
    m_assembly->keys.insert(record.key());
    m_assembly->records.push_back(record);
  }
  // Only the last chunk carries the echo.
  if (delta.digest_sequence() == 0) {
    return false;
  }
  if (delta.to_revision() > Revision()) {
    for (const proto::ViewRecord& record : m_assembly->records) {
      ApplyRecord(record, actions);
    }
    DeleteMissing(m_assembly->keys, delta.to_revision(), actions);
    m_needs_full_read = false;
  }
  m_assembly.reset();
  return true;
}

void Dissemination::OnDigest(const std::string& from,
                             const proto::ViewDigest& digest,
                             TimePoint now,
                             DisseminationActions* actions) {
  Echo& echo = m_echoes[from];
  echo.sequence = digest.sequence();
  echo.received = now;
  if (Revision() == 0 || now - echo.answered < kMinReplyInterval) {
    return;
  }
  const bool lacks_records = digest.revision() < m_last_change_revision;
  const bool can_wait = FromMs(digest.age_ms()) <= m_options.fresh_age || IsOutage(now);
  // A child that lacks nothing and can wait gets the echo with the next heartbeat.
  if (!lacks_records && can_wait && IsChild(from)) {
    return;
  }
  echo.answered = now;
  if (lacks_records) {
    SendRepair(from, digest.revision(), now, actions);
  } else {
    SendDelta(from, EmptyDelta(), now, actions);
  }
}

void Dissemination::SendDigest(const std::string& to, TimePoint now, DisseminationActions* actions) {
  DisseminationMessage message;
  message.to = to;
  message.message.mutable_sender()->set_node(m_self.node);
  message.message.mutable_sender()->set_number(m_self.number);
  proto::ViewDigest* digest = message.message.mutable_view_digest();
  const std::optional<Duration> age = Age(now);
  digest->set_revision(Revision());
  digest->set_age_ms(age ? CeilMs(*age) : UINT64_MAX);
  digest->set_sequence(SequenceAt(now));
  actions->messages.push_back(std::move(message));
}

proto::ViewDelta Dissemination::EmptyDelta() const {
  proto::ViewDelta delta;
  delta.set_from_revision(m_last_change_revision);
  delta.set_to_revision(Revision());
  return delta;
}

void Dissemination::FillOutages(TimePoint now, proto::ViewDelta* delta) const {
  std::vector<std::pair<TimePoint, std::string>> fresh;
  for (const auto& [domain, outage] : m_outages) {
    if (now - outage.reported_at <= m_options.stale_age) {
      fresh.emplace_back(outage.reported_at, domain);
    }
  }
  std::sort(fresh.rbegin(), fresh.rend());
  std::size_t bytes = 0;
  for (const auto& [reported_at, domain] : fresh) {
    proto::OutageReport report;
    report.set_domain(domain);
    // Only the watcher itself sends its name: with every domain reporting, names would make up most of a heartbeat.
    if (m_outages.at(domain).watcher == m_self.node) {
      report.set_watcher(m_self.node);
    }
    report.set_age_ms(CeilMs(now - reported_at));
    bytes += report.ByteSizeLong() + 2;
    if (bytes > kMaxOutageReportBytes || delta->outages_size() >= Domains() / 2 + kSpareOutageReports) {
      break;
    }
    *delta->add_outages() = std::move(report);
  }
}

void Dissemination::SendDelta(const std::string& to,
                              proto::ViewDelta delta,
                              TimePoint now,
                              DisseminationActions* actions) {
  // The age belongs to the view's revision; a delta that ends elsewhere carries no echo and so no freshness.
  const auto echo = m_echoes.find(to);
  if (m_fresh_at && delta.to_revision() == Revision()) {
    delta.set_age_ms(CeilMs(now - *m_fresh_at));
    if (echo != m_echoes.end() && now - echo->second.received <= kEchoTtl) {
      delta.set_digest_sequence(echo->second.sequence);
      delta.set_digest_held_ms(static_cast<std::uint64_t>((now - echo->second.received).count() / 1000));
      FillOutages(now, &delta);
    }
  }
  DisseminationMessage message;
  message.to = to;
  message.message.mutable_sender()->set_node(m_self.node);
  message.message.mutable_sender()->set_number(m_self.number);
  *message.message.mutable_view_delta() = std::move(delta);
  message.stream = message.message.ByteSizeLong() > kDatagramBytes;
  actions->messages.push_back(std::move(message));
}

void Dissemination::SendRepair(const std::string& to,
                               std::int64_t revision,
                               TimePoint now,
                               DisseminationActions* actions) {
  const bool snapshot = revision < m_base_revision;
  Budget* budget = snapshot ? &m_snapshot_budget : &m_record_budget;
  if (!HasBudget(budget, static_cast<double>(m_options.record_bytes_per_second),
                 static_cast<double>(m_options.record_burst_bytes), now)) {
    return;
  }
  proto::ViewDelta chunk;
  std::int64_t from = snapshot ? 0 : revision;
  std::size_t chunk_bytes = 0;
  const auto send = [&](std::int64_t to_revision) {
    chunk.set_from_revision(from);
    chunk.set_to_revision(to_revision);
    chunk.set_snapshot(snapshot);
    budget->bytes -= static_cast<double>(chunk_bytes);
    from = to_revision;
    SendDelta(to, std::move(chunk), now, actions);
    chunk = proto::ViewDelta();
    chunk_bytes = 0;
  };
  std::int64_t last_revision = 0;
  for (proto::ViewRecord& record : m_builder.RecordsAfter(from)) {
    // Records beyond the view's revision are included: they may have replaced a change that the receiver lacks.
    if (snapshot && record.deleted()) {
      continue;
    }
    const std::size_t bytes = record.ByteSizeLong();
    // Records of one revision stay in one chunk, because a chunk is complete up to its revision.
    if (chunk_bytes + bytes > m_options.stream_chunk_bytes && chunk_bytes > 0 && record.revision() > last_revision &&
        last_revision < Revision()) {
      send(last_revision);
      if (!snapshot && budget->bytes < 0) {
        return;
      }
    }
    last_revision = record.revision();
    chunk_bytes += bytes;
    *chunk.add_records() = std::move(record);
  }
  send(Revision());
}

void Dissemination::PushToChildren(const proto::ViewDelta& delta, TimePoint now, DisseminationActions* actions) {
  proto::ViewDelta push = delta;
  push.clear_outages();
  push.clear_age_ms();
  const double bytes = static_cast<double>(push.ByteSizeLong());
  for (const std::string& child : m_children) {
    if (!HasBudget(&m_record_budget, static_cast<double>(m_options.record_bytes_per_second),
                   static_cast<double>(m_options.record_burst_bytes), now)) {
      return;
    }
    m_record_budget.bytes -= bytes;
    SendDelta(child, push, now, actions);
  }
}

void Dissemination::SendHeartbeats(TimePoint now, DisseminationActions* actions, bool immediately) {
  // A tolerance of 10%, so that a heartbeat is not skipped because the parent's arrived slightly early. The period is
  // doubled during an outage, when heartbeats carry many reports, which stay valid for longer than that.
  const Duration period = m_options.heartbeat_period * (IsOutage(now) ? 2 : 1);
  const Duration min_gap = period - period / 10;
  if (Revision() == 0 || (!immediately && now - m_last_heartbeat < min_gap)) {
    return;
  }
  m_last_heartbeat = now;
  for (const std::string& child : m_children) {
    SendDelta(child, EmptyDelta(), now, actions);
  }
}

bool Dissemination::HasBudget(Budget* budget, double rate, double burst, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - budget->filled_at).count();
  budget->bytes = std::min(burst, budget->bytes + seconds * rate);
  budget->filled_at = now;
  return budget->bytes > 0;
}

}  // namespace magnoliaarch
