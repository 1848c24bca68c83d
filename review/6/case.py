"""A machine of the core is replaced as planned; two others lose their disks right after a change was acknowledged."""
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, TROUBLE, CannotRun, Deployment, finish  # noqa: E402

CATCH_UP_S, CONTACT_S, RECOVERY_S = BOUNDS["catchUpS"], BOUNDS["contactMs"] / 1000, BOUNDS["recoveryS"]
GRACE_S, DOWN_S = BOUNDS["graceS"], 1.0


def config(version):
    routes = [{"name": "r-1", "host": "cold.example", "pathPrefix": "/site/", "routeType": "idempotent",
               "timeoutMs": 4000 + version, "targetLatencyMs": 500, "priority": 1, "backend": "portal",
               "maxAttempts": 2}]
    return {"version": version, "routes": routes,
            "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 51, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def play(record):
    with Deployment(cores=6, entries=1) as d:
        first, successor = d.cores()[:5], d.cores()[5]
        for process in first + [d.processes[name] for name in d.entry_names]:
            process.start()
        if not d.put_config(config(1), 20, first):
            raise CannotRun("the first configuration was not acknowledged")
        time.sleep(CATCH_UP_S + 1)  # All five no longer count as lost.
        successor.start(bootstrap=False)
        d.note(started=successor.name)
        time.sleep(CATCH_UP_S + 1)  # The successor has had catchUpS.

        removed = first[-1]
        removed.signal(signal.SIGTERM)
        d.note(sigterm=removed.name)
        end = time.monotonic() + GRACE_S
        while removed.running() and time.monotonic() < end:
            time.sleep(0.02)
        removed.kill()
        d.note(ended=removed.name)
        left = [core for core in first if core is not removed] + [successor]
        acknowledged_by = d.put_config(config(2), 5, left[:4])
        if acknowledged_by is None:
            raise CannotRun("the change was not acknowledged")
        lost = [acknowledged_by, next(core for core in left if core is not acknowledged_by)]
        if TROUBLE:
            for core in lost:
                core.kill()
            for core in lost:
                shutil.rmtree(core.data_dir)
                os.mkdir(core.data_dir, 0o700)
                d.note(disk_lost=core.name)
            time.sleep(DOWN_S)
            for core in lost:
                core.start(bootstrap=False)
                d.note(back=core.name)
        back = time.monotonic()
        newest, statuses = None, {}
        while time.monotonic() < back + RECOVERY_S + CONTACT_S:
            for core in left:
                status, read = d.read_config(core)
                statuses[status] = statuses.get(status, 0) + 1
                if read is not None:
                    newest = max(newest or 0, read)
            if newest is not None and time.monotonic() > back + CONTACT_S:
                break
            time.sleep(0.25)
        d.note(acknowledged=2, newest_read_back=newest, read_statuses=statuses,
               seconds_after_return=round(time.monotonic() - back, 1))
        held = newest == 2
        d.write_record(record, "held" if held else f"broken: version 2 was acknowledged, read back: {newest}")
        return held


if __name__ == "__main__":
    finish(os.path.dirname(os.path.abspath(__file__)), play)
