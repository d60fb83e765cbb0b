"""Starts a small deployment on loopback addresses: the store, workers, and the entry daemon of the deploy file on each VM."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import wire

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "jobs.example"
SERVICE = "svc-a"
LIMIT_S = 112
METRICS_PORT = 9464
PORTS = {"front": 8161, "ready": 8167, "control": 8166}
PORT_RANGE = (7720, 7735)

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
notice_ms = 4500
fencing_enforced = true
lease_ms = 3000
retransmit_ms = 1300
"""


class CannotRun(Exception):
    """The case could not be played."""


class Deployment:
    def __init__(self, folder, zones, vms_per_zone):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="review-case-")
        self.zones = zones
        self.net = self.free_net()
        self.vms = {f"edge-{zone}-{n + 1}": (zone, f"{self.net}.{10 * (i + 1) + n}")
                    for i, zone in enumerate(zones) for n in range(vms_per_zone)}
        self.store = f"{self.net}.2:8169"
        self.workers = {}
        self.processes = {}
        self.lines = []
        self.began = time.monotonic()

    def free_net(self):
        """Returns the first three bytes of loopback addresses on which the ports of a deployment are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for ip in (f"{net}.{last}" for last in (2, 10, 11, 20, 21, 30, 31)):
                    for port in (METRICS_PORT, 8169, *PORTS.values(), *PORT_RANGE):
                        with socket.socket() as probe:
                            probe.bind((ip, port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)

    async def spawn(self, name, *command, **variables):
        log = open(os.path.join(self.temporary, name + ".out"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update(variables)
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL, env=environment)
        log.close()

    def stop(self, name, how=signal.SIGKILL):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(how)

    def is_running(self, name):
        return self.processes[name].returncode is None

    async def start_store(self):
        await self.spawn("store", sys.executable, os.path.join(HERE, "store.py"), "--listen", self.store)
        for _ in range(100):
            status, _ = await wire.call(self.store, "GET", "/api/log-newest?topic=keyed.op&part=0")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the store does not answer")

    async def configure(self, routes):
        """Writes op/config; `routes` holds (name, path prefix, priority, max attempts, target latency)."""
        config = {"version": 7, "routes": [
            {"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
             "target_latency_ms": latency, "priority": priority, "service": SERVICE, "max_attempts": attempts,
             "slack_factor": 1.6} for name, prefix, priority, attempts, latency in routes],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                          "admission_control": True, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
        await wire.call(self.store, "POST", "/control/put", {"topic": "keyed.op", "key": "config", "value": config})

    async def start_worker(self, zone, number, cpu=16000, labels="a,r1"):
        name = f"i-{zone}-{number}"
        address = f"{self.net}.{10 * (self.zones.index(zone) + 1) + 2}:{20000 + number}"
        self.workers[name] = zone
        await self.spawn(name, sys.executable, os.path.join(HERE, "worker.py"), "--id", name, "--listen", address, "--store",
                         self.store, "--zone", zone, "--service", SERVICE, "--labels", labels, "--cpu", str(cpu), "--log",
                         os.path.join(self.temporary, name + ".events"))

    async def start_vm(self, name):
        zone, ip = self.vms[name]
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            program = tomllib.load(deploy)["roles"]["entry"]["run"].split(" ")
        path = os.path.join(self.temporary, name + ".toml")
        seeds = [f"{address}:{PORTS['control']}" for _, address in list(self.vms.values())[:3]]
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(
                f'node_name = "{name}"\nrole = "entry"\nmachine_class = "edge"\nserves = ["edge"]\nip = "{ip}"\n'
                f'zone = "{zone}"\nregion = "reg"\nport_range = [{PORT_RANGE[0]},{PORT_RANGE[1]}]\nseeds = {json.dumps(seeds)}\n'
                'bootstrap = true\nfault_counted = false\ndiscovery = "platform"\nentry = "vip"\nheartbeat_ms = 1500\n'
                'control_mode = "push"\n[zones]\n' + "".join(f'{known} = "reg"\n' for known in self.zones)
                + "[listen]\n" + "".join(f'{use} = "{ip}:{port}"\n' for use, port in PORTS.items())
                + "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
                + "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\n" + BOUNDS
                + f'[platform]\naddr = "{self.store}"\nform = "log"\nwrites_per_s = 600.0\nreads_per_s = 2000.0\nparts = 32\n'
                  "append_ms = 2.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\nmax_record_bytes = 262144\n"
                  "max_call_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n")
        await self.spawn(name, *program, CORIANDERMOUNT_BOOT=path)

    async def start_vms(self):
        for name in self.vms:
            await self.start_vm(name)
        for _ in range(200):
            if all([await self.is_ready(name) for name in self.vms]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the VMs do not become ready")
        # Time until the owners know their workers.
        await asyncio.sleep(3)

    async def is_ready(self, name):
        status, _ = await wire.call(f"{self.vms[name][1]}:{PORTS['ready']}", "GET", "/api/readyz", timeout=1)
        return status == 200

    async def owner_of(self, zone):
        """Returns the VM that says that it owns the cell of the zone; None if none does."""
        for name, (place, ip) in self.vms.items():
            if place != zone or not self.is_running(name):
                continue
            status, body = await wire.call(f"{ip}:{METRICS_PORT}", "GET", "/metrics", timeout=1)
            if status == 200 and re.search(rb"^coriandermount_cell_owned(\{[^}]*\})? 1", body, re.M):
                return name
        return None

    async def ask(self, vm, method, path, body=None, timeout=1.5, deadline_ms=None):
        """Sends a request of a client to a VM and returns its status and JSON body."""
        headers = {"Host": HOST, "Coriandermount-Deadline-Ms": str(deadline_ms or int(timeout * 1000))}
        status, answer = await wire.call(f"{self.vms[vm][1]}:{PORTS['front']}", method, path, body, headers, timeout)
        if status is None:
            return None, answer
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, {}

    def events(self):
        """Returns what the workers have noted so far, in the order of time."""
        found = []
        for name in os.listdir(self.temporary):
            if name.endswith(".events"):
                with open(os.path.join(self.temporary, name), encoding="utf-8") as lines:
                    for line in lines:
                        try:
                            found.append(json.loads(line))
                        except ValueError:
                            continue  # The last line of a killed worker.
        return sorted(found, key=lambda event: event["t"])

    def not_carried_out(self, events, job, tasks, cpu):
        """Returns whether tasks of a job of one step have not ended done, and for the last 3 s none of its tasks has run, though
        there was room for the job twice over and under half of the service's capacity was in use (rule LOST)."""
        now = time.monotonic()
        since = now - 3
        done = {event["task"] for event in events
                if event["event"] == "end" and event["how"] == "done" and event["task"].startswith(job)}
        if len(done) == tasks:
            return False
        runs = {}
        for event in events:
            if event["event"] == "start":
                runs[(event["worker"], event["task"], event["attempt"])] = now
            elif event["event"] == "end":
                runs[(event["worker"], event["task"], event["attempt"])] = event["t"]
        recent = [task for (worker, task, _), end in runs.items() if end >= since and self.is_running(worker)]
        if any(task.startswith(job) for task in recent):
            return False
        capacity = 16000 * sum(self.is_running(worker) for worker in self.workers)
        used = cpu * len(recent)
        return 2 * used < capacity and capacity - used >= 2 * tasks * cpu

    def when(self, event):
        return f"{event['t'] - self.began:8.3f}"

    def describe(self, event):
        extra = " ".join(f"{key}={value}" for key, value in event.items() if key not in ("t", "worker", "event"))
        return f"{self.when(event)}  {event['worker']} {event['event']} {extra}"

    def write_record(self, events):
        with open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8") as record:
            record.write("Clients and disruptions (seconds since the start):\n" + "\n".join(self.lines))
            record.write("\n\nWorkers:\n" + "\n".join(self.describe(event) for event in events) + "\n")

    async def close(self):
        for name in self.processes:
            self.stop(name)
        for process in self.processes.values():
            await process.wait()
        if "KEEP" in os.environ:
            print("kept", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, zones, vms_per_zone, play):
    """Plays a case: `play(deployment, trouble)` returns whether the rule was kept, and which worker events belong to the record.
    Exits with 0 if the rule was kept, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(folder, zones, vms_per_zone)
        try:
            kept, events = await asyncio.wait_for(play(deployment, trouble), LIMIT_S)
            deployment.note("RESULT: the rule " + ("held" if kept else "was broken") + ("" if trouble else " (TROUBLE=0)"))
            deployment.write_record(events)
            return 0 if kept else 1
        except (Exception, asyncio.CancelledError) as problem:  # An error of the script says nothing about the rule.
            deployment.note(f"RESULT: could not run: {type(problem).__name__} {problem}")
            deployment.write_record([])
            return 2
        finally:
            await deployment.close()

    sys.exit(asyncio.run(run()))
