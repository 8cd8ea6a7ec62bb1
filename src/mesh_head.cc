#include "mesh_head_p.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace magnoliaarch {
namespace {

// The first byte of a header field says what the rest contains.
constexpr char kHeaderTag = 'h';  // NAME:VALUE of a forwarded header
constexpr char kServiceTag = 's';
constexpr char kCallerTag = 'c';
constexpr char kWorkspaceTag = 'w';
constexpr char kRouteTag = 'r';
constexpr char kMethodTag = 'm';
// Longer strings would evict others from the connection's HPACK table.
constexpr std::size_t kMaxFieldBytes = 96;
// The set of seen hashes is cleared at this size. Most entries are signatures that never repeat.
constexpr std::size_t kMaxSeenHashes = 1024;

// Range of valid HTTP statuses of a target's answer.
constexpr std::uint32_t kFirstFinalStatus = 200;
constexpr std::uint32_t kLastFinalStatus = 599;

bool IsValid(const proto::MeshAnswer& answer) {
  if (answer.outcome() == proto::MESH_ANSWERED) {
    return answer.status() >= kFirstFinalStatus && answer.status() <= kLastFinalStatus;
  }
  return proto::MeshOutcome_IsValid(answer.outcome());
}

// Header field values may only contain printable ASCII and must not end with a space.
bool IsValidFieldValue(const std::string& text) {
  return !text.empty() && text.size() <= kMaxFieldBytes && text.back() != ' ' &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

bool UnpackHeader(const std::string& text, proto::MeshHeader* header) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return false;
  }
  header->set_name(text.substr(0, colon));
  header->set_value(text.substr(colon + 1));
  return true;
}

}  // namespace

bool HeadPacker::IsRepeated(const std::string& text) {
  if (!IsValidFieldValue(text)) {
    return false;
  }
  if (m_seen_hashes.size() >= kMaxSeenHashes) {
    m_seen_hashes.clear();
  }
  return !m_seen_hashes.insert(std::hash<std::string>()(text)).second;
}

void HeadPacker::MoveToField(char tag, std::string* text, MessageHead* packed) {
  std::string field = tag + *text;
  if (!text->empty() && IsRepeated(field)) {
    packed->fields.push_back(std::move(field));
    text->clear();
  }
}

// Headers with the same name must keep their order, so names that occur more than once stay in the envelope.
void HeadPacker::MoveHeadersToFields(google::protobuf::RepeatedPtrField<proto::MeshHeader>* headers,
                                     MessageHead* packed) {
  google::protobuf::RepeatedPtrField<proto::MeshHeader> rest;
  for (const proto::MeshHeader& header : *headers) {
    const auto same = std::count_if(headers->begin(), headers->end(),
                                    [&](const proto::MeshHeader& other) { return other.name() == header.name(); });
    std::string field = kHeaderTag + header.name() + ':' + header.value();
    if (same == 1 && IsRepeated(field)) {
      packed->fields.push_back(std::move(field));
    } else {
      *rest.Add() = header;
    }
  }
  headers->Swap(&rest);
}

MessageHead HeadPacker::Pack(proto::MeshRequest request) {
  MessageHead packed;
  MoveToField(kServiceTag, request.mutable_service(), &packed);
  MoveToField(kCallerTag, request.mutable_caller_service(), &packed);
  MoveToField(kWorkspaceTag, request.mutable_workspace(), &packed);
  MoveToField(kRouteTag, request.mutable_route(), &packed);
  MoveToField(kMethodTag, request.mutable_method(), &packed);
  MoveHeadersToFields(request.mutable_headers(), &packed);
  packed.head = request.SerializeAsString();
  return packed;
}

MessageHead HeadPacker::Pack(proto::MeshAnswer answer) {
  MessageHead packed;
  MoveHeadersToFields(answer.mutable_headers(), &packed);
  packed.head = answer.SerializeAsString();
  return packed;
}

bool UnpackRequest(const H2Message& message, proto::MeshRequest* request) {
  if (!request->ParseFromString(message.head)) {
    return false;
  }
  for (const std::string& field : message.fields) {
    if (field.empty()) {
      return false;
    }
    std::string text = field.substr(1);
    switch (field.front()) {
      case kServiceTag:
        request->set_service(std::move(text));
        break;
      case kCallerTag:
        request->set_caller_service(std::move(text));
        break;
      case kWorkspaceTag:
        request->set_workspace(std::move(text));
        break;
      case kRouteTag:
        request->set_route(std::move(text));
        break;
      case kMethodTag:
        request->set_method(std::move(text));
        break;
      case kHeaderTag:
        if (!UnpackHeader(text, request->add_headers())) {
          return false;
        }
        break;
      default:
        return false;
    }
  }
  return true;
}

proto::MeshAnswer UnreadableRequestAnswer() {
  proto::MeshAnswer answer;
  answer.set_outcome(proto::MESH_NOT_RUN);
  answer.set_reason(proto::MESH_BROKEN);
  return answer;
}

bool UnpackAnswer(const H2Message& message, proto::MeshAnswer* answer) {
  if (!answer->ParseFromString(message.head) || !IsValid(*answer)) {
    return false;
  }
  return std::all_of(message.fields.begin(), message.fields.end(), [&](const std::string& field) {
    return field.starts_with(kHeaderTag) && UnpackHeader(field.substr(1), answer->add_headers());
  });
}

}  // namespace magnoliaarch
