"""A small deployment of the routed interface for end-to-end tests.

    with RoutedTier(build) as tier:
        tier.serve(reply_bytes=1000)
        status, body = tier.request("/search/x")
        tier.entry.peak_memory_mb()

One entry instance, one control instance and one stand-in searcher. The settings
are rendered from the template of the platform, with its limits of memory.
"""
import http.client
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
HOST = "memory.example"
SERVICE, ENDLESS_SERVICE = "desk", "flood"
# Limits of the platform's smallest deployment, in MB.
ENTRY_MEMORY_MB, CONTROL_MEMORY_MB = 160, 256
MAX_BODY_BYTES = 262144


def render(template, fields):
    """Fills in the sections and values of a template, as the platform does."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
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
        present = look_up(name) not in (None, False)
        return inner if present == (kind == "#") else ""

    out = re.sub(r"\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^#^/}]+)\}\}", lambda match: text(look_up(match.group(1))), out)


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Process:
    """One process of the tier. It is signalled only by its own id."""

    def __init__(self, build, folder, name, settings):
        path = os.path.join(folder, name + ".ini")
        with open(path, "w") as out:
            out.write(settings)
        self.log_path = os.path.join(folder, name + ".log")
        self.command = [os.path.join(ROOT, build, "bilberrycourse"), "serve", "--config", path]
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log)

    def running(self):
        return self.process.poll() is None

    def signal(self, number):
        self.process.send_signal(number)

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            return int(re.search(r"VmHWM:\s+(\d+) kB", status.read()).group(1)) / 1024

    def await_settled_memory(self):
        """Waits until the peak has not grown for a second, 10 s at most."""
        end = time.monotonic() + 10
        peak, since = self.peak_memory_mb(), time.monotonic()
        while self.running() and time.monotonic() < min(end, since + 1):
            time.sleep(0.05)
            if self.peak_memory_mb() > peak:
                peak, since = self.peak_memory_mb(), time.monotonic()

    def log(self):
        with open(self.log_path) as log:
            return log.read()

    def end(self):
        if self.running():
            self.process.kill()
        self.process.wait()


class StandInSearcher:
    """Answers every request on every connection with the same number of bytes,
    after the same time."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.reply_bytes, self.delay_s, self.requests = 100, 0.0, 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection = self.server.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while line := reader.readline():
                headers = {}
                while (line := reader.readline().strip()):
                    name, value = line.decode("latin-1").split(":", 1)
                    headers[name.lower()] = value.strip()
                reader.read(int(headers.get("content-length", 0)))
                self.requests += 1
                time.sleep(self.delay_s)
                connection.sendall(
                    ("HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n"
                     % (headers.get("x-request-id", ""), self.reply_bytes)).encode() + bytes(self.reply_bytes))
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def end(self):
        self.server.close()


class EndlessSearcher(StandInSearcher):
    """Answers every request with a body without end, until the caller closes."""

    def serve(self, connection):
        try:
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n\r\n")
            while True:
                connection.sendall(bytes(65536))
        except OSError:
            pass
        finally:
            connection.close()


class RoutedTier:
    def __init__(self, build, controls=1):
        self.folder = tempfile.mkdtemp(prefix="routed-")
        peer_ports, (self.control_port, self.entry_port, self.readiness_port) = free_ports(2), free_ports(3)
        control_ips = [f"127.0.0.{2 + index}" for index in range(controls)]
        self.control_addresses = [f"{ip}:{self.control_port}" for ip in control_ips]
        with open(os.path.join(ROOT, "platform", "settings.ini")) as template:
            self.template = template.read()
        common = {"zone": "z", "bootstrap": True, "seeds": self.control_addresses,
                  "faultTolerance": {"machines": (controls - 1) // 2},
                  "bounds": {"retryBudgetRatio": 0.2, "retryBudgetSlack": 50}}
        self.searcher = StandInSearcher()
        self.endless_searchers = []
        self.controls = []
        for number, ip in enumerate(control_ips, 1):
            self.controls.append(Process(build, self.folder, f"control{number}", render(self.template, dict(
                common, nodeName=f"c{number}", ip=ip, internalPortRange=[peer_ports[0], peer_ports[0]],
                listenAddrs={"controlPlane": f"{ip}:{self.control_port}"},
                dataDir=os.path.join(self.folder, f"data{number}"), limits={"memoryMb": CONTROL_MEMORY_MB}))))
        self.control = self.controls[0]
        self.entry = Process(build, self.folder, "entry", render(self.template, dict(
            common, nodeName="e1", ip="127.0.0.1", internalPortRange=[peer_ports[0], peer_ports[0]],
            listenAddrs={"frontend": f"127.0.0.1:{self.entry_port}",
                         "readinessAddr": f"127.0.0.1:{self.readiness_port}"},
            limits={"memoryMb": ENTRY_MEMORY_MB})))
        self.version, self.sequence = 0, 0

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for process in (self.entry, *self.controls):
            process.end()
        for searcher in [self.searcher, *self.endless_searchers]:
            searcher.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    @staticmethod
    def call(address, method, path, body=b"", headers=(), timeout=5):
        """Returns (status, body), or None without an answer."""
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": HOST, **dict(headers)})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def submit_routes(self):
        """Submits the next version of the routes; returns the answer."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": [{"name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeType": "idempotent",
                        "timeoutMs": 8000, "targetLatencyMs": 1000, "backend": service, "maxAttempts": 2}
                       for name, service in (("search", SERVICE), ("endless", ENDLESS_SERVICE))],
            "services": [{"name": service, "healthPath": "/health", "maxConnections": 400}
                         for service in (SERVICE, ENDLESS_SERVICE)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 60000}}
        return self.call(f"127.0.0.2:{self.control_port}", "PUT", "/v1/config", json.dumps(document))

    def announce(self, searcher=None, service=SERVICE, name="s1"):
        self.sequence += 1
        body = {"backend": service, "address": (searcher or self.searcher).address, "zone": "z", "version": "v1",
                "slots": 64, "state": "ready", "warmupLeftMs": 0, "sequence": self.sequence, "born": 1}
        return self.call(f"127.0.0.2:{self.control_port}", "PUT", f"/v1/instances/{name}", json.dumps(body))

    def evacuate(self, zone, method="POST", seconds=10, control=0):
        """Repeats the call, as an operator does, until it is not answered 503.
        Returns the status."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = self.call(self.control_addresses[control], method, f"/v1/evacuations/{zone}")
            if answer is not None and answer[0] != 503:
                return answer[0]
            time.sleep(0.1)
        return 503

    def send_order(self, control, zone, method):
        """Sends an order on a new connection, which is returned open."""
        connection = http.client.HTTPConnection(self.control_addresses[control], timeout=10)
        connection.request(method, f"/v1/evacuations/{zone}", headers={"Host": HOST})
        return connection

    def add_endless_searchers(self, count):
        """Returns whether the entry instance sends to them within 20 s."""
        for number in range(count):
            self.endless_searchers.append(EndlessSearcher())
            self.announce(self.endless_searchers[-1], ENDLESS_SERVICE, f"endless{number}")
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answer = self.request("/endless/x")
            if answer is not None and answer[0] != 503:
                return True
            time.sleep(0.05)
        return False

    def request(self, path="/search/x", body=b""):
        return self.call(f"127.0.0.1:{self.entry_port}", "POST" if body else "GET", path, body,
                         [("X-Request-Id", os.urandom(8).hex()), ("X-Deadline-Ms", "5000")])

    def leave_answer_unread(self):
        """Sends a request, waits for the start of its answer and returns the
        connection without reading."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(5)
        caller.connect(("127.0.0.1", self.entry_port))
        caller.sendall(f"GET /search/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
                       "X-Deadline-Ms: 5000\r\n\r\n".encode())
        caller.recv(1, socket.MSG_PEEK)
        return caller

    def serve(self):
        """Waits until requests are served; returns whether they are."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if self.version == 0 and (self.submit_routes() or (0,))[0] != 200:
                self.version = 0
            elif (self.announce() or (0,))[0] == 200 and (self.request() or (0,))[0] == 200:
                return True
            time.sleep(0.1)
        return False

    @staticmethod
    def send_all(port, ip, count, head, body, seconds):
        """Opens `count` connections and sends as much on each as is taken within
        `seconds`; returns them open."""
        sockets = []
        for _ in range(count):
            caller = socket.create_connection((ip, port), timeout=5)
            caller.setblocking(False)
            sockets.append(caller)
        left = {caller: memoryview(head + body) for caller in sockets}
        end = time.monotonic() + seconds
        while left and time.monotonic() < end:
            progress = False
            for caller, data in list(left.items()):
                try:
                    sent = caller.send(data[:65536])
                    progress = True
                    left[caller] = data[sent:]
                    if not left[caller]:
                        del left[caller]
                except BlockingIOError:
                    pass
                except OSError:
                    del left[caller]
            if not progress:
                time.sleep(0.01)
        return sockets
