#include "record_patch_p.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace magnoliaarch {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

// Values with fewer bytes are sent whole.
constexpr std::size_t kMinPatchedBytes = 512;

// One top-level field of a serialized message.
struct Field {
  std::uint32_t tag = 0;
  std::size_t begin = 0;
  std::size_t end = 0;
};

// The top-level fields in order; nullopt when the bytes are not a serialized message.
std::optional<std::vector<Field>> SplitFields(std::string_view value) {
  std::vector<Field> fields;
  CodedInputStream input(reinterpret_cast<const std::uint8_t*>(value.data()), static_cast<int>(value.size()));
  while (static_cast<std::size_t>(input.CurrentPosition()) < value.size()) {
    Field field;
    field.begin = static_cast<std::size_t>(input.CurrentPosition());
    field.tag = input.ReadTag();
    if (field.tag == 0 || !WireFormatLite::SkipField(&input, field.tag)) {
      return std::nullopt;
    }
    field.end = static_cast<std::size_t>(input.CurrentPosition());
    fields.push_back(field);
  }
  return fields;
}

std::string_view Bytes(std::string_view value, const Field& field) {
  return value.substr(field.begin, field.end - field.begin);
}

}  // namespace

proto::ViewRecord PatchRecord(const proto::ViewRecord* earlier, const proto::ViewRecord& record) {
  if (earlier == nullptr || earlier->deleted() || record.deleted() || earlier->revision() >= record.revision() ||
      record.value().size() < kMinPatchedBytes) {
    return record;
  }
  const std::string_view before = earlier->value();
  const std::string_view after = record.value();
  const std::optional<std::vector<Field>> old_fields = SplitFields(before);
  const std::optional<std::vector<Field>> new_fields = SplitFields(after);
  if (!old_fields || !new_fields) {
    return record;
  }
  proto::ViewRecord patch;
  patch.set_key(record.key());
  patch.set_revision(record.revision());
  patch.set_patch_of(earlier->revision());
  // Fields with the same index are compared one by one; from the first pair with different tags, the rest is one hunk.
  std::size_t i = 0;
  const auto paired = [&](std::size_t index) {
    return index < old_fields->size() && index < new_fields->size() &&
           (*old_fields)[index].tag == (*new_fields)[index].tag;
  };
  const auto differs = [&](std::size_t index) {
    return Bytes(before, (*old_fields)[index]) != Bytes(after, (*new_fields)[index]);
  };
  const auto add_hunk = [&](std::size_t old_begin, std::size_t old_end, std::size_t new_begin, std::size_t new_end) {
    proto::ValueHunk* hunk = patch.add_hunks();
    hunk->set_offset(static_cast<std::uint32_t>(old_begin));
    hunk->set_removed(static_cast<std::uint32_t>(old_end - old_begin));
    hunk->set_inserted(std::string(after.substr(new_begin, new_end - new_begin)));
  };
  while (paired(i)) {
    if (!differs(i)) {
      ++i;
      continue;
    }
    const std::size_t first = i;
    while (paired(i) && differs(i)) {
      ++i;
    }
    add_hunk((*old_fields)[first].begin, (*old_fields)[i - 1].end, (*new_fields)[first].begin,
             (*new_fields)[i - 1].end);
  }
  const std::size_t old_rest = i < old_fields->size() ? (*old_fields)[i].begin : before.size();
  const std::size_t new_rest = i < new_fields->size() ? (*new_fields)[i].begin : after.size();
  if (old_rest < before.size() || new_rest < after.size()) {
    add_hunk(old_rest, before.size(), new_rest, after.size());
  }
  return patch.ByteSizeLong() * 2 < record.ByteSizeLong() ? patch : record;
}

std::optional<proto::ViewRecord> ResolvePatch(const proto::ViewRecord* earlier, const proto::ViewRecord& patch) {
  if (earlier == nullptr || earlier->deleted() || earlier->revision() != patch.patch_of()) {
    return std::nullopt;
  }
  const std::string& before = earlier->value();
  proto::ViewRecord record;
  record.set_key(patch.key());
  record.set_revision(patch.revision());
  std::string* value = record.mutable_value();
  std::size_t position = 0;
  for (const proto::ValueHunk& hunk : patch.hunks()) {
    if (hunk.offset() < position || hunk.offset() > before.size() || hunk.removed() > before.size() - hunk.offset()) {
      return std::nullopt;
    }
    value->append(before, position, hunk.offset() - position);
    value->append(hunk.inserted());
    position = std::size_t{hunk.offset()} + hunk.removed();
  }
  value->append(before, position);
  return record;
}

}  // namespace magnoliaarch
