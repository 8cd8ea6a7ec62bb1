#include "mesh_grants_p.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace magnoliaarch {
namespace {

// Time of one key grant. Short, so that the keys of a target that fell silent are free soon; each renewal is one call
// on the same host. A grant that the target carries out late, 2 s or more after it arrived, has lapsed by then.
constexpr Duration kHold = std::chrono::milliseconds(1800);
constexpr Duration kLeastHold = std::chrono::milliseconds(250);
// The target's clock may run this much slow.
constexpr double kClockDrift = 0.02;
// A call on the same host arrives within this time.
constexpr Duration kCallDelay = std::chrono::milliseconds(60);
constexpr Duration kGrantTimeout = std::chrono::milliseconds(500);
constexpr Duration kGrantRetry = std::chrono::milliseconds(100);
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1500);
// The target answers a release when the work on its keys has ended. One whose answer may be lost is sent once more.
constexpr Duration kReleaseAgain = std::chrono::milliseconds(700);
constexpr int kReleaseSends = 2;
constexpr Duration kHandoverWait = std::chrono::milliseconds(250);
constexpr Duration kReleaseRetry = std::chrono::milliseconds(150);
// Releases share no connection, so that the answer to one, written once more, cannot end another.
constexpr std::string_view kReleaseKey = "release";
constexpr int kConflict = 409;
constexpr int kOk = 200;

Duration WithDrift(Duration duration) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * (1 + kClockDrift)));
}

// When a grant that is sent now and holds this long has certainly lapsed.
TimePoint LapseAfter(TimePoint now, Duration hold) {
  return now + kCallDelay + WithDrift(hold);
}

// Whether the target will not carry the call out any more. Where more bytes came behind an answer, it may have been the
// one to an earlier call.
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
      m_earlier_grants_lapse(LapseAfter(BootClock::now(), kHold)) {}

void KeyGrants::BeginLife(const proto::TargetLife& life, bool known) {
  m_life = life;
  ++m_life_number;
  if (known) {
    m_earlier_grants_lapse = TimePoint();
  }
  m_grants.clear();
  m_releases.clear();
  m_holds.clear();
}

void KeyGrants::Clear() {
  m_grants.clear();
  m_holds.clear();
  m_earlier_grants_lapse = TimePoint();
}

KeyGrants::KeyState KeyGrants::StateOf(const proto::KeyRange* range,
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
      return grant.until > now ? KeyState::kGranted : KeyState::kPending;
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

void KeyGrants::OnNotHeld(std::uint32_t key, TimePoint now) {
  for (Grant& grant : m_grants) {
    if (grant.first <= key && key <= grant.last) {
      grant.until = TimePoint();
      grant.renew_at = now;
    }
  }
}

bool KeyGrants::MayHold(TimePoint now) const {
  return now < m_earlier_grants_lapse ||
         std::any_of(m_grants.begin(), m_grants.end(), [&](const Grant& grant) { return grant.lapses > now; }) ||
         std::any_of(m_releases.begin(), m_releases.end(),
                     [&](const Release& release) { return !release.done && release.lapses > now; });
}

std::vector<std::pair<std::uint32_t, std::uint32_t>> KeyGrants::Ranges() const {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;
  for (const Grant& grant : m_grants) {
    ranges.emplace_back(grant.first, grant.last);
  }
  return ranges;
}

bool KeyGrants::IsSame(const Release& release, const proto::KeyRange& range) {
  return release.range.first() == range.first() && release.range.last() == range.last() &&
         release.range.fence() == range.fence();
}

TimePoint KeyGrants::LapseOf(std::uint32_t first, std::uint32_t last) const {
  TimePoint lapses;
  for (const Grant& grant : m_grants) {
    if (grant.first <= last && first <= grant.last) {
      lapses = std::max(lapses, grant.lapses);
    }
  }
  for (const Hold& hold : m_holds) {
    if (hold.first <= last && first <= hold.last) {
      lapses = std::max(lapses, hold.lapses);
    }
  }
  return lapses;
}

void KeyGrants::AddHold(std::uint32_t first, std::uint32_t last, TimePoint lapses, TimePoint now) {
  // A renewal takes the place of what it renews.
  std::erase_if(m_holds, [&](const Hold& hold) {
    return hold.lapses <= now || (first <= hold.first && hold.last <= last && hold.lapses <= lapses);
  });
  m_holds.push_back(Hold{first, last, lapses});
}

void KeyGrants::RemoveHolds(std::uint32_t first, std::uint32_t last) {
  std::vector<Hold> rest;
  for (const Hold& hold : m_holds) {
    if (hold.last < first || last < hold.first) {
      rest.push_back(hold);
      continue;
    }
    if (hold.first < first) {
      rest.push_back(Hold{hold.first, first - 1, hold.lapses});
    }
    if (last < hold.last) {
      rest.push_back(Hold{last + 1, hold.last, hold.lapses});
    }
  }
  m_holds = std::move(rest);
}

bool KeyGrants::HasOpenGrant(std::uint32_t first, std::uint32_t last, TimePoint now) const {
  // Grants of an earlier run may be open as well.
  return now < m_earlier_grants_lapse ||
         std::any_of(m_open_grants.begin(), m_open_grants.end(), [&](const OpenGrant& open) {
           return open.first <= last && first <= open.last && open.lapses > now;
         });
}

// What is known of these keys under the same fence, perhaps as a part of a wider range, goes on.
KeyGrants::Grant KeyGrants::GrantFor(const proto::KeyRange& range) const {
  Grant grant;
  for (const Grant& known : m_grants) {
    if (known.fence == range.fence() && known.first <= range.first() && range.last() <= known.last) {
      grant = known;
      grant.asked = known.asked && known.first == range.first() && known.last == range.last();
    }
  }
  grant.first = range.first();
  grant.last = range.last();
  grant.fence = range.fence();
  grant.handover = range.handover();
  grant.gives_away = false;
  // Under whichever fence the target was granted these keys, it may hold them until that lapses.
  grant.lapses = std::max(grant.lapses, LapseOf(range.first(), range.last()));
  return grant;
}

void KeyGrants::Reconcile(const proto::KeyTable& table, bool renew, Duration most_hold, TimePoint now) {
  std::vector<Grant> grants;
  std::vector<proto::KeyRange> given_away;
  for (const proto::KeyRange& range : table.ranges()) {
    if (!SameLife(range.owner(), m_life)) {
      continue;
    }
    const bool released = std::any_of(m_releases.begin(), m_releases.end(),
                                      [&](const Release& release) { return IsSame(release, range); });
    // Keys that an open grant could still take back stay here, without renewal, until it has lapsed.
    const bool waits = range.has_successor() && !released && HasOpenGrant(range.first(), range.last(), now);
    if (range.has_successor() && !waits) {
      given_away.push_back(range);
      FollowRelease(range, now);
      continue;
    }
    Grant grant = GrantFor(range);
    grant.gives_away = waits;
    if (waits) {
      grant.lapses = std::max(grant.lapses, m_earlier_grants_lapse);
    }
    grants.push_back(std::move(grant));
  }
  std::erase_if(m_releases, [&](const Release& release) {
    return std::none_of(given_away.begin(), given_away.end(),
                        [&](const proto::KeyRange& range) { return range.first() == release.range.first(); });
  });
  m_grants = std::move(grants);
  std::erase_if(m_open_grants, [now](const OpenGrant& open) { return open.lapses <= now; });
  if (!renew) {
    return;
  }
  for (Grant& grant : m_grants) {
    if (!grant.asked && !grant.gives_away && now >= grant.renew_at) {
      AskGrant(grant, most_hold, now);
    }
  }
}

// ---- Grants ----

void KeyGrants::AskGrant(Grant& grant, Duration most_hold, TimePoint now) {
  const Duration vouched = m_hooks.authority_end() - now - kCallDelay;
  const auto most = Duration(static_cast<Duration::rep>(static_cast<double>(vouched.count()) / (1 + kClockDrift)));
  const Duration hold = std::min({kHold, most_hold, most});
  if (hold < kLeastHold) {
    return;
  }
  grant.asked = true;
  m_last_sent = now;
  grant.lapses = std::max(grant.lapses, LapseAfter(now, hold));
  const std::uint64_t number = ++m_last_call;
  m_open_grants.push_back(OpenGrant{number, grant.first, grant.last, LapseAfter(now, hold)});
  AddHold(grant.first, grant.last, LapseAfter(now, hold), now);
  const KeyGrant call{grant.first, grant.last, grant.fence, hold, grant.handover};
  // What bears the id of a request answers no grant. Then nothing is known of this one.
  const auto judge = [this](const HttpMessage& answer, bool /*only_request*/) {
    return m_wire.ReadTargetAnswer(answer, "").named ? AnswerMatch::kAmbiguous : AnswerMatch::kThisRequest;
  };
  m_client.Send(m_wire.GrantCall(call, m_address), kGrantTimeout, judge,
                [this, number, first = grant.first, fence = grant.fence, now, hold,
                 life = m_life_number](const HttpResult& result) {
                  if (IsSettled(result)) {
                    std::erase_if(m_open_grants, [number](const OpenGrant& open) { return open.number == number; });
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
    m_hooks.on_refused();
  }
  answered ? m_hooks.on_contact() : m_hooks.on_silence();
  const auto it = std::find_if(m_grants.begin(), m_grants.end(),
                               [&](const Grant& grant) { return grant.first == first && grant.fence == fence; });
  if (it == m_grants.end()) {
    // The range changed while the call was on its way; a release may wait for its end.
    m_hooks.on_settled();
    return;
  }
  it->asked = false;
  if (answered && result.answer.status == kOk) {
    const bool first_time = it->until <= now;
    it->until = std::max(it->until, sent + hold);
    it->renew_at = sent + hold / 2;
    if (first_time) {
      m_log.Write(LogRank::kState, "keys_granted",
                  {{"first", it->first},
                   {"last", it->last},
                   {"fence", it->fence},
                   {"hold_ms", hold},
                   {"handover", !it->handover.empty()}});
      m_hooks.on_granted();
    }
    return;
  }
  it->renew_at = now + kGrantRetry;
  m_log.Write(LogRank::kFailure, "grant_failed",
              {{"first", it->first},
               {"last", it->last},
               {"fence", it->fence},
               {"status", result.answer.status},
               {"detail", result.detail}});
  if (answered && result.answer.status == kConflict) {
    m_hooks.on_fences_refused({it->fence});
  }
}

// ---- Releases ----

void KeyGrants::FollowRelease(const proto::KeyRange& range, TimePoint now) {
  const auto found = std::find_if(m_releases.begin(), m_releases.end(),
                                  [&](const Release& release) { return IsSame(release, range); });
  if (found == m_releases.end()) {
    StartRelease(range, now);
    return;
  }
  found->range = range;
  if (!found->done && found->sends < kReleaseSends && now - found->sent_at > kReleaseAgain) {
    SendRelease(*found, now);
  }
  // The change in the store is still missing, or the target never answered and its time is over.
  if ((found->done || now >= found->lapses) && now >= found->retry_at) {
    found->retry_at = now + kReleaseRetry;
    m_hooks.on_released(range, found->handover);
  }
}

void KeyGrants::StartRelease(const proto::KeyRange& range, TimePoint now) {
  const TimePoint lapses = LapseOf(range.first(), range.last());
  const bool had = lapses != TimePoint();
  Release release;
  release.range = range;
  // Keys that the target had are asked back even after their time, for the sake of their handover.
  release.lapses = had ? std::max(lapses, now + kHandoverWait) : lapses;
  release.retry_at = now + kReleaseRetry;
  release.done = !had;
  m_releases.push_back(std::move(release));
  m_log.Write(LogRank::kState, "keys_released",
              {{"first", range.first()},
               {"last", range.last()},
               {"fence", range.fence()},
               {"successor", range.successor().node()},
               {"held", had}});
  if (had) {
    SendRelease(m_releases.back(), now);
  } else {
    m_hooks.on_released(range, "");
  }
}

void KeyGrants::SendRelease(Release& release, TimePoint now) {
  release.sent_at = now;
  ++release.sends;
  const proto::KeyRange& range = release.range;
  // The answer to an earlier grant, written once more, has no handover.
  const auto judge = [this](const HttpMessage& answer, bool only_request) {
    if (m_wire.ReadTargetAnswer(answer, "").named) {
      return AnswerMatch::kAmbiguous;
    }
    return only_request || !m_wire.HandoverOf(answer).empty() ? AnswerMatch::kThisRequest : AnswerMatch::kOtherRequest;
  };
  m_client.Send(
      m_wire.ReleaseCall(range.first(), range.last(), range.fence(), m_address), kReleaseTimeout, judge,
      [this, range](const HttpResult& result) {
        if (result.outcome != HttpOutcome::kAnswered || result.answer.status != kOk) {
          m_log.Write(LogRank::kFailure, "release_failed",
                      {{"first", range.first()}, {"status", result.answer.status}, {"detail", result.detail}});
          return;
        }
        m_hooks.on_contact();
        const auto pending = std::find_if(m_releases.begin(), m_releases.end(),
                                          [&](const Release& one) { return IsSame(one, range) && !one.done; });
        if (pending != m_releases.end()) {
          pending->done = true;
          RemoveHolds(range.first(), range.last());
          pending->handover = m_wire.HandoverOf(result.answer);
          m_hooks.on_released(pending->range, pending->handover);
        }
      },
      ConnectionConstraint{std::string(kReleaseKey)});
}

}  // namespace magnoliaarch
