"""Stand-ins and helpers of the cases: model servers, a discovery agent, clients and the dispatcher's processes.

Every address is a loopback address on a port that the system chooses, and every time is of the real clock. Only the
standard library of Python 3 is used. The stand-ins follow the protocol page; where it is silent they behave soundly.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "dewladder")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run; this says nothing of the rule."""


class Record:
    """Everything that was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """The start line and the fields of the next message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def answer(status, reason, fields="", body=b""):
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def token_event(text, end=False):
    reason = '"stop"' if end else "null"
    return (f'data: {{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":{reason}}}]}}\n\n').encode()


class Replica:
    """A model server, `prefill` (a reader) or `decode` (a writer). It keeps a ledger of what arrives and runs."""

    def __init__(self, record, name, flavor, work_s=0.02, events=4, event_s=0.02, locality="a", cell=1):
        self.record, self.name, self.flavor = record, name, flavor
        self.work_s, self.events, self.event_s = work_s, events, event_s
        self.locality, self.cell = locality, cell
        self.arrived = []
        self.runs = []
        self.phase, self.up_since_ms = "up", 0
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def member(self, phase=None):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.locality,
                "flavor": self.flavor, "cell": self.cell, "phase": phase or self.phase, "size": 1.0,
                "up_since_ms": self.up_since_ms}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                began = self.record.now()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if line.startswith("DELETE"):
                    await self.released(line.split(" ")[1].rsplit("/", 1)[1])
                    writer.write(answer(204, "No Content"))
                elif line.startswith("POST /v1/"):
                    txn = fields.get("x-txn", "")
                    self.arrived.append((began, txn))
                    self.record.write(f"{self.name} has {txn} (key {fields.get('idempotency-key', '-')}, "
                                      f"remaining {fields.get('x-remaining', '-')})")
                    if not await self.handle(txn, fields, body, reader, writer):
                        return
                else:
                    writer.write(answer(404, "Not Found"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def released(self, txn):
        self.record.write(f"{self.name} releases {txn}")

    async def handle(self, txn, fields, body, reader, writer):
        """Runs a request and answers it. Returns whether the connection stays open."""
        if self.flavor == "prefill":
            await asyncio.sleep(self.work_s)
            writer.write(answer(202, "Accepted", "Content-Type: application/json\r\n", b'{"cached_tokens":0}'))
            return True
        self.ran(txn, fields, body)
        await asyncio.sleep(self.work_s)
        await self.stream(txn, writer)
        return True

    def ran(self, txn, fields, body):
        self.runs.append((self.record.now(), txn, fields.get("idempotency-key"), body))
        self.record.write(f"{self.name} RUNS {txn}")

    async def stream(self, txn, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.events):
            writer.write(chunk(token_event(f"{txn[:6]}-{number}", number + 1 == self.events)))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        usage = b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
        writer.write(chunk(usage) + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"{self.name} has answered {txn}")


class Discovery:
    """The discovery agent: the whole list, and watches that wait for a change."""

    def __init__(self, record, replicas):
        self.record, self.replicas = record, replicas
        self.revision = 41
        self.changes = {}
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.told = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self):
        return {"revision": self.revision, "complete": True, "members": [r.member() for r in self.replicas]}

    def change(self, replica, phase):
        replica.phase = phase
        self.revision += 1
        self.changes[replica.name] = self.revision
        self.record.write(f"discovery: {replica.name} is {phase} in revision {self.revision}")
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, known):
        members = [r.member() for r in self.replicas if self.changes.get(r.name, 0) > known]
        return {"revision": self.revision, "complete": False, "members": members}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                target = head[0].split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                came = self.record.now()
                if "from" in query:
                    known, until = int(query["from"]), time.monotonic() + int(query["hold_ms"]) / 1000
                    while self.revision <= known and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), max(0.0, until - time.monotonic()))
                        except asyncio.TimeoutError:
                            break
                    listing = lambda: self.since(known)
                else:
                    listing = self.listing
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps(listing()).encode()
                if reader.at_eof():
                    self.record.write(f"discovery: the caller of {target} (at {came:.3f}) had closed before the answer")
                    return
                writer.write(answer(200, "OK", "Content-Type: application/json\r\n", body))
                await writer.drain()
                self.told.append((self.record.now(), self.revision))
                self.record.write(f"discovery: {target} (at {came:.3f}) answered with revision {self.revision}")
        except ConnectionError:
            return
        finally:
            writer.close()


GIVEN_PORTS = set()


def free_port():
    """A port that nobody has: below those that the system gives out itself, so that none of these takes it meanwhile."""
    while True:
        port = random.randrange(10_000, 32_000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port


def lane(name, effect, aim_s=1.2, give_up_s=6.0, **more):
    return {"name": name, "aim_s": aim_s, "give_up_s": give_up_s, "effect": effect, "group": "all",
            "dedup_window_s": 5.0, "worth": 2.0, "late_worth": 0.3, "streaming": True, **more}


def settings(**changes):
    """Settings with the words of the wire page, like those of a small deployment."""
    base = {
        "balancers": 3, "client_habits": {"marks_retry": True}, "discovery": "automatic",
        "domain": {"aim_us_per_1000_prompt_tokens": [40000.0, 40000.0], "cross_cell_price": 0.03,
                   "holds_allowed": True, "kind_memory_tokens": [172414, 153214], "local_read": False,
                   "release_within_s": 0.5, "report_x0": "share_of_memory_that_is_held",
                   "report_x1": "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched", "resume": True,
                   "role_by_kind": ["read", "write"], "token_aim_s": [0.06, 0.07]},
        "failure_domains": ["a", "b"], "family": "twostage",
        "goal": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.15},
        "kinds": ["prefill", "decode"],
        "lanes": [lane("ask", "idempotent"), lane("book", "at_most_once", 2.0, 8.0, worth=5.0, late_worth=0.2)],
        "limits": {"cancel": True, "connect_timeout_s": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                   "keepalive_s": 30.0, "max_attempts": 5, "max_open": 20000, "max_retry_after_s": 1.0,
                   "multiplex": 100, "parallel_tries": True, "peers": False, "probes": True, "retry_after": True},
        "locality": 0, "my_number": 0, "orgs": [{"name": "studio", "quota_rps": 30.0, "share": 1.0}],
        "over_share_worth": 0.2,
        "prices": {"connection": 0.0, "cross_zone": 0.026, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.049,
                   "moves": 0.0, "origin": 0.0, "peer": 0.0025, "probe": 0.003, "waste": 0.091},
        "resolution_s": 0.002,
        "rules": {"answer_slack_s": 0.008, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5, "fall_s": 1.0,
                  "must_ask_in_s": 10.0, "stop_sending_within_s": 0.25},
        "stages": ["assist-fleet"], "stats": {"fields": ["x0", "x1"], "via": "pull"}, "tier": 0,
        "weights": "nominal", "worth_by": "work"}
    for path, value in changes.items():
        at = base
        *parents, last = path.split("__")
        for parent in parents:
            at = at[parent]
        at[last] = value
    return base


class Rig:
    """One run: its record, its folder and the dispatcher's processes."""

    def __init__(self, case_file):
        self.record = Record(os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="dewladder-case-")
        self.processes = []
        self.log = open(os.path.join(self.folder, "log.txt"), "wb")

    def configure(self, name, discovery_port, known, config_settings, **fields):
        path = os.path.join(self.folder, f"{name}.json")
        config = {"name": name, "discovery": f"127.0.0.1:{discovery_port}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
                  "settings": config_settings, **fields}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        return path

    def spawn(self, config_path, tmpdir=None, fronts=None, admin=None):
        """Starts the deploy file's `run`: `exec target/release/dewladder serve` from the root."""
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is not built")
        private = tmpdir or tempfile.mkdtemp(dir=self.folder)
        environment = {**os.environ, "ROUTER_CONFIG": config_path, "TMPDIR": private}
        if admin:
            environment["ROUTER_ADMIN_ADDR"] = admin
        command = "exec target/release/dewladder serve"
        shown = command
        if fronts:
            command += f" --fronts {fronts}"
            shown += " --fronts FILE"
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
                                   start_new_session=True)
        self.processes.append(process)
        self.record.write(f"process {process.pid} started: {shown}")
        return process

    def signal(self, process, number):
        self.record.write(f"process {process.pid} gets {signal.Signals(number).name}")
        process.send_signal(number)

    async def ready(self, port, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher did not become ready")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            else:
                self.record.write(f"process {process.pid} had ended with {process.returncode}")
        for process in self.processes:
            process.wait()
        self.log.close()
        if os.environ.get("KEEP_LOG"):  # the log of the processes, to look into a result
            shutil.copy(os.path.join(self.folder, "log.txt"), os.environ["KEEP_LOG"])
        shutil.rmtree(self.folder, ignore_errors=True)


counter = int(time.time() * 1000) << 20


def new_txn():
    global counter
    counter += 0x9e3779b97f4a7c15
    return f"{counter & (1 << 64) - 1:016x}"


class Answer:
    def __init__(self):
        self.status, self.body, self.whole, self.fields = None, b"", False, {}
        self.sent_at = self.ended_at = 0.0

    def __str__(self):
        return f"status {self.status}, {'whole' if self.whole else 'not whole'}, {len(self.body)} bytes"


def platform_request(txn, lane_name, remaining, body=None, session="7f3a9c21e0b4d655", prompt=400, fields=""):
    body = body if body is not None else json.dumps(
        {"model": "chat", "stream": True, "max_tokens": 200, "messages": [{"role": "user", "content": "x" * prompt * 4}]}).encode()
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {txn}\r\nX-Lane: {lane_name}\r\n"
            f"X-Org: studio\r\nX-Entity: {session}\r\nX-Remaining: {remaining:.3f}\r\n"
            f"X-Labels: prompt_len={prompt},prefix_len=0,max_out=200\r\n{fields}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_answer(reader, result):
    head = await read_head(reader)
    if head is None:
        return result
    line, result.fields = head
    result.status = int(line.split(" ")[1])
    if result.fields.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                result.whole = True
                return result
            result.body += data[:-2]
    result.body = await reader.readexactly(int(result.fields.get("content-length", "0")))
    result.whole = True
    return result


async def exchange(record, port, request, label, patience=15.0):
    """Sends one request over a connection of its own and reads the answer."""
    result = Answer()
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.write(request)
        await writer.drain()
        result.sent_at = record.now()
        record.write(f"client sends {label}")
        await asyncio.wait_for(read_answer(reader, result), patience)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        record.write(f"client: {label}: {type(error).__name__}")
    finally:
        if writer:
            writer.close()
    result.ended_at = record.now()
    record.write(f"client has the answer to {label}: {result}")
    return result


def run(case_file, case):
    """Runs a case, which returns HELD or BROKEN, and exits with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.unraisablehook = lambda _: None  # connections that are still open at the end are of no interest
    rig = Rig(case_file)
    try:
        result = asyncio.run(asyncio.wait_for(case(rig), 112))
    except Exception as error:  # whatever it is, it says nothing of the rule
        rig.record.write(f"the case could not run: {type(error).__name__} {error}")
        result = NOT_RUN
    finally:
        rig.end()
    rig.record.write({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}[result])
    sys.exit(result)
