"""A stream with one chunk whose size does not fit. See claim.txt."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world

ENDS_WITHIN = 5.0   # "provided the client's connection ends within 5 s and without the last chunk"
SAID = 0x4000       # the size that the chunk is said to have


class SpoiltWriter(world.Worker):
    spoilt_at = None

    def send_chunk(self, connection, data):
        if world.TROUBLE and self.spoilt_at is None and b"t00003" in data:
            connection.sendall(b"%x\r\n%s\r\n" % (SAID, data))
            self.spoilt_at = self.record(self.name, "spoilt: a chunk of %d bytes is said to have %d" % (len(data), SAID))
            return
        world.Worker.send_chunk(connection, data)


def body(case):
    case.add_worker("s-reader-1", "reader")
    case.add_worker("s-reader-2", "reader")
    writer = SpoiltWriter(case.record, case.states, "s-writer-1", "writer-a", "saweni", 0).start()
    writer.events, writer.event_time = 120, 0.1
    case.workers.append(writer)
    case.agent.entries[writer.name] = writer.entry()
    router = case.add_router().start()
    got = world.send_request(case.record, router.address, "b000", patience=40)
    if got.status != 200:
        raise RuntimeError("no stream began: %s" % got)
    case.record("client", "the last bytes that arrived: %r" % got.body[-300:])
    if writer.spoilt_at is None:
        return [] if got.is_whole else ["the stream was not whole: %s" % got]
    broken = []
    lasted = got.ended_at - writer.spoilt_at
    foreign = sum(1 for line in got.body.split(b"\n") if line and not line.startswith((b"data:", b":")))
    case.record("client", "the connection ended %.3f s after the spoilt chunk; %d lines are no events" % (lasted, foreign))
    if got.is_whole:
        broken.append("the spoilt stream was ended with the last chunk")
    if lasted > ENDS_WITHIN:
        broken.append("the client's connection ended %.3f s after the stream was spoilt (allowed: %.1f s), and %d lines "
                      "that are no events were passed on" % (lasted, ENDS_WITHIN, foreign))
    return broken


# What was sent, answered and run goes to record.txt in this folder.
world.play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), body)
