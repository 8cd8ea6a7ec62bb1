#include "mesh_relay_p.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace magnoliaarch {
namespace {

HttpResult ParseRelayedResult(const MeshCallResult& result) {
  HttpResult answer;
  proto::StoreRelayResult relayed;
  if (result.outcome != MeshCallOutcome::kAnswered || !relayed.ParseFromString(result.answer.head)) {
    answer.outcome = result.outcome == MeshCallOutcome::kNotSent ? HttpOutcome::kNotConnected : HttpOutcome::kBroken;
    answer.detail = result.detail;
  } else if (relayed.status() == 0) {
    answer.outcome = relayed.maybe_applied() ? HttpOutcome::kBroken : HttpOutcome::kNotConnected;
    answer.detail = relayed.detail();
  } else {
    answer.outcome = HttpOutcome::kAnswered;
    answer.answer.status = static_cast<int>(relayed.status());
    answer.answer.body = result.answer.body;
    for (const proto::MeshHeader& header : relayed.headers()) {
      answer.answer.headers.push_back(Header{header.name(), header.value()});
    }
  }
  return answer;
}

}  // namespace

void RelayStoreCall(MeshPeers& peers,
                    const MeshPeerAddress& peer,
                    const HttpMessage& call,
                    Duration timeout,
                    HttpClient::Done done) {
  proto::StoreRelayCall head;
  head.set_method(call.method);
  head.set_target(call.target);
  head.set_timeout_ms(static_cast<std::uint32_t>(
      std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count(), 0)));
  peers.Call(peer, kRelayPath, head.SerializeAsString(), std::make_shared<const std::string>(call.body), timeout,
             [done = std::move(done)](const MeshCallResult& result) { done(ParseRelayedResult(result)); });
}

void ServeRelayedCall(MeshStore& store, const H2Message& message, MeshPeers::Reply reply) {
  proto::StoreRelayCall head;
  if (!head.ParseFromString(message.head)) {
    reply("", "");
    return;
  }
  HttpMessage call;
  call.method = head.method();
  call.target = head.target();
  call.body = message.body;
  call.has_body = !message.body.empty();
  if (call.has_body) {
    call.headers.push_back(Header{"Content-Type", "application/json"});
  }
  // Leaves time for the reply, since the requesting node's timeout includes the transfer.
  const Duration timeout = std::chrono::milliseconds(head.timeout_ms()) * 3 / 4;
  store.CallForPeer(std::move(call), timeout, [&store, reply = std::move(reply)](HttpResult result) {
    proto::StoreRelayResult answer;
    answer.set_detail(result.detail);
    if (result.outcome == HttpOutcome::kAnswered) {
      answer.set_status(static_cast<std::uint32_t>(result.answer.status));
      for (const Header& header : store.AnswerHeaders(result.answer)) {
        proto::MeshHeader* relayed = answer.add_headers();
        relayed->set_name(header.name);
        relayed->set_value(header.value);
      }
    } else {
      answer.set_maybe_applied(result.outcome == HttpOutcome::kBroken || result.outcome == HttpOutcome::kTimedOut);
    }
    reply(answer.SerializeAsString(), std::move(result.answer.body));
  });
}

}  // namespace magnoliaarch
