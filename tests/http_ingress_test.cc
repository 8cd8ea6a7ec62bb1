#include "http_ingress_p.h"

#include <catch2/catch.hpp>

#include "datapath_util.h"
#include "magnoliaarch/error.h"

namespace magnoliaarch {
namespace {

using datapath_test::BinaryBody;
using datapath_test::Caller;
using datapath_test::Eventually;
using datapath_test::HttpAnswer;
using datapath_test::PostRequest;

Response Echo(const HttpRequest& request) {
  Response response;
  response.id = request.id;
  response.status = 200;
  response.run_state = RunState::kRan;
  response.headers = {{"X-Method", request.method}, {"X-Target", request.target},   {"Set-Cookie", "a=1"},
                      {"Set-Cookie", "b=2"},        {"Keep-Alive", "timeout=9"},    {"Transfer-Encoding", "chunked"},
                      {"X-Run-State", "not-run"},   {"x-error-kind", "overloaded"}, {"X-Request-Id", "1"}};
  response.body = request.body;
  return response;
}

TEST_CASE("the ingress forwards requests and answers unchanged") {
  HttpIngressOptions options;
  options.max_header_bytes = 4096;
  options.max_body_bytes = 1 << 20;
  std::atomic<int> handled{0};
  HttpIngress ingress(options, [&handled](const HttpRequest& request, const Responder& respond) {
    ++handled;
    respond(Echo(request));
  });
  REQUIRE(ingress.Start().ok());

  GIVEN("a caller with a large binary body") {
    const std::string body = BinaryBody(1 << 20);
    Caller caller(ingress.Port());
    const HttpAnswer answer = caller.Call(PostRequest("/storefront/a%2Fb?q=1&q=2", "X-Odd: \xc3\xa9\r\n", body));
    // Guards against a truncated or re-encoded body and against a rewritten path.
    THEN("method, path, query and body are forwarded unchanged") {
      CHECK(answer.status == 200);
      CHECK(answer.Field("X-Method") == "POST");
      CHECK(answer.Field("X-Target") == "/storefront/a%2Fb?q=1&q=2");
      CHECK((answer.body == body));
      CHECK(answer.Field("X-Run-State") == "ran");
      CHECK(RequestId::Parse(answer.Field("X-Request-Id")).IsValid());
    }
    // Guards against hop-by-hop headers of the target that would break the framing of the caller's connection.
    THEN("repeated headers are kept and hop-by-hop headers are removed from the answer") {
      CHECK(answer.head.find("a=1") != std::string::npos);
      CHECK(answer.head.find("b=2") != std::string::npos);
      CHECK(answer.Field("Keep-Alive").empty());
      CHECK(answer.Field("Transfer-Encoding").empty());
    }
    // Guards against a target that reports an executed request as not-run.
    THEN("headers reserved for the node cannot be set by the target") {
      CHECK(answer.Field("X-Run-State") == "ran");
      CHECK(answer.head.find("not-run") == std::string::npos);
      CHECK(answer.head.find("overloaded") == std::string::npos);
      CHECK(answer.head.find("X-Request-Id: 1\r\n") == std::string::npos);
    }
  }

  // Guards against disconnecting without an answer, which a caller cannot distinguish from a lost answer.
  GIVEN("invalid input that is refused before the request handler runs") {
    struct Case {
      const char* name;
      std::string input;
      int status;
      const char* kind;
    };
    const std::vector<Case> cases = {
        {"no HTTP", "hello\r\n\r\n", 400, "malformed-request"},
        {"unknown method", "BREW / HTTP/1.1\r\nHost: t\r\n\r\n", 400, "malformed-request"},
        {"bad length", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: x\r\n\r\n", 400, "malformed-request"},
        {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: t\r\n\r\n", 400, "malformed-request"},
        {"long path", "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: t\r\n\r\n", 431, "header-too-large"},
        {"long field", "GET / HTTP/1.1\r\nX-A: " + std::string(9000, 'a') + "\r\n\r\n", 431, "header-too-large"},
        {"long field name", "GET / HTTP/1.1\r\n" + std::string(90000, 'a') + ": 1\r\n\r\n", 431, "header-too-large"},
        {"declared body", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 1048577\r\n\r\nx", 413, "body-too-large"},
        {"chunked body",
         "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
         "180000\r\n" +
             std::string(0x180000, 'b') + "\r\n0\r\n\r\n",
         413, "body-too-large"},
    };
    for (const Case& refused : cases) {
      INFO(refused.name);
      Caller caller(ingress.Port());
      const HttpAnswer answer = caller.Call(refused.input);
      CHECK(answer.status == refused.status);
      CHECK(answer.Field("X-Error-Kind") == refused.kind);
      CHECK(answer.Field("X-Run-State") == "not-run");
      CHECK(answer.body.find(refused.kind) != std::string::npos);
    }
    CHECK(handled == 0);
  }

  // Guards against a body after an answer to HEAD, which would be read as the next answer.
  GIVEN("a HEAD request on a keep-alive connection") {
    Caller caller(ingress.Port());
    caller.Send("HEAD /x HTTP/1.1\r\nHost: t\r\n\r\n");
    CHECK(caller.Read(true).status == 200);
    CHECK(caller.Call(PostRequest("/y", "", "next")).body == "next");
  }

  // Guards against answers that are delivered to another request of the same connection.
  GIVEN("pipelined requests") {
    Caller caller(ingress.Port());
    caller.Send(PostRequest("/1", "", "first") + PostRequest("/2", "", "second") + "garbage\r\n\r\n");
    CHECK(caller.Read().body == "first");
    CHECK(caller.Read().body == "second");
    CHECK(caller.Read().status == 400);
  }
}

TEST_CASE("a graceful stop of the ingress completes every request in progress", "[process]") {
  std::mutex mutex;
  std::vector<std::pair<HttpRequest, Responder>> pending;
  HttpIngress ingress({}, [&](HttpRequest request, Responder respond) {
    std::lock_guard lock(mutex);
    pending.emplace_back(std::move(request), std::move(respond));
  });
  REQUIRE(ingress.Start().ok());
  GIVEN("a request in progress and an idle keep-alive connection") {
    Caller busy(ingress.Port());
    Caller idle(ingress.Port());
    busy.Send(PostRequest("/slow", "", "kept"));
    REQUIRE(Eventually([&] { return ingress.InProgress() == 1; }));
    std::atomic<bool> stopped{false};
    std::thread stop([&] {
      CHECK(ingress.Stop(std::chrono::seconds(10)));
      stopped = true;
    });
    REQUIRE(Eventually([&] { return !Caller(ingress.Port()).IsConnected(); }));
    CHECK_FALSE(stopped);
    WHEN("the handler answers the request twice") {
      {
        std::lock_guard lock(mutex);
        pending[0].second(Echo(pending[0].first));
        pending[0].second(MakeRefusal(pending[0].first.id, ErrorKind::kInternal, "second answer"));
      }
      THEN("the caller receives the complete first answer with Connection: close, and the stop ends") {
        const HttpAnswer answer = busy.Read();
        CHECK(answer.status == 200);
        CHECK(answer.body == "kept");
        CHECK(answer.Field("Connection") == "close");
      }
    }
    stop.join();
  }
}

}  // namespace
}  // namespace magnoliaarch
