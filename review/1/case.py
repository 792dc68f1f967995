"""A new version takes over. A bad client sends the ids of bookings that are still open at the dispatcher."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (Agent, CannotRun, Server, States, ask, free_port, main, member, new_txn,  # noqa: E402
                      platform_request, settings)

BOOKINGS = 6
BOOKING_EACH = 0.6  # s: the page: about 25 requests a second for 3 to 4 dispatchers, 27% of them `book`: 1.7 to 2.3 for each
KILLED_AT = 3.75   # after SIGTERM: the longest deadline, taken as 3 s, plus 0.7 s, and 50 ms more


async def admin(port, line):
    """What the second address answers to a line."""
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
    # The page: a `book` is answered with 180 to 280 tokens, one every 70 ms: these are under way for 12.6 s.
    answers = {"book": (180, 0.07)}
    writers = [await Server(record, states, f"writer{n}", "write", answers=answers).start() for n in (1, 2)]
    agent = await Agent([member(server, n + 1) for n, server in enumerate(readers + writers)]).start()
    config = platform.write_config(agent, settings())
    admin1, admin2 = free_port(), free_port()
    old = await platform.start(config, admin=admin1)
    await platform.wait_ready()
    await asyncio.sleep(1.0)

    txns = [new_txn() for _ in range(BOOKINGS)]
    bookings = []
    for n, txn in enumerate(txns):
        bookings.append(asyncio.create_task(
            ask(record, f"client{n}", platform.port, txn, platform_request(txn, "book", 8.0))))
        await asyncio.sleep(BOOKING_EACH)

    async def kill_later():
        await asyncio.sleep(KILLED_AT)
        if old.returncode is None:
            platform.signal(old, signal.SIGKILL)

    killing = None
    if trouble:
        await platform.start(config, admin=admin2)
        for _ in range(120):
            if (await admin(admin2, "READY")).startswith("OK"):
                break
            await asyncio.sleep(0.05)
        else:
            raise CannotRun("the new version did not become ready")
        record.add("platform", "the new version says yes")
        platform.signal(old, signal.SIGTERM)
        killing = asyncio.create_task(kill_later())
    await asyncio.sleep(0.5)

    open_at_bad = [not booking.done() for booking in bookings]
    record.add("bad client", "sends the ids of the open bookings", open=sum(open_at_bad))
    bad = await asyncio.gather(*(ask(record, "bad client", platform.port, txn, platform_request(txn, "book", 8.0, 1_600))
                                 for txn in txns))
    booked = await asyncio.gather(*bookings)
    if killing is not None:
        await killing
    if not all(open_at_bad):
        raise CannotRun("a booking had ended before the bad client came")

    runs = [run[1] for writer in writers for run in writer.runs]
    broken = []
    for txn, answer, bad_answer in zip(txns, booked, bad):
        record.add("script", "booking", id=txn, status=answer.status, whole=answer.whole, runs=runs.count(txn),
                   bad_client_was_answered=bad_answer.status)
        if runs.count(txn) > 1:
            broken.append(f"duplicate: booking {txn} ran {runs.count(txn)} times, the second time while the first was open; "
                          f"the bad client was answered {bad_answer.status}")
        elif bad_answer.status == 200:
            broken.append(f"lost: the bad client was served under the id of booking {txn}")
    return broken


main(pathlib.Path(__file__).resolve().parent, case)
