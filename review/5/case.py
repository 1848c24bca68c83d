"""Entry instances obey an old configuration after their open connections fell silent."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402
from proxy import LinkProxy  # noqa: E402

CONTACT_S, APPLY_S = 4.0, 3.0     # bounds.contactMs, bounds.configApplyMs
SILENT_AT_S = 6.3                 # after the start of the entry instances
CHANGE_AFTER_S = CONTACT_S + 0.2  # after the connections fell silent


def document(version, prefixes):
    return {"version": version, "routes": [
        {"name": f"r{prefix}", "host": t.HOST, "pathPrefix": f"/{prefix}/", "routeType": "idempotent",
         "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 1, "backend": "portal", "maxAttempts": 2}
        for prefix in prefixes],
        "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 51,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    async def run(searcher, request):
        record.add("searcher_runs", searcher=searcher.id, request=request["id"], path=request["path"])
        return t.reply(200, "OK", request["id"], f"{searcher.id}.{request['id']}", b"record")

    tier = t.Tier(record, entries=2)
    tier.seed_port = t.free_ports([c.ip for c in tier.controls], 1)[0]
    proxies = [LinkProxy(tier, control, tier.seed_port) for control in tier.controls]
    broken = []
    try:
        for proxy in proxies:
            await proxy.start()
        await tier.start()
        started = time.monotonic()
        for n in (1, 2):
            await t.Searcher(tier, "portal", n, "a", run).start()
        await tier.put_config(document(3, ["kept", "dropped"]))
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(started + SILENT_AT_S - time.monotonic())
        silent = time.monotonic()
        if t.TROUBLE:
            for proxy in proxies:
                proxy.fall_silent()
            record.add("open_connections_between_machines_fall_silent")
        await asyncio.sleep(CHANGE_AFTER_S)
        await tier.put_config(document(7, ["kept", "added"]))
        acknowledged = time.monotonic()
        await asyncio.sleep(APPLY_S + 0.05)
        n = 0
        while time.monotonic() < silent + 11:
            for entry in tier.entries:
                for prefix, stale in (("added", 404), ("dropped", 200)):
                    n += 1
                    late = time.monotonic() - acknowledged
                    answer = await t.call(entry.address, "GET", f"/{prefix}/x", b"",
                                          [("X-Request-Id", f"q{n}"), ("X-Deadline-Ms", "1500")])
                    status = answer.status if answer else None
                    record.add("client_gets", request=f"q{n}", path=f"/{prefix}/x", entry=entry.name, status=status,
                               sent_after_acknowledgement_s=round(late, 3),
                               sent_after_silence_s=round(late + acknowledged - silent, 3))
                    if status == stale:
                        broken.append(late)
                        record.add("CONFIG", request=f"q{n}", entry=entry.name, path=f"/{prefix}/x", status=status)
            await asyncio.sleep(0.1)
        print(f"{len(broken)} of {n} requests were handled by the old version, "
              f"up to {max(broken, default=0):.1f} s after the acknowledgement of the new one")
        return t.BROKEN if broken else t.HELD
    finally:
        await tier.stop()
        for proxy in proxies:
            proxy.close()


t.main(__file__, case)
