// Conversion of durations to floating-point numbers.

#ifndef MAGNOLIAARCH_SRC_DURATION_P_H_
#define MAGNOLIAARCH_SRC_DURATION_P_H_

#include <chrono>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_DURATION_P_H_
