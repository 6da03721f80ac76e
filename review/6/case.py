"""Discovery takes 1.2 s to answer a call, and a writer is drained and ends. See claim.txt."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world

SLOW = 1.2              # seconds that discovery takes to answer a call
TOLD_AT_LATEST = 6.0    # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE = 1.0 + 0.05      # stop_sending_within_ms, and the protocol's 50 ms
ENDS_AFTER = 10.0       # when the drained writer's process ends


def body(case):
    case.add_worker("s-reader-1", "reader")
    case.add_worker("s-reader-2", "reader")
    case.add_worker("s-writer-1", "writer-a")
    draining = case.add_worker("s-writer-2", "writer-a")
    for worker in case.workers:
        worker.events, worker.event_time = 20, 0.1
    if world.TROUBLE:
        case.agent.delay = SLOW
    router = case.add_router().start()
    first = world.send_request(case.record, router.address, "a000")
    if not first.is_whole or first.status != 200:
        raise RuntimeError("the deployment does not serve without trouble: %s" % first)
    case.until(case.record.now() + 1.0)
    case.agent.put(draining.entry("DRAINING"))
    drains_at = case.record.now()
    clients, has_ended = [], False
    while case.record.now() < drains_at + ENDS_AFTER + 2:
        track = ("member-query", 6000) if len(clients) % 5 else ("schedule-lodge", 12000)
        clients.append(world.Client(case.record, router.address, "b%03d" % len(clients), *track))
        time.sleep(0.2)
        if not has_ended and case.record.now() >= drains_at + ENDS_AFTER:
            has_ended = True
            draining.die()
    for client in clients:
        client.join()
    limit = drains_at + TOLD_AT_LATEST + GRACE
    late = {trace: at for at, trace, _ in draining.sends if at > limit}
    broken = ["%s was sent to a draining worker %.3f s after discovery had the change (allowed: %.2f s)" % (
        trace, at - drains_at, limit - drains_at) for trace, at in sorted(late.items())]
    for client in clients:
        got = client.got
        if got.trace in late and not got.is_whole:
            broken.append("%s, sent there too late, was lost as the drained worker ended: %s" % (got.trace, got))
    return broken


# What was sent, answered and run goes to record.txt in this folder.
world.play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), body)
