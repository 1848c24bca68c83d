"""The core is renewed machine by machine while an entry machine stands still."""
import os
import signal
import sys
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, TROUBLE, CannotRun, Deployment, call, finish  # noqa: E402
from searcher import Searcher  # noqa: E402

FROZEN_S = 7.9     # node_freeze: 8.0 s at most
POWER_OFF_S = 7.0  # node_kill, two machines of the core, power: 7.0 s at most
CONTACT_S, APPLY_S, CATCH_UP_S = BOUNDS["contactMs"] / 1000, BOUNDS["configApplyMs"] / 1000, BOUNDS["catchUpS"]


def config(version, service):
    routes = [{"name": "r-1", "host": "cold.example", "pathPrefix": "/site/", "routeType": "idempotent",
               "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1, "backend": service, "maxAttempts": 2}]
    services = [{"name": name, "healthPath": "/health", "maxConnections": 51, "protocol": "h1", "tls": False}
                for name in ("desk-old", "desk-new")]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def ask(d, entry):
    """Sends one request. Returns the service that ran it, or the status."""
    request_id = uuid.uuid4().hex[:16]
    status, _, body = call(d.frontend(entry), "GET", "/site/7", headers=(
        "X-Request-Id: " + request_id, "X-Deadline-Ms: 2000"), timeout_s=2, host="cold.example")
    result = body.split()[0].decode() if status == 200 else str(status)
    d.note(sent=request_id, to=entry, answer=result)
    return result


def play(record):
    with Deployment(cores=8, entries=2) as d:
        old, new = d.core_names[:5], d.core_names[5:]
        entry, other = d.entry_names
        for name in old + d.entry_names:
            d.processes[name].start()
        if not d.put_config(config(1, "desk-old"), 20, [d.processes[name] for name in old]):
            raise CannotRun("the first configuration was not acknowledged")
        searchers = [Searcher(d, "desk-old", 0), Searcher(d, "desk-new", 1)]
        time.sleep(3)
        # Three spare machines of the core start, empty; each will take the place of an old one.
        seeds = d.processes[old[0]].fields["seeds"]
        for name in new:
            d.processes[name].start(bootstrap=False, seeds=seeds)
        d.note(started=new)
        time.sleep(CATCH_UP_S + 1)  # No longer count as lost.
        if any(ask(d, name) != "desk-old" for name in d.entry_names):
            raise CannotRun("the deployment does not serve")

        frozen_at = time.monotonic()
        if TROUBLE:
            d.processes[entry].signal(signal.SIGSTOP)
            d.note(frozen=entry)
        for leaving in (old[:2], old[2:3]):
            for name in leaving:
                d.processes[name].signal(signal.SIGTERM)
                d.note(sigterm=name)
            time.sleep(2.7)
        for name in old[:3]:
            if d.processes[name].running():
                d.processes[name].kill()
        # The platform writes the settings anew.
        settings = [f"{d.processes[name].ip}:{d.ports['control']}" for name in new]
        for name in d.entry_names:
            process = d.processes[name]
            process.write_settings(seeds=settings)
            process.signal(signal.SIGHUP)
        for name in old[3:]:
            d.processes[name].kill()
        power_off_at = time.monotonic()
        d.note(power_lost=old[3:])
        if not d.put_config(config(2, "desk-new"), 4, [d.processes[name] for name in new]):
            raise CannotRun("the change was not acknowledged: the core has no majority")
        acknowledged_at = time.monotonic()
        time.sleep(max(0.0, frozen_at + FROZEN_S - time.monotonic()))
        d.processes[entry].signal(signal.SIGCONT)
        thawed_at = time.monotonic()
        d.note(thawed=entry, after_s=round(thawed_at - frozen_at, 2))

        # In touch from here until the two machines of the core are back.
        in_touch_at = max(thawed_at + CONTACT_S, power_off_at + CONTACT_S, acknowledged_at + APPLY_S) + 0.1
        time.sleep(max(0.0, in_touch_at - time.monotonic()))
        results = {entry: [], other: []}
        while time.monotonic() < power_off_at + POWER_OFF_S - 0.1:
            for name in d.entry_names:
                results[name].append(ask(d, name))
            time.sleep(0.1)
        d.note(acknowledged_before_s=round(in_touch_at - acknowledged_at, 2), answers=results)
        for name in old[3:]:
            d.processes[name].start(bootstrap=False, seeds=settings)
        d.note(power_back=old[3:])
        for searcher in searchers:
            searcher.stop()
        if not results[entry] or "desk-new" not in results[other]:
            raise CannotRun("no request was sent in time, or the calm machine does not serve")
        late = [result for result in results[entry] if result == "desk-old"]
        verdict = "held" if not late else (
            f"broken: {len(late)} of {len(results[entry])} requests ran at the service of version 1, "
            f"more than {APPLY_S} s after version 2 was acknowledged")
        d.write_record(record, verdict)
        return not late


if __name__ == "__main__":
    finish(os.path.dirname(os.path.abspath(__file__)), play)
