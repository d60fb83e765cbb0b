"""HTTP/1.1 over asyncio, as far as the soak needs it: a server for the stand-ins and calls over connections that stay open."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers with names in lower case, and the body. Raises EOFError when the peer has closed."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Silent(Exception):
    """Raised by a handler whose request gets no answer; the connection stays open until the peer closes it."""


async def pass_at_once(_):
    pass


async def serve(address, handler, connections=None, gate=pass_at_once):
    """Serves `handler(method, path, query, headers, body)`, which returns a status and a dictionary or bytes.

    `connections` holds the writers of the connections that are open. `gate(writer)` is awaited before the first request of a connection is
    read, before each request is handled, and before each answer is sent; ConnectionError ends the connection."""
    connections = set() if connections is None else connections

    async def connection(reader, writer):
        connections.add(writer)
        try:
            await gate(writer)
            while True:
                first, headers, body = await read_message(reader)
                await gate(writer)
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                try:
                    status, answer = await handler(method, parts.path, dict(parse_qsl(parts.query)), headers, body)
                except Silent:
                    while await reader.read(65536):
                        pass
                    return
                await gate(writer)
                raw = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Length: {len(raw)}\r\n"
                             "Content-Type: application/json\r\n\r\n".encode() + raw)
                await writer.drain()
        except (EOFError, ConnectionError, ValueError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(connection, host, int(port), backlog=512)


class Connection:
    """One connection of a caller."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def is_open(self):
        return not self.reader.at_eof() and not self.writer.is_closing() and self.reader.exception() is None

    async def call(self, method, target, body=b"", headers=()):
        """Returns the status, headers and body of the answer."""
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name == "Host" for name, _ in headers):
            lines.append("Host: standin")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()
        first, answered, raw = await read_message(self.reader)
        return int(first.split(" ")[1]), answered, raw

    def close(self):
        self.writer.close()


async def call_once(address, method, target, body=b"", headers=(), timeout=2.0):
    """Returns the status and body of a call on a connection of its own; (None, b"") when there is no answer."""
    connection = None

    async def whole():
        nonlocal connection
        connection = await Connection.open(address)
        status, _, raw = await connection.call(method, target, body, headers)
        return status, raw

    try:
        return await asyncio.wait_for(whole(), timeout)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return None, b""
    finally:
        if connection:
            connection.close()
