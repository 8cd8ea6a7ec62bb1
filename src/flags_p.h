// Command-line flags of the programs.

#ifndef MAGNOLIAARCH_FLAGS_P_H_
#define MAGNOLIAARCH_FLAGS_P_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace magnoliaarch {

// Parses the gflags on the command line and returns the remaining arguments. Returns kInvalidArgument for a bad flag,
// whereas the parser of gflags exits with status 1, which means "refused" in magnolia-ctl. Accepts --name=value,
// --name value, --flag and --noflag; "--" ends the flags.
absl::StatusOr<std::vector<std::string>> ParseFlags(int argc, const char* const* argv);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_FLAGS_P_H_
