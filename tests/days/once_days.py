#!/usr/bin/env python3
"""Writes the days that docs/control-safety.md measures: troubles on the way of answers, alone and in pairs.

Usage: once_days.py FOLDER
Each day holds up to four moments, 7.5 s apart; each moment brings one trouble or a pair. The days name no site.
"""

import itertools
import pathlib
import sys

FIRST_MOMENT_S = 2.0
MOMENT_S = 7.5
MOMENTS_PER_DAY = 4
CUT_VARIANTS = itertools.cycle(["", "reset", "servers"])

USUAL = {
    "garble": 'kind = "garble", how = "extra late", share = 0.6, x = 0.05, for_s = 4.5',
    "lost": 'kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 4.5',
    "reset": 'kind = "reset_conns", share = 0.5, x = 0.5',
    "freeze": 'kind = "node_freeze", share = 0.25, for_s = 1.5',
    "reuse": 'kind = "replace_with_reuse", share = 0.2, how = "dark"',
    "dark": 'kind = "srv_crash", share = 0.2, how = "dark", for_s = 3.0',
    "cut": 'kind = "node_cut", share = 0.2, for_s = 3.0',
}
HARD = USUAL | {
    "garble": 'kind = "garble", how = "extra late", share = 1.0, x = 0.25, for_s = 4.5',
    "lost": 'kind = "answer_lost", how = "reset", share = 1.0, x = 0.25, for_s = 4.5',
    "reset": 'kind = "reset_conns", share = 1.0, x = 1.0',
    "freeze": 'kind = "node_freeze", share = 0.5, for_s = 1.0',
}


def entries(troubles, name, at):
    """The lines of one trouble that begins at `at` seconds."""
    fields = troubles[name]
    if name == "cut":
        fields += f', how = "{next(CUT_VARIANTS)}"'
    begin = at + 0.4 if name in ("freeze", "reset") else at
    lines = [f"  {{ at = {begin:.1f}, {fields} }},"]
    if name == "reset":
        lines.append(f"  {{ at = {at + 2.0:.1f}, {fields} }},")
    return lines


def write_day(folder, name, seed, troubles, moments):
    """Writes one day; `moments` lists the names of the troubles of each moment."""
    faults = []
    for place, names in enumerate(moments):
        for trouble in names:
            faults += entries(troubles, trouble, FIRST_MOMENT_S + MOMENT_S * place)
    plan = '  { at = 5.0, kind = "config_change", how = "idle" },'
    text = f'name = "{name}"\nseed = {seed}\nplan = [\n{plan}\n]\nfaults = [\n' + "\n".join(faults) + "\n]\n"
    (folder / f"{name}.toml").write_text(text)


def write_pairs(folder, kind, first_seed, troubles, pairs):
    """Writes as many days as it takes for each pair to come once."""
    for place in range(0, len(pairs), MOMENTS_PER_DAY):
        name = f"{kind}-{place // MOMENTS_PER_DAY + 1}"
        write_day(folder, name, first_seed + place, troubles, pairs[place : place + MOMENTS_PER_DAY])


def main():
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    names = list(USUAL)
    pairs = list(itertools.combinations(names, 2))
    spread = [pair for first in range(5) for pair in pairs[first::5]]
    write_day(folder, "alone-1", 51, USUAL, [[name] for name in names[:4]])
    write_day(folder, "alone-2", 52, USUAL, [[name] for name in names[4:]])
    write_pairs(folder, "pairs", 60, USUAL, spread)
    mix = [["garble", "lost"], ["reset", "freeze"], ["reuse", "dark"], ["cut", "garble"]]
    write_day(folder, "large-mix", 90, USUAL, mix)
    write_pairs(folder, "hard", 160, HARD, spread)


if __name__ == "__main__":
    main()
