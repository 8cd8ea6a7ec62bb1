#include <catch2/catch.hpp>

#include <string>

#include "hmac_p.h"
#include "ownership_guard_p.h"
#include "share_service_p.h"

namespace magnoliaarch {
namespace {

const IncarnationId kSelf{"storefront-1", 11};
const std::string kEntryName = "storefront";

TimePoint At(int ms) {
  return TimePoint(std::chrono::seconds(100)) + std::chrono::milliseconds(ms);
}

void ApplyRecord(ViewBuilder* builder, const std::string& key, const std::string& value, std::int64_t revision) {
  proto::ViewRecord record;
  record.set_key(key);
  record.set_value(value);
  record.set_revision(revision);
  REQUIRE(builder->Apply(record));
  builder->Advance(revision);
}

// A view with one entry, whose only slice is granted to kSelf.
std::shared_ptr<const View> GrantedView(bool honours_deadline) {
  ViewBuilder builder;
  proto::EntryRecord entry;
  entry.set_name(kEntryName);
  entry.set_keyed(true);
  entry.set_slices(1);
  entry.set_honours_deadline(honours_deadline);
  ApplyRecord(&builder, std::string(kEntryPrefix) + kEntryName, entry.SerializeAsString(), 1);
  proto::SlicePack pack;
  pack.set_entry(kEntryName);
  proto::SliceRecord* slice = pack.add_slices();
  slice->set_owner(kSelf.node);
  slice->set_owner_incarnation(kSelf.number);
  slice->set_epoch(4);
  slice->set_state(proto::SLICE_STATE_OWNED);
  ApplyRecord(&builder, SlicePackKey(kEntryName, 0), pack.SerializeAsString(), 2);
  return builder.Snapshot();
}

Request KeyedRequest(TimePoint deadline) {
  Request request;
  request.id = RequestId{1, 2};
  request.entry = kEntryName;
  request.keyed = true;
  request.key_hash = 77;
  request.slice = SliceHandle{0};
  request.epoch = 4;
  request.deadline = deadline;
  return request;
}

proto::ReleaseRequest ReleaseOfSlice() {
  proto::ReleaseRequest release;
  release.set_entry(kEntryName);
  release.set_slice(0);
  release.set_epoch(4);
  release.set_owner_incarnation(kSelf.number);
  return release;
}

TEST_CASE("the ownership guard permits only requests for slices that this node owns") {
  GIVEN("a node that owns the slice and holds its lease") {
    OwnershipGuard guard(kSelf, kEntryName);
    guard.SetView(GrantedView(true));
    guard.SetLease(At(900), At(0));
    const Request request = KeyedRequest(At(2000));
    CHECK_FALSE(guard.Check(request, At(100)).has_value());

    // Guards against a process that was paused and sends although its lease lapsed in the meantime.
    THEN("no request is sent from the lapse of the lease until its renewal") {
      CHECK(guard.BeginSend(request, At(901)) == ErrorKind::kLeaseLapsed);
      const std::uint64_t before = guard.LeaseGeneration();
      guard.SetLease(At(2000), At(1100));
      CHECK_FALSE(guard.BeginSend(request, At(1200)).has_value());
      CHECK(guard.LeaseGeneration() > before);
    }

    // Guards against granting the slice to a new owner while a request of the previous owner is still running.
    WHEN("a release is requested while a request is in flight at the target") {
      REQUIRE_FALSE(guard.BeginSend(request, At(100)).has_value());
      const std::optional<proto::ReleaseReply> early = guard.Release(ReleaseOfSlice());
      THEN("the release is confirmed only after the request has ended, and no further request is sent") {
        REQUIRE(early.has_value());
        CHECK_FALSE(early->released());
        Request second = request;
        second.id = RequestId{3, 4};
        CHECK(guard.BeginSend(second, At(110)) == ErrorKind::kWrongOwner);
        guard.EndSend(request.id);
        const std::optional<proto::ReleaseReply> late = guard.Release(ReleaseOfSlice());
        REQUIRE(late.has_value());
        CHECK(late->released());
      }
    }
  }

  GIVEN("a target that neither checks fence epochs nor honours deadlines") {
    OwnershipGuard guard(kSelf, kEntryName);
    guard.SetView(GrantedView(false));
    guard.SetLease(At(900), At(0));

    // Guards against requests that are still running at such a target after the key was granted to another owner.
    THEN("a request is sent only if its deadline is before the end of the lease") {
      CHECK(guard.BeginSend(KeyedRequest(At(1000)), At(100)) == ErrorKind::kLeaseLapsed);
      CHECK_FALSE(guard.BeginSend(KeyedRequest(At(800)), At(100)).has_value());
    }
  }
}

TEST_CASE("a datagram is accepted only with the secret it was authenticated with") {
  const std::string datagram = SignDatagram("cluster secret", "renew");
  CHECK(VerifyDatagram("cluster secret", datagram).value() == "renew");
  // Guards against a sender without the secret that renews or stops leases.
  CHECK_FALSE(VerifyDatagram("another secret", datagram).ok());
  std::string changed = datagram;
  changed.back() = 'x';
  CHECK_FALSE(VerifyDatagram("cluster secret", changed).ok());
  CHECK_FALSE(VerifyDatagram("cluster secret", "short").ok());
}

TEST_CASE("a request waits for the workspace's rate share and is then admitted or refused") {
  ShareService shares(kSelf);
  std::vector<std::optional<ErrorKind>> decisions;
  shares.Admit("sapporo-guild", At(0), [&](std::optional<ErrorKind> refusal) { decisions.push_back(refusal); });
  REQUIRE(decisions.empty());
  const std::vector<proto::ShareReport> reports = shares.Tick(At(1));
  REQUIRE(reports.size() == 1);

  WHEN("the allocator grants a share") {
    proto::ShareGrant grant;
    grant.set_workspace("sapporo-guild");
    grant.set_holder_incarnation(kSelf.number);
    grant.set_term(1);
    grant.set_rate(100);
    grant.set_burst(10);
    grant.set_valid_ms(4000);
    grant.set_sequence(reports[0].sequence());
    shares.OnGrant(grant, At(5));
    for (int ms = 10; ms <= 60 && decisions.empty(); ms += 10) {
      shares.Tick(At(ms));
    }
    THEN("the request is admitted") {
      REQUIRE(decisions.size() == 1);
      CHECK_FALSE(decisions[0].has_value());
    }
  }

  // Guards against a request that waits forever if the allocator is lost.
  WHEN("no grant arrives") {
    for (int ms = 20; ms <= 400; ms += 20) {
      shares.Tick(At(ms));
    }
    THEN("the request is refused") {
      REQUIRE(decisions.size() == 1);
      CHECK(decisions[0] == ErrorKind::kRateExceeded);
      CHECK(shares.Waiting() == 0);
    }
  }
}

}  // namespace
}  // namespace magnoliaarch
