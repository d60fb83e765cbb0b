"""Stand-in for workers of the platform. One process carries the workers of one failure domain that pause together.

    workers.py STORE DOMAIN SERVICE MAX_HOLD_MS MAX_WAIT_MS ID=ADDRESS=RACK...

Each worker has a clock, leases, fencing tokens and a list of ends of its own. Starts, ends and stops go to standard output, one JSON
object a line, with the time of the steady clock. A worker that crashes is followed by another with the same id, or with one that ends with
".N", which knows nothing; or by none."""

import asyncio
import itertools
import json
import os
import random
import socket
import sys
import time

import wire

HEARTBEAT_S = 1.5
# Heartbeats without which a registration is removed.
SILENT_HEARTBEATS = 3
# Time until an order from the soak to be lost takes effect, so that it can be answered.
LOSS_DELAY_S = 0.02
# Seconds for which a worker stays away after a task has crashed it.
ABSENT_S = (1, 4)
MOST_ENDS = 500
CAPACITY = {"cpu": 16000, "mem_mb": 32000, "gpu": 0}
LONGEST_STOP_S = 0.04
LONGEST_MUTE_S = 0.4
TICK_S = 0.05
# A process that is late by more than this did not run: it was paused, or the machine is busy.
STALL_S = 0.2


def note(**fields):
    print(json.dumps({"t": time.monotonic(), **fields}), flush=True)


def sockets_of(pids):
    """Returns the inodes of the open sockets of processes, as text."""
    found = set()
    for pid in pids:
        try:
            for entry in os.scandir(f"/proc/{pid}/fd"):
                try:
                    name = os.readlink(entry.path)
                except OSError:
                    continue
                if name.startswith("socket:["):
                    found.add(name[len("socket:["):-1])
        except OSError:
            # It has ended.
            continue
    return found


def in_table(address):
    ip, port = address
    return socket.inet_aton(ip)[::-1].hex().upper() + f":{port:04X}"


def find_cut(pids, peers, here):
    """Returns those of the peers' addresses whose connection to `here` is held by one of the processes."""
    wanted, served = {in_table(peer): peer for peer in peers}, in_table(here)
    inodes = {}
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            if served in line:
                _, near, far, *_, inode = line.split()[:10]
                if far == served and near in wanted:
                    inodes[inode] = wanted[near]
    return {inodes[inode] for inode in sockets_of(pids) if inode in inodes}


class Worker:
    def __init__(self, name, address, rack, max_hold_ms, max_wait_ms):
        self.name, self.address, self.rack = name, address, rack
        self.max_hold_ms, self.max_wait_ms = max_hold_ms, max_wait_ms
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.rate = random.uniform(0.98, 1.0)
        self.offset = random.randint(1000, 900000)
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.ended_up_to = {}
        self.ends = []
        self.last_end = 0
        # Highest number of an end that an answer has listed.
        self.last_listed = 0
        self.changed = asyncio.Event()
        self.late_until = 0.0
        self.late_share = 0.0
        self.mute_until = 0.0
        self.mute_share = 0.0
        self.timer = None
        self.cut_until = 0.0
        self.cut_pids = []
        self.cut_resets = False
        # Connections that were looked at in this cut, and whether it cuts them.
        self.cut_known = {}
        self.looking = None
        self.server = None
        self.connections = set()
        self.registration = None
        self.crashed = None
        # No VM reaches the worker until this time, and the worker may not reach the store.
        self.dark_until = 0.0
        self.reaches_store = True

    def successor(self, number):
        """Returns the worker that starts in place of this one; `number` is None if it has the same id."""
        name = self.name if number is None else f"{self.name.split('.')[0]}.{number}"
        worker = Worker(name, self.address, self.rack, self.max_hold_ms, self.max_wait_ms)
        worker.dark_until, worker.reaches_store = self.dark_until, self.reaches_store
        return worker

    def note(self, **fields):
        note(worker=self.name, born=self.born, **fields)

    def clock(self):
        return self.offset + int((time.monotonic() - self.started) * 1000 * self.rate)

    def end(self, key, how):
        run = self.runs.pop(key)
        task, attempt = key
        self.ended_up_to[task] = max(self.ended_up_to.get(task, 0), attempt)
        self.last_end += 1
        self.ends.append([self.last_end, task, attempt, how, ""])
        self.note(event="end", task=task, attempt=attempt, how=how, token=run["token"])
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        """Carries out what is due: ends of work and stops before the lease, and the lease's end."""
        now, clock = time.monotonic(), self.clock()
        lapsed_at = now - (clock - self.lease) / 1000 / self.rate if clock >= self.lease else float("inf")
        for key, run in sorted(self.runs.items(), key=lambda item: item[1]["until"]):
            if run["until"] <= min(now, lapsed_at):
                self.end(key, run["how"])
            elif lapsed_at <= now:
                self.end(key, "lapsed")
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.runs:
            due = min([run["until"] for run in self.runs.values()] + [now + max(1, self.lease - clock) / 1000 / self.rate])
            self.timer = asyncio.get_running_loop().call_at(due + 0.001, self.advance)

    def hold(self, fields):
        if "deadline_ms" in fields:
            self.lease = max(self.lease, min(int(fields["deadline_ms"]), self.clock() + self.max_hold_ms))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason, "born": self.born}

    def start(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        work = json.loads(fields["spec"])
        if int(fields["deadline_ms"]) <= self.clock():
            return self.refuse("late")
        if (task, attempt) in self.runs:
            self.hold(fields)
            return 200, {"clock_ms": self.clock(), "born": self.born}
        known = [run for name, run in self.runs if name == task]
        if attempt <= max([self.ended_up_to.get(task, 0)] + known):
            self.hold(fields)
            return self.refuse("old")
        if sum(run["cpu"] for run in self.runs.values()) + work["cpu"] > CAPACITY["cpu"]:
            self.hold(fields)
            return self.refuse("room")
        self.hold(fields)
        self.runs[task, attempt] = {"began": time.monotonic(), "until": time.monotonic() + work["ms"] / 1000, "how": "done",
                                    "ms": work["ms"], "cpu": work["cpu"], "token": fields["fencing_token"]}
        self.note(event="start", task=task, attempt=attempt, token=fields["fencing_token"])
        if "crash_after_ms" in work:
            asyncio.get_running_loop().call_later(
                work["crash_after_ms"] / 1000, self.crash_under, (task, attempt), work.get("renamed", False))
        self.advance()
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def stop(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.ended_up_to[task] = max(self.ended_up_to.get(task, 0), attempt)
        for (name, number), run in self.runs.items():
            if name == task and number <= attempt and run["how"] == "done":
                self.note(event="stop", task=task, attempt=number, token=fields["fencing_token"])
                stopped = time.monotonic() + random.uniform(0.005, LONGEST_STOP_S)
                if stopped < run["until"]:
                    run["until"], run["how"] = stopped, "stopped"
        self.advance()
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def poll(self, fields):
        self.hold(fields)
        self.advance()
        acknowledged = int(fields.get("ack_seq", 0))
        for number, task, attempt, how, _ in self.ends:
            # An acknowledgement that was meant for an earlier boot says nothing about an end that nobody has been told of.
            if how == "done" and number <= min(acknowledged, self.last_listed):
                self.note(event="noted", task=task, attempt=attempt, token=self.token)
        self.ends = [row for row in self.ends if row[0] > acknowledged]
        until = time.monotonic() + min(int(fields.get("wait_ms", 0)), self.max_wait_ms) / 1000
        while not any(row[0] > acknowledged for row in self.ends) and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.crashed.done():
            raise ConnectionResetError
        self.advance()
        now = time.monotonic()
        running = [[task, attempt, "", min(100, int(100 * (now - run["began"]) / (run["ms"] / 1000))), 0]
                   for (task, attempt), run in self.runs.items()]
        rows = [row for row in self.ends if row[0] > acknowledged][:MOST_ENDS]
        self.last_listed = max([self.last_listed] + [row[0] for row in rows])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": rows}

    async def carry_out(self, path, fields):
        self.advance()
        token = int(fields.get("fencing_token", 0))
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if path == "/api/run-start":
            return self.start(fields)
        if path == "/api/run-stop":
            return self.stop(fields)
        return await self.poll(fields)

    def crash(self, seconds, renamed=False):
        """Ends without notice: runs end without a report, connections and orders under way are gone. It is back after `seconds`. In a cut,
        nobody sees its connections end."""
        if self.crashed.done():
            return
        for (task, attempt), run in self.runs.items():
            self.note(event="end", task=task, attempt=attempt, how="crashed", token=run["token"])
        self.runs.clear()
        if self.timer:
            self.timer.cancel()
        self.registration.cancel()
        if (left := self.dark_until - time.monotonic()) > 0:
            asyncio.get_running_loop().call_later(left, self.close)
        else:
            self.close()
        self.crashed.set_result((seconds, renamed))

    def crash_under(self, key, renamed):
        if key in self.runs:
            self.crash(random.uniform(*ABSENT_S), renamed)

    def close(self):
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    def lose(self, query):
        """Cuts the worker off from all VMs for `cut` seconds, and crashes it after `crash` seconds if this is given."""
        def begin():
            self.dark_until = time.monotonic() + float(query["cut"])
            self.reaches_store = query["store"] == "1"
            if "crash" in query:
                asyncio.get_running_loop().call_later(
                    float(query["crash"]), self.crash, float(query["absent"]), query["renamed"] == "1")

        asyncio.get_running_loop().call_later(LOSS_DELAY_S, begin)
        return 200, {}

    async def look(self):
        """Finds out which connections belong to VMs that can't reach the worker now. All VMs have the same address as peers, so it looks
        for the processes that hold the other ends, in a thread, as a list of all sockets takes several milliseconds."""
        known = self.cut_known
        peers = {writer: writer.get_extra_info("peername") for writer in self.connections if writer not in known}
        host, _, port = self.address.rpartition(":")
        try:
            # A connection that was reset before it was accepted has no peer.
            found = await asyncio.to_thread(find_cut, self.cut_pids, set(filter(None, peers.values())), (host, int(port)))
        finally:
            self.looking = None
        known.update({writer: peer in found for writer, peer in peers.items()})

    async def is_cut(self, writer):
        while time.monotonic() < self.cut_until and not writer.transport.is_closing():
            if writer in self.cut_known:
                return self.cut_known[writer]
            if self.looking is None:
                self.looking = asyncio.ensure_future(self.look())
            await self.looking
        return False

    async def gate(self, writer):
        """Holds what goes through a connection that is cut until the end of the cut, or resets the connection."""
        while (left := self.dark_until - time.monotonic()) > 0:
            await asyncio.sleep(left)
        if self.crashed.done():
            raise ConnectionResetError
        while await self.is_cut(writer):
            if self.cut_resets:
                writer.transport.abort()
                raise ConnectionResetError
            await asyncio.sleep(self.cut_until - time.monotonic())

    async def cut(self, query):
        self.cut_until = time.monotonic() + float(query["seconds"])
        self.cut_pids = query["pids"].split(",")
        self.cut_resets = query["resets"] == "1"
        self.cut_known = {}
        await self.look()
        cut = [writer for writer, is_cut in self.cut_known.items() if is_cut]
        note(event="cut", at=self.name, connections=len(cut))
        if self.cut_resets:
            for writer in cut:
                writer.transport.abort()
        return 200, {}

    async def carry_out_later(self, path, fields):
        """Carries out an order whose answer is lost."""
        if not self.crashed.done():
            try:
                await self.carry_out(path, fields)
            except ConnectionError:
                pass

    async def handle(self, method, path, query, headers, body):
        if self.crashed.done():
            # The request had been received, but not yet been looked at.
            raise ConnectionResetError
        if path == "/standin/crash":
            self.crash(float(query["seconds"]))
            raise ConnectionResetError
        if path == "/standin/lose":
            return self.lose(query)
        if path == "/standin/cut":
            return await self.cut(query)
        if path == "/standin/late":
            self.late_until = time.monotonic() + float(query["seconds"])
            self.late_share = float(query["share"])
            return 200, {}
        if path == "/standin/mute":
            self.mute_until = time.monotonic() + float(query["seconds"])
            self.mute_share = float(query["share"])
            return 200, {}
        if path == "/healthz":
            return 200, {}
        if path not in ("/api/run-start", "/api/run-stop", "/api/hold"):
            return 404, {}
        if headers.get("coriandermount-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        fields = json.loads(body)
        if time.monotonic() < self.late_until and random.random() < self.late_share:
            delay = random.choice([0, random.uniform(0.05, 3)])
            asyncio.get_running_loop().call_later(delay, lambda: asyncio.ensure_future(self.carry_out_later(path, fields)))
            raise wire.Silent
        if time.monotonic() < self.mute_until and random.random() < self.mute_share:
            delay = random.choice([0, random.uniform(0, LONGEST_MUTE_S)])
            asyncio.get_running_loop().call_later(delay, lambda: asyncio.ensure_future(self.carry_out_later(path, fields)))
            raise wire.Silent
        return await self.carry_out(path, fields)

    async def register(self, store, domain, service):
        sequence = 0
        while True:
            sequence += 1
            entry = {"service": service, "addr": self.address, "zone": domain, "version": "1", "slots": 8, "state": "ready",
                     "cold_left_ms": 0, "sequence": sequence, "capacity": CAPACITY, "labels": ["common", f"r{domain}-{self.rack}"],
                     "born": self.born, "machine": f"m-{self.name}"}
            if self.reaches_store or time.monotonic() >= self.dark_until:
                keep_s = SILENT_HEARTBEATS * HEARTBEAT_S
                await wire.call_once(store, "POST", f"/standin/put?topic=keyed.servers&part=0&key={self.name}&keep_s={keep_s}",
                                     json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def live(self, store, domain, service):
        """Serves until the worker crashes. Returns how long it stays away then, and whether it returns under another id."""
        self.crashed = asyncio.get_running_loop().create_future()
        self.server = await wire.serve(self.address, self.handle, self.connections, self.gate)
        self.registration = asyncio.ensure_future(self.register(store, domain, service))
        return await self.crashed


async def live_again_and_again(worker, *place):
    for number in itertools.count(1):
        seconds, renamed = await worker.live(*place)
        await asyncio.sleep(seconds)
        worker.server.close()
        worker = worker.successor(number if renamed else None)


async def note_stalls():
    while True:
        before = time.monotonic()
        await asyncio.sleep(TICK_S)
        now = time.monotonic()
        if now - before > TICK_S + STALL_S:
            note(event="stall", since=before)


async def main():
    store, domain, service, max_hold_ms, max_wait_ms, *listed = sys.argv[1:]
    workers = [Worker(*item.split("="), int(max_hold_ms), int(max_wait_ms)) for item in listed]
    lives = [asyncio.ensure_future(live_again_and_again(worker, store, domain, service)) for worker in workers]
    while not all(worker.server for worker in workers) and not any(life.done() for life in lives):
        await asyncio.sleep(0.01)
    print(json.dumps({"event": "serving", "workers": len(workers)}), flush=True)
    await asyncio.gather(note_stalls(), *lives)


asyncio.run(main())
