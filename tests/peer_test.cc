#include <future>
#include <optional>

#include <catch2/catch.hpp>

#include "datapath_util.h"
#include "h2_session_p.h"
#include "magnoliaarch/error.h"
#include "peer_client_p.h"
#include "peer_server_p.h"
#include "peer_wire_p.h"

namespace magnoliaarch {
namespace {

using datapath_test::BinaryBody;
using datapath_test::Eventually;

const IncarnationId kServer{"node-b", 22};
const IncarnationId kClient{"node-a", 11};
constexpr char kSecret[] = "the secret of the nodes";

// An io_context that runs on its own thread.
class LoopThread {
 public:
  LoopThread() : m_work(asio::make_work_guard(context)), m_thread([this] { context.run(); }) {}
  ~LoopThread() {
    context.stop();
    m_thread.join();
  }
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    asio::post(context, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }
  asio::io_context context{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

std::shared_ptr<const Request> MakeRequest(std::string body) {
  auto request = std::make_shared<Request>();
  request->id = RequestId::Random();
  request->entry = "storefront";
  request->workspace = "crest";
  request->request_class = RequestClass::kPrompt;
  request->keyed = true;
  request->key_hash = 0xfedcba9876543210ULL;
  request->slice = SliceHandle{63};
  request->epoch = 4;
  request->method = "PUT";
  request->path = "/charges/\xc3\xa9?x=%00";
  request->headers = {{"X-A", "1"}, {"X-A", "2"}, {"X-Empty", ""}};
  request->body = std::move(body);
  request->deadline = BootClock::now() + std::chrono::seconds(20);
  return request;
}

// A connected client and server, each on its own thread.
struct PeerPair {
  explicit PeerPair(PeerServerHooks hooks, std::string client_secret = kSecret, PeerClientOptions client_options = {}) {
    PeerServerOptions options;
    options.secret = kSecret;
    options.self = kServer;
    server = std::make_unique<PeerServer>(server_loop->context, options, std::move(hooks));
    REQUIRE(server->Start().ok());
    address = PeerAddress{"127.0.0.1", server->Port(), kServer};
    client_options.secret = std::move(client_secret);
    client_options.self = kClient;
    client = std::make_unique<PeerClient>(client_loop.context, client_options);
  }
  ~PeerPair() {
    client_loop.Run([this] { client->Close(); });
    KillServer();
  }
  void KillServer() {
    if (server_loop) {
      server_loop->Run([this] { server->Close(); });
      server.reset();
      server_loop.reset();
    }
  }
  PeerResult SendRequest(const std::shared_ptr<const Request>& request, const IncarnationId& target = kServer) {
    std::promise<PeerResult> done;
    PeerAddress to = address;
    to.incarnation = target;
    client->Send(to, PeerCall{request, 3, 9, sent}, [&](PeerResult result) { done.set_value(std::move(result)); });
    return done.get_future().get();
  }

  std::unique_ptr<LoopThread> server_loop = std::make_unique<LoopThread>();
  LoopThread client_loop;
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<PeerClient> client;
  PeerAddress address;
  std::shared_ptr<std::atomic<bool>> sent = std::make_shared<std::atomic<bool>>(false);
};

TEST_CASE("a peer stream carries a complete request and its complete response") {
  std::optional<Request> seen;
  std::uint32_t seen_attempt = 0;
  PeerServerHooks hooks;
  hooks.on_request = [&](Request request, std::uint32_t attempt, const std::function<void(Response)>& reply) {
    Response response;
    response.id = request.id;
    response.status = 207;
    response.run_state = RunState::kRan;
    response.headers = {{"X-B", "\xff"}, {"X-B", ""}};
    response.body = request.body + request.body;
    seen = std::move(request);
    seen_attempt = attempt;
    reply(std::move(response));
  };
  hooks.on_query = [&](RequestId id, std::uint32_t attempt, const std::function<void(Response)>& reply) {
    seen_attempt = attempt;
    reply(MakeRefusal(id, ErrorKind::kBarred, "never seen"));
  };
  hooks.on_message = [](const proto::PeerMessage& message,
                        const std::function<void(std::optional<proto::PeerMessage>)>& reply) {
    reply(message.has_view_digest() ? std::optional(message) : std::nullopt);
  };
  PeerPair pair(std::move(hooks));

  // Guards against stalled or truncated bodies larger than the flow control windows, and against lost metadata.
  GIVEN("bodies from empty to far larger than the flow control windows") {
    for (const std::size_t bytes : {std::size_t{0}, std::size_t{1}, std::size_t{70000}, std::size_t{24} << 20}) {
      const auto request = MakeRequest(BinaryBody(bytes));
      const PeerResult result = pair.SendRequest(request);
      REQUIRE(result.outcome == PeerOutcome::kAnswered);
      CHECK(result.response.status == 207);
      CHECK(result.response.run_state == RunState::kRan);
      CHECK((result.response.headers == std::vector<Header>{{"X-B", "\xff"}, {"X-B", ""}}));
      CHECK((result.response.body == request->body + request->body));
      REQUIRE(seen.has_value());
      CHECK(seen->id == request->id);
      CHECK(seen->headers == request->headers);
      CHECK(seen->path == request->path);
      CHECK(seen->slice == request->slice);
      CHECK(seen->key_hash == request->key_hash);
      CHECK(seen->request_class == RequestClass::kPrompt);
      CHECK(seen->epoch == 9);
      CHECK(seen_attempt == 3);
      CHECK(seen->deadline <= request->deadline + std::chrono::seconds(1));
      CHECK(*pair.sent);
    }
    CHECK(pair.client->Connections() == 1);
  }

  // Guards against a restarted process that executes requests for its previous incarnation.
  GIVEN("a request for an earlier incarnation") {
    const PeerResult result = pair.SendRequest(MakeRequest("x"), IncarnationId{"node-b", 21});
    CHECK(result.outcome == PeerOutcome::kAnswered);
    CHECK(result.response.error_kind == "wrong-owner");
    CHECK_FALSE(seen.has_value());
  }

  // Guards against another incarnation that reports a request as not executed.
  GIVEN("queries to the current and to an earlier incarnation") {
    std::promise<PeerResult> right;
    std::promise<PeerResult> wrong;
    PeerAddress other = pair.address;
    other.incarnation.number = 21;
    const auto to = [](std::promise<PeerResult>& promise) {
      return [&promise](PeerResult result) { promise.set_value(std::move(result)); };
    };
    pair.client->Query(pair.address, RequestId::Random(), 5, std::chrono::seconds(10), to(right));
    pair.client->Query(other, RequestId::Random(), 5, std::chrono::seconds(10), to(wrong));
    CHECK(right.get_future().get().response.error_kind == "barred");
    CHECK(seen_attempt == 5);
    CHECK(wrong.get_future().get().outcome != PeerOutcome::kAnswered);
  }

  GIVEN("a control message") {
    proto::PeerMessage message;
    message.mutable_view_digest()->set_revision(7);
    std::promise<PeerMessageResult> done;
    pair.client->SendMessage(pair.address, message, std::chrono::seconds(10),
                             [&](PeerMessageResult result) { done.set_value(std::move(result)); });
    const PeerMessageResult result = done.get_future().get();
    REQUIRE(result.reply.has_value());
    CHECK(result.reply->view_digest().revision() == 7);
  }
}

TEST_CASE("requests of unauthenticated clients are not processed, and unauthenticated servers receive no requests") {
  std::atomic<int> processed{0};
  PeerServerHooks hooks;
  hooks.on_request = [&](const Request& request, std::uint32_t, const std::function<void(Response)>& reply) {
    ++processed;
    reply(MakeRefusal(request.id, ErrorKind::kInternal, ""));
  };
  GIVEN("a client with another secret") {
    PeerPair pair(hooks, "another secret");
    const PeerResult result = pair.SendRequest(MakeRequest("x"));
    CHECK(result.outcome == PeerOutcome::kNotSent);
    CHECK_FALSE(*pair.sent);
    CHECK(processed == 0);
  }
  // Guards against a server that processes requests of clients that skip the handshake.
  GIVEN("a client that sends a request before the handshake, and a client without HTTP/2") {
    PeerPair pair(hooks);
    LoopThread loop;
    asio::ip::tcp::socket socket(loop.context);
    socket.connect({asio::ip::make_address("127.0.0.1"), pair.address.port});
    auto session = std::make_shared<H2Session>(std::move(socket), H2SessionOptions{});
    std::atomic<bool> closed{false};
    std::atomic<int> status{0};
    loop.Run([&] {
      H2SessionHooks session_hooks;
      session_hooks.on_message = [&](std::int32_t, const H2Message& message) { status = message.status; };
      session_hooks.on_closed = [&](const std::string&) { closed = true; };
      session->Start(session_hooks);
      const auto request = MakeRequest("x");
      session->Send(kRequestPath, SerializeRequest(*request, kServer, 1, 1, BootClock::now()),
                    std::make_shared<const std::string>("x"), nullptr);
    });
    CHECK(Eventually([&] { return closed.load(); }));
    CHECK(status != 200);
    CHECK(processed == 0);
    CHECK(datapath_test::Caller(pair.address.port).Call("GET / HTTP/1.1\r\n\r\n").status == 0);
  }
  // Guards against sending a request to another process that listens on a node's address.
  GIVEN("a server that does not know the secret") {
    datapath_test::ScriptedTarget impostor([](int, const std::string&, const std::string&) { return "x"; });
    PeerPair pair(hooks);
    pair.address.port = impostor.Port();
    CHECK(pair.SendRequest(MakeRequest("x")).outcome == PeerOutcome::kNotSent);
    CHECK_FALSE(*pair.sent);
  }
}

// Guards against executing a request twice because the response to its first execution was too large.
TEST_CASE("a request whose response is too large is not reported as not processed") {
  std::atomic<int> processed{0};
  PeerServerHooks hooks;
  hooks.on_request = [&](const Request& request, std::uint32_t, const std::function<void(Response)>& reply) {
    ++processed;
    Response response;
    response.id = request.id;
    response.status = 200;
    response.body = BinaryBody(request.body == "large" ? 3 << 20 : 1 << 10);
    reply(std::move(response));
  };
  PeerClientOptions options;
  options.max_message_bytes = 1 << 20;
  PeerPair pair(std::move(hooks), kSecret, options);
  CHECK(pair.SendRequest(MakeRequest("large")).outcome == PeerOutcome::kBroken);
  CHECK(pair.SendRequest(MakeRequest("small")).outcome == PeerOutcome::kAnswered);
  CHECK(processed == 2);
  CHECK(pair.client->Connections() == 1);
}

// Guards against delivering a message of which a part is missing, so that a target executes a request nobody sent.
TEST_CASE("a message of which a part was rejected is never delivered") {
  asio::io_context client_context;
  asio::io_context server_context;
  asio::ip::tcp::acceptor acceptor(server_context, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket socket(client_context);
  socket.connect(acceptor.local_endpoint());
  constexpr std::size_t kBodyBytes = 20 << 10;  // two frames
  constexpr int kMessages = 5;
  H2SessionOptions options;
  options.server = true;
  options.max_buffered_bytes = kBodyBytes + (kBodyBytes / 2);
  options.read_bytes = 2 * kMessages * kBodyBytes;  // a single read takes all messages
  const auto server = std::make_shared<H2Session>(acceptor.accept(), options);
  const auto client = std::make_shared<H2Session>(std::move(socket), H2SessionOptions{});
  std::vector<std::size_t> received;
  int answered = 0;
  int refused = 0;
  H2SessionHooks server_hooks;
  server_hooks.on_message = [&](std::int32_t stream, const H2Message& message) {
    received.push_back(message.body.size());
    server->Respond(stream, 200, "", "");
  };
  H2SessionHooks client_hooks;
  client_hooks.on_message = [&](std::int32_t, const H2Message&) { ++answered; };
  client_hooks.on_failed = [&](std::int32_t, H2Failure failure, const std::string&) {
    refused += failure == H2Failure::kNotProcessed ? 1 : 0;
  };
  client->Start(client_hooks);
  server->Start(server_hooks);
  const auto run_briefly = [](asio::io_context& context) {
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  };
  const auto send = [&] {
    REQUIRE(client->Send("/run", "head", std::make_shared<const std::string>(kBodyBytes, 'x'), nullptr) > 0);
  };
  // The first message raises the flow control windows to their full size.
  send();
  REQUIRE(Eventually([&] {
    run_briefly(client_context);
    run_briefly(server_context);
    return answered == 1;
  }));
  for (int i = 1; i < kMessages; ++i) {
    send();
  }
  for (int i = 0; i < 5; ++i) {
    run_briefly(client_context);
  }
  REQUIRE(Eventually([&] {
    run_briefly(server_context);
    run_briefly(client_context);
    return answered + refused == kMessages;
  }));
  CHECK(refused > 0);
  CHECK(received.size() == static_cast<std::size_t>(answered));
  for (const std::size_t bytes : received) {
    CHECK(bytes == kBodyBytes);
  }
  client->Close("the test ends");
  server->Close("the test ends");
  run_briefly(client_context);
  run_briefly(server_context);
}

TEST_CASE("a call to a lost peer reports whether the peer may have processed it") {
  std::mutex mutex;
  std::vector<std::function<void(Response)>> pending_replies;
  PeerServerHooks hooks;
  hooks.on_request = [&](const Request&, std::uint32_t, std::function<void(Response)> reply) {
    std::lock_guard lock(mutex);
    pending_replies.push_back(std::move(reply));
  };
  PeerPair pair(std::move(hooks));
  const auto pending_count = [&] {
    std::lock_guard lock(mutex);
    return pending_replies.size();
  };

  // Guards against a retry of a request that may have been processed, and a missing retry of one that definitely was
  // not.
  GIVEN("a peer that is killed before the request is sent") {
    pair.KillServer();
    CHECK(pair.SendRequest(MakeRequest("x")).outcome == PeerOutcome::kNotSent);
    CHECK_FALSE(*pair.sent);
  }
  GIVEN("a peer that is killed after it received the request") {
    std::promise<PeerResult> done;
    pair.client->Send(pair.address, PeerCall{MakeRequest("x"), 1, 1, pair.sent},
                      [&](PeerResult result) { done.set_value(std::move(result)); });
    REQUIRE(Eventually([&] { return pending_count() == 1; }));
    pending_replies.clear();
    pair.KillServer();
    CHECK(done.get_future().get().outcome == PeerOutcome::kBroken);
    CHECK(*pair.sent);
  }
  // Guards against processing an incomplete request, or reporting it as possibly processed.
  GIVEN("a peer that stops reading and is killed while a large request is being sent") {
    // The stream's flow control window holds back most of the body while the peer does not read.
    pair.client->Cancel(pair.address, RequestId::Random(), 1);
    REQUIRE(Eventually([&] { return pair.client->Connections() == 1; }));
    std::promise<void> release;
    asio::post(pair.server_loop->context, [&] {
      release.get_future().wait();
      pair.server->Close();
    });
    std::promise<PeerResult> done;
    pair.client->Send(pair.address, PeerCall{MakeRequest(BinaryBody(40 << 20)), 1, 1, pair.sent},
                      [&](PeerResult result) { done.set_value(std::move(result)); });
    release.set_value();
    CHECK(done.get_future().get().outcome == PeerOutcome::kNotSent);
    CHECK_FALSE(*pair.sent);
    CHECK(pending_count() == 0);
  }
  // Guards against executing a request twice: the second copy is sent to another node while the first is arriving.
  GIVEN("a large request that is cancelled while the peer does not read") {
    pair.client->Cancel(pair.address, RequestId::Random(), 1);
    REQUIRE(Eventually([&] { return pair.client->Connections() == 1; }));
    std::promise<void> release;
    asio::post(pair.server_loop->context, [&] { release.get_future().wait(); });
    const auto request = MakeRequest(BinaryBody(40 << 20));
    std::promise<PeerResult> done;
    pair.client->Send(pair.address, PeerCall{request, 1, 1, pair.sent},
                      [&](PeerResult result) { done.set_value(std::move(result)); });
    pair.client->CancelUnsent(request->id, 1);
    CHECK(done.get_future().get().outcome == PeerOutcome::kNotSent);
    CHECK_FALSE(*pair.sent);
    release.set_value();
    std::promise<PeerResult> next;
    pair.client->Send(pair.address, PeerCall{MakeRequest("y"), 1, 1, pair.sent},
                      [&](PeerResult result) { next.set_value(std::move(result)); });
    REQUIRE(Eventually([&] { return pending_count() == 1; }));
    THEN("a completely sent request continues when it is cancelled") {
      const auto whole = MakeRequest("z");
      std::promise<PeerResult> result;
      pair.client->Send(pair.address, PeerCall{whole, 1, 1, pair.sent},
                        [&](PeerResult got) { result.set_value(std::move(got)); });
      REQUIRE(Eventually([&] { return pending_count() == 2; }));
      pair.client->CancelUnsent(whole->id, 1);
      Response response;
      response.id = whole->id;
      response.status = 200;
      pending_replies[1](response);
      CHECK(result.get_future().get().outcome == PeerOutcome::kAnswered);
    }
    pending_replies.clear();
    pair.KillServer();
    CHECK(next.get_future().get().outcome == PeerOutcome::kBroken);
  }
  GIVEN("a peer that sends GOAWAY while a request is in progress") {
    std::promise<PeerResult> first;
    pair.client->Send(pair.address, PeerCall{MakeRequest("x"), 1, 1, pair.sent},
                      [&](PeerResult result) { first.set_value(std::move(result)); });
    REQUIRE(Eventually([&] { return pending_count() == 1; }));
    pair.server->Drain();
    REQUIRE(Eventually([&] { return !datapath_test::Caller(pair.address.port).IsConnected(); }));
    // Guards against a graceful stop that aborts the request in progress or accepts a new one.
    THEN("the request gets its response and a new request is not sent") {
      CHECK(pair.SendRequest(MakeRequest("y")).outcome == PeerOutcome::kNotSent);
      Response response;
      response.id = RequestId::Random();
      pending_replies[0](response);
      const PeerResult result = first.get_future().get();
      // The response has another request's id and must not be accepted.
      CHECK(result.outcome == PeerOutcome::kBroken);
    }
  }
}

}  // namespace
}  // namespace magnoliaarch
