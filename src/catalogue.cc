#include "magnoliaarch/catalogue.h"

#include <algorithm>
#include <bit>
#include <cctype>
#include <functional>
#include <optional>
#include <utility>

#include "ini_p.h"
#include "magnoliaarch/types.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr std::string_view kNameFormat =
    "1 to 63 lower-case letters, digits or hyphens, starting with a letter or digit";
constexpr std::uint32_t kMaxPathSegment = 32;
constexpr std::size_t kMaxOwnerBytes = 200;

constexpr std::string_view kBooleanNames[] = {"false", "true"};

std::string_view ClassName(proto::RequestClass request_class) {
  switch (request_class) {
    case proto::REQUEST_CLASS_PROMPT:
      return "prompt";
    case proto::REQUEST_CLASS_BULK:
      return "bulk";
    default:
      return "normal";
  }
}

std::optional<proto::RequestClass> ParseClass(std::string_view name) {
  for (const proto::RequestClass candidate :
       {proto::REQUEST_CLASS_NORMAL, proto::REQUEST_CLASS_PROMPT, proto::REQUEST_CLASS_BULK}) {
    if (name == ClassName(candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

// Whether the text is a header field name as in RFC 9110: one or more token characters, here at most 64.
bool IsHeaderName(std::string_view text) {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) != 0 || kTokenPunctuation.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

void ReadOwner(IniReader& reader, std::string* owner) {
  if (reader.RequiredText("owner", "the person or team responsible", owner) && owner->size() > kMaxOwnerBytes) {
    reader.AddError(reader.LineOf("owner"),
                    Cat("'owner' has ", owner->size(), " bytes, expected at most ", kMaxOwnerBytes));
  }
}

void ReadKinds(IniReader& reader, proto::EntryRecord* entry) {
  for (const IniItem* item : reader.FindPrefix("kind.")) {
    const std::string kind = item->key.substr(5);
    if (!IsValidName(kind)) {
      reader.AddError(item->line, Cat("kind '", kind, "', expected ", kNameFormat));
    }
    const std::vector<std::string> words = SplitList(item->value);
    const std::optional<proto::RequestClass> request_class = words.empty() ? std::nullopt : ParseClass(words[0]);
    const bool idempotence_ok = words.size() == 1 || (words.size() == 2 && words[1] == "idempotent");
    if (!request_class || !idempotence_ok) {
      reader.AddError(item->line, Cat("'", item->key, "' is '", item->value,
                                      "', expected prompt, normal or bulk, optionally followed by ', idempotent'"));
      continue;
    }
    proto::KindRule* rule = entry->add_kinds();
    rule->set_kind(kind);
    rule->set_request_class(*request_class);
    rule->set_idempotent(words.size() == 2);
  }
}

// Reads the routing fields of an entry. The allowed fields differ between keyed and balanced entries.
void ReadRouting(IniReader& reader, proto::EntryRecord* entry) {
  std::string routing;
  if (!reader.RequiredText("routing", "keyed or balanced", &routing)) {
    return;
  }
  if (routing != "keyed" && routing != "balanced") {
    reader.AddError(reader.LineOf("routing"), Cat("'routing' is '", routing, "', expected keyed or balanced"));
    return;
  }
  entry->set_keyed(routing == "keyed");
  if (!entry->keyed()) {
    for (const char* key : {"slices", "key_header", "key_path_segment", "checks_fences"}) {
      if (reader.Find(key) != nullptr) {
        reader.AddError(reader.LineOf(key), Cat("'", key, "' applies to keyed entries, expected it absent here"));
      }
    }
    return;
  }
  std::uint32_t slices = 0;
  if (reader.RequiredNumber("slices", 1, kMaxSlices, "slices, a power of two", &slices)) {
    if (!std::has_single_bit(slices)) {
      reader.AddError(reader.LineOf("slices"),
                      Cat("'slices' is ", slices, ", expected a power of two from 1 to ", kMaxSlices));
    }
    entry->set_slices(slices);
  }
  std::uint32_t segment = 0;
  reader.Number("key_path_segment", 1, kMaxPathSegment, "(position after the entry name)", &segment);
  entry->set_key_path_segment(segment);
  std::string header;
  if (reader.Text("key_header", &header)) {
    if (!IsHeaderName(header)) {
      reader.AddError(reader.LineOf("key_header"), Cat("'key_header' is '", header, "', expected an HTTP header name"));
    }
    if (segment != 0) {
      reader.AddError(reader.LineOf("key_header"), "'key_header' and 'key_path_segment' are both set, expected one");
    }
  } else if (segment == 0) {
    header = kDefaultKeyHeader;
  }
  entry->set_key_header(header);
  bool checks_fences = false;
  reader.Flag("checks_fences", &checks_fences);
  entry->set_checks_fences(checks_fences);
}

proto::EntryRecord ReadEntry(const std::string& name, IniReader& reader) {
  proto::EntryRecord entry;
  entry.set_name(name);
  ReadOwner(reader, entry.mutable_owner());
  std::string class_name = "normal";
  reader.Text("class", &class_name);
  if (const std::optional<proto::RequestClass> request_class = ParseClass(class_name)) {
    entry.set_default_class(*request_class);
  } else {
    reader.AddError(reader.LineOf("class"), Cat("'class' is '", class_name, "', expected prompt, normal or bulk"));
  }
  ReadRouting(reader, &entry);

  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
  reader.Number("rate", 0, kMaxRate, "requests per second (0: no limit)", &rate);
  reader.Number("burst", 0, kMaxRate, "requests", &burst);
  if ((rate == 0) != (burst == 0)) {
    reader.AddError(reader.LineOf(rate == 0 ? "burst" : "rate"),
                    "'rate' and 'burst' limit together, expected both set or both absent");
  }
  entry.set_rate(rate);
  entry.set_burst(burst);

  std::uint32_t cold = 0;
  std::uint32_t warm = 0;
  const bool has_cold = reader.RequiredNumber("cold_limit", 1, kMaxConcurrentRequests, "concurrent requests", &cold);
  const bool has_warm = reader.RequiredNumber("warm_limit", 1, kMaxConcurrentRequests, "concurrent requests", &warm);
  if (has_cold && has_warm && cold > warm) {
    reader.AddError(reader.LineOf("cold_limit"),
                    Cat("'cold_limit' is ", cold, ", expected at most 'warm_limit', which is ", warm));
  }
  entry.set_cold_limit(cold);
  entry.set_warm_limit(warm);
  std::uint32_t warm_up_ms = 0;
  reader.Number("warm_up_ms", 0, kMaxWarmUpMs, "ms", &warm_up_ms);
  entry.set_warm_up_ms(warm_up_ms);

  std::uint32_t deadline_ms = kDefaultDeadlineMs;
  std::uint32_t max_body_bytes = kDefaultMaxBodyBytes;
  reader.Number("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs, "ms", &deadline_ms);
  reader.Number("max_body_bytes", 0, kMaxBodyBytes, "bytes", &max_body_bytes);
  entry.set_deadline_ms(deadline_ms);
  entry.set_max_body_bytes(max_body_bytes);

  bool honours_deadline = false;
  bool open_to_all = false;
  reader.Flag("honours_deadline", &honours_deadline);
  reader.Flag("open_to_all", &open_to_all);
  entry.set_honours_deadline(honours_deadline);
  entry.set_open_to_all(open_to_all);
  ReadKinds(reader, &entry);

  std::string workspaces;
  if (reader.Text("workspaces", &workspaces)) {
    for (const std::string& workspace : SplitList(workspaces)) {
      entry.add_workspaces(workspace);
    }
    if (open_to_all) {
      reader.AddError(reader.LineOf("workspaces"),
                      "'workspaces' is set on an entry that is open to all, expected one of the two");
    }
  }
  return entry;
}

proto::WorkspaceRecord ReadWorkspace(const std::string& name, IniReader& reader) {
  proto::WorkspaceRecord workspace;
  workspace.set_name(name);
  ReadOwner(reader, workspace.mutable_owner());
  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
  std::uint32_t weight = 1;
  reader.RequiredNumber("rate", 1, kMaxRate, "requests per second", &rate);
  reader.RequiredNumber("burst", 1, kMaxRate, "requests", &burst);
  reader.Number("weight", 1, kMaxWeight, "(share at the egress gate)", &weight);
  workspace.set_rate(rate);
  workspace.set_burst(burst);
  workspace.set_weight(weight);
  return workspace;
}

void ReadDomain(const std::string& name, IniReader& reader, Catalogue* catalogue) {
  proto::DomainRecord domain;
  domain.set_name(name);
  std::string state;
  if (!reader.Text("state", &state)) {
    catalogue->domains_without_state.insert(name);
  } else if (state != "in" && state != "out") {
    reader.AddError(reader.LineOf("state"), Cat("'state' is '", state, "', expected in or out"));
  }
  domain.set_out(state == "out");
  catalogue->domains[name] = std::move(domain);
}

void CheckWorkspaceReferences(const std::vector<IniSection>& sections, const Catalogue& catalogue, IniErrors* errors) {
  for (const IniSection& section : sections) {
    for (const IniItem& item : section.items) {
      if (!section.name.starts_with("entry ") || item.key != "workspaces") {
        continue;
      }
      std::set<std::string> seen;
      for (const std::string& name : SplitList(item.value)) {
        if (!catalogue.workspaces.contains(name)) {
          errors->Add(item.line,
                      Cat("workspace '", name, "' does not exist, expected a [workspace ", name, "] section"));
        }
        if (!seen.insert(name).second) {
          errors->Add(item.line, Cat("workspace '", name, "' listed twice, expected each once"));
        }
      }
    }
  }
}

Fields FieldsOf(const proto::EntryRecord& entry) {
  Fields fields = {{"owner", entry.owner()},
                   {"class", std::string(ClassName(entry.default_class()))},
                   {"routing", entry.keyed() ? "keyed" : "balanced"}};
  if (entry.keyed()) {
    fields.emplace_back("slices", Cat(entry.slices()));
    if (entry.key_path_segment() != 0) {
      fields.emplace_back("key_path_segment", Cat(entry.key_path_segment()));
    } else {
      fields.emplace_back("key_header", entry.key_header());
    }
    fields.emplace_back("checks_fences", kBooleanNames[entry.checks_fences() ? 1 : 0]);
  }
  if (entry.rate() != 0) {
    fields.emplace_back("rate", Cat(entry.rate()));
    fields.emplace_back("burst", Cat(entry.burst()));
  }
  fields.emplace_back("cold_limit", Cat(entry.cold_limit()));
  fields.emplace_back("warm_limit", Cat(entry.warm_limit()));
  fields.emplace_back("warm_up_ms", Cat(entry.warm_up_ms()));
  fields.emplace_back("deadline_ms", Cat(entry.deadline_ms()));
  fields.emplace_back("max_body_bytes", Cat(entry.max_body_bytes()));
  fields.emplace_back("honours_deadline", kBooleanNames[entry.honours_deadline() ? 1 : 0]);
  fields.emplace_back("open_to_all", kBooleanNames[entry.open_to_all() ? 1 : 0]);
  for (const proto::KindRule& rule : entry.kinds()) {
    fields.emplace_back(Cat("kind.", rule.kind()),
                        Cat(ClassName(rule.request_class()), rule.idempotent() ? ", idempotent" : ""));
  }
  if (!entry.workspaces().empty()) {
    fields.emplace_back("workspaces", fmt::format("{}", fmt::join(entry.workspaces(), ", ")));
  }
  return fields;
}

Fields FieldsOf(const proto::WorkspaceRecord& workspace) {
  return {{"owner", workspace.owner()},
          {"rate", Cat(workspace.rate())},
          {"burst", Cat(workspace.burst())},
          {"weight", Cat(workspace.weight())}};
}

Fields FieldsOf(const proto::DomainRecord& domain) {
  return {{"state", domain.out() ? "out" : "in"}};
}

std::string KeyIds(const proto::WorkspaceRecord& workspace) {
  std::string ids;
  for (const proto::WorkspaceKeyHash& key : workspace.keys()) {
    AppendText(&ids, ids.empty() ? "" : ", ", key.key_id());
  }
  return ids;
}

// Fields that a comparison uses: the printed fields, and for workspaces also the key ids.
Fields ComparedFieldsOf(const proto::EntryRecord& entry) {
  return FieldsOf(entry);
}

Fields ComparedFieldsOf(const proto::WorkspaceRecord& workspace) {
  Fields fields = FieldsOf(workspace);
  fields.emplace_back("keys", KeyIds(workspace));
  return fields;
}

Fields ComparedFieldsOf(const proto::DomainRecord& domain) {
  return FieldsOf(domain);
}

std::vector<FieldChange> DiffFields(const Fields& before, const Fields& after) {
  const auto value_in = [](const Fields& fields, const std::string& name) -> std::string {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return field.first == name; });
    return found == fields.end() ? std::string() : found->second;
  };
  std::vector<FieldChange> changes;
  for (const auto& [name, value] : before) {
    const std::string new_value = value_in(after, name);
    if (new_value != value) {
      changes.push_back({name, value, new_value});
    }
  }
  for (const auto& [name, value] : after) {
    if (!value.empty() && value_in(before, name).empty()) {
      changes.push_back({name, "", value});
    }
  }
  return changes;
}

template <typename Record>
void DiffRecords(RecordKind kind,
                 const std::map<std::string, Record>& before,
                 const std::map<std::string, Record>& after,
                 std::vector<CatalogueChange>* changes) {
  std::set<std::string> names;
  for (const auto& [name, record] : before) {
    names.insert(name);
  }
  for (const auto& [name, record] : after) {
    names.insert(name);
  }
  for (const std::string& name : names) {
    const auto old_record = before.find(name);
    const auto new_record = after.find(name);
    if (old_record == before.end()) {
      changes->push_back({ChangeType::kAdded, kind, name, {}});
    } else if (new_record == after.end()) {
      changes->push_back({ChangeType::kRemoved, kind, name, {}});
    } else {
      std::vector<FieldChange> fields =
          DiffFields(ComparedFieldsOf(old_record->second), ComparedFieldsOf(new_record->second));
      if (!fields.empty()) {
        changes->push_back({ChangeType::kChanged, kind, name, std::move(fields)});
      }
    }
  }
}

void AppendSection(std::string_view kind, const std::string& name, const Fields& fields, std::string* out) {
  AppendText(out, out->empty() ? "" : "\n", "[", kind, " ", name, "]\n");
  for (const auto& [key, value] : fields) {
    AppendText(out, key, " = ", value, "\n");
  }
}

}  // namespace

bool IsValidName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 63;
  const auto is_letter_or_digit = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
  return !text.empty() && text.size() <= kMaxNameBytes && is_letter_or_digit(text.front()) &&
         std::all_of(text.begin(), text.end(), [&](char c) { return is_letter_or_digit(c) || c == '-'; });
}

std::string_view ToString(RecordKind kind) {
  switch (kind) {
    case RecordKind::kEntry:
      return "entry";
    case RecordKind::kWorkspace:
      return "workspace";
    case RecordKind::kDomain:
      return "domain";
  }
  return "unknown";
}

absl::StatusOr<Catalogue> ParseCatalogue(std::string_view text, const std::string& file_name) {
  IniErrors errors(file_name);
  Catalogue catalogue;
  const std::vector<IniSection> sections = ParseIniSections(text, &errors);
  for (const IniSection& section : sections) {
    const std::size_t blank = section.name.find(' ');
    const std::string kind = section.name.substr(0, blank);
    const std::string name(blank == std::string::npos ? std::string_view()
                                                      : TrimWhitespace(std::string_view(section.name).substr(blank)));
    if (kind != "entry" && kind != "workspace" && kind != "domain") {
      errors.Add(section.line,
                 Cat("unknown section [", section.name, "], expected [entry NAME], [workspace NAME] or [domain NAME]"));
      continue;
    }
    if (!IsValidName(name)) {
      errors.Add(section.line, Cat(kind, " name '", name, "', expected ", kNameFormat));
    }
    IniReader reader(section, &errors);
    if (kind == "entry") {
      catalogue.entries[name] = ReadEntry(name, reader);
    } else if (kind == "workspace") {
      catalogue.workspaces[name] = ReadWorkspace(name, reader);
    } else {
      ReadDomain(name, reader, &catalogue);
    }
    reader.ReportUnknownKeys();
  }
  CheckWorkspaceReferences(sections, catalogue, &errors);
  // Applying an empty file would remove all records, so an empty file is treated as a mistake.
  if (errors.Empty() && catalogue.entries.empty()) {
    errors.Add(1, "the catalogue has no entry, expected at least one [entry NAME] section");
  }
  if (!errors.Empty()) {
    return errors.ToStatus();
  }
  return catalogue;
}

Catalogue MergeWithStored(const Catalogue& file, const Catalogue& stored) {
  Catalogue result = file;
  result.domains_without_state.clear();
  for (auto& [name, workspace] : result.workspaces) {
    workspace.clear_keys();
    if (const auto found = stored.workspaces.find(name); found != stored.workspaces.end()) {
      *workspace.mutable_keys() = found->second.keys();
    }
  }
  for (const auto& [name, domain] : stored.domains) {
    if (!file.domains.contains(name) || file.domains_without_state.contains(name)) {
      result.domains[name] = domain;
    }
  }
  return result;
}

std::vector<CatalogueChange> DiffCatalogues(const Catalogue& before, const Catalogue& after) {
  std::vector<CatalogueChange> changes;
  DiffRecords(RecordKind::kEntry, before.entries, after.entries, &changes);
  DiffRecords(RecordKind::kWorkspace, before.workspaces, after.workspaces, &changes);
  DiffRecords(RecordKind::kDomain, before.domains, after.domains, &changes);
  return changes;
}

std::string FormatChanges(const std::vector<CatalogueChange>& changes) {
  std::string out;
  for (const CatalogueChange& change : changes) {
    const char* sign = change.type == ChangeType::kAdded ? "+" : change.type == ChangeType::kRemoved ? "-" : "~";
    AppendText(&out, sign, " ", ToString(change.kind), " ", change.name, "\n");
    for (const FieldChange& field : change.fields) {
      AppendText(&out, "    ", field.field, ": ", field.old_value.empty() ? "(none)" : field.old_value, " -> ",
                 field.new_value.empty() ? "(none)" : field.new_value, "\n");
    }
  }
  return out;
}

std::string FormatCatalogue(const Catalogue& catalogue) {
  std::string out;
  for (const auto& [name, entry] : catalogue.entries) {
    AppendSection("entry", name, FieldsOf(entry), &out);
  }
  for (const auto& [name, workspace] : catalogue.workspaces) {
    AppendSection("workspace", name, FieldsOf(workspace), &out);
    if (!workspace.keys().empty()) {
      AppendText(&out, "; key ids: ", KeyIds(workspace), "\n");
    }
  }
  for (const auto& [name, domain] : catalogue.domains) {
    AppendSection("domain", name, catalogue.domains_without_state.contains(name) ? Fields() : FieldsOf(domain), &out);
  }
  return out;
}

}  // namespace magnoliaarch
