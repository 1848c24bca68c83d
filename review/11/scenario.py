"""EVAC: an order that a frozen control machine still holds undoes a later one.

See claim.txt. The operator evacuates a zone, takes that back and evacuates it
again. A control machine stands still meanwhile and gets the order in between
first; it does not answer, so the operator sends the order to the next one.
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import lab as lab_module  # noqa: E402
from lab import HOST, LIMITS, TROUBLE, service  # noqa: E402

# Bounds of the sheet of Sonotheque Preview Search.
BOUNDS = {"contactMs": 5000, "ackTimeoutMs": 6000, "catchUpS": 6, "drainMs": 4000, "configApplyMs": 4000,
          "maxStretchMs": 15000, "recoveryS": 15, "evacuateMs": 5000}
ZONES = ("z-a", "z-b", "z-c")
ZONE = "z-a"
FREEZE_S = 3.9
RATE_S = 0.02


class Operator:
    def __init__(self, lab):
        self.lab = lab

    async def order(self, method, controls):
        """Sends the order to one machine after the other, each for a second, until it is acknowledged."""
        for control in controls:
            sent = time.monotonic()
            answer = await self.lab.exchange(control.address, method, f"/v1/evacuations/{ZONE}", timeout=1)
            self.lab.note(f"operator sends {method} /v1/evacuations/{ZONE} at {sent - self.lab.started:.4f} to "
                          f"{control.name}: {answer.status if answer else 'no answer'}")
            if answer and 200 <= answer.status < 300:
                return time.monotonic()
        raise lab_module.CannotRun(f"{method} was not acknowledged")


async def requests(lab, end):
    """Clients at all entry machines, until `end`."""
    pending = set()
    while time.monotonic() < end:
        for entry in lab.entries:
            task = asyncio.ensure_future(lab.call(entry, "GET", "/a/1", deadline_ms=1500))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(RATE_S)
    if pending:
        await asyncio.wait(pending)


def arrivals_in_zone(lab, since):
    return sorted(at - since for seen in lab.arrivals.values() for searcher, at in seen
                  if searcher.zone == ZONE and at > since)


async def scenario(lab):
    lab.bounds.update(BOUNDS)
    await lab.start(controls=5, entries=3, zones=ZONES)
    for zone in ZONES:
        for _ in range(2):
            await lab.add_searcher("sa", zone=zone, slots=4)
    route = {"name": "r-a", "host": HOST, "pathPrefix": "/a/", "routeType": "idempotent", "timeoutMs": 1500,
             "targetLatencyMs": 500, "priority": 2, "backend": "sa", "maxAttempts": 2}
    await lab.put_config({"version": 1, "routes": [route], "services": [service("sa", 64)], "limits": LIMITS})
    await lab.ready()
    operator = Operator(lab)
    frozen, others = lab.controls[-1], lab.controls[:-1]
    clients = asyncio.ensure_future(requests(lab, time.monotonic() + 40))
    await asyncio.sleep(3)
    if not arrivals_in_zone(lab, 0):
        raise lab_module.CannotRun("no request has reached the zone before its evacuation")

    await operator.order("POST", others)
    await asyncio.sleep(6.5)
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
    frozen_at = time.monotonic()
    await asyncio.sleep(0.5)
    await operator.order("DELETE", [frozen, *others])
    await asyncio.sleep(1)
    acknowledged = await operator.order("POST", others)
    await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
    if TROUBLE:
        frozen.send(signal.SIGCONT)
    thawed = time.monotonic()
    await clients

    # From here on the order is in force even if the core counts as unstable for
    # longest, and all machines have been in touch for contactMs.
    due = max(acknowledged + (BOUNDS["evacuateMs"] + BOUNDS["maxStretchMs"]) / 1000,
              thawed + 2 * BOUNDS["contactMs"] / 1000)
    late = arrivals_in_zone(lab, due)
    lab.note(f"{len(late)} requests reached {ZONE} later than {due - acknowledged:.1f} s after the acknowledgement")
    if late:
        lab.break_rule(f"EVAC: {len(late)} requests reached searchers in {ZONE} later than {due - acknowledged:.1f} s "
                       f"after its evacuation was acknowledged; it was not taken back")
    return lab.broken


lab_module.main(scenario)
