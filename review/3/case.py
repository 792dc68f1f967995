"""A planned restart: SIGTERM, then SIGKILL as early as the page allows. Some clients write slowly. A request that is
whole over 0.7 s after SIGTERM has to get its answer whole, or a refusal, before the kill."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (Agent, Answer, Server, States, main, member, new_txn, platform_request,  # noqa: E402
                      read_answer, second_settings)

CLIENTS = 7
CLIENT_EACH = 0.09          # s: 11 a second; the page: about 24 requests a second for 2 to 3 dispatchers, 8 to 12 for each
FIRST_ENDS_AT = 0.42        # after SIGTERM: the last byte of the first client; of the last one 0.96 s
WRITES_FOR = 0.6            # s: the page: "some over 2 s". So they connect from 0.18 s before SIGTERM to 0.36 s after it;
#                             the page: new connections keep arriving for 0.2 to 0.4 s
LATE = 0.75                 # after SIGTERM: 0.7 s, and the 50 ms that every limit has on sockets
KILLED_AT = 3.75            # after SIGTERM: the longest deadline, taken as 3 s, plus 0.7 s; and the same 50 ms
LANES = {"lukema-kysely": 5.0, "vertailu": 15.0, "asetus-muutos": 6.0}
# Tokens and seconds a token; the page: 120 to 230 and 60 ms, 42 to 150 and 80 ms, 160 to 270 and 70 ms.
ANSWERS = {"lukema-kysely": (150, 0.06), "vertailu": (120, 0.08), "asetus-muutos": (180, 0.07)}


async def slow_client(record, port, number, start):
    name, lane = f"client{number}", list(LANES)[number % 3]
    last_byte_at = FIRST_ENDS_AT + CLIENT_EACH * number
    connect_at = last_byte_at - WRITES_FOR
    answer = Answer()
    txn = new_txn()
    text = platform_request(txn, lane, LANES[lane])
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, start + connect_at - loop.time()))
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        record.add(name, "connects and writes a part", id=txn, lane=lane)
        pieces = 6
        size = (len(text) + pieces - 1) // pieces
        parts = [text[at:at + size] for at in range(0, len(text), size)]
        for piece, part in enumerate(parts):
            due = start + connect_at + (last_byte_at - connect_at) * piece / (len(parts) - 1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            writer.write(part)
            await writer.drain()
        answer.sent_at = loop.time() - start
        record.add(name, "wrote the last byte", id=txn, after_sigterm=f"{answer.sent_at:.3f}")
        await read_answer(reader, answer)
        writer.close()
    except (ConnectionError, OSError) as error:
        record.add(name, "connection", id=txn, error=repr(error))
    answer.ended_at = loop.time() - start
    record.add(name, "answered", id=txn, status=answer.status, whole=answer.whole, bytes=len(answer.data),
               after_sigterm=f"{answer.ended_at:.3f}")
    return txn, answer


async def case(record, platform, trouble):
    states = States()
    readers = [await Server(record, states, f"reader{n}", "read").start() for n in (1, 2)]
    writers = [await Server(record, states, f"writer{n}", "write", answers=ANSWERS).start() for n in (1, 2)]
    members = [member(server, n + 1, zone="sali-a", kinds=("esi", "jatko")) for n, server in enumerate(readers + writers)]
    agent = await Agent(members).start()
    process = await platform.start(platform.write_config(agent, second_settings()))
    await platform.wait_ready()
    await asyncio.sleep(2.0)
    loop = asyncio.get_running_loop()
    start = loop.time() + 0.5  # when SIGTERM is sent
    clients = [asyncio.create_task(slow_client(record, platform.port, n, start)) for n in range(CLIENTS)]
    await asyncio.sleep(start - loop.time())
    if trouble:
        platform.signal(process, signal.SIGTERM)
        await asyncio.sleep(max(0.0, start + KILLED_AT - loop.time()))
        if process.returncode is None:
            platform.signal(process, signal.SIGKILL)
        else:
            record.add("platform", "the dispatcher has ended by itself", code=process.returncode)
    answers = await asyncio.gather(*clients)
    broken = []
    forwarded = {run[1] for writer in writers for run in writer.runs}
    for txn, answer in answers:
        # Taken: its last byte was written. A refusal (429, 503) or any other whole answer is a final answer.
        # A connection that ends with nothing sent on may have crossed the close: the client sends that request again.
        late = answer.sent_at is not None and answer.sent_at > LATE
        if late and txn in forwarded and not answer.whole:
            broken.append(f"lost: request {txn}, taken {answer.sent_at:.3f} s after SIGTERM, was sent to a writer, and its "
                          f"stream was cut by SIGKILL after {len(answer.data)} bytes")
        if not trouble and not answer.whole:
            broken.append(f"lost: request {txn} has no whole answer")
    return broken


main(pathlib.Path(__file__).resolve().parent, case)
