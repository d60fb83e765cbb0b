#!/usr/bin/env python3
"""Plays seeded disruptions against real entry daemons and looks for broken promises; docs/design/soak.md says what it checks.

    soak.py --program PATH --seeds 1-50 --seconds 30 --parallel 3 [--large] [--kinds losses]

Exit status: 0 without violations, 1 with some, 2 if a play could not run."""

import argparse
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile

sys.dont_write_bytecode = True
from play import END_LIMIT_S, KINDS, LOSSES, die_with_parent  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
# Time for starts, for the disruptions that are under way at the end, and for the quiet seconds.
MARGIN_S = 150


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def parse_kinds(text):
    return [*KINDS, *LOSSES] if text == "losses" else text.split(",")


def known_red(program_path, seeds, has_losses):
    """Returns the seeds that KNOWN-RED.txt lists for the program, as `skip: PROGRAM soak/seed-N`, or `soak/losses-N` for plays with losses
    of workers; .ci/test passes them on."""
    listed = set()
    for line in os.environ.get("CORIANDERMOUNT_KNOWN_RED", "").splitlines():
        program, _, path = line.strip().partition(" ")
        if program == os.path.basename(program_path):
            kind, _, seed = path.partition("-")
            is_own = kind == ("soak/losses" if has_losses else "soak/seed")
            if kind not in ("soak/seed", "soak/losses") or is_own and int(seed) not in seeds:
                raise ValueError(f"KNOWN-RED.txt lists a test that does not exist: {path}")
            if is_own:
                listed.add(int(seed))
    return listed


async def play(options, seed, places, results):
    async with places:
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        command = [sys.executable, "-B", os.path.join(HERE, "play.py"), options.program, str(seed), str(options.seconds), folder,
                   ",".join(options.kinds)]
        process = await asyncio.create_subprocess_exec(
            *command, *(["--large"] if options.large else []), stdout=asyncio.subprocess.PIPE,
            preexec_fn=die_with_parent)
        try:
            output, _ = await asyncio.wait_for(process.communicate(), options.seconds + MARGIN_S + END_LIMIT_S)
        except asyncio.TimeoutError:
            # Its processes end with it.
            process.kill()
            await process.wait()
            output = b"  exceeded its time\n"
        except asyncio.CancelledError:
            process.terminate()
            await process.wait()
            shutil.rmtree(folder, ignore_errors=True)
            raise
        status = process.returncode if process.returncode in (0, 1) else 2
        summary = None
        try:
            with open(os.path.join(folder, "summary.json"), encoding="utf-8") as file:
                summary = json.load(file)
        except (OSError, ValueError):
            status = 2
        results[seed] = (status, summary)
        print(f"seed {seed}: {('ok', 'BROKEN', 'could not run')[status]}" + (f", logs in {folder}" if status else ""))
        print(output.decode(errors="replace").rstrip(), flush=True)
        if status == 0:
            shutil.rmtree(folder, ignore_errors=True)


async def run(options):
    places, results = asyncio.Semaphore(options.parallel), {}
    seeds = parse_seeds(options.seeds)
    try:
        skipped = known_red(options.program, seeds, bool(set(options.kinds) & set(LOSSES)))
    except ValueError as problem:
        print(problem)
        return 2
    for seed in sorted(skipped):
        print(f"skipped, listed in KNOWN-RED.txt: seed {seed}")
    plays = asyncio.gather(*(play(options, seed, places, results) for seed in seeds if seed not in skipped))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, plays.cancel)
    try:
        await plays
    except asyncio.CancelledError:
        print("stopped")
        return 2
    finally:
        broken = sorted(seed for seed, (status, _) in results.items() if status == 1)
        unplayed = sorted(seed for seed, (status, _) in results.items() if status == 2)
        rules, twice = {}, {}
        for _, summary in results.values():
            for cause in (summary or {}).get("twice", {}):
                twice.setdefault(cause, []).append(summary["seed"])
            for rule in (summary or {}).get("violations", {}):
                rules.setdefault(rule, []).append(summary["seed"])
        print(f"{len(results)} seeds, {len(broken)} broken {broken}, {len(unplayed)} could not run {unplayed}; "
              f"by rule {({rule: sorted(found) for rule, found in rules.items()})}, "
              f"TWICE by cause {({cause: sorted(found) for cause, found in twice.items()})}", flush=True)
    return 2 if unplayed else 1 if broken else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", required=True, help="the entry daemon")
    parser.add_argument("--seeds", default="1-3", help="for example 1-50 or 3,7,20-25")
    parser.add_argument("--seconds", type=float, default=30, help="time with disruptions in each play")
    parser.add_argument("--parallel", type=int, default=3, help="plays at the same time")
    parser.add_argument("--kinds", type=parse_kinds, default=list(KINDS),
                        help="disruptions to draw from; losses stands for all of them and the losses of workers under stored jobs")
    parser.add_argument("--large", action="store_true", help="4 failure domains of 10 VMs and 25 workers")
    options = parser.parse_args()
    if unknown := set(options.kinds) - set(KINDS) - set(LOSSES):
        print(f"unknown disruptions {sorted(unknown)}, expected some of {[*KINDS, *LOSSES]}")
        return 2
    if not os.access(options.program, os.X_OK):
        print(f"{options.program} is not a program")
        return 2
    return asyncio.run(run(options))


if __name__ == "__main__":
    sys.exit(main())
