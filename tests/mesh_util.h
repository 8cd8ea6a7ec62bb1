// Helpers of the mesh tests: an event loop that runs until a condition holds, and free ports on loopback.

#ifndef MAGNOLIAARCH_TESTS_MESH_UTIL_H_
#define MAGNOLIAARCH_TESTS_MESH_UTIL_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

inline constexpr Duration kTestTimeout = std::chrono::seconds(10);

// Runs the event loop until the condition holds. Returns false on timeout.
inline bool RunUntil(asio::io_context& context,
                     const std::function<bool()>& condition,
                     Duration timeout = kTestTimeout) {
  const TimePoint end = BootClock::now() + timeout;
  while (!condition()) {
    if (BootClock::now() > end) {
      return false;
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(2));
  }
  return true;
}

inline void RunFor(asio::io_context& context, Duration duration) {
  RunUntil(
      context, [] { return false; }, duration);
}

inline std::uint16_t FreePort(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

inline TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_MESH_UTIL_H_
