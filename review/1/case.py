"""A prompt part that crashes workers stands before a part that sound requests share."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s  # noqa: E402

CONTACT_S = 3.0  # ContactMs
BACK_S = 3.0  # A crashed worker is back after this time.
PROMPT_S = 11992 / 61.2 / 1000  # 61.2 prompt tokens are read in a ms.
EVENTS, EVENT_S = 20, 0.025
BASELINE, MEASURED = 25, 30  # The rule asks for 20 or more of each.

FIRST = "5c1e07a2:3382"  # Shared by all requests of the client.
SOUND, CRASHING = "91bd3f06:1000", "e4402b7d:1000"
OLD, NEW = "7a3309c1:1000", "7a3309c2:1000"  # A further shared part, such as a form to fill in.


async def play(record, folder, trouble, daemons):
    platform = s.Platform(record)
    await platform.start()
    crashes = []
    begun = {}

    async def behave(worker, line, fields, body, reader, writer):
        attempt = fields["x-attempt-id"]
        begun.setdefault(attempt, s.now())
        await asyncio.sleep(PROMPT_S)
        if trouble and CRASHING in fields.get("x-prompt-prefix", ""):
            crashes.append(s.now())
            record.line(f"{worker.name} crashes as it begins to answer {attempt}")
            asyncio.ensure_future(worker.crash(BACK_S))
            return False
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {worker.name}\r\n\r\n".encode()
        )
        for event in range(1, EVENTS + 1):
            text = f"id: {event}\ndata: {attempt}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
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
    await asyncio.sleep(CONTACT_S + 0.5)
    sent = 0

    async def call(part, form):
        nonlocal sent
        sent += 1
        attempt = f"9c41d07be2a3{sent:04x}"
        prefix = f"{FIRST},{part},{form},{0xB000 + sent:x}:6610"
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
        writer.write(
            s.request("POST", "/letter/a", attempt, 15000,
                      [("X-Model", "m"), ("X-Token-Counts", "11992,384"), ("X-Prompt-Prefix", prefix)])
        )
        try:
            head = await s.read_head(reader)
            answer = "closed" if head is None else head[0]
            if head is not None:
                await s.read_body(reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = "broken off"
        writer.close()
        record.line(f"{attempt} ({prefix}): {answer}")
        return attempt in begun

    async def many(count, part, form, pause):
        calls = []
        for _ in range(count):
            calls.append(asyncio.ensure_future(call(part, form)))
            await asyncio.sleep(pause)
        return [await one for one in calls]

    before = await many(BASELINE, SOUND, OLD, 0.1)
    # The client takes up a new form; the first requests with it hold the part that crashes workers.
    await many(3, CRASHING, NEW, 0.7)
    await asyncio.sleep(0.5)
    # Sound requests with the same form, before and in the time that is measured.
    meanwhile = asyncio.ensure_future(many(16, CRASHING, NEW, 1.0))
    await many(12, SOUND, NEW, 0.5)
    await asyncio.sleep(max(0.0, 2 * CONTACT_S - (s.now() - crashes[-1] if crashes else 99)))
    measured = await many(MEASURED, SOUND, NEW, 0.25)
    await meanwhile
    share_before, share = sum(before) / len(before), sum(measured) / len(measured)
    record.line(f"{len(crashes)} crashes; of {len(before)} sound requests before {share_before:.0%}"
                f" began at a worker, of {len(measured)} sound ones later {share:.0%}")
    return 1 if share < share_before / 2 else 0


s.main(HERE, play)
