"""Crowds of misbehaving clients at the listeners of one VM.

    misbehaving_clients.py --program PATH [--only NAME] [--list]

Each test starts the stand-ins of the store and of two workers and one VM on loopback addresses, lets a crowd of one kind connect to one
target, and checks that the process lives, that its memory and its open descriptors stay under the limits of its settings, and that an
ordinary job is answered with 200 while the crowd is still connected. No times and no share of served requests are checked. Tests run one
at a time. Prints a line of JSON for each. Exit status: 0 if all checks hold, 1 if one fails, 2 if a test could not run."""

import argparse
import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import play as soak  # pylint: disable=wrong-import-position
import wire  # pylint: disable=wrong-import-position

# An idle VM uses 13 MB. 300 bodies of the largest legal size are 75 MB, so that a VM that keeps them all exceeds this.
MEMORY_MB = 64
MAX_FDS = 1000
MAX_BODY = 262144
SAMPLE_S = 0.1
# Time after which a crowd that the VM does not read from is left as it is.
CROWD_LIMIT_S = 10
# Time for which endless clients go on before the ordinary job.
ENDLESS_S = 3
SETTLE_S = 0.5
ORDINARY_ATTEMPTS = 12
ORDINARY_WAIT_S = 5
SOURCES = 4
LOG_LINES = 20
BODY = b'{"spec":"' + b"x" * (MAX_BODY - 9)
CHUNKS = b"".join(b"40\r\n" + BODY[first:first + 64] + b"\r\n" for first in range(0, MAX_BODY - 64, 64)) + b"3f\r\n" + BODY[-63:] + b"\r\n"
CHUNKS_OF_ONE_BYTE = b"".join(b"1\r\n" + BODY[first:first + 1] + b"\r\n" for first in range(MAX_BODY - 1))
CHUNKS_OF_64_KB = b"".join(b"10000\r\n" + BODY[first:first + 65536] + b"\r\n" for first in range(0, MAX_BODY - 65536, 65536)) \
    + b"ffff\r\n" + BODY[-65535:] + b"\r\n"
PIECE = 4096
SMALL_BUFFER = 2048
PHASE = '{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":1}'
MANY_PHASES = ('{"spec":"{}","best_effort":true,"phases":[' + ",".join([PHASE] * 5500) + "]}").encode()
assert len(CHUNKS) > MAX_BODY - 1 and len(MANY_PHASES) <= MAX_BODY


class Client:
    """One client of a crowd. `send` and `receive` raise OSError when the VM has closed the connection."""

    def __init__(self, source, address, target, number):
        self.source, self.address, self.number = source, address, number
        self.method, self.path = target(number)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        self.socket.bind((self.source, 0))
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))

    def head(self, fields):
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {soak.HOST}", "Coriandermount-Deadline-Ms: 8000",
                 "Content-Type: application/json", *fields]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self, size=65536):
        data = await asyncio.get_running_loop().sock_recv(self.socket, size)
        if not data:
            raise ConnectionResetError
        return data

    def shrink_buffer(self):
        """Makes the kernel take few bytes of the answers, so that the VM holds the others."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)


# Kinds of clients. The first line of each doc comment is the failure that its tests guard against.

async def body_in_one_piece(client):
    """Unfinished bodies of the largest legal size are kept without a common limit on their memory."""
    await client.send(client.head([f"Content-Length: {MAX_BODY}"]) + BODY[:MAX_BODY - 1])


async def body_in_small_pieces(client):
    """Buffers of unfinished bodies that grow by small pieces are not accounted as they grow."""
    await client.send(client.head([f"Content-Length: {MAX_BODY}"]))
    for first in range(0, MAX_BODY - 1, PIECE):
        await client.send(BODY[first:min(first + PIECE, MAX_BODY - 1)])


async def body_in_chunks(client):
    """Unfinished chunked bodies, whose length no header field tells, are kept without a common limit on their memory."""
    await client.send(client.head(["Transfer-Encoding: chunked"]) + CHUNKS)


async def body_in_chunks_of_one_byte(client):
    """Unfinished bodies in the smallest chunks cost more than their bytes, or hold up the other clients."""
    await client.send(client.head(["Transfer-Encoding: chunked"]) + CHUNKS_OF_ONE_BYTE)
    # The system's buffers take what the VM has not read yet.
    await asyncio.sleep(CROWD_LIMIT_S - 1)


async def body_in_chunks_of_64_kb(client):
    """Unfinished bodies in large chunks are kept without a common limit on their memory."""
    await client.send(client.head(["Transfer-Encoding: chunked"]) + CHUNKS_OF_64_KB)


async def half_body_then_close(client):
    """Bodies of connections that close half-way exceed the memory before or after they are closed."""
    await client.send(client.head([f"Content-Length: {MAX_BODY}"]) + BODY[:MAX_BODY // 2])


async def claim_of_8_gb(client):
    """Memory is reserved or kept for bodies that claim to be far over the limit."""
    await client.send(client.head(["Content-Length: 8000000000"]) + BODY[:MAX_BODY - 1])


async def many_phases(client):
    """Parsed documents of jobs of legal size with too many phases exceed the memory."""
    await client.send(client.head([f"Content-Length: {len(MANY_PHASES)}"]) + MANY_PHASES)
    await client.receive()


async def opening_brackets(client):
    """Deeply nested documents exhaust the stack or the memory."""
    await client.send(client.head(["Content-Length: 260000"]) + b"[" * 260000)
    await client.receive()


async def header_flood(client):
    """Very many short header fields take many times their size and are kept while the body is outstanding."""
    await client.send(client.head(["a:"] * 1500 + ["Content-Length: 16"]))


async def stop_half_way(client):
    """Requests that stop at any byte of the request line, the header fields or the body keep their connection and their memory."""
    message = client.head(["Content-Length: 4096"]) + BODY[:4095]
    await client.send(message[:random.Random(client.number).randint(1, len(message))])


async def pipelining_without_reading(client):
    """Answers that nobody reads pile up in memory when requests are sent ahead of them."""
    await client.send((client.head(["Content-Length: 2"]) + b"{}") * 400)


async def slow_sender(client):
    """Clients that send a byte at a time keep their connections and hold up the others."""
    for byte in client.head([f"Content-Length: {MAX_BODY}"]) + BODY:
        await client.send(bytes([byte]))
        await asyncio.sleep(0.2)


async def slow_reader(client):
    """Clients that read a byte at a time make the VM hold the answers to all that they have sent."""
    await client.send((client.head(["Content-Length: 2"]) + b"{}") * 50)
    while True:
        await client.receive(1)
        await asyncio.sleep(0.2)


# Size of the crowd for each kind. On the code that these tests were written for, those of the kinds that keep bodies exceed the memory.
KINDS = {body_in_one_piece: 320, body_in_small_pieces: 320, body_in_chunks: 320, body_in_chunks_of_one_byte: 320,
         body_in_chunks_of_64_kb: 320, half_body_then_close: 600, claim_of_8_gb: 320, many_phases: 400, opening_brackets: 500,
         header_flood: 800, stop_half_way: 800, pipelining_without_reading: 200, slow_sender: 800, slow_reader: 400}
CLOSING = (half_body_then_close,)
ENDLESS = (slow_sender, slow_reader)
UNREAD = (pipelining_without_reading, slow_reader)
# Listener, and the method and path of the client with a number.
TARGETS = {"route": ("front", lambda number: ("POST", f"/main/{number + 1:016x}")),
           "no_route": ("front", lambda number: ("POST", f"/nowhere/{number + 1:016x}")),
           "readiness": ("ready", lambda number: (("GET", "POST")[number % 2], "/api/readyz"))}
TESTS = {f"{kind.__name__}/{target}": (kind, target) for kind in KINDS for target in TARGETS}


class Vm(soak.Vm):
    """A VM with the lowered limits."""

    def write_settings(self, bootstrap, extra=""):
        # The VM may read its settings at any time, so they are replaced as a whole and never hold the limits of the soak.
        settings = self.settings
        self.settings = settings + ".soak"
        try:
            super().write_settings(bootstrap, extra)
            with open(self.settings, encoding="utf-8") as file:
                text = file.read()
        finally:
            self.settings = settings
        lowered = text.replace("memory_mb = 260\n", f"memory_mb = {MEMORY_MB}\n").replace("max_fds = 4100\n", f"max_fds = {MAX_FDS}\n")
        if f"memory_mb = {MEMORY_MB}\n" not in lowered or f"max_fds = {MAX_FDS}\n" not in lowered:
            raise RuntimeError("the settings of the soak have other limits than expected")
        with open(settings + ".new", "w", encoding="utf-8") as file:
            file.write(lowered)
        os.replace(settings + ".new", settings)


class Sampler(threading.Thread):
    """Samples memory and open descriptors of a process. A thread, so that a busy event loop does not delay it."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.peak_kb, self.rss_kb, self.fds = pid, 0, 0, 0
        self.ended = threading.Event()

    def sample(self):
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
                fields = dict(line.split(":", 1) for line in file)
            if "VmHWM" in fields:
                self.rss_kb = int(fields["VmRSS"].split()[0])
                self.peak_kb = max(self.peak_kb, int(fields["VmHWM"].split()[0]), self.rss_kb)
            self.fds = max(self.fds, len(os.listdir(f"/proc/{self.pid}/fd")))
        except OSError:
            # The process has ended.
            pass

    def run(self):
        while not self.ended.wait(SAMPLE_S):
            self.sample()


class Crowd:
    def __init__(self, kind, clients):
        self.kind, self.clients, self.tasks = kind, clients, []
        self.sent = 0

    async def behave(self, client):
        try:
            await client.connect()
            await self.kind(client)
            self.sent += 1
        except OSError:
            # The VM may refuse the request by closing the connection.
            pass

    async def misbehave(self):
        for client in self.clients:
            if self.kind in UNREAD:
                client.shrink_buffer()
            self.tasks.append(asyncio.ensure_future(self.behave(client)))
        await asyncio.wait(self.tasks, timeout=ENDLESS_S if self.kind in ENDLESS else CROWD_LIMIT_S)
        await asyncio.sleep(SETTLE_S)
        if self.kind in CLOSING:
            await self.close()
            await asyncio.sleep(SETTLE_S)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        for client in self.clients:
            client.socket.close()


class Trial(soak.Play):
    """One VM with two workers."""

    def __init__(self, program, folder):
        super().__init__(program, 1, 0, folder, [], False)
        self.vms_each, self.workers_each, self.together, self.domains = [1], [2], 2, ["domain-a"]

    def reserve_network(self):
        self.network = super().reserve_network()
        return self.network

    async def is_answered(self, vm):
        for attempt in range(ORDINARY_ATTEMPTS):
            body = json.dumps({"spec": json.dumps({"ms": 50, "cpu": 2000}), "best_effort": True,
                               "phases": [{"count": 1, "cpu": 2000, "mem_mb": 64, "estimate_ms": 50}]}).encode()
            headers = [("Host", soak.HOST), ("Coriandermount-Deadline-Ms", str(ORDINARY_WAIT_S * 1000))]
            status, _ = await wire.call_once(vm.front, "POST", f"/main/{0xf00d0000 + attempt:016x}", body, headers, ORDINARY_WAIT_S)
            if status == 200:
                return True
            if not vm.is_running():
                return False
            await asyncio.sleep(soak.RETRANSMIT_S)
        return False

    async def check(self, kind, target):
        """Returns the measured values and the checks that fail."""
        vm = next(iter(self.vms.values()))
        if not await self.is_answered(vm):
            raise RuntimeError("an ordinary job is not answered before the crowd comes")
        sampler = Sampler(vm.process.pid)
        sampler.sample()
        idle_kb = sampler.rss_kb
        sampler.start()
        listener, requests = TARGETS[target]
        clients = [Client(f"{self.network}.200.{number % SOURCES + 1}", getattr(vm, listener), requests, number)
                   for number in range(KINDS[kind])]
        crowd = Crowd(kind, clients)
        try:
            await crowd.misbehave()
            answered = await self.is_answered(vm)
            sampler.sample()
            lives = vm.is_running()
        finally:
            sampler.ended.set()
            sampler.join()
            await crowd.close()
        checks = {"lives": lives, "memory": sampler.peak_kb < MEMORY_MB * 1024, "descriptors": sampler.fds < MAX_FDS,
                  "answered": answered}
        return {"clients": len(clients), "sent": crowd.sent, "idle_mb": round(idle_kb / 1024, 1),
                "peak_mb": round(sampler.peak_kb / 1024, 1), "rss_mb": round(sampler.rss_kb / 1024, 1), "limit_mb": MEMORY_MB,
                "fds": sampler.fds, "max_fds": MAX_FDS, "failed": [name for name, holds in checks.items() if not holds]}

    def print_log(self):
        for vm in self.vms.values():
            with open(vm.output, encoding="utf-8", errors="replace") as lines:
                print("".join(f"  {line[:400].rstrip()}\n" for line in list(lines)[-LOG_LINES:]), end="", file=sys.stderr)


async def run(program, name):
    kind, target = TESTS[name]
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(program, folder)
        began = time.monotonic()
        try:
            await trial.set_up()
            result = await trial.check(kind, target)
        except (OSError, RuntimeError) as problem:
            result = {"failed": ["run"], "problem": f"{type(problem).__name__}: {problem}"}
        finally:
            await trial.close()
            trial.guard.close()
        if "lives" in result["failed"] or "run" in result["failed"]:
            trial.print_log()
    verdict = "could not run" if "run" in result["failed"] else "failed" if result["failed"] else "passed"
    print(json.dumps({"test": name, "verdict": verdict, **result, "seconds": round(time.monotonic() - began, 1)}), flush=True)
    return {"passed": 0, "failed": 1, "could not run": 2}[verdict]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program")
    parser.add_argument("--only", choices=TESTS, metavar="NAME")
    parser.add_argument("--list", action="store_true")
    arguments = parser.parse_args()
    if arguments.list:
        for name, (kind, _) in TESTS.items():
            print(f"{name}: {kind.__doc__}")
        return 0
    if not arguments.program:
        parser.error("--program is missing")
    soak.Vm = Vm
    return max(asyncio.run(run(arguments.program, name)) for name in ([arguments.only] if arguments.only else TESTS))


if __name__ == "__main__":
    sys.exit(main())
