// Operator: what every program of dykestage shares: command line, checked settings, logs, signals.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operator/configuration.hpp"

namespace dykestage::op {

inline constexpr auto kVersion = "0.1.0";

/// Reads the command line and the settings; a fault names the field, nothing is started, exit code 2.
/// Example:
///   auto program = Program::start(argc, argv, "edge: takes callers' requests");
///   program.settings().text("name", props.name, true);
///   program.ready();
class Program {
 public:
  static auto start(int argc, char** argv, const std::string& about) -> Program;
  /// Reads the settings' JSON text; nothing when it can't be had.
  using Source = std::function<std::optional<std::string>()>;
  /// The same with settings from elsewhere than --settings.
  /// Example: `auto program = Program::startWith(argc, argv, "edge: ...", [] { return readFile("/etc/edge.json"); });`
  static auto startWith(int argc, char** argv, const std::string& about, Source source) -> Program;
  /// The settings, to be asked field by field. Example: `program.settings().integer("boundMs", 500, 60000, ms);`
  auto settings() -> Fields& { return *fields_; }
  /// An object among the settings, to be asked field by field and closed; none if it is not there.
  /// Example: `if (auto headers = program.part("headers")) headers->text("load", names.load);`
  auto part(const std::string& key) -> std::optional<Fields>;
  /// A needed "ip:port". Example: `program.address("http", props.http);`
  auto address(const std::string& key, std::string& into, bool needed = true) -> void;
  /// A needed list of them. Example: `program.addresses("seeds", props.seeds, 3);`
  auto addresses(const std::string& key, std::vector<std::string>& into, size_t least) -> void;
  /// Ends the checking: exits with 2 on any fault, with 0 after --check; then logs and signals are set up. SIGHUP is
  /// caught from the start on.
  auto ready() -> void;
  /// Looks for other settings about every second, and at once after SIGHUP; true when there are some: settings() is
  /// then to be asked again, and isWell() tells whether what was asked has no fault; faults are logged. Example: `if
  /// (program.reread(nowMs)) { program.addresses("seeds", fresh, 1); if (program.isWell()) seeds = fresh; }`
  auto reread(int64_t nowMs) -> bool;
  auto isWell() const -> bool;
  /// True once SIGTERM or SIGINT came; a second one changes nothing. Example: `while (!Program::isStopping()) ...`
  static auto isStopping() -> bool;
  /// Readable once isStopping() is true. Example: `pollfd{Program::stopFd(), POLLIN, 0}`
  static auto stopFd() -> int;
  /// The words that are no flags. Example: `console purge shop /cover/7`
  auto words() const -> const std::vector<std::string>& { return words_; }

 private:
  Program();
  auto take(const std::string& text) -> std::string;
  Source source_;
  std::string text_;  // as last read
  int64_t rereadMs_ = 0;
  std::unique_ptr<std::vector<Fault>> faults_;
  Json json_;
  std::unique_ptr<Fields> fields_;
  std::vector<std::string> words_;
  std::string name_;
};

/// Splits "ip:port". Example: `auto [ip, port] = splitAddress("127.0.0.1:80");`
auto splitAddress(const std::string& address) -> std::pair<std::string, uint16_t>;
/// Reads a file whole; empty when it can't be read. Example: `readFile("a.json")`
auto readFile(const std::string& path) -> std::optional<std::string>;

}  // namespace dykestage::op
