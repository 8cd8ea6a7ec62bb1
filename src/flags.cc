#include <gflags/gflags.h>

#include "flags_p.h"
#include "text_p.h"

namespace magnoliaarch {

absl::StatusOr<std::vector<std::string>> ParseFlags(int argc, const char* const* argv) {
  std::vector<std::string> arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--") {
      arguments.insert(arguments.end(), argv + i + 1, argv + argc);
      break;
    }
    if (argument.size() < 2 || argument[0] != '-') {
      arguments.push_back(argument);
      continue;
    }
    std::string name = argument.substr(argument[1] == '-' ? 2 : 1);
    const std::size_t equals = name.find('=');
    bool has_value = equals != std::string::npos;
    std::string value = has_value ? name.substr(equals + 1) : std::string();
    name = name.substr(0, equals);
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
      if (has_value || !name.starts_with("no") || !gflags::GetCommandLineFlagInfo(name.c_str() + 2, &info) ||
          info.type != "bool") {
        return absl::InvalidArgumentError(Cat("unknown flag --", name, ", see --help"));
      }
      name = name.substr(2);
      value = "false";
      has_value = true;
    }
    if (!has_value && info.type == "bool") {
      value = "true";
    } else if (!has_value) {
      if (i + 1 == argc) {
        return absl::InvalidArgumentError(Cat("flag --", name, " lacks its value"));
      }
      value = argv[++i];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return absl::InvalidArgumentError(
          Cat("flag --", name, " has the value '", value, "', expected a value of type ", info.type));
    }
  }
  return arguments;
}

}  // namespace magnoliaarch
