"""A version that is bad on one route only completes its rollout when the service has more than twelve routes.

`TROUBLE=0` orders a good version instead, which must complete, with the rule kept.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))

import deployment as d  # noqa: E402

SERVICE = "catalogue"
FRONT_SERVICE = "bookings"
HOST = "gowns.example"
ROUTES = 16
# The route on which the bad version fails has fewer of the requests than the fifteen others.
BAD_ROUTE, BAD_ROUTE_PART = "/shelf-16/", 0.03
BAD_SHARE = 0.5
DURATION_S = 16
AFTER_END_S = 22.0
DRAIN_S = 2.0
REQUESTS_PER_S = 100
WORK_S = 0.04
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
BAD_ANSWERS, ROLLBACK_S = 50, 5.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def case():
    dep = d.Deployment(os.path.join(os.path.dirname(__file__), "record.txt"))
    try:
        return await play(dep)
    finally:
        await dep.close()


def pick_path():
    number = ROUTES if random.random() < BAD_ROUTE_PART else random.randrange(1, ROUTES)
    return f"/shelf-{number:02}/{random.randrange(10 ** 9)}"


def is_bad(path):
    return HAS_TROUBLE and path.startswith(BAD_ROUTE) and random.random() < BAD_SHARE


async def play(dep):
    await dep.start_store()
    old = [dep.add_machine(SERVICE, zone) for zone in dep.zones]
    old_servers = [d.Server(m, SERVICE, "v1", dep, WORK_S) for m in old]
    front = [dep.add_machine(FRONT_SERVICE, zone) for zone in dep.zones]
    front_servers = [d.Server(m, FRONT_SERVICE, "v1", dep, WORK_S) for m in front]
    for server in old_servers + front_servers:
        await server.start()
    for machine in old + front:
        dep.start_daemon(machine, is_first_start=True)
    await asyncio.sleep(4.0)
    routes = [(f"r-shelf-{n:02}", HOST, f"/shelf-{n:02}/", "idempotent", SERVICE) for n in range(1, ROUTES + 1)]
    await dep.write_config(d.config(1, [SERVICE, FRONT_SERVICE], routes))
    await dep.wait_until_ready(old + front, 10.0)
    await asyncio.sleep(4.0)

    ends_at = [float("inf")]
    requesters = [
        asyncio.ensure_future(dep.send_steadily(
            m, HOST, pick_path, REQUESTS_PER_S, 1500, lambda: ends_at[0]))
        for m in front]
    dep.note(f"requesters begin, at the machines of {FRONT_SERVICE}")
    await asyncio.sleep(1.0)

    new = [dep.add_machine(SERVICE, zone) for zone in dep.zones]
    new_servers = [d.Server(m, SERVICE, "v2", dep, WORK_S, is_bad) for m in new]
    for machine, server in zip(new, new_servers):
        await server.start()
        dep.start_daemon(machine)
    await dep.wait_until_ready(new, 10.0)
    await asyncio.sleep(2.0)
    ordered_at = await dep.order_rollout(SERVICE, "v2", DURATION_S)
    state = await dep.wait_for_state(SERVICE, "v2", ["complete", "rolled_back"], DURATION_S + 10.0)
    if state == "complete":
        # "At `complete`, the old servers stop immediately, without draining."
        await asyncio.gather(*(server.stop() for server in old_servers))
        for machine in old:
            dep.signal(machine, d.signal.SIGTERM)
        await asyncio.sleep(AFTER_END_S if HAS_TROUBLE else 5.0)
    elif state == "rolled_back":
        await asyncio.sleep(3.0)
        await asyncio.gather(*(server.drain(DRAIN_S) for server in new_servers))
        await asyncio.sleep(5.0)
    ends_at[0] = dep.now()
    await asyncio.gather(*requesters)
    return judge(dep, ordered_at, state, new_servers)


def judge(dep, ordered_at, state, new_servers):
    """Applies the rule EXPOSURE as written. All requesters are at machines that ran throughout."""
    sent_at = {request_id: at for at, _, request_id, _, _, _ in dep.sent}
    window = [run for run in dep.runs if ordered_at <= run.at <= ordered_at + DURATION_S]
    new = [run for run in window if run.server in new_servers]
    lines = [f"the rollout of v2 ended as {state}"]
    broken = False
    if HAS_TROUBLE:
        allowed = EXPOSE_SHARE * len(window) + EXPOSE_SLACK
        lines.append(f"{len(new)} of {len(window)} requests between the order and its time budget reached v2, "
                     f"{allowed:.0f} allowed")
        broken = len(new) > allowed
        bad_answers = sorted(run.at for run in dep.runs if run.is_bad)
        lines.append(f"{len(bad_answers)} bad answers of v2")
        if len(bad_answers) >= BAD_ANSWERS:
            limit = bad_answers[BAD_ANSWERS - 1] + ROLLBACK_S
            late = [run for run in dep.runs if run.server in new_servers and sent_at[run.request_id] > limit]
            lines.append(f"{len(late)} requests to v2 were sent later than {ROLLBACK_S:.0f} s after its "
                         f"{BAD_ANSWERS}th bad answer")
            broken = broken or bool(late)
    statuses = {}
    for _, _, _, _, status, _ in dep.sent:
        statuses[status] = statuses.get(status, 0) + 1
    lines.append(f"answers to the requesters: {statuses}")
    lines.append("EXPOSURE is broken" if broken else "EXPOSURE holds")
    for line in lines:
        dep.note(line)
        print(line)
    return broken


if __name__ == "__main__":
    d.run_case(case)
