"""Stand-in for a worker, as PROTOCOL.md describes it ("Running tasks"). The spec of a job says what its tasks do and which cpu
each takes: "run MS CPU" ends done after that time, "serve CPU" goes on for good. Every event is appended to a file as a JSON line."""

import argparse
import asyncio
import json
import random
import time

import wire

MAX_HOLD_MS = 1000
KILL_GRACE_S = 0.02
BEAT_S = 1.5
ENDS_IN_ANSWER = 500
STARTUP_MS = 200


class Worker:
    def __init__(self, options):
        self.options = options
        self.log = open(options.log, "a", buffering=1)
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.next_end = 1
        self.acknowledged = 0
        self.free = options.cpu
        self.ended = asyncio.Event()
        self.state = "ready"
        self.late_until = 0.0
        self.late_share = 0.0
        self.lapse_noted = True
        self.note("boot", born=self.born)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, event, **fields):
        self.log.write(json.dumps({"t": round(time.monotonic(), 4), "worker": self.options.id, "event": event, **fields}) + "\n")

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            self.lease_end = max(self.lease_end, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def end(self, task, how):
        attempt, began, _, cpu, timer = self.running.pop(task)
        if timer:
            timer.cancel()
        self.free += cpu
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        self.ends.append([self.next_end, task, attempt, how, ""])
        self.note("end", task=task, attempt=attempt, how=how, number=self.next_end)
        self.next_end += 1
        self.ended.set()
        self.ended = asyncio.Event()

    def check_lease(self):
        if self.clock_ms() < self.lease_end:
            self.lapse_noted = False
            return
        for task in list(self.running):
            self.end(task, "lapsed")
        if not self.lapse_noted:
            self.note("lapse")
        self.lapse_noted = True

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            self.check_lease()

    async def handle(self, request):
        if request.headers.get("coriandermount-expect-instance", self.options.id) != self.options.id:
            return 421, {}
        if request.path == "/healthz":
            return 200, {}
        fields = request.fields()
        if request.path == "/control/late":
            self.late_until = time.monotonic() + fields["for_s"]
            self.late_share = fields["share"]
            return 200, {}
        if time.monotonic() < self.late_until and random.random() < self.late_share:
            # The order gets no answer and is carried out late.
            asyncio.get_running_loop().call_later(random.uniform(2, 12), lambda: asyncio.ensure_future(self.carry_out(request)))
            return None
        return await self.carry_out(request)

    async def carry_out(self, request):
        fields = request.fields()
        if fields.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = fields.get("fencing_token", 0)
        self.check_lease()
        if request.path == "/api/run-start":
            reason = self.start(fields)
            return (409, {"clock_ms": self.clock_ms(), "reason": reason}) if reason else (200, {"clock_ms": self.clock_ms()})
        if request.path == "/api/run-stop":
            self.stop(fields)
            return 200, {"clock_ms": self.clock_ms()}
        if request.path == "/api/hold":
            return await self.hold(fields)
        return 404, {}

    def start(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        if fields["deadline_ms"] <= self.clock_ms():
            return "late"
        self.extend(fields["deadline_ms"])
        if task in self.running:
            return None if self.running[task][0] == attempt else "old" if attempt < self.running[task][0] else "room"
        if attempt <= self.closed.get(task, 0):
            return "old"
        words = fields["spec"].split()
        cpu = int(words[-1])
        if cpu > self.free:
            return "room"
        self.free -= cpu
        timer = None
        if words[0] == "run":
            timer = asyncio.get_running_loop().call_later(float(words[1]) / 1000, self.end, task, "done")
        self.running[task] = (attempt, self.clock_ms(), words, cpu, timer)
        self.note("start", task=task, attempt=attempt, token=fields.get("fencing_token", 0))
        return None

    def stop(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        self.note("stop", task=task, attempt=attempt)
        if task in self.running and self.running[task][0] <= attempt:
            asyncio.get_running_loop().call_later(KILL_GRACE_S, self.end_stopped, task, self.running[task][0])

    def end_stopped(self, task, attempt):
        if task in self.running and self.running[task][0] == attempt:
            self.end(task, "stopped")

    def percent(self, run):
        elapsed = self.clock_ms() - run[1]
        if run[2][0] == "run":
            return min(99, int(100 * elapsed / max(float(run[2][1]), 1)))
        return 100 if elapsed >= STARTUP_MS else 0

    async def hold(self, fields):
        self.extend(fields.get("deadline_ms"))
        if fields["ack_seq"] > self.acknowledged:
            self.acknowledged = fields["ack_seq"]
            self.ends = [row for row in self.ends if row[0] > self.acknowledged]
            self.note("ack", number=self.acknowledged)
        wait_s = min(fields.get("wait_ms", 0), 2000) / 1000
        if wait_s > 0 and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[task, run[0], "", self.percent(run)] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:ENDS_IN_ANSWER]}

    async def beat(self):
        sequence = 0
        options = self.options
        while True:
            sequence += 1
            entry = {"service": options.service, "addr": options.listen, "zone": options.zone, "version": "v1", "slots": 8,
                     "state": self.state, "cold_left_ms": 0,
                     "capacity": {"cpu": options.cpu, "mem_mb": 32768, "gpu": 0}, "labels": options.labels.split(","),
                     "clock_ms": self.clock_ms(), "sequence": sequence, "born": self.born}
            status, _ = await wire.call(options.store, "POST", "/control/put",
                                        {"topic": "keyed.servers", "key": options.id, "value": entry})
            await asyncio.sleep(BEAT_S if status == 200 else 0.2)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "listen", "store", "zone", "service", "labels", "log"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--cpu", type=int, required=True)
    options = parser.parse_args()
    worker = Worker(options)
    server = await wire.serve(options.listen, worker.handle)
    asyncio.ensure_future(worker.watch_lease())
    asyncio.ensure_future(worker.beat())
    await server.serve_forever()


asyncio.run(main())
