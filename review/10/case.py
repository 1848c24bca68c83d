"""All machines lose power while a change is being written; the write is torn on some of them."""
import json
import os
import shutil
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, TROUBLE, CannotRun, Deployment, finish  # noqa: E402

ROUTES = 60  # The pages' example has 3 routes and 21 services, the sites 18 and 52.
BLOCK_BYTES = 4096
TORN_MACHINES = 3  # On the other two the write is missing.
DOWN_S = 0.8


def config(version):
    routes = [{"name": f"r-{i}", "host": "cold.example", "pathPrefix": f"/site{i}/", "routeType": "idempotent",
               "timeoutMs": 4000 + version, "targetLatencyMs": 500, "priority": 1, "backend": "portal",
               "maxAttempts": 2} for i in range(ROUTES)]
    return {"version": version, "routes": routes,
            "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 51, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def log_name(folder):
    names = [name for name in os.listdir(folder) if name.startswith("log-") and not name.endswith(".tmp")]
    if len(names) != 1:
        raise CannotRun("the log was being compacted")
    return names[0]


def read(path):
    with open(path, "rb") as file:
        return file.read()


def lose_power(core, before):
    """Leaves on the disk what it held before the last write, and of that write all blocks but the first."""
    name = log_name(core.data_dir)
    synced, written = read(os.path.join(before, name)), read(os.path.join(core.data_dir, name))
    if not written.startswith(synced):
        raise CannotRun("the log was written anew")
    missing_to = min(len(written), (len(synced) // BLOCK_BYTES + 1) * BLOCK_BYTES)
    if len(written) - missing_to < BLOCK_BYTES:
        raise CannotRun("the last write took a single block")
    shutil.rmtree(core.data_dir)
    shutil.copytree(before, core.data_dir)
    with open(os.path.join(core.data_dir, name), "ab") as log:
        log.write(bytes(missing_to - len(synced)) + written[missing_to:])
    return {"synced_bytes": len(synced), "missing_bytes": missing_to - len(synced),
            "present_bytes": len(written) - missing_to}


def play(record):
    with Deployment(cores=5, entries=1) as d:
        d.start_all()
        if not d.put_config(config(1), 20):
            raise CannotRun("the first configuration was not acknowledged")
        time.sleep(BOUNDS["catchUpS"] + 1)  # All five are voters and no longer count as lost.
        acknowledged = 2
        if not d.put_config(config(acknowledged)):
            raise CannotRun("a change was not acknowledged")
        time.sleep(0.5)  # Every machine has written and synced it.
        before = {}
        for core in d.cores():
            before[core.name] = os.path.join(d.folder, "before-" + core.name)
            shutil.copytree(core.data_dir, before[core.name])
        # One more change, whose answer nobody waits for.
        body = json.dumps(config(acknowledged + 1)).encode()
        with socket.create_connection(d.control(d.cores()[0]), timeout=1) as operator:
            operator.sendall(b"PUT /v1/config HTTP/1.1\r\nHost: control.example\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
            time.sleep(0.2)
            for process in d.processes.values():
                process.kill()
        d.note(sent=acknowledged + 1, power_lost=sorted(d.processes))
        for i, core in enumerate(d.cores()):
            if TROUBLE and i < TORN_MACHINES:
                d.note(torn="the last write to the log", machine=core.name, **lose_power(core, before[core.name]))
            else:
                shutil.rmtree(core.data_dir)
                shutil.copytree(before[core.name], core.data_dir)
                d.note(missing="the last write to the log", machine=core.name)
        time.sleep(DOWN_S)
        for process in d.processes.values():
            process.start(bootstrap=False)
        d.note(power_back=sorted(d.processes))
        back = time.monotonic()
        newest, statuses = None, {}
        while time.monotonic() < back + BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000:
            for core in d.cores():
                status, version = d.read_config(core)
                statuses[status] = statuses.get(status, 0) + 1
                if version is not None:
                    newest = max(newest or 0, version)
            if newest is not None and time.monotonic() > back + BOUNDS["contactMs"] / 1000:
                break
            time.sleep(0.25)
        d.note(acknowledged=acknowledged, newest_read_back=newest, read_statuses=statuses,
               seconds_after_return=round(time.monotonic() - back, 1))
        for core in d.cores():
            with open(core.log) as log:
                for line in log:
                    if "control_refuses_to_vote" in line:
                        d.note(machine=core.name, log=json.loads(line)["reason"])
        held = newest is not None and newest >= acknowledged
        d.write_record(record, "held" if held else
                       f"broken: version {acknowledged} was acknowledged, read back: {newest}")
        return held


if __name__ == "__main__":
    finish(os.path.dirname(os.path.abspath(__file__)), play)
