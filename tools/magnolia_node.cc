// The node process, one for each target host.

#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "magnoliaarch/settings.h"
#include "magnoliaarch/types.h"
#include "node_p.h"

DEFINE_string(settings, "", "Settings file (INI).");
DEFINE_bool(check, false, "Check the settings and exit.");
DEFINE_bool(print_admin_token, false, "Print the bearer token of the admin port and exit.");

namespace magnoliaarch {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(50);
constexpr int kExitFailure = 1;

volatile std::sig_atomic_t g_stop_requested = 0;

void RequestStop(int) {
  g_stop_requested = 1;
}

void StartLogging(const NodeSettings& settings) {
  log4cplus::SharedAppenderPtr appender;
  if (settings.log_file.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(settings.log_file, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q%z} %p %c %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  std::string level = settings.log_level;
  for (char& letter : level) {
    letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

// Runs one incarnation of the node until it is stopped or fenced. Returns whether it was fenced. Sets `exit_code` if it
// was not.
bool RunIncarnation(NodeSettings* settings, int* exit_code) {
  Node node(*settings, RandomNumber());
  const absl::Status status = node.Start();
  if (!status.ok()) {
    fmt::print(stderr, "magnolia-node: {}\n", std::string(status.message()));
    *exit_code = kExitFailure;
    return false;
  }
  const NodePorts ports = node.Ports();
  fmt::print("ready ingress={} peer={} admin={}\n", ports.ingress, ports.peer, ports.admin);
  std::fflush(stdout);
  // The next incarnation uses the same ports.
  settings->ingress_port = ports.ingress;
  settings->peer_port = ports.peer;
  settings->admin_port = ports.admin;
  while (g_stop_requested == 0 && !node.IsFenced() && !node.StopRequested()) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  if (node.IsFenced()) {
    node.Stop();
    return true;
  }
  *exit_code = node.StopGracefully() ? 0 : kExitFailure;
  return false;
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("magnolia-node --settings FILE [--check]");
  gflags::SetVersionString(MAGNOLIAARCH_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    fmt::print(stderr, "magnolia-node: usage: magnolia-node --settings FILE [--check]\n");
    return magnoliaarch::kExitBadInput;
  }
  absl::StatusOr<magnoliaarch::NodeSettings> settings = magnoliaarch::LoadNodeSettings(FLAGS_settings);
  if (!settings.ok()) {
    fmt::print(stderr, "{}\n", std::string(settings.status().message()));
    return magnoliaarch::kExitBadInput;
  }
  if (FLAGS_print_admin_token) {
    fmt::print("{}\n", magnoliaarch::AdminToken(settings->cluster_secret));
    return 0;
  }
  if (FLAGS_check) {
    fmt::print("{}: settings are valid\n", FLAGS_settings);
    return 0;
  }
  std::signal(SIGTERM, magnoliaarch::RequestStop);
  std::signal(SIGINT, magnoliaarch::RequestStop);
  std::signal(SIGPIPE, SIG_IGN);
  const log4cplus::Initializer initializer;
  magnoliaarch::StartLogging(*settings);
  int exit_code = 0;
  while (magnoliaarch::RunIncarnation(&*settings, &exit_code)) {
  }
  return exit_code;
}
