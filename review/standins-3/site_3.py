"""A small installation on loopback addresses: the platform's store and the workers as stand-ins in this process, and the project's entry
daemons as separate processes, started with the command of the deploy file.

A case calls `main` with the description of its site and a coroutine that plays it and returns the broken promise, or None."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 112
METRICS_PORT = 9464
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}
HOST = "queue.example"
PREFIX = "/q1/"
BOUNDS = """seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
max_hold_ms = 1000
kill_grace_ms = 50
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_interval_s = 0.5
restore_ms = 100
lease_ms = 3000
retransmit_ms = 1300"""


class CannotRun(Exception):
    """The case can't be played here, so that it shows nothing."""


class Silent(Exception):
    """Raised by a handler whose request gets no answer."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the play."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, what, **fields):
        row = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {what} {row}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def serve(address, handler, writers=None):
    """Serves `handler(peer, method, path, query, headers, body)`, which returns a status and a dictionary or bytes."""
    writers = set() if writers is None else writers

    async def connection(reader, writer):
        writers.add(writer)
        peer = (writer.get_extra_info("peername") or ("",))[0]
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                try:
                    status, answer = await handler(peer, method, parts.path, dict(parse_qsl(parts.query)), headers, body)
                except Silent:
                    while await reader.read(65536):
                        pass
                    return
                raw = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Length: {len(raw)}\r\n"
                             "Content-Type: application/json\r\n\r\n".encode() + raw)
                await writer.drain()
        except (EOFError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(connection, host, int(port), backlog=512)


async def call(address, method, target, body=b"", headers=(), timeout=2.0):
    """Returns the status and the body of one call on its own connection; (None, b"") when there is no answer."""
    writer = None

    async def whole():
        nonlocal writer
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        first, _, raw = await read_message(reader)
        return int(first.split(" ")[1]), raw

    try:
        return await asyncio.wait_for(whole(), timeout)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return None, b""
    finally:
        if writer:
            writer.close()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, contents):
        start = len(self.records)
        for content in contents:
            key, value = content[1:1 + content[0]].decode("latin-1"), content[1 + content[0]:]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()
        return start


class Store:
    """The platform's store: a log with partitions, whose topics keep the newest record of each key."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        # Called with the caller's address, the query and the contents of an append. Returns the seconds after which one that gets no
        # answer is done, or None for one that is answered.
        self.late_s = lambda peer, query, contents: None

    def partition(self, topic, part=0):
        return self.topics.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """A write of the operator or of a worker."""
        self.partition(topic).add([bytes([len(key)]) + key.encode() + (json.dumps(value).encode() if value else b"")])

    async def handle(self, peer, method, path, query, headers, body):
        if path == "/api/log-append":
            contents = list(self.split(body))
            if (delay_s := self.late_s(peer, query, contents)) is not None:
                self.record("store-unanswered", vm=peer, topic=query["topic"], part=query.get("part", 0), done_after_s=delay_s)
                asyncio.get_running_loop().call_later(
                    delay_s, lambda: asyncio.ensure_future(self.append_late(peer, query, contents)))
                raise Silent
            return await self.append(query, contents)
        if path == "/api/log-read":
            return await self.read(query)
        if path == "/api/log-newest":
            return self.read_newest(query)
        return 404, {}

    async def append_late(self, peer, query, contents):
        status, _ = await self.append(query, contents)
        self.record("store-done-late", vm=peer, topic=query["topic"], part=query.get("part", 0), status=status)

    @staticmethod
    def split(body):
        position = 0
        while position < len(body):
            size = int.from_bytes(body[position:position + 4], "big")
            yield body[position + 4:position + 4 + size]
            position += 4 + size

    async def append(self, query, contents):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partition(query["topic"], query.get("part", 0))
        async with partition.lock:
            await asyncio.sleep(0.002)
            known = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
                known = partition.producers.get(query["producer"])
                if known and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if known and epoch > known["epoch"]:
                    known = None
                if known and contents:
                    for earlier, answer in known["answers"]:
                        if earlier == sequence:
                            return 200, answer
                    if known["last"] is not None and sequence != known["last"] + 1:
                        return 409, {"reason": "seq", "sequence": known["last"] + 1}
            if "at" in query and int(query["at"]) != len(partition.records):
                return 412, {"end_offset": len(partition.records)}
            answer = {"offset": partition.add(contents), "end_offset": len(partition.records)}
            if "producer" in query:
                known = known or {"epoch": epoch, "last": None, "answers": []}
                if contents:
                    known["last"] = sequence
                    known["answers"] = (known["answers"] + [(sequence, answer)])[-5:]
                partition.producers[query["producer"]] = known
            return 200, answer

    async def read(self, query):
        partition = self.partition(query["topic"], query.get("part", 0))
        start = int(query["from"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while start >= len(partition.records) and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.grown.wait(), left)
            except asyncio.TimeoutError:
                break
        answer = len(partition.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for content in partition.records[start:]:
            if len(answer) > int(query.get("max_kb", 1024)) * 1024:
                break
            answer += len(content).to_bytes(4, "big") + content
        return 200, answer

    def read_newest(self, query):
        partition = self.partition(query["topic"], query.get("part", 0))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [{"key": key, "value": base64.b64encode(partition.newest[key][0]).decode(), "offset": partition.newest[key][1]}
                 for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "end_offset": len(partition.records)}


class Worker:
    """One life of a worker. Works on each task for the `ms` that the spec names; a task with `lasts` goes on until it is stopped."""

    def __init__(self, site, zone, rack, address, kind="a"):
        self.site, self.zone, self.rack, self.address, self.kind = site, zone, rack, address, kind
        self.id = f"w{random.getrandbits(48):012x}"
        self.capacity = {"cpu": site.worker_cpu, "mem_mb": 65536, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = self.lease = self.last_end = 0
        self.runs, self.closed, self.ends = {}, {}, []
        self.changed = asyncio.Event()
        self.writers = set()
        self.is_down = False

    def clock(self):
        return 5000 + int((time.monotonic() - self.started) * 1000)

    def end(self, key, how):
        self.runs.pop(key)
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        self.last_end += 1
        self.ends.append([self.last_end, *key, how, ""])
        self.site.ended(self, *key, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        now, clock = time.monotonic(), self.clock()
        for key, run in sorted(self.runs.items(), key=lambda item: item[1]["until"]):
            lapsed = clock >= self.lease
            if run["until"] <= now:
                self.end(key, run["how"])
            elif lapsed:
                self.end(key, "lapsed")

    def hold(self, fields):
        if "deadline_ms" in fields:
            self.lease = max(self.lease, min(int(fields["deadline_ms"]), self.clock() + 1000))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason, "born": self.born}

    def answer(self):
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def start(self, fields):
        task, attempt, work = fields["task"], fields["attempt"], json.loads(fields["spec"])
        if int(fields["deadline_ms"]) <= self.clock():
            return self.refuse("late")
        self.hold(fields)
        if (task, attempt) in self.runs:
            return self.answer()
        if attempt <= max([self.closed.get(task, 0)] + [number for name, number in self.runs if name == task]):
            return self.refuse("old")
        if sum(run["cpu"] for run in self.runs.values()) + work["cpu"] > self.capacity["cpu"]:
            return self.refuse("room")
        duration = float("inf") if work.get("lasts") else work["ms"] / 1000
        now = time.monotonic()
        self.runs[task, attempt] = {"began": now, "until": now + duration, "how": "done", "cpu": work["cpu"]}
        self.site.began(self, task, attempt)
        return self.answer()

    def stop(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        for (name, number), run in self.runs.items():
            if name == task and number <= attempt:
                run["until"], run["how"] = min(run["until"], time.monotonic() + 0.02), "stopped"
        return self.answer()

    async def poll(self, fields):
        self.hold(fields)
        acknowledged = int(fields.get("ack_seq", 0))
        self.ends = [row for row in self.ends if row[0] > acknowledged]
        until = time.monotonic() + min(int(fields.get("wait_ms", 0)), 2000) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.is_down:
            raise ConnectionResetError
        now = time.monotonic()
        running = [[task, attempt, "", 100 if run["until"] == float("inf")
                    else min(99, int(100 * (now - run["began"]) / max(run["until"] - run["began"], 0.001))), 0]
                   for (task, attempt), run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]}

    async def handle(self, peer, method, path, query, headers, body):
        if self.is_down:
            raise ConnectionResetError
        if path == "/healthz":
            return 200, {}
        if headers.get("coriandermount-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        fields = json.loads(body)
        self.advance()
        token = int(fields.get("fencing_token", 0))
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if path == "/api/run-start":
            return self.start(fields)
        if path == "/api/run-stop":
            return self.stop(fields)
        return await self.poll(fields) if path == "/api/hold" else (404, {})

    def register(self, sequence):
        self.site.store.put("keyed.servers", self.id, {
            "service": "work", "addr": self.address, "zone": self.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "sequence": sequence, "capacity": self.capacity, "labels": [self.kind, self.rack], "born": self.born,
            "machine": f"m-{self.address}"})

    async def live(self):
        server = await serve(self.address, self.handle, self.writers)
        sequence, next_beat = 0, 0.0
        while not self.is_down:
            self.advance()
            if time.monotonic() >= next_beat:
                sequence += 1
                self.register(sequence)
                next_beat = time.monotonic() + 1.5
            await asyncio.sleep(0.005)
        server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        # The platform removes the entry after three intervals of silence.
        asyncio.get_running_loop().call_later(4.5, lambda: self.site.store.put("keyed.servers", self.id, None))

    def crash(self):
        """Ends without notice; nothing of it is left."""
        self.is_down = True
        for task, attempt in list(self.runs):
            self.runs.pop((task, attempt))
            self.site.ended(self, task, attempt, "crashed")


class Site:
    """Zones with entry VMs and workers."""

    def __init__(self, folder, temp, zones, vms, workers, worker_cpu=32000, rack=8, strong=0, kinds="a"):
        self.record = Record(folder / "record.txt")
        self.temp, self.zones, self.worker_cpu = Path(temp), zones, worker_cpu
        self.net = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        self.store = Store(self.record)
        self.store_address = f"{self.net}.250:8169"
        # So many VMs of each zone have twice the processor time.
        self.strong = strong
        # The host parts 1 to 99 are those of VMs, 100 to 249 those of workers.
        self.vms = {}
        for number, zone in enumerate(zones):
            for index in range(vms):
                self.vms[f"edge-{zone}-{index + 1}"] = (zone, f"{self.net}.{1 + number * vms + index}")
        self.workers = [Worker(self, zone, f"r{zone}-{index // rack + 1}", f"{self.net}.{100 + number * workers + index}:8200",
                               kinds[index % len(kinds)])
                        for number, zone in enumerate(zones) for index in range(workers)]
        self.processes, self.lives = {}, []
        # Runs by task: a list of [attempt, worker, began, ended, how].
        self.runs = {}
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split(" ")

    def began(self, worker, task, attempt):
        self.record("run-began", task=task, attempt=attempt, worker=worker.id, kind=worker.kind, rack=worker.rack)
        self.runs.setdefault(task, []).append([attempt, worker, self.record.now(), None, None])

    def ended(self, worker, task, attempt, how):
        self.record("run-ended", task=task, attempt=attempt, worker=worker.id, how=how)
        for run in self.runs.get(task, []):
            if run[0] == attempt and run[1] is worker and run[3] is None:
                run[3], run[4] = self.record.now(), how

    def runs_of(self, job):
        return {task: runs for task, runs in self.runs.items() if task.startswith(job + ".")}

    def front(self, vm):
        return f"{self.vms[vm][1]}:8161"

    def settings(self, vm):
        zone, ip = self.vms[vm]
        rows = [f'node_name = "{vm}"', 'role = "entry"', 'machine_class = "edge"', 'serves = ["edge"]', f'ip = "{ip}"', f'zone = "{zone}"',
                'region = "here"', "port_range = [7720,7735]", "seeds = []", "bootstrap = true", 'discovery = "platform"', 'entry = "vip"',
                "heartbeat_ms = 1500", 'control_mode = "push"', "[zones]"]
        rows += [f'{name} = "here"' for name in self.zones]
        rows += ["[listen]", f'front = "{ip}:8161"', f'ready = "{ip}:8167"', f'control = "{ip}:8166"', "[limits]", f"cpu_share = {0.5 if int(vm.rpartition('-')[2]) <= self.strong else 0.25}",
                 "cores = 1", "memory_mb = 260", "max_fds = 4100", "link_mbps = 1000.0", "disk_mb = 0", "[fault_tolerance]", "machines = 2",
                 "zones = 1", "regions = 0", "[bounds]", BOUNDS, "[platform]", f'addr = "{self.store_address}"', 'form = "log"',
                 "writes_per_s = 600", "reads_per_s = 2000", "parts = 32", "max_record_bytes = 262144", "max_call_bytes = 2097152"]
        return "\n".join(rows) + "\n"

    async def start_vm(self, vm):
        path = self.temp / f"{vm}.toml"
        path.write_text(self.settings(vm), encoding="utf-8")
        log = open(self.temp / f"{vm}.log", "ab")
        self.processes[vm] = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "CORIANDERMOUNT_BOOT": str(path)})
        log.close()
        self.record("vm-started", vm=vm, ip=self.vms[vm][1])

    def kill_vm(self, vm):
        self.processes.pop(vm).send_signal(signal.SIGKILL)
        self.record("vm-killed", vm=vm)

    async def is_ready(self, vm):
        status, _ = await call(f"{self.vms[vm][1]}:8167", "GET", "/api/readyz", timeout=1.0)
        return status == 200

    async def start(self):
        for _, ip in self.vms.values():
            for port in (8161, 8167, 7720, METRICS_PORT):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
        await serve(self.store_address, self.store.handle)
        self.put_config(7, [PREFIX])
        for worker in self.workers:
            self.lives.append(asyncio.ensure_future(worker.live()))
        for vm in self.vms:
            await self.start_vm(vm)
        for _ in range(100):
            await asyncio.sleep(0.2)
            if all(await asyncio.gather(*map(self.is_ready, self.vms))):
                self.record("all-ready")
                await asyncio.sleep(4)
                return
        raise CannotRun("the VMs are not ready")

    def put_config(self, version, prefixes, name="queue-{:04d}"):
        """Writes a config with one route for each prefix."""
        routes = [{"name": name.format(number), "host": HOST, "path_prefix": prefix, "service": "work", "priority": 1, "max_attempts": 3,
                   "slack_factor": 1.5, "target_latency_ms": 100} for number, prefix in enumerate(prefixes)]
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes, "services": [{"name": "work", "admission_control": True}], "limits": {}})
        self.record("config", version=version, routes=len(routes))

    def replace(self, worker):
        """A crashed worker's machine starts another worker at the same address."""
        fresh = Worker(self, worker.zone, worker.rack, worker.address, worker.kind)
        self.workers[self.workers.index(worker)] = fresh
        self.lives.append(asyncio.ensure_future(fresh.live()))
        return fresh

    async def request(self, vm, method, job, body=None, deadline_ms=1500, prefix=PREFIX):
        """Sends a request of a client, which waits until its deadline. Returns the status and the answer."""
        raw = json.dumps(body).encode() if body else b""
        self.record("sent", vm=vm, method=method, job=job)
        status, answer = await call(self.front(vm), method, prefix + job, raw,
                                    [("Host", HOST), ("Coriandermount-Deadline-Ms", str(deadline_ms))], deadline_ms / 1000)
        self.record("answered", vm=vm, method=method, job=job, status=status, body=answer.decode("latin-1"))
        return status, answer

    async def state(self, vm, job, prefix=PREFIX):
        """Returns the state that a VM shows, or the status when it shows none."""
        status, answer = await self.request(vm, "GET", job, prefix=prefix)
        return json.loads(answer)["state"] if status == 200 else status

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(folder, play, **shape):
    """Plays a case and ends the process with its outcome. `play(site, trouble)` returns the broken promise, or None."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(folder).resolve()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def whole():
        with tempfile.TemporaryDirectory() as temp:
            site = Site(folder, temp, **shape)
            try:
                async def started():
                    await site.start()
                    return await play(site, trouble)

                broken = await asyncio.wait_for(started(), LIMIT_S)
                site.record("outcome", broken=broken)
                print(f"broken: {broken}" if broken else "held")
                return BROKEN if broken else HELD
            except (CannotRun, asyncio.TimeoutError, OSError) as problem:
                site.record("could-not-run", problem=repr(problem))
                print(f"could not run: {problem!r}")
                return NOT_RUN
            finally:
                await site.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    for log in site.temp.glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        sys.exit(asyncio.run(whole()))
    except Exception:  # noqa: BLE001 - a fault of the script shows nothing about the project
        traceback.print_exc()
        sys.exit(NOT_RUN)
