"""Stand-in for the platform's metadata store: a log with partitions, and topics that keep the newest record of each key.

    store.py ADDRESS [READERS]

Calls under /standin/ are those of the operator, the workers and the soak; all others follow the platform's protocol. READERS is a file with
rows of `from`, `store` (address of the store for the VM of that name), `target` and `at`: this VM reads the address `at` in place of
`target` in registrations of VMs."""

import asyncio
import base64
import functools
import json
import random
import sys
import time

import wire

APPEND_S = 0.002
PAGE = 500
READ_ONLY = ("keyed.op", "keyed.servers")
VM_TOPIC = "keyed.vms"


def as_text(address):
    """Returns the MessagePack encoding of an address, which is shorter than 32 bytes."""
    return bytes([0xa0 + len(address)]) + address.encode()


class Partition:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def end(self):
        return self.first + len(self.records)

    def add(self, topic, contents):
        start = self.end()
        for content in contents:
            if topic.startswith("keyed."):
                key = content[1:1 + content[0]].decode("latin-1")
                value = content[1 + content[0]:]
                if value:
                    self.newest[key] = (value, self.end())
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()
        return start


class Store:
    def __init__(self):
        self.topics = {}
        self.down_until = 0.0
        self.is_silent = False
        self.losing_until = 0.0
        self.loss = 0.0
        # Timers that remove the registrations of workers that fall silent.
        self.expiries = {}

    def partition(self, query):
        return self.topics.setdefault((query["topic"], int(query.get("part", 0))), Partition())

    async def handle(self, method, path, query, headers, body, relays=()):
        """`relays` holds pairs of the address in a registration and the one that the caller reads in its place."""
        if path.startswith("/standin/"):
            return self.standin(path, query, body)
        now = time.monotonic()
        if now < self.down_until:
            if self.is_silent:
                raise wire.Silent
            return 503, {}
        if path == "/api/log-append":
            is_lost = now < self.losing_until and random.random() < self.loss
            if is_lost and random.random() < 0.3:
                # Carried out later, if the condition still holds.
                asyncio.get_running_loop().call_later(
                    random.uniform(0.1, 2), lambda: asyncio.ensure_future(self.append(query, body)))
                raise wire.Silent
            answer = await self.append(query, body)
            if is_lost:
                raise wire.Silent
            return answer
        if path == "/api/log-read":
            answer = await self.read(query, relays)
            if time.monotonic() < self.losing_until and random.random() < self.loss:
                raise wire.Silent
            return answer
        if path == "/api/log-newest":
            return self.read_newest(query, relays)
        if path == "/api/log-trim":
            partition = self.partition(query or json.loads(body))
            before = min(int((query or {}).get("before_offset", 0) or json.loads(body)["before_offset"]), partition.end())
            del partition.records[:max(0, before - partition.first)]
            partition.first = max(partition.first, before)
            return 200, {}
        return 404, {}

    def standin(self, path, query, body):
        if path == "/standin/put":
            key = query["key"].encode()
            self.partition(query).add(query["topic"], [bytes([len(key)]) + key + body])
            if key in self.expiries:
                self.expiries.pop(key).cancel()
            if "keep_s" in query:
                self.expiries[key] = asyncio.get_running_loop().call_later(
                    float(query["keep_s"]), self.partition(query).add, query["topic"], [bytes([len(key)]) + key])
        elif path == "/standin/down":
            self.down_until = time.monotonic() + float(query["seconds"])
            self.is_silent = query["silent"] == "1"
        elif path == "/standin/lose":
            self.losing_until = time.monotonic() + float(query["seconds"])
            self.loss = float(query["share"])
        return 200, {}

    async def append(self, query, body):
        if query["topic"] in READ_ONLY:
            return 403, {}
        partition = self.partition(query)
        contents, position = [], 0
        while position < len(body):
            size = int.from_bytes(body[position:position + 4], "big")
            contents.append(body[position + 4:position + 4 + size])
            position += 4 + size
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
                known = partition.producers.get(query["producer"])
                if known and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if not known or epoch > known["epoch"]:
                    known = None
                if known and contents:
                    for earlier, answer in known["answers"]:
                        if earlier == sequence:
                            return 200, answer
                    if known["last"] is not None and sequence != known["last"] + 1:
                        return 409, {"reason": "seq", "sequence": known["last"] + 1}
            if "at" in query and int(query["at"]) != partition.end():
                return 412, {"end_offset": partition.end()}
            start = partition.add(query["topic"], contents)
            answer = {"offset": start, "end_offset": partition.end()}
            if "producer" in query:
                known = known or {"epoch": epoch, "last": None, "answers": []}
                if contents:
                    known["last"] = sequence
                    known["answers"] = (known["answers"] + [(sequence, answer)])[-5:]
                partition.producers[query["producer"]] = known
            return 200, answer

    @staticmethod
    def relayed(query, content, relays):
        if query["topic"] == VM_TOPIC:
            for target, at in relays:
                content = content.replace(target, at)
        return content

    async def read(self, query, relays):
        partition = self.partition(query)
        start = int(query["from"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while start >= partition.end() and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.grown.wait(), left)
            except asyncio.TimeoutError:
                break
        if start < partition.first:
            return 410, {"first_offset": partition.first}
        answer = partition.end().to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        limit = int(query.get("max_kb", 1024)) * 1024
        for content in partition.records[start - partition.first:]:
            if len(answer) + len(content) > limit:
                break
            content = self.relayed(query, content, relays)
            answer += len(content).to_bytes(4, "big") + content
        return 200, answer

    def read_newest(self, query, relays):
        partition = self.partition(query)
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [{"key": key, "value": base64.b64encode(self.relayed(query, partition.newest[key][0], relays)).decode(),
                  "offset": partition.newest[key][1]} for key in keys[:PAGE]]
        return 200, {"items": items, "has_more": len(keys) > PAGE, "end_offset": partition.end()}


async def main():
    store = Store()
    server = await wire.serve(sys.argv[1], store.handle)
    readers = {}
    if sys.argv[2:]:
        with open(sys.argv[2], encoding="utf-8") as file:
            for row in json.load(file):
                readers.setdefault(row["store"], []).append((as_text(row["target"]), as_text(row["at"])))
    for address, relays in readers.items():
        await wire.serve(address, functools.partial(store.handle, relays=relays))
    print("serving", flush=True)
    await server.serve_forever()


asyncio.run(main())
