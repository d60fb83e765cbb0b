"""Answers of the store to writes are lost for some seconds while short tasks of accepted jobs run. A task that has ended done must
not start again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import deployment as lib  # noqa: E402

ZONE = "za"
WORKERS = 2
JOBS = 40
WIDTH = 260
TASK_MS = 40
LOSSY_S = 4.5
LOST_SHARE = 0.35


def runs_of(events):
    """Returns, by task, the runs as dictionaries in the order of their starts."""
    runs = {}
    lapses = {}
    for event in events:
        worker = event["worker"]
        if event["event"] == "start":
            runs.setdefault(event["task"], []).append({"worker": worker, "attempt": event["attempt"], "start": event["t"]})
        elif event["event"] == "end":
            for run in runs.get(event["task"], []):
                if run["worker"] == worker and run["attempt"] == event["attempt"]:
                    run.update(end=event["t"], how=event["how"], number=event["number"])
        elif event["event"] == "ack":
            for task_runs in runs.values():
                for run in task_runs:
                    if run["worker"] == worker and run.get("number", event["number"] + 1) <= event["number"]:
                        run.setdefault("noted", event["t"])
        elif event["event"] == "lapse":
            lapses.setdefault(worker, []).append(event["t"])
    return runs, lapses


def started_after_done(runs, lapses):
    """Returns the pairs of runs that break the rule: a start after a run that ended done, whose end was taken note of, unless the
    worker's lease lapsed between its end and that."""
    broken = []
    for task, found in runs.items():
        for first in found:
            if first.get("how") != "done" or "noted" not in first:
                continue
            if any(first["end"] <= lapse <= first["noted"] for lapse in lapses.get(first["worker"], [])):
                continue
            broken += [(task, first, later) for later in found if later["start"] > first["end"]]
    return broken


async def play(world, trouble):
    await world.start_store()
    await world.configure([("q", "/q/", 0, 3, 60)])
    for number in range(WORKERS):
        await world.start_worker(ZONE, number)
    await world.start_vms()
    world.note("all VMs are ready")
    vms = list(world.vms)
    body = {"spec": f"run {TASK_MS} 500",
            "phases": [{"count": WIDTH, "cpu": 500, "mem_mb": 64, "estimate_ms": TASK_MS}]}
    accepted = []
    for number in range(JOBS):
        job = lib.job_id()
        status, _ = await world.ask(vms[number % 2], "POST", f"/q/{job}", body, timeout=4)
        if status == 200:
            accepted.append(job)
    world.note(f"{len(accepted)} stored jobs of {WIDTH} tasks of {TASK_MS} ms accepted")
    await asyncio.sleep(1)
    if trouble:
        await lib.wire.call(world.store, "POST", "/control/lose", {"for_s": LOSSY_S, "share": LOST_SHARE})
        world.note(f"the store does {LOST_SHARE} of the writes without an answer for {LOSSY_S} s")
    for _ in range(60):
        await asyncio.sleep(1)
        states = [await world.ask(vms[0], "GET", f"/q/{job}") for job in accepted]
        if all(state[1] == {"state": "completed"} for state in states):
            break
    world.note(f"{sum(state[1] == {'state': 'completed'} for state in states)} of {len(accepted)} jobs completed")
    events = world.events()
    runs, lapses = runs_of(events)
    broken = started_after_done(runs, lapses)
    world.note(f"{len(runs)} tasks, {sum(len(found) for found in runs.values())} starts, lapses: {lapses}")
    for task, first, later in broken[:20]:
        world.note(f"TWICE {task}: attempt {first['attempt']} on {first['worker']} ended done at {first['end'] - world.began:.3f}"
                   f" as end {first['number']}, taken note of at {first['noted'] - world.began:.3f};"
                   f" attempt {later['attempt']} started on {later['worker']} at {later['start'] - world.began:.3f}")
    world.note(f"{len(broken)} starts of tasks after a run of theirs had ended done")
    shown = {task for task, _, _ in broken[:20]}
    return not broken, [event for event in events if event.get("task") in shown]


lib.main(FOLDER, [ZONE], 2, play)
