#!/usr/bin/env python3
"""Draws a day of troubles for a site, from the site file, the text of `fleetbench kinds SITE`, and a seed.

    draw_day.py SITE.toml KINDS.txt SEED [--without KIND,...] > DAY.toml

The same arguments give the same day. Durations, counts, bounds and traffic come from the site file; the kinds, their
fields and variants from the text. More than half of the troubles strike the control plane.
"""

import argparse
import random
import sys
import tomllib
from pathlib import Path
from typing import Any

from trouble_kinds import KindsText, TroubleKind, parse_kinds

Entry = dict[str, Any]
Site = dict[str, Any]

CONTROL_PREFIXES = ("after_ack_", "ack_", "big_config", "clock_", "config_", "core_", "disk_", "herd_", "node_freeze",
                    "node_kill", "replace_core", "roll_", "seed_")
# Kinds of the control plane that come with FREQUENT_WEIGHT times the likelihood of the others.
FREQUENT_PREFIXES = ("after_ack_", "core_", "node_kill", "node_freeze", "replace_core")
FREQUENT_WEIGHT = 2
# Kinds that strike at an acknowledgement, and so need a change to be acknowledged.
AT_ACKNOWLEDGEMENT_PREFIX = "after_ack_"
MACHINE_PREFIXES = ("after_ack_", "clock_", "core_", "disk_", "herd_", "hup", "node_", "replace_core", "reset_conns",
                    "roll_")
SERVER_PREFIXES = ("answer_", "garble", "release", "replace_with", "scale_", "srv_")
PLANNED_PREFIXES = ("bad_config", "big_config", "config_", "purge", "release", "roll_", "scale_")
# Kinds that may strike the counted machines instead of the others.
ON_CORE_PREFIXES = ("clock_", "herd_", "hup", "node_freeze", "node_kill", "node_slow", "reset_conns", "roll_")

CONTROL_SHARE = 0.65
KINDS_IN_DAY = (1, 2, 3)
KINDS_IN_DAY_WEIGHTS = (2, 5, 4)
REPEATS = (1, 2, 3)
REPEATS_WEIGHTS = (4, 3, 3)
SAME_MOMENT_SHARE = 0.3
SAME_MOMENT_SPREAD_S = 1.5
SITE_EXAMPLE_SHARE = 0.3
ON_CORE_SHARE = 0.6
TARGET_SHARE = 0.4
ADDITION_SHARE = 0.25
ZONE_SHARE = 0.15
CLOSING_SHARE = 0.6
CLOSING_DOWN_S = (0.5, 2.0)
# When a disk is lost at the end, all other machines may lose power, also those that don't count.
CLOSING_WIPE_KIND = "wipe_after_ack"
CLOSING_POWER_OF_ALL_SHARE = 0.5
# The users' letter: a control machine cut off for some twenty seconds.
LONG_CUT_SHARE = 0.5
LONG_CUT_S = (17.0, 23.0)
MANY_CHANGES_SHARE = 0.3
MANY_CHANGES = (100, 280)
RACE_STORM_COUNT = (8, 30)
# Changes that go on while other troubles strike, so that each trouble meets orders under way.
CHANGES_MEANWHILE_SHARE = 0.4
CHANGES_MEANWHILE = (15, 60)
# A purge sent in the last moment of a day is never acknowledged within it.
PURGE_END_MARGIN_S = 2.0
DEFAULT_FOR_S = 5.0
DEFAULT_GAP_S = 1.0
SCALE = (0.6, 1.6)
SHARE_MOST = 1.0
# The text calls a share of this kind "share x"; nothing lies above all.
RATIO_X_MOST = 1.0
MANY_CHANGES_KIND = "many_changes"


class DayDrawer:
    """Draws one day. Every choice comes from one random generator, so the seed decides the day."""

    def __init__(self, site: Site, text: KindsText, seed: int, without: frozenset[str] = frozenset()):
        self.site = site
        self.text = text
        self.seed = seed
        self.without = without
        self.random = random.Random(seed)
        self.length_s = float(site["length_s"])
        self.examples = self.site_examples()

    def site_examples(self) -> dict[str, list[Entry]]:
        """Returns the entries that the site file itself shows, by kind."""
        examples: dict[str, list[Entry]] = {}
        entries = list(self.site.get("troubles", []))
        for day in self.site.get("day", []):
            entries += day.get("plan", []) + day.get("faults", [])
        for entry in entries:
            examples.setdefault(entry["kind"], []).append(entry)
        return examples

    def draw(self) -> Entry:
        """Returns the day."""
        day: Entry = {"name": f"drawn-{self.seed}", "seed": self.random.randrange(1, 2**28)}
        entries = self.draw_entries()
        if self.chance(CLOSING_SHARE) and self.text.closing_kinds:
            day["closing"] = self.draw_closing()
        standard = self.random.choice(self.site["day"])
        for name in ("goal", "floor_classes", "floor_zones", "one", "zero", "traffic"):
            if name in standard:
                day[name] = standard[name]
        day["plan"] = [entry for entry in entries if is_planned(entry)]
        day["faults"] = [entry for entry in entries if not is_planned(entry)]
        return day

    def draw_entries(self) -> list[Entry]:
        count = self.random.choices(KINDS_IN_DAY, KINDS_IN_DAY_WEIGHTS)[0]
        kinds = [self.draw_kind() for _ in range(count)]
        common_moment = self.draw_moment() if self.chance(SAME_MOMENT_SHARE) else None
        entries = []
        for kind in kinds:
            for _ in range(self.random.choices(REPEATS, REPEATS_WEIGHTS)[0]):
                at = self.draw_moment()
                if common_moment is not None:
                    at = common_moment + self.random.uniform(0, SAME_MOMENT_SPREAD_S)
                entries.append(self.draw_entry(kind, at))
                if kind.name.startswith(AT_ACKNOWLEDGEMENT_PREFIX) and "config_change" not in self.without:
                    entries.append({"at": round(at + self.random.uniform(0.1, 1.0), 2), "kind": "config_change"})
        if MANY_CHANGES_KIND not in self.without and self.chance(MANY_CHANGES_SHARE):
            entries += self.draw_changes(self.random.randint(*MANY_CHANGES))
        elif "config_race" not in self.without and self.chance(CHANGES_MEANWHILE_SHARE):
            entries += self.draw_changes(self.random.randint(*CHANGES_MEANWHILE))
        return sorted(entries, key=lambda entry: entry["at"])

    def draw_moment(self) -> float:
        return self.random.uniform(0, self.length_s)

    def draw_kind(self) -> TroubleKind:
        """Draws a kind; those of the control plane come with the share CONTROL_SHARE."""
        allowed = [kind for name, kind in self.text.kinds.items() if name not in self.without]
        control = [kind for kind in allowed if kind.name.startswith(CONTROL_PREFIXES)]
        others = [kind for kind in allowed if not kind.name.startswith(CONTROL_PREFIXES)]
        if others and (not control or not self.chance(CONTROL_SHARE)):
            return self.random.choice(others)
        weights = [FREQUENT_WEIGHT if kind.name.startswith(FREQUENT_PREFIXES) else 1 for kind in control]
        return self.random.choices(control, weights)[0]

    def draw_entry(self, kind: TroubleKind, at: float) -> Entry:
        """Draws one entry: as the site shows it, or of its own variants and figures."""
        if kind.name in self.examples and self.chance(SITE_EXAMPLE_SHARE):
            return {**self.random.choice(self.examples[kind.name]), "at": round(at, 2)}
        entry: Entry = {"at": round(at, 2), "kind": kind.name}
        self.draw_figures(kind, entry)
        self.draw_place(kind, entry)
        how = self.draw_how(kind)
        if how:
            entry["how"] = how
        if "one_zone" in how and "zone" not in entry:
            entry["to_zone"] = self.draw_zone()
        return entry

    def draw_figures(self, kind: TroubleKind, entry: Entry) -> None:
        """Scales the figures that the site shows for the kind, else the defaults of the text."""
        example = self.random.choice(self.examples.get(kind.name, [{}]))
        for name, default in kind.defaults.items():
            base = example.get(name, default)
            if base is not None:
                entry[name] = self.scaled(name, base)
        entry["for_s"] = self.draw_duration(kind, example)
        if kind.name == "config_race":
            entry["count"] = self.random.randint(*RACE_STORM_COUNT) if self.chance(0.4) else entry.get("count", 1)
            entry["gap_s"] = round(self.random.uniform(0.1, 1.5), 2)
        if kind.name.startswith("purge"):
            lasts_s = entry["for_s"] if "for_s" in kind.defaults else entry.get("count", 1) * DEFAULT_GAP_S * SCALE[1]
            entry["at"] = round(max(0.0, min(entry["at"], self.length_s - PURGE_END_MARGIN_S - lasts_s)), 2)
        if kind.name == "burst":
            entry["x"] = round(self.random.uniform(*SCALE) * 1.5, 2)
        if "share" in entry and kind.name.startswith(ON_CORE_PREFIXES) and self.chance(ON_CORE_SHARE):
            del entry["share"]
            entry["on"] = "core"
            entry["count"] = self.random.randint(1, self.tolerated() + 1)
        if "gap_s" in kind.defaults and "gap_s" not in entry:
            entry["gap_s"] = round(DEFAULT_GAP_S * self.random.uniform(*SCALE), 2)

    def scaled(self, name: str, base: float) -> float | int:
        if name == "count":
            return max(1, round(base * self.random.uniform(*SCALE)))
        value = base * self.random.uniform(*SCALE)
        if name == "share" or (name == "x" and base < RATIO_X_MOST):
            value = min(value, SHARE_MOST)
        return max(1.0, float(round(value))) if name == "x" and base >= RATIO_X_MOST else round(value, 3)

    def draw_duration(self, kind: TroubleKind, example: Entry) -> float:
        if kind.name.endswith(("_cut", "_freeze")) and self.chance(LONG_CUT_SHARE):
            return round(self.random.uniform(*LONG_CUT_S), 1)
        return round(example.get("for_s", DEFAULT_FOR_S) * self.random.uniform(*SCALE), 1)

    def draw_place(self, kind: TroubleKind, entry: Entry) -> None:
        if kind.name.startswith(SERVER_PREFIXES) and self.chance(ZONE_SHARE):
            entry["service"] = self.random.choice(self.site["services"])["name"]
        elif "on" not in entry and self.chance(ZONE_SHARE) and not kind.name.startswith(CONTROL_PREFIXES):
            entry["zone"] = self.draw_zone()

    def draw_zone(self) -> str:
        return self.random.choice(self.site["zones"])["name"]

    def draw_how(self, kind: TroubleKind) -> str:
        """Draws the variant, then the target and the additions that the text allows for the kind's group."""
        words = []
        if kind.variants and self.chance(0.75):
            words.append(self.random.choice(kind.variants))
        if kind.name.endswith("_cut") and self.chance(0.5):
            words += self.draw_of(self.text.cut_variants)
        if kind.name.startswith(SERVER_PREFIXES) and self.chance(ZONE_SHARE):
            words += self.draw_of(self.text.server_variants)
        if kind.name.startswith(MACHINE_PREFIXES):
            if self.chance(TARGET_SHARE):
                words += self.draw_of(self.text.machine_targets)
            words += [word for word in self.text.machine_additions if self.chance(ADDITION_SHARE)]
            if self.chance(TARGET_SHARE):
                words += self.text.additions_by_kind.get(kind.name, ())
        return " ".join(dict.fromkeys(words))

    def draw_of(self, words: tuple[str, ...]) -> list[str]:
        return [self.random.choice(words)] if words else []

    def draw_changes(self, count: int) -> list[Entry]:
        """Draws pairs of racing changes over the whole day, at times with acknowledgements lost."""
        gap_s = round(self.length_s / count, 3)
        entries: list[Entry] = [{"at": 0.5, "kind": "config_race", "count": count, "gap_s": gap_s}]
        if "ack_lost" in self.text.kinds and "ack_lost" not in self.without and self.chance(0.5):
            entries.append({"at": 1.0, "kind": "ack_lost", "x": round(self.random.uniform(0.2, 0.8), 2),
                            "for_s": self.length_s})
        return entries

    def draw_closing(self) -> Entry:
        closing: Entry = {"kind": self.random.choice(self.text.closing_kinds),
                          "down_s": round(self.random.uniform(*CLOSING_DOWN_S), 2)}
        variants = list(self.text.closing_variants)
        variants += [day["closing"]["how"] for day in self.site["day"]
                     if day.get("closing", {}).get("kind") == closing["kind"] and "how" in day["closing"]]
        if variants and self.chance(0.6):
            closing["how"] = self.random.choice(variants)
        if closing["kind"] == CLOSING_WIPE_KIND and self.loses_power_of_all():
            closing["how"] = f"{closing.get('how', '')} all".strip()
        return closing

    def loses_power_of_all(self) -> bool:
        """Drawn apart, so that a seed's other choices stay what they were before there was this one."""
        return random.Random(f"power of all {self.seed}").random() < CLOSING_POWER_OF_ALL_SHARE

    def tolerated(self) -> int:
        return int(self.site["tolerate"]["machines"])

    def chance(self, share: float) -> bool:
        return self.random.random() < share


def is_planned(entry: Entry) -> bool:
    """Whether an entry is planned work, which a day lists apart from its faults."""
    if entry["kind"] == "replace_core":
        return "planned" in entry.get("how", "")
    return entry["kind"].startswith(PLANNED_PREFIXES)


def toml_value(value: Any) -> str:
    """Writes a value as TOML, tables inline."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {toml_value(item)}" for name, item in value.items()) + " }"
    raise TypeError(f"TOML has no place for {type(value).__name__}")


def day_as_toml(day: Entry) -> str:
    """Writes a day as a TOML file, one entry a line."""
    lines = []
    for name, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{name} = ["] + [f"  {toml_value(item)}," for item in value] + ["]"]
        else:
            lines.append(f"{name} = {toml_value(value)}")
    return "\n".join(lines) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=Path)
    parser.add_argument("kinds", type=Path)
    parser.add_argument("seed", type=int)
    parser.add_argument("--without", default="", help=f"kinds left out, or {MANY_CHANGES_KIND}")
    arguments = parser.parse_args()
    site = tomllib.loads(arguments.site.read_text())
    text = parse_kinds(arguments.kinds.read_text())
    without = frozenset(name for name in arguments.without.split(",") if name)
    sys.stdout.write(day_as_toml(DayDrawer(site, text, arguments.seed, without).draw()))


if __name__ == "__main__":
    main()
