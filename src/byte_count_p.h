// Number of bytes sent and received on connections.

#ifndef MAGNOLIAARCH_SRC_BYTE_COUNT_P_H_
#define MAGNOLIAARCH_SRC_BYTE_COUNT_P_H_

#include <cstdint>

namespace magnoliaarch {

struct ByteCount {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_BYTE_COUNT_P_H_
