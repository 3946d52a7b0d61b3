"""Stand-ins for the platform, workers and clients, on loopback addresses.

They follow the users' pages: PROTOCOL.md for the store, the workers and the requests of clients,
DEPLOY.md for the settings of a process. Only the standard library of Python is used.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "monsoonsaild")
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
HOST = "ficu95.example"
ZONE = "arusha-mjini"
RESULT_BASE = 10

_started = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - _started


class Record:
    """What was sent, answered and run, with times."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f}  {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a request or response head. Returns its first line and its fields, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def wait_closed(reader):
    """Returns when the peer has closed or reset the connection."""
    try:
        while await reader.read(65536):
            pass
    except ConnectionError:
        pass


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, body=b"", fields=(), reason="x"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Platform:
    """The store, and the calls of the singleton duties, on one port."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.highest = {}  # Highest fencing token by duty and subject.
        self.usage = []  # Accepted reports: window, counts, holder, token.
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def put(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        await self.append(topic, [content])

    async def append(self, topic, contents):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            first = len(records)
            records.extend(contents)
            self.changed.notify_all()
            return first

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                _, target, _ = head[0].split(" ")
                status, answer = await self.handle(target, head[1], body)
                writer.write(response(status, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, target, fields, body):
        path, _, query = target.partition("?")
        args = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        topic = args.get("Topic", "")
        if path == "/log-append":
            return await self.handle_append(topic, args, body)
        if path == "/log-read":
            return await self.handle_read(topic, args)
        if path == "/log-newest":
            return self.handle_newest(topic)
        if path in ("/usage", "/scale"):
            return self.handle_duty(path, fields, json.loads(body))
        return 404, b"{}"

    async def handle_append(self, topic, args, body):
        await asyncio.sleep(0.004)
        contents = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            contents.append(body[4 : 4 + size])
            body = body[4 + size :]
        end = len(self.topics.get(topic, []))
        if "At" in args and int(args["At"]) != end:
            return 412, json.dumps({"EndOffset": end}).encode()
        first = await self.append(topic, contents)
        return 200, json.dumps({"Offset": first, "EndOffset": first + len(contents)}).encode()

    async def handle_read(self, topic, args):
        source = int(args["Source"])
        deadline = time.monotonic() + int(args.get("WaitMs", "0")) / 1000
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            if source > len(records):
                return 410, json.dumps({"First": 0}).encode()
            while len(records) <= source:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            answer = struct.pack(">QQ", len(records), 0)
            for content in records[source:]:
                answer += struct.pack(">I", len(content)) + content
            return 200, answer

    def handle_newest(self, topic):
        newest = {}
        records = self.topics.get(topic, [])
        for offset, content in enumerate(records):
            size = content[0]
            newest[content[1 : 1 + size].decode()] = (offset, content[1 + size :])
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"Items": items, "HasMore": False, "EndOffset": len(records)}
        return 200, json.dumps(page).encode()

    def handle_duty(self, path, fields, body):
        token = int(fields.get("x-fencing-token", "0"))
        subject = path if path == "/usage" else (path, body.get("Service"), body.get("Zone"))
        if token < self.highest.get(subject, 0):
            return 409, json.dumps({"Reason": "fenced"}).encode()
        self.highest[subject] = token
        if path == "/usage":
            self.usage.append((body["WindowId"], body["Counts"], fields.get("x-duty-holder"), token))
        else:
            # No engines are to be had at the moment, so the workers stay those of the script.
            return 409, json.dumps({"Reason": "none"}).encode()
        return 200, b"{}"


class Worker:
    """A worker. Its `behave` is called for each request that is meant for it."""

    def __init__(self, platform, record, name, service, slots, behave):
        self.platform = platform
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.behave = behave
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.port = 0
        self.server = None
        self.down = False
        self.connections = set()

    async def start(self):
        await self.listen()
        await self.report()
        asyncio.ensure_future(self.beat())

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self, back_s):
        """Ends all connections and listens no more. It is back after a time, with a new boot."""
        self.down = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(back_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.down = False
        await self.listen()
        await self.report("ready")

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.down:
                await self.report()

    async def report(self, state=None):
        """Writes the worker's entry to the store."""
        self.state = state or self.state
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": ZONE,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Seq": self.sequence,
            "born": self.born,
        }
        await self.platform.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                path = line.split(" ")[1]
                if path == "/report":
                    state = {"Stage": "both", "Busy": False, "Seq": 0, "Queued": 0, "Running": 0}
                    writer.write(response(200, json.dumps(state).encode()))
                    continue
                attempt = fields.get("x-attempt-id", "")
                if path.startswith("/kv-") or path.startswith("/hold-"):
                    writer.write(response(404, b"{}", [("X-Attempt-Id", attempt)]))
                    continue
                if fields.get("x-target-instance") != self.name:
                    writer.write(response(421, b"", [("X-Instance-Id", self.name)]))
                    continue
                if not await self.behave(self, line, fields, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


def route(path, kind, service, timeout_ms, goal_ms, attempts, resumable=False):
    return {
        "Name": "r" + path.replace("/", "-"),
        "Hostname": HOST,
        "PathPrefix": path,
        "RouteKind": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": goal_ms,
        "Priority": 0,
        "Service": service,
        "Attempts": attempts,
        "Public": False,
        "Affinity": kind == "streaming",
        "Resumable": resumable,
        "GapGoalMs": 600,
    }


def engine():
    """Engine of the site mifuko-laini."""
    return {
        "Slots": 64,
        "KvCapacity": 591878,
        "KvTokenBytes": 163840,
        "LinkMbps": 1100000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 6,
        "HandleS": 5.0,
        "Models": [{"Name": "m"}],
    }


def configuration(version, routes, services):
    document = {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Unit": "tokens", "PlainTokens": 200}],
    }
    return json.dumps(document).encode()


class Daemon:
    """An entry daemon, started with the command of the deploy file."""

    def __init__(self, name, platform, folder, seeds=()):
        self.name = name
        self.folder = folder
        self.front = free_port()
        self.ready = free_port()
        self.digest = free_port(socket.SOCK_DGRAM)
        self.settings = os.path.join(folder, name + ".toml")
        self.process = None
        text = f"""instance = "{name}"
zone = "{ZONE}"
caller_listen = "127.0.0.1:{self.front}"
ready_listen = "127.0.0.1:{self.ready}"
control_listen = "127.0.0.1:{free_port()}"
metrics_listen = "127.0.0.1:{free_port()}"
digest_listen = "127.0.0.1:{self.digest}"
store = "{platform.address}"
duties = "{platform.address}"
seeds = "{",".join(seeds)}"
heartbeat_ms = 1200
drain_ms = 2000
duty_lease_ms = 3000
duty_numbers_checked = true
stop_grace_s = 8

[repeats]
ratio = 0.2
slack = 58
window_s = 10

[usage]
window_s = 5
due_s = 10

[allowances]
window_s = 8
excess = 0.1
slack = 140000
"""
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, "--settings=" + self.settings, stdout=log, stderr=log, cwd=ROOT
            )

    async def wait_ready(self, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    return True
            except ConnectionError:
                pass
            await asyncio.sleep(0.1)
        return False

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8") as log:
            return log.read()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def request(method, path, attempt, deadline_ms, extra=(), body=b"{}"):
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
    head += f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    for name, value in extra:
        head += f"{name}: {value}\r\n"
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + (body if method != "GET" else b"")


def main(folder, play):
    """Runs `play(record, folder, trouble)` and exits with its status: 0 held, 1 broken, 2 not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(DAEMON, os.X_OK):
        record.line("target/monsoonsaild is missing; it is built by the deploy file")
        raise SystemExit(RESULT_BASE + 2)

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            daemons = []
            try:
                return await asyncio.wait_for(play(record, temporary, trouble, daemons), 110)
            except asyncio.TimeoutError:
                record.line("the script took too long")
                return 2
            except Exception as error:  # An error of the script is no broken rule.
                record.line(f"the script failed: {error!r}")
                return 2
            finally:
                for daemon in daemons:
                    await daemon.end()

    async def finish():
        status = await run()
        record.line(
            {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[status]
        )
        # The stand-ins are not ended one by one. An interpreter that fails exits with 1, so run.sh
        # takes only these numbers for results.
        os._exit(RESULT_BASE + status)

    asyncio.run(finish())
