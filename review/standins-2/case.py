"""Runs a case: `case.run(record_path, play)`. `play(fleet_module, record, trouble)` is a coroutine that returns the list of
what broke the rule. Exit codes: 1, the rule was broken; 0, it held; 2, the case could not run."""
import asyncio
import os
import sys
import traceback

import fleet

LIMIT_S = 110


class CannotRun(Exception):
    pass


def need(isWell, what):
    if not isWell:
        raise CannotRun(what)


async def limited(play, record, trouble):
    return await asyncio.wait_for(play(record, trouble), LIMIT_S)


def run(record_path, play):
    record = fleet.Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"begins, {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(limited(play, record, trouble))
    except (Exception, SystemExit) as fault:  # whatever it is, nothing was shown
        record("could not run: " + "".join(traceback.format_exception_only(type(fault), fault)).strip())
        print(f"could not run: {fault!r}", file=sys.stderr)
        sys.exit(2)
    for one in broken:
        record("BROKEN " + one)
    record(f"ends: {len(broken)} times broken")
    print(f"{len(broken)} times broken" if broken else "held")
    sys.exit(1 if broken else 0)
