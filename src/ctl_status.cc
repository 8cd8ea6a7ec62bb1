#include "ctl_commands_p.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "ctl_results_p.h"
#include "magnolia.pb.h"
#include "magnoliaarch/audit.h"
#include "magnoliaarch/catalogue.h"
#include "magnoliaarch/view.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

// Consecutive slices of an entry that are unavailable for the same reason.
struct SliceProblem {
  std::string entry;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t hot_key = 0;  // non-zero: an isolated hot key instead of slices
  std::string state;
  std::string reason;
};

struct EntrySummary {
  std::string name;
  bool keyed = false;
  std::uint32_t slices = 0;
  std::uint32_t owned = 0;
  std::uint32_t releasing = 0;
  std::uint32_t unassigned = 0;
  std::size_t hot_keys = 0;
  std::size_t members = 0;  // members that serve the entry and accept work
};

struct StatusReport {
  std::uint64_t version = 0;
  std::string version_author;
  std::uint64_t version_ms = 0;
  std::vector<EntrySummary> entries;
  std::map<std::string, std::uint32_t> slices_by_owner;
  std::vector<SliceProblem> problems;
};

// Returns the reason why no member can serve the entry, or an empty text if some member can.
std::string NoServingMemberReason(const View& view, const std::string& entry) {
  if (!view.ServingMembers(entry).empty()) {
    return "";
  }
  std::size_t registered = 0;
  std::string states;
  for (const auto& [node, member] : view.Members()) {
    const proto::MemberRecord& record = member.record();
    if (record.entry() != entry) {
      continue;
    }
    ++registered;
    const std::string state = record.fenced()                                  ? "fenced"
                              : record.state() == proto::MEMBER_STATE_DRAINING ? "draining"
                              : record.state() == proto::MEMBER_STATE_GONE     ? "gone"
                              : view.IsDomainOut(record.domain())              ? "domain " + record.domain() + " out"
                                                                               : "not accepting work";
    if (registered <= 5) {
      AppendText(&states, states.empty() ? "" : ", ", node, " ", state);
    }
  }
  if (registered == 0) {
    return "no member serves the entry";
  }
  return Cat("none of the entry's ", registered, " members accepts work (", states, registered > 5 ? ", ..." : "", ")");
}

std::string MissingGrantReason(const View& view, const std::string& entry, std::uint32_t slice) {
  if (std::string reason = NoServingMemberReason(view, entry); !reason.empty()) {
    return reason;
  }
  const std::string pack = SlicePackKey(entry, slice).substr(kSlicesPrefix.size());
  const proto::RoleRecord* assigner = view.FindRole("assigner", pack);
  if (assigner == nullptr) {
    return Cat("no node holds the assigner role of ", pack);
  }
  return Cat("waits for a grant by the assigner, ", assigner->node());
}

// Returns the reason why the owner of a slice cannot serve it, or an empty text if it can.
std::string OwnerUnavailableReason(const View& view, const proto::SliceRecord& slice) {
  const proto::MemberRecord* owner = view.FindMember(slice.owner());
  if (owner == nullptr) {
    return Cat("owner ", slice.owner(), " has no member record");
  }
  if (owner->incarnation() != slice.owner_incarnation()) {
    return Cat("owner ", slice.owner(), " restarted and the slice is still granted to its earlier run");
  }
  if (!owner->fenced()) {
    return "";
  }
  if (owner->state() == proto::MEMBER_STATE_GONE) {
    return Cat("owner ", slice.owner(), " is declared lost; waits for a grant by the assigner");
  }
  std::string missing;
  int registered = 0;
  for (const proto::Incarnation& witness : owner->witnesses()) {
    const proto::MemberRecord* member = view.FindMember(witness.node());
    if (member != nullptr && !member->fenced() && member->state() != proto::MEMBER_STATE_GONE) {
      ++registered;
    } else {
      AppendText(&missing, missing.empty() ? "" : ", ", witness.node());
    }
  }
  std::string reason = Cat("owner ", slice.owner(), " is fenced; takeover waits for two of its witnesses (", registered,
                           " of ", owner->witnesses_size(), " are registered");
  AppendText(&reason, missing.empty() ? "" : "; missing: ", missing, ")");
  if (registered < 2) {
    AppendText(&reason, "; if the host is lost for good, run 'magnolia-ctl host lost ", slice.owner(), "'");
  }
  return reason;
}

// Returns the state and the reason of an unavailable slice or hot key. The reason is empty if it is available.
std::pair<std::string, std::string> DescribeSliceProblem(const View& view,
                                                         const std::string& entry,
                                                         std::uint32_t index,
                                                         const proto::SliceRecord& slice) {
  if (slice.state() == proto::SLICE_STATE_UNASSIGNED) {
    return {"unassigned", MissingGrantReason(view, entry, index)};
  }
  if (std::string reason = OwnerUnavailableReason(view, slice); !reason.empty()) {
    return {slice.state() == proto::SLICE_STATE_RELEASING ? "releasing" : "owner-failed", std::move(reason)};
  }
  if (slice.state() == proto::SLICE_STATE_RELEASING) {
    return {"releasing", Cat("moves from ", slice.owner(), " to ", slice.destination(),
                             "; waits for the owner to finish its work in flight")};
  }
  return {};
}

void AddProblem(SliceProblem problem, std::vector<SliceProblem>* problems) {
  if (!problems->empty() && problem.hot_key == 0) {
    SliceProblem& last = problems->back();
    if (last.hot_key == 0 && last.entry == problem.entry && last.last + 1 == problem.first &&
        last.state == problem.state && last.reason == problem.reason) {
      last.last = problem.last;
      return;
    }
  }
  problems->push_back(std::move(problem));
}

void SummariseEntry(const View& view, const proto::EntryRecord& entry, StatusReport* report) {
  EntrySummary summary;
  summary.name = entry.name();
  summary.keyed = entry.keyed();
  summary.members = view.ServingMembers(entry.name()).size();
  if (!entry.keyed()) {
    if (std::string reason = NoServingMemberReason(view, entry.name()); !reason.empty()) {
      AddProblem({entry.name(), 0, 0, 0, "unserved", std::move(reason)}, &report->problems);
    }
    report->entries.push_back(std::move(summary));
    return;
  }
  summary.slices = entry.slices();
  for (std::uint32_t index = 0; index < entry.slices(); ++index) {
    static const proto::SliceRecord unassigned;
    const auto pack = view.Packs().find(SlicePackKey(entry.name(), index));
    const int offset = static_cast<int>(index % kSlicesPerPack);
    const bool known = pack != view.Packs().end() && offset < pack->second.record().slices_size();
    const proto::SliceRecord& slice = known ? pack->second.record().slices(offset) : unassigned;
    summary.owned += slice.state() == proto::SLICE_STATE_OWNED ? 1 : 0;
    summary.releasing += slice.state() == proto::SLICE_STATE_RELEASING ? 1 : 0;
    summary.unassigned += slice.state() == proto::SLICE_STATE_UNASSIGNED ? 1 : 0;
    if (slice.state() != proto::SLICE_STATE_UNASSIGNED) {
      ++report->slices_by_owner[slice.owner()];
    }
    auto [state, reason] = DescribeSliceProblem(view, entry.name(), index, slice);
    if (!reason.empty()) {
      AddProblem({entry.name(), index, index, 0, std::move(state), std::move(reason)}, &report->problems);
    }
  }
  for (std::uint32_t first = 0; first < entry.slices(); first += kSlicesPerPack) {
    const auto pack = view.Packs().find(SlicePackKey(entry.name(), first));
    if (pack == view.Packs().end()) {
      continue;
    }
    for (const proto::HotKeyRecord& hot_key : pack->second.record().hot_keys()) {
      ++summary.hot_keys;
      auto [state, reason] = DescribeSliceProblem(view, entry.name(), first, hot_key.slice());
      if (!reason.empty()) {
        AddProblem({entry.name(), 0, 0, hot_key.key_hash(), std::move(state), std::move(reason)}, &report->problems);
      }
    }
  }
  report->entries.push_back(std::move(summary));
}

std::string_view MemberStateName(const proto::MemberRecord& member) {
  switch (member.state()) {
    case proto::MEMBER_STATE_ACTIVE:
      return "active";
    case proto::MEMBER_STATE_DRAINING:
      return "draining";
    default:
      return "gone";
  }
}

std::string FormatProblemSlices(const SliceProblem& problem) {
  if (problem.hot_key != 0) {
    return fmt::format("hot key {:016x}", problem.hot_key);
  }
  if (problem.state == "unserved") {
    return "-";
  }
  return problem.first == problem.last ? Cat(problem.first) : Cat(problem.first, "-", problem.last);
}

std::string FormatStatusTable(const View& view, const StatusReport& report) {
  std::string out;
  const auto line = [&out](fmt::string_view format, const auto&... values) {
    fmt::vformat_to(std::back_inserter(out), format, fmt::make_format_args(values...));
    out += '\n';
  };
  if (report.version == 0) {
    line("catalogue: none");
  } else {
    line("catalogue: version {}, {} at {}", report.version, report.version_author, FormatTime(report.version_ms));
  }
  line("\n{:<20} {:<9} {:>7} {:>7} {:>7} {:>10} {:>10} {:>8}", "ENTRY", "ROUTING", "MEMBERS", "SLICES", "OWNED",
       "RELEASING", "UNASSIGNED", "HOT KEYS");
  for (const EntrySummary& entry : report.entries) {
    line("{:<20} {:<9} {:>7} {:>7} {:>7} {:>10} {:>10} {:>8}", entry.name, entry.keyed ? "keyed" : "balanced",
         entry.members, entry.slices, entry.owned, entry.releasing, entry.unassigned, entry.hot_keys);
  }
  line("\n{:<20} {:<14} {:<16} {:<20} {:<9} {:<7} {:>7} {}", "MEMBER", "REGION", "DOMAIN", "ENTRY", "STATE", "FENCED",
       "SLICES", "WITNESSES");
  for (const auto& [node, member] : view.Members()) {
    const proto::MemberRecord& record = member.record();
    std::string witnesses;
    for (const proto::Incarnation& witness : record.witnesses()) {
      AppendText(&witnesses, witnesses.empty() ? "" : ",", witness.node());
    }
    const auto slices = report.slices_by_owner.find(node);
    line("{:<20} {:<14} {:<16} {:<20} {:<9} {:<7} {:>7} {}", node, record.region(), record.domain(),
         record.entry().empty() ? std::string("-") : record.entry(), MemberStateName(record),
         record.fenced() ? "yes" : "no", slices == report.slices_by_owner.end() ? 0 : slices->second, witnesses);
  }
  line("\n{:<16} {:<32} {:<20} {:>6}", "ROLE", "NAME", "NODE", "TERM");
  for (const auto& [key, role] : view.Roles()) {
    line("{:<16} {:<32} {:<20} {:>6}", role.record().kind(), role.record().name(), role.record().node(),
         role.record().term());
  }
  line("\n{:<16} {:<5} {:>7}", "DOMAIN", "STATE", "MEMBERS");
  std::map<std::string, std::size_t> members_by_domain;
  for (const auto& [name, domain] : view.Domains()) {
    members_by_domain[name];
  }
  for (const auto& [node, member] : view.Members()) {
    ++members_by_domain[member.record().domain()];
  }
  for (const auto& [name, members] : members_by_domain) {
    line("{:<16} {:<5} {:>7}", name, view.IsDomainOut(name) ? "out" : "in", members);
  }
  if (report.problems.empty()) {
    line("\nevery entry is served");
    return out;
  }
  line("\n{:<20} {:<24} {:<12} {}", "ENTRY", "UNAVAILABLE", "STATE", "REASON");
  for (const SliceProblem& problem : report.problems) {
    line("{:<20} {:<24} {:<12} {}", problem.entry, FormatProblemSlices(problem), problem.state, problem.reason);
  }
  return out;
}

// Incarnations are written as strings, because many JSON parsers lose the precision of 64-bit integers.
std::string FormatStatusJson(const View& view, const StatusReport& report) {
  using Json = nlohmann::ordered_json;
  Json json{{"catalogue_version", report.version}, {"author", report.version_author}, {"unix_ms", report.version_ms}};
  json["entries"] = Json::array();
  for (const EntrySummary& entry : report.entries) {
    json["entries"].push_back({{"name", entry.name},
                               {"keyed", entry.keyed},
                               {"members", entry.members},
                               {"slices", entry.slices},
                               {"owned", entry.owned},
                               {"releasing", entry.releasing},
                               {"unassigned", entry.unassigned},
                               {"hot_keys", entry.hot_keys}});
  }
  json["members"] = Json::array();
  for (const auto& [node, member] : view.Members()) {
    const proto::MemberRecord& record = member.record();
    Json witnesses = Json::array();
    for (const proto::Incarnation& witness : record.witnesses()) {
      witnesses.push_back(witness.node());
    }
    const auto slices = report.slices_by_owner.find(node);
    json["members"].push_back({{"node", node},
                               {"incarnation", std::to_string(record.incarnation())},
                               {"region", record.region()},
                               {"domain", record.domain()},
                               {"entry", record.entry()},
                               {"state", MemberStateName(record)},
                               {"fenced", record.fenced()},
                               {"accepts_work", view.AcceptsWork(record)},
                               {"slices", slices == report.slices_by_owner.end() ? 0 : slices->second},
                               {"ip", record.ip()},
                               {"ingress_port", record.ingress_port()},
                               {"admin_port", record.admin_port()},
                               {"witnesses", witnesses}});
  }
  json["roles"] = Json::array();
  for (const auto& [key, role] : view.Roles()) {
    const proto::RoleRecord& record = role.record();
    json["roles"].push_back(
        {{"kind", record.kind()}, {"name", record.name()}, {"node", record.node()}, {"term", record.term()}});
  }
  json["domains"] = Json::array();
  for (const auto& [name, domain] : view.Domains()) {
    json["domains"].push_back({{"name", name}, {"out", domain.record().out()}});
  }
  json["problems"] = Json::array();
  for (const SliceProblem& problem : report.problems) {
    json["problems"].push_back({{"entry", problem.entry},
                                {"slices", FormatProblemSlices(problem)},
                                {"state", problem.state},
                                {"reason", problem.reason}});
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace

CtlResult CtlStatus(const CtlContext& context, bool json) {
  ViewBuilder builder;
  StatusReport report;
  for (const std::string_view prefix : {kCataloguePrefix, kMemberPrefix, kSlicesPrefix, kRolePrefix}) {
    const absl::StatusOr<StoreRange> range = context.store->Range(std::string(prefix), false);
    if (!range.ok()) {
      return StoreUnavailable(range.status());
    }
    for (const StoreKv& kv : range->kvs) {
      proto::CatalogueVersion version;
      if (kv.key == kCatalogueVersionKey && version.ParseFromString(kv.value)) {
        report.version = version.number();
        report.version_author = CleanText(version.author(), kAuditMaxFieldBytes);
        report.version_ms = version.unix_ms();
        continue;
      }
      proto::ViewRecord record;
      record.set_key(kv.key);
      record.set_revision(kv.mod_revision);
      record.set_value(kv.value);
      builder.Apply(record);
    }
  }
  const std::shared_ptr<const View> view = builder.Snapshot();
  for (const auto& [name, entry] : view->Entries()) {
    SummariseEntry(*view, entry.record(), &report);
  }
  return {kCtlSuccess, json ? FormatStatusJson(*view, report) : FormatStatusTable(*view, report), ""};
}

}  // namespace magnoliaarch
