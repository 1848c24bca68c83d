"""A small deployment on loopback for the review's scripts.

    async def scenario(lab):
        await lab.start(controls=5, entries=2)
        searcher = await lab.add_searcher("orders", zone="z-a")
        await lab.put_config(document)
        answer = await lab.call(lab.entries[0], "GET", "/orders/1")
        return lab.broken                      # texts of broken rules

    lab.main(scenario)

Starts the project's program with the command and the settings template of the
deploy file, one process for each machine, on addresses of 127.0.0.0/8. The
searchers, the clients and the operator are stand-ins in this process, which
behave as the users' pages tell. Everything that is sent, answered and run is
written to record.txt beside the script.

Exit code: 1 if a rule was broken, 0 if all held, 2 if the case could not run.
TROUBLE=0 in the environment leaves the disruption out.
"""
import asyncio
import hashlib
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
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pupu76.example"
# Bounds of the sheet of coldline-search, in force for every script.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retryBudgetSlack": 56, "recoveryS": 12}
HEARTBEAT_S = 1.2
RUN_LIMIT_S = 110
FAILURES = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.TimeoutError, ValueError)


class CannotRun(Exception):
    """The case could not run."""


# ---- HTTP ----


async def read_message(reader, with_body=True):
    """Returns (first line, headers by lower-case name, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" not in line:
            continue
        name, value = line.split(":", 1)
        name, value = name.strip().lower(), value.strip()
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    body = b""
    if with_body:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def encode(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """One connection of a client or of the operator."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)

    async def ask(self, method, path, headers=(), body=b""):
        self.writer.write(encode(f"{method} {path} HTTP/1.1", [("Host", HOST), *headers], body))
        line, fields, answer = await read_message(self.reader, method != "HEAD")
        return Answer(int(line.split()[1]), fields, answer)

    def close(self):
        if self.writer:
            self.writer.close()


# ---- The project's program ----


def render(template, fields):
    """Renders the deploy file's template, as DEPLOY.md describes it."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        present = lookup(match[2]) not in (None, False, "", [])
        return render(match[3], fields) if present == (match[1] == "#") else ""

    def text(match):
        value = lookup(match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    out = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, out)


class Program:
    """One machine of the system with its process, which is signalled only by its own id."""

    def __init__(self, lab, role, number, zone):
        self.lab, self.role, self.zone = lab, role, zone
        self.name = f"{role}-{number}"
        self.ip = f"{lab.prefix}.{number}"
        self.bootstrap = True
        self.folder = os.path.join(lab.folder, self.name)
        os.makedirs(self.folder)
        self.process = None
        self.address = f"{self.ip}:{lab.ports['control' if role == 'control' else 'frontend']}"
        self.readiness = f"{self.ip}:{lab.ports['ready']}"

    def fields(self):
        lab, control = self.lab, self.role == "control"
        listen = {"controlPlane": self.address} if control else {
            "frontend": self.address, "readinessAddr": self.readiness}
        return {"nodeName": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": "prairie",
                "listenAddrs": listen, "internalPortRange": [lab.ports["peer"], lab.ports["peer"] + 15],
                "seeds": [p.address for p in lab.controls[:3]], "bootstrap": self.bootstrap,
                "limits": {"memoryMb": 256 if control else 260},
                "faultTolerance": {"machines": lab.tolerance},
                "dataDir": os.path.join(self.folder, "data"), "bounds": lab.bounds}

    async def start(self):
        role = self.lab.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"])) as template:
            settings = render(template.read(), self.fields())
        path = os.path.join(self.folder, "local.conf")
        with open(path, "w") as out:
            out.write(settings)
        command = [path if word == "/etc/bilberrycourse/local.conf" else word for word in role["run"].split()]
        command[0] = os.path.join(ROOT, command[0])
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log, cwd=ROOT)
        self.lab.note(f"{self.name} started at {self.address}")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.lab.note(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(number)
        await self.process.wait()


# ---- Searchers ----


class Run:
    """One run of a request at a searcher."""

    def __init__(self, searcher, request_id, stamp, records, at):
        self.searcher, self.request_id, self.stamp = searcher, request_id, stamp
        self.records, self.at = records, at


class Searcher:
    """A searcher as PROTOCOL.md describes it. `work_s` is the time of one run."""

    def __init__(self, lab, service, zone, slots=2, work_s=0.005, identity=None, queue=12):
        self.lab, self.service, self.zone, self.slots, self.work_s = lab, service, zone, slots, work_s
        self.id = identity or f"i-{lab.rng.randrange(1 << 32):08x}"
        self.port = lab.free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.queue = queue
        self.state, self.sequence, self.born = "ready", 0, 0
        self.server = self.beats = None
        self.writers = set()
        self.drain_acked_at = None
        self.busy = asyncio.Semaphore(slots)
        self.waiting = 0

    async def start(self):
        """Starts listening and announces itself. May be called again after stop()."""
        self.born, self.sequence = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.beats = asyncio.ensure_future(self.beat_regularly())
        self.lab.note(f"searcher {self.id} of {self.service} up at {self.address}")

    def stop(self):
        """Crashes: says nothing, its connections are reset, new ones are refused."""
        self.lab.note(f"searcher {self.id} of {self.service} down")
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat_regularly(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "warmupLeftMs": 0,
                           "sequence": self.sequence, "born": self.born}).encode()
        state = self.state
        controls = list(self.lab.controls)
        self.lab.rng.shuffle(controls)
        for control in controls:
            answer = await self.lab.exchange(control.address, "PUT", f"/v1/instances/{self.id}", body=body, timeout=1)
            if answer and 200 <= answer.status < 300:
                if state == "draining" and self.drain_acked_at is None:
                    self.drain_acked_at = time.monotonic()
                    self.lab.note(f"searcher {self.id} draining, acknowledged by {control.name}")
                return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if not await self.answer(line, headers, body, reader, writer):
                    break
        except FAILURES + (asyncio.CancelledError,):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        """Answers one request. Returns false to close the connection."""
        request_id = headers.get("x-request-id", "")
        if line.split()[1] == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)]))
            return True
        if headers.get("x-expected-instance", self.id) != self.id:
            self.lab.note(f"{self.id} answers {request_id} 421")
            writer.write(encode("HTTP/1.1 421 Misdirected Request", [("X-Request-Id", request_id)]))
            return True
        self.lab.on_arrival(self, line, headers, body)
        if self.busy.locked() and self.waiting >= self.queue:
            writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                [("X-Request-Id", request_id), ("X-Not-Executed", "1")]))
            return True
        self.waiting += 1
        await self.busy.acquire()
        self.waiting -= 1
        try:
            run = self.lab.record_run(self, line, headers, body)
            await asyncio.sleep(self.work_of(line, headers))
        finally:
            self.busy.release()
        return await self.reply(run, writer)

    def work_of(self, line, headers):
        return self.work_s

    async def reply(self, run, writer):
        writer.write(self.good_reply(run))
        await writer.drain()
        return True

    def good_reply(self, run):
        return encode("HTTP/1.1 200 OK", [("X-Server-Stamp", run.stamp), ("X-Request-Id", run.request_id),
                                          ("Content-Type", "application/octet-stream"),
                                          ("Keep-Alive", "timeout=15")], b"".join(run.records))


# ---- The deployment ----


class Lab:
    def __init__(self, script):
        self.rng = random.Random()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.started = time.monotonic()
        self.record = open(os.path.join(script, "record.txt"), "w")
        self.bounds = dict(BOUNDS)
        self.tolerance = 2
        self.controls, self.entries, self.searchers = [], [], []
        self.runs, self.run_of_stamp, self.arrivals = {}, {}, {}
        self.broken = []
        self.next_request = 0
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.started:9.4f}  {text}\n")

    def break_rule(self, text):
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    # Addresses.

    def free_port(self):
        """Returns a free port below those that the system gives to outgoing connections."""
        while True:
            port = self.rng.randrange(11000, 19000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    def choose_addresses(self, machines):
        """Chooses a free /24 of the loopback range and ports that are free on it."""
        for _ in range(100):
            self.prefix = f"127.{self.rng.randrange(10, 250)}.{self.rng.randrange(1, 250)}"
            base = self.rng.randrange(20000, 30000)
            self.ports = {"frontend": base, "ready": base + 1, "control": base + 2, "peer": base + 10}
            try:
                for number in range(1, machines + 1):
                    for port in self.ports.values():
                        with socket.socket() as probe:
                            probe.bind((f"{self.prefix}.{number}", port))
                return
            except OSError:
                continue
        raise CannotRun("no free addresses")

    # Start and end.

    async def start(self, controls=5, entries=2, zones=("z-a", "z-b", "z-c")):
        if not os.path.exists(os.path.join(ROOT, self.deploy["roles"]["entry"]["run"].split()[0])):
            raise CannotRun("the program is not built")
        self.choose_addresses(controls + entries)
        self.controls = [Program(self, "control", n, zones[(n - 1) % len(zones)]) for n in range(1, controls + 1)]
        self.entries = [Program(self, "entry", controls + n, zones[(n - 1) % len(zones)])
                        for n in range(1, entries + 1)]
        for program in self.controls + self.entries:
            await program.start()

    async def stop(self):
        for searcher in self.searchers:
            if searcher.server:
                searcher.stop()
        for program in self.controls + self.entries:
            await program.end()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_searcher(self, service, zone="z-a", kind=Searcher, **options):
        searcher = kind(self, service, zone, **options)
        self.searchers.append(searcher)
        await searcher.start()
        return searcher

    async def wait_until(self, holds, what, timeout=20):
        end = time.monotonic() + timeout
        while not await holds():
            if time.monotonic() > end:
                raise CannotRun(f"no {what} after {timeout} s")
            await asyncio.sleep(0.05)

    # The operator and the clients.

    async def exchange(self, address, method, path, headers=(), body=b"", timeout=2.0):
        """Sends a request on a new connection. Returns None if it fails or times out."""
        connection = Connection(address)

        async def go():
            await connection.open()
            return await connection.ask(method, path, [*headers, ("Connection", "close")], body)
        try:
            return await asyncio.wait_for(go(), timeout)
        except FAILURES:
            return None
        finally:
            connection.close()

    async def put_config(self, document, timeout=20):
        """Sends a configuration until it is acknowledged. Returns the member that did."""
        body = json.dumps(document).encode()
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for control in self.rng.sample(self.controls, len(self.controls)):
                answer = await self.exchange(control.address, "PUT", "/v1/config", body=body, timeout=1)
                self.note(f"PUT version {document['version']} at {control.name}: {answer and answer.status}")
                if answer and answer.status == 200:
                    return control
            await asyncio.sleep(0.1)
        raise CannotRun("the configuration was not accepted")

    async def ready(self, entries=None):
        async def all_ready():
            for entry in entries or self.entries:
                answer = await self.exchange(entry.readiness, "GET", "/v1/ready", timeout=1)
                if answer is None or answer.status != 200:
                    return False
            return True
        await self.wait_until(all_ready, "ready entry machines")

    def new_id(self):
        self.next_request += 1
        return f"{self.next_request:04x}{self.rng.randrange(1 << 48):012x}"

    async def call(self, entry, method, path, body=b"", deadline_ms=2000, connection=None, request_id=None,
                   headers=()):
        """Sends one client attempt. Returns (id, answer); the answer is None if there was none."""
        request_id = request_id or self.new_id()
        fields = [("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms)), *headers]
        self.note(f"client sends {request_id} {method} {path} to {entry.name}")
        timeout = deadline_ms / 1000 + 0.3
        if connection is None:
            answer = await self.exchange(entry.address, method, path, fields, body, timeout)
        else:
            try:
                answer = await asyncio.wait_for(connection.ask(method, path, fields, body), timeout)
            except FAILURES:
                answer = None
        self.note(f"client gets {request_id} " + (f"{answer.status} stamp={answer.headers.get('x-server-stamp')} "
                  f"parts={answer.headers.get('x-part-stamps')} missing={answer.headers.get('x-missing-parts')} "
                  f"body={answer.body[:64].hex()} ({len(answer.body)} bytes)" if answer else "no answer"))
        return request_id, answer

    # What searchers see.

    def on_arrival(self, searcher, line, headers, body):
        request_id = headers.get("x-request-id", "")
        self.arrivals.setdefault(request_id, []).append((searcher, time.monotonic()))

    def record_run(self, searcher, line, headers, body):
        request_id = headers.get("x-request-id", "")
        number = len(self.run_of_stamp)
        stamp = f"{number:x}." + hashlib.sha256(f"{searcher.id} {request_id} {number}".encode()).hexdigest()[:16]
        seed = random.Random(searcher.service + request_id)
        records = [bytes(seed.randrange(256) for _ in range(16)) for _ in range(6)]
        run = Run(searcher, request_id, stamp, records, time.monotonic())
        self.runs.setdefault(request_id, []).append(run)
        self.run_of_stamp[stamp] = run
        self.note(f"{searcher.id} of {searcher.service} runs {request_id} ({line.split()[0]} {line.split()[1]}, "
                  f"deadline {headers.get('x-deadline-ms')}), stamp {stamp}")
        return run

    # Rules.

    def check_gathered(self, request_id, answer, services, top, least):
        """MIXED for a success on a route with `gather`."""
        if answer is None or not 200 <= answer.status < 300:
            return
        stamps = [s.strip() for s in answer.headers.get("x-part-stamps", "").split(",") if s.strip()]
        missing = int(answer.headers.get("x-missing-parts", "0"))
        runs = [self.run_of_stamp.get(stamp) for stamp in stamps]
        if any(run is None or run.request_id != request_id for run in runs):
            return self.break_rule(f"MIXED {request_id}: a signature that is no answer to this request")
        named = [run.searcher.service for run in runs]
        if len(set(named)) != len(named) or not set(named) <= set(services):
            return self.break_rule(f"MIXED {request_id}: two parts of one service, or a foreign service")
        if len(named) + missing != len(services) or len(named) < least * len(services):
            return self.break_rule(f"MIXED {request_id}: {len(named)} parts and {missing} missing do not fit")
        records = sorted((record for run in runs for record in run.records), reverse=True)
        if answer.body != b"".join(records[:top]):
            got = {answer.body[i:i + 16] for i in range(0, len(answer.body), 16)}
            absent = sorted({run.searcher.service for run in runs
                             if not got & set(run.records) and set(run.records) & set(records[:top])})
            self.break_rule(f"MIXED {request_id}: the body is not the greatest {top} records of the {len(named)} "
                            f"parts that it names; none of the records of {absent} is in it")


def services_of(document):
    return [service["name"] for service in document["services"]]


def service(name, max_connections=26):
    return {"name": name, "healthPath": "/health", "maxConnections": max_connections, "protocol": "h1", "tls": False}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


async def run(scenario, script):
    lab = Lab(script)
    lab.note(f"trouble {'on' if TROUBLE else 'off'}")
    code = 2
    try:
        await asyncio.wait_for(scenario(lab), RUN_LIMIT_S)
        code = 1 if lab.broken else 0
    except (CannotRun, asyncio.TimeoutError) as problem:
        lab.note(f"cannot run: {problem!r}")
        print("cannot run:", repr(problem))
    finally:
        lab.note(f"exit {code}")
        for text in lab.broken[:5]:
            print("BROKEN", text)
        print(f"{len(lab.broken)} breaks")
        await lab.stop()
    return code


def main(scenario):
    script = os.path.dirname(os.path.abspath(sys.argv[0]))
    sys.exit(asyncio.run(run(scenario, script)))
