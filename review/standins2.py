"""Stand-ins for the scripts of the second review: the platform (store and duty calls), workers,
clients, and the entry daemons themselves, all on loopback addresses and the real clock.

Each case builds a Site, runs its scenario and ends with Site.finish(). Only the standard library is
used. What was sent, answered and run goes into record.txt of the case's folder.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "i9n73hh2b9wu3fexd9dn"
# Keys of the tenants, of which the sheet has five.
TENANTS = {"hule930": KEY, "fida11": "n2ctnfzs989anu6wsjnb", "rumo204": "w4kq8d1yv0tza7m2xpbe",
           "kavi77": "c5h3nj9r6sgl1q8f0wod", "tezo318": "p7x2bv4m9kyd6t1az3ru"}
HOST = "ficu95.example"
RECORD_LIMIT = 400_000
MAX_DAEMONS = 5


def is_free(port, kind):
    """Whether the port is free on the loopback addresses of all daemons."""
    for number in range(1, MAX_DAEMONS + 1):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((daemon_ip(number), port))
            except OSError:
                return False
    return True


def free_ports(count):
    """Returns ports that are free on the loopback addresses of all daemons."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if (port not in ports and is_free(port, socket.SOCK_STREAM)
                and is_free(port, socket.SOCK_DGRAM)):
            ports.append(port)
    return ports


def daemon_ip(number):
    return f"127.0.0.{10 + number}"


def parse_head(data):
    """Returns the first line and the fields of a head, the names in lower case."""
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_message(reader):
    """Reads a request with a length. Returns (first line, fields, body)."""
    first, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, fields, body


def answer(status, reason, fields, body=b""):
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in fields]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode("latin-1") + body


class Platform:
    """The store and the duty calls of PROTOCOL.md, without trouble."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.usage = []
        self.highest = {}
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        name = key.encode()
        await self.append(topic, [bytes([len(name)]) + name + value.encode()])

    async def append(self, topic, contents):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            offset = len(records)
            records.extend(contents)
            self.changed.notify_all()
        return offset, len(records)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, target = first.split(" ")[:2]
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                status, content, kind = await self.handle(method, url.path, query, fields, body)
                writer.write(answer(status, "OK" if status == 200 else "Refused",
                                    [("Content-Type", kind), ("Store-Era", "1")], content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, fields, body):
        topic = query.get("Topic", "")
        if (method, path) == ("POST", "/log-append"):
            return self.as_json(*await self.handle_append(topic, query, body))
        if (method, path) == ("GET", "/log-read"):
            return await self.handle_read(topic, query)
        if (method, path) == ("GET", "/log-newest"):
            return self.as_json(*self.handle_newest(topic, query))
        if method == "POST" and path in ("/usage", "/scale"):
            return self.as_json(*self.handle_duty(path, fields, body))
        return 404, b"", "text/plain"

    @staticmethod
    def as_json(status, document):
        return status, json.dumps(document).encode(), "application/json"

    async def handle_append(self, topic, query, body):
        contents = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            contents.append(body[4:4 + size])
            body = body[4 + size:]
        end = len(self.topics.get(topic, []))
        if "At" in query and int(query["At"]) != end:
            return 412, {"EndOffset": end}
        offset, end = await self.append(topic, contents)
        await asyncio.sleep(0.004)
        return 200, {"Offset": offset, "EndOffset": end}

    async def handle_read(self, topic, query):
        source = int(query.get("Source", "0"))
        wait = int(query.get("WaitMs", "0")) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > source), wait)
            except asyncio.TimeoutError:
                pass
        records = self.topics.get(topic, [])
        content = struct.pack(">QQ", len(records), 0)
        for record in records[source:]:
            content += struct.pack(">I", len(record)) + record
        return 200, content, "application/octet-stream"

    def handle_newest(self, topic, query):
        newest = {}
        records = self.topics.get(topic, [])
        for offset, content in enumerate(records):
            size = content[0]
            key, value = content[1:1 + size].decode("latin-1"), content[1 + size:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        after = query.get("After")
        keys = sorted(key for key in newest if after is None or key > after)
        items = [{"Key": key, "Value": base64.b64encode(newest[key][0]).decode(),
                  "Offset": newest[key][1]} for key in keys[:500]]
        return 200, {"Items": items, "HasMore": len(keys) > 500, "EndOffset": len(records)}

    def handle_duty(self, path, fields, body):
        document = json.loads(body)
        token = int(fields.get("x-fencing-token", "0"))
        subject = (path, document.get("Service"), document.get("Zone"))
        if token < self.highest.get(subject, 0):
            return 409, {"error": "a higher fence was seen"}
        self.highest[subject] = token
        if path == "/usage":
            self.usage.append((document["WindowId"], document["Counts"], token))
        return 200, {}


class Worker:
    """A worker of a service. `respond(worker, request, writer)` writes the answer to a request."""

    def __init__(self, site, name, service, zone, respond, keep_alive_s=None, version="v1"):
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.respond = respond
        self.keep_alive_s = keep_alive_s
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = None
        self.port = 0
        self.connections = set()
        self.is_down = False
        self.started = asyncio.Event()
        self.started.set()
        self.streams = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()

    async def beat(self):
        self.sequence += 1
        entry = {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                 "Version": self.version, "Slots": 64, "State": "ready", "ColdLeftMs": 0,
                 "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                 "Seq": self.sequence, "born": self.born}
        await self.site.platform.put("keyed.servers", self.name, json.dumps(entry))

    def report(self):
        return {"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False, "Seq": self.sequence, "Queued": 0,
                "Running": len(self.connections), "KvUsed": 0, "KvTotal": 591878, "Handles": 0,
                "State": "ready", "NextToken": 0, "Runs": [], "Pinned": 0, "held": 0,
                "born": self.born}

    def keep_alive_fields(self):
        return [("Keep-Alive", f"timeout={self.keep_alive_s}")] if self.keep_alive_s else []

    async def serve(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        await self.started.wait()
        self.connections.add(writer)
        try:
            while True:
                message = read_message(reader)
                first, fields, body = await asyncio.wait_for(message, self.keep_alive_s)
                if not await self.handle(first, fields, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, first, fields, body, writer):
        method, target = first.split(" ")[:2]
        if method == "GET" and target == "/report":
            await self.site.answer_report(self, writer)
            return True
        if method == "GET" and target == "/healthz":
            writer.write(answer(200, "OK", [("X-Instance-Id", self.name)]))
            return True
        attempt = fields.get("x-attempt-id", "")
        if target.startswith("/kv-"):
            writer.write(answer(404, "Not Found", [], b"{}"))
            return True
        if fields.get("x-target-instance", self.name) != self.name:
            writer.write(answer(421, "Misdirected Request",
                                [("X-Instance-Id", self.name), ("X-Attempt-Id", attempt)]))
            return True
        request = {"id": attempt, "method": method, "target": target, "fields": fields,
                   "body": body}
        self.site.note(f"{attempt} runs at {self.name}")
        return await self.respond(self, request, writer)

    async def crash(self, down_s):
        """Resets all connections, and is back under its name some seconds later."""
        self.is_down = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.is_down = False
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        await self.start()


    async def restart_in_place(self, version, gap_s):
        """The process ends with its connections, and a new one starts `gap_s` later under its name
        on the same listening socket, where new connections wait meanwhile."""
        self.started.clear()
        self.version = version
        for writer in list(self.connections):
            writer.transport.abort()
        self.site.note(f"{self.name} ends")
        await asyncio.sleep(gap_s)
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        self.started.set()
        self.site.note(f"{self.name} has started again with version {version}")
        await self.beat()


def event_stream_head(worker, request, closes):
    fields = [("X-Attempt-Id", request["id"]), ("X-Server-Seal", f"seal.{request['id']}"),
              ("X-Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
              ("Transfer-Encoding", "chunked")] + (
                  [("Connection", "close")] if closes else worker.keep_alive_fields())
    head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (head + "\r\n").encode()


def chunk(text):
    data = text.encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def streaming(first_s, events, pause_s, close_every=None):
    """Answers with a stream of events in chunks; closes after each `close_every`-th answer."""
    async def respond(worker, request, writer):
        worker.streams += 1
        closes = close_every is not None and worker.streams % close_every == 0
        await asyncio.sleep(first_s)
        writer.write(event_stream_head(worker, request, closes))
        begin = int(request["fields"].get("last-event-id", "0")) + 1
        for number in range(begin, events + 1):
            writer.write(chunk(f"id: {number}\ndata: {request['id']}\n\n"))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        return not closes
    return respond


def plain(work_s):
    """Answers with a body of 800 bytes."""
    async def respond(worker, request, writer):
        await asyncio.sleep(work_s)
        body = request["id"].encode().ljust(800, b".")
        writer.write(answer(200, "OK", [("X-Attempt-Id", request["id"]),
                                        ("X-Server-Seal", f"seal.{request['id']}")]
                            + worker.keep_alive_fields(), body))
        return True
    return respond


class Daemon:
    """An entry daemon, with settings as platform/settings.toml.template fills them in."""

    def __init__(self, site, number, memory_mb):
        self.site = site
        self.name = f"front-{number}"
        self.ip = daemon_ip(number)
        self.memory_mb = memory_mb
        self.log = os.path.join(site.folder, self.name + ".log")
        self.file = os.path.join(site.folder, self.name + ".toml")
        self.process = None

    def settings(self):
        ports = self.site.ports
        seeds = ",".join(f"{daemon.ip}:{ports['control']}" for daemon in self.site.daemons[:3])
        return "\n".join([
            f'instance = "{self.name}"', 'zone = "usa-river"',
            f'caller_listen = "{self.ip}:{ports["callers"]}"',
            f'ready_listen = "{self.ip}:{ports["ready"]}"',
            f'control_listen = "{self.ip}:{ports["control"]}"',
            f'metrics_listen = "{self.ip}:{ports["metrics"]}"',
            f'digest_listen = "{self.ip}:{ports["digests"]}"',
            f'store = "{self.site.platform.address}"', f'duties = "{self.site.platform.address}"',
            f'seeds = "{seeds}"', "heartbeat_ms = 1200", "drain_ms = 2000",
            "configuration_ms = 2000", "duty_lease_ms = 3000", "duty_numbers_checked = true",
            "stop_grace_s = 8", f"memory_mb = {self.memory_mb}", "max_descriptors = 4100",
            "[repeats]", "ratio = 0.2", "slack = 58", "window_s = 10",
            "[usage]", "window_s = 5", "due_s = 10",
            "[allowances]", "window_s = 8", "excess = 0.1", "slack = 140000",
            "keeps_urgent = true", "[placement]", "learns_costs = true", ""])

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target", "monsoonsaild"), f"--settings={self.file}",
                cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            result = await asyncio.wait_for(
                self.site.exchange(self.ip, self.site.ports["ready"],
                                   b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"), 1)
            return result["status"] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Client:
    """A client connection that is kept open for many requests."""

    def __init__(self, site, daemon):
        self.site = site
        self.daemon = daemon
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.daemon.ip, self.site.ports["callers"], limit=1 << 20)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, data, timeout_s):
        """Sends a request. Returns its status (0: none), fields, body and whether it is whole."""
        sent = time.monotonic()
        result = {"status": 0, "fields": {}, "body": b"", "whole": False}
        try:
            await asyncio.wait_for(self.exchange(data, result), timeout_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.TimeoutError) as error:
            result["error"] = type(error).__name__
            self.close()
        if result["fields"].get("connection", "").lower() == "close":
            self.close()
        attempt = data.partition(b"X-Attempt-Id: ")[2].partition(b"\r\n")[0].decode()
        self.site.note(f"{attempt} at {self.daemon.name}: sent {sent - self.site.began:.3f},"
                       f" answered {result['status']}{'' if result['whole'] else ', not whole'}"
                       f" {result.get('error', '')}".rstrip())
        return result

    async def exchange(self, data, result):
        if self.writer is None:
            await self.connect()
        self.writer.write(data)
        await self.writer.drain()
        await read_answer(self.reader, result)


async def read_answer(reader, result):
    first, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
    result["status"], result["fields"] = int(first.split(" ")[1]), fields
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            result["body"] += data[:-2]
    else:
        result["body"] = await reader.readexactly(int(fields.get("content-length", "0")))
    result["whole"] = True


def request(method, path, attempt, deadline_ms, fields=(), body=b"", key=KEY):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def prompt(parts, output):
    """Fields of a request for a language model. `parts` lists (id, tokens)."""
    return [("X-Model", "m"),
            ("X-Token-Counts", f"{sum(tokens for _, tokens in parts)},{output}"),
            ("X-Prompt-Prefix", ",".join(f"{part:x}:{tokens}" for part, tokens in parts))]


def route(name, prefix, kind, service, timeout_ms, goal_ms, priority, attempts, resumable=False,
          affinity=False):
    entry = {"Name": name, "Hostname": HOST, "PathPrefix": prefix, "RouteKind": kind,
             "TimeoutMs": timeout_ms, "GoalMs": goal_ms, "Priority": priority, "Service": service,
             "Attempts": attempts, "Public": False, "Affinity": affinity, "Resumable": resumable}
    if kind == "streaming":
        entry["GapGoalMs"] = 600
    return entry


def configuration():
    """The routes and limits of the sheet of mifuko-laini."""
    engine = {"Slots": 64, "KvCapacity": 591878, "KvTokenBytes": 163840, "LinkMbps": 1100000.0,
              "Moves": True, "Backups": True, "Stride": 6, "most": 12, "PinMs": 4000.0,
              "HoldMs": 2000.0, "HandleS": 5.0, "Models": [{"Name": "m"}]}
    return {
        "Version": 7,
        "Routes": [
            route("letter", "/letter/", "streaming", "msaidizi", 15000, 1000, 0, 2, True, True),
            route("quote", "/quote/", "streaming", "msaidizi", 12000, 1200, 1, 1, False, True),
            route("tag", "/tag/", "streaming", "msaidizi", 3000, 2000, 2, 2, True, True),
            route("order", "/order/", "unsafe", "duka-app", 600, 100, 2, 1),
            route("stock", "/stock/", "safe", "duka-app", 600, 100, 2, 2)],
        "Services": [
            {"Name": "msaidizi", "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1",
             "Tls": False, "Engine": engine},
            {"Name": "duka-app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1",
             "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": name, "ApiKeys": [key], "Priority": 1, "Unit": "tokens",
                     "PlainTokens": 200, "RatePerS": 191563, "Burst": 191563}
                    for name, key in TENANTS.items()]}


class Site:
    """A small deployment: the platform, workers, entry daemons."""

    def __init__(self, case_folder):
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="monsoonsail-review-")
        names = ["callers", "ready", "control", "metrics", "digests"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.platform = Platform()
        self.workers = []
        self.daemons = []
        self.began = time.monotonic()
        self.lines = []
        self.record_bytes = 0
        self.attempts = 0
        self.tasks = []

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record_bytes += len(line)
        if self.record_bytes < RECORD_LIMIT:
            self.lines.append(line)

    def say(self, text):
        self.record_bytes = 0
        self.note(text)
        print(text, flush=True)

    def next_attempt(self, prefix="a"):
        self.attempts += 1
        return f"{prefix}{self.attempts:08x}"

    async def answer_report(self, worker, writer):
        writer.write(answer(200, "OK", [("Content-Type", "application/json")],
                            json.dumps(worker.report()).encode()))

    async def exchange(self, ip, port, data):
        reader, writer = await asyncio.open_connection(ip, port)
        result = {"status": 0, "fields": {}, "body": b"", "whole": False}
        try:
            writer.write(data)
            await read_answer(reader, result)
        finally:
            writer.close()
        return result

    async def add_worker(self, service, respond, keep_alive_s=None, version="v1"):
        name = f"i-{len(self.workers):08x}"
        worker = Worker(self, name, service, "usa-river", respond, keep_alive_s, version)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                if not worker.is_down and worker.started.is_set():
                    await worker.beat()

    async def start(self, daemons, memory_mb=260):
        """Starts the platform and the daemons; workers are added before."""
        await self.platform.start()
        self.spawn(self.beat())
        await self.platform.put("keyed.op", "config", json.dumps(configuration()))
        for number in range(1, daemons + 1):
            self.daemons.append(Daemon(self, number, memory_mb))
        await self.start_daemons()

    async def start_daemons(self):
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_until(daemon.is_ready, 15, f"{daemon.name} is not ready")

    async def wait_until(self, condition, timeout_s, failure):
        deadline = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline:
                raise RuntimeError(failure)
            await asyncio.sleep(0.05)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        with open(os.path.join(self.case_folder, "record.txt"), "w", encoding="utf-8") as record:
            record.write("\n".join(self.lines) + "\n")


def run_case(file, scenario, limit_s=110):
    """Runs `scenario(site)`, which returns HELD or BROKEN, and ends the process with its result."""
    async def run():
        site = Site(os.path.dirname(os.path.abspath(file)))
        site.note(f"trouble={int(TROUBLE)}")
        try:
            result = await asyncio.wait_for(scenario(site), limit_s)
        except Exception as error:  # pylint: disable=broad-except
            site.say(f"the case could not run: {type(error).__name__}: {error}")
            result = NOT_RUN
        finally:
            await site.stop()
        return result

    if not os.access(os.path.join(ROOT, "target", "monsoonsaild"), os.X_OK):
        print("target/monsoonsaild is missing: build it as deploy/system.toml says")
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(run()))
