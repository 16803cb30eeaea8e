// Caller: recorded days. One JSON object a line: when (ms since the record began), method, host, target, and
// whether the request had a body, a key or credentials; never bodies, credentials or other headers.
#pragma once
#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace dykestage::caller {

struct Recorded {
  int64_t atMs = 0;
  std::string method, host, target;
  int64_t bodyBytes = 0;
  bool hasKey = false;
};

/// Writes a record, up to a bound, then stops. Example: `Recorder record("day.jsonl", 1 << 30); record.add(one);`
class Recorder {
 public:
  Recorder(const std::string& path, int64_t boundBytes) : out_(path, std::ios::app), boundBytes_(boundBytes) {}
  /// False once the bound is reached or the file can't be written. Example: `record.add({12, "GET", "h", "/"})`
  auto add(const Recorded& one) -> bool;

 private:
  std::ofstream out_;
  int64_t boundBytes_, bytes_ = 0;
};

/// One line as text. Example: `line({12, "GET", "shop.test", "/a"})`
auto line(const Recorded& one) -> std::string;
/// Reads a record; on a broken line, nothing, and the reason with the line's number.
/// Example: `auto day = readRecord(path, reason); if (!day) std::cerr << reason;`
auto readRecord(const std::string& path, std::string& reason) -> std::optional<std::vector<Recorded>>;

}  // namespace dykestage::caller
