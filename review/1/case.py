"""A new version is started beside the old one. A bad client sends the id of another client's open booking."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (Agent, Server, States, ask, free_port, main, member, new_txn, platform_request, settings,  # noqa: E402
                      CannotRun)


async def admin(port, line):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        text = await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
        return text.decode()
    except (OSError, asyncio.TimeoutError):
        return ""


async def case(record, platform, trouble):
    states = States()
    readers = [await Server(record, states, f"reader{n}", "read").start() for n in (1, 2)]
    writers = [await Server(record, states, f"writer{n}", "write", events=100, interval_s=0.06).start() for n in (1, 2)]
    agent = await Agent([member(server, n + 1) for n, server in enumerate(readers + writers)]).start()
    config = platform.write_config(agent, settings())
    admin1, admin2 = free_port(), free_port()
    old = await platform.start(config, admin=admin1)
    await platform.wait_ready()
    await asyncio.sleep(1.0)
    if trouble:
        await platform.start(config, admin=admin2)
        for _ in range(120):
            if (await admin(admin2, "READY")).startswith("OK"):
                break
            await asyncio.sleep(0.05)
        else:
            raise CannotRun("the new version did not become ready")
        record.add("platform", "the new version says yes")
    txns = [new_txn() for _ in range(6)]
    victims = [asyncio.create_task(ask(platform.port, platform_request(txn, "book", 8.0))) for txn in txns]
    await asyncio.sleep(0.5)
    bad = await asyncio.gather(*(ask(platform.port, platform_request(txn, "book", 8.0, 4_000)) for txn in txns for _ in (1, 2)))
    if trouble:
        platform.signal(old, signal.SIGTERM)
    answers = await asyncio.gather(*victims)
    runs = [run[1] for writer in writers for run in writer.runs]
    broken = []
    for n, (txn, answer) in enumerate(zip(txns, answers)):
        served = [b.status for b in bad[2 * n:2 * n + 2]]
        record.add("script", "booking", id=txn, status=answer.status, whole=answer.whole, runs=runs.count(txn), bad=served)
        if runs.count(txn) > 1:
            broken.append(f"duplicate: booking {txn} ran {runs.count(txn)} times; the bad client was answered {served}")
    return broken


main(pathlib.Path(__file__).resolve().parent, case)
