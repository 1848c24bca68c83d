"""A non-idempotent request that ran is answered 503."""
import asyncio
import itertools
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402

CLIENTS, ORDERS = 10, 400
SEARCHERS = 7           # one of them fails, a share of 0.14


def document():
    return {"version": 3, "routes": [
        {"name": "order", "host": t.HOST, "pathPrefix": "/order/", "routeType": "non_idempotent",
         "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "backend": "orders", "maxAttempts": 2}],
        "services": [{"name": "orders", "healthPath": "/health", "maxConnections": 51,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    runs, grey = {}, itertools.count()

    async def run(searcher, request):
        """Books the order. The first searcher fails 4 in 10 after it has booked them."""
        runs[request["id"]] = runs.get(request["id"], 0) + 1
        record.add("searcher_runs", searcher=searcher.id, request=request["id"], body=request["body"].decode())
        await asyncio.sleep(0.02)
        stamp = f"{searcher.id}.{request['id']}"
        if t.TROUBLE and searcher.id == "i-orders-1" and next(grey) % 5 < 2:
            return t.reply(503, "Service Unavailable", request["id"], stamp, b"the ledger is not reachable")
        return t.reply(200, "OK", request["id"], stamp, b"booked")

    tier = t.Tier(record, entries=2)
    try:
        await tier.start()
        for n in range(1, SEARCHERS + 1):
            await t.Searcher(tier, "orders", n, "a", run).start()
        await tier.put_config(document())
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(1.5)
        broken, lots = set(), {}

        async def client(number):
            for n in range(ORDERS // CLIENTS):
                lot = f"lot-{number}-{n}"
                # One retry, after a promise that the order has not run.
                for attempt in (1, 2):
                    entry, request_id = tier.entries[(number + attempt) % 2], f"{lot}-attempt-{attempt}"
                    record.add("client_sends", request=request_id, to=entry.name)
                    answer = await t.call(entry.address, "POST", "/order/new", lot.encode(),
                                          [("X-Request-Id", request_id), ("X-Deadline-Ms", "4000")], timeout=5)
                    status = answer.status if answer else None
                    record.add("client_gets", request=request_id, status=status,
                               headers=answer.headers if answer else None)
                    ran = runs.get(request_id, 0)
                    lots[lot] = lots.get(lot, 0) + ran
                    if status not in (408, 421, 429, 503):
                        break
                    if ran:
                        broken.add(request_id)
                        record.add("REFUSED", request=request_id, status=status, runs=ran)

        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
        twice = sum(count > 1 for count in lots.values())
        if not runs:
            raise t.CaseNotRun("no order reached a searcher")
        print(f"{len(broken)} requests were answered 503 although they had run; {twice} of {ORDERS} lots were booked twice")
        return t.BROKEN if broken else t.HELD
    finally:
        await tier.stop()


t.main(__file__, case)
