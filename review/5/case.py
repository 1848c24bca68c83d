"""A searcher runs a request that was smuggled inside the body of another one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import tier as t  # noqa: E402

CODINGS = ("chunked", "gzip, chunked", "gzip", "identity", "chunked, identity")
# RFC 9112, 6.3: without `chunked` at the end, the length of a request's body is
# unknown, and the server must answer 400 and close the connection.
UNKNOWN_LENGTH = CODINGS[2:]


def document():
    return {"version": 3, "routes": [
        {"name": "order", "host": t.HOST, "pathPrefix": "/order/", "routeType": "non_idempotent",
         "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "backend": "orders", "maxAttempts": 2}],
        "services": [{"name": "orders", "healthPath": "/health", "maxConnections": 51,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def case(record):
    runs = {}

    async def run(searcher, request):
        runs[request["id"]] = request["body"]
        record.add("searcher_runs", searcher=searcher.id, request=request["id"], path=request["path"],
                   body=request["body"].decode("latin-1"))
        return t.reply(200, "OK", request["id"], f"{searcher.id}.{request['id']}", b"booked")

    async def send(entry, request_id, coding, body):
        """Sends one request and returns the status of its answer, if any."""
        connection = await t.Connection.open(entry.address)
        record.add("client_sends", request=request_id, transfer_encoding=coding, body=body.decode())
        connection.writer.write(
            f"POST /order/new HTTP/1.1\r\nHost: {t.HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: 4000\r\nTransfer-Encoding: {coding}\r\n\r\n".encode() + body)
        status = None
        try:
            line, _ = await asyncio.wait_for(t.read_head(connection.reader), 2)
            status = int(line.split()[1])
        except t.FAILURES:
            pass
        await asyncio.sleep(0.2)
        connection.close()
        record.add("client_gets", request=request_id, status=status)
        return status

    tier = t.Tier(record, entries=2)
    try:
        await tier.start()
        for n in (1, 2):
            await t.Searcher(tier, "orders", n, "a", run).start()
        await tier.put_config(document())
        for entry in tier.entries:
            await tier.ready(entry)
        await asyncio.sleep(1.5)
        sent, broken = set(), []
        for n, coding in enumerate(CODINGS if t.TROUBLE else CODINGS[:1]):
            request_id, inner_id = f"order-{n}", f"smuggled-{n}"
            inner = (f"POST /order/cancel HTTP/1.1\r\nHost: {t.HOST}\r\nX-Request-Id: {inner_id}\r\n"
                     "X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n").encode()
            body = inner if coding in UNKNOWN_LENGTH else b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)
            sent.add(request_id)
            await send(tier.entries[n % 2], request_id, coding, body)
            if runs.get(request_id, inner) != inner:
                broken.append(request_id)
                record.add("UNASKED", request=request_id, coding=coding, reason="the body was changed")
        for request_id in set(runs) - sent:
            broken.append(request_id)
            record.add("UNASKED", request=request_id, reason="it was the body of another request")
        if "order-0" not in runs:
            raise t.CaseNotRun("the chunked request did not reach a searcher")
        print(f"ran though no client sent it so: {sorted(broken)}")
        return t.BROKEN if broken else t.HELD
    finally:
        await tier.stop()


t.main(__file__, case)
