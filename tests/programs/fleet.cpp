// fleet: runs a whole deployment on one machine, for tests and trials only.
#include <glog/logging.h>
#include <poll.h>

#include <fstream>
#include <iostream>

#include "operator/program.hpp"
#include "sim/fleet.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "fleet: a whole deployment on one machine, for trials");
  auto props = sim::Fleet::take(program);
  program.ready();
  sim::Fleet fleet(props);
  fleet.startAll();
  auto list = [](const std::vector<std::string>& values) {
    std::string joined;
    for (const auto& v : values)
      joined += (joined.empty() ? "\"" : ",\"") + v + "\"";
    return "[" + joined + "]";
  };
  // What console and caller need, ready to be given as their settings.
  std::ofstream(props.folder + "/console.json") << "{\"registries\":" << list(fleet.https("registry")) << "}\n";
  std::string edges, accounts;
  for (const auto& name : fleet.names("origin"))
    accounts += (accounts.empty() ? "\"" : ",\"") + name + "\":\"" + fleet.account(name) + "\"";
  for (const auto& name : fleet.names("edge"))
    edges += (edges.empty() ? "" : ",") + std::string("{\"address\":\"") + fleet.http(name) + "\",\"site\":\"" +
             fleet.site(name) + "\",\"status\":\"" + fleet.status(name) + "\"}";
  std::ofstream(props.folder + "/targets.json") << "{\"edges\":[" << edges << "],\"accounts\":{" << accounts << "}}\n";
  if (!fleet.awaitReady(30000)) {
    LOG(ERROR) << "fleet: Not every process became ready; see the logs in " << props.folder << ".";
    return 1;
  }
  std::cout << "fleet: ready; settings for console and caller are in " << props.folder << "\n" << std::flush;
  while (!op::Program::isStopping()) {
    pollfd fd{op::Program::stopFd(), POLLIN, 0};
    ::poll(&fd, 1, 1000);
  }
  return 0;
}
