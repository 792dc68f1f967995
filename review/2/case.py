"""Bad clients send requests of the longest allowed size at once, in pieces of one byte (chunked). The dispatcher has to
stay within `limits.memory_mb`, and the usual clients have to get their answers."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (Agent, Server, States, ask, main, member, new_txn, platform_request, settings)  # noqa: E402

MEMORY_MB = 48      # the page: 32 to 192 MB
SOCKETS = 512       # the page: 256 to 1,024 descriptors
BAD_REQUESTS = 16   # the page: hundreds of requests at once
BODY = 250_000      # the page: 256 KiB at most
USUAL = 6           # one each 0.15 s, 6.7 a second; the page: about 25 a second for 3 to 4 dispatchers, 6.3 to 8.3 for each
SHARED = 9_100      # bytes of a request's body beside the words that it adds, rounded up


def in_chunks(text, size):
    """The same request with a chunked body, in chunks of `size` bytes."""
    head, body = text.split(b"\r\n\r\n", 1)
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    lines.append(b"Transfer-Encoding: chunked")
    parts = [body[at:at + size] for at in range(0, len(body), size)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


async def case(record, platform, trouble):
    # Made before the stand-ins start, as it takes some seconds in which nothing else would run.
    size = 1 if trouble else 4_096
    bad = []
    for n in range(BAD_REQUESTS):
        txn = new_txn()
        bad.append((f"bad{n}", txn, in_chunks(platform_request(txn, "ask", 6.0, BODY - SHARED), size)))
    states = States()
    readers = [await Server(record, states, f"reader{n}", "read").start() for n in (1, 2)]
    answers = {"ask": (180, 0.06), "book": (180, 0.07)}  # the page: 120 to 230 and 180 to 280 tokens
    writers = [await Server(record, states, f"writer{n}", "write", answers=answers).start() for n in (1, 2)]
    agent = await Agent([member(server, n + 1) for n, server in enumerate(readers + writers)]).start()
    config = platform.write_config(agent, settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    process = await platform.start(config)
    await platform.wait_ready()
    watching = asyncio.create_task(platform.watch_memory(process, MEMORY_MB))
    usual = []
    for n in range(USUAL):
        txn, lane = new_txn(), ("ask", "ask", "book")[n % 3]
        usual.append(asyncio.create_task(
            ask(record, f"usual{n}", platform.port, txn, platform_request(txn, lane, 6.0))))
        await asyncio.sleep(0.15)
    record.add("bad clients", "send at once", requests=BAD_REQUESTS, body=f"under {BODY}", chunk=size)
    await asyncio.gather(*(ask(record, name, platform.port, txn, text) for name, txn, text in bad))
    answers = await asyncio.gather(*usual)
    watching.cancel()
    record.add("platform", "peak memory", mb=f"{platform.peak_mb:.1f}", limit=MEMORY_MB)
    broken = []
    if platform.over_memory:
        cut = sum(not answer.whole for answer in answers)
        broken.append(f"crash: over {MEMORY_MB} MB after {BAD_REQUESTS} requests of just under {BODY} bytes, so it was killed; "
                      f"{cut} of {USUAL} usual clients did not get their whole answer")
    elif process.returncode is not None:
        broken.append(f"crash: the dispatcher ended with {process.returncode}")
    return broken


main(pathlib.Path(__file__).resolve().parent, case)
