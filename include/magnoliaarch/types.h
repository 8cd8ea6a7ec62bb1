// Basic value types shared by all modules: time, identifiers, requests and answers.

#ifndef MAGNOLIAARCH_TYPES_H_
#define MAGNOLIAARCH_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaarch {

// Monotonic clock in microseconds that keeps running while the process or the host is suspended (CLOCK_BOOTTIME). State
// machines do not read it; the caller passes the time in.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

// Identifies one run of a node's process. The number is random, non-zero and different at each start.
struct IncarnationId {
  std::string node;
  std::uint64_t number = 0;

  bool IsValid() const { return number != 0; }
  auto operator<=>(const IncarnationId&) const = default;
};

// Unique id of a caller's request: 128 random bits. All zero is the invalid id.
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool IsValid() const { return high != 0 || low != 0; }
  auto operator<=>(const RequestId&) const = default;
  // Returns 32 lower-case hexadecimal digits.
  std::string ToString() const;
  // Returns the invalid id if the text is not 32 hexadecimal digits.
  static RequestId Parse(std::string_view text);
  static RequestId Random();
};

// Returns a random non-zero 64-bit number from the operating system, for incarnations and write ids.
std::uint64_t RandomNumber();

// Index of a slice in a keyed entry's hash space.
struct SliceHandle {
  static constexpr std::uint32_t kInvalidIndex = UINT32_MAX;
  std::uint32_t index = kInvalidIndex;

  bool IsValid() const { return index != kInvalidIndex; }
  auto operator<=>(const SliceHandle&) const = default;
};

// Returns the 64-bit XXH3 hash of a routing key.
std::uint64_t HashKey(std::string_view routing_key);

// Returns the rendezvous hash of a node. The seed identifies the object that is assigned to a node. Allocates no
// memory, because the hash is computed for every member.
std::uint64_t RendezvousHash(std::uint64_t seed, std::string_view node);

// Returns the slice of a key hash in an entry with the given number of slices, which must be a power of two.
SliceHandle SliceOf(std::uint64_t key_hash, std::uint32_t slices);

// Priority class of a request, highest priority first.
enum class RequestClass { kPrompt, kNormal, kBulk };
inline constexpr int kRequestClassCount = 3;

// Returns "prompt", "normal" or "bulk".
std::string_view ToString(RequestClass request_class);

// Whether a target executed a request, as reported to the caller in X-Run-State.
enum class RunState { kRan, kNotRun, kUnknown };

// Returns "ran", "not-run" or "unknown".
std::string_view ToString(RunState state);

// One HTTP header field.
struct Header {
  std::string name;
  std::string value;
  bool operator==(const Header&) const = default;
};

// A caller's request after admission: authenticated, classified and routed, without the workspace key.
struct Request {
  RequestId id;
  std::string entry;
  std::string workspace;  // empty on entries open to all
  RequestClass request_class = RequestClass::kNormal;
  std::string kind;  // value of X-Request-Kind, may be empty
  bool idempotent = false;
  bool keyed = false;
  std::uint64_t key_hash = 0;  // keyed entries only
  SliceHandle slice;           // keyed entries only
  std::uint64_t epoch = 0;     // epoch of the ownership grant that the ingress used for routing
  std::string method;
  std::string path;  // path and query sent to the target, without the entry name
  std::vector<Header> headers;
  std::string body;
  TimePoint deadline;
};

// The answer to a request. A refusal is an answer of a node instead of the target: it has an error kind and the HTTP
// status of that kind (see error.h).
struct Response {
  RequestId id;
  int status = 0;
  RunState run_state = RunState::kUnknown;
  std::string error_kind;  // empty: the target's own answer
  std::string detail;      // refusals only: explanation for the caller
  std::vector<Header> headers;
  std::string body;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TYPES_H_
