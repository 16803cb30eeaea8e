#include "operator/program.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "file with the settings, as one JSON object");
ABSL_FLAG(std::vector<std::string>, set, {},
          "settings given one by one, key=value,key=value; they go before the file's");
ABSL_FLAG(bool, check, false, "check the settings and stop");

namespace dykestage::op {

namespace {
constexpr int64_t kRereadMs = 1000;
std::atomic<bool> stopping{false}, mustReread{false};
int stopEvent = -1;

auto onSignal(int) -> void {
  stopping.store(true);
  uint64_t one = 1;
  (void)!::write(stopEvent, &one, sizeof one);
}

auto onHangup(int) -> void {
  mustReread.store(true);
}

// The default of SIGHUP ends a process: it may come before the settings are read.
auto catchHangup() -> void {
  struct sigaction action {};
  action.sa_handler = onHangup;
  ::sigaction(SIGHUP, &action, nullptr);
}

auto where() -> std::string {
  auto path = absl::GetFlag(FLAGS_settings);
  return path.empty() ? "what there is" : path;
}

[[noreturn]] auto refuse(const std::string& what) -> void {
  std::cerr << "settings: " << what << "\n";
  std::exit(2);
}
}  // namespace

Program::Program() : faults_(std::make_unique<std::vector<Fault>>()), json_(nullptr, cJSON_Delete) {}

auto Program::start(int argc, char** argv, const std::string& about) -> Program {
  return startWith(argc, argv, about, [] {
    auto path = absl::GetFlag(FLAGS_settings);
    return path.empty() ? std::optional<std::string>("{}") : readFile(path);
  });
}

auto Program::startWith(int argc, char** argv, const std::string& about, Source source) -> Program {
  catchHangup();
  Program program;
  program.name_ = argv[0];
  absl::SetProgramUsageMessage(about + "\nSettings are listed in docs/settings.md.");
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("dykestage ") + kVersion + "\n"; };
  // --help shows the program's own flags, whichever file they stand in.
  config.contains_help_flags = [](absl::string_view file) {
    return file.find("program.cpp") != absl::string_view::npos;
  };
  config.contains_helpshort_flags = config.contains_help_flags;
  absl::SetFlagsUsageConfig(config);
  auto left = absl::ParseCommandLine(argc, argv);
  for (size_t i = 1; i < left.size(); ++i)
    program.words_.emplace_back(left[i]);
  program.source_ = std::move(source);
  auto text = program.source_();
  if (!text) refuse("cannot read " + where());
  if (auto fault = program.take(*text); !fault.empty()) refuse(fault);
  return program;
}

// Returns why the text can't be taken; empty: it is.
auto Program::take(const std::string& text) -> std::string {
  auto json = parse(text);
  if (!json) return where() + " is not JSON";
  for (const auto& one : absl::GetFlag(FLAGS_set)) {
    auto at = one.find('=');
    if (at == std::string::npos || at == 0) return "--set wants key=value, not " + one;
    auto key = one.substr(0, at), value = one.substr(at + 1);
    auto item = parse(value);
    auto* made = item && !cJSON_IsNull(item.get()) ? item.release() : cJSON_CreateString(value.c_str());
    if (cJSON_GetObjectItemCaseSensitive(json.get(), key.c_str()))
      cJSON_ReplaceItemInObjectCaseSensitive(json.get(), key.c_str(), made);
    else
      cJSON_AddItemToObject(json.get(), key.c_str(), made);
  }
  text_ = text;
  faults_->clear();
  json_ = std::move(json);
  fields_ = std::make_unique<Fields>(json_.get(), "", *faults_);
  return "";
}

auto Program::reread(int64_t nowMs) -> bool {
  if (!mustReread.exchange(false) && nowMs - rereadMs_ < kRereadMs) return false;
  rereadMs_ = nowMs;
  auto text = source_();
  if (!text || *text == text_) return false;
  auto fault = take(*text);
  if (fault.empty()) return true;
  text_ = *text;  // is told once
  LOG(ERROR) << "settings: " << fault << "; the earlier ones hold.";
  return false;
}

auto Program::isWell() const -> bool {
  for (const auto& fault : *faults_)
    LOG(ERROR) << "settings: " << fault.place << " " << fault.what << "; the earlier ones hold.";
  return faults_->empty();
}

auto Program::part(const std::string& key) -> std::optional<Fields> {
  const auto* object = fields_->raw(key);
  return object ? std::optional<Fields>(std::in_place, object, key, *faults_) : std::nullopt;
}

auto Program::address(const std::string& key, std::string& into, bool needed) -> void {
  if (!fields_->text(key, into, needed)) return;
  auto isFree = into.ends_with(":0") && isAddress(into.substr(0, into.size() - 1) + "1");
  if (!isFree && !isAddress(into)) fields_->fault(key, "must be an IP number and a port");
}

auto Program::addresses(const std::string& key, std::vector<std::string>& into, size_t least) -> void {
  fields_->texts(key, into);
  if (into.size() < least) fields_->fault(key, "must name at least " + std::to_string(least));
  for (const auto& one : into)
    if (!isAddress(one)) fields_->fault(key, one + " must be an IP number and a port");
}

auto Program::ready() -> void {
  fields_->close();
  if (!faults_->empty()) {
    for (const auto& fault : *faults_)
      std::cerr << "settings: " << fault.place << " " << fault.what << "\n";
    std::exit(2);
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "settings: well\n";
    std::exit(0);
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name_.c_str());
  stopEvent = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  struct sigaction action {};
  action.sa_handler = onSignal;
  ::sigaction(SIGTERM, &action, nullptr);
  ::sigaction(SIGINT, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
}

auto Program::isStopping() -> bool {
  return stopping.load();
}
auto Program::stopFd() -> int {
  return stopEvent;
}

auto splitAddress(const std::string& address) -> std::pair<std::string, uint16_t> {
  auto colon = address.rfind(':');
  return {address.substr(0, colon), static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1))};
}

auto readFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace dykestage::op
