"""Stand-ins of the platform, for the cases of the review: discovery, workers, clients, and the platform that starts the
router by the command `run` of deploy/balancer.toml. They follow PROTOCOL.md; where a page is silent they do the plain
thing. Everything listens and connects on 127.0.0.1 with free ports."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; this is not a verdict."""


class Record:
    """What was sent, answered and run, one line an event, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, what, **fields):
        at = (time.monotonic() - START) * 1000
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:10.1f} {what} {text}\n")
        self.file.flush()


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def chunk(data):
    if isinstance(data, str):
        data = data.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer(status, fields=(), body=b""):
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n" if status.split()[0] != "204" else f"HTTP/1.1 {status}\r\n"
    return (head + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n").encode() + body


class Discovery:
    """The agent at a router's discovery address: it answers at once with what it has been sent."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.entries = {}
        self.changes = []
        self.watches = set()
        self.answer_delay = 0.0
        self.told_at = {}
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def set(self, worker, **fields):
        """Discovery has a change: it is pushed to all watches."""
        entry = self.entries.setdefault(worker.id, worker.entry())
        entry.update(fields)
        self.version += 1
        self.changes.append((self.version, dict(entry)))
        self.told_at[worker.id] = now()
        self.record.write("discovery-has", version=self.version, server=worker.id, state=entry["state"])
        for writer in list(self.watches):
            self.push(writer, {"version": self.version, "full": False, "servers": [entry]})

    def full(self):
        servers = [dict(e) for e in self.entries.values() if e["state"] != "DELETED"]
        return {"version": self.version, "full": True, "servers": servers}

    def push(self, writer, line):
        try:
            writer.write(chunk(json.dumps(line) + "\n"))
        except ConnectionError:
            self.watches.discard(writer)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                self.calls += 1
                self.record.write("discovery-called", call=head[0].split()[1])
                if self.answer_delay:
                    closed = asyncio.ensure_future(reader.read(1))
                    done, _ = await asyncio.wait([closed], timeout=self.answer_delay)
                    if done:
                        self.record.write("discovery-call-given-up-by-router")
                        return
                    closed.cancel()
                    await asyncio.sleep(0)
                target = head[0].split()[1]
                if "watch=1" not in target:
                    writer.write(answer("200 OK", body=json.dumps(self.full()).encode()))
                    continue
                after = int(target.split("after=")[1].split("&")[0])
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")
                if after <= 0 or after > self.version:
                    self.push(writer, self.full())
                else:
                    changed = {e["id"]: e for v, e in self.changes if v > after}
                    self.push(writer, {"version": self.version, "full": False, "servers": list(changed.values())})
                self.record.write("discovery-answered", after=after, version=self.version)
                self.watches.add(writer)
                while True:
                    await asyncio.sleep(2)
                    writer.write(chunk("\n"))
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Fleet:
    """What the workers have in common: which ids clients sent, and where states wait."""

    def __init__(self, record):
        self.record = record
        self.sent = set()
        self.states = {}
        self.places = {}
        self.reading = set()
        self.ran = {}
        self.cut = set()
        self.workers = []


class Worker:
    """A reader or a writer that is always quick enough, and does what PROTOCOL.md says."""

    def __init__(self, fleet, name, kind, role, zone="east", cell=0):
        self.fleet, self.id, self.kind, self.role, self.zone, self.cell = fleet, name, kind, role, zone, cell
        self.read_s = 0.05
        self.first_token_s = 0.05
        self.gap_s = 0.02
        self.events = 6
        self.reports = False
        self.at_once = 1000
        self.running = 0
        self.on_attempt = None
        self.connections, self.tasks = set(), set()
        fleet.workers.append(self)

    async def start(self):
        self.slots = asyncio.Semaphore(self.at_once)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def die(self):
        """The process dies: it resets its connections and refuses new ones."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def back(self):
        """The process is back at its address, with nothing held and nothing running."""
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)

    def entry(self):
        return {"id": self.id, "addr": self.address, "zone": self.zone, "kind": self.kind, "cell": self.cell,
                "state": "SERVING", "weight": 1.0, "started_ms": 0}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while head := await read_head(reader):
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self.call(line, fields, body, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def call(self, line, fields, body, reader, writer):
        method, target, _ = line.split()
        record, fleet = self.fleet.record, self.fleet
        if target in ("/alive", "/metrics/load"):
            return writer.write(answer("200 OK", body=b"ok"))
        if target.startswith("/internal/reservations/"):
            request = target.rsplit("/", 1)[1]
            if method == "DELETE":
                record.write("release", at=self.id, id=request)
                fleet.states.pop(request, None)
                fleet.places.pop(request, None)
                return writer.write(answer("204 No Content"))
            record.write("reserve", at=self.id, id=request)
            if self.role != "write":
                return writer.write(answer("404 Not Found"))
            if request not in fleet.reading:
                await asyncio.sleep(0.3)
                return writer.write(answer("204 No Content"))
            fleet.places[request] = self.id
            return writer.write(answer("200 OK"))
        request = fields.get("x-trace-id")
        if request is None:
            return writer.write(answer("404 Not Found"))
        if request not in fleet.sent:
            record.write("unknown-id", at=self.id, id=request)
            return writer.write(answer("400 Bad Request"))
        record.write("attempt", at=self.id, role=self.role, id=request, bytes=len(body),
                     left_ms=fields.get("x-expires-in-ms"))
        if self.on_attempt:
            self.on_attempt(self, request)
        async with self.slots:
            if self.role == "read":
                fleet.reading.add(request)
                try:
                    await asyncio.sleep(self.read_s)
                finally:
                    fleet.reading.discard(request)
                fleet.states[request] = self.id
                record.write("read-done", at=self.id, id=request)
                return writer.write(answer("202 Accepted", body=b'{"cached_tokens":0}'))
            if fleet.states.pop(request, None) is None:
                return writer.write(answer("410 Gone", [("x-never-ran", "1")]))
            fleet.places.pop(request, None)
            fleet.ran[request] = fleet.ran.get(request, 0) + 1
            record.write("run", at=self.id, id=request)
            await self.stream(request, reader, writer)

    async def before_event(self):
        """For workers that stand still."""

    async def stream(self, request, reader, writer):
        await asyncio.sleep(self.first_token_s)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
        for n in range(self.events):
            if reader.at_eof() or writer.transport.is_closing():
                # This process runs and has more to say: the other end has ended the connection.
                self.fleet.record.write("stream-ended-by-router", at=self.id, id=request, events=n)
                self.fleet.cut.add(request)
                raise ConnectionResetError
            await self.before_event()
            writer.write(chunk(event(f"{request}-{n} ")))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        await self.before_event()
        writer.write(chunk(event("", "stop")) + chunk(usage()) + chunk("data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()
        self.fleet.record.write("stream-done", at=self.id, id=request)


def event(text, finish=None):
    return "data: " + json.dumps({"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}]}) + "\n\n"


def usage():
    return 'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":10}}\n\n'


def request_bytes(fleet, request, qos, expires_ms, text="tell me about my balance"):
    """A client's request, in the form of PROTOCOL.md."""
    fleet.sent.add(request)
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 40,
                       "messages": [{"role": "user", "content": text}]}).encode()
    tokens = len(text) // 4 + 1
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {request}\r\nX-Qos: {qos}\r\n"
            f"X-Object: {request[::-1]}\r\nX-Expires-In-Ms: {int(expires_ms)}\r\n"
            f"X-Props: prompt_len={tokens},prefix_len=0,max_out=40\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Reply:
    """An answer as a client sees it. `status` is 0 if the connection ended without one."""

    def __init__(self):
        self.status, self.fields, self.body, self.whole = 0, {}, b"", False

    def __str__(self):
        kind = "whole" if self.whole else "cut"
        return f"{self.status or 'no answer'} ({kind}, {len(self.body)} bytes)"


async def read_reply(reader):
    reply = Reply()
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return reply
            status = int(head[0].split()[1])
            if status >= 200:
                break
        reply.status, reply.fields = status, head[1]
        if reply.fields.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    reply.whole = True
                    return reply
                reply.body += await reader.readexactly(size)
                await reader.readexactly(2)
        reply.body = await reader.readexactly(int(reply.fields.get("content-length", 0)))
        reply.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return reply


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


def reply_of(task):
    """The reply that a task got; no answer, if the client still waits."""
    return task.result() if task.done() else Reply()


async def ask(fleet, address, request, qos, expires_ms, text="tell me about my balance"):
    """One request on a connection of its own; returns the reply."""
    try:
        reader, writer = await connect(address)
    except OSError:
        return Reply()
    try:
        data = request_bytes(fleet, request, qos, expires_ms, text)
        fleet.record.write("request", id=request, qos=qos, bytes=len(data), expires_ms=int(expires_ms))
        writer.write(data)
        reply = await read_reply(reader)
        fleet.record.write("answer", id=request, reply=reply)
        return reply
    except ConnectionError:
        return Reply()
    finally:
        writer.close()


def config(discovery, fleet, listen, classes, **changes):
    """A configuration file in the form of DEPLOY.md, with the settings of a small deployment."""
    kinds, roles = [], []
    for worker in fleet.workers:
        if worker.kind not in kinds:
            kinds.append(worker.kind)
            roles.append(worker.role)
    full = discovery.full()
    root = {
        "name": "n1", "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": full,
        "settings": {
            "balancers": 1, "discovery": "automatic", "family": "twostage", "kinds": kinds,
            "failure_domains": sorted({w.zone for w in fleet.workers}),
            "caps": {"cancel": True, "conn_idle_ms": 15000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                     "dial_timeout_ms": 250.0, "max_attempts": 6, "max_open": 20000, "max_retry_after_ms": 500.0,
                     "may_tell": False, "probing": True, "retry_after": True, "second_copies": False,
                     "streams_per_conn": 1},
            "classes": classes,
            "clients": {"marks_retry": False}, "counted_by": "work",
            "family_info": {"ahead": True, "aim_us_per_1000_prompt_tokens": [40000.0 for _ in classes],
                            "far_price": 0.04, "kind_memory_tokens": [250000 for _ in kinds], "kind_role": roles,
                            "pin_limit_ms": 1000.0, "resume": False, "token_aim_ms": [60.0 for _ in classes],
                            "writers_read": False},
            "invariants": {"answer_slack_ms": 8.0, "cold_share": 0.27, "fall_ms": 1000.0, "fall_multiple": 2.5,
                           "must_ask_in_ms": 10000.0, "ramp_time_ms": 14000.0, "stop_sending_within_ms": 1000.0},
            "prices": {}, "report": {"columns": [], "how": "none"}, "round_ms": 2.0, "position": 0, "tenants": [],
            "tier": 0, "tiers": ["west-fleet"], "weights": "none", "zone": 0,
        },
    }
    for path, value in changes.items():
        place = root
        *parents, last = path.split("__")
        for name in parents:
            place = place[name]
        place[last] = value
    return root


def request_class(name, effect, aim_ms, limit_ms, worth):
    return {"name": name, "idempotency": effect, "dedup_scope": "all", "key_ttl_ms": 5000.0, "on_time_ms": aim_ms,
            "hard_limit_ms": limit_ms, "late_worth": 0.2, "stream": True, "worth": worth}


# The two tracks of lautoka-west.
CLASSES = [request_class("member-query", "pure", 1200.0, 6000.0, 1.0),
           request_class("schedule-lodge", "side_effect", 2500.0, 12000.0, 3.0)]


class Router:
    """One real router, started by /bin/sh -c from the root, as DEPLOY.md says."""

    def __init__(self, record, make_config):
        self.record, self.make_config = record, make_config

    async def start(self, must_be_up=True):
        probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        self.folder = tempfile.mkdtemp(prefix="tideroute-review-")
        self.path = os.path.join(self.folder, "config.json")
        self.write_config(self.make_config(self.address))
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        tmp = os.path.join(self.folder, "tmp")
        os.mkdir(tmp)
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": tmp, "EDGE_NAME": "n1",
               "EDGE_LISTEN": self.address, "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": self.path}
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.pid = self.process.pid
        if not must_be_up:
            return
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun("the router ended at its start")
            if await self.is_up():
                self.record.write("router-up", pid=self.pid, address=self.address)
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready within 15 s")

    def write_config(self, root):
        self.config = root
        with open(self.path + ".new", "w") as file:
            json.dump(root, file)
        os.rename(self.path + ".new", self.path)

    async def is_up(self):
        try:
            reader, writer = await connect(self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
            return (await read_reply(reader)).status == 200
        except ConnectionError:
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record.write("signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def anonymous_kb(self):
        """The process's anonymous memory: what it has allocated, without program and libraries."""
        try:
            with open(f"/proc/{self.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1])
        except OSError:
            pass  # the process has ended
        return 0

    async def stop(self):
        if getattr(self, "process", None) and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if getattr(self, "log", None):
            self.log.close()
            with open(self.log.name, errors="replace") as file:
                for line in file.read().splitlines()[:200]:
                    self.record.write("router-log", line=line[:300])
        if getattr(self, "folder", None):
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder, limit_s=110):
    """Plays `case(record)`, which returns a list of broken rules, and exits with 1, 0 or 2."""
    record = Record(folder)

    async def bounded():
        return await asyncio.wait_for(case(record), limit_s)

    try:
        broken = asyncio.run(bounded())
    except CannotRun as problem:
        record.write("cannot-run", why=problem)
        print(f"cannot run: {problem}")
        sys.exit(2)
    except Exception as problem:  # noqa: BLE001 - any fault of the case itself is no verdict
        record.write("cannot-run", why=repr(problem))
        print(f"cannot run: {problem!r}")
        sys.exit(2)
    for text in broken:
        record.write("BROKEN", rule=text)
        print(f"broken: {text}")
    if not broken:
        record.write("held")
        print("held")
    sys.exit(1 if broken else 0)
