"""Stand-in for the platform's store, as PROTOCOL.md describes it: a log with topics, keyed topics and writer epochs.

Besides the calls of the page it has three of its own, which stand for the operator, the workers and the disruptions:
/control/put writes a record of keyed.op or keyed.servers, /control/down makes the store refuse all calls for a while, and
/control/lose makes it carry out a share of the writes without an answer for a while."""

import argparse
import asyncio
import base64
import collections
import json
import random
import struct
import time

import wire

ANSWER_S = 0.004
ENTRY_SILENCE_S = 4.5
RETURN_S = 2.0
PAGE = 500
READ_BYTES = 1024 * 1024


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def append(self, records, keyed):
        first = len(self.records)
        for content in records:
            if keyed:
                length = content[0]
                key, value = content[1:1 + length].decode(), content[1 + length:]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": first, "end_offset": len(self.records)}


def parse_records(body):
    records = []
    position = 0
    while position < len(body):
        length = struct.unpack_from(">I", body, position)[0]
        records.append(body[position + 4:position + 4 + length])
        position += 4 + length
    return records


class Store:
    def __init__(self):
        self.partitions = collections.defaultdict(Partition)
        self.down_until = 0.0
        self.lossy_until = 0.0
        self.lost_share = 0.0
        self.beats = {}

    def is_down(self):
        return time.monotonic() < self.down_until

    async def handle(self, request):
        if request.path.startswith("/control/"):
            return self.control(request)
        if self.is_down():
            return 503, {}
        if request.path == "/api/log-append":
            answer = self.append(request)
            await asyncio.sleep(ANSWER_S)
            lost = time.monotonic() < self.lossy_until and random.random() < self.lost_share
            return None if lost else answer
        if request.path == "/api/log-read":
            return await self.read(request)
        if request.path == "/api/log-newest":
            await asyncio.sleep(ANSWER_S)
            return self.read_newest(request)
        return 404, {}

    def control(self, request):
        if request.path == "/control/down":
            self.down_until = time.monotonic() + request.fields()["for_s"]
            for partition in self.partitions.values():
                partition.changed.set()
                partition.changed = asyncio.Event()
            return 200, {}
        if request.path == "/control/lose":
            self.lossy_until = time.monotonic() + request.fields()["for_s"]
            self.lost_share = request.fields()["share"]
            return 200, {}
        fields = request.fields()
        if fields["topic"] == "keyed.servers":
            if self.is_down():
                return 503, {}
            if fields["value"] is None:
                self.beats.pop(fields["key"], None)
            else:
                self.beats[fields["key"]] = time.monotonic()
        self.put(fields["topic"], fields["key"], fields["value"])
        return 200, {}

    def put(self, topic, key, value):
        name = key.encode()
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.partitions[(topic, 0)].append([bytes([len(name)]) + name + data], True)

    async def expire(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            if now < self.down_until + RETURN_S:
                continue
            for key, at in list(self.beats.items()):
                if now - max(at, self.down_until) > ENTRY_SILENCE_S:
                    del self.beats[key]
                    self.put("keyed.servers", key, None)

    def append(self, request):
        query = request.query
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partitions[(query["topic"], int(query["part"]))]
        records = parse_records(request.body)
        if len(request.body) > 2097152 or any(len(content) > 262144 for content in records):
            return 400, {}
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = partition.producers.get(query["producer"])
            if known and epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if not known or epoch > known["epoch"]:
                producer = {"epoch": epoch, "next": sequence, "last": collections.deque(maxlen=5)}
            else:
                producer = known
            for number, answer in producer["last"]:
                if number == sequence:
                    return answer
            if sequence != producer["next"]:
                return 409, {"reason": "seq", "expected": producer["next"]}
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end_offset": len(partition.records)}
        answer = 200, partition.append(records, query["topic"].startswith("keyed."))
        if producer:
            partition.producers[query["producer"]] = producer
            producer["next"] += 1
            producer["last"].append((int(query["sequence"]), answer))
        return answer

    async def read(self, request):
        partition = self.partitions[(request.query["topic"], int(request.query["part"]))]
        first = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        await asyncio.sleep(ANSWER_S)
        while first >= len(partition.records) and time.monotonic() < until and not self.is_down():
            try:
                await asyncio.wait_for(partition.changed.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                pass
        if self.is_down():
            return 503, {}
        body = [struct.pack(">QQ", len(partition.records), 0)]
        size = 0
        for content in partition.records[first:]:
            size += 4 + len(content)
            if size > READ_BYTES and len(body) > 1:
                break
            body.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(body)

    def read_newest(self, request):
        partition = self.partitions[(request.query["topic"], int(request.query["part"]))]
        after = request.query.get("after")
        keys = sorted(key for key in partition.newest if after is None or key > after)
        items = [{"key": key, "value": base64.b64encode(partition.newest[key][1]).decode(),
                  "offset": partition.newest[key][0]} for key in keys[:PAGE]]
        return 200, {"items": items, "has_more": len(keys) > PAGE, "end_offset": len(partition.records)}


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    options = parser.parse_args()
    store = Store()
    server = await wire.serve(options.listen, store.handle)
    asyncio.ensure_future(store.expire())
    await server.serve_forever()


asyncio.run(main())
