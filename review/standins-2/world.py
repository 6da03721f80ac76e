"""Stand-ins for the cases of the second review: a discovery agent, workers (readers and writers), clients, and a starter for
the router of deploy/balancer.toml. Python's standard library only. All addresses are loopback addresses, all ports are free
ports, and the clock is the real one.

The stand-ins follow the platform's protocol page. A case changes one thing through their public attributes."""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes the record of a play: one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, what):
        at = self.now()
        with self.lock:
            if not self.file.closed:
                self.file.write("%9.4f %-12s %s\n" % (at, who, what))
                self.file.flush()
        return at


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def command_of_deploy_file(name):
    """Returns a command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == name:
                return value.strip().strip('"')
    raise RuntimeError("deploy/balancer.toml has no " + name)


def reset(connection):
    """Closes a connection as a process that dies does: with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    close(connection)


def close(connection):
    try:
        connection.close()
    except OSError:
        pass


class Reader:
    """Reads HTTP/1.1 messages from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError("the peer closed the connection")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def exactly(self, length):
        while len(self.buffer) < length:
            self.fill()
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def head(self):
        first = self.line().decode("latin-1")
        fields = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, fields
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()

    def message(self):
        """Returns the first line, the fields and the body of a request."""
        first, fields = self.head()
        body = b""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                chunk = self.chunk()
                if chunk is None:
                    break
                body += chunk
        elif "content-length" in fields:
            body = self.exactly(int(fields["content-length"]))
        return first, fields, body

    def chunk(self):
        """Returns the next chunk of a body; None for the last one."""
        size = int(self.line().split(b";")[0], 16)
        if size == 0:
            while self.line():
                pass
            return None
        data = self.exactly(size)
        self.exactly(2)
        return data


def answer(status, body=b"", fields=()):
    head = ["HTTP/1.1 %d X" % status]
    head += ["%s: %s" % field for field in fields]
    if status != 204:
        head.append("Content-Length: %d" % len(body))
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Server:
    """A listener with one thread for each connection. `die` acts as the death of a process."""

    def __init__(self, record, name, host="127.0.0.1"):
        self.record, self.name, self.host = record, name, host
        self.port = free_port(host)
        self.listener = None
        self.connections = set()
        self.lock = threading.Lock()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(256)
        self.listener = listener
        threading.Thread(target=self.accept_all, args=(listener,), daemon=True).start()
        return self

    def accept_all(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                if self.listener is not listener:
                    reset(connection)
                    return
                self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_until_end, args=(connection,), daemon=True).start()

    def serve_until_end(self, connection):
        try:
            self.serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            close(connection)

    def die(self):
        with self.lock:
            listener, self.listener = self.listener, None
            connections, self.connections = self.connections, set()
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            close(listener)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            close(connection)


class Agent(Server):
    """The discovery agent on the router's machine. `delay` is the time it takes to answer a call, `is_down` makes it silent,
    and `gap` is the pause between the head of an answer and its first line."""

    def __init__(self, record, name="discovery"):
        super().__init__(record, name)
        self.version = 41
        self.entries = {}
        self.changed_at = {}
        self.is_down = False
        self.delay = 0.0
        self.gap = 0.0
        self.news = threading.Condition()

    def put(self, entry, version=True):
        """Adds or changes an entry of the list."""
        with self.news:
            if version:
                self.version += 1
            self.entries[entry["id"]] = dict(entry)
            self.changed_at[entry["id"]] = self.version
            self.news.notify_all()
        self.record(self.name, "version %d: %s is %s, started %d" % (
            self.version, entry["id"], entry["state"], entry["started_ms"]))

    def full(self):
        entries = [entry for entry in self.entries.values() if entry["state"] != "DELETED"]
        return {"version": self.version, "full": True, "servers": entries}

    def changes(self, after):
        entries = [self.entries[name] for name, at in self.changed_at.items() if at > after]
        return {"version": self.version, "full": False, "servers": entries}

    def go_down(self):
        self.is_down = True
        self.record(self.name, "is down: silent from now on")

    def come_back(self):
        with self.news:
            self.is_down = False
            self.news.notify_all()
        self.record(self.name, "is back")

    def wait_while_down(self):
        with self.news:
            while self.is_down:
                self.news.wait(0.05)

    def serve(self, connection):
        reader = Reader(connection)
        while True:
            first, _, _ = reader.message()
            target = first.split(" ")[1]
            called_at = self.record(self.name, "call " + target)
            if self.delay:
                time.sleep(self.delay)
            self.wait_while_down()
            if "watch=1" not in target:
                body = json.dumps(self.full()).encode()
                connection.sendall(answer(200, body, [("Content-Type", "application/json")]))
                continue
            after = int(target.rsplit("after=", 1)[1].split("&")[0])
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Transfer-Encoding: chunked\r\n\r\n")
            if self.gap:
                time.sleep(self.gap)
            sent = self.version
            update = self.changes(after) if 41 <= after <= self.version else self.full()
            self.send_line(connection, update)
            self.record(self.name, "answered the watch of %.3f s with version %d" % (called_at, sent))
            next_empty_line = time.monotonic() + 2.0
            while True:
                with self.news:
                    if self.version == sent or self.is_down:
                        self.news.wait(0.05)
                    update, version = self.changes(sent), self.version
                if self.is_down:
                    next_empty_line = time.monotonic()
                    continue
                if version > sent:
                    self.send_line(connection, update)
                    self.record(self.name, "told version %d" % version)
                    sent, next_empty_line = version, time.monotonic() + 2.0
                elif time.monotonic() >= next_empty_line:
                    connection.sendall(b"2\r\n\r\n\r\n")
                    next_empty_line = time.monotonic() + 2.0

    @staticmethod
    def send_line(connection, update):
        line = json.dumps(update).encode() + b"\n"
        connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))


class States:
    """The read states of all requests, and the workers that hold them."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.held = {}
        self.reading = set()

    def free(self, trace, why):
        with self.lock:
            state = self.held.pop(trace, None)
        if state is not None:
            self.record(state[0], "%s: state freed after %.3f s (%s)" % (trace, self.record.now() - state[1], why))
        return state


class Worker(Server):
    """A reader or a writer. Work stops when its connection ends. `read_time` is how long a read takes, and a stream has
    `events` events, one each `event_time` seconds. `stream` may be replaced by a case."""

    def __init__(self, record, states, name, kind, zone, cell):
        super().__init__(record, name)
        self.states, self.kind, self.zone, self.cell = states, kind, zone, cell
        self.is_reader = kind == "reader"
        self.started_ms = 0
        self.read_time = 0.04
        self.events, self.event_time = 20, 0.05
        self.first_token = 0.05
        self.sends = []
        self.cut = []
        self.life = 0

    def entry(self, state="SERVING"):
        return {"id": self.name, "addr": self.address, "zone": self.zone, "kind": self.kind, "cell": self.cell,
                "state": state, "weight": 1.0, "started_ms": self.started_ms}

    def restart(self):
        self.started_ms = int(time.time() * 1000)
        self.start()
        self.record(self.name, "started at %d" % self.started_ms)

    def die(self):
        self.life += 1
        super().die()
        with self.states.lock:
            lost = [trace for trace, (name, _) in self.states.held.items() if name == self.name]
            for trace in lost:
                del self.states.held[trace]
        self.record(self.name, "died")

    def serve(self, connection):
        reader = Reader(connection)
        while True:
            first, fields, body = reader.message()
            method, target, _ = first.split(" ")
            if target.startswith("/internal/reservations/"):
                trace = target.rsplit("/", 1)[1]
                self.reservation(connection, method, trace)
            elif target == "/alive":
                connection.sendall(answer(200))
            elif target == "/metrics/load":
                connection.sendall(answer(200, b"TEXT latency_ms=60, x0=0.2, x1=0.5"))
            elif "x-trace-id" not in fields:
                connection.sendall(answer(404))
            else:
                trace = fields["x-trace-id"]
                at = self.record(self.name, "%s: send of %s, %s bytes, expires in %s ms" % (
                    trace, fields.get("x-qos"), len(body), fields.get("x-expires-in-ms")))
                self.sends.append((at, trace, self.life))
                if not (self.read(connection, trace) if self.is_reader else self.decode(connection, trace, fields)):
                    return

    def reservation(self, connection, method, trace):
        if method == "DELETE":
            self.states.free(trace, "released")
            connection.sendall(answer(204))
            return
        self.record(self.name, "%s: place ahead asked for" % trace)
        with self.states.lock:
            is_reading = trace in self.states.reading
        if not is_reading:
            time.sleep(0.3)
        connection.sendall(answer(200 if is_reading else 204))

    def has_ended(self, connection):
        """Returns whether the peer has closed the connection."""
        connection.setblocking(False)
        try:
            return connection.recv(1, socket.MSG_PEEK) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        finally:
            try:
                connection.setblocking(True)
            except OSError:
                pass

    def read(self, connection, trace):
        with self.states.lock:
            self.states.reading.add(trace)
        time.sleep(self.read_time)
        with self.states.lock:
            self.states.reading.discard(trace)
        if self.has_ended(connection):
            self.record(self.name, "%s: read dropped, its connection ended" % trace)
            return False
        with self.states.lock:
            self.states.held[trace] = (self.name, self.record.now())
        self.record(self.name, "%s: read, state waits" % trace)
        connection.sendall(answer(202, b'{"cached_tokens":0}'))
        return True

    def decode(self, connection, trace, fields):
        if self.states.free(trace, "fetched by " + self.name) is None:
            self.record(self.name, "%s: no state, 410" % trace)
            connection.sendall(answer(410, b"", [("X-Never-Ran", "1")]))
            return True
        self.record(self.name, "%s: runs" % trace)
        time.sleep(self.first_token)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        return self.stream(connection, trace)

    def stream(self, connection, trace):
        written, life = 0, self.life
        try:
            for number in range(self.events):
                if self.has_ended(connection):
                    raise OSError("its connection ended")
                self.send_chunk(connection, token_event(number))
                written += 1
                time.sleep(self.event_time)
            self.send_chunk(connection, last_events(self.events))
            connection.sendall(b"0\r\n\r\n")
        except OSError as error:
            if self.life == life:
                self.cut.append(trace)
            self.record(self.name, "%s: stream cut after %d of %d events: %s" % (trace, written, self.events, error))
            return False
        self.record(self.name, "%s: stream complete, %d events" % (trace, written))
        return True

    @staticmethod
    def send_chunk(connection, data):
        connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def token_event(number):
    return (b'data: {"choices":[{"index":0,"delta":{"content":"t%05d"},"finish_reason":null}]}\n\n' % number)


def last_events(count):
    return (b'data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}\n\n'
            b'data: {"choices":[],"usage":{"prompt_tokens":900,"completion_tokens":%d,'
            b'"prompt_tokens_details":{"cached_tokens":0}}}\n\ndata: [DONE]\n\n' % (count + 1))


class Answer:
    """What a client got for one request."""

    def __init__(self, trace):
        self.trace = trace
        self.sent_at = None
        self.status = None
        self.body = b""
        self.chunk_times = []
        self.is_whole = False
        self.ended_at = None
        self.error = None

    def __str__(self):
        return "status %s, %d bytes in %d pieces, %s%s" % (
            self.status, len(self.body), len(self.chunk_times), "whole" if self.is_whole else "NOT WHOLE",
            ", " + self.error if self.error else "")


def request_bytes(trace, track, expires_ms, prompt="x" * 3600):
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 200,
                       "messages": [{"role": "user", "content": prompt}]}).encode()
    head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"
            "X-Object: %s\r\nX-Expires-In-Ms: %d\r\nX-Props: prompt_len=%d,prefix_len=0,max_out=200\r\n"
            "Content-Length: %d\r\n\r\n" % (trace, track, trace[::-1], expires_ms, len(prompt) // 4, len(body)))
    return head.encode() + body


def send_request(record, address, trace, track="member-query", expires_ms=6000, patience=60.0, prompt="x" * 3600):
    """Sends one request on a new connection and reads its answer to the end."""
    got = Answer(trace)
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.settimeout(patience)
            connection.sendall(request_bytes(trace, track, expires_ms, prompt))
            got.sent_at = record("client", "%s: sent as %s, waits %d ms" % (trace, track, expires_ms))
            reader = Reader(connection)
            first, fields = reader.head()
            got.status = int(first.split(" ")[1])
            if fields.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    chunk = reader.chunk()
                    if chunk is None:
                        break
                    got.body += chunk
                    got.chunk_times.append(record.now())
            else:
                got.body = reader.exactly(int(fields.get("content-length", "0")))
            got.is_whole = True
    except (OSError, EOFError, ValueError) as error:
        got.error = "%s: %s" % (type(error).__name__, error)
    got.ended_at = record("client", "%s: %s" % (trace, got))
    return got


class Client(threading.Thread):
    """Sends one request in a thread of its own."""

    def __init__(self, *arguments, **options):
        super().__init__(daemon=True)
        self.arguments, self.options, self.got = arguments, options, None
        self.start()

    def run(self):
        self.got = send_request(*self.arguments, **self.options)


def settings():
    """Settings like those of lautoka-west, in the form of the wire page."""
    return {
        "balancers": 1,
        "caps": {"cancel": True, "conn_idle_ms": 15000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                 "dial_timeout_ms": 250.0, "max_attempts": 6, "max_open": 20000, "max_retry_after_ms": 500.0,
                 "may_tell": False, "probing": True, "retry_after": True, "second_copies": False,
                 "streams_per_conn": 1},
        "classes": [
            {"dedup_scope": "all", "hard_limit_ms": 6000.0, "idempotency": "pure", "key_ttl_ms": 5000.0,
             "late_worth": 0.3, "name": "member-query", "on_time_ms": 1200.0, "stream": True, "worth": 1.0},
            {"dedup_scope": "all", "hard_limit_ms": 12000.0, "idempotency": "side_effect", "key_ttl_ms": 5000.0,
             "late_worth": 0.2, "name": "schedule-lodge", "on_time_ms": 2500.0, "stream": True, "worth": 3.0}],
        "clients": {"marks_retry": False}, "counted_by": "work", "discovery": "automatic",
        "failure_domains": ["saweni", "vuda"], "family": "twostage",
        "family_info": {"ahead": True, "aim_us_per_1000_prompt_tokens": [40000.0, 120000.0], "far_price": 0.04,
                        "kind_memory_tokens": [244379, 133840, 133840], "kind_role": ["read", "write", "write"],
                        "pin_limit_ms": 1000.0, "report_x0": "share of memory that is held",
                        "report_x1": "thousands of prompt tokens waiting to be read or fetched", "resume": False,
                        "token_aim_ms": [60.0, 80.0], "writers_read": False},
        "invariants": {"answer_slack_ms": 50.0, "cold_share": 0.27, "fall_ms": 1000.0, "fall_multiple": 2.5,
                       "must_ask_in_ms": 10000.0, "ramp_time_ms": 14000.0, "stop_sending_within_ms": 1000.0},
        "kinds": ["reader", "writer-a", "writer-b"], "over_share_worth": 0.2, "position": 0,
        "prices": {"connection": 0.0, "cross_zone": 0.02, "probe": 0.0026, "waste": 0.089},
        "report": {"columns": ["recent_ms", "x0", "x1"], "how": "probe"}, "round_ms": 4.0,
        "tenants": [], "tier": 0, "tiers": ["west-fleet"], "weights": "none", "zone": 0}


class Router:
    """The router, started by the command `run` of the deploy file."""

    def __init__(self, record, folder, agent, name="n1", seed="8c1f30d27a5be964", change=None, known=None,
                 sockets=1024, memory_mb=192):
        self.record, self.name, self.folder = record, name, folder
        self.config_path = os.path.join(folder, name + ".json")
        self.address = "127.0.0.1:%d" % free_port()
        known = known or {"version": 41, "full": True, "servers": list(agent.entries.values())}
        self.config = {"name": name, "listen": self.address, "discovery": agent.address, "seed": seed,
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": settings()}
        if change:
            change(self.config)
        self.write_config()
        self.process = None

    def write_config(self):
        new = self.config_path + ".new"
        with open(new, "w") as file:
            json.dump(self.config, file)
        os.rename(new, self.config_path)

    def start(self, wait=True):
        environment = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=self.address,
                           EDGE_DISCOVERY=self.config["discovery"], EDGE_CONFIG=self.config_path,
                           TMPDIR=self.folder)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command_of_deploy_file("run")], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record(self.name, "started, listens at " + self.address)
        if wait:
            self.wait_until_up()
        return self

    def wait_until_up(self, limit=30.0):
        host, port = self.address.split(":")
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError("the router has exited with %s" % self.process.returncode)
            try:
                with socket.create_connection((host, int(port)), timeout=1) as connection:
                    connection.settimeout(1)
                    connection.sendall(b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                    if Reader(connection).head()[0].split(" ")[1] == "200":
                        self.record(self.name, "is up")
                        return
            except (OSError, EOFError):
                pass
            time.sleep(0.05)
        raise RuntimeError("the router was not up in time")

    def signal(self, number):
        self.record(self.name, "gets " + signal.Signals(number).name)
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Case:
    """One play of a case. `end` ends what it started."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.states = States(self.record)
        self.agent = Agent(self.record).start()
        self.workers, self.routers = [], []
        self.record("case", "TROUBLE=%d" % TROUBLE)

    def add_worker(self, name, kind, zone="saweni", cell=0):
        worker = Worker(self.record, self.states, name, kind, zone, cell).start()
        self.workers.append(worker)
        self.agent.entries[name] = worker.entry()
        self.agent.changed_at[name] = self.agent.version
        return worker

    def add_router(self, **options):
        router = Router(self.record, self.temporary, self.agent, **options)
        self.routers.append(router)
        return router

    def until(self, at):
        time.sleep(max(0.0, at - self.record.now()))

    def end(self):
        for router in self.routers:
            router.stop()
        for worker in self.workers:
            Server.die(worker)
        Server.die(self.agent)
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(record_path, body):
    """Runs `body(case)`, which returns the broken rules as texts, writes the record, and exits with 0, 1 or 2."""
    case, code = None, COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))  # what was started is ended below
    try:
        case = Case(record_path)
        broken = body(case)
        for text in broken:
            case.record("verdict", "BROKEN: " + text)
            print("BROKEN: " + text)
        if not broken:
            case.record("verdict", "held")
            print("held")
        code = BROKEN if broken else HELD
    except Exception as error:
        print("could not run: %r" % error, file=sys.stderr)
        if case:
            case.record("verdict", "could not run: %r" % error)
    finally:
        if case:
            case.end()
    sys.stdout.flush()
    os._exit(code)
