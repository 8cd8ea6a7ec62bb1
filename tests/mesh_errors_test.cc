// A handler that throws ends its own connection or task, and nothing else.

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http1_p.h"
#include "mesh_peers_p.h"
#include "mesh_timer_p.h"
#include "mesh_util.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Guards against the end of the process, and of all requests in it, by one message that its handler did not expect.
TEST_CASE("a request whose handler throws ends its connection only") {
  asio::io_context context;
  std::vector<std::string> errors;
  std::vector<std::shared_ptr<HttpExchange>> waiting;
  Http1ServerOptions options;
  options.ip = "127.0.0.1";
  options.on_error = [&](std::string_view what) { errors.emplace_back(what); };
  int disconnected = 0;
  Http1Server server(
      context, options,
      [&](const std::shared_ptr<HttpExchange>& exchange) {
        if (exchange->request.target == "/odd") {
          throw std::runtime_error("odd request");
        }
        exchange->on_disconnect = [&] { ++disconnected; };
        waiting.push_back(exchange);
      },
      [](Http1Parser::Error) { return HttpMessage{}; });
  REQUIRE(server.Start().ok());
  HttpClient client(context, HttpClientOptions{"127.0.0.1", server.Port()});
  std::vector<HttpOutcome> outcomes;
  const auto send = [&](const std::string& target) {
    HttpMessage request;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", "h"}};
    client.Send(request, kTestTimeout, nullptr, [&](const HttpResult& result) { outcomes.push_back(result.outcome); });
  };
  send("/good");
  REQUIRE(RunUntil(context, [&] { return waiting.size() == 1; }));
  send("/odd");
  REQUIRE(RunUntil(context, [&] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == HttpOutcome::kBroken);
  CHECK(errors == std::vector<std::string>{"odd request"});
  CHECK(disconnected == 0);
  HttpMessage answer;
  answer.status = 200;
  waiting[0]->Respond(std::move(answer));
  REQUIRE(RunUntil(context, [&] { return outcomes.size() == 2; }));
  CHECK(outcomes[1] == HttpOutcome::kAnswered);
}

TEST_CASE("a message between nodes whose handler throws ends its connection only") {
  asio::io_context context;
  TimerQueue timers(context);
  std::vector<std::string> errors;
  MeshPeers::Hooks hooks;
  hooks.on_message = [](std::uint64_t, const H2Message& message, const MeshPeers::Reply& reply) {
    if (message.head == "odd") {
      throw std::runtime_error("odd message");
    }
    reply("head", "answer");
  };
  hooks.on_abandoned = [](std::uint64_t) {};
  hooks.on_silent = [](const PeerSilence&) {};
  hooks.on_error = [&](std::string_view what) { errors.emplace_back(what); };
  const std::uint16_t port = FreePort(context);
  MeshPeers peers(context, timers, "127.0.0.1", port, hooks);
  REQUIRE(peers.Start().ok());
  std::optional<MeshCallOutcome> outcome;
  const auto call = [&](const std::string& head, const MeshPeers::Done& done) {
    outcome.reset();
    peers.Call({"127.0.0.1", port}, "/run", head, std::make_shared<const std::string>(), Duration(0), done);
    REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  };
  const auto record = [&](const MeshCallResult& result) { outcome = result.outcome; };
  SECTION("at the node that receives a call") {
    call("odd", record);
    CHECK(*outcome == MeshCallOutcome::kBroken);
    CHECK(errors == std::vector<std::string>{"odd message"});
  }
  SECTION("at the node that receives the answer") {
    call("good", [&](const MeshCallResult& result) {
      record(result);
      throw std::runtime_error("odd answer");
    });
    REQUIRE(RunUntil(context, [&] { return !errors.empty(); }));
    CHECK(errors == std::vector<std::string>{"odd answer"});
  }
  RunFor(context, milliseconds(20));
  call("good", record);
  CHECK(*outcome == MeshCallOutcome::kAnswered);
}

TEST_CASE("a timer task that throws delays no other task") {
  asio::io_context context;
  TimerQueue timers(context);
  bool ran = false;
  timers.At(BootClock::now(), [] { throw std::runtime_error("odd task"); });
  timers.At(BootClock::now() + milliseconds(1), [&] { ran = true; });
  int errors = 0;
  const TimePoint end = BootClock::now() + kTestTimeout;
  while (!ran && BootClock::now() < end) {
    try {
      context.restart();
      context.run_for(milliseconds(5));
    } catch (const std::runtime_error&) {
      ++errors;
    }
  }
  CHECK(ran);
  CHECK(errors == 1);
}

}  // namespace
}  // namespace magnoliaarch
