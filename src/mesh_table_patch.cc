#include "mesh_table_patch_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// A receiver that is further behind gets the whole table. At several changes a second these last for some seconds.
constexpr std::size_t kVersions = 16;

bool Parse(std::string_view text, proto::PackedTable* table) {
  return table->ParseFromArray(text.data(), static_cast<int>(text.size()));
}

bool Same(const google::protobuf::MessageLite& one, const google::protobuf::MessageLite& other) {
  return one.SerializeAsString() == other.SerializeAsString();
}

bool SameLives(const proto::PackedTable& one, const proto::PackedTable& other) {
  return std::equal(one.lives().begin(), one.lives().end(), other.lives().begin(), other.lives().end(), Same);
}

}  // namespace

std::optional<proto::TablePatch> MakeTablePatch(std::string_view earlier, std::string_view later) {
  proto::PackedTable from;
  proto::PackedTable to;
  if (!Parse(earlier, &from) || !Parse(later, &to)) {
    return std::nullopt;
  }
  const int most = std::min(from.ranges_size(), to.ranges_size());
  int head = 0;
  while (head < most && Same(from.ranges(head), to.ranges(head))) {
    ++head;
  }
  int tail = 0;
  while (tail < most - head &&
         Same(from.ranges(from.ranges_size() - 1 - tail), to.ranges(to.ranges_size() - 1 - tail))) {
    ++tail;
  }
  proto::TablePatch patch;
  patch.set_head(static_cast<std::uint32_t>(head));
  patch.set_tail(static_cast<std::uint32_t>(tail));
  for (int i = head; i < to.ranges_size() - tail; ++i) {
    *patch.add_ranges() = to.ranges(i);
  }
  if (!SameLives(from, to)) {
    *patch.mutable_lives() = to.lives();
  }
  patch.set_last_fence(to.last_fence());
  return patch;
}

std::optional<std::string> ApplyTablePatch(std::string_view earlier, const proto::TablePatch& patch) {
  proto::PackedTable from;
  if (!Parse(earlier, &from) ||
      std::uint64_t{patch.head()} + patch.tail() > static_cast<std::uint64_t>(from.ranges_size())) {
    return std::nullopt;
  }
  proto::PackedTable to;
  *to.mutable_lives() = patch.lives().empty() ? from.lives() : patch.lives();
  const auto tail = from.ranges().end() - static_cast<std::ptrdiff_t>(patch.tail());
  to.mutable_ranges()->Add(from.ranges().begin(), from.ranges().begin() + static_cast<std::ptrdiff_t>(patch.head()));
  to.mutable_ranges()->Add(patch.ranges().begin(), patch.ranges().end());
  to.mutable_ranges()->Add(tail, from.ranges().end());
  to.set_last_fence(patch.last_fence());
  return to.SerializeAsString();
}

void SentTables::Shorten(std::int64_t receiver_has, proto::ViewItem* item) {
  std::deque<Version>& versions = m_versions[item->key()];
  if (versions.empty() || versions.back().revision < item->revision()) {
    versions.push_back(Version{item->revision(), item->value()});
    if (versions.size() > kVersions) {
      versions.pop_front();
    }
  }
  const auto base = std::find_if(versions.begin(), versions.end(),
                                 [&](const Version& version) { return version.revision == receiver_has; });
  if (base == versions.end() || receiver_has >= item->revision()) {
    return;
  }
  std::optional<proto::TablePatch> patch = MakeTablePatch(base->value, item->value());
  if (!patch) {
    return;
  }
  patch->set_base_revision(receiver_has);
  if (patch->ByteSizeLong() < item->value().size()) {
    *item->mutable_patch() = *std::move(patch);
    item->clear_value();
  }
}

}  // namespace magnoliaarch
