"""A client resumes a stream; the worker crashes after a comment and before its first event."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s  # noqa: E402

AFTER = 12  # The last event that the client has.
EVENTS, EVENT_S = 30, 0.03
PROMPT_S = 0.6  # 30,000 prompt tokens and a few requests before this one.


async def play(record, folder, trouble, daemons):
    platform = s.Platform(record)
    await platform.start()
    asked = []

    def chunk(text):
        return f"{len(text):x}\r\n{text}\r\n".encode()

    async def behave(worker, line, fields, body, reader, writer):
        attempt = fields["x-attempt-id"]
        after = int(fields.get("last-event-id", "0"))
        asked.append(after)
        record.line(f"{worker.name} is to go on after event {fields.get('last-event-id', 'none')}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {worker.name}\r\n\r\n".encode()
        )
        # A comment keeps the connection alive while the prompt is read.
        writer.write(chunk(": reading\n\n"))
        await writer.drain()
        await asyncio.sleep(PROMPT_S / 2)
        if trouble and len(asked) == 1:
            record.line(f"{worker.name} crashes")
            asyncio.ensure_future(worker.crash(4.5))
            return False
        await asyncio.sleep(PROMPT_S / 2)
        for event in range(after + 1, EVENTS + 1):
            writer.write(chunk(f"id: {event}\ndata: piece {event}\n\n"))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    for number in range(12):
        await s.Worker(platform, record, f"i-{number:02d}", "msaidizi", 64, behave).start()
    await platform.put(
        "keyed.op",
        "config",
        s.configuration(
            1,
            [s.route("/letter/", "streaming", "msaidizi", 15000, 1000, 2, True)],
            [{"Name": "msaidizi", "HealthPath": "/healthz", "MaxConns": 370, "Engine": s.engine()}],
        ),
    )
    daemon = s.Daemon("front-1", platform, folder)
    daemons.append(daemon)
    await daemon.start()
    if not await daemon.wait_ready(10):
        return 2
    await asyncio.sleep(3.5)  # The instance is in touch.
    reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
    record.line(f"the client resumes its stream after event {AFTER}")
    writer.write(
        s.request("POST", "/letter/a", "9c41d07be2a35f68", 15000,
                  [("X-Model", "m"), ("X-Token-Counts", "30000,384"), ("Last-Event-Id", str(AFTER)),
                   ("X-Prompt-Prefix", "5c1e07a2:5382,91bd3f06:24618")])
    )
    head = await s.read_head(reader)
    body = (await s.read_body(reader, head[1])).decode()
    ids = [int(line[4:]) for line in body.split("\n") if line.startswith("id: ")]
    record.line(f"the client gets {head[0]} and the events {ids}")
    twice = [event for event in ids if event <= AFTER]
    record.line(f"{len(twice)} events come a second time")
    return 1 if ids != list(range(AFTER + 1, EVENTS + 1)) else 0


s.main(HERE, play)
