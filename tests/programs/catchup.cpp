// catchup: how long a registry takes to be current again, by the number of changes that it missed, in virtual time.
// Prints a table and writes a plot. Example: `build/bin/catchup docs/control-safety-catchup.svg`
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "sim/catchup_sim.hpp"

using namespace dykestage;

namespace {
struct Row {
  sim::Absence absence;
  int changes;
  sim::CatchUpResult result;
};

struct Series {
  sim::Absence absence;
  const char* name;
  const char* color;
};
constexpr Series kSeries[] = {{sim::Absence::kPowerLoss, "power lost", "#1b6ca8"},
                              {sim::Absence::kWipe, "disk wiped", "#b23a48"},
                              {sim::Absence::kFreeze, "stood still", "#3a7d44"}};
constexpr int kChanges[] = {10, 100, 1000, 10000};

constexpr double kLeft = 70, kTop = 30, kWidth = 480, kHeight = 260;
constexpr double kMostMs = 3000;
constexpr double kDecades = 3;  // from 10 to 10,000 changes

auto measure() -> std::vector<Row> {
  std::vector<Row> rows;
  for (const auto& series : kSeries)
    for (auto changes : kChanges)
      rows.push_back({series.absence, changes, sim::CatchUpSim({.changes = changes, .absence = series.absence}).run()});
  return rows;
}

auto nameOf(sim::Absence absence) -> std::string {
  for (const auto& series : kSeries)
    if (series.absence == absence) return series.name;
  return "";
}

auto print(const std::vector<Row>& rows) -> void {
  std::cout
      << "| absence | changes missed | current again, ms | bytes sent to it | longest acknowledgement meanwhile, ms "
         "| largest log, bytes |\n|---|---|---|---|---|---|\n";
  for (const auto& row : rows)
    std::cout << "| " << nameOf(row.absence) << " | " << row.changes << " | " << row.result.catchUpMs << " | "
              << row.result.catchUpBytes << " | " << row.result.longestCatchUpAckMs << " | "
              << row.result.largestRingBytes << " |\n";
}

auto xOf(int changes) -> double {
  return kLeft + kWidth * (std::log10(changes) - 1) / kDecades;
}
auto yOf(int64_t ms) -> double {
  return kTop + kHeight * (1 - std::min(kMostMs, static_cast<double>(ms)) / kMostMs);
}

auto text(double x, double y, const std::string& anchor, const std::string& what) -> std::string {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" text-anchor=\"" + anchor + "\">" +
         what + "</text>\n";
}

auto plot(const std::vector<Row>& rows) -> std::string {
  std::string svg =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"680\" height=\"350\" font-family=\"sans-serif\" "
      "font-size=\"12\">\n<rect width=\"680\" height=\"350\" fill=\"white\"/>\n";
  svg += text(kLeft, 18, "start", "Milliseconds until a registry is current again, by changes missed");
  for (int ms = 0; ms <= static_cast<int>(kMostMs); ms += 500)
    svg += "<path d=\"M" + std::to_string(kLeft) + " " + std::to_string(yOf(ms)) + "h" + std::to_string(kWidth) +
           "\" stroke=\"#ddd\"/>\n" + text(kLeft - 8, yOf(ms) + 4, "end", std::to_string(ms));
  for (auto changes : kChanges)
    svg += text(xOf(changes), kTop + kHeight + 20, "middle", std::to_string(changes));
  double legendY = kTop + 20;
  for (const auto& series : kSeries) {
    std::string path;
    for (const auto& row : rows)
      if (row.absence == series.absence)
        path += (path.empty() ? "M" : "L") + std::to_string(xOf(row.changes)) + " " +
                std::to_string(yOf(row.result.catchUpMs));
    svg += "<path d=\"" + path + "\" fill=\"none\" stroke-width=\"2\" stroke=\"" + series.color + "\"/>\n";
    svg += "<g fill=\"" + std::string(series.color) + "\">" + text(kLeft + kWidth + 10, legendY, "start", series.name) +
           "</g>\n";
    legendY += 20;
  }
  return svg + "</svg>\n";
}
}  // namespace

auto main(int argc, char** argv) -> int {
  auto rows = measure();
  print(rows);
  if (argc > 1) std::ofstream(argv[1]) << plot(rows);
  for (const auto& row : rows)
    if (row.result.catchUpMs < 0) return 1;
  return 0;
}
