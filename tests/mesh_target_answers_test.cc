#include "mesh_target_fixture.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Guards against keys that are granted to another target while this one is still at work on them (OWNER).
TEST_CASE("a late answer to an earlier request is not the answer to a release") {
  TargetFixture node("desk");
  node.Configure();
  REQUIRE(node.Beat(1, 1).ok());
  node.Own(3, 1);
  REQUIRE(node.Until([&] { return node.target_server.Count("grant 0 3") == 1; }));
  node.Until([] { return false; }, milliseconds(20));
  node.target_server.late_answer_to = "r1";
  node.Own(3, 1, true);
  REQUIRE(node.Until([&] { return node.target_server.Count("release") == 1; }));
  node.Until([] { return false; }, milliseconds(300));
  CHECK(node.released.empty());
}

std::string RawAnswer(int status, const std::string& fields, const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST_CASE("a refusal that a target writes once more counts for no other send") {
  TargetFixture node("ledger", true);
  node.Configure();
  REQUIRE(node.Beat(1, 1).ok());
  RawTarget& target = node.raw_target;
  const std::string named = RawAnswer(503, "Request-Id: r1\r\nNot-Executed: 1\r\n");
  const std::string unnamed = RawAnswer(503, "Not-Executed: 1\r\n");
  const auto ok = [](const std::string& id) {
    return RawAnswer(200, "Request-Id: " + id + "\r\nResponse-Signature: s\r\n", "body");
  };
  const auto run = [&](GateTicket ticket, const std::string& id, const std::string& bytes) {
    const std::size_t before = target.requests.size();
    node.answers.erase(ticket);
    node.Send(ticket, false, false, id);
    REQUIRE(node.Until([&] { return target.requests.size() == before + 1; }));
    target.Write(target.requests.back().connection, bytes);
    REQUIRE(node.Until([&] { return node.answers.contains(ticket); }));
    return node.answers[ticket].outcome();
  };

  // Guards against "not run" for a request that runs (REFUSED, TWICE): a refusal without an id came once more while the
  // next request was under way.
  SECTION("without an id, while the next request of the connection runs") {
    CHECK(run(1, "r1", unnamed) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", unnamed) == proto::MESH_UNKNOWN);
    REQUIRE(node.Until([&] { return target.HasEnded(0); }));
  }
  SECTION("without an id, behind the answer to another request") {
    CHECK(run(1, "r1", unnamed) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", ok("r0") + unnamed) == proto::MESH_UNKNOWN);
    CHECK(run(3, "r3", ok("r0") + unnamed) == proto::MESH_UNKNOWN);
  }
  // Guards against "not run" for a second send that runs (REFUSED, TWICE): the refusal of the first came once more.
  SECTION("with the id, while the same request runs at its second send") {
    const bool between = GENERATE(false, true);
    CHECK(run(1, "r1", named) == proto::MESH_REJECTED);
    if (between) {
      CHECK(run(2, "r2", ok("r2")) == proto::MESH_ANSWERED);
    }
    const std::size_t first = target.requests.front().connection;
    const std::size_t before = target.requests.size();
    node.Send(3, false, false, "r1");
    REQUIRE(node.Until([&] { return target.requests.size() == before + 1; }));
    target.Write(first, named);
    node.Until([] { return false; }, milliseconds(30));
    CHECK_FALSE(node.answers.contains(3));
    target.Write(target.requests.back().connection, ok("r1"));
    REQUIRE(node.Until([&] { return node.answers.contains(3); }));
    CHECK(node.answers[3].outcome() == proto::MESH_ANSWERED);
    CHECK(node.target.Gate().Running() == 0);
  }
  SECTION("with the id, while another request runs") {
    CHECK(run(1, "r1", named) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", named + ok("r2")) == proto::MESH_ANSWERED);
  }
  SECTION("in the same read, and in a later one without a request") {
    CHECK(run(1, "r1", named + named) == proto::MESH_REJECTED);
    REQUIRE(node.Until([&] { return target.HasEnded(0); }));
    CHECK(run(2, "r1", named) == proto::MESH_REJECTED);
    CHECK(target.requests.back().connection == 1);
    target.Write(1, named);
    REQUIRE(node.Until([&] { return target.HasEnded(1); }));
    CHECK(run(3, "r1", ok("r1")) == proto::MESH_ANSWERED);
    CHECK(target.requests.back().connection == 2);
  }
  // Guards against connections that are opened for nothing.
  SECTION("ordinary refusals keep their connections") {
    for (int i = 1; i <= 20; ++i) {
      const std::string id = "r" + std::to_string(i);
      const std::string refusal = RawAnswer(503, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n");
      CHECK(run(1, id, refusal) == proto::MESH_REJECTED);
      // The second send goes over the other kept connection.
      CHECK(run(1, id, refusal) == proto::MESH_REJECTED);
    }
    CHECK(target.Connections() == 2);
  }
}

// Whether the request is a grant or a release.
bool IsKeyCall(const RawTarget::Request& request, const std::string& kind) {
  return request.head.starts_with("POST /api/" + kind + " ");
}

TEST_CASE("no other answer counts as the answer to a grant or a release") {
  TargetFixture node("desk", true);
  RawTarget& target = node.raw_target;
  const std::string granted = RawAnswer(200, "");
  const std::string released = RawAnswer(200, "Handover: token\r\n");
  const std::string ran = RawAnswer(200, "Request-Id: r1\r\nResponse-Signature: s\r\n", "body");
  const auto count = [&](const std::string& kind) {
    return std::count_if(target.requests.begin(), target.requests.end(),
                         [&](const RawTarget::Request& request) { return IsKeyCall(request, kind); });
  };
  std::map<std::string, std::string> answers = {{"grant", granted}, {"release", ""}};
  target.on_request = [&](const RawTarget::Request& request) {
    return IsKeyCall(request, "grant") ? answers["grant"] : IsKeyCall(request, "release") ? answers["release"] : ran;
  };
  node.Configure();
  REQUIRE(node.Beat(1, 1).ok());
  node.Own(3, 1);
  REQUIRE(node.Until([&] { return count("grant") == 1; }));
  const auto run = [&] {
    node.Send(1, true, true);
    REQUIRE(node.Until([&] { return node.answers.contains(1); }));
    REQUIRE(node.answers[1].outcome() == proto::MESH_ANSWERED);
  };
  const auto give_away = [&] {
    node.Own(3, 1, true);
    REQUIRE(node.Until([&] { return count("release") == 1; }));
    return target.requests.back().connection;
  };

  // Guards against two holders (OWNER): the answer to a request, written once more, ended a release.
  SECTION("the answer to a request, written once more while a release runs") {
    run();
    const std::size_t used = target.requests.back().connection;
    const std::size_t release = give_away();
    CHECK(release != used);
    target.Write(used, ran);
    target.Write(release, ran);
    node.Until([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
  }
  // Guards against two holders (OWNER): the answer to a grant, written once more, ended a release.
  SECTION("the answer to a grant, written once more while a release runs") {
    node.Until([] { return false; }, milliseconds(20));
    const std::size_t release = give_away();
    target.Write(release, granted);
    node.Until([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
    target.Write(release, released);
    REQUIRE(node.Until([&] { return !node.released.empty(); }, milliseconds(60)));
    CHECK(node.released[0].second == "token");
  }
  // Guards against two holders (OWNER): the answer to a release, written once more, ended the next one.
  SECTION("the answer to a release, written once more while the next one runs") {
    const std::size_t first = give_away();
    target.Write(first, released);
    REQUIRE(node.Until([&] { return !node.released.empty(); }));
    node.released.clear();
    node.Own(4, 1);
    REQUIRE(node.Until([&] { return count("grant") == 2; }));
    node.Until([] { return false; }, milliseconds(20));
    node.Own(4, 1, true);
    REQUIRE(node.Until([&] { return count("release") == 2; }));
    target.Write(first, released);
    node.Until([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
    target.Write(target.requests.back().connection, released);
    REQUIRE(node.Until([&] { return !node.released.empty(); }, milliseconds(60)));
  }
  // Guards against a request that runs elsewhere and here: a grant that the target had refused counted as given.
  SECTION("the answer to a request, written once more while a grant runs") {
    run();
    const std::size_t used = target.requests.back().connection;
    answers["grant"] = "";
    REQUIRE(node.Until([&] { return count("grant") == 2; }));
    const std::size_t grant = target.requests.back().connection;
    CHECK(grant != used);
    target.Write(grant, ran);
    REQUIRE(node.Until([&] { return target.HasEnded(grant); }, milliseconds(60)));
  }
  // Guards against two holders (OWNER): an earlier answer to a grant came first and hid that the grant was not carried
  // out yet.
  SECTION("bytes behind the answer to a grant leave the grant open") {
    answers["grant"] = granted + granted;
    REQUIRE(node.Until([&] { return count("grant") == 2; }));
    node.Until([] { return false; }, milliseconds(20));
    const TimePoint start = BootClock::now();
    node.Own(3, 1, true);
    answers["release"] = released;
    REQUIRE(node.Until([&] { return !node.released.empty(); }));
    CHECK(BootClock::now() - start > milliseconds(1500));
  }
  // Guards against connections that are opened for each renewal.
  SECTION("renewals keep their connection") {
    REQUIRE(node.Until([&] { return count("grant") == 4; }));
    CHECK(target.Connections() == 1);
    answers["release"] = released;
    const std::size_t release = give_away();
    CHECK(release == 0);
    REQUIRE(node.Until([&] { return !node.released.empty(); }));
  }
}

// Guards against a node that reads a faulty target without end, or that takes what it read for "not run" (REFUSED).
TEST_CASE("a request whose answer never ends may have run, and others are served") {
  TargetFixture node("ledger", true);
  node.Configure();
  REQUIRE(node.Beat(1, 1).ok());
  RawTarget& target = node.raw_target;
  const std::string refusal = "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n";
  const auto [head, repeated] = GENERATE_COPY(table<std::string, std::string>({
      {"", "x"},
      {refusal, "x"},
      {refusal, "a: b\r\n"},
      {refusal + "\r\n", "x"},
      {refusal + "Content-Length: 1000000000000\r\n\r\n", "x"},
      {refusal + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {refusal + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\nNot-Executed: 1\r\n\r\n"},
      {"", RawAnswer(503, "Request-Id: r0\r\nNot-Executed: 1\r\n")},
  }));
  node.Send(1, false, false);
  REQUIRE(node.Until([&] { return target.requests.size() == 1; }));
  target.WriteRepeatedly(0, head, repeated);
  node.Send(2, false, false);
  REQUIRE(node.Until([&] { return target.requests.size() == 2; }));
  target.Write(1, RawAnswer(200, "Request-Id: r2\r\nResponse-Signature: s\r\n", "body"));
  REQUIRE(node.Until([&] { return node.answers.contains(2); }, milliseconds(500)));
  CHECK(node.answers[2].outcome() == proto::MESH_ANSWERED);
  // Well before the request's own time is over.
  REQUIRE(node.Until([&] { return node.answers.contains(1); }, milliseconds(800)));
  CHECK(node.answers[1].outcome() == proto::MESH_UNKNOWN);
  REQUIRE(node.Until([&] { return target.HasEnded(0); }));
  CHECK(node.target.Gate().Running() == 0);
  CHECK_FALSE(node.target.Report(BootClock::now()).gone());
}

}  // namespace
}  // namespace magnoliaarch
