"""Discovery takes 1.2 s to answer a watch. See claim.txt."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world

SLOW = 1.2              # seconds that discovery takes to answer a call
TOLD_AT_LATEST = 6.0    # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE = 1.0 + 0.05      # stop_sending_within_ms, and the protocol's 50 ms


def body(case):
    case.add_worker("s-reader-1", "reader")
    draining = case.add_worker("s-reader-2", "reader")
    case.add_worker("s-writer-1", "writer-a")
    case.add_worker("s-writer-2", "writer-b")
    if world.TROUBLE:
        case.agent.delay = SLOW
    router = case.add_router().start()
    first = world.send_request(case.record, router.address, "a000")
    if not first.is_whole or first.status != 200:
        raise RuntimeError("the deployment does not serve without trouble: %s" % first)
    case.until(case.record.now() + 1.0)
    case.agent.put(draining.entry("DRAINING"))
    drains_at = case.record.now()
    clients = []
    while case.record.now() < drains_at + 16:
        clients.append(world.Client(case.record, router.address, "b%03d" % len(clients)))
        time.sleep(0.25)
    for client in clients:
        client.join()
    limit = drains_at + TOLD_AT_LATEST + GRACE
    late = [send for send in draining.sends if send[0] > limit]
    return ["%s was sent to a draining worker %.3f s after discovery had the change (allowed: %.2f s)" % (
        trace, at - drains_at, limit - drains_at) for at, trace, _ in late]


world.play(__file__, body)
