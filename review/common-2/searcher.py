"""Stand-in searchers, as PROTOCOL.md describes a sound one.

    desk = Searcher(deployment, "desk-old", address_index=0)
    desk.stop()          # ends without a word, as a crash does

It registers with the control machines that run, echoes X-Request-Id, signs its
answers, answers 421 if another searcher is named, and notes each run.
"""
import json
import random
import socketserver
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler

from deployment import call

HEARTBEAT_S = 1.2


class Searcher:
    def __init__(self, deployment, service, address_index, zone="a", slots=6, work_s=0.01):
        self.deployment, self.service, self.zone, self.slots, self.work_s = deployment, service, zone, slots, work_s
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.born, self.sequence = int(time.time() * 1000), 0
        self.runs = []  # (time, request id)
        searcher = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                searcher.handle(self)

            do_GET = do_POST = handle_any

            def log_message(self, *unused):
                pass

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = daemon_threads = True

            def handle_error(self, *unused):
                pass  # The caller has closed the connection.

        self.server = Server((f"{deployment.net}.{100 + address_index}", deployment.ports["frontend"]), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.ended = threading.Event()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.ended.is_set():
            self.heartbeat("ready")
            self.ended.wait(HEARTBEAT_S)

    def heartbeat(self, state, tries=4):
        self.sequence += 1
        body = json.dumps({"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": state, "warmupLeftMs": 0, "sequence": self.sequence,
                           "born": self.born}).encode()
        running = [core for core in self.deployment.cores() if core.running()]
        random.shuffle(running)
        for core in running[:tries]:
            if call(self.deployment.control(core), "PUT", f"/v1/instances/{self.id}", body)[0] == 200:
                return True
        return False

    def handle(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        request_id = handler.headers.get("X-Request-Id", "")
        expected = handler.headers.get("X-Expected-Instance")
        if expected is not None and expected != self.id:
            return self.answer(handler, 421, request_id, b"", executed=False)
        self.runs.append((time.monotonic(), request_id))
        self.deployment.note(ran=request_id, service=self.service, searcher=self.id)
        time.sleep(self.work_s)
        self.answer(handler, 200, request_id, self.service.encode() + b" " + body)

    @staticmethod
    def answer(handler, status, request_id, body, executed=True):
        handler.send_response(status)
        handler.send_header("X-Request-Id", request_id)
        if executed:
            handler.send_header("X-Server-Stamp", uuid.uuid4().hex)
        else:
            handler.send_header("X-Not-Executed", "1")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def stop(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()
