#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "magnolia.pb.h"
#include "magnoliaarch/store.h"
#include "magnoliaarch/store_writer.h"

namespace magnoliaarch {
namespace {

class MockStore : public Store {
 public:
  MAKE_MOCK2(Range, absl::StatusOr<StoreRange>(const std::string&, bool), override);
  MAKE_MOCK1(Txn, absl::StatusOr<StoreTxnResult>(const StoreTxn&), override);
  MAKE_MOCK1(GrantLease, absl::StatusOr<std::int64_t>(std::int64_t), override);
  MAKE_MOCK1(KeepLeaseAlive, absl::Status(std::int64_t), override);
  MAKE_MOCK1(RevokeLease, absl::Status(std::int64_t), override);
  MAKE_MOCK4(Watch,
             absl::Status(const std::string&,
                          std::int64_t,
                          const std::atomic<bool>&,
                          const std::function<void(const StoreWatchBatch&)>&),
             override);
};

// Guards against a second transaction for a write that was applied before its response was lost.
TEST_CASE("a write whose response was lost is read back and not retried") {
  using trompeloeil::_;
  MockStore store;
  StoreWriter writer(&store, StoreWriterOptions{}, [](Duration) {});
  proto::RoleRecord record;
  record.set_node("storefront-1");
  std::string stored;

  trompeloeil::sequence order;
  REQUIRE_CALL(store, Txn(_))
      .IN_SEQUENCE(order)
      .LR_SIDE_EFFECT(stored = _1.puts.at(0).value)
      .RETURN(absl::UnknownError("connection closed"));
  REQUIRE_CALL(store, Range("/magnolia/role/test", true))
      .IN_SEQUENCE(order)
      .LR_RETURN(StoreRange{9, {StoreKv{"/magnolia/role/test", stored, 8, 0}}});

  const absl::StatusOr<StoreWriteOutcome> outcome = writer.WriteRecord("/magnolia/role/test", record, 7);
  REQUIRE(outcome.ok());
  CHECK(outcome->applied);
  CHECK(outcome->revision == 8);
}

}  // namespace
}  // namespace magnoliaarch
