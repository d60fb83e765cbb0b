"""Carries what VMs send each other, so that it can be lost or held between two of them.

    relay.py CONTROL PAIRS

PAIRS is a file with rows of `from`, `to` (names of VMs), `at` (address of the relay for this pair) and `target` (address of the second VM).
What comes to `at` by TCP or UDP goes to `target`. POST /standin/cut at CONTROL cuts pairs; each has a direction. A datagram is lost in a
cut. Bytes and closings of a connection are held until its end, or the connection is reset."""

import asyncio
import json
import sys
import time

import wire

CHUNK = 65536
TICK_S = 0.05
# Bound of a time in which this process did not run, from which it excuses VMs; that of the workers is the same.
STALL_S = 0.2


def note(**fields):
    print(json.dumps({"t": time.monotonic(), **fields}), flush=True)


class Cuts:
    def __init__(self):
        self.until = {}
        self.resets = {}
        # Pairs and both writers of the open connections.
        self.connections = set()
        self.lost = 0

    def is_cut(self, pair):
        return time.monotonic() < self.until.get(pair, 0.0)

    async def passable(self, pair):
        """Returns when the pair isn't cut, however often the cut is made longer."""
        while self.is_cut(pair):
            await asyncio.sleep(self.until[pair] - time.monotonic())

    def is_reset(self, pair):
        return any(self.is_cut(way) and self.resets[way] for way in (pair, pair[::-1]))

    async def handle(self, _method, path, _query, _headers, body):
        if path != "/standin/cut":
            return 404, {}
        fields = json.loads(body)
        held = 0
        for pair in map(tuple, fields["pairs"]):
            self.until[pair] = max(self.until.get(pair, 0.0), time.monotonic() + fields["seconds"])
            self.resets[pair] = fields["resets"]
        for pair, *writers in list(self.connections):
            if self.is_cut(pair) or self.is_cut(pair[::-1]):
                held += 1
            if self.is_reset(pair):
                for writer in writers:
                    writer.transport.abort()
        note(event="cut", connections=held, lost=self.lost)
        return 200, {}


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, cuts, pair, target):
        self.cuts, self.pair, self.target = cuts, pair, target
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if self.cuts.is_cut(self.pair):
            self.cuts.lost += 1
        else:
            self.transport.sendto(data, self.target)

    def error_received(self, exc):
        # Nobody listens at the target.
        pass


async def carry(cuts, pair, reader, writer):
    """Carries bytes and the closing of one direction. A reset ends both directions."""
    while data := await reader.read(CHUNK):
        await cuts.passable(pair)
        writer.write(data)
        await writer.drain()
    await cuts.passable(pair)
    if writer.can_write_eof():
        writer.write_eof()


async def relay_connection(cuts, pair, target, reader, writer):
    far, entry = None, None
    try:
        if cuts.is_reset(pair):
            raise ConnectionResetError
        await cuts.passable(pair)
        far_reader, far = await asyncio.open_connection(*target)
        entry = (pair, writer, far)
        cuts.connections.add(entry)
        ways = [asyncio.ensure_future(carry(cuts, pair, reader, far)),
                asyncio.ensure_future(carry(cuts, pair[::-1], far_reader, writer))]
        try:
            await asyncio.gather(*ways)
        finally:
            for way in ways:
                way.cancel()
        writer.close()
        far.close()
    except OSError:
        # A reset of one side becomes one of the other as soon as it can pass.
        await cuts.passable(pair)
        await cuts.passable(pair[::-1])
        writer.transport.abort()
        if far:
            far.transport.abort()
    finally:
        cuts.connections.discard(entry)


def parse(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def main():
    cuts = Cuts()
    with open(sys.argv[2], encoding="utf-8") as file:
        rows = json.load(file)
    loop = asyncio.get_running_loop()
    for row in rows:
        pair, target = (row["from"], row["to"]), parse(row["target"])
        await loop.create_datagram_endpoint(lambda pair=pair, target=target: Datagrams(cuts, pair, target), local_addr=parse(row["at"]))
        await asyncio.start_server(
            lambda reader, writer, pair=pair, target=target: relay_connection(cuts, pair, target, reader, writer), *parse(row["at"]))
    await wire.serve(sys.argv[1], cuts.handle)
    print(json.dumps({"event": "serving", "pairs": len(rows)}), flush=True)
    while True:
        before = time.monotonic()
        await asyncio.sleep(TICK_S)
        if time.monotonic() - before > TICK_S + STALL_S:
            note(event="stall", since=before)


asyncio.run(main())
