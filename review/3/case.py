"""A caller gets the extra answer that a searcher sent after the answer to another request."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402

REQUESTS = 600
WITH_ID = os.environ.get("WITH_ID") == "1"


def document():
    return {"version": 3, "routes": [
        {"name": "record", "host": t.HOST, "pathPrefix": "/record/", "routeType": "idempotent",
         "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "backend": "portal", "maxAttempts": 2}],
        "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 51,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    count = 0

    async def run(searcher, request):
        nonlocal count
        count += 1
        record.add("searcher_runs", searcher=searcher.id, request=request["id"], path=request["path"])
        await asyncio.sleep(0.03)
        stamp, body = f"{searcher.id}.{request['id']}", f"record of {request['path']}".encode()
        # garble: 2 in 100 answers are followed by additional bytes, 10 ms later.
        if t.TROUBLE and count % 50 == 0:
            writer = request["writer"]
            extra = t.reply(200, "OK", request["id"], stamp, body)
            if not WITH_ID:
                extra = extra.replace(b"X-Request-Id: " + request["id"].encode() + b"\r\n", b"")

            def send_extra():
                record.add("searcher_sends_extra_bytes", searcher=searcher.id, after=request["id"])
                writer.write(extra)
            asyncio.get_running_loop().call_later(0.010, send_extra)
        return t.reply(200, "OK", request["id"], stamp, body)

    tier = t.Tier(record, entries=2)
    try:
        await tier.start()
        for n in (1, 2):
            await t.Searcher(tier, "portal", n, "a", run).start()
        await tier.put_config(document())
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(1.5)
        broken = 0

        async def client(number):
            nonlocal broken
            for n in range(REQUESTS // 12):
                request_id, path = f"r{number}-{n}", f"/record/site-{number}-{n}"
                entry = tier.entries[number % 2]
                answer = await t.call(entry.address, "GET", path, b"",
                                      [("X-Request-Id", request_id), ("X-Deadline-Ms", "4000")], timeout=5)
                if answer is None or answer.status != 200:
                    record.add("client_gets", request=request_id, status=answer and answer.status)
                    continue
                stamp = dict(answer.headers).get("x-server-stamp", "")
                if not stamp.endswith("." + request_id) or answer.body != f"record of {path}".encode():
                    broken += 1
                    record.add("MIXED", request=request_id, path=path, stamp=stamp, body=answer.body.decode())

        await asyncio.gather(*(client(n) for n in range(12)))
        print(f"{broken} of {REQUESTS} requests got the answer to another request")
        return t.BROKEN if broken else t.HELD
    finally:
        await tier.stop()


t.main(__file__, case)
