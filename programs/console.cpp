// console: what operators type. Submits configurations and purges, reads back state.
#include <iostream>

#include "operator/program.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;

namespace {
constexpr auto kWords =
    "console: operators' tool\n"
    "  console submit FILE            submit a configuration, whole or partial\n"
    "  console show                   the configuration in force\n"
    "  console roster                 upstreams and nodes\n"
    "  console purge SERVICE PATH     purge a path\n"
    "  console purge-label SERVICE L  purge everything with a label\n"
    "  console template FILE          submit a template; a change starts a rollout\n"
    "  console tenants FILE           submit tenants\n"
    "  console templates              templates and tenants\n"
    "  console rollouts               all rollouts, with the figures of each decision\n"
    "  console rollout ID             one of them\n"
    "  console change ID              the result of a submission\n"
    "  console status                 one registry's figures\n"
    "The settings are: registries, a list of the registries' HTTP addresses.";
}

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, kWords);
  std::vector<std::string> registries;
  program.addresses("registries", registries, 1);
  program.ready();
  const auto& words = program.words();
  auto is = [&](const char* word, size_t count) { return words.size() == count + 1 && words[0] == word; };
  upstream::Fetch fetch;
  fetch.timeoutMs = 10000;
  auto text = [](const std::string& value) {
    op::Json json(cJSON_CreateString(value.c_str()), cJSON_Delete);
    return op::print(json.get());
  };
  if (is("submit", 1) || is("template", 1) || is("tenants", 1)) {
    auto body = op::readFile(words[1]);
    if (!body) {
      std::cerr << "console: cannot read " << words[1] << "\n";
      return 2;
    }
    fetch.method = "POST", fetch.body = *body;
    fetch.target = words[0] == "submit" ? "/configuration" : words[0] == "template" ? "/templates" : "/tenants";
  } else if (is("purge", 2)) {
    fetch.method = "POST", fetch.target = "/purge",
    fetch.body = "{\"service\":" + text(words[1]) + ",\"path\":" + text(words[2]) + "}";
  } else if (is("purge-label", 2)) {
    fetch.method = "POST", fetch.target = "/purge",
    fetch.body = "{\"service\":" + text(words[1]) + ",\"label\":" + text(words[2]) + "}";
  } else if (is("change", 1)) {
    fetch.target = "/changes/" + words[1];
  } else if (is("rollout", 1)) {
    fetch.target = "/rollouts/" + words[1];
  } else if (is("templates", 0) || is("rollouts", 0)) {
    fetch.target = "/" + words[0];
  } else if (is("show", 0) || is("roster", 0) || is("status", 0)) {
    fetch.target = words[0] == "show" ? "/configuration" : "/" + words[0];
  } else {
    std::cerr << kWords << "\n";
    return 2;
  }
  // A registry that can't be reached, or that takes no part now, is passed over; an answer is final. A
  // submission of which some byte left is not sent again without an id of its own.
  for (const auto& address : registries) {
    fetch.address = address;
    auto answer = upstream::fetchOnce(fetch);
    auto isPost = fetch.method == "POST";
    if (answer.fault == upstream::Fault::kNone && answer.status != 503) {
      std::cout << answer.body;
      return answer.status == 200 ? 0 : 1;
    }
    if (isPost && answer.fault != upstream::Fault::kNone && !answer.isUntouched) {
      std::cerr << "console: " << address << " gave no answer; the outcome is unknown\n";
      return 1;
    }
    std::cerr << "console: " << address
              << (answer.fault == upstream::Fault::kNone ? " turned it away" : " can't be reached") << "\n";
  }
  return 1;
}
