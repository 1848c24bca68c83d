"""Bytes after a complete answer that are taken for the answer to the next request.

A faulty searcher sends additional bytes after some of its complete answers.
They arrive late, where the next answer is expected, and carry no request id.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import lab as review  # noqa: E402

ORDERS = 3000
# Of the answers of the faulty searchers, which are half of all.
GARBLED_SHARE = 0.02
ADDITIONAL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

DOCUMENT = {
    "version": 3,
    "routes": [{"name": "r-order", "host": review.HOST, "pathPrefix": "/order/", "routeType": "non_idempotent",
                "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 2, "backend": "portal", "maxAttempts": 2}],
    "services": [review.service("portal", 51)],
    "limits": review.LIMITS}


class FaultySearcher(review.Searcher):
    """Sends additional bytes after some complete answers, late."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.owed = set()

    async def answer(self, line, headers, body, reader, writer):
        if writer in self.owed:
            self.owed.discard(writer)
            self.lab.note(f"{self.id} sends {len(ADDITIONAL)} additional bytes after its last answer")
            writer.write(ADDITIONAL)
        return await super().answer(line, headers, body, reader, writer)

    async def reply(self, run, writer):
        if review.TROUBLE and self.lab.rng.random() < GARBLED_SHARE:
            self.owed.add(writer)
        return await super().reply(run, writer)


async def scenario(lab):
    await lab.start(controls=5, entries=1)
    for number in range(4):
        kind = FaultySearcher if number < 2 else review.Searcher
        await lab.add_searcher("portal", zone=lab.controls[number % 3].zone, kind=kind, slots=6, work_s=0.004)
    await lab.put_config(DOCUMENT)
    await lab.ready()
    connection = review.Connection(lab.entries[0].address)
    await connection.open()
    for _ in range(ORDERS):
        request_id, _ = await lab.call(lab.entries[0], "POST", "/order/new", body=b"valve", deadline_ms=8000,
                                       connection=connection)
        runs = lab.runs.get(request_id, [])
        if len(runs) > 1:
            lab.break_rule(f"TWICE {request_id} ran {len(runs)} times, at {[run.searcher.id for run in runs]}")
    connection.close()


if __name__ == "__main__":
    review.main(scenario)
