#include "mesh_target_fixture.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Guards against granting keys to another target while this one is still executing requests for them.
TEST_CASE("a late answer to an earlier request is not taken for the answer to a release") {
  TargetFixture node("desk");
  node.Configure();
  REQUIRE(node.SendHeartbeat(1, 1).ok());
  node.AssignAllKeys(3, 1);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("grant 0 3") == 1; }));
  node.WaitUntil([] { return false; }, milliseconds(20));
  node.target_server.stale_answer_id = "r1";
  node.AssignAllKeys(3, 1, true);
  REQUIRE(node.WaitUntil([&] { return node.target_server.Count("release") == 1; }));
  node.WaitUntil([] { return false; }, milliseconds(300));
  CHECK(node.released.empty());
}

std::string RawAnswer(int status, const std::string& fields, const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST_CASE("a duplicate refusal is not taken for the answer to another send") {
  TargetFixture node("ledger", true);
  node.Configure();
  REQUIRE(node.SendHeartbeat(1, 1).ok());
  RawTarget& target = node.raw_target;
  const std::string refusal_with_id = RawAnswer(503, "Request-Id: r1\r\nNot-Executed: 1\r\n");
  const std::string refusal_without_id = RawAnswer(503, "Not-Executed: 1\r\n");
  const auto ok = [](const std::string& id) {
    return RawAnswer(200, "Request-Id: " + id + "\r\nResponse-Signature: s\r\n", "body");
  };
  const auto run = [&](AdmissionTicket ticket, const std::string& id, const std::string& bytes) {
    const std::size_t before = target.requests.size();
    node.answers.erase(ticket);
    node.Send(ticket, false, false, id);
    REQUIRE(node.WaitUntil([&] { return target.requests.size() == before + 1; }));
    target.Write(target.requests.back().connection, bytes);
    REQUIRE(node.WaitUntil([&] { return node.answers.contains(ticket); }));
    return node.answers[ticket].outcome();
  };

  // Guards against reporting a running request as not executed: a duplicate of a refusal without an id arrived while
  // the next request was in progress.
  SECTION("a duplicate without an id arrives while the next request on the connection is running") {
    CHECK(run(1, "r1", refusal_without_id) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", refusal_without_id) == proto::MESH_UNKNOWN);
    REQUIRE(node.WaitUntil([&] { return target.HasEnded(0); }));
  }
  SECTION("a duplicate without an id arrives after the answer to another request") {
    CHECK(run(1, "r1", refusal_without_id) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", ok("r0") + refusal_without_id) == proto::MESH_UNKNOWN);
    CHECK(run(3, "r3", ok("r0") + refusal_without_id) == proto::MESH_UNKNOWN);
  }
  // Guards against reporting a running second send as not executed: a duplicate of the refusal of the first send
  // arrived.
  SECTION("a duplicate with the id arrives while the second send of the request is running") {
    const bool between = GENERATE(false, true);
    CHECK(run(1, "r1", refusal_with_id) == proto::MESH_REJECTED);
    if (between) {
      CHECK(run(2, "r2", ok("r2")) == proto::MESH_ANSWERED);
    }
    const std::size_t first = target.requests.front().connection;
    const std::size_t before = target.requests.size();
    node.Send(3, false, false, "r1");
    REQUIRE(node.WaitUntil([&] { return target.requests.size() == before + 1; }));
    target.Write(first, refusal_with_id);
    node.WaitUntil([] { return false; }, milliseconds(30));
    CHECK_FALSE(node.answers.contains(3));
    target.Write(target.requests.back().connection, ok("r1"));
    REQUIRE(node.WaitUntil([&] { return node.answers.contains(3); }));
    CHECK(node.answers[3].outcome() == proto::MESH_ANSWERED);
    CHECK(node.target.Queue().Running() == 0);
  }
  SECTION("a duplicate with the id arrives while another request is running") {
    CHECK(run(1, "r1", refusal_with_id) == proto::MESH_REJECTED);
    CHECK(run(2, "r2", refusal_with_id + ok("r2")) == proto::MESH_ANSWERED);
  }
  SECTION("a duplicate arrives in the same read or in a later read while no request is running") {
    CHECK(run(1, "r1", refusal_with_id + refusal_with_id) == proto::MESH_REJECTED);
    REQUIRE(node.WaitUntil([&] { return target.HasEnded(0); }));
    CHECK(run(2, "r1", refusal_with_id) == proto::MESH_REJECTED);
    CHECK(target.requests.back().connection == 1);
    target.Write(1, refusal_with_id);
    REQUIRE(node.WaitUntil([&] { return target.HasEnded(1); }));
    CHECK(run(3, "r1", ok("r1")) == proto::MESH_ANSWERED);
    CHECK(target.requests.back().connection == 2);
  }
  // Guards against opening connections needlessly.
  SECTION("connections are reused after ordinary refusals") {
    for (int i = 1; i <= 20; ++i) {
      const std::string id = "r" + std::to_string(i);
      const std::string refusal = RawAnswer(503, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n");
      CHECK(run(1, id, refusal) == proto::MESH_REJECTED);
      // The second send uses the other open connection.
      CHECK(run(1, id, refusal) == proto::MESH_REJECTED);
    }
    CHECK(target.Connections() == 2);
  }
}

// Whether the request is a key call of this kind (grant or release).
bool IsKeyCall(const RawTarget::Request& request, const std::string& kind) {
  return request.head.starts_with("POST /api/" + kind + " ");
}

TEST_CASE("no other answer is taken for the answer to a grant or a release") {
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
  REQUIRE(node.SendHeartbeat(1, 1).ok());
  node.AssignAllKeys(3, 1);
  REQUIRE(node.WaitUntil([&] { return count("grant") == 1; }));
  const auto run = [&] {
    node.Send(1, true, true);
    REQUIRE(node.WaitUntil([&] { return node.answers.contains(1); }));
    REQUIRE(node.answers[1].outcome() == proto::MESH_ANSWERED);
  };
  const auto start_release = [&] {
    node.AssignAllKeys(3, 1, true);
    REQUIRE(node.WaitUntil([&] { return count("release") == 1; }));
    return target.requests.back().connection;
  };

  // Guards against two holders of a key: a duplicate answer to a request completed a release.
  SECTION("a duplicate answer to a request arrives while a release is in progress") {
    run();
    const std::size_t used = target.requests.back().connection;
    const std::size_t release = start_release();
    CHECK(release != used);
    target.Write(used, ran);
    target.Write(release, ran);
    node.WaitUntil([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
  }
  // Guards against two holders of a key: a duplicate answer to a grant completed a release.
  SECTION("a duplicate answer to a grant arrives while a release is in progress") {
    node.WaitUntil([] { return false; }, milliseconds(20));
    const std::size_t release = start_release();
    target.Write(release, granted);
    node.WaitUntil([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
    target.Write(release, released);
    REQUIRE(node.WaitUntil([&] { return !node.released.empty(); }, milliseconds(60)));
    CHECK(node.released[0].second == "token");
  }
  // Guards against two holders of a key: a duplicate answer to a release completed the next release.
  SECTION("a duplicate answer to a release arrives while the next release is in progress") {
    const std::size_t first = start_release();
    target.Write(first, released);
    REQUIRE(node.WaitUntil([&] { return !node.released.empty(); }));
    node.released.clear();
    node.AssignAllKeys(4, 1);
    REQUIRE(node.WaitUntil([&] { return count("grant") == 2; }));
    node.WaitUntil([] { return false; }, milliseconds(20));
    node.AssignAllKeys(4, 1, true);
    REQUIRE(node.WaitUntil([&] { return count("release") == 2; }));
    target.Write(first, released);
    node.WaitUntil([] { return false; }, milliseconds(60));
    CHECK(node.released.empty());
    target.Write(target.requests.back().connection, released);
    REQUIRE(node.WaitUntil([&] { return !node.released.empty(); }, milliseconds(60)));
  }
  // Guards against executing a request at two targets: a grant that the target had refused was taken as accepted.
  SECTION("a duplicate answer to a request arrives while a grant is in progress") {
    run();
    const std::size_t used = target.requests.back().connection;
    answers["grant"] = "";
    REQUIRE(node.WaitUntil([&] { return count("grant") == 2; }));
    const std::size_t grant = target.requests.back().connection;
    CHECK(grant != used);
    target.Write(grant, ran);
    REQUIRE(node.WaitUntil([&] { return target.HasEnded(grant); }, milliseconds(60)));
  }
  // Guards against two holders of a key: an earlier answer to a grant arrived first and hid that the grant had not been
  // executed yet.
  SECTION("extra bytes after the answer to a grant leave the grant unanswered") {
    answers["grant"] = granted + granted;
    REQUIRE(node.WaitUntil([&] { return count("grant") == 2; }));
    node.WaitUntil([] { return false; }, milliseconds(20));
    const TimePoint start = BootClock::now();
    node.AssignAllKeys(3, 1, true);
    answers["release"] = released;
    REQUIRE(node.WaitUntil([&] { return !node.released.empty(); }));
    CHECK(BootClock::now() - start > milliseconds(1500));
  }
  // Guards against opening a connection for each renewal.
  SECTION("renewals reuse their connection") {
    REQUIRE(node.WaitUntil([&] { return count("grant") == 4; }));
    CHECK(target.Connections() == 1);
    answers["release"] = released;
    const std::size_t release = start_release();
    CHECK(release == 0);
    REQUIRE(node.WaitUntil([&] { return !node.released.empty(); }));
  }
}

// Guards against reading endlessly from a faulty target, and against taking an unfinished answer for "not executed".
TEST_CASE("a request with an endless answer may have been executed, and other requests are served") {
  TargetFixture node("ledger", true);
  node.Configure();
  REQUIRE(node.SendHeartbeat(1, 1).ok());
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
  REQUIRE(node.WaitUntil([&] { return target.requests.size() == 1; }));
  target.WriteRepeatedly(0, head, repeated);
  node.Send(2, false, false);
  REQUIRE(node.WaitUntil([&] { return target.requests.size() == 2; }));
  target.Write(1, RawAnswer(200, "Request-Id: r2\r\nResponse-Signature: s\r\n", "body"));
  REQUIRE(node.WaitUntil([&] { return node.answers.contains(2); }, milliseconds(500)));
  CHECK(node.answers[2].outcome() == proto::MESH_ANSWERED);
  // The request ends well before its deadline.
  REQUIRE(node.WaitUntil([&] { return node.answers.contains(1); }, milliseconds(800)));
  CHECK(node.answers[1].outcome() == proto::MESH_UNKNOWN);
  REQUIRE(node.WaitUntil([&] { return target.HasEnded(0); }));
  CHECK(node.target.Queue().Running() == 0);
  CHECK_FALSE(node.target.Report(BootClock::now()).gone());
}

}  // namespace
}  // namespace magnoliaarch
