"""Small HTTP/1.1 server and client for the stand-ins, on asyncio and without dependencies."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def fields(self):
        return json.loads(self.body)


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers and the body of a message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


async def serve(address, handler):
    """Serves requests at "IP:PORT". The handler returns (status, body); the body is bytes or a JSON value. It may return None
    to leave the request without an answer: the channel then stays open and silent."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await handler(Request(method, target, message[1], message[2]))
                if answer is None:
                    await reader.read()
                    break
                status, body = answer
                kind = "application/octet-stream"
                if not isinstance(body, bytes):
                    body = json.dumps(body, separators=(",", ":")).encode()
                    kind = "application/json"
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: {kind}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    ip, port = address.rsplit(":", 1)
    return await asyncio.start_server(on_connection, ip, int(port), limit=8 * 1024 * 1024, backlog=512)


async def call(address, method, target, body=None, headers=None, timeout=2.0):
    """Sends one request on a channel of its own. Returns (status, body bytes), or (None, reason) after no complete answer."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        lines = {"Host": address, "Content-Length": str(len(data)), "Connection": "close"}
        if data:
            lines["Content-Type"] = "application/json"
        lines.update(headers or {})
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return None, "the channel broke"
        return int(message[0].split(" ")[1]), message[2]

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as problem:
        return None, type(problem).__name__
    finally:
        if writer:
            writer.close()
