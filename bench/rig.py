"""Starts and stops the processes of the benchmarks and end-to-end tests.

    with Rig(build, deployment("lakambini"), instances=8) as rig:
        rig.start()
        answer = rig.query("e1", {"target": "catalogue", "body": {}})

The rig ends only processes that it started, by their ids. All of them are
ended when the `with` block is left, also after an exception or Ctrl-C.
"""

import ctypes
import http.client
import json
import math
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid

# Below the ephemeral port range of Linux, so that no outgoing connection takes
# the port of a process while it restarts.
FIRST_PORT, LAST_PORT = 12000, 32000
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def kill_with_parent():
    """Runs in the child process: the kernel kills it when the rig dies."""
    os.setpgid(0, 0)  # Ctrl-C reaches only the rig, which ends its children.
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


# Hands out free ports in ascending order from a random start.
class PortPool:
    def __init__(self):
        self.next = random.randrange(FIRST_PORT, LAST_PORT - 2000)

    def take(self):
        while True:
            self.next += 1
            if self.next >= LAST_PORT:
                self.next = FIRST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue


# --- deployments -----------------------------------------------------------

MEDIAN_US = 5000
SIGMA = 0.5
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.01, 10


def mean_service_s(median_us):
    """Mean of the lognormal service time, including stragglers."""
    return (median_us / 1e6 * math.exp(SIGMA ** 2 / 2) *
            (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)))


class Target:
    """A group of services, or one service with many replicas."""

    def __init__(self, name, services, replicas, slots, connections, cost_us,
                 order_share=0.0):
        self.name, self.replicas, self.slots = name, replicas, slots
        self.connections, self.cost_us = connections, cost_us
        self.order_share = order_share
        self.median_us = MEDIAN_US
        self.group = services > 1
        self.services = ([f"{name}_{i + 1:02d}" for i in range(services)]
                         if self.group else [name])

    def capacity(self):
        """Queries per second that the slots of each shard sustain."""
        return self.replicas * self.slots / mean_service_s(self.median_us)


class Deployment:
    def __init__(self, name, targets, instances, zone_delay_us,
                 caller_delay_us, coverage_first):
        self.name, self.targets, self.instances = name, targets, instances
        self.zone_delay_us = zone_delay_us
        self.caller_delay_us = caller_delay_us
        self.coverage_first = coverage_first
        self.zones = ["z1", "z2", "z3"]

    def target(self, name):
        return next(t for t in self.targets if t.name == name)


def deployment(name, median_us=MEDIAN_US):
    layout = _deployment(name)
    for target in layout.targets:
        target.median_us = median_us
    return layout


def _deployment(name):
    # Orders, the non-idempotent requests, are assumed to be 5% of the requests
    # to a desk, which is about 85 per second; each order costs two synced
    # commits of the control group.
    if name == "lakambini":
        return Deployment(name, [
            Target("catalogue", 20, 2, 2, 25, 6000),
            Target("ledger", 30, 2, 2, 25, 6000),
            Target("order_desk", 1, 10, 3, 100, 1000, 0.05),
            Target("dispatch_board", 1, 5, 3, 100, 1000, 0.05),
        ], 8, 1000, 3000, True)
    if name == "chinook":
        return Deployment(name, [
            Target("dispatch_desk", 20, 2, 2, 25, 6000),
            Target("billing", 30, 2, 2, 25, 6000),
            Target("client_portal", 1, 4, 6, 50, 1000),
            Target("technician_roster", 1, 3, 6, 50, 1000, 0.05),
        ], 7, 500, 1000, False)
    if name == "small":
        return Deployment(name, [
            Target("catalogue", 4, 2, 2, 25, 6000),
            Target("order_desk", 1, 3, 3, 100, 1000),
        ], 4, 0, 0, True)
    raise ValueError(f"unknown deployment {name}")


# --- processes -------------------------------------------------------------

class Instance:
    def __init__(self, name, zone, control, caller_port, peer_port, folder):
        self.name, self.zone, self.control = name, zone, control
        self.caller_port, self.peer_port = caller_port, peer_port
        self.folder = folder
        self.process = None

    @property
    def address(self):
        return f"127.0.0.1:{self.caller_port}"

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None


class HttpError(Exception):
    pass


def http_call(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, parsed JSON or text); raises HttpError if no response
    is received."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data,
                           {"Content-Type": "application/json",
                            **(headers or {})})
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, text
    except (OSError, http.client.HTTPException) as error:
        raise HttpError(f"{method} {path} at {address}: {error!r}") from error
    finally:
        connection.close()


def wait_until(condition, timeout, description, interval=0.05):
    """Polls until `condition` returns a true value, and returns that value."""
    end = time.monotonic() + timeout
    while True:
        try:
            value = condition()
        except HttpError:
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"timed out after {timeout} s: {description}")
        time.sleep(interval)


class Load:
    """A running load generator."""

    def __init__(self, process, seconds):
        self.process, self.seconds = process, seconds
        self.started = time.monotonic()

    def sleep_until(self, second):
        time.sleep(max(0, self.started + second - time.monotonic()))

    def result(self):
        out, _ = self.process.communicate(timeout=self.seconds + 120)
        if self.process.returncode != 0:
            raise RuntimeError(
                f"load generator ended with {self.process.returncode}")
        return json.loads(out)


class Rig:
    def __init__(self, build, layout, instances=None, control=3, spares=0,
                 decision_rate=0.0, log_level="info", keep=False,
                 extra_searchers=(), defaults=None, shutdown_grace_ms=10000):
        self.build, self.layout, self.keep = build, layout, keep
        self.decision_rate, self.log_level = decision_rate, log_level
        self.shutdown_grace_ms = shutdown_grace_ms
        self.folder = tempfile.mkdtemp(prefix="bilberrycourse-rig-")
        self.ports = PortPool()
        self.processes = []
        self.token = uuid.uuid4().hex
        self._write("token", self.token)
        self._write("key", uuid.uuid4().hex)
        count = instances or layout.instances
        self.instances = {}
        for i in range(count):
            name = f"e{i + 1}"
            self.instances[name] = Instance(
                name, layout.zones[i % len(layout.zones)],
                i < control + spares, self.ports.take(), self.ports.take(),
                os.path.join(self.folder, name))
        names = list(self.instances)
        self.members = names[:control]
        self.spares = names[control:control + spares]
        self.defaults = {
            "median_us": layout.targets[0].median_us, "sigma": SIGMA,
            "straggler_share": STRAGGLER_SHARE,
            "straggler_factor": STRAGGLER_FACTOR,
            # Owners are spread over the zones, so two of three requests cross
            # zones. On loopback the searcher cannot tell the zone of its peer,
            # so it applies the mean of both cases.
            "delay_us": int(layout.zone_delay_us *
                            (len(layout.zones) - 1) / len(layout.zones)),
            **(defaults or {})}
        self.searchers = self._searchers() + list(extra_searchers)
        for searcher in self.searchers:
            searcher.setdefault("port", self.ports.take())
        self.standin_address = f"127.0.0.1:{self.ports.take()}"
        self.standin = None
        self.document = None

    def __enter__(self):
        return self

    def __exit__(self, error_type, *_):
        # `keep` keeps the files of failed runs only.
        self.keep = self.keep and error_type is not None
        self.close()

    # --- files

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def _searchers(self):
        searchers = []
        zones = self.layout.zones
        index = 0
        for target in self.layout.targets:
            for service in target.services:
                for replica in range(target.replicas):
                    searchers.append({
                        "service": service, "replica": f"r{replica + 1}",
                        "availability_zone":
                            zones[(index + replica) % len(zones)],
                        "slots": target.slots,
                        "connection_limit": target.connections,
                        "connection_cost_us": target.cost_us})
                index += 1
        return searchers

    def _settings(self, instance):
        seeds = ",".join(f"127.0.0.1:{i.peer_port}"
                         for i in self.instances.values())
        lines = [
            "[instance]", f"name={instance.name}",
            f"availability_zone={instance.zone}",
            f"role={'entry,control' if instance.control else 'entry'}",
            "[listen]", f"caller={instance.address}",
            f"peer=127.0.0.1:{instance.peer_port}",
            "[peers]", f"seeds={seeds}",
            f"shared_key_file={self.folder}/key",
            "[control]", "group=demo",
            f"initial_members={','.join(self.members)}"]
        if self.spares:
            lines.append(f"spares={','.join(self.spares)}")
        if instance.control:
            lines.append(f"data_dir={instance.folder}")
        lines += [
            "[operator]", f"token_file={self.folder}/token",
            "[log]", f"level={self.log_level}",
            f"decision_rate={self.decision_rate}",
            "[limits]", "max_request_bytes=1048576",
            f"shutdown_grace_ms={self.shutdown_grace_ms}", ""]
        return self._write(f"{instance.name}.ini", "\n".join(lines))

    # --- processes

    def spawn(self, arguments, log, stdout=None):
        with open(os.path.join(self.folder, log), "ab") as file:
            process = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=stdout or file,
                stderr=file, preexec_fn=kill_with_parent)
        self.processes.append(process)
        return process

    def program(self, name):
        path = os.path.join(self.build, name)
        if not os.access(path, os.X_OK):
            raise FileNotFoundError(f"{path} is not built")
        return path

    def start_instance(self, name):
        instance = self.instances[name]
        os.makedirs(instance.folder, exist_ok=True)
        instance.process = self.spawn(
            [self.program("bilberrycourse"), "serve", "--config",
             self._settings(instance)], f"{name}.log")

    def signal_instance(self, name, number):
        process = self.instances[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill_instance(self, name):
        self.signal_instance(name, signal.SIGKILL)
        self.instances[name].process.wait()

    def stop_instance(self, name, timeout=20):
        """Stops the instance gracefully and returns the exit code."""
        self.signal_instance(name, signal.SIGTERM)
        return self.instances[name].process.wait(timeout)

    def start_standins(self, entries=True):
        path = self._write("searchers.json", json.dumps(
            {"defaults": self.defaults, "searchers": self.searchers}))
        addresses = ",".join(i.address for i in self.instances.values())
        self.standin = self.spawn(
            [self.program("standin_searcher"), "--deployment", path,
             "--control", self.standin_address, "--threads", "3",
             "--entries", addresses if entries else ""], "standin.log")
        wait_until(lambda: self.searcher_reports(), 10, "stand-ins started")

    def start(self, policies=None):
        """Starts instances and stand-ins and applies a configuration."""
        for name in self.instances:
            self.start_instance(name)
        self.start_standins()
        self.wait_ready()
        self.wait_version(self.set_config(
            self.make_document(**(policies or {})))["version"])
        self.wait_servers()

    def wait_ready(self, names=None, timeout=30):
        def ready(name):
            code = self.instances[name].process.poll()
            if code is not None:
                raise RuntimeError(f"{name} ended with {code}")
            return self.get(name, "/readyz", 2.0)[0] == 200
        for name in names or self.instances:
            wait_until(lambda n=name: ready(n), timeout, f"{name} ready")

    def wait_version(self, version, timeout=20):
        """Waits until the version is in force at all running instances."""
        for name, instance in self.instances.items():
            if instance.running:
                wait_until(lambda n=name: self.status(n)["config_version"] >=
                           version, timeout, f"version {version} at {name}")

    def wait_servers(self, timeout=30):
        """Waits until all instances know the searchers that are up."""
        up = sum(1 for r in self.searcher_reports() if r["up"])
        for name, instance in self.instances.items():
            if instance.running:
                wait_until(lambda n=name: len(self.status(n).get(
                    "backend_servers", [])) >= up, timeout,
                    f"{name} knows {up} searchers")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 3
        for process in self.processes:
            try:
                process.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
        if not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- requests

    def get(self, name, path, timeout=5.0):
        return http_call(self.instances[name].address, "GET", path,
                         timeout=timeout)

    def status(self, name):
        code, body = self.get(name, "/status", 2.0)
        if code != 200 or not isinstance(body, dict):
            raise HttpError(f"/status of {name}: {code} {body}")
        return body

    def leader(self):
        """Returns the control leader named by the first instance that knows
        one; None if no instance does."""
        for name, instance in self.instances.items():
            if instance.running:
                try:
                    leader = self.status(name).get("leader")
                except HttpError:
                    continue
                if leader in self.instances:
                    return leader
        return None

    def query(self, name, fields, headers=None, timeout=10.0):
        fields = {"deadline_ms": 5000, "caller": "rig",
                  "request_id": uuid.uuid4().hex, **fields}
        return http_call(self.instances[name].address, "POST", "/query",
                         fields, headers, timeout)

    def get_config(self, name):
        code, body = self.get(name, "/config")
        if code != 200:
            raise HttpError(f"/config of {name}: {code} {body}")
        return body

    def post_config(self, name, document, base_version, change_id=None,
                    reason="rig", timeout=5.0):
        return http_call(
            self.instances[name].address, "POST", "/config",
            {"change_id": change_id or uuid.uuid4().hex,
             "base_version": base_version, "author": "rig", "reason": reason,
             "document": document},
            {"Authorization": f"Bearer {self.token}"}, timeout)

    def set_config(self, document, timeout=30):
        """Submits the document until it is accepted.

        All submissions on one base version share a change id, so that a retry
        cannot apply the change twice.
        """
        names = [n for n, i in self.instances.items() if i.running]
        end = time.monotonic() + timeout
        base, change_id = None, None
        last = None
        for attempt in range(10000):
            if time.monotonic() > end:
                raise TimeoutError(f"no configuration accepted: {last}")
            name = names[attempt % len(names)]
            try:
                if base is None:
                    base = self.get_config(name)["version"]
                    change_id = uuid.uuid4().hex
                code, body = self.post_config(name, document, base, change_id)
                last = (code, body)
                if code == 200:
                    self.document = document
                    return body
                if code == 409:
                    base = None
                elif code in (401, 422):
                    raise RuntimeError(f"configuration refused: {last}")
            except HttpError as error:
                last = error
            time.sleep(0.1)
        raise TimeoutError("unreachable")

    def make_document(self, **policy):
        """Returns the configuration of the deployment; `policy` overrides
        defaults."""
        common = {"default_deadline_ms": 1000,
                  "coverage_first": self.layout.coverage_first, **policy}
        services, groups = {}, {}
        for target in self.layout.targets:
            for service in target.services:
                services[service] = {}
            if target.group:
                groups[target.name] = {"services": list(target.services)}
        return {"defaults": common, "services": services, "groups": groups,
                "exceptions": []}

    # --- stand-ins

    def control(self, action, names=None, **fields):
        command = {"action": action, **fields}
        if names is not None:
            command["names"] = list(names)
        code, body = http_call(self.standin_address, "POST", "/control",
                               command)
        if code != 200:
            raise RuntimeError(f"stand-in control: {body}")

    def counters(self):
        return http_call(self.standin_address, "GET", "/counters")[1]

    def searcher_reports(self):
        return http_call(self.standin_address, "GET", "/searchers")[1]

    def tokens(self):
        return http_call(self.standin_address, "GET", "/tokens",
                         timeout=30)[1]

    @staticmethod
    def searcher_name(searcher):
        return (f"{searcher['service']}/{searcher.get('shard', 0)}/"
                f"{searcher['replica']}")

    def searcher_names(self, condition=lambda searcher: True):
        return [self.searcher_name(s) for s in self.searchers if condition(s)]

    # --- load

    def stream(self, target, rate=None, load=0.35, **fields):
        """Describes a Poisson stream at `rate` or at the share `load` of the
        slot capacity of the target."""
        return {"target": target.name,
                "rate": rate or load * target.capacity(),
                "callers": {f"caller_{i}": 1 for i in range(1, 9)},
                "non_idempotent_share": target.order_share, **fields}

    def start_load(self, streams, seconds, direct=False, through=None,
                   **fields):
        """Starts a load generator.

        It sends to the instances in `through`, by default to all; `direct`
        sends to the searchers without the tier, as a baseline.
        """
        load = {"seconds": seconds, "streams": streams, "threads": 2,
                "seed": random.randrange(1 << 30),
                "caller_delay_us": self.layout.caller_delay_us, **fields}
        if direct:
            load["threads"] = 3
            load["direct_connections"] = min(
                t.connections for t in self.layout.targets)
            load["direct"] = {
                t.name: [[f"127.0.0.1:{s['port']}" for s in self.searchers
                          if s["service"] == service]
                         for service in t.services]
                for t in self.layout.targets}
        else:
            load["entries"] = {n: self.instances[n].address
                               for n in through or self.instances}
        path = self._write(f"load-{len(self.processes)}.json",
                           json.dumps(load))
        return Load(self.spawn([self.program("load_generator"), "--load",
                                path], "load.log", subprocess.PIPE), seconds)

    def usage(self):
        """CPU seconds and resident megabytes of the running instances."""
        ticks = os.sysconf("SC_CLK_TCK")
        page = os.sysconf("SC_PAGE_SIZE")
        cpu, memory = {}, {}
        for name, instance in self.instances.items():
            if instance.running:
                with open(f"/proc/{instance.process.pid}/stat",
                          encoding="utf-8") as file:
                    fields = file.read().rsplit(")", 1)[1].split()
                cpu[name] = (int(fields[11]) + int(fields[12])) / ticks
                memory[name] = int(fields[21]) * page / 1e6
        return cpu, memory


class Background:
    """Calls `step` repeatedly on a thread and collects its exceptions."""

    def __init__(self, step, interval):
        self.stopped = threading.Event()
        self.errors = []
        self.thread = threading.Thread(target=self._run, args=(step, interval),
                                       daemon=True)
        self.thread.start()

    def _run(self, step, interval):
        while not self.stopped.wait(interval):
            try:
                step()
            except Exception as error:  # Returned by stop().
                self.errors.append(repr(error))

    def stop(self):
        self.stopped.set()
        self.thread.join()
        return self.errors
