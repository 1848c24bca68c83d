"""A small deployment of the project on loopback, as the deploy file starts it.

    with Deployment(cores=5, entries=2, zones=("a", "b", "c")) as d:
        d.start_all()
        d.put_config(document)
        d.processes["core-1"].kill()

Stands for the platform: renders platform/settings.ini from the fields of a
machine, starts the program of deploy/system.toml with it, and sends signals.
Every machine has a loopback address of its own. Each machine's disk is a folder
in a temporary folder of the run.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxStretchMs": 12000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 54, "recoveryS": 12}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; run.sh exits with 2."""


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Renders the sections and placeholders that platform/settings.ini uses."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def expand(match):
        present = lookup(fields, match[2]) not in (None, False, [], "")
        return render(match[3], fields) if present == (match[1] == "#") else ""

    def text(match):
        value = lookup(fields, match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    while section.search(template):
        template = section.sub(expand, template)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Process:
    """One machine with one role."""

    def __init__(self, deployment, name, fields, command):
        self.deployment, self.name, self.fields, self.command = deployment, name, fields, command
        self.child = None
        self.log = os.path.join(deployment.folder, name + ".log")

    @property
    def ip(self):
        return self.fields["ip"]

    @property
    def data_dir(self):
        return self.fields.get("dataDir")

    def write_settings(self, **changed):
        self.fields.update(changed)
        path = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(path + ".new", "w") as out:
            out.write(render(self.deployment.template, self.fields))
        os.replace(path + ".new", path)
        return path

    def start(self, **changed):
        path = self.write_settings(**changed)
        words = [path if word == "/etc/bilberrycourse/local.conf" else word for word in self.command]
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.deployment.folder, "LANG": "C.UTF-8",
                     "BILBERRYCOURSE_SETTINGS": path})

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Deployment:
    def __init__(self, cores=5, entries=2, zones=("a", "b", "c"), tolerance=2, fields=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        with open(os.path.join(ROOT, "platform", "settings.ini")) as template:
            self.template = template.read()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            self.roles = tomllib.load(deploy)["roles"]
        program = os.path.join(ROOT, self.roles["control"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports()
        self.core_names = [f"core-{i + 1}" for i in range(cores)]
        self.entry_names = [f"entry-{i + 1}" for i in range(entries)]
        for i, name in enumerate(self.core_names):
            self.add(name, "control", f"{self.net}.{10 + i}", zones[i % len(zones)], zones, tolerance, fields)
        for i, name in enumerate(self.entry_names):
            self.add(name, "entry", f"{self.net}.{50 + i}", zones[i % len(zones)], zones, tolerance, fields)
        seeds = [f"{self.processes[name].ip}:{self.ports['control']}" for name in self.core_names[:3]]
        for process in self.processes.values():
            process.fields["seeds"] = seeds
        self.events = []
        self.started = time.monotonic()

    def free_ports(self):
        """Ports that are free on the addresses of this run, the same on each machine."""
        for _ in range(50):
            first = random.randint(12000, 30000)
            names = ("control", "frontend", "ready", "peer")
            try:
                for address in range(10, 60):
                    for i in range(len(names)):
                        with socket.socket() as probe:
                            probe.bind((f"{self.net}.{address}", first + i))
                return dict(zip(names, range(first, first + len(names))))
            except OSError:
                continue
        raise CannotRun("no free ports")

    def add(self, name, role, ip, zone, zones, tolerance, more):
        core = role == "control"
        listen = {"controlPlane": f"{ip}:{self.ports['control']}"} if core else {
            "frontend": f"{ip}:{self.ports['frontend']}", "readinessAddr": f"{ip}:{self.ports['ready']}"}
        fields = {"nodeName": name, "role": role, "machineClass": "core" if core else "frontend",
                  "serves": self.roles[role]["serves"], "ip": ip, "zone": zone, "region": "r",
                  "zones": {z: "r" for z in zones}, "listenAddrs": listen,
                  "internalPortRange": [self.ports["peer"], self.ports["peer"] + 8], "bootstrap": True,
                  "toleranceMember": core,
                  "limits": {"cpuQuota": 0.6, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
                  "discovery": "registry", "entryPoint": "vip", "heartbeatMs": 1200,
                  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter"],
                  "faultTolerance": {"machines": tolerance, "zones": 0, "regions": 0}, "bounds": dict(BOUNDS)}
        for key, value in (more or {}).items():
            fields[key] = {**fields[key], **value} if isinstance(value, dict) else value
        if core:
            fields["dataDir"] = os.path.join(self.folder, "disk-" + name)
            os.mkdir(fields["dataDir"], 0o700)
        self.processes[name] = Process(self, name, fields, self.roles[role]["run"].split())

    def __enter__(self):
        return self

    def __exit__(self, kind, *unused):
        if kind is CannotRun:
            for event in self.events[-40:]:
                print(json.dumps(event)[:300])
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_all(self):
        for process in self.processes.values():
            process.start()

    def note(self, **event):
        self.events.append({"at_s": round(time.monotonic() - self.started, 3), **event})

    def cores(self):
        return [self.processes[name] for name in self.core_names]

    def control(self, process):
        return process.ip, self.ports["control"]

    def frontend(self, name):
        return self.processes[name].ip, self.ports["frontend"]

    def put_config(self, document, within_s=10.0, cores=None):
        """Sends a configuration as the operator does, until it is acknowledged.

        Returns the machine that acknowledged it, or None.
        """
        body = json.dumps(document).encode()
        end, pause = time.monotonic() + within_s, 0.05
        targets = list(cores or self.cores())
        while time.monotonic() < end:
            target = random.choice(targets)
            status, _, _ = call(self.control(target), "PUT", "/v1/config", body)
            if status == 200:
                self.note(config=document["version"], acknowledged_by=target.name)
                return target
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused: {status}")
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return None

    def read_config(self, process):
        """Returns the status and, of a 200, the version that the machine names."""
        status, _, body = call(self.control(process), "GET", "/v1/config")
        try:
            return status, json.loads(body)["version"] if status == 200 else None
        except (ValueError, KeyError):
            return status, None

    def write_record(self, path, verdict):
        with open(path, "w") as out:
            for event in self.events:
                out.write(json.dumps(event) + "\n")
            out.write(verdict + "\n")


def call(address, method, path, body=b"", headers=(), timeout_s=1.0, host="control.example"):
    """One HTTP call on a connection of its own. Returns (status, headers, body); status 0 without an answer."""
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close",
            f"Content-Length: {len(body)}", "Content-Type: application/json", *headers]
    try:
        with socket.create_connection(address, timeout=timeout_s) as connection:
            connection.settimeout(timeout_s)
            connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            return read_answer(connection.makefile("rb"))
    except (OSError, ValueError):
        return 0, {}, b""


def read_answer(stream):
    first = stream.readline().split()
    if len(first) < 2:
        return 0, {}, b""
    status, headers = int(first[1]), {}
    while True:
        line = stream.readline().decode("latin-1")
        if not line:
            return 0, {}, b""
        if line in ("\r\n", "\n"):
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = headers.get("content-length")
    body = stream.read(int(length)) if length is not None else stream.read()
    if length is not None and len(body) < int(length):
        return 0, {}, b""
    return status, headers, body


def finish(case_folder, play):
    """Runs `play(record_path)`, which returns True if the rule held, and exits as the reviews' scripts do."""
    try:
        held = play(os.path.join(case_folder, "record.txt"))
    except CannotRun as error:
        print("cannot run:", error)
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
