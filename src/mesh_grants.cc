#include "mesh_grants_p.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace magnoliaarch {
namespace {

// Duration of one key grant. Short, so that the keys of an unresponsive target are soon free; a renewal costs one call
// on the same host. A grant that the target executes 2 s or more after its arrival has already lapsed.
constexpr Duration kGrantDuration = std::chrono::milliseconds(1800);
constexpr Duration kMinGrantDuration = std::chrono::milliseconds(250);
// Maximum relative amount by which the target's clock may run slow.
constexpr double kMaxClockDrift = 0.02;
// Upper bound of the delivery time of a call on the same host.
constexpr Duration kMaxCallDelay = std::chrono::milliseconds(60);
constexpr Duration kGrantTimeout = std::chrono::milliseconds(500);
constexpr Duration kGrantRetryDelay = std::chrono::milliseconds(100);
// Delay before forfeited fences are reported again if the table still has them.
constexpr Duration kForfeitReportInterval = std::chrono::milliseconds(600);
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1500);
// The target answers a release when its requests for the keys have ended. A release without an answer is sent once more
// after this time, since the answer may have been lost.
constexpr Duration kReleaseResendDelay = std::chrono::milliseconds(700);
constexpr int kMaxReleaseSends = 2;
constexpr Duration kMinHandoverWait = std::chrono::milliseconds(250);
constexpr Duration kReleaseReportInterval = std::chrono::milliseconds(150);
// Route key of all releases. Requests with the same key never share a connection, so a duplicate of the answer to one
// release cannot be taken for the answer to another.
constexpr std::string_view kReleaseRouteKey = "release";
constexpr int kHttpConflict = 409;
constexpr int kHttpOk = 200;

Duration WithDrift(Duration duration) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * (1 + kMaxClockDrift)));
}

// Time after which a grant that is sent now for the duration `hold` has lapsed at the target.
TimePoint LapseAfter(TimePoint now, Duration hold) {
  return now + kMaxCallDelay + WithDrift(hold);
}

// Whether the call can no longer take effect at the target. If more bytes follow the answer, it may belong to an
// earlier call, so the outcome is unknown.
bool IsSettled(const HttpResult& result) {
  switch (result.outcome) {
    case HttpOutcome::kAnswered:
      return !result.extra_bytes;
    case HttpOutcome::kRefused:
    case HttpOutcome::kNotConnected:
      return true;
    case HttpOutcome::kBroken:
    case HttpOutcome::kTimedOut:
      return false;
  }
  return false;
}

}  // namespace

KeyGrants::KeyGrants(HttpClient& client, const MeshWire& wire, MeshLog& log, std::string address, KeyGrantsHooks hooks)
    : m_client(client),
      m_wire(wire),
      m_log(log),
      m_address(std::move(address)),
      m_hooks(std::move(hooks)),
      m_earlier_run_grants_lapse_at(LapseAfter(BootClock::now(), kGrantDuration)) {}

void KeyGrants::BeginLife(const proto::TargetLife& life, bool none_of_earlier_run) {
  m_life = life;
  ++m_life_number;
  if (none_of_earlier_run) {
    m_earlier_run_grants_lapse_at = TimePoint();
  }
  m_grants.clear();
  m_releases.clear();
  m_possible_holds.clear();
  m_forfeited_fences.clear();
}

void KeyGrants::Clear() {
  m_grants.clear();
  m_possible_holds.clear();
  m_earlier_run_grants_lapse_at = TimePoint();
}

void KeyGrants::Forfeit(const proto::KeyTable& table) {
  for (const proto::KeyRange& range : table.ranges()) {
    if (SameLife(range.owner(), m_life)) {
      m_forfeited_fences.insert(range.fence());
    }
  }
}

void KeyGrants::ReportForfeits(TimePoint now) {
  std::set<std::uint64_t> fences;
  for (const Grant& grant : m_grants) {
    if (m_forfeited_fences.contains(grant.fence)) {
      fences.insert(grant.fence);
    }
  }
  m_forfeited_fences = fences;
  if (fences.empty() || now - m_forfeits_reported_at < kForfeitReportInterval) {
    return;
  }
  m_forfeits_reported_at = now;
  m_log.Write(LogCategory::kState, "keys_forfeited", {{"ranges", fences.size()}});
  m_hooks.on_fences_refused(fences);
}

KeyGrants::KeyState KeyGrants::KeyStateOf(const proto::KeyRange* range,
                                          std::uint32_t key,
                                          TimePoint now,
                                          std::string* owner) const {
  for (const Release& release : m_releases) {
    if (release.range.first() <= key && key <= release.range.last()) {
      return KeyState::kElsewhere;
    }
  }
  for (const Grant& grant : m_grants) {
    if (grant.first <= key && key <= grant.last) {
      return grant.valid_until > now ? KeyState::kGranted : KeyState::kPending;
    }
  }
  if (range == nullptr) {
    return KeyState::kElsewhere;
  }
  if (SameLife(range->owner(), m_life) && !range->has_successor()) {
    return KeyState::kPending;
  }
  if (range->owner().node() != m_life.node()) {
    *owner = range->owner().node();
  }
  return KeyState::kElsewhere;
}

void KeyGrants::OnKeyNotHeld(std::uint32_t key, TimePoint now) {
  for (Grant& grant : m_grants) {
    if (grant.first <= key && key <= grant.last) {
      grant.valid_until = TimePoint();
      grant.next_renewal_at = now;
    }
  }
}

bool KeyGrants::IsInForce(std::uint64_t release_number) const {
  return std::any_of(m_releases.begin(), m_releases.end(),
                     [&](const Release& release) { return release.number == release_number; });
}

bool KeyGrants::MayHoldKeys(TimePoint now) const {
  return now < m_earlier_run_grants_lapse_at ||
         std::any_of(m_grants.begin(), m_grants.end(), [&](const Grant& grant) { return grant.lapses_at > now; }) ||
         std::any_of(m_releases.begin(), m_releases.end(),
                     [&](const Release& release) { return !release.done && release.lapses_at > now; });
}

std::vector<std::pair<std::uint32_t, std::uint32_t>> KeyGrants::GrantedRanges() const {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;
  for (const Grant& grant : m_grants) {
    ranges.emplace_back(grant.first, grant.last);
  }
  return ranges;
}

bool KeyGrants::IsSameRange(const Release& release, const proto::KeyRange& range) {
  return release.range.first() == range.first() && release.range.last() == range.last() &&
         release.range.fence() == range.fence();
}

TimePoint KeyGrants::LatestLapse(std::uint32_t first, std::uint32_t last) const {
  TimePoint lapses_at;
  for (const Grant& grant : m_grants) {
    if (grant.first <= last && first <= grant.last) {
      lapses_at = std::max(lapses_at, grant.lapses_at);
    }
  }
  for (const PossibleHold& hold : m_possible_holds) {
    if (hold.first <= last && first <= hold.last) {
      lapses_at = std::max(lapses_at, hold.lapses_at);
    }
  }
  return lapses_at;
}

void KeyGrants::AddPossibleHold(std::uint32_t first, std::uint32_t last, TimePoint lapses_at, TimePoint now) {
  // A renewal replaces the hold that it extends.
  std::erase_if(m_possible_holds, [&](const PossibleHold& hold) {
    return hold.lapses_at <= now || (first <= hold.first && hold.last <= last && hold.lapses_at <= lapses_at);
  });
  m_possible_holds.push_back(PossibleHold{first, last, lapses_at});
}

void KeyGrants::RemovePossibleHolds(std::uint32_t first, std::uint32_t last) {
  std::vector<PossibleHold> remaining;
  for (const PossibleHold& hold : m_possible_holds) {
    if (hold.last < first || last < hold.first) {
      remaining.push_back(hold);
      continue;
    }
    if (hold.first < first) {
      remaining.push_back(PossibleHold{hold.first, first - 1, hold.lapses_at});
    }
    if (last < hold.last) {
      remaining.push_back(PossibleHold{last + 1, hold.last, hold.lapses_at});
    }
  }
  m_possible_holds = std::move(remaining);
}

bool KeyGrants::HasUnansweredGrant(std::uint32_t first, std::uint32_t last, TimePoint now) const {
  // Grants of an earlier run of this node may be unanswered as well.
  return now < m_earlier_run_grants_lapse_at ||
         std::any_of(m_unanswered_grants.begin(), m_unanswered_grants.end(), [&](const UnansweredGrant& open) {
           return open.first <= last && first <= open.last && open.lapses_at > now;
         });
}

// Takes over the state of an existing grant with the same fence, even if its range was wider.
KeyGrants::Grant KeyGrants::CarryOverGrant(const proto::KeyRange& range) const {
  Grant grant;
  for (const Grant& previous : m_grants) {
    if (previous.fence == range.fence() && previous.first <= range.first() && range.last() <= previous.last) {
      grant = previous;
      grant.call_pending = previous.call_pending && previous.first == range.first() && previous.last == range.last();
    }
  }
  grant.first = range.first();
  grant.last = range.last();
  grant.fence = range.fence();
  grant.handover = range.handover();
  grant.release_deferred = false;
  // The target may hold these keys until all grants for them have lapsed, under any fence.
  grant.lapses_at = std::max(grant.lapses_at, LatestLapse(range.first(), range.last()));
  return grant;
}

void KeyGrants::Reconcile(const proto::KeyTable& table, bool renew, Duration max_hold, TimePoint now) {
  std::vector<Grant> grants;
  std::vector<proto::KeyRange> released_ranges;
  for (const proto::KeyRange& range : table.ranges()) {
    if (!SameLife(range.owner(), m_life)) {
      continue;
    }
    const bool released = std::any_of(m_releases.begin(), m_releases.end(),
                                      [&](const Release& release) { return IsSameRange(release, range); });
    // An unanswered grant could give the keys back to the target after their release. The range is therefore kept,
    // without renewal, until that grant has lapsed.
    const bool deferred = range.has_successor() && !released && HasUnansweredGrant(range.first(), range.last(), now);
    if (range.has_successor() && !deferred) {
      released_ranges.push_back(range);
      AdvanceRelease(range, now);
      continue;
    }
    Grant grant = CarryOverGrant(range);
    grant.release_deferred = deferred;
    if (deferred) {
      grant.lapses_at = std::max(grant.lapses_at, m_earlier_run_grants_lapse_at);
    }
    grants.push_back(std::move(grant));
  }
  m_grants = std::move(grants);
  DropEndedReleases(released_ranges, now);
  std::erase_if(m_unanswered_grants, [now](const UnansweredGrant& open) { return open.lapses_at <= now; });
  if (!renew) {
    return;
  }
  ReportForfeits(now);
  for (Grant& grant : m_grants) {
    if (m_hooks.is_earlier_fence && m_hooks.is_earlier_fence(grant.fence) && grant.valid_until <= now) {
      continue;
    }
    if (!m_forfeited_fences.contains(grant.fence) && !grant.call_pending && !grant.release_deferred &&
        now >= grant.next_renewal_at) {
      SendGrant(grant, max_hold, now);
    }
  }
}

// ---- Grants ----

void KeyGrants::SendGrant(Grant& grant, Duration max_hold, TimePoint now) {
  const Duration authority_left = m_hooks.authority_end() - now - kMaxCallDelay;
  const auto max_grantable =
      Duration(static_cast<Duration::rep>(static_cast<double>(authority_left.count()) / (1 + kMaxClockDrift)));
  const Duration hold = std::min({kGrantDuration, max_hold, max_grantable});
  if (hold < kMinGrantDuration) {
    return;
  }
  grant.call_pending = true;
  grant.lapses_at = std::max(grant.lapses_at, LapseAfter(now, hold));
  const std::uint64_t grant_number = ++m_last_grant_number;
  m_unanswered_grants.push_back(UnansweredGrant{grant_number, grant.first, grant.last, LapseAfter(now, hold)});
  AddPossibleHold(grant.first, grant.last, LapseAfter(now, hold), now);
  const KeyGrant call{grant.first, grant.last, grant.fence, hold, grant.handover};
  // An answer with a request id does not belong to a grant; the outcome of this grant is then unknown.
  const auto classify_answer = [this](const HttpMessage& answer, bool /*only_request*/) {
    return m_wire.ReadTargetAnswer(answer, "").has_request_id ? AnswerMatch::kAmbiguous : AnswerMatch::kThisRequest;
  };
  m_client.Send(m_wire.GrantCall(call, m_address), kGrantTimeout, classify_answer,
                [this, grant_number, first = grant.first, fence = grant.fence, now, hold,
                 life = m_life_number](const HttpResult& result) {
                  if (IsSettled(result)) {
                    std::erase_if(m_unanswered_grants,
                                  [grant_number](const UnansweredGrant& open) { return open.number == grant_number; });
                  }
                  if (life == m_life_number) {
                    OnGrantResult(first, fence, now, hold, result);
                  }
                });
}

void KeyGrants::OnGrantResult(std::uint32_t first,
                              std::uint64_t fence,
                              TimePoint sent,
                              Duration hold,
                              const HttpResult& result) {
  const TimePoint now = BootClock::now();
  const bool answered = result.outcome == HttpOutcome::kAnswered;
  if (result.outcome == HttpOutcome::kRefused) {
    m_hooks.on_connection_refused();
  }
  answered ? m_hooks.on_contact() : m_hooks.on_no_answer();
  const auto it = std::find_if(m_grants.begin(), m_grants.end(),
                               [&](const Grant& grant) { return grant.first == first && grant.fence == fence; });
  if (it == m_grants.end()) {
    // The range has changed while the call was in flight; a release may wait for the end of the call.
    m_hooks.on_call_settled();
    return;
  }
  it->call_pending = false;
  if (answered && result.answer.status == kHttpOk) {
    const bool newly_granted = it->valid_until <= now;
    it->valid_until = std::max(it->valid_until, sent + hold);
    it->next_renewal_at = sent + hold / 2;
    if (newly_granted) {
      m_log.Write(LogCategory::kState, "keys_granted",
                  {{"first", it->first},
                   {"last", it->last},
                   {"fence", it->fence},
                   {"hold_ms", hold},
                   {"handover", !it->handover.empty()}});
      m_hooks.on_granted();
    }
    return;
  }
  it->next_renewal_at = now + kGrantRetryDelay;
  m_log.Write(LogCategory::kFailure, "grant_failed",
              {{"first", it->first},
               {"last", it->last},
               {"fence", it->fence},
               {"status", result.answer.status},
               {"detail", result.detail}});
  if (answered && result.answer.status == kHttpConflict) {
    m_hooks.on_fences_refused({it->fence});
  }
}

// ---- Releases ----

void KeyGrants::AdvanceRelease(const proto::KeyRange& range, TimePoint now) {
  const auto found = std::find_if(m_releases.begin(), m_releases.end(),
                                  [&](const Release& release) { return IsSameRange(release, range); });
  if (found == m_releases.end()) {
    StartRelease(range, now);
    return;
  }
  found->range = range;
  if (!found->done && found->send_count < kMaxReleaseSends && now - found->sent_at > kReleaseResendDelay) {
    SendRelease(*found, now);
  }
  // The release is complete, but the table does not show the move yet. A release is complete when the target has
  // answered it or, without an answer, when the grant has lapsed.
  if ((found->done || now >= found->lapses_at) && now >= found->next_report_at) {
    found->next_report_at = now + kReleaseReportInterval;
    m_hooks.on_released(CompletedRelease{found->number, range, found->handover});
  }
}

void KeyGrants::DropEndedReleases(const std::vector<proto::KeyRange>& released_ranges, TimePoint now) {
  std::erase_if(m_releases, [&](const Release& release) {
    const bool goes_on = std::any_of(released_ranges.begin(), released_ranges.end(),
                                     [&](const proto::KeyRange& range) { return IsSameRange(release, range); });
    if (goes_on) {
      return false;
    }
    m_log.Write(LogCategory::kState, "release_ended",
                {{"release", release.number},
                 {"first", release.range.first()},
                 {"last", release.range.last()},
                 {"fence", release.range.fence()},
                 {"answered", release.done},
                 {"keeps_keys", std::any_of(m_grants.begin(), m_grants.end(),
                                            [&](const Grant& grant) {
                                              return grant.first <= release.range.last() &&
                                                     release.range.first() <= grant.last;
                                            })},
                 {"sent_ms_ago", release.send_count > 0 ? now - release.sent_at : Duration(0)}});
    return true;
  });
}

void KeyGrants::StartRelease(const proto::KeyRange& range, TimePoint now) {
  const TimePoint lapses_at = LatestLapse(range.first(), range.last());
  const bool was_held = lapses_at != TimePoint();
  Release release;
  release.number = ++m_last_release_number;
  release.range = range;
  // The release is sent even if the grant has lapsed, because its answer carries the handover.
  release.lapses_at = was_held ? std::max(lapses_at, now + kMinHandoverWait) : lapses_at;
  release.next_report_at = now + kReleaseReportInterval;
  release.done = !was_held;
  m_releases.push_back(std::move(release));
  m_log.Write(LogCategory::kState, "keys_released",
              {{"release", m_last_release_number},
               {"first", range.first()},
               {"last", range.last()},
               {"fence", range.fence()},
               {"successor", range.successor().node()},
               {"held", was_held}});
  if (was_held) {
    SendRelease(m_releases.back(), now);
  } else {
    m_hooks.on_released(CompletedRelease{m_last_release_number, range, ""});
  }
}

void KeyGrants::SendRelease(Release& release, TimePoint now) {
  release.sent_at = now;
  ++release.send_count;
  const proto::KeyRange& range = release.range;
  // If other requests have used the connection, an answer without a handover is a duplicate answer to an earlier grant.
  const auto classify_answer = [this](const HttpMessage& answer, bool only_request) {
    if (m_wire.ReadTargetAnswer(answer, "").has_request_id) {
      return AnswerMatch::kAmbiguous;
    }
    return only_request || !m_wire.HandoverToken(answer).empty() ? AnswerMatch::kThisRequest
                                                                 : AnswerMatch::kOtherRequest;
  };
  m_client.Send(
      m_wire.ReleaseCall(range.first(), range.last(), range.fence(), m_address), kReleaseTimeout, classify_answer,
      [this, range, number = release.number, now](const HttpResult& result) {
        if (result.outcome != HttpOutcome::kAnswered || result.answer.status != kHttpOk) {
          m_log.Write(LogCategory::kFailure, "release_failed",
                      {{"release", number},
                       {"first", range.first()},
                       {"status", result.answer.status},
                       {"detail", result.detail}});
          return;
        }
        m_hooks.on_contact();
        // The keys may have been granted again since, and be moving once more under the same fence.
        const auto pending = std::find_if(m_releases.begin(), m_releases.end(), [number](const Release& candidate) {
          return candidate.number == number && !candidate.done;
        });
        m_log.Write(LogCategory::kState, "release_answered",
                    {{"release", number},
                     {"first", range.first()},
                     {"last", range.last()},
                     {"fence", range.fence()},
                     {"sent_ms_ago", BootClock::now() - now},
                     {"completes", pending != m_releases.end()}});
        if (pending != m_releases.end()) {
          pending->done = true;
          RemovePossibleHolds(range.first(), range.last());
          pending->handover = m_wire.HandoverToken(result.answer);
          m_hooks.on_released(CompletedRelease{number, pending->range, pending->handover});
        }
      },
      ConnectionConstraint{std::string(kReleaseRouteKey)});
}

}  // namespace magnoliaarch
