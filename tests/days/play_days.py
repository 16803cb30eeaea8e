#!/usr/bin/env python3
"""Draws days by seed, plays them one by one on the bench, and prints what broke.

    play_days.py SITE.toml --bench PATH --seeds A-B [--jobs N] [--out DIR] [--without KIND,...] [--play-seed N]

Run in the repository. Each day's TOML file, report and output stay in DIR.
"""

import argparse
import json
import subprocess
import sys
import tomllib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from draw_day import DayDrawer, Entry, day_as_toml
from trouble_kinds import parse_kinds

PLAY_LIMIT_S = 1800
ORDER_WORDS = ("order", "acknowledgement", "unacknowledged")


@dataclass
class DayResult:
    """What one played day brought."""

    seed: int
    kinds: list[str]
    breaks: dict[str, int] = field(default_factory=dict)
    missed: list[str] = field(default_factory=list)
    unacknowledged: list[str] = field(default_factory=list)
    fault: str = ""
    worth: float | None = None
    failure: str = ""

    def is_clean(self) -> bool:
        return not (self.breaks or self.missed or self.unacknowledged or self.fault or self.failure)

    def row(self) -> str:
        rules = ", ".join(f"{rule} {count}" for rule, count in self.breaks.items()) or "-"
        notes = "; ".join(self.missed + self.unacknowledged) or "-"
        trouble = self.failure or self.fault
        worth = "-" if self.worth is None else f"{self.worth:.3f}"
        return " | ".join([str(self.seed), " ".join(self.kinds), rules, notes, worth] + ([trouble] if trouble else []))


def kinds_of(day: Entry) -> list[str]:
    """Returns the kinds of a day, each once, the closing fault last."""
    names = [entry["kind"] for entry in day["plan"] + day["faults"]]
    if "closing" in day:
        names.append("closing:" + day["closing"]["kind"])
    return list(dict.fromkeys(names))


def flat(item: object) -> str:
    return item if isinstance(item, str) else json.dumps(item)


def is_about_orders(text: str) -> bool:
    return any(word in text for word in ORDER_WORDS)


def result_of(seed: int, day: Entry, report: dict) -> DayResult:
    """Reads the bench's report of a day."""
    gate_notes = [flat(item) for item in report.get("short", [])]
    duties = [flat(item) for item in report.get("missed", [])]
    return DayResult(
        seed=seed,
        kinds=kinds_of(day),
        breaks=report.get("breaks", {}),
        missed=[note for note in gate_notes if not is_about_orders(note)],
        unacknowledged=[note for note in gate_notes if is_about_orders(note)] + duties,
        fault=report.get("fault") or "",
        worth=report.get("G"))


class Player:
    """Plays drawn days of one site and keeps their files."""

    def __init__(self, arguments: argparse.Namespace):
        self.arguments = arguments
        self.site = tomllib.loads(arguments.site.read_text())
        listing = subprocess.run([arguments.bench, "kinds", arguments.site], capture_output=True, text=True, check=True)
        self.text = parse_kinds(listing.stdout)
        self.without = frozenset(name for name in arguments.without.split(",") if name)
        arguments.out.mkdir(parents=True, exist_ok=True)

    def play(self, seed: int) -> DayResult:
        day = DayDrawer(self.site, self.text, seed, self.without).draw()
        stem = self.arguments.out / f"{self.site['name']}-{seed}"
        day_file = stem.with_suffix(".toml")
        report_file = stem.with_suffix(".json")
        day_file.write_text(day_as_toml(day))
        report_file.unlink(missing_ok=True)
        command = [self.arguments.bench, "run", self.arguments.site, day_file, "--jobs", str(self.arguments.jobs),
                   "--report", report_file, "--why", f"Drawn day {seed}: {' '.join(kinds_of(day))}"]
        if self.arguments.play_seed is not None:
            command += ["--seed", str(self.arguments.play_seed)]
        failure = self.run(command, stem.with_suffix(".txt"))
        if not report_file.exists():
            return DayResult(seed, kinds_of(day), failure=failure or "no report")
        return result_of(seed, day, json.loads(report_file.read_text()))

    def run(self, command: list, output_file: Path) -> str:
        """Runs the bench; returns why there is no result, or nothing."""
        with output_file.open("w") as output:
            try:
                ended = subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, timeout=PLAY_LIMIT_S, check=False)
            except subprocess.TimeoutExpired:
                return f"given up after {PLAY_LIMIT_S} s"
        return f"exit code {ended.returncode}" if ended.returncode else ""


def print_summary(results: list[DayResult]) -> None:
    """Prints, for each kind, how many days held it and what broke on them."""
    days: Counter[str] = Counter()
    broken: dict[str, Counter[str]] = defaultdict(Counter)
    for result in results:
        for kind in result.kinds:
            days[kind] += 1
            broken[kind].update(result.breaks.keys())
            if result.missed:
                broken[kind]["gate"] += 1
            if result.unacknowledged:
                broken[kind]["orders"] += 1
            if result.fault or result.failure:
                broken[kind]["fault"] += 1
    print("\nkind | days | days with a broken rule, a missed floor or an unacknowledged order")
    for kind, count in sorted(days.items()):
        print(f"{kind} | {count} | {', '.join(f'{rule} {n}' for rule, n in broken[kind].items()) or '-'}")
    print(f"\n{sum(result.is_clean() for result in results)} of {len(results)} days clean")


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=Path)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--seeds", required=True, help="A-B, or one seed")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--out", type=Path, default=Path("run/days"))
    parser.add_argument("--without", default="", help="kinds left out, or many_changes")
    parser.add_argument("--play-seed", type=int, help="the bench's seed, in place of the one drawn with the day")
    return parser.parse_args()


def main() -> int:
    arguments = parse_arguments()
    first, _, last = arguments.seeds.partition("-")
    player = Player(arguments)
    results = []
    print("seed | kinds | rules broken | floors missed; orders | worth", flush=True)
    for seed in range(int(first), int(last or first) + 1):
        results.append(player.play(seed))
        print(results[-1].row(), flush=True)
    print_summary(results)
    return 0 if all(result.is_clean() for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
