"""Stand-ins for a small deployment, on loopback: readers, writers, a discovery agent, clients, and the platform's
part of starting and ending the dispatcher. They follow the protocol page. Standard library only."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

TOKENS_PER_EVENT = 3
ROOT = pathlib.Path(__file__).resolve().parents[2]
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Record:
    """What was sent, answered and run: one line each, with the time since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {who:<12} {what} {text}".rstrip() + "\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """The head (lines) and the body of a message with Content-Length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return head[0], fields, body


def event(text, finish=None):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return ("data: " + json.dumps({"choices": [choice]}) + "\n\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class States:
    """Which reader holds the read state of a request, over the whole fleet."""

    def __init__(self):
        self.held = {}


class Server:
    """A reader or a writer. A reader answers 202 after `read_s`. A writer needs the read state, or says 410; then it
    streams the answer of the request's class, `answers[class]` = (tokens, seconds a token), with an event for every
    three tokens, and the last events."""

    def __init__(self, record, states, name, role, *, read_s=0.05, answers=None):
        self.record, self.states, self.name, self.role = record, states, name, role
        self.read_s, self.answers = read_s, answers
        self.runs = []  # (time, request id, headers, body) of each request that began
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, fields, body = message
                if not await self.answer(line, fields, body, writer):
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, fields, body, writer):
        method, path = line.split(" ")[:2]
        if method == "DELETE":
            self.states.held.pop(path.rsplit("/", 1)[-1], None)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            await writer.drain()
            return True
        txn = fields.get("x-txn", "")
        if method != "POST" or not txn:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        if self.role == "read":
            self.record.add(self.name, "reads", id=txn, bytes=len(body))
            await asyncio.sleep(self.read_s)
            self.states.held[txn] = self.name
            answer = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
            await writer.drain()
            return True
        if self.states.held.pop(txn, None) is None:
            self.record.add(self.name, "no state", id=txn)
            writer.write(b"HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        self.runs.append((self.record.now(), txn, fields, body))
        self.record.add(self.name, "runs", id=txn, bytes=len(body))
        tokens, token_s = self.answers[json.loads(body)["model"]]
        return await self.stream(txn, writer, tokens, token_s)

    async def stream(self, txn, writer, tokens, token_s):
        writer.write(STREAM_HEAD)
        events = tokens // TOKENS_PER_EVENT
        for at in range(events):
            writer.write(chunk(event(f"{self.name}-{txn[:4]}-{at} ", "stop" if at == events - 1 else None)))
            await writer.drain()
            await asyncio.sleep(TOKENS_PER_EVENT * token_s)
        usage = {"prompt_tokens": 100, "completion_tokens": tokens, "prompt_tokens_details": {"cached_tokens": 0}}
        tail = b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\ndata: [DONE]\n\n"
        writer.write(chunk(tail) + b"0\r\n\r\n")
        await writer.drain()
        self.record.add(self.name, "stream done", id=txn)
        return True


class Agent:
    """The discovery agent: the whole list, and watches that are answered with the whole list once it has changed."""

    def __init__(self, members):
        self.revision, self.members = 1, members
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                path = message[0].split(" ")[1]
                query = dict(part.split("=") for part in path.partition("?")[2].split("&") if "=" in part)
                answer = self.listing()
                if "from" in query and int(query["from"]) >= self.revision:
                    hold_s = min(int(query.get("hold_ms", "0")), 60_000) / 1e3
                    try:
                        await asyncio.wait_for(self.changed.wait(), hold_s)
                        answer = self.listing()
                    except asyncio.TimeoutError:
                        answer = {"revision": self.revision, "complete": False, "members": []}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def member(server, number, *, zone="bkk-north", cell=1, phase="up", kinds=("prefill", "decode")):
    flavor = kinds[0] if server.role == "read" else kinds[1]
    return {"id": f"s-{number:08x}", "host_port": f"127.0.0.1:{server.port}", "locality": zone, "flavor": flavor,
            "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0}


def lane(name, effect, *, aim_s, give_up_s, worth, group="all", window_s=5.0):
    return {"name": name, "aim_s": aim_s, "give_up_s": give_up_s, "effect": effect, "group": group,
            "dedup_window_s": window_s, "late_worth": 0.3, "streaming": True, "worth": worth}


def settings(lanes=None, resume=True):
    """The settings of the deployment in the brief, for one dispatcher."""
    lanes = lanes or [lane("ask", "idempotent", aim_s=1.2, give_up_s=6.0, worth=2.0),
                      lane("book", "at_most_once", aim_s=2.0, give_up_s=8.0, worth=5.0)]
    return {"balancers": 1, "my_number": 0, "locality": 0, "failure_domains": ["bkk-north", "bkk-east", "nonthaburi"],
            "kinds": ["prefill", "decode"], "family": "twostage", "discovery": "automatic",
            "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [172414, 153214],
                       "release_within_s": 0.5, "resume": resume, "local_read": False, "holds_allowed": True,
                       "token_aim_s": [0.06, 0.07][:len(lanes)] + [0.06] * (len(lanes) - 2),
                       "aim_us_per_1000_prompt_tokens": [40000.0] * len(lanes)},
            "lanes": lanes,
            "limits": {"cancel": True, "parallel_tries": True, "connect_timeout_s": 0.25, "keepalive_s": 30.0,
                       "max_attempts": 5, "max_retry_after_s": 1.0, "retry_after": True, "probes": False,
                       "peers": False},
            "rules": {"answer_slack_s": 0.008, "cold_from": 0.26, "cold_s": 14.0, "fall_multiple": 2.5, "fall_s": 1.0,
                      "must_ask_in_s": 10.0, "stop_sending_within_s": 0.25},
            "resolution_s": 0.002, "tier": 0, "weights": "nominal", "worth_by": "work"}


def second_settings():
    """The settings of the second organisation's deployment, for one dispatcher: a broken stream is lost."""
    lanes = [lane("lukema-kysely", "idempotent", aim_s=1.0, give_up_s=5.0, worth=2.0),
             lane("vertailu", "idempotent", aim_s=3.0, give_up_s=15.0, worth=1.0),
             lane("asetus-muutos", "at_most_once", aim_s=1.5, give_up_s=6.0, worth=3.0)]
    site = settings(lanes, resume=False)
    site["failure_domains"], site["kinds"] = ["sali-a", "sali-b"], ["esi", "jatko"]
    site["domain"].update(kind_memory_tokens=[240000, 150000], token_aim_s=[0.06, 0.08, 0.07])
    site["limits"]["max_attempts"] = 6
    site["rules"].update(stop_sending_within_s=1.0, fall_s=1.5)
    return site


class Platform:
    """Starts the dispatcher by `run` of the deploy file, asks whether it is ready, sends it signals, and ends it."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.run = tomllib.load(file)["run"]
        self.port = free_port()
        self.peak_mb, self.over_memory = 0.0, False

    def write_config(self, agent, site_settings, *, memory_mb=192, sockets=1024, admin=None):
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
                  "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": agent.listing(), "settings": site_settings}
        if admin is not None:
            config["admin_addr"] = f"127.0.0.1:{admin}"
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)
        return path

    async def start(self, config, *, admin=None):
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {"ROUTER_CONFIG": str(config), "ROUTER_NAME": "n0", "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
                       "TMPDIR": str(self.folder / "tmp"), "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "RUST_LOG": os.environ.get("RUST_LOG", "info")}
        if admin is not None:
            environment["ROUTER_ADMIN_ADDR"] = f"127.0.0.1:{admin}"
        log = open(self.folder / f"log{len(self.processes)}.txt", "wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stderr=log, stdout=log)
        self.processes.append(process)
        self.record.add("platform", "starts the dispatcher", pid=process.pid)
        return process

    async def wait_ready(self, port=None, limit_s=30.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status = await self.get("/health/ready", port or self.port)
            if status == 200:
                self.record.add("platform", "ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher did not become ready")

    async def get(self, path, port):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return int(line.split(b" ")[1])
        except (OSError, IndexError, ValueError, asyncio.TimeoutError):
            return None

    def signal(self, process, number):
        self.record.add("platform", f"sends {signal.Signals(number).name}", pid=process.pid)
        try:
            process.send_signal(number)
        except ProcessLookupError:
            pass

    async def watch_memory(self, process, limit_mb):
        """Kills the dispatcher where it holds more than its limit; the peak is in `self.peak_mb`."""
        path = pathlib.Path(f"/proc/{process.pid}/status")
        told = 0.0
        while process.returncode is None:
            try:
                text = path.read_text()
            except OSError:
                return
            found = [int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmRSS:")]
            if found:
                self.peak_mb = max(self.peak_mb, found[0])
                if found[0] >= told + 10:
                    told = found[0]
                    self.record.add("platform", "memory", mb=f"{found[0]:.1f}")
                if found[0] > limit_mb:
                    self.over_memory = True
                    self.record.add("platform", "over memory_mb: kills the dispatcher", mb=f"{found[0]:.1f}")
                    self.signal(process, signal.SIGKILL)
                    return
            await asyncio.sleep(0.01)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client was answered."""

    def __init__(self):
        self.status = None
        self.fields = {}
        self.data = b""
        self.whole = False  # the last chunk came, or all of Content-Length
        self.sent_at = None  # when the request's last byte was written
        self.ended_at = None

    def text(self):
        return self.data.decode("utf-8", "replace")


async def read_answer(reader, answer):
    """Reads an answer to its end, or to the end of its connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if "content-length" in answer.fields:
            answer.data = await reader.readexactly(int(answer.fields["content-length"]))
            answer.whole = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.whole = True
                return
            answer.data += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        pass


def platform_request(txn, lane_name, remaining_s, prompt_chars=2_000, max_out=280):
    """A request to the platform's front, as the protocol page shows it. It begins with a shared text of 2,150 tokens of four
    characters and adds 500 tokens: both are within the ranges of every class of the two deployments."""
    shared = ("You book kilns. " * 538)[:8_600]
    messages = [{"role": "system", "content": shared}, {"role": "user", "content": "k" * prompt_chars}]
    body = json.dumps({"model": lane_name, "stream": True, "max_tokens": max_out, "messages": messages}).encode()
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {txn}\r\nX-Lane: {lane_name}\r\n"
            f"X-Org: chiangmai-clay\r\nX-Entity: {txn[::-1]}\r\nX-Remaining: {remaining_s:.3f}\r\n"
            f"X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len={(len(shared) + prompt_chars) // 4},"
            f"prefix_len={len(shared) // 4},max_out={max_out}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def new_txn():
    return os.urandom(8).hex()


async def ask(record, name, port, txn, text):
    """Sends one request on a new connection, reads its answer, and records both."""
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.write(text)
        await writer.drain()
        answer.sent_at = time.monotonic()
        record.add(name, "sent a request", id=txn, bytes=len(text))
        await read_answer(reader, answer)
        writer.close()
    except (ConnectionError, OSError) as error:
        record.add(name, "connection", id=txn, error=repr(error))
    answer.ended_at = time.monotonic()
    record.add(name, "was answered", id=txn, status=answer.status, whole=answer.whole, bytes=len(answer.data))
    return answer


def main(folder, case, limit_s=115):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add("script", "begins", trouble=int(trouble))

    async def play():
        platform = Platform(record)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, platform, trouble), limit_s)
        finally:
            await platform.end()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it says nothing about the rule
        record.add("script", "could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.add("script", "BROKEN", rule=line)
        print(f"broken: {line}")
    if not broken:
        record.add("script", "held")
        print("held")
    sys.exit(1 if broken else 0)
