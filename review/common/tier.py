"""Starts a small deployment of the tier on loopback, with stand-ins.

The programs run as the deploy file says, `target/bilberrycourse serve --config
FILE`, each as a process of its own. FILE is rendered from platform/settings.ini
with the fields that DEPLOY.md lists. Searchers, callers and the operator are
stand-ins in the Python process of the script.

Every event goes to `record.txt` in the folder of the case, one JSON object a
line, with seconds since the start of the script.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "bilberrycourse")
TEMPLATE = os.path.join(ROOT, "platform", "settings.ini")
HOST = "desk.example"
# Exit codes for common/run, which keeps an error of Python apart from a broken rule.
HELD, BROKEN, NOT_RUN = 0, 11, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **fields):
        line = json.dumps({"at_s": round(self.now(), 3), "event": event, **fields})
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


def render(template, fields):
    """Fills in a template as DEPLOY.md describes: values and sections."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        kind, name, inner = match.groups()
        value = look_up(name)
        present = value is not None and value is not False
        return inner if present == (kind == "#") else ""

    # A standalone section tag takes its whole line with it.
    out = re.sub(r"\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^#^/}]+)\}\}", lambda m: text(look_up(m.group(1))), out)


def free_ports(ips, count):
    """Returns port numbers that are free on all of the addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        sockets = []
        try:
            for ip in ips:
                sockets.append(socket.socket())
                sockets[-1].bind((ip, port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for one in sockets:
                one.close()
    return found


class Program:
    """One process of the tier. It is signalled only by its own id."""

    def __init__(self, tier, role, ip, name, zone):
        self.tier, self.role, self.ip, self.name, self.zone = tier, role, ip, name, zone
        self.folder = os.path.join(tier.folder, name)
        os.makedirs(self.folder)
        self.process, self.bootstrap, self.peer_advertised = None, True, None

    @property
    def address(self):
        return f"{self.ip}:{self.tier.front_port if self.role == 'entry' else self.tier.control_port}"

    @property
    def readiness(self):
        return f"{self.ip}:{self.tier.ready_port}"

    def settings(self):
        tier = self.tier
        control = self.role == "control"
        listen = {"controlPlane": self.address} if control else {
            "frontend": self.address, "readinessAddr": self.readiness}
        text = render(open(TEMPLATE).read(), {
            "nodeName": self.name, "ip": self.ip, "zone": self.zone, "listenAddrs": listen,
            "internalPortRange": [tier.peer_port, tier.peer_port + 15],
            "seeds": [c.address for c in tier.controls[:3]], "bootstrap": self.bootstrap,
            "dataDir": os.path.join(self.folder, "data") if control else None,
            "faultTolerance": {"machines": 1},
            "bounds": {"retryBudgetRatio": 0.2, "retryBudgetSlack": 56}})
        if self.peer_advertised:
            text = text.replace("[peers]", f"peer_advertised = {self.peer_advertised}\n\n[peers]", 1)
        if tier.seed_port:
            text = text.replace(f"seed_port = {tier.peer_port}", f"seed_port = {tier.seed_port}")
        return text

    async def start(self):
        path = os.path.join(self.folder, "local.conf")
        with open(path, "w") as out:
            out.write(self.settings())
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                BINARY, "serve", "--config", path, stdout=log, stderr=log, cwd=ROOT)
        self.tier.record.add("process_started", name=self.name, pid=self.process.pid)

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.running:
            self.process.send_signal(number)
            self.tier.record.add("signal", name=self.name, signal=signal.Signals(number).name)

    async def end(self, number=signal.SIGKILL):
        self.send(number)
        if self.process:
            await self.process.wait()


class Tier:
    """A control group of three and some entry instances."""

    def __init__(self, record, entries=2, zones=("a",)):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = f"127.{random.randrange(40, 240)}.{random.randrange(1, 250)}"
        control_ips = [f"{net}.{n}" for n in (1, 2, 3)]
        entry_ips = [f"{net}.{n}" for n in range(11, 11 + entries)]
        self.control_port, self.front_port, self.ready_port, self.peer_port = free_ports(
            control_ips + entry_ips, 4)
        self.controls = [Program(self, "control", ip, f"core-{n}", zones[n % len(zones)])
                         for n, ip in enumerate(control_ips, 1)]
        self.entries = [Program(self, "entry", ip, f"frontend-{n}", zones[n % len(zones)])
                        for n, ip in enumerate(entry_ips, 1)]
        self.searchers = []
        # Set if proxies stand before the links to the control instances.
        self.seed_port = None

    async def start(self):
        for program in self.controls + self.entries:
            await program.start()
        # From now on a start is no longer the first one of the whole system.
        for program in self.controls + self.entries:
            program.bootstrap = False

    async def put_config(self, document):
        body = json.dumps(document).encode()
        for _ in range(100):
            for control in self.controls:
                answer = await call(control.address, "PUT", "/v1/config", body, timeout=1)
                if answer and answer.status == 200:
                    self.record.add("config_acknowledged", version=document["version"], by=control.name)
                    return
            await asyncio.sleep(0.1)
        raise CaseNotRun("no control instance has acknowledged the configuration")

    async def ready(self, program, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            answer = await call(program.readiness, "GET", "/v1/ready", timeout=1)
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseNotRun(f"{program.name} did not get ready")

    async def stop(self):
        for searcher in self.searchers:
            searcher.close()
        for program in self.controls + self.entries:
            if program.running:
                program.process.send_signal(signal.SIGCONT)
                await program.end()
        if keep := os.environ.get("KEEP"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = [(k.strip().lower(), v.strip()) for k, v in
               (line.split(":", 1) for line in lines[1:] if ":" in line)]
    return lines[0], headers


async def read_body(reader, headers):
    fields = dict(headers)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Connection:
    """A caller's kept connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, method, path, body=b"", headers=(), keep=True):
        text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        text += "".join(f"{k}: {v}\r\n" for k, v in headers)
        if body or method in ("POST", "PUT"):
            text += f"Content-Length: {len(body)}\r\n"
        text += "\r\n" if keep else "Connection: close\r\n\r\n"
        self.writer.write(text.encode() + body)
        line, fields = await read_head(self.reader)
        return Answer(int(line.split()[1]), fields, await read_body(self.reader, fields))

    def close(self):
        self.writer.close()


FAILURES = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError)


async def call(address, method, path, body=b"", headers=(), timeout=2.0):
    """Sends a request on a new connection; returns None without a whole answer."""
    async def exchange():
        connection = await Connection.open(address)
        try:
            return await connection.ask(method, path, body, headers, keep=False)
        finally:
            connection.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except FAILURES:
        return None


class Searcher:
    """A sound searcher that registers itself and renews every `heartbeatMs`.

    `run(searcher, request)` is called once it begins to work on a request and
    returns the bytes of the answer, or None to break the connection off.
    """
    HEARTBEAT_S = 1.2

    def __init__(self, tier, service, number, zone, run, slots=6):
        self.tier, self.service, self.zone, self.slots, self.run = tier, service, zone, slots, run
        self.id = f"i-{service}-{number}"
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.writers, self.beats = set(), None
        tier.searchers.append(self)

    async def start(self, register=True, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        if register:
            self.beats = asyncio.ensure_future(self.beat_regularly())

    async def beat_regularly(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.HEARTBEAT_S)

    def heartbeat(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "warmupLeftMs": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def beat(self, state="ready"):
        body = self.heartbeat(state)
        for control in random.sample(self.tier.controls, len(self.tier.controls)):
            answer = await call(control.address, "PUT", f"/v1/instances/{self.id}", body, timeout=1)
            if answer and answer.status == 200:
                return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                request = {"method": method, "path": path, "body": body, "headers": dict(headers),
                           "id": dict(headers).get("x-request-id", ""), "writer": writer}
                expected = request["headers"].get("x-expected-instance", self.id)
                if expected != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                answer = await self.run(self, request)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except FAILURES + (asyncio.CancelledError,):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def reply(status, reason, request_id, stamp=None, body=b"", headers=()):
    """An answer of a searcher, which echoes the request's id and is signed."""
    lines = [f"HTTP/1.1 {status} {reason}", f"X-Request-Id: {request_id}"]
    if stamp:
        lines.append(f"X-Server-Stamp: {stamp}")
    lines += [f"{k}: {v}" for k, v in headers] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def main(file, case, limit_s=110):
    """Runs the coroutine `case(record)`, which returns HELD or BROKEN."""
    folder = os.path.dirname(os.path.abspath(file))
    if not os.access(BINARY, os.X_OK):
        print("target/bilberrycourse is missing: run the deploy file's build first")
        sys.exit(NOT_RUN)
    # Connections that a case leaves open are collected after the loop has ended.
    sys.unraisablehook = lambda _: None
    record = Record(folder)
    record.add("case", trouble=TROUBLE)
    try:
        outcome = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except CaseNotRun as error:
        record.add("not_run", reason=str(error))
        print(f"the case could not run: {error}")
        outcome = NOT_RUN
    except asyncio.TimeoutError:
        record.add("not_run", reason=f"longer than {limit_s} s")
        print(f"the case could not run within {limit_s} s")
        outcome = NOT_RUN
    record.add("outcome", exit=outcome)
    record.close()
    sys.exit(outcome)
