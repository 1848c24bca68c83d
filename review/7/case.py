"""All machines lose power; what each disk then holds is what the pages allow."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, TROUBLE, CannotRun, Deployment, finish  # noqa: E402

MARK, SLOT_BYTES, TORN_BYTES = "sync-mark", 32, 16
TORN_MACHINES = 3  # On the other two, each write after the last sync is present.
CHANGES = 12
DOWN_S = 0.8


def config(version):
    routes = [{"name": "r-1", "host": "cold.example", "pathPrefix": "/site/", "routeType": "idempotent",
               "timeoutMs": 4000 + version, "targetLatencyMs": 500, "priority": 1, "backend": "portal",
               "maxAttempts": 2}]
    return {"version": version, "routes": routes,
            "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 51, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def read_mark(core):
    with open(os.path.join(core.data_dir, MARK), "rb") as mark:
        return mark.read()


def lose_power(core, earlier):
    """Leaves on the disk what a loss of power may leave there.

    The program writes the file after each batch, one of its two slots in turn, and
    never syncs it again after its start. Of the last write to each slot the first
    bytes are present (torn). `earlier` is the file as it was after some earlier
    writes to both slots; those in between are missing.
    """
    latest = read_mark(core)
    torn = b"".join(latest[at:at + TORN_BYTES] + earlier[at + TORN_BYTES:at + SLOT_BYTES]
                    for at in range(0, 2 * SLOT_BYTES, SLOT_BYTES))
    if len(latest) != 2 * SLOT_BYTES or len(earlier) != 2 * SLOT_BYTES or any(
            latest[at:at + SLOT_BYTES] == earlier[at:at + SLOT_BYTES] for at in (0, SLOT_BYTES)):
        raise CannotRun("the file was not written after its last sync")
    with open(os.path.join(core.data_dir, MARK), "r+b") as mark:
        mark.write(torn)


def play(record):
    with Deployment(cores=5, entries=2) as d:
        d.start_all()
        version = 1
        if not d.put_config(config(version), 20):
            raise CannotRun("the first configuration was not acknowledged")
        time.sleep(BOUNDS["catchUpS"] + 1)  # All five are voters and no longer count as lost.
        for _ in range(2):  # Both slots are written after the last sync of the file.
            version += 1
            d.put_config(config(version))
            time.sleep(0.2)
        earlier = {core.name: read_mark(core) for core in d.cores()}
        for _ in range(CHANGES):
            version += 1
            if not d.put_config(config(version)):
                raise CannotRun("a change was not acknowledged")
            time.sleep(0.1)
        acknowledged = version
        for process in d.processes.values():
            process.kill()
        d.note(power_lost=sorted(d.processes))
        if TROUBLE:
            for core in d.cores()[:TORN_MACHINES]:
                lose_power(core, earlier[core.name])
                d.note(torn=MARK, machine=core.name, bytes_kept_of_the_last_writes=TORN_BYTES)
        time.sleep(DOWN_S)
        for process in d.processes.values():
            process.start(bootstrap=False)
        d.note(power_back=sorted(d.processes))
        back = time.monotonic()
        # Read for contactMs beyond the time that the rules allow for the recovery.
        newest, statuses = None, {}
        while time.monotonic() < back + BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000:
            for core in d.cores():
                status, read = d.read_config(core)
                statuses[status] = statuses.get(status, 0) + 1
                if read is not None:
                    newest = max(newest or 0, read)
            if newest is not None and time.monotonic() > back + BOUNDS["contactMs"] / 1000:
                break
            time.sleep(0.25)
        d.note(acknowledged=acknowledged, newest_read_back=newest, read_statuses=statuses,
               seconds_after_return=round(time.monotonic() - back, 1))
        for core in d.cores():
            with open(core.log) as log:
                for line in log:
                    if "control_refuses_to_vote" in line:
                        d.note(machine=core.name, log=line.strip()[:300])
        held = newest == acknowledged
        d.write_record(record, "held" if held else
                       f"broken: version {acknowledged} was acknowledged, read back: {newest}")
        return held


if __name__ == "__main__":
    finish(os.path.dirname(os.path.abspath(__file__)), play)
