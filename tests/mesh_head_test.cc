#include "mesh_head_p.h"

#include <catch2/catch.hpp>

namespace magnoliaarch {
namespace {

proto::MeshRequest MakeRequest() {
  proto::MeshRequest request;
  request.set_id("r1");
  request.set_service("desk");
  request.set_caller_service("shop");
  request.set_workspace("guild");
  request.set_route("look");
  request.set_method("GET");
  request.set_path("/look/1");
  const auto add = [&request](const std::string& name, const std::string& value) {
    proto::MeshHeader* header = request.add_headers();
    header->set_name(name);
    header->set_value(value);
  };
  add("Host", "h:80");
  add("X-Twice", "1");
  add("X-Twice", "2");
  add("X-Odd", "\xc3\xa9");
  add("X-Space", "a ");
  add("X-Long", std::string(200, 'x'));
  return request;
}

H2Message ToMessage(const MessageHead& packed) {
  H2Message message;
  message.head = packed.head;
  message.fields = packed.fields;
  return message;
}

std::string HeaderValue(const proto::MeshRequest& request, const std::string& name, int skip = 0) {
  for (const proto::MeshHeader& header : request.headers()) {
    if (header.name() == name && skip-- == 0) {
      return header.value();
    }
  }
  return "none";
}

TEST_CASE("unpacking a packed message restores the original or fails") {
  HeadPacker packer;
  SECTION("new strings stay in the envelope") {
    const MessageHead first = packer.Pack(MakeRequest());
    CHECK(first.fields.empty());
    proto::MeshRequest decoded;
    REQUIRE(UnpackRequest(ToMessage(first), &decoded));
    CHECK(decoded.SerializeAsString() == MakeRequest().SerializeAsString());
  }
  // Guards against a request that is changed in transit (UNASKED): every field and header must arrive, and headers with
  // the same name in their order.
  SECTION("repeated strings become header fields if they are valid field values") {
    const MessageHead first = packer.Pack(MakeRequest());
    const MessageHead again = packer.Pack(MakeRequest());
    CHECK(again.head.size() + 40 < first.head.size());
    CHECK(again.fields.size() == 6);
    proto::MeshRequest decoded;
    REQUIRE(UnpackRequest(ToMessage(again), &decoded));
    CHECK(decoded.service() == "desk");
    CHECK(decoded.caller_service() == "shop");
    CHECK(decoded.workspace() == "guild");
    CHECK(decoded.route() == "look");
    CHECK(decoded.method() == "GET");
    CHECK(decoded.path() == "/look/1");
    CHECK(decoded.headers_size() == 6);
    CHECK(HeaderValue(decoded, "Host") == "h:80");
    CHECK(HeaderValue(decoded, "X-Twice") == "1");
    CHECK(HeaderValue(decoded, "X-Twice", 1) == "2");
    CHECK(HeaderValue(decoded, "X-Odd") == "\xc3\xa9");
    CHECK(HeaderValue(decoded, "X-Space") == "a ");
    CHECK(HeaderValue(decoded, "X-Long").size() == 200);
  }
  SECTION("repeated headers of answers become header fields") {
    proto::MeshAnswer answer;
    answer.set_status(200);
    proto::MeshHeader* type = answer.add_headers();
    type->set_name("Content-Type");
    type->set_value("text/plain");
    packer.Pack(answer);
    const MessageHead again = packer.Pack(answer);
    REQUIRE(again.fields.size() == 1);
    proto::MeshAnswer decoded;
    REQUIRE(UnpackAnswer(ToMessage(again), &decoded));
    CHECK(decoded.SerializeAsString() == answer.SerializeAsString());
  }
  SECTION("a message with an invalid header field fails to unpack") {
    H2Message message;
    message.fields = {"?x"};
    proto::MeshRequest request;
    CHECK_FALSE(UnpackRequest(message, &request));
    message.fields = {"hno-colon"};
    CHECK_FALSE(UnpackRequest(message, &request));
    proto::MeshAnswer answer;
    CHECK_FALSE(UnpackAnswer(message, &answer));
  }
}

// Guards against passing on an answer that did not come from a target (MIXED).
TEST_CASE("an answer is unpacked only if it is valid") {
  const auto unpack = [](const std::function<void(proto::MeshAnswer&)>& fill) {
    proto::MeshAnswer answer;
    fill(answer);
    H2Message message;
    message.head = answer.SerializeAsString();
    proto::MeshAnswer decoded;
    return UnpackAnswer(message, &decoded);
  };
  SECTION("an empty message is rejected") {
    CHECK_FALSE(unpack([](proto::MeshAnswer&) {}));
  }
  SECTION("an answer without a final status is rejected") {
    for (const std::uint32_t status : {0U, 1U, 100U, 199U, 600U, 70000U, 4294967295U}) {
      INFO(status);
      CHECK_FALSE(unpack([status](proto::MeshAnswer& answer) { answer.set_status(status); }));
    }
    for (const std::uint32_t status : {200U, 404U, 599U}) {
      CHECK(unpack([status](proto::MeshAnswer& answer) { answer.set_status(status); }));
    }
  }
  SECTION("an answer with an unknown outcome is rejected") {
    CHECK_FALSE(unpack([](proto::MeshAnswer& answer) {
      answer.set_status(200);
      answer.set_outcome(static_cast<proto::MeshOutcome>(proto::MeshOutcome_MAX + 1));
    }));
  }
  // Guards against failing a request as one that may have run, although it has not.
  SECTION("the answer to an unparseable request is valid and says that the request has not run") {
    HeadPacker packer;
    proto::MeshAnswer decoded;
    REQUIRE(UnpackAnswer(ToMessage(packer.Pack(UnreadableRequestAnswer())), &decoded));
    CHECK(decoded.outcome() == proto::MESH_NOT_RUN);
  }
  SECTION("refusals without a status are valid") {
    CHECK(unpack([](proto::MeshAnswer& answer) { answer.set_outcome(proto::MESH_NOT_RUN); }));
    CHECK(unpack([](proto::MeshAnswer& answer) { answer.set_outcome(proto::MESH_UNKNOWN); }));
  }
}

}  // namespace
}  // namespace magnoliaarch
