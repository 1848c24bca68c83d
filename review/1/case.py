"""A refused query of death ends the entry instance, with all requests in flight there."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402

SHARDS, SEARCHERS = 44, 2
COPIES, COPY_PERIOD_S = 10, 3.0   # the query comes again, at one instance after the other
BACK_AFTER_S = 2.0                # a crashed searcher is back
RESTART_AFTER_S = 0.3             # the platform starts an ended process again
ORDER_CLIENTS, ORDER_S = 4, 0.4   # kept connections to each instance; work of an order


def document():
    shards = [f"ledger{n:02d}" for n in range(SHARDS)]
    base = {"host": t.HOST, "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2}
    return {"version": 3, "routes": [
        dict(base, name="search", pathPrefix="/search/", routeType="idempotent", gather=shards, topK=5,
             minCoverage=0.75),
        dict(base, name="order", pathPrefix="/order/", routeType="non_idempotent", backend="orders")],
        "services": [{"name": s, "healthPath": "/health", "maxConnections": 100,
                      "protocol": "h1", "tls": False} for s in shards + ["orders"]],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    runs, crashed, lost, ends, answered = {}, [], [], {}, 0

    async def crash(searcher):
        """The searcher ends; a new incarnation is back at its address some seconds later."""
        record.add("searcher_crashes", searcher=searcher.id)
        crashed.append(searcher.id)
        port = searcher.server.sockets[0].getsockname()[1]
        searcher.close()
        tier.searchers.remove(searcher)
        await asyncio.sleep(BACK_AFTER_S)
        back = t.Searcher(tier, searcher.service, f"{len(crashed)}-{time.monotonic_ns()}", "a", run, slots=8)
        await back.start(port=port)

    async def run(searcher, request):
        runs[request["id"]] = searcher.id
        if request["path"] == "/search/death" and t.TROUBLE:
            asyncio.ensure_future(crash(searcher))
            return None
        await asyncio.sleep(ORDER_S if searcher.service == "orders" else 0.01)
        return t.reply(200, "OK", request["id"], f"{searcher.id}.{request['id']}", b"0123456789abcdef")

    async def order_client(entry, number):
        """Sends orders one after the other on a kept connection."""
        nonlocal answered
        connection, n = None, 0
        while not stop.is_set():
            n += 1
            request_id = f"order-{entry.name}-{number}-{n}"
            try:
                fresh = connection is None
                connection = connection or await t.Connection.open(entry.address)
                answer = await asyncio.wait_for(connection.ask(
                    "POST", "/order/new", b"lot 7", [("X-Request-Id", request_id), ("X-Deadline-Ms", "2000")]), 4)
                answered += answer.status == 200
            except t.FAILURES as error:
                record.add("connection_ends", request=request_id, error=type(error).__name__, fresh=fresh,
                           ran_at=runs.get(request_id))
                if request_id in runs and not fresh:
                    lost.append(request_id)
                connection = None
                await asyncio.sleep(0.1)

    async def platform(entry):
        """Starts the process again when it has ended by itself."""
        while not stop.is_set():
            code = await entry.process.wait()
            if stop.is_set():
                return
            ends.setdefault(entry.name, []).append(code)
            record.add("process_ended_by_itself", name=entry.name, code=code)
            await asyncio.sleep(RESTART_AFTER_S)
            await entry.start()

    tier = t.Tier(record, entries=5)
    stop = asyncio.Event()
    tasks = []
    try:
        await tier.start()
        for service in document()["routes"][0]["gather"]:
            for n in range(1, SEARCHERS + 1):
                await t.Searcher(tier, service, n, "a", run, slots=8).start()
        for n in (1, 2):
            await t.Searcher(tier, "orders", n, "a", run, slots=32).start()
        await tier.put_config(document())
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(5)
        tasks = [asyncio.ensure_future(platform(entry)) for entry in tier.entries]
        tasks += [asyncio.ensure_future(order_client(entry, n)) for entry in tier.entries[:2]
                  for n in range(ORDER_CLIENTS)]
        for n in range(COPIES):
            entry = tier.entries[n % 2]
            record.add("client_sends", request=f"death-{n}", to=entry.name)
            answer = await t.call(entry.address, "GET", "/search/death", b"",
                                  [("X-Request-Id", f"death-{n}"), ("X-Deadline-Ms", "2000")], timeout=3)
            record.add("client_gets", request=f"death-{n}", status=answer and answer.status)
            await asyncio.sleep(COPY_PERIOD_S)
        if not answered:
            raise t.CaseNotRun("no order was answered")
        ended = sum(len(codes) for codes in ends.values())
        print(f"entry instances ended by themselves {ended} times ({ends}); {len(lost)} orders on kept connections "
              f"ran and got no answer; {len(crashed)} searchers crashed")
        return t.BROKEN if len(lost) > 3 else t.HELD
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        await tier.stop()


t.main(__file__, case, limit_s=115)
