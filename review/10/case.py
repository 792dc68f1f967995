"""A booking with a key that the old process of an upgrade takes, whose link dies; its client asks again."""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import rig as r

WINDOW_S = 10.0        # chat.repeats.window_s: longer than the give-up time of the class, 8 s
GIVE_UP_S, WAIT_S = 8.0, 0.6
LOOK_S = 2.0           # the platform asks READY this often
KILL_S = 3.0 + 0.7 + 0.05   # "the longest deadline (taken as 3 s where it is longer) plus 0.7 s", and 50 ms for sockets
SHARED_TOKENS, ADDED_TOKENS = 2_150, 500    # `book`: 560 to 2,300 and 280 to 590
ANSWER_TOKENS, TOKEN_S = 180, 0.07          # 180 to 280, one every 70 ms
READ_S = 0.13                               # 2,650 tokens at 15,000 to 26,000 a second
FRONTS = """
[chat]
enabled = true
listen = "127.0.0.1:{port}"
max_tokens = 200
[chat.models]
kiln-ask = "ask"
kiln-book = "book"
[chat.repeats]
enabled = true
window_s = {window}
after_start_s = 30.0
"""


class DeadLink:
    """Passes bytes on to one address, until it is cut: then nothing passes either way, and nothing is closed."""

    def __init__(self, record, port):
        self.record, self.target, self.is_cut, self.kept = record, port, False, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        near = await asyncio.open_connection("127.0.0.1", self.target)
        self.kept.append((writer, near[1]))
        await asyncio.gather(self.pump(reader, near[1]), self.pump(near[0], writer))

    async def pump(self, source, sink):
        while data := await source.read(65536):
            if self.is_cut:
                await asyncio.sleep(3600)
            sink.write(data)


def booking(key, words):
    # Four characters a token: the shared text, and what this turn adds.
    messages = [{"role": "system", "content": "Kilns. " * (4 * SHARED_TOKENS // 7)},
                {"role": "user", "content": words + " " + "glaze " * ((4 * ADDED_TOKENS - len(words)) // 6)}]
    body = json.dumps({"model": "kiln-book", "stream": True, "messages": messages}).encode()
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: chat.local\r\nContent-Type: application/json\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


async def asked(port, line):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line.encode() + b"\n")
    text = (await asyncio.wait_for(reader.read(), 2)).decode()
    writer.close()
    return text


def kill_unless_ended(rig, process):
    if process.poll() is None:
        rig.signal(process, signal.SIGKILL)


async def case(rig):
    record = rig.record
    readers = [await r.Replica(record, f"s-{i:08x}", "prefill", READ_S).start() for i in range(1, 6)]
    writers = [await r.Replica(record, f"s-{i:08x}", "decode", TOKEN_S, ANSWER_TOKENS, TOKEN_S).start() for i in range(6, 11)]
    replicas = readers + writers
    agent = await r.Discovery(record, replicas).start()
    listen, chat, admins = r.free_port(), r.free_port(), [r.free_port(), r.free_port()]
    fronts = os.path.join(rig.folder, "fronts.toml")
    with open(fronts, "w", encoding="utf-8") as file:
        file.write(FRONTS.format(port=chat, window=WINDOW_S))
    config = rig.configure("n0", agent.port, agent.listing(), r.settings(), listen=f"127.0.0.1:{listen}")
    shared = tempfile.mkdtemp(dir=rig.folder)
    old = rig.spawn(config, shared, fronts, f"127.0.0.1:{admins[0]}")
    await rig.ready(listen)
    link = await DeadLink(record, chat).start()
    # The client's connection is open before the upgrade, so it stays with the old process.
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(booking("friday-0", "Is the line open?"))
    first = await asyncio.wait_for(r.read_answer(reader, r.Answer()), 20)
    record.write(f"the client's first booking, friday-0: {first}")
    if first.status != 200 or not first.whole:
        raise r.CannotRun("the first booking was not served")
    await asyncio.sleep(1.0)
    if r.TROUBLE:
        rig.spawn(config, shared, fronts, f"127.0.0.1:{admins[1]}")
        until = time.monotonic() + 8
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                said = await asked(admins[1], "READY")
            except (OSError, asyncio.TimeoutError):
                said = ""
            record.write(f"READY of the new process: {said.strip()}")
            if said.startswith("OK"):
                break
            if time.monotonic() > until:
                raise r.CannotRun("the new process was not ready in 6 s")
        rig.signal(old, signal.SIGTERM)
        asyncio.get_running_loop().call_later(KILL_S, kill_unless_ended, rig, old)
    else:
        await asyncio.sleep(LOOK_S)
    await asyncio.sleep(0.3)
    writer.write(booking("friday-1", "Book the glaze firing on Friday."))
    await writer.drain()
    sent = time.monotonic()
    record.write("the client sends the booking friday-1 on its open connection")
    await asyncio.sleep(0.03)
    link.is_cut = True
    record.write("its link dies: nothing passes any more")
    await asyncio.sleep(max(0.0, sent + GIVE_UP_S - time.monotonic()))
    writer.close()
    record.write("the client gives up and asks again from a new address")
    await asyncio.sleep(WAIT_S)
    await r.exchange(record, chat, booking("friday-1", "Book the glaze firing on Friday."), "the repeat of friday-1", 20)
    await asyncio.sleep(1.0)
    runs = [run for replica in replicas for run in replica.runs if b"glaze firing on Friday" in run[3]]
    record.write(f"the booking friday-1 ran {len(runs)} times, at {[round(run[0], 3) for run in runs]}")
    if not runs:
        raise r.CannotRun("the booking never ran")
    return r.BROKEN if len(runs) > 1 else r.HELD


r.run(__file__, case)
