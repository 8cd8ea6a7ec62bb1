#include <stdlib.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>

#include "standin_process.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

struct CommandResult {
  int exit_code = -1;
  std::string output;  // standard output and standard error
};

CommandResult RunCtl(const std::string& arguments) {
  const std::string command = Cat("env -u USER ", MAGNOLIAARCH_BINARY_DIR, "/magnolia-ctl ", arguments, " 2>&1");
  CommandResult run;
  std::FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe)) {
    run.output += static_cast<char>(c);
  }
  const int status = pclose(pipe);
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

TEST_CASE("magnolia-ctl returns the documented exit codes when run against the store stand-in", "[process]") {
  char directory[] = "/tmp/magnolia-ctl-test-XXXXXX";
  REQUIRE(mkdtemp(directory) != nullptr);
  const std::string file = Cat(directory, "/catalogue.ini");
  std::ofstream(file) << "[entry archive]\nowner = archive team\nrouting = balanced\ncold_limit = 1\nwarm_limit = 6\n"
                         "[workspace w]\nowner = o\nrate = 10\nburst = 20\n[domain d]\n";
  tests::StandinProcess store("store-standin");
  const std::string flags = Cat("--author aiko --store ", store.Address(), " ");

  // Scripts distinguish success, conflict, invalid input and an unreachable store by the exit code.
  CHECK(RunCtl("check " + file).exit_code == 0);
  CHECK(RunCtl(flags + "apply " + file).exit_code == 0);
  CHECK(RunCtl(flags + "--at_version 0 apply " + file).exit_code == 1);
  CHECK(RunCtl(flags + "apply /nonexistent.ini").exit_code == 2);
  CHECK(RunCtl("--store 127.0.0.1:1 get").exit_code == 3);
  CHECK(RunCtl("--help").exit_code == 0);
  CHECK(RunCtl("--version").exit_code == 0);
  for (const char* usage : {"", "fly", "--colour get", "--store localhost:1 get", "domain out", "get it"}) {
    CAPTURE(usage);
    CHECK(RunCtl(usage).exit_code == 2);
  }
  // A change without an author is refused, because its audit record would name nobody.
  CHECK(RunCtl(Cat("--store ", store.Address(), " domain out d")).exit_code == 2);

  WHEN("the answer to a committed change is lost") {
    store.Fault(R"({"lose_answers": 1})");
    const CommandResult run = RunCtl(flags + "--timeout_ms 500 domain out d");
    INFO(run.output);
    THEN("the change is reported as committed and is written only once") {
      CHECK(run.exit_code == 0);
      CHECK(RunCtl(flags + "get").output.find("; version 2 by aiko") == 0);
      CHECK(RunCtl(flags + "status").output.find("d                out") != std::string::npos);
    }
  }
  std::remove(file.c_str());
  std::remove(directory);
}

}  // namespace
}  // namespace magnoliaarch
