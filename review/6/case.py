"""A bad client sends the id of another client's open booking, and the same again as soon as it is turned away. The booking
must not run twice, and the bad client is owed an error or a close."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from standins import *  # noqa: E402,F403

BOOKINGS = 6


async def usual_client(number, dispatcher, record):
    """A booking with an id of its own, which is read to its end."""
    name = txn()
    task = asyncio.create_task(platform(dispatcher, name, "book", 6.0))
    record(f"client {number}: sends booking {name}")
    return name, task


async def bad_client(number, name, dispatcher, record):
    """Sends the id of an open request, and the same again each time that it is turned away."""
    tries = 0
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        tries += 1
        answer = await platform(dispatcher, name, "book", 6.0)
        if answer.status == 200:
            record(f"bad client {number}: try {tries} with the id {name} is served: {answer}")
            return
        if tries == 1:
            record(f"bad client {number}: try 1 with the id {name}: status {answer.status}")
        await asyncio.sleep(0.01)
    record(f"bad client {number}: {tries} tries with the id {name}, none of them served")


async def case(record, folder):
    fleet = Fleet(record)
    dispatcher = None
    try:
        for number in range(2):
            await fleet.add("read", number + 1)
        for number in range(3):
            await fleet.add("write", number + 11)
        agent = Agent(fleet, record)
        await agent.start()
        dispatcher = Dispatcher(folder, agent, record)
        await dispatcher.start()
        names, tasks = [], []
        for number in range(BOOKINGS):
            name, task = await usual_client(number, dispatcher, record)
            names.append(name)
            tasks.append(task)
            await asyncio.sleep(0.6)
            if TROUBLE:
                tasks.append(asyncio.create_task(bad_client(number, name, dispatcher, record)))
        for answer in await asyncio.gather(*tasks):
            if answer is not None and (answer.status != 200 or not answer.whole):
                raise CannotRun(f"a usual client is not served: {answer}")
        broken = []
        for name in names:
            runs = [run for run in fleet.runs if run[2] == name]
            if len(runs) > 1:
                times = ", ".join(f"{run[0] - runs[0][0]:.2f} s at {run[1]}" for run in runs)
                broken.append(f"booking {name} ran {len(runs)} times: {times}")
        return broken
    finally:
        if dispatcher:
            await dispatcher.end()
        await fleet.close()


run_case(case, HERE)
