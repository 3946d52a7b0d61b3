"""Workers send a second copy of a few answers, late, where the next answer on the connection is
due. Does a caller get what is not its answer?"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins2 as standins  # noqa: E402  pylint: disable=wrong-import-position

WORKERS = 5
FAULTY_WORKERS = 3  # share 0.6
COPIED_SHARE = 0.03
WINDOW_S = 5.0
WARM_UP_S = 6.0
COPY_DELAY_S = 0.25
STREAMS_PER_S = 60


class FaultyAnswers:
    """Decides which answers are sent twice, within share, part and time of the disruption."""

    def __init__(self, site, begins_at):
        self.site = site
        self.begins_at = begins_at
        self.answers = {}
        self.copies = {}
        self.pending = {}

    def count(self, worker):
        if self.begins_at <= time.monotonic() < self.begins_at + WINDOW_S:
            self.answers[worker.name] = self.answers.get(worker.name, 0) + 1

    def copy_later(self, worker, writer, data):
        """Keeps a copy of the answer, if the worker may send one more."""
        now = time.monotonic()
        is_faulty = worker in self.site.workers[:FAULTY_WORKERS]
        in_window = self.begins_at <= now < self.begins_at + WINDOW_S
        allowed = COPIED_SHARE * self.answers.get(worker.name, 0)
        if (standins.TROUBLE and is_faulty and in_window
                and self.copies.get(worker.name, 0) + 1 <= allowed):
            self.copies[worker.name] = self.copies.get(worker.name, 0) + 1
            self.pending[writer] = (now + COPY_DELAY_S, data)

    def send_due(self, worker, writer, attempt):
        """Sends the copy where the answer to `attempt` is due."""
        due_at, data = self.pending.get(writer, (float("inf"), b""))
        if time.monotonic() < due_at:
            return
        del self.pending[writer]
        writer.write(data)
        self.site.note(f"{worker.name} sends the second copy of an answer where that to {attempt}"
                       f" is due: {data.splitlines()[0].decode()}")


async def scenario(site):
    faults = FaultyAnswers(site, time.monotonic() + 1e9)

    async def answer_report(worker, writer):
        data = standins.answer(200, "OK", [("Content-Type", "application/json")],
                               json.dumps(worker.report()).encode())
        writer.write(data)
        faults.count(worker)
        faults.copy_later(worker, writer, data)

    stream = standins.streaming(0.03, 4, 0.03, close_every=8)

    async def respond(worker, request, writer):
        faults.count(worker)
        faults.send_due(worker, writer, request["id"])
        return await stream(worker, request, writer)

    site.answer_report = answer_report
    for _ in range(WORKERS):
        await site.add_worker("msaidizi", respond, keep_alive_s=4)
    await site.start(2)
    await asyncio.sleep(3)
    wrong = []
    counts = {"sent": 0, "whole": 0}

    async def send(daemon):
        client = standins.Client(site, daemon)
        attempt = site.next_attempt()
        counts["sent"] += 1
        result = await client.call(
            standins.request("POST", "/tag/1", attempt, 3000,
                             standins.prompt([(7, 340), (int(attempt[1:], 16), 60)], 20), b"x"), 3)
        client.close()
        seal = result["fields"].get("x-server-seal")
        expected = b"".join(f"id: {number}\ndata: {attempt}\n\n".encode() for number in range(1, 5))
        if result["status"] == 200 and result["whole"]:
            counts["whole"] += 1
            if seal != f"seal.{attempt}" or result["body"] != expected:
                wrong.append(attempt)
                site.say(f"{daemon.name} answered {attempt} with 200, seal {seal},"
                         f" X-Attempt-Id {result['fields'].get('x-attempt-id')},"
                         f" Content-Type {result['fields'].get('content-type')},"
                         f" body {result['body'][:120]!r}")
        else:
            site.note(f"{attempt} -> {result['status']} {result.get('error', '')}")

    began = time.monotonic()
    faults.begins_at = began + WARM_UP_S
    number = 0
    while time.monotonic() < began + WARM_UP_S + WINDOW_S + 2:
        # The load swings, so connections to workers are opened and kept.
        swing = 2 if int(time.monotonic() - began) % 2 else 0.5
        site.spawn(send(site.daemons[number % len(site.daemons)]))
        number += 1
        await asyncio.sleep(1 / (STREAMS_PER_S * swing))
    await asyncio.sleep(3)
    site.say(f"in the {WINDOW_S:.0f} s: answers by worker {faults.answers}, of these sent twice"
             f" {faults.copies}; {counts}; callers with a wrong success: {len(wrong)}")
    return standins.BROKEN if wrong else standins.HELD


standins.run_case(__file__, scenario)
