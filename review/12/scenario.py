"""A hedge for a shard that another entry machine already searches.

Two shards of 20 have searchers that go down and up by turns. Entry machine 1
reaches neither searcher of these shards, so it lets entry machine 2 search
them. Meanwhile it sends a hedge for one of them itself.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import lab as review  # noqa: E402

SHARDS = [f"s{n:02d}" for n in range(20)]
FAST, SLOW = "s03", "s07"
WORK_S = {FAST: 0.005, SLOW: 0.075}
TOP, LEAST = 20, 0.89
GAP_S = 1.4
TRIALS = 3
# Entry machines drop the links to each other that they no longer need after 30 s.
CALM_S = 31

DOCUMENT = {
    "version": 3,
    "routes": [{"name": "r-browse", "host": review.HOST, "pathPrefix": "/browse/", "routeType": "idempotent",
                "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1, "gather": SHARDS, "maxAttempts": 2,
                "topK": TOP, "minCoverage": LEAST}],
    "services": [review.service(name) for name in SHARDS],
    "limits": review.LIMITS}


async def browse(lab, entry, connection=None):
    request_id, answer = await lab.call(entry, "GET", "/browse/lots", deadline_ms=2500, connection=connection)
    lab.check_gathered(request_id, answer, SHARDS, TOP, LEAST)
    return answer


async def calm(lab, connection):
    end = asyncio.get_running_loop().time() + CALM_S
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0.5)
        await browse(lab, lab.entries[0], connection)


async def scenario(lab):
    await lab.start(controls=5, entries=2)
    near, far = {}, {}
    for name in SHARDS:
        work = WORK_S.get(name, 0.04)
        near[name] = await lab.add_searcher(name, zone=lab.entries[0].zone, work_s=work)
        far[name] = await lab.add_searcher(name, zone=lab.entries[1].zone, work_s=work)
    await lab.put_config(DOCUMENT)
    await lab.ready()
    for _ in range(25):
        await browse(lab, lab.entries[0])
        await browse(lab, lab.entries[1])
    first, second = [near[FAST], near[SLOW]], [far[FAST], far[SLOW]]
    connection = review.Connection(lab.entries[0].address)
    await connection.open()
    for trial in range(TRIALS):
        lab.note(f"trial {trial}")
        await browse(lab, lab.entries[0], connection)
        if review.TROUBLE:
            for searcher in first:
                searcher.stop()
        await asyncio.sleep(GAP_S - 0.15)
        request = asyncio.ensure_future(browse(lab, lab.entries[0], connection))
        await asyncio.sleep(0.15)
        await request
        if review.TROUBLE:
            for searcher in first:
                await searcher.start()
            for searcher in second:
                searcher.stop()
        await asyncio.sleep(0.022 + 0.003 * trial)
        await browse(lab, lab.entries[0], connection)
        await asyncio.sleep(GAP_S)
        if review.TROUBLE:
            for searcher in second:
                await searcher.start()
        if trial + 1 < TRIALS:
            await calm(lab, connection)
    connection.close()


if __name__ == "__main__":
    review.main(scenario)
