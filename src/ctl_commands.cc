#include "ctl_commands_p.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iterator>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ctl_results_p.h"
#include "magnolia.pb.h"
#include "magnoliaarch/audit.h"
#include "magnoliaarch/catalogue.h"
#include "magnoliaarch/view.h"
#include "magnoliaarch/workspace_keys.h"
#include "text_p.h"

namespace magnoliaarch {

std::string FormatTime(std::uint64_t unix_ms) {
  const std::time_t seconds = static_cast<std::time_t>(unix_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                     parts.tm_hour, parts.tm_min, parts.tm_sec);
}

std::string StatusText(const absl::Status& status) {
  return std::string(status.message().data(), status.message().size());
}

CtlResult StoreUnavailable(const absl::Status& status) {
  return {kCtlStoreUnavailable, "",
          Cat("the store cannot be reached: ", StatusText(status),
              "\nCheck --store and the store's health, then run the command again.\n")};
}

namespace {

// Attempts to commit a change or to find out whether a change whose answer was lost was committed, one second apart.
constexpr int kMaxCommitAttempts = 5;
constexpr Duration kCommitRetryDelay = std::chrono::seconds(1);
// Attempts to change one record while other operators are changing other records.
constexpr int kMaxConflictAttempts = 5;
constexpr std::uint64_t kDayMs = 86'400'000;

// The stored catalogue at one revision.
struct StoredCatalogue {
  Catalogue catalogue;
  proto::CatalogueVersion version;
  std::int64_t version_revision = 0;              // 0: no catalogue is stored
  std::map<std::string, std::int64_t> revisions;  // by store key
};

enum class CommitStatus { kCommitted, kConflict, kUnavailable, kRejectedByStore, kUnknown };

struct CommitResult {
  CommitStatus outcome = CommitStatus::kUnavailable;
  absl::Status status;
};

CtlResult BadInputResult(const std::string& message) {
  return {kCtlBadInput, "", message + "\n"};
}

std::string RecordKey(RecordKind kind, const std::string& name) {
  switch (kind) {
    case RecordKind::kEntry:
      return Cat(kEntryPrefix, name);
    case RecordKind::kWorkspace:
      return Cat(kWorkspacePrefix, name);
    case RecordKind::kDomain:
      break;
  }
  return Cat(kDomainPrefix, name);
}

template <typename Record>
absl::Status ParseRecord(const StoreKv& kv, std::string_view prefix, std::map<std::string, Record>* records) {
  Record record;
  if (!record.ParseFromString(kv.value)) {
    return absl::DataLossError(Cat("the record under ", kv.key, " cannot be parsed"));
  }
  (*records)[kv.key.substr(prefix.size())] = std::move(record);
  return absl::OkStatus();
}

absl::StatusOr<StoredCatalogue> ReadStoredCatalogue(Store& store) {
  absl::StatusOr<StoreRange> range = store.Range(std::string(kCataloguePrefix), false);
  if (!range.ok()) {
    return range.status();
  }
  StoredCatalogue stored;
  for (const StoreKv& kv : range->kvs) {
    stored.revisions[kv.key] = kv.mod_revision;
    absl::Status status;
    if (kv.key == kCatalogueVersionKey) {
      stored.version_revision = kv.mod_revision;
      if (!stored.version.ParseFromString(kv.value)) {
        status = absl::DataLossError(Cat("the record under ", kv.key, " cannot be parsed"));
      }
    } else if (kv.key.starts_with(kEntryPrefix)) {
      status = ParseRecord(kv, kEntryPrefix, &stored.catalogue.entries);
    } else if (kv.key.starts_with(kWorkspacePrefix)) {
      status = ParseRecord(kv, kWorkspacePrefix, &stored.catalogue.workspaces);
    } else if (kv.key.starts_with(kDomainPrefix)) {
      status = ParseRecord(kv, kDomainPrefix, &stored.catalogue.domains);
    }
    if (!status.ok()) {
      return status;
    }
  }
  return stored;
}

CtlResult ReadErrorResult(const absl::Status& status) {
  if (status.code() == absl::StatusCode::kDataLoss) {
    return {kCtlRefused, "", Cat("refused: ", StatusText(status), "; nothing was changed\n")};
  }
  return StoreUnavailable(status);
}

// Repeats the transaction until its outcome is known. The key of the audit record contains the write id, so the
// presence of the record proves the commit even if another operator has changed the catalogue since. Repeating the
// transaction is safe: all attempts have the same comparisons and write id, and at most one of them can succeed.
CommitResult RunUntilOutcomeKnown(const CtlContext& context, const StoreTxn& txn, const std::string& audit_key) {
  bool answer_lost = false;
  absl::Status last;
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    if (attempt > 0) {
      context.sleep(kCommitRetryDelay);
    }
    if (answer_lost) {
      const absl::StatusOr<StoreRange> audit = context.store->Range(audit_key, true);
      if (!audit.ok()) {
        last = audit.status();
        continue;
      }
      if (!audit->kvs.empty()) {
        return {CommitStatus::kCommitted, absl::OkStatus()};
      }
    }
    const absl::StatusOr<StoreTxnResult> result = context.store->Txn(txn);
    if (result.ok()) {
      if (result->succeeded) {
        return {CommitStatus::kCommitted, absl::OkStatus()};
      }
      if (!answer_lost) {
        return {CommitStatus::kConflict, absl::OkStatus()};
      }
      // The comparison may have failed because an earlier attempt of this write was committed.
      const absl::StatusOr<StoreRange> audit = context.store->Range(audit_key, true);
      if (audit.ok()) {
        return {audit->kvs.empty() ? CommitStatus::kConflict : CommitStatus::kCommitted, absl::OkStatus()};
      }
      last = audit.status();
      continue;
    }
    last = result.status();
    if (last.code() == absl::StatusCode::kInvalidArgument) {
      return {CommitStatus::kRejectedByStore, last};
    }
    if (last.code() == absl::StatusCode::kUnavailable) {
      if (!answer_lost) {
        return {CommitStatus::kUnavailable, last};
      }
    } else {
      answer_lost = true;
    }
  }
  return {CommitStatus::kUnknown, last};
}

// Adds the new catalogue version and the audit record to the transaction and commits it.
CommitResult CommitCatalogue(const CtlContext& context,
                             const StoredCatalogue& stored,
                             StoreTxn txn,
                             const std::string& action,
                             const std::string& subject) {
  const std::string write_id = context.make_write_id();
  proto::CatalogueVersion version;
  version.set_number(stored.version.number() + 1);
  version.set_write_id(write_id);
  version.set_author(CleanText(RedactWorkspaceKeys(context.author), kAuditMaxFieldBytes));
  version.set_unix_ms(context.now_ms);
  txn.compares.push_back({std::string(kCatalogueVersionKey), stored.version_revision});
  txn.puts.push_back({std::string(kCatalogueVersionKey), version.SerializeAsString(), 0});
  AddAuditRecord({context.now_ms, context.author, action, subject, Cat(stored.version.number()), Cat(version.number())},
                 write_id, &txn);
  return RunUntilOutcomeKnown(context, txn, AuditKey(context.now_ms, write_id));
}

// Returns the error for a change that was not committed.
CtlResult CommitErrorResult(const CtlContext& context,
                            const CommitResult& commit,
                            std::uint64_t base,
                            const std::string& advice) {
  switch (commit.outcome) {
    case CommitStatus::kConflict: {
      const absl::StatusOr<StoredCatalogue> stored = ReadStoredCatalogue(*context.store);
      const std::string newer_version =
          stored.ok() ? Cat(stored->version.author(), " committed version ", stored->version.number(), " at ",
                            FormatTime(stored->version.unix_ms()))
                      : std::string("another operator committed a newer version (the store no longer answers)");
      return {kCtlRefused, "",
              Cat("refused: ", newer_version, "; this change was made against version ", base,
                  "; nothing was changed\n", advice, "\n")};
    }
    case CommitStatus::kRejectedByStore:
      return {kCtlRefused, "", Cat("refused by the store: ", StatusText(commit.status), "; nothing was changed\n")};
    case CommitStatus::kUnknown:
      return {
          kCtlStoreUnavailable, "",
          Cat("outcome unknown: the store's answer was lost and it could not be read back: ", StatusText(commit.status),
              "\nThe change may have taken effect. When the store answers, run 'magnolia-ctl audit' to see.\n")};
    default:
      return {kCtlStoreUnavailable, "",
              Cat("the store cannot be reached: ", StatusText(commit.status), "; nothing was changed\n")};
  }
}

// Adds the write or deletion of a changed record to the transaction.
void AddChange(const CatalogueChange& change, const Catalogue& wanted, StoreTxn* txn) {
  const std::string key = RecordKey(change.kind, change.name);
  if (change.type == ChangeType::kRemoved) {
    txn->deletes.push_back(key);
    return;
  }
  switch (change.kind) {
    case RecordKind::kEntry:
      txn->puts.push_back({key, wanted.entries.at(change.name).SerializeAsString(), 0});
      break;
    case RecordKind::kWorkspace:
      txn->puts.push_back({key, wanted.workspaces.at(change.name).SerializeAsString(), 0});
      break;
    case RecordKind::kDomain:
      txn->puts.push_back({key, wanted.domains.at(change.name).SerializeAsString(), 0});
      break;
  }
}

std::string SummariseChanges(const std::vector<CatalogueChange>& changes) {
  std::string summary;
  for (const CatalogueChange& change : changes) {
    const char* verb = change.type == ChangeType::kAdded     ? "add"
                       : change.type == ChangeType::kRemoved ? "remove"
                                                             : "change";
    AppendText(&summary, summary.empty() ? "" : ", ", verb, " ", ToString(change.kind), " ", change.name);
  }
  return summary;
}

// Changes one record. Retries if another operator has changed a different record in the meantime. `edit` adds its
// writes to the transaction, or returns a result that ends the command.
CtlResult UpdateRecord(const CtlContext& context,
                       const std::string& record_key,
                       const std::string& action,
                       const std::string& subject,
                       const std::function<std::optional<CtlResult>(const StoredCatalogue&, StoreTxn*)>& edit,
                       const std::function<CtlResult(std::uint64_t version)>& on_committed) {
  std::optional<std::int64_t> first_revision;
  CommitResult commit;
  std::uint64_t base = 0;
  for (int attempt = 0; attempt < kMaxConflictAttempts; ++attempt) {
    const absl::StatusOr<StoredCatalogue> stored = ReadStoredCatalogue(*context.store);
    if (!stored.ok()) {
      return ReadErrorResult(stored.status());
    }
    const auto found = stored->revisions.find(record_key);
    const std::int64_t revision = found == stored->revisions.end() ? 0 : found->second;
    if (first_revision && *first_revision != revision) {
      break;
    }
    first_revision = revision;
    base = stored->version.number();
    StoreTxn txn;
    if (std::optional<CtlResult> result = edit(*stored, &txn)) {
      return *std::move(result);
    }
    commit = CommitCatalogue(context, *stored, std::move(txn), action, subject);
    if (commit.outcome == CommitStatus::kCommitted) {
      return on_committed(base + 1);
    }
    if (commit.outcome != CommitStatus::kConflict) {
      break;
    }
  }
  return CommitErrorResult(context, commit, base,
                           "Run 'magnolia-ctl get' to see the record, then run the command again.");
}

std::uint64_t LookbackStartMs(const CtlContext& context, const CtlReadOptions& options) {
  const std::uint64_t span = options.days * kDayMs;
  return context.now_ms > span ? context.now_ms - span : 0;
}

}  // namespace

CtlResult CtlCheck(std::string_view text, const std::string& file_name) {
  const absl::StatusOr<Catalogue> catalogue = ParseCatalogue(text, file_name);
  if (!catalogue.ok()) {
    return BadInputResult(StatusText(catalogue.status()));
  }
  return {kCtlSuccess,
          Cat(file_name, ": ", catalogue->entries.size(), " entries, ", catalogue->workspaces.size(), " workspaces, ",
              catalogue->domains.size(), " domains, no error\n"),
          ""};
}

CtlResult CtlDiff(const CtlContext& context, std::string_view text, const std::string& file_name) {
  const absl::StatusOr<Catalogue> file = ParseCatalogue(text, file_name);
  if (!file.ok()) {
    return BadInputResult(StatusText(file.status()));
  }
  const absl::StatusOr<StoredCatalogue> stored = ReadStoredCatalogue(*context.store);
  if (!stored.ok()) {
    return ReadErrorResult(stored.status());
  }
  const std::vector<CatalogueChange> changes =
      DiffCatalogues(stored->catalogue, MergeWithStored(*file, stored->catalogue));
  return {kCtlSuccess,
          Cat("against version ", stored->version.number(), changes.empty() ? ": no change\n" : ":\n",
              FormatChanges(changes)),
          ""};
}

CtlResult CtlApply(const CtlContext& context,
                   std::string_view text,
                   const std::string& file_name,
                   std::optional<std::uint64_t> expected_version) {
  const absl::StatusOr<Catalogue> file = ParseCatalogue(text, file_name);
  if (!file.ok()) {
    return BadInputResult(StatusText(file.status()) + "\nnothing was changed");
  }
  const absl::StatusOr<StoredCatalogue> stored = ReadStoredCatalogue(*context.store);
  if (!stored.ok()) {
    return ReadErrorResult(stored.status());
  }
  const std::string advice = Cat("Run 'magnolia-ctl diff ", file_name, "' to see what differs now, then apply again.");
  if (expected_version && *expected_version != stored->version.number()) {
    return CommitErrorResult(context, {CommitStatus::kConflict, absl::OkStatus()}, *expected_version, advice);
  }
  const Catalogue wanted = MergeWithStored(*file, stored->catalogue);
  const std::vector<CatalogueChange> changes = DiffCatalogues(stored->catalogue, wanted);
  if (changes.empty()) {
    return {kCtlSuccess, Cat("no change; the catalogue stays at version ", stored->version.number(), "\n"), ""};
  }
  if (changes.size() > kMaxChangesPerApply) {
    return BadInputResult(Cat(file_name, ": changes ", changes.size(), " records, expected at most ",
                              kMaxChangesPerApply, " in one apply; apply the file in steps; nothing was changed"));
  }
  StoreTxn txn;
  for (const CatalogueChange& change : changes) {
    AddChange(change, wanted, &txn);
  }
  const CommitResult commit =
      CommitCatalogue(context, *stored, std::move(txn), "catalogue.apply", SummariseChanges(changes));
  if (commit.outcome != CommitStatus::kCommitted) {
    return CommitErrorResult(context, commit, stored->version.number(), advice);
  }
  return {kCtlSuccess, Cat(FormatChanges(changes), "applied as version ", stored->version.number() + 1, "\n"), ""};
}

CtlResult CtlGet(const CtlContext& context) {
  const absl::StatusOr<StoredCatalogue> stored = ReadStoredCatalogue(*context.store);
  if (!stored.ok()) {
    return ReadErrorResult(stored.status());
  }
  if (stored->version_revision == 0) {
    return {kCtlSuccess, "; no catalogue is stored\n", ""};
  }
  return {kCtlSuccess,
          Cat("; version ", stored->version.number(), " by ", CleanText(stored->version.author(), kAuditMaxFieldBytes),
              " at ", FormatTime(stored->version.unix_ms()), "\n", FormatCatalogue(stored->catalogue)),
          ""};
}

CtlResult CtlHistory(const CtlContext& context, const CtlReadOptions& options) {
  const absl::StatusOr<std::vector<proto::AuditRecord>> records =
      ReadAudit(*context.store, LookbackStartMs(context, options), context.now_ms + kDayMs, SIZE_MAX);
  if (!records.ok()) {
    return StoreUnavailable(records.status());
  }
  CtlResult result;
  std::size_t shown = 0;
  for (const proto::AuditRecord& record : *records) {
    const bool is_catalogue = record.action() == "catalogue.apply" || record.action().starts_with("domain.") ||
                              record.action().starts_with("key.");
    if (is_catalogue && shown < options.limit) {
      ++shown;
      AppendText(&result.out, "version ", record.new_version(), "  ", FormatTime(record.unix_ms()), "  ",
                 record.author(), "  ", record.action(), "  ", record.subject(), "\n");
    }
  }
  return result;
}

CtlResult CtlAudit(const CtlContext& context, const CtlReadOptions& options) {
  // Reads one day into the future, because the clocks of other hosts may be ahead.
  const absl::StatusOr<std::vector<proto::AuditRecord>> records =
      ReadAudit(*context.store, LookbackStartMs(context, options), context.now_ms + kDayMs, options.limit);
  if (!records.ok()) {
    return StoreUnavailable(records.status());
  }
  CtlResult result;
  for (const proto::AuditRecord& record : *records) {
    AppendText(&result.out, FormatTime(record.unix_ms()), "  ", record.author(), "  ", record.action(), "  ",
               record.subject());
    if (!record.old_version().empty() || !record.new_version().empty()) {
      AppendText(&result.out, "  (", record.old_version(), " -> ", record.new_version(), ")");
    }
    result.out += '\n';
  }
  return result;
}

CtlResult CtlDomain(const CtlContext& context, const std::string& name, bool out) {
  if (!IsValidName(name)) {
    return BadInputResult(Cat("domain name '", name, "' is not valid; nothing was changed"));
  }
  const std::string state = out ? "out" : "in";
  const auto edit = [&](const StoredCatalogue& stored, StoreTxn* txn) -> std::optional<CtlResult> {
    const auto found = stored.catalogue.domains.find(name);
    if (found == stored.catalogue.domains.end()) {
      return BadInputResult(Cat("domain '", name, "' is not in the catalogue; nothing was changed"));
    }
    if (found->second.out() == out) {
      return CtlResult{kCtlSuccess, Cat("no change; domain ", name, " is already ", state, "\n"), ""};
    }
    proto::DomainRecord domain = found->second;
    domain.set_out(out);
    txn->puts.push_back({RecordKey(RecordKind::kDomain, name), domain.SerializeAsString(), 0});
    return std::nullopt;
  };
  return UpdateRecord(
      context, RecordKey(RecordKind::kDomain, name), "domain." + state, name, edit, [&](std::uint64_t version) {
        return CtlResult{kCtlSuccess, Cat("domain ", name, " is ", state, ", version ", version, "\n"), ""};
      });
}

CtlResult CtlKeyIssue(const CtlContext& context, const std::string& workspace) {
  const IssuedKey key = IssueWorkspaceKey();
  const auto edit = [&](const StoredCatalogue& stored, StoreTxn* txn) -> std::optional<CtlResult> {
    const auto found = stored.catalogue.workspaces.find(workspace);
    if (found == stored.catalogue.workspaces.end()) {
      return BadInputResult(Cat("workspace '", workspace, "' is not in the catalogue; nothing was changed"));
    }
    proto::WorkspaceRecord record = found->second;
    *record.add_keys() = key.hash;
    txn->puts.push_back({RecordKey(RecordKind::kWorkspace, workspace), record.SerializeAsString(), 0});
    return std::nullopt;
  };
  return UpdateRecord(context, RecordKey(RecordKind::kWorkspace, workspace), "key.issue",
                      Cat(workspace, " ", key.hash.key_id()), edit, [&](std::uint64_t version) {
                        return CtlResult{kCtlSuccess, key.text + "\n",
                                         Cat("issued key ", key.hash.key_id(), " to workspace ", workspace,
                                             ", version ", version, "; it cannot be shown again\n")};
                      });
}

CtlResult CtlKeyWithdraw(const CtlContext& context, const std::string& workspace, const std::string& key_id) {
  // Operators sometimes pass the whole key. Its secret must not appear in messages or audit records.
  const std::string_view pasted_id = ParseKeyId(key_id);
  const std::string id = pasted_id.empty() ? key_id : std::string(pasted_id);
  const auto edit = [&](const StoredCatalogue& stored, StoreTxn* txn) -> std::optional<CtlResult> {
    const auto found = stored.catalogue.workspaces.find(workspace);
    if (found == stored.catalogue.workspaces.end()) {
      return BadInputResult(Cat("workspace '", workspace, "' is not in the catalogue; nothing was changed"));
    }
    proto::WorkspaceRecord record = found->second;
    auto* keys = record.mutable_keys();
    const auto first_removed =
        std::remove_if(keys->begin(), keys->end(), [&](const auto& hash) { return hash.key_id() == id; });
    if (first_removed == keys->end()) {
      return BadInputResult(
          Cat("workspace '", workspace, "' has no key '", RedactWorkspaceKeys(id), "'; nothing was changed"));
    }
    keys->erase(first_removed, keys->end());
    txn->puts.push_back({RecordKey(RecordKind::kWorkspace, workspace), record.SerializeAsString(), 0});
    return std::nullopt;
  };
  return UpdateRecord(context, RecordKey(RecordKind::kWorkspace, workspace), "key.withdraw", Cat(workspace, " ", id),
                      edit, [&](std::uint64_t version) {
                        return CtlResult{
                            kCtlSuccess,
                            Cat("withdrew key ", id, " of workspace ", workspace, ", version ", version, "\n"), ""};
                      });
}

CtlResult CtlHostLost(const CtlContext& context, const std::string& node) {
  const std::string key = Cat(kMemberPrefix, node);
  std::optional<std::uint64_t> incarnation;
  for (int attempt = 0; attempt < kMaxConflictAttempts; ++attempt) {
    const absl::StatusOr<StoreRange> range = context.store->Range(key, true);
    if (!range.ok()) {
      return StoreUnavailable(range.status());
    }
    if (range->kvs.empty()) {
      return BadInputResult(Cat("node '", node, "' is not a member; nothing was changed"));
    }
    proto::MemberRecord member;
    if (!member.ParseFromString(range->kvs[0].value)) {
      return {kCtlRefused, "", Cat("refused: the record under ", key, " cannot be parsed; nothing was changed\n")};
    }
    // The command applies to the incarnation that was registered when it started.
    if (incarnation && *incarnation != member.incarnation()) {
      return {kCtlRefused, "",
              Cat("refused: node ", node, " registered again meanwhile, so it is alive; nothing was changed\n")};
    }
    incarnation = member.incarnation();
    if (member.fenced() && member.state() == proto::MEMBER_STATE_GONE) {
      return {kCtlSuccess, Cat("no change; node ", node, " is already declared lost\n"), ""};
    }
    const std::string write_id = context.make_write_id();
    member.set_fenced(true);
    member.set_state(proto::MEMBER_STATE_GONE);
    member.set_write_id(write_id);
    StoreTxn txn;
    txn.compares.push_back({key, range->kvs[0].mod_revision});
    txn.puts.push_back({key, member.SerializeAsString(), 0});
    AddAuditRecord(
        {context.now_ms, context.author, "host.lost", Cat(node, " incarnation ", member.incarnation()), "", ""},
        write_id, &txn);
    const CommitResult commit = RunUntilOutcomeKnown(context, txn, AuditKey(context.now_ms, write_id));
    if (commit.outcome == CommitStatus::kCommitted) {
      return {kCtlSuccess,
              Cat("node ", node, " is declared lost; its slices are granted elsewhere without its witnesses\n"), ""};
    }
    if (commit.outcome != CommitStatus::kConflict) {
      return CommitErrorResult(context, commit, 0, "");
    }
  }
  return {kCtlRefused, "",
          Cat("refused: the record of node ", node,
              " keeps changing, so its process seems to be alive; nothing was changed\n")};
}

}  // namespace magnoliaarch
