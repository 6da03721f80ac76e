"""Good streams that carry a load report that can't be read. See claim.txt."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world

READABLE = b"TEXT inflight=7, queue=2, util=0.61"    # the protocol page's example
UNREADABLE = b"TEXT inflight=\xff\xfe, queue=\x80"   # no number, and no text either


class ReportingWriter(world.Worker):
    """A writer whose single-use streams carry a load report."""

    def decode(self, connection, trace, fields):
        if fields.get("x-qos") != "schedule-lodge":
            return super().decode(connection, trace, fields)
        if self.states.free(trace, "fetched by " + self.name) is None:
            connection.sendall(world.answer(410, b"", [("X-Never-Ran", "1")]))
            return True
        report = UNREADABLE if world.TROUBLE else READABLE
        self.record(self.name, "%s: runs, with the load report %r" % (trace, report))
        time.sleep(self.first_token)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEndpoint-Load-Metrics: " + report +
                           b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        return self.stream(connection, trace)


def body(case):
    case.add_worker("s-reader-1", "reader")
    case.add_worker("s-reader-2", "reader")
    writers = []
    for number in (1, 2):
        writer = ReportingWriter(case.record, case.states, "s-writer-%d" % number, "writer-a", "saweni", 0).start()
        case.workers.append(writer)
        case.agent.entries[writer.name] = writer.entry()
        writers.append(writer)
    router = case.add_router().start()
    broken, others = [], 0
    for number in range(20):
        is_single_use = number % 5 == 4
        track = ("schedule-lodge", 12000) if is_single_use else ("member-query", 6000)
        got = world.send_request(case.record, router.address, "b%03d" % number, *track)
        if got.status == 200 and got.is_whole:
            others += not is_single_use
            continue
        time.sleep(0.5)  # the worker sees the end of its connection with its next event
        cut = [writer.name for writer in writers if got.trace in writer.cut]
        if cut:
            broken.append("%s: the router cut off a good stream of %s while its events still came, and answered %s" % (
                got.trace, cut[0], got.status))
    if others < 12:
        raise RuntimeError("only %d of 16 requests without the report were served" % others)
    return broken


# What was sent, answered and run goes to record.txt in this folder.
world.play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), body)
