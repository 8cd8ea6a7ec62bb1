#include "magnoliaarch/types.h"

#include <sys/random.h>
#include <time.h>

#include <bit>
#include <charconv>

#include <fmt/format.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace magnoliaarch {
namespace {

bool ParseHex64(std::string_view text, std::uint64_t* value) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace

BootClock::time_point BootClock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(
      std::chrono::duration_cast<duration>(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

std::string RequestId::ToString() const {
  return fmt::format("{:016x}{:016x}", high, low);
}

RequestId RequestId::Parse(std::string_view text) {
  constexpr std::size_t kHalf = 16;
  RequestId id;
  if (text.size() != 2 * kHalf || !ParseHex64(text.substr(0, kHalf), &id.high) ||
      !ParseHex64(text.substr(kHalf), &id.low)) {
    return RequestId{};
  }
  return id;
}

RequestId RequestId::Random() {
  return RequestId{RandomNumber(), RandomNumber()};
}

std::uint64_t RandomNumber() {
  std::uint64_t value = 0;
  while (value == 0) {
    if (getrandom(&value, sizeof(value), 0) != static_cast<ssize_t>(sizeof(value))) {
      value = 0;
    }
  }
  return value;
}

std::uint64_t HashKey(std::string_view routing_key) {
  return XXH3_64bits(routing_key.data(), routing_key.size());
}

std::uint64_t RendezvousHash(std::uint64_t seed, std::string_view node) {
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

SliceHandle SliceOf(std::uint64_t key_hash, std::uint32_t slices) {
  if (slices <= 1) {
    return SliceHandle{0};
  }
  const int bits = std::countr_zero(slices);
  return SliceHandle{static_cast<std::uint32_t>(key_hash >> (64 - bits))};
}

std::string_view ToString(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kPrompt:
      return "prompt";
    case RequestClass::kNormal:
      return "normal";
    case RequestClass::kBulk:
      return "bulk";
  }
  return "normal";
}

std::string_view ToString(RunState state) {
  switch (state) {
    case RunState::kRan:
      return "ran";
    case RunState::kNotRun:
      return "not-run";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace magnoliaarch
