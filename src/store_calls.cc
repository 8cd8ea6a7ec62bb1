#include "store_calls_p.h"

#include <optional>

#include "magnoliaarch/audit.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {
namespace {

std::string MemberKey(const std::string& node) {
  return std::string(kMemberPrefix) + node;
}

WriteDone ToWriteDone(const std::string& write_id, const absl::StatusOr<StoreTxnResult>& result) {
  WriteDone done;
  done.write_id = write_id;
  if (result.ok()) {
    done.outcome = result->succeeded ? WriteOutcome::kSucceeded : WriteOutcome::kConditionFailed;
    done.revision = result->succeeded ? result->revision : 0;
  } else {
    done.outcome = absl::IsUnavailable(result.status()) ? WriteOutcome::kNoEffect : WriteOutcome::kUnknown;
  }
  return done;
}

template <typename Record>
std::optional<Versioned<Record>> ParseKv(const StoreRange& range) {
  Record record;
  if (range.kvs.empty() || !record.ParseFromString(range.kvs.front().value)) {
    return std::nullopt;
  }
  return Versioned<Record>(std::move(record), range.kvs.front().mod_revision);
}

std::uint64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

StoreCalls::StoreCalls(asio::io_context& context, StoreThread* thread, MetricsRegistry* metrics)
    : m_context(context),
      m_thread(thread),
      m_calls(metrics->GetCounter("magnolia_store_calls_total", "Calls to the store.")),
      m_refused(metrics->GetCounter("magnolia_store_calls_refused_total", "Store calls refused by a full ring.")) {}

void StoreCalls::Read(const ReadMember& read, std::function<void(const MemberReadDone&)> done) {
  MemberReadDone refused;
  refused.node = read.node;
  Call<MemberReadDone>(
      [node = read.node](Store& store) {
        MemberReadDone result;
        result.node = node;
        const absl::StatusOr<StoreRange> range = store.Range(MemberKey(node), true);
        result.ok = range.ok();
        if (range.ok()) {
          result.member = ParseKv<proto::MemberRecord>(*range);
        }
        return result;
      },
      std::move(done), refused);
}

void StoreCalls::Read(const ReadPack& read, std::function<void(const PackReadDone&)> done) {
  Call<PackReadDone>(
      [key = read.key](Store& store) {
        PackReadDone result;
        const absl::StatusOr<StoreRange> range = store.Range(key, true);
        result.ok = range.ok();
        if (range.ok()) {
          result.pack = ParseKv<proto::SlicePack>(*range);
        }
        return result;
      },
      std::move(done), PackReadDone{});
}

void StoreCalls::Write(const WriteMember& write, std::function<void(const WriteDone&)> done) {
  const std::string key = MemberKey(write.record.node());
  proto::MemberRecord record = write.record;
  record.set_write_id(write.write_id);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{key, write.expected_revision});
  txn.puts.push_back(StorePut{key, record.SerializeAsString(), 0});
  RunTxn(write.write_id, std::move(txn), std::move(done));
}

void StoreCalls::Write(const WritePack& write, std::function<void(const WriteDone&)> done) {
  proto::SlicePack pack = write.pack;
  pack.set_write_id(write.write_id);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{write.key, write.expected_revision});
  for (const auto& [node, revision] : write.member_revisions) {
    txn.compares.push_back(StoreCompare{MemberKey(node), revision});
  }
  txn.puts.push_back(StorePut{write.key, pack.SerializeAsString(), 0});
  RunTxn(write.write_id, std::move(txn), std::move(done));
}

void StoreCalls::WriteAuditRecord(const std::string& author, const AssignmentChange& change) {
  AuditEvent event;
  event.unix_ms = UnixMillis();
  event.author = author;
  event.action = change.action;
  event.subject = change.subject;
  event.old_version = std::to_string(change.old_epoch);
  event.new_version = std::to_string(change.new_epoch);
  Call<bool>(
      [event](Store& store) {
        StoreTxn txn;
        AddAuditRecord(event, RequestId::Random().ToString(), &txn);
        return store.Txn(txn).ok();
      },
      [](const bool&) {}, false);
}

void StoreCalls::RunTxn(const std::string& write_id, StoreTxn txn, std::function<void(const WriteDone&)> done) {
  WriteDone refused;
  refused.write_id = write_id;
  refused.outcome = WriteOutcome::kNoEffect;
  Call<WriteDone>([write_id, txn = std::move(txn)](Store& store) { return ToWriteDone(write_id, store.Txn(txn)); },
                  std::move(done), refused);
}

}  // namespace magnoliaarch
