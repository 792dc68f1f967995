"""Stand-ins for the peers of the dispatcher (model servers, discovery, clients) and a starter for the program.

Everything listens on 127.0.0.1 with ports that the system picks. The stand-ins follow the protocol page: a reader answers
202 and keeps a state, a writer takes the state and streams events in chunks, any server accepts a release.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


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


async def read_message(reader):
    """A request or response head with its body of a known length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def words(body):
    """The words of a request, which stand at the beginning of its last message."""
    return json.loads(body)["messages"][-1]["content"].partition(". ")[0]


def messages(text):
    """A prompt of 2,650 tokens of four characters: an opening of 2,150 that it shares with others, and 500 of its own."""
    opening = "You book kilns. " + "All studios share these rules. " * 277
    return [{"role": "system", "content": opening[:8600]},
            {"role": "user", "content": (text + ". " + "The clay is dry. " * 130)[:2000]}]


class Fleet:
    """Readers and writers. `states` has the server that holds a read state, by request id; `runs` lists what writers ran."""

    def __init__(self, record):
        self.record = record
        self.servers = []
        self.states = {}
        self.runs = []  # (time, server id, request id, body)
        # An answer of 180 tokens, one each 70 ms, with an event after every four tokens.
        self.events = 45
        self.event_s = 0.28
        self.first_s = 0.05
        # A prompt of 2,650 tokens, read at 24,000 tokens a second.
        self.read_s = 0.11

    async def add(self, kind, number, cell=0, zone="a"):
        server = Server(self, kind, f"s-{number:08x}", cell, zone)
        await server.start()
        self.servers.append(server)
        return server

    def members(self):
        return [server.entry for server in self.servers if server.listed]

    def of(self, kind):
        return [server for server in self.servers if server.kind == kind]

    async def close(self):
        for server in self.servers:
            await server.close()


class Server:
    """One model server. `turn_away` makes it answer that it has no room; `script` may take the place of its answer."""

    def __init__(self, fleet, kind, name, cell, zone):
        self.fleet, self.kind, self.name = fleet, kind, name
        self.listed = True
        self.turn_away = False
        self.script = None  # async (server, id, body, writer) -> True if it has handled the write itself
        self.connections = set()
        self.entry = {"id": name, "host_port": "", "locality": zone, "flavor": kind, "cell": cell, "phase": "up",
                      "size": 1.0, "up_since_ms": 0}
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.entry["host_port"] = f"127.0.0.1:{port}"

    async def close(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def log(self, text):
        self.fleet.record(f"{self.kind} {self.name}: {text}")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if not await self.answer(message, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        line, headers, body = message
        method, path, _ = line.split(" ")
        if path.startswith("/kv/leases/"):
            txn = path.rsplit("/", 1)[1]
            if method == "DELETE":
                held = self.fleet.states.pop(txn, None)
                self.log(f"release {txn}" + (" frees its state" if held else ""))
                return await self.plain(writer, 204)
            return await self.plain(writer, 404)
        txn = headers.get("x-txn")
        if method != "POST" or txn is None:
            return await self.plain(writer, 404)
        if self.turn_away:
            self.log(f"{txn} turned away (no room)")
            return await self.plain(writer, 503, {"X-Turned-Away": "1"})
        if self.kind == "read":
            await asyncio.sleep(self.fleet.read_s)
            self.fleet.states[txn] = self.name
            self.log(f"{txn} read")
            return await self.plain(writer, 202, body=b'{"cached_tokens":0}')
        if self.fleet.states.pop(txn, None) is None:
            self.log(f"{txn} turned away (no state)")
            return await self.plain(writer, 410, {"X-Turned-Away": "1"})
        self.fleet.runs.append((time.monotonic(), self.name, txn, body))
        self.log(f"{txn} RUN '{words(body)}'")
        if self.script is not None:
            handled = await self.script(self, txn, body, writer)
            if handled is not None:
                return handled
        return await self.stream(txn, body, writer)

    async def plain(self, writer, status, headers=None, body=b""):
        head = f"HTTP/1.1 {status} X\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        if status != 204:
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        return True

    @staticmethod
    def chunk(data):
        return b"%x\r\n%s\r\n" % (len(data), data)

    def texts(self, txn):
        """The pieces of the answer; each names the run, so that a client's answer can be told from another's."""
        return [f"{txn}/{number} " for number in range(self.fleet.events)]

    def event(self, text, finish=None):
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
        return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"

    async def head(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    async def stream(self, txn, body, writer, stop_after=None):
        await asyncio.sleep(self.fleet.first_s)
        await self.head(writer)
        texts = self.texts(txn)
        for number, text in enumerate(texts):
            if stop_after is not None and number == stop_after:
                return None
            finish = "stop" if number == len(texts) - 1 else None
            writer.write(self.chunk(self.event(text, finish)))
            await writer.drain()
            await asyncio.sleep(self.fleet.event_s)
        usage = {"choices": [], "usage": {"prompt_tokens": 10, "completion_tokens": len(texts),
                                          "prompt_tokens_details": {"cached_tokens": 0}}}
        writer.write(self.chunk(b"data: " + json.dumps(usage).encode() + b"\n\n"))
        writer.write(self.chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()
        self.log(f"{txn} answered whole")
        return True


class Agent:
    """Discovery: the whole list, or a watch that waits for a newer revision."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.revision = 1
        self.changed = asyncio.Event()
        self.up = True
        self.connections = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self):
        return {"revision": self.revision, "complete": True, "members": self.fleet.members()}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                query = message[0].split(" ")[1].partition("?")[2]
                fields = dict(part.split("=") for part in query.split("&") if part)
                until = time.monotonic() + int(fields.get("hold_ms", 0)) / 1000
                while "from" in fields and self.revision <= int(fields["from"]):
                    left = until - time.monotonic()
                    if left <= 0:
                        break
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                if "from" in fields and self.revision <= int(fields["from"]):
                    answer = {"revision": self.revision, "complete": False, "members": []}
                else:
                    answer = self.listing()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def lane(name, effect, give_up=6.0, aim=1.2, window=5.0, worth=2.0, group="all"):
    return {"name": name, "effect": effect, "aim_s": aim, "give_up_s": give_up, "dedup_window_s": window,
            "group": group, "late_worth": 0.3, "streaming": True, "worth": worth}


def settings(lanes=None, **changes):
    value = {
        "balancers": 1, "client_habits": {"marks_retry": True}, "discovery": "automatic",
        "lanes": lanes or [lane("ask", "idempotent"), lane("book", "at_most_once", 8.0, 2.0, worth=5.0)],
        "domain": {"aim_us_per_1000_prompt_tokens": [40000.0, 40000.0], "cross_cell_price": 0.03,
                   "holds_allowed": True, "kind_memory_tokens": [172414, 153214], "local_read": False,
                   "release_within_s": 0.5, "report_x0": "share_of_memory_that_is_held",
                   "report_x1": "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched", "resume": True,
                   "role_by_kind": ["read", "write"], "token_aim_s": [0.06, 0.07]},
        "failure_domains": ["a", "b"], "family": "twostage", "kinds": ["read", "write"], "locality": 0,
        "goal": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.15},
        "limits": {"cancel": True, "connect_timeout_s": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                   "keepalive_s": 30.0, "max_attempts": 5, "max_open": 20000, "max_retry_after_s": 1.0,
                   "multiplex": 100, "parallel_tries": True, "peers": True, "probes": True, "retry_after": True},
        "my_number": 0, "over_share_worth": 0.2, "orgs": [],
        "prices": {"connection": 0.0, "cross_zone": 0.026, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.049,
                   "moves": 0.0, "origin": 0.0, "peer": 0.0025, "probe": 0.003, "waste": 0.091},
        "resolution_s": 0.002,
        "rules": {"answer_slack_s": 0.008, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5, "fall_s": 1.0,
                  "must_ask_in_s": 10.0, "stop_sending_within_s": 0.25},
        "stages": ["assist-fleet"], "stats": {"fields": ["x0", "x1"], "via": "pull"}, "tier": 0,
        "weights": "nominal", "worth_by": "work",
    }
    value.update(changes)
    return value


class Dispatcher:
    """One process of the program, started as the deploy file says, from the root of the repository."""

    def __init__(self, folder, agent, record, name="n1", listen=None, fronts=None, tmpdir=None, admin=False, lanes=None,
                 limits=None, **changes):
        self.folder, self.record, self.name, self.agent = folder, record, name, agent
        self.listen = listen or f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}" if admin else None
        self.config = {"name": name, "listen": self.listen, "discovery": agent.address, "seed": os.urandom(8).hex(),
                       "limits": limits or {"cores": 1.0, "memory_mb": 96, "sockets": 512},
                       "known": agent.listing(), "settings": settings(lanes, **changes)}
        if self.admin:
            self.config["admin_addr"] = self.admin
        self.fronts = fronts
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=folder)
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(self.config, out)
        os.replace(path + ".new", path)
        return path

    async def start(self, ready=True, within=30.0):
        environment = {**os.environ, "ROUTER_CONFIG": self.write_config(), "ROUTER_NAME": self.name,
                       "ROUTER_LISTEN": self.listen, "ROUTER_DISCOVERY": self.agent.address, "TMPDIR": self.tmpdir,
                       "RUST_LOG": os.environ.get("RUST_LOG", "info")}
        environment.pop("ROUTER_ADMIN_ADDR", None)
        run = run_command()
        if self.fronts is not None:
            path = os.path.join(self.folder, f"{self.name}-fronts.toml")
            with open(path, "w", encoding="utf-8") as out:
                out.write(self.fronts)
            run += f" --fronts '{path}'"
        self.log = open(os.path.join(self.folder, f"{self.name}-{time.monotonic_ns()}.log"), "wb")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=environment,
                                                            stdout=self.log, stderr=self.log)
        self.record(f"dispatcher {self.name}: started on {self.listen}")
        if ready:
            await self.ready(within)

    async def ready(self, within=30.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"the dispatcher ended with {self.process.returncode}")
            try:
                answer = await asyncio.wait_for(call(self.listen, "GET", "/health/ready"), 1.0)
                if answer.status == 200:
                    self.record(f"dispatcher {self.name}: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the dispatcher was not ready in time")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record(f"dispatcher {self.name}: gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def run_command():
    """The value of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        for line in deploy:
            if line.startswith("run = "):
                return json.loads(line[len("run = "):].split("#")[0].strip())
    raise CannotRun("the deploy file has no run")


class Answer:
    """An answer as far as it came. `whole` says whether it came to its end as HTTP frames it."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.seconds = None, {}, b"", False, 0.0

    def text(self):
        """The text of the events of a chat answer."""
        out = ""
        for line in self.body.split(b"\n"):
            if line.startswith(b"data: {"):
                for choice in json.loads(line[6:]).get("choices", []):
                    out += choice.get("delta", {}).get("content") or ""
        return out

    def __str__(self):
        return f"status {self.status}{'' if self.whole else ' (not whole)'} {self.body[:200]!r}"


async def call(address, method, path, headers=None, body=b"", leave_after=None, on_piece=None):
    """One request on a new connection. `leave_after` closes the connection after so many seconds."""
    answer, began = Answer(), time.monotonic()
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))

    async def exchange():
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += piece[:-2]
                if on_piece:
                    on_piece(answer)
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True

    try:
        await asyncio.wait_for(exchange(), leave_after or 60.0)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        answer.seconds = time.monotonic() - began
        writer.close()
    return answer


async def platform(dispatcher, txn, lane_name, remaining=6.0, body=None, leave_after=None, **labels):
    """A request at the platform's front."""
    labels = {"prefix": "5c0f6e1a2b3d4c59", "prompt_len": 2650, "prefix_len": 2150, "max_out": 800, **labels}
    headers = {"X-Txn": txn, "X-Lane": lane_name, "X-Entity": "e" + txn[:6], "X-Remaining": f"{remaining:.3f}",
               "X-Labels": ",".join(f"{name}={value}" for name, value in labels.items()),
               "Content-Type": "application/json"}
    body = body if body is not None else json.dumps(
        {"model": lane_name, "stream": True, "max_tokens": 800, "messages": messages(f"request {txn}")}).encode()
    return await call(dispatcher.listen, "POST", "/v1/chat/completions", headers, body, leave_after)


async def chat(address, model, text, headers=None, leave_after=None, stream=True, path="/v1/chat/completions", **fields):
    """A request at the chat front, with these words at the beginning of its own part."""
    value = {"model": model, "stream": stream, "messages": messages(text), **fields}
    return await call(address, "POST", path, {"Content-Type": "application/json", **(headers or {})},
                      json.dumps(value).encode(), leave_after)


def txn():
    return os.urandom(8).hex()


async def ask_admin(dispatcher, line):
    """The first line of the answer to one line at the second address; empty if it does not answer."""
    host, port = dispatcher.admin.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        answer = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return answer.decode().strip()
    except (OSError, asyncio.TimeoutError):
        return ""


CHAT_FRONT = """
[chat]
enabled = true
listen = "{listen}"

[chat.models]
kiln-ask = "ask"
kiln-book = "book"

[chat.tenants]
key-of-chiangmai-clay = "chiangmai-clay"

[chat.repeats]
enabled = true
"""


def report_unexpected(loop, context):
    """Errors of tasks that nobody waits for. That a peer has closed its connection is no error."""
    if not isinstance(context.get("exception"), ConnectionError):
        loop.default_exception_handler(context)


def run_case(case, folder):
    """Runs a case, which returns a list of broken rules; the exit code is that of a review case."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    record("without the disruption" if not TROUBLE else "with the disruption")
    temporary = tempfile.mkdtemp(prefix="dewladder-review-")
    code = 2
    async def within_limits():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(report_unexpected)
        # A script that is told to end must end what it has started, too.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, temporary), 115.0)

    try:
        broken = asyncio.run(within_limits())
        for line in broken:
            record(f"BROKEN: {line}")
            print(f"rule broken: {line}")
        if not broken:
            record("the rule held")
            print("the rule held")
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:  # whatever goes wrong in a script says nothing about the rule
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
