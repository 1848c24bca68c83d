"""A request that was sent 4 s after SIGTERM on a kept connection is cut off."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402

GRACE_S = 6.0                    # bounds.graceS; the platform sends SIGKILL then
SENT_AFTER_S = (3.2, 3.6, 4.0)   # seconds after SIGTERM
WORK_S = 2.5                     # the route's timeout and the client's deadline are 8 s


def document():
    return {"version": 3, "routes": [
        {"name": "order", "host": t.HOST, "pathPrefix": "/order/", "routeType": "non_idempotent",
         "timeoutMs": 8000, "targetLatencyMs": 4000, "priority": 1, "backend": "orders", "maxAttempts": 2}],
        "services": [{"name": "orders", "healthPath": "/health", "maxConnections": 51,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    runs = {}

    async def run(searcher, request):
        runs[request["id"]] = time.monotonic()
        record.add("searcher_runs", searcher=searcher.id, request=request["id"])
        if request["id"] != "warm-up":
            await asyncio.sleep(WORK_S)
        record.add("searcher_done", searcher=searcher.id, request=request["id"])
        return t.reply(200, "OK", request["id"], f"{searcher.id}.{request['id']}", b"booked")

    async def order(connection, request_id):
        record.add("client_sends", request=request_id)
        try:
            answer = await asyncio.wait_for(connection.ask(
                "POST", "/order/new", b"lot 7", [("X-Request-Id", request_id), ("X-Deadline-Ms", "8000")]), 9)
        except t.FAILURES as error:
            record.add("connection_ends", request=request_id, error=repr(error))
            return None
        record.add("client_gets", request=request_id, status=answer.status, headers=answer.headers)
        return answer

    tier = t.Tier(record, entries=2)
    kept = []
    try:
        await tier.start()
        for n in (1, 2):
            await t.Searcher(tier, "orders", n, "a", run).start()
        await tier.put_config(document())
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(1.5)
        entry = tier.entries[0]
        # Kept connections, each idle for at most 6 s of the limit of 15 s.
        kept += [await t.Connection.open(entry.address) for _ in SENT_AFTER_S]
        for connection in kept:
            answer = await order(connection, "warm-up")
            if answer is None or answer.status != 200 or dict(answer.headers).get("connection") == "close":
                raise t.CaseNotRun("the first request on a kept connection has failed")
        runs.clear()
        begun = time.monotonic()
        if t.TROUBLE:
            entry.send(signal.SIGTERM)

        async def late(connection, after):
            await asyncio.sleep(begun + after - time.monotonic())
            return await order(connection, f"order-{after}")

        async def platform():
            await asyncio.sleep(begun + GRACE_S - time.monotonic())
            if t.TROUBLE:
                entry.send(signal.SIGKILL)

        ended = asyncio.ensure_future(entry.process.wait())
        ended.add_done_callback(lambda _: record.add("process_ended", name=entry.name,
                                                     after_sigterm_s=round(time.monotonic() - begun, 3)))
        answers = await asyncio.gather(*(late(c, s) for c, s in zip(kept, SENT_AFTER_S)), platform())
        lost = []
        for after, answer in zip(SENT_AFTER_S, answers):
            request_id = f"order-{after}"
            # Counts only what a searcher has begun to run: it was read and passed on.
            if answer is None and request_id in runs:
                lost.append(request_id)
                record.add("LOST", request=request_id, sent_after_sigterm_s=after)
        print(f"{len(lost)} of {len(SENT_AFTER_S)} requests ran and their connection ended without an answer")
        return t.BROKEN if lost else t.HELD
    finally:
        for connection in kept:
            connection.close()
        await tier.stop()


t.main(__file__, case)
