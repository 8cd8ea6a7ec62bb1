#include "mesh_eras_p.h"

#include <algorithm>

#include "mesh_view_p.h"

namespace magnoliaarch {
namespace {

constexpr unsigned kEraBits = 13;
constexpr unsigned kNumberBits = 44;
constexpr unsigned kFenceBits = 40;
// Earlier eras whose keys are written again. A call that is still under way belongs to one of the last eras.
constexpr std::int64_t kRecordedEras = 4;

// Set in revisions with an era, so that the plain numbers of era 0 may use all lower bits.
constexpr std::int64_t kEraFlag = std::int64_t{1} << 62U;
constexpr std::int64_t kMaxEra = (std::int64_t{1} << kEraBits) - 1;
constexpr std::int64_t kMaxNumber = (std::int64_t{1} << kNumberBits) - 1;

}  // namespace

std::optional<std::int64_t> MakeRevision(std::int64_t era, std::int64_t number) {
  if (era == 0) {
    return number;
  }
  if (era < 0 || era > kMaxEra || number < 0 || number > kMaxNumber) {
    return std::nullopt;
  }
  return kEraFlag | (era << kNumberBits) | number;
}

std::int64_t EraOf(std::int64_t revision) {
  return revision < kEraFlag ? 0 : (revision - kEraFlag) >> kNumberBits;
}

std::int64_t NumberOf(std::int64_t revision) {
  return revision < kEraFlag ? revision : revision & kMaxNumber;
}

std::int64_t EraOfFence(std::uint64_t fence) {
  return static_cast<std::int64_t>(fence >> kFenceBits);
}

bool IsOfEra(const proto::KeyTable& table, std::int64_t era) {
  return EraOfFence(table.last_fence()) >= era;
}

void RaiseToEra(proto::KeyTable* table, std::int64_t era) {
  table->set_last_fence(std::max(table->last_fence(), static_cast<std::uint64_t>(era) << kFenceBits));
  for (proto::KeyRange& range : *table->mutable_ranges()) {
    table->set_last_fence(table->last_fence() + 1);
    range.set_fence(table->last_fence());
  }
}

std::string EraKey(std::int64_t era) {
  return std::string(kMeshPrefix) + "era/" + std::to_string(era);
}

void BindToEra(std::int64_t era, bool is_recorded, StoreTxn* txn) {
  txn->compares.push_back(StoreCompare{EraKey(era + 1), 0});
  for (std::int64_t recorded = era; !is_recorded && recorded > std::max<std::int64_t>(era - kRecordedEras, 0);
       --recorded) {
    txn->puts.push_back(StorePut{EraKey(recorded), std::to_string(recorded), 0});
  }
}

EraStep NextEraStep(const EraSettlement& state, const proto::KeyTable& table) {
  if (IsOfEra(table, state.era)) {
    return EraStep::kSettled;
  }
  const bool is_first_assignment =
      table.ranges().empty() && state.is_first &&
      std::all_of(state.reports.begin(), state.reports.end(), [](const auto& r) { return r.second.last_fence() == 0; });
  if (state.grants_lapsed || is_first_assignment) {
    return EraStep::kAdopt;
  }
  // A table that this node did not know before may come from a late write, which the store has checked against the
  // copy: the node that it takes keys from may have a lease that the copy lacks.
  if (!state.had_role || table.last_fence() != state.last_fence) {
    return EraStep::kWait;
  }
  std::set<std::string> nodes = state.nodes;
  for (const proto::KeyRange& range : table.ranges()) {
    nodes.insert(range.owner().node());
    if (range.has_successor()) {
      nodes.insert(range.successor().node());
    }
  }
  const bool all_agree = std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    const auto report = state.reports.find(node);
    return report != state.reports.end() && report->second.era() == state.era &&
           report->second.last_fence() <= state.last_fence;
  });
  return all_agree ? EraStep::kAdopt : EraStep::kWait;
}

}  // namespace magnoliaarch
