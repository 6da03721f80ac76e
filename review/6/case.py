"""A worker that crashes and comes back, and an endpoint list that comes late. See claim.txt.

VARIANT=outage plays the same fault with an outage of discovery in place of the late list."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world

COMES_BACK = 2.4    # "die once ... and come back cold after 2.4 to 7.8 s"
ADD = 1.1           # add_s of the site file: 1.1 to 2.4 s from a start to the list
ADDED_DELAY = 9.8   # "The server list runs 3.4 to 9.8 s further behind"
NOTICE = 1.2        # notice_s of the site file: 1.2 to 4.8 s
OUTAGE = 8.0        # "discovery is down for 8 s"
VARIANT = os.environ.get("VARIANT", "late")


def body(case):
    case.add_worker("s-reader-1", "reader")
    case.add_worker("s-reader-2", "reader")
    writer = case.add_worker("s-writer-1", "writer-a")
    router = case.add_router().start()
    case.agent.gap = 0.02  # the head of an answer and its first line come in two pieces
    first = world.send_request(case.record, router.address, "a000", patience=30)
    if not first.is_whole or first.status != 200:
        raise RuntimeError("the deployment does not serve without trouble: %s" % first)

    writer.events, writer.event_time = 48, 0.3  # 192 tokens in 14.4 s, at 75 ms a token
    died_at = case.record.now()
    writer.die()
    if VARIANT == "outage" and world.TROUBLE:
        case.until(died_at + NOTICE)
        case.agent.go_down()
    case.until(died_at + COMES_BACK)
    writer.restart()
    clients = [world.Client(case.record, router.address, "b%03d" % number, patience=30) for number in range(2)]
    if VARIANT == "late" and world.TROUBLE:
        case.until(died_at + COMES_BACK + ADD + ADDED_DELAY)
        case.agent.put(writer.entry())
    else:
        case.until(died_at + COMES_BACK + ADD)
        case.agent.put(writer.entry())
    if VARIANT == "outage" and world.TROUBLE:
        case.until(died_at + NOTICE + OUTAGE)
        case.agent.come_back()
    for client in clients:
        client.join()
    case.until(case.record.now() + 1.0)
    broken = []
    for client in clients:
        got = client.got
        if got.status == 200 and not got.is_whole and got.trace in writer.cut:
            broken.append("%s: the router cut off a stream while its events still came: %s" % (got.trace, got))
    if not any(client.got.status == 200 for client in clients):
        raise RuntimeError("no stream began at the restarted worker")
    return broken


world.play(__file__, body)
