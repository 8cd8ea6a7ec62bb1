#include "magnoliaarch/view.h"

#include <catch2/catch.hpp>

#include "magnoliaarch/error.h"
#include "magnoliaarch/ring.h"

namespace magnoliaarch {
namespace {

proto::ViewRecord DomainAt(std::int64_t revision, bool out) {
  proto::DomainRecord domain;
  domain.set_name("ishikari-a");
  domain.set_out(out);
  proto::ViewRecord record;
  record.set_key(std::string(kDomainPrefix) + "ishikari-a");
  record.set_revision(revision);
  record.set_value(domain.SerializeAsString());
  return record;
}

TEST_CASE("a view ignores records older than those it holds") {
  GIVEN("a view in which a failure domain was taken out of service at revision 7") {
    ViewBuilder builder;
    REQUIRE(builder.Apply(DomainAt(7, true)));
    const std::shared_ptr<const View> before = builder.Snapshot();

    // Guards against a late message that puts a drained failure domain back into service.
    WHEN("an older record arrives late") {
      CHECK_FALSE(builder.Apply(DomainAt(5, false)));
      THEN("the failure domain stays out of service") {
        CHECK(builder.Snapshot()->IsDomainOut("ishikari-a"));
      }
    }

    WHEN("a newer record arrives") {
      CHECK(builder.Apply(DomainAt(9, false)));
      THEN("a new snapshot shows the newer record and the old snapshot is unchanged") {
        CHECK_FALSE(builder.Snapshot()->IsDomainOut("ishikari-a"));
        CHECK(before->IsDomainOut("ishikari-a"));
      }
    }

    WHEN("the record is deleted and the older value arrives again") {
      proto::ViewRecord tombstone;
      tombstone.set_key(std::string(kDomainPrefix) + "ishikari-a");
      tombstone.set_revision(8);
      tombstone.set_deleted(true);
      CHECK(builder.Apply(tombstone));
      CHECK_FALSE(builder.Apply(DomainAt(7, true)));
      THEN("the record stays deleted") {
        CHECK_FALSE(builder.Snapshot()->IsDomainOut("ishikari-a"));
      }
    }
  }
}

TEST_CASE("every error kind maps to one response") {
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    CHECK(ParseErrorKind(answer.name) == answer.kind);
    CHECK(answer.status >= 400);
  }
  CHECK_FALSE(ParseErrorKind("no-such-kind").has_value());
}

TEST_CASE("a bounded ring rejects pushes when full or closed and keeps its elements") {
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.TryPop() == 1);
  ring.Close();
  CHECK_FALSE(ring.TryPush(4));
  CHECK(ring.TryPop() == 2);
  CHECK_FALSE(ring.TryPop().has_value());
}

}  // namespace
}  // namespace magnoliaarch
