"""A small deployment for the scripts of this review: real entry daemons, and the stand-ins of tests/soak for the store and the workers.

All addresses are loopback addresses of a network that is drawn for each run. All processes end with this one."""

import asyncio
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
SOAK = os.path.join(ROOT, "tests", "soak")
sys.path.insert(0, SOAK)
import wire  # noqa: E402

FRONT, READY, CONTROL, PEER_FIRST, PEER_LAST, METRICS = 8161, 8167, 8166, 7720, 7735, 9464
STORE_PORT, WORKER_PORT = 8169, 8080
HOST, SERVICE = "nony24.example", "huvo11a"
READY_LIMIT_S = 30
# Bounds of the small deployments, as in their settings.
CANCEL_S, KILL_GRACE_S, CONFIG_APPLY_S, STABLE_WINDOW_S, FINISH_S, VISIBLE_S = 3.0, 0.05, 2.0, 3.0, 14.0, 3.0
LIBC = ctypes.CDLL(None)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; it shows nothing."""


def die_with_parent():
    pr_set_pdeathsig = 1
    LIBC.prctl(pr_set_pdeathsig, signal.SIGKILL)


def command_of_deploy_file():
    """Returns the command that the deploy file names for its one role."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return shlex.split(json.loads(value.strip()))
    raise CannotRun("deploy/system.toml names no command")


def free_network():
    """Returns the first three numbers of addresses on which nothing listens."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, 30):
                for port in (FRONT, READY, PEER_FIRST, METRICS, STORE_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free addresses")


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


class Vm:
    def __init__(self, world, name, zone, ip, store_address):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.front, self.ready = f"{ip}:{FRONT}", f"{ip}:{READY}"
        self.store_address = store_address
        self.process = None
        self.cpu_share = 0.25

    def write_settings(self):
        zones = "\n".join(f'{zone} = "tln"' for zone in self.world.zones)
        seeds = json.dumps([f"{vm.ip}:{CONTROL}" for vm in list(self.world.vms.values())[:3]])
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "tln"
port_range = [{PEER_FIRST},{PEER_LAST}]
seeds = {seeds}
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
control_mode = "push"
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.ip}:{CONTROL}"
[limits]
cpu_share = {self.cpu_share}
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
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
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = true
lease_ms = 3000
thaw_ms = 300
rate_window_ms = 100
interference_ms = 4000
retransmit_ms = 1300
[platform]
addr = "{self.store_address}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 32
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
max_record_bytes = 262144
max_call_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
[cloud_api]
addr = "{self.world.network}.1:{STORE_PORT}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
""")
        return path

    def start(self):
        settings = self.write_settings()
        with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(command_of_deploy_file(), cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "CORIANDERMOUNT_BOOT": settings},
                                            preexec_fn=die_with_parent)
        self.world.processes.append(self.process)

    def signal(self, number):
        self.world.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)


class World:
    """`zones` names the zones; each has `vms` entry VMs and `workers` workers."""

    def __init__(self, case_folder, zones, vms, workers, stores=None):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = free_network()
        self.zones, self.per_zone, self.workers_per_zone = zones, vms, workers
        self.processes = []
        self.vms = {}
        self.workers = {}
        self.worker_zone = {}
        self.worker_logs = {}
        self.store = f"{self.network}.1:{STORE_PORT}"
        # Address at which a VM finds the store, by name; the store itself for the others.
        self.stores = stores or {}
        self.version = 0
        # Last number of the address of the next entry VM.
        self.next_vm = 10
        self.limit = 110
        # Shares of a core that the entry VMs of a zone have, in the order of their names.
        self.cpu_shares = [0.25]

    def spawn(self, name, command):
        path = os.path.join(self.folder, f"{name}.log")
        with open(path, "ab") as log:
            process = subprocess.Popen([sys.executable, "-B", *command], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                       preexec_fn=die_with_parent)
        self.processes.append(process)
        return path, process

    async def serving(self, path):
        for _ in range(200):
            with open(path, encoding="utf-8") as file:
                if "serving" in file.read():
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"a stand-in does not serve: {path}")

    async def start_store(self):
        path, _ = self.spawn("store", [os.path.join(SOAK, "store.py"), self.store])
        await self.serving(path)

    async def start_workers(self):
        number = 120
        for zone in self.zones:
            listed = []
            for index in range(self.workers_per_zone):
                name, address = f"i-{zone}-{index}", f"{self.network}.{number}:{WORKER_PORT}"
                number += 1
                listed.append(f"{name}={address}")
                self.workers[name] = address
                self.worker_zone[name] = zone
            path, process = self.spawn(
                f"workers-{zone}", [os.path.join(SOAK, "workers.py"), self.store, zone, SERVICE, *listed])
            self.worker_logs[zone] = (path, process)
        for path, _ in self.worker_logs.values():
            await self.serving(path)

    async def put_config(self, routes, version=None):
        """Writes a config. `routes` are pairs of name and prefix."""
        self.version = version or self.version + 3
        config = {"version": self.version,
                  "routes": [{"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 60000,
                              "target_latency_ms": 60, "priority": 1, "service": SERVICE, "max_attempts": 3, "slack_factor": 1.6}
                             for name, prefix in routes],
                  "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                                "admission_control": True, "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000}}
        status, _ = await wire.call_once(
            self.store, "POST", "/standin/put?topic=keyed.op&part=0&key=config", json.dumps(config).encode())
        self.record.write(f"operator: config {self.version}, routes {[prefix for _, prefix in routes]} -> {status}")

    def add_vm(self, name, zone, cpu_share):
        """Starts an entry VM at an address that none has had."""
        vm = Vm(self, name, zone, f"{self.network}.{self.next_vm}", self.stores.get(name, self.store))
        self.next_vm += 1
        vm.cpu_share = cpu_share
        self.vms[name] = vm
        vm.start()
        self.record.write(f"{name} starts with {cpu_share} of a core")
        return vm

    async def start_vms(self):
        for index in range(self.per_zone):
            for zone in self.zones:
                self.add_vm(f"edge-{zone}-{index + 1}", zone, self.cpu_shares[index % len(self.cpu_shares)])
        until = time.monotonic() + READY_LIMIT_S
        waiting = list(self.vms.values())
        while waiting:
            if time.monotonic() > until:
                raise CannotRun(f"not ready: {[vm.name for vm in waiting]}")
            if any(vm.process.poll() is not None for vm in waiting):
                raise CannotRun("an entry daemon has ended")
            ready = [await wire.call_once(vm.ready, "GET", "/api/readyz", timeout=1) for vm in waiting]
            waiting = [vm for vm, (status, _) in zip(waiting, ready) if status != 200]
            await asyncio.sleep(0.1)
        # The leases of an earlier owner are over, and all workers have been asked.
        await asyncio.sleep(4)
        self.record.write(f"{len(self.vms)} entry VMs are ready")

    async def start(self, routes=(("r-main", "/lohu930/"),)):
        await self.start_store()
        await self.put_config(list(routes))
        await self.start_workers()
        await self.start_vms()

    async def call(self, vm, method, path, body=None, deadline_ms=10000, quiet=False, label=""):
        """Sends a request of a client. Returns the status, or None without an answer, and the fields of the answer."""
        raw = b"" if body is None else json.dumps(body).encode()
        if not quiet:
            self.record.write(f"client{label} -> {vm.name}: {method} {path} {raw.decode()[:160]}")
        status, answer = await wire.call_once(
            vm.front, method, path, raw, [("Host", HOST), ("Coriandermount-Deadline-Ms", str(deadline_ms))],
            timeout=deadline_ms / 1000)
        if not quiet:
            self.record.write(f"client{label} <- {vm.name}: {method} {path}: {status} {answer.decode(errors='replace')[:200]}")
        try:
            return status, json.loads(answer or b"{}")
        except ValueError:
            return status, {}

    async def crash_worker(self, name, seconds):
        """Ends a worker without notice; it starts again, empty, after `seconds`."""
        self.record.write(f"worker {name} crashes for {seconds} s")
        await wire.call_once(self.workers[name], "POST", f"/standin/crash?seconds={seconds}", timeout=0.5)

    async def remove_worker(self, name):
        """Removes the entry of a worker, as the platform does after three heartbeat intervals of silence."""
        self.record.write(f"the entry of worker {name} is removed")
        await wire.call_once(self.store, "POST", f"/standin/put?topic=keyed.servers&part=0&key={name}", b"")

    def events(self):
        """Returns what all workers have noted, in the order of time."""
        found = []
        for path, _ in self.worker_logs.values():
            with open(path, encoding="utf-8") as file:
                for line in file:
                    try:
                        fields = json.loads(line)
                    except ValueError:
                        continue
                    if "worker" in fields:
                        found.append(fields)
        return sorted(found, key=lambda fields: fields["t"])

    def runs(self, job=None):
        """Returns the runs of a job as rows of task, attempt, worker, start, end and how they ended."""
        runs = {}
        for fields in self.events():
            key = (fields["worker"], fields["born"], fields.get("task"), fields.get("attempt"))
            if job and not str(fields.get("task")).startswith(job):
                continue
            if fields["event"] == "start":
                runs[key] = {"task": fields["task"], "attempt": fields["attempt"], "worker": fields["worker"],
                             "start": fields["t"], "end": None, "how": None}
            elif fields["event"] == "end" and key in runs:
                runs[key].update(end=fields["t"], how=fields["how"])
        return sorted(runs.values(), key=lambda run: run["start"])

    def write_runs(self, runs):
        for run in runs:
            end = f"{run['end'] - self.record.began:.3f}" if run["end"] else "-"
            self.record.write(f"run of {run['task']} attempt {run['attempt']} on {run['worker']}: "
                              f"{run['start'] - self.record.began:.3f} to {end}, {run['how'] or 'still running'}")

    async def running_on(self, job, limit=10):
        """Waits until a task of the job runs, and returns its worker."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            current = [run for run in self.runs(job) if run["end"] is None]
            if current:
                return current[-1]["worker"]
            await asyncio.sleep(0.05)
        return None

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def job(steps, best_effort=False):
    """Returns a submission. `steps` holds rows of the number of tasks and their length in ms; each step follows the one before."""
    phases = []
    for index, (count, length_ms) in enumerate(steps):
        phase = {"count": count, "cpu": 2000, "mem_mb": 64, "estimate_ms": length_ms}
        if index:
            phase["after"] = [index - 1]
        phases.append(phase)
    submission = {"spec": json.dumps({"ms": steps[0][1], "cpu": 2000}), "phases": phases}
    if best_effort:
        submission["best_effort"] = True
    return submission


def play(folder, zones, vms, workers, case, **options):
    """Plays `case(world)`, which returns the violations that it has seen, and ends with the exit status of the script."""
    world = World(folder, zones, vms, workers, **options)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(world), world.limit))
        for line in broken:
            world.record.write(f"BROKEN: {line}")
        world.record.write(f"result: {'broken' if broken else 'held'}")
        print("\n".join(broken) or "held")
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        world.record.write(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
    finally:
        world.stop()
    sys.exit(status)
