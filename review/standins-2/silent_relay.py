"""Relay in front of a server. Its open connections can go silent for good, without a reset, while new ones work."""

import asyncio


class SilentRelay:
    def __init__(self, address, target):
        self.address, self.target = address, target
        self.generation = 0

    async def start(self):
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self.carry_connection, host, int(port), backlog=512)

    def silence(self):
        """Nothing passes on the connections that are open now, and nobody is told when they are closed."""
        self.generation += 1

    async def carry(self, generation, reader, writer):
        while data := await reader.read(65536):
            if generation != self.generation:
                # What comes on a silent connection is read and thrown away.
                continue
            writer.write(data)
            await writer.drain()
        if generation == self.generation:
            writer.close()

    async def carry_connection(self, reader, writer):
        generation = self.generation
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.carry(generation, reader, far_writer), self.carry(generation, far_reader, writer))
        except OSError:
            writer.close()
        except asyncio.CancelledError:
            # The case has ended.
            pass
