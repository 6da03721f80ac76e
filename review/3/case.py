"""Hundreds of requests of nearly the largest body arrive at once. The router must stay inside memory_mb."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

MEMORY_MB = 80  # DAYS: 32 to 192 MB
SOCKETS = 1024  # DAYS: 256 to 1,024 descriptors
AT_ONCE = SOCKETS // 3  # DAYS: clients hold at most a third of the descriptors for requests
TEXT_BYTES = 261_900 if stand.TROUBLE else 20_000  # PROTOCOL: a body holds at most 256 KiB


async def case(record):
    fleet, discovery = stand.Fleet(record), stand.Discovery(record)
    for n in range(4):
        reader = stand.Worker(fleet, f"s-reader{n}", "reader", "read", cell=n // 2)
        reader.at_once, reader.read_s = 8, 1.0
    for n in range(4):
        stand.Worker(fleet, f"s-writer{n}", "writer-a", "write", cell=n // 2)
    for worker in fleet.workers:
        await worker.start()
    await discovery.start()
    for worker in fleet.workers:
        discovery.set(worker)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    router = stand.Router(record, lambda listen: stand.config(discovery, fleet, listen, stand.CLASSES, limits=limits))
    peak_kb, killed = 0, False
    try:
        await router.start()
        record.write("memory", anonymous_kb=router.anonymous_kb(), limit_kb=MEMORY_MB << 10)
        text = "x" * TEXT_BYTES
        requests = [asyncio.ensure_future(stand.ask(fleet, router.address, f"{n:016x}", "schedule-lodge", 12000, text))
                    for n in range(AT_ONCE)]
        began = stand.now()
        while stand.now() < began + 14 and not all(request.done() for request in requests):
            # As the platform does: over memory_mb the router is killed. Program and libraries are left out here.
            peak_kb = max(peak_kb, router.anonymous_kb())
            if not killed and peak_kb > MEMORY_MB << 10:
                killed = True
                record.write("memory", anonymous_kb=peak_kb, limit_kb=MEMORY_MB << 10)
                router.signal(stand.signal.SIGKILL)
            await asyncio.sleep(0.005)
        await asyncio.wait(requests, timeout=5)
    finally:
        await router.stop()
    replies = [stand.reply_of(request) for request in requests]
    unanswered = sum(1 for reply in replies if reply.status == 0)
    record.write("summary", requests=len(replies), unanswered=unanswered, peak_kb=peak_kb)
    if not killed:
        return []
    return [f"memory: {peak_kb} KB of {MEMORY_MB << 10} KB allowed, so the router is killed and has crashed; "
            f"{unanswered} of {len(replies)} requests got no answer"]


if __name__ == "__main__":
    stand.play(case, HERE)
