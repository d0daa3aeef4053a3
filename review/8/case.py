"""Requesters leave by a reset of their connection, and the servers work on for them.

`TROUBLE=0` sends the same requests, and the requesters stay until they are answered.
`LEAVE=close` lets them leave by an ordinary close, for comparison.
"""

import asyncio
import os
import random
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))

import deployment as d  # noqa: E402

SERVICE, FRONT_SERVICE = "catalogue", "bookings"
HOST, ROUTE = "gowns.example", "/browse/"
# All requests last longer than the requesters stay and the rule allows.
WORK_S = 2.0
LEAVE_AFTER_S = 0.3
TIME_BUDGET_MS = 6000
PER_S, SENDING_S = 20, 16.0
# Part of the requesters that leave, and for how long, as in the site files (`give_up`).
LEAVING_ONE_IN, LEAVING_FROM_S, LEAVING_FOR_S = 5, 5.0, 5.5
ALLOWED_S, ALLOWED_PART, A_FEW = 0.5, 0.25, 5
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESETS = os.environ.get("LEAVE", "reset") == "reset"


async def case():
    dep = d.Deployment(os.path.join(os.path.dirname(__file__), "record.txt"))
    try:
        return await play(dep)
    finally:
        await dep.close()


async def send(dep, machine, leaves, left):
    request_id = f"{random.randrange(16 ** 16):016x}"
    reader, writer = await asyncio.open_connection(machine.ip, machine.ports["outbound"])
    writer.write((f"GET {ROUTE}{request_id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                  f"X-Deadline-Ms: {TIME_BUDGET_MS}\r\n\r\n").encode())
    dep.record.write(f"{dep.now():8.3f}  sent {request_id} to {machine.name}\n")
    if not leaves:
        try:
            answer = await asyncio.wait_for(d.read_message(reader), TIME_BUDGET_MS / 1e3)
            status = answer and d.status_of(answer)
        except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError):
            status = None
        dep.record.write(f"{dep.now():8.3f}  answered {request_id} {status}\n")
        writer.close()
        return
    await asyncio.sleep(LEAVE_AFTER_S)
    if RESETS:
        # The system resets a connection that is closed without lingering.
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort() if RESETS else writer.close()
    left[request_id] = dep.now()
    dep.record.write(f"{dep.now():8.3f}  left {request_id}\n")


async def play(dep):
    await dep.start_store()
    machines = [dep.add_machine(SERVICE, zone) for zone in dep.zones]
    servers = [d.Server(m, SERVICE, "v1", dep, WORK_S, slots=24) for m in machines]
    front = [dep.add_machine(FRONT_SERVICE, zone) for zone in dep.zones]
    servers += [d.Server(m, FRONT_SERVICE, "v1", dep, WORK_S) for m in front]
    for server in servers:
        await server.start()
    for machine in machines + front:
        dep.start_daemon(machine, is_first_start=True)
    await asyncio.sleep(4.0)
    cfg = d.config(1, [SERVICE, FRONT_SERVICE], [("r-browse", HOST, ROUTE, "idempotent", SERVICE)])
    cfg["Routes"]["r-browse"].update({"Timeout": "6000ms", "TargetLatency": "4000ms"})
    await dep.write_config(cfg)
    await dep.wait_until_ready(machines + front, 10.0)
    await asyncio.sleep(4.0)

    dep.note("requesters begin")
    left, tasks = {}, []
    for number in range(int(PER_S * SENDING_S)):
        in_time = 0.0 <= number / PER_S - LEAVING_FROM_S < LEAVING_FOR_S
        leaves = HAS_TROUBLE and in_time and number % LEAVING_ONE_IN == 0
        tasks.append(asyncio.ensure_future(send(dep, random.choice(front), leaves, left)))
        await asyncio.sleep(1.0 / PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(TIME_BUDGET_MS / 1e3)
    return judge(dep, left)


def judge(dep, left):
    """Applies the rule GONE as written. All machines are in touch throughout."""
    late = [run for run in dep.runs if run.request_id in left and run.at > left[run.request_id] + ALLOWED_S]
    # Requests that were at work when their requester left.
    lasting = [run for run in dep.runs if run.request_id in left and run.at <= left[run.request_id]]
    at_work = [run for run in lasting if run.ended_at > left[run.request_id] + ALLOWED_S]
    broken = len(late) > A_FEW or len(at_work) > ALLOWED_PART * len(lasting)
    lines = [f"{len(left)} requesters left",
             f"{len(late)} of their requests reached a server over {ALLOWED_S} s later",
             f"servers were still at work {ALLOWED_S} s later on {len(at_work)} of {len(lasting)}",
             "GONE is broken" if broken else "GONE holds"]
    for line in lines:
        dep.note(line)
        print(line)
    return broken


if __name__ == "__main__":
    d.run_case(case)
