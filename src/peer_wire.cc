#include "peer_wire_p.h"

#include <sys/random.h>

#include <algorithm>
#include <utility>

#include "hmac_p.h"
#include "magnoliaarch/error.h"
#include "status_line_p.h"

namespace magnoliaarch {

RequestClass FromProto(proto::RequestClass request_class) {
  switch (request_class) {
    case proto::REQUEST_CLASS_PROMPT:
      return RequestClass::kPrompt;
    case proto::REQUEST_CLASS_BULK:
      return RequestClass::kBulk;
    default:
      return RequestClass::kNormal;
  }
}

namespace {

// Prefixes each part with its length, so that different lists of parts never give the same text.
std::string JoinLengthPrefixed(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += std::to_string(part.size()) + ":";
    text += part;
  }
  return text;
}

std::string IncarnationText(const proto::Incarnation& id) {
  return id.node() + "/" + std::to_string(id.number());
}

proto::RequestClass ToProto(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kPrompt:
      return proto::REQUEST_CLASS_PROMPT;
    case RequestClass::kBulk:
      return proto::REQUEST_CLASS_BULK;
    case RequestClass::kNormal:
      break;
  }
  return proto::REQUEST_CLASS_NORMAL;
}

template <typename Envelope>
void AddHeaders(const std::vector<Header>& headers, Envelope& envelope) {
  for (const Header& header : headers) {
    proto::HeaderField& field = *envelope.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
}

template <typename Envelope>
std::vector<Header> TakeHeaders(Envelope& envelope) {
  std::vector<Header> headers;
  headers.reserve(static_cast<std::size_t>(envelope.headers_size()));
  for (proto::HeaderField& field : *envelope.mutable_headers()) {
    headers.push_back(Header{std::move(*field.mutable_name()), std::move(*field.mutable_value())});
  }
  return headers;
}

}  // namespace

std::string RandomNonce() {
  std::string nonce(kNonceBytes, '\0');
  std::size_t done = 0;
  while (done < nonce.size()) {
    const ssize_t part = getrandom(nonce.data() + done, nonce.size() - done, 0);
    if (part > 0) {
      done += static_cast<std::size_t>(part);
    }
  }
  return nonce;
}

std::string ServerProof(std::string_view secret,
                        std::string_view client_nonce,
                        std::string_view server_nonce,
                        const proto::Incarnation& server) {
  return HmacSha256(secret,
                    JoinLengthPrefixed({"magnolia-peer-server", client_nonce, server_nonce, IncarnationText(server)}));
}

std::string ClientProof(std::string_view secret,
                        std::string_view client_nonce,
                        std::string_view server_nonce,
                        const proto::Incarnation& client,
                        const proto::Incarnation& server) {
  return HmacSha256(secret, JoinLengthPrefixed({"magnolia-peer-client", client_nonce, server_nonce,
                                                IncarnationText(client), IncarnationText(server)}));
}

proto::Incarnation ToProto(const IncarnationId& id) {
  proto::Incarnation message;
  message.set_node(id.node);
  message.set_number(id.number);
  return message;
}

IncarnationId FromProto(const proto::Incarnation& id) {
  return IncarnationId{id.node(), id.number()};
}

std::string SerializeRequest(const Request& request,
                             const IncarnationId& target,
                             std::uint32_t attempt,
                             std::uint64_t epoch,
                             TimePoint now) {
  proto::RequestEnvelope envelope;
  envelope.set_id_high(request.id.high);
  envelope.set_id_low(request.id.low);
  *envelope.mutable_target() = ToProto(target);
  envelope.set_attempt(attempt);
  envelope.set_entry(request.entry);
  envelope.set_workspace(request.workspace);
  envelope.set_request_class(ToProto(request.request_class));
  envelope.set_kind(request.kind);
  envelope.set_idempotent(request.idempotent);
  envelope.set_keyed(request.keyed);
  envelope.set_key_hash(request.key_hash);
  envelope.set_slice(request.slice.index);
  envelope.set_epoch(epoch);
  envelope.set_method(request.method);
  envelope.set_path(request.path);
  AddHeaders(request.headers, envelope);
  envelope.set_time_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (request.deadline - now).count())));
  return envelope.SerializeAsString();
}

std::optional<ReceivedRequest> ParseRequest(const std::string& head, TimePoint now) {
  // Caps the time left, so that adding it to `now` cannot overflow.
  constexpr std::uint64_t kMaxTimeLeftUs = 24ULL * 3600 * 1000 * 1000;
  proto::RequestEnvelope envelope;
  if (!envelope.ParseFromString(head)) {
    return std::nullopt;
  }
  ReceivedRequest received;
  Request& request = received.request;
  request.id = RequestId{envelope.id_high(), envelope.id_low()};
  if (!request.id.IsValid() || envelope.attempt() == 0) {
    return std::nullopt;
  }
  received.target = FromProto(envelope.target());
  received.attempt = envelope.attempt();
  request.entry = std::move(*envelope.mutable_entry());
  request.workspace = std::move(*envelope.mutable_workspace());
  request.request_class = FromProto(envelope.request_class());
  request.kind = std::move(*envelope.mutable_kind());
  request.idempotent = envelope.idempotent();
  request.keyed = envelope.keyed();
  request.key_hash = envelope.key_hash();
  request.slice = SliceHandle{envelope.slice()};
  request.epoch = envelope.epoch();
  request.method = std::move(*envelope.mutable_method());
  request.path = std::move(*envelope.mutable_path());
  request.headers = TakeHeaders(envelope);
  request.deadline = now + Duration(static_cast<std::int64_t>(std::min(envelope.time_left_us(), kMaxTimeLeftUs)));
  return received;
}

std::string SerializeResponse(const Response& response) {
  proto::ResponseEnvelope envelope;
  envelope.set_id_high(response.id.high);
  envelope.set_id_low(response.id.low);
  envelope.set_status(static_cast<std::uint32_t>(response.status));
  envelope.set_run_state(std::string(ToString(response.run_state)));
  envelope.set_error_kind(response.error_kind);
  envelope.set_detail(response.detail);
  AddHeaders(response.headers, envelope);
  return envelope.SerializeAsString();
}

std::optional<Response> ParseResponse(const std::string& head) {
  proto::ResponseEnvelope envelope;
  if (!envelope.ParseFromString(head) || !IsHttpStatus(envelope.status())) {
    return std::nullopt;
  }
  Response response;
  response.id = RequestId{envelope.id_high(), envelope.id_low()};
  response.status = static_cast<int>(envelope.status());
  response.run_state = envelope.run_state() == ToString(RunState::kRan)      ? RunState::kRan
                       : envelope.run_state() == ToString(RunState::kNotRun) ? RunState::kNotRun
                                                                             : RunState::kUnknown;
  response.error_kind = std::move(*envelope.mutable_error_kind());
  response.detail = std::move(*envelope.mutable_detail());
  response.headers = TakeHeaders(envelope);
  return response;
}

}  // namespace magnoliaarch
