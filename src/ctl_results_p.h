// Helpers shared by the commands of magnolia-ctl.

#ifndef MAGNOLIAARCH_SRC_CTL_RESULTS_P_H_
#define MAGNOLIAARCH_SRC_CTL_RESULTS_P_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "ctl_commands_p.h"

namespace magnoliaarch {

inline constexpr std::string_view kCataloguePrefix = "/magnolia/catalogue/";

// Formats a Unix time in milliseconds as UTC with seconds, for example "2026-01-31T08:00:00Z".
std::string FormatTime(std::uint64_t unix_ms);

std::string StatusText(const absl::Status& status);

// Returns the result of a command that cannot reach the store.
CtlResult StoreUnavailable(const absl::Status& status);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_CTL_RESULTS_P_H_
