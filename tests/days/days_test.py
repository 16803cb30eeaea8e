#!/usr/bin/env python3
"""Tests of the generator of days: what is read from the text of kinds, and what is drawn from it."""

import tomllib
import unittest

from draw_day import CONTROL_PREFIXES, DayDrawer, day_as_toml
from hunt_results import result_of as entry_result_of
from play_days import DayResult, kinds_of, result_of
from trouble_kinds import parse_kinds

KINDS_TEXT = """\
Each entry has 'at' (seconds from the start) and 'kind'.
For servers, 'how' may also hold across (of all copies) and all (none is spared). For machines, 'how' may also hold \
leader (the one that acted last), reader (it read last) or seed. After these may stand meet (a change. and more), race \
(two at once), hard, drain (soon after) and, for roll_term, busy (each (of them) while it answers). Cuts are silent \
unless 'how' holds reset or refuse.
closing = { kind = power_off_all | wipe_after_ack | kill_all, down_s } strikes at the end (how timed: 5 ms; how taken: after work).

srv_crash: share (.15) of the servers are down for for_s; how: dark (silent), gone (for good)
srv_grey: share (.15) fail x (.4) of their requests; how: errors hang, slow (x (8) times as long), + one_zone (only for some)
reuse: share (.2) crash (how: drain, they drain; dark, they fall silent); their addresses go elsewhere
after_ack_kill: the machine (and count - 1 more) loses power; how: kill, timed (5 to 400 ms), taken (the one that acts)
after_ack_wipe: the same, with empty disks
herd_kill: share (.6) are killed; how: power; on core: all of them; how taken: all lose power
core_cut: count (1) machines are cut off; how: one_way, seeds (new seeds, and others), both (these, then those)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s; how: remove (they leave)
config_race: count (1) pairs of changes, each gap_s
purge_storm: a purge each gap_s for for_s

these may come too:
burst: x times the traffic of a zone
clock_step: the clock jumps by x ms (2000) on share (.3) and back after for_s; how: back ahead
ack_lost: a share x (.7) of the acks is lost
"""

SITE = {
    "name": "example",
    "length_s": 30.0,
    "zones": [{"name": "east"}, {"name": "west"}],
    "services": [{"name": "store"}],
    "tolerate": {"machines": 1},
    "troubles": [{"kind": "srv_crash", "share": 0.2, "for_s": 4.0}],
    "day": [{"name": "first", "goal": {"floor": 0.5}, "plan": [], "faults": [{"kind": "core_cut", "at": 3.0}],
             "traffic": [{"zone": "east", "per_s": 10.0}], "closing": {"kind": "kill_all", "how": "aimed"}}],
}

SEEDS = range(1, 1501)


def draw(seed, without=frozenset()):
    return DayDrawer(SITE, parse_kinds(KINDS_TEXT), seed, without).draw()


def entries_of(day):
    return day["plan"] + day["faults"]


class ParsingTest(unittest.TestCase):
    def setUp(self):
        self.text = parse_kinds(KINDS_TEXT)

    def test_finds_every_kind(self):
        self.assertEqual(len(self.text.kinds), 13)
        self.assertTrue(self.text.kinds["config_race"].expected_on_site)
        self.assertFalse(self.text.kinds["burst"].expected_on_site)

    def test_reads_variants_in_all_their_forms(self):
        expected = {
            "srv_crash": ("dark", "gone"),
            "srv_grey": ("errors", "hang", "slow", "one_zone"),
            "reuse": ("drain", "dark"),
            "after_ack_kill": ("kill", "timed", "taken"),
            "after_ack_wipe": ("kill", "timed", "taken"),
            "herd_kill": ("power", "taken"),
            "core_cut": ("one_way", "seeds", "both"),
            "clock_step": ("back", "ahead"),
        }
        for name, variants in expected.items():
            self.assertEqual(self.text.kinds[name].variants, variants, name)

    def test_reads_fields_and_defaults(self):
        self.assertEqual(self.text.kinds["clock_step"].defaults, {"share": 0.3, "x": 2000.0, "for_s": None})
        self.assertEqual(self.text.kinds["ack_lost"].defaults, {"x": 0.7})
        self.assertEqual(self.text.kinds["core_cut"].defaults, {"count": 1.0})

    def test_reads_what_holds_for_groups(self):
        self.assertEqual(self.text.server_variants, ("across", "all"))
        self.assertEqual(self.text.machine_targets, ("leader", "reader", "seed"))
        self.assertEqual(self.text.machine_additions, ("meet", "race", "hard", "drain"))
        self.assertEqual(self.text.additions_by_kind, {"roll_term": ("busy",)})
        self.assertEqual(self.text.cut_variants, ("reset", "refuse"))

    def test_reads_closing_faults(self):
        self.assertEqual(self.text.closing_kinds, ("power_off_all", "wipe_after_ack", "kill_all"))
        self.assertEqual(self.text.closing_variants, ("timed", "taken"))


class DrawingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.days = [draw(seed) for seed in SEEDS]
        cls.entries = [entry for day in cls.days for entry in entries_of(day)]

    def test_same_seed_same_day(self):
        self.assertEqual(day_as_toml(draw(7)), day_as_toml(draw(7)))
        self.assertNotEqual(day_as_toml(draw(7)), day_as_toml(draw(8)))

    def test_day_survives_toml(self):
        for day in self.days[:200]:
            self.assertEqual(tomllib.loads(day_as_toml(day)), day)

    def test_draws_every_kind_and_variant(self):
        text = parse_kinds(KINDS_TEXT)
        for kind in text.kinds.values():
            hows = [entry.get("how", "").split() for entry in self.entries if entry["kind"] == kind.name]
            self.assertTrue(hows, kind.name)
            for variant in kind.variants:
                self.assertTrue(any(variant in how for how in hows), f"{kind.name} {variant}")

    def test_draws_targets_and_additions(self):
        cuts = [entry.get("how", "").split() for entry in self.entries if entry["kind"] == "core_cut"]
        for word in ("leader", "reader", "seed", "meet", "race", "hard", "drain", "reset", "refuse"):
            self.assertTrue(any(word in how for how in cuts), word)

    def test_more_than_half_strikes_the_control_plane(self):
        control = [entry for entry in self.entries if entry["kind"].startswith(CONTROL_PREFIXES)]
        self.assertGreater(len(control), len(self.entries) / 2)

    def test_draws_alone_in_pairs_in_threes_and_repeated(self):
        counts = {len({entry["kind"] for entry in entries_of(day)}) for day in self.days}
        self.assertTrue({1, 2, 3} <= counts)
        self.assertTrue(any(len(entries_of(day)) > len(kinds_of(day)) for day in self.days))

    def test_moments_lie_in_the_day(self):
        for entry in self.entries:
            self.assertGreaterEqual(entry["at"], 0)
            self.assertLess(entry["at"], SITE["length_s"] + 2)

    def test_a_change_follows_what_strikes_at_an_acknowledgement(self):
        for day in self.days:
            changes = [entry["at"] for entry in entries_of(day) if entry["kind"] == "config_change"]
            for entry in entries_of(day):
                if entry["kind"].startswith("after_ack_"):
                    self.assertTrue(any(0 < at - entry["at"] <= 1.1 for at in changes))

    def test_purges_end_before_the_day(self):
        storms = [entry for entry in self.entries if entry["kind"] == "purge_storm"]
        self.assertTrue(storms)
        for storm in storms:
            self.assertLess(storm["at"] + storm["for_s"], SITE["length_s"] - 1)

    def test_draws_long_cuts_and_hundreds_of_changes(self):
        self.assertTrue(any(entry["kind"] == "core_cut" and 17 <= entry["for_s"] <= 23
                            for entry in self.entries if "for_s" in entry))
        self.assertTrue(any(entry["kind"] == "config_race" and entry["count"] >= 100 for entry in self.entries))

    def test_draws_every_closing_fault(self):
        closings = [day["closing"] for day in self.days if "closing" in day]
        self.assertEqual({closing["kind"] for closing in closings}, {"power_off_all", "wipe_after_ack", "kill_all"})
        plain = [closing for closing in closings if closing["kind"] != "wipe_after_ack"]
        self.assertEqual({closing.get("how") for closing in plain}, {None, "timed", "taken", "aimed"})
        wiping = {closing.get("how") for closing in closings if closing["kind"] == "wipe_after_ack"}
        self.assertEqual(wiping, {None, "timed", "taken", "all", "timed all", "taken all"})
        self.assertLess(len(closings), len(self.days))

    def test_leaves_out_what_it_is_told_to(self):
        without = frozenset(("core_cut", "many_changes"))
        for seed in SEEDS[:300]:
            for entry in entries_of(draw(seed, without)):
                self.assertNotEqual(entry["kind"], "core_cut")
                self.assertLess(entry.get("count", 0), 100)


class ResultTest(unittest.TestCase):
    def test_reads_a_report(self):
        day = {"plan": [], "faults": [{"kind": "hup"}]}
        report = {"breaks": {"CONFIG": 2}, "short": ["floor of a zone"], "missed": ["an order"], "fault": None, "G": 0.5}
        result = result_of(3, day, report)
        self.assertEqual(result.breaks, {"CONFIG": 2})
        self.assertEqual(result.missed, ["floor of a zone"])
        self.assertEqual(result.unacknowledged, ["an order"])
        self.assertFalse(result.is_clean())

    def test_a_day_without_a_report_is_not_clean(self):
        self.assertFalse(DayResult(1, ["hup"], failure="no report").is_clean())
        self.assertTrue(DayResult(1, ["hup"]).is_clean())


class HuntResultsTest(unittest.TestCase):
    def test_a_missed_floor_is_a_finding_though_no_rule_is_broken(self):
        day = {"name": "scale-1", "rules": {}, "gate": False, "short": ["0.42 was earned; the floor is 0.43"]}
        result = entry_result_of("entry", {"cmd": "hunt", "site": "a", "head": "abc", "ok": True, "days": [day]})
        self.assertEqual(result.findings, ["scale-1: 0.42 was earned; the floor is 0.43"])
        self.assertEqual(result.days, 1)

    def test_a_broken_rule_a_fault_and_a_missing_result_are_findings(self):
        days = [{"name": "a", "rules": {"GONE": 3}, "gate": False}, {"name": "b", "rules": {}, "fault": "ended"},
                {"name": "c", "rules": {}, "gate": False}, {"name": "d", "rules": {}, "gate": True, "short": []}]
        result = entry_result_of("entry", {"ok": False, "error": "time limit", "days": days, "days_left_out": 2})
        self.assertEqual(result.findings, ["no result: time limit", "a: GONE 3", "b: fault: ended", "c: the gate is missed"])
        self.assertEqual(result.rules["GONE"], 1)
        self.assertIn("4 days, 2 left out | GONE on 1", result.row())


if __name__ == "__main__":
    unittest.main()
