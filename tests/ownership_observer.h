// Checks the invariants of the ownership tests independently of the lease protocol. The observer sees only which
// incarnation ran work for which key at what true time, and what the store held.
//
// I1: at most one owner works for a key at a time, under a granted epoch, and never after a later owner. I2:
// assignments are neither lost nor changed without a new epoch, and every key is served once faults have ended. I4,
// I10: a target that leaves service gets no work after a few seconds. I11: a planned stop interrupts no work.

#ifndef MAGNOLIAARCH_TESTS_OWNERSHIP_OBSERVER_H_
#define MAGNOLIAARCH_TESTS_OWNERSHIP_OBSERVER_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

class OwnershipObserver {
 public:
  // A target leaving service may still get work for this long (I4 and I10 require "after a few seconds").
  static constexpr Duration kDrainGraceTime = std::chrono::seconds(3);

  // Call when the faults have ended. Time limits that faults can delay start at this time at the earliest.
  void OnFaultsEnded(TimePoint now) { m_faults_ended_at = now; }

  void OnWorkStarted(const IncarnationId& owner, std::uint64_t key, std::uint64_t epoch, TimePoint now) {
    KeyState& state = m_keys[key];
    for (const auto& [other, running] : state.running) {
      if (other != owner && running > 0) {
        Violation(
            "I1", now,
            fmt::format("{} starts work for key {:x} while work of {} is running", Name(owner), key, Name(other)));
      }
    }
    ++state.running[owner];
    // Position, counted from 1, of the owner's latest grant in the store's history of the key; 0 if there is none.
    std::size_t position = state.history.size();
    while (position > 0 && state.history[position - 1].owner != owner) {
      --position;
    }
    if (position == 0) {
      Violation("I1", now,
                fmt::format("{} starts work for key {:x}, which the store never granted to it", Name(owner), key));
    } else if (position < state.highest_used) {
      Violation("I1", now, fmt::format("{} starts work for key {:x} after a later owner did", Name(owner), key));
    } else if (epoch > state.history[position - 1].epoch) {
      Violation("I1", now, fmt::format("{} uses epoch {} for key {:x} before it was granted", Name(owner), epoch, key));
    }
    state.highest_used = std::max(state.highest_used, position);
    state.last_start = now;
    const auto leaving = m_leaving.find(owner);
    if (leaving != m_leaving.end() && now > std::max(leaving->second, m_faults_ended_at) + kDrainGraceTime) {
      Violation("I4/I10", now, fmt::format("{} starts work for key {:x} long after it left service", Name(owner), key));
    }
    if (m_gone.contains(owner)) {
      Violation("I11", now, fmt::format("{} starts work for key {:x} after its planned stop", Name(owner), key));
    }
  }

  void OnWorkEnded(const IncarnationId& owner, std::uint64_t key, TimePoint) { --m_keys[key].running[owner]; }

  // Call when the store holds this pack. `keys` are the keys under test.
  void OnPack(const proto::SlicePack& pack,
              std::uint32_t slices,
              const std::vector<std::uint64_t>& keys,
              TimePoint now) {
    if (pack.slices_size() < m_pack_slices) {
      Violation("I2", now, "the pack lost slices");
    }
    m_pack_slices = pack.slices_size();
    for (const std::uint64_t key : keys) {
      const proto::SliceRecord* slice = &pack.slices(static_cast<int>(SliceOf(key, slices).index));
      for (const proto::HotKeyRecord& hot : pack.hot_keys()) {
        slice = hot.key_hash() == key ? &hot.slice() : slice;
      }
      KeyState& state = m_keys[key];
      const Grant grant{IncarnationId{slice->owner(), slice->owner_incarnation()}, slice->epoch()};
      if (!state.history.empty()) {
        const Grant& last = state.history.back();
        if (grant.epoch < last.epoch || (grant.epoch == last.epoch && grant.owner != last.owner)) {
          Violation("I2", now, fmt::format("key {:x} changed its owner without a new epoch", key));
        }
        if (grant == last) {
          continue;
        }
      }
      state.history.push_back(grant);
    }
  }

  // Call when the store holds this member record and this state of its failure domain.
  void OnMember(const proto::MemberRecord& member, bool domain_out, TimePoint now) {
    const IncarnationId id{member.node(), member.incarnation()};
    if (domain_out || member.state() != proto::MEMBER_STATE_ACTIVE) {
      m_leaving.try_emplace(id, now);
    } else {
      m_leaving.erase(id);
    }
    if (member.state() == proto::MEMBER_STATE_GONE && m_gone.insert(id).second) {
      for (const auto& [key, state] : m_keys) {
        const auto running = state.running.find(id);
        if (running != state.running.end() && running->second > 0) {
          Violation("I11", now, fmt::format("the planned stop of {} interrupts work for key {:x}", Name(id), key));
        }
      }
    }
  }

  // Call at the end of a run, long after its faults have ended: every key has to be served.
  void OnEnd(const std::vector<std::uint64_t>& keys, TimePoint now) {
    for (const std::uint64_t key : keys) {
      if (now - m_keys[key].last_start > std::chrono::milliseconds(500)) {
        Violation("I2", now, fmt::format("key {:x} is not served although all faults have ended", key));
      }
    }
  }

  const std::vector<std::string>& Violations() const { return m_violations; }
  int DoubleOwners() const { return m_double_owners; }

 private:
  struct Grant {
    IncarnationId owner;
    std::uint64_t epoch = 0;
    bool operator==(const Grant&) const = default;
  };
  struct KeyState {
    std::vector<Grant> history;    // grants in the store, oldest first
    std::size_t highest_used = 0;  // highest position in the history under which work ran
    std::map<IncarnationId, int> running;
    TimePoint last_start;
  };

  static std::string Name(const IncarnationId& id) { return fmt::format("{}#{}", id.node, id.number); }

  void Violation(const std::string& invariant, TimePoint now, const std::string& text) {
    m_double_owners += invariant == "I1" ? 1 : 0;
    m_violations.push_back(fmt::format("{} at {} us: {}", invariant, now.time_since_epoch().count(), text));
  }

  TimePoint m_faults_ended_at;
  std::map<std::uint64_t, KeyState> m_keys;
  std::map<IncarnationId, TimePoint> m_leaving;
  std::set<IncarnationId> m_gone;
  int m_pack_slices = 0;
  int m_double_owners = 0;
  std::vector<std::string> m_violations;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_OWNERSHIP_OBSERVER_H_
