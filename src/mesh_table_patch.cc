#include "mesh_table_patch_p.h"

#include <algorithm>
#include <utility>

#include "mesh_eras_p.h"

namespace magnoliaarch {
namespace {

// Number of versions kept per table; a receiver that is further behind gets the whole table. At several changes per
// second they cover some seconds.
constexpr std::size_t kMaxKeptVersions = 16;

bool Parse(std::string_view text, proto::PackedTable* table) {
  return table->ParseFromArray(text.data(), static_cast<int>(text.size()));
}

// Maps the last key of each range to the range; the first key follows from the previous range.
std::map<std::uint32_t, const proto::PackedRange*> ByLastKey(const proto::PackedTable& table) {
  std::map<std::uint32_t, const proto::PackedRange*> ranges;
  for (const proto::PackedRange& range : table.ranges()) {
    ranges.emplace(range.last(), &range);
  }
  return ranges;
}

bool IsEqual(const google::protobuf::MessageLite& one, const google::protobuf::MessageLite& other) {
  return one.SerializeAsString() == other.SerializeAsString();
}

bool HasEqualLives(const proto::PackedTable& one, const proto::PackedTable& other) {
  return std::equal(one.lives().begin(), one.lives().end(), other.lives().begin(), other.lives().end(), IsEqual);
}

bool HaveFencesOfOneEra(std::string_view earlier, std::string_view later) {
  proto::PackedTable from;
  proto::PackedTable to;
  return Parse(earlier, &from) && Parse(later, &to) && EraOfFence(from.last_fence()) == EraOfFence(to.last_fence());
}

}  // namespace

std::optional<proto::TablePatch> MakeTablePatch(std::string_view earlier, std::string_view later) {
  proto::PackedTable from;
  proto::PackedTable to;
  if (!Parse(earlier, &from) || !Parse(later, &to)) {
    return std::nullopt;
  }
  const auto earlier_ranges = ByLastKey(from);
  proto::TablePatch patch;
  for (const proto::PackedRange& range : to.ranges()) {
    const auto earlier_range = earlier_ranges.find(range.last());
    if (earlier_range == earlier_ranges.end() || !IsEqual(*earlier_range->second, range)) {
      *patch.add_ranges() = range;
    }
  }
  const auto later_ranges = ByLastKey(to);
  for (const auto& [last, range] : earlier_ranges) {
    if (!later_ranges.contains(last)) {
      patch.add_dropped(last);
    }
  }
  if (!HasEqualLives(from, to)) {
    *patch.mutable_lives() = to.lives();
  }
  patch.set_last_fence(to.last_fence());
  return patch;
}

std::optional<std::string> ApplyTablePatch(std::string_view earlier, const proto::TablePatch& patch) {
  proto::PackedTable from;
  if (!Parse(earlier, &from)) {
    return std::nullopt;
  }
  auto ranges = ByLastKey(from);
  for (const std::uint32_t last : patch.dropped()) {
    if (ranges.erase(last) == 0) {
      return std::nullopt;
    }
  }
  for (const proto::PackedRange& range : patch.ranges()) {
    ranges[range.last()] = &range;
  }
  proto::PackedTable to;
  *to.mutable_lives() = patch.lives().empty() ? from.lives() : patch.lives();
  for (const auto& [last, range] : ranges) {
    *to.add_ranges() = *range;
  }
  to.set_last_fence(patch.last_fence());
  return to.SerializeAsString();
}

void SentTables::ReplaceWithPatch(std::int64_t receiver_revision, proto::ViewItem* item) {
  std::deque<Version>& versions = m_versions[item->key()];
  if (versions.empty() || versions.back().revision < item->revision()) {
    for (Version& version : versions) {
      version.patch_to_newest.reset();
    }
    versions.push_back(Version{item->revision(), item->value(), std::nullopt});
    if (versions.size() > kMaxKeptVersions) {
      versions.pop_front();
    }
  }
  const auto base = std::find_if(versions.begin(), versions.end(),
                                 [&](const Version& version) { return version.revision == receiver_revision; });
  if (base == versions.end() || receiver_revision >= item->revision()) {
    return;
  }
  if (!base->patch_to_newest) {
    // Nodes may hold different tables under one revision until the first write of an era.
    if (!HaveFencesOfOneEra(base->value, item->value())) {
      return;
    }
    base->patch_to_newest = MakeTablePatch(base->value, item->value());
    if (!base->patch_to_newest) {
      return;
    }
    base->patch_to_newest->set_base_revision(receiver_revision);
  }
  if (base->patch_to_newest->ByteSizeLong() < item->value().size()) {
    *item->mutable_patch() = *base->patch_to_newest;
    item->clear_value();
  }
}

}  // namespace magnoliaarch
