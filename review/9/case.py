"""A version that was rolled back gets requests again when the next version of its service is ordered.

`TROUBLE=0` leaves the second order out: the bad version is ordered and rolled back, and the rule must hold.
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
ROUTE = "/browse/"
# The route on which the bad version fails, and its part of the requests.
BAD_ROUTE, BAD_ROUTE_PART = "/search/", 0.11
DURATION_S = 16
DRAIN_S = 2.0
# "At `rolled_back`, the new servers drain some seconds later."
SECONDS_UNTIL_DRAIN = 8.0
SECONDS_UNTIL_NEXT_ORDER = 1.0
REQUESTS_PER_S = 120
WORK_S = 0.085
# Part of that route's requests that the bad version fails, as in the site files.
BAD_SHARE = 0.5
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
    prefix = BAD_ROUTE if random.random() < BAD_ROUTE_PART else ROUTE
    return f"{prefix}{random.randrange(10 ** 9)}"


async def start_version(dep, version, is_bad):
    machines = [dep.add_machine(SERVICE, zone) for zone in dep.zones]
    servers = [d.Server(m, SERVICE, version, dep, WORK_S, is_bad) for m in machines]
    for machine, server in zip(machines, servers):
        await server.start()
        dep.start_daemon(machine)
    dep.note(f"{len(servers)} servers of {version} start")
    return machines, servers


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
    await dep.write_config(d.config(1, [SERVICE, FRONT_SERVICE], [
        ("r-browse", HOST, ROUTE, "idempotent", SERVICE),
        ("r-search", HOST, BAD_ROUTE, "idempotent", SERVICE)]))
    await dep.wait_until_ready(old + front, 10.0)
    await asyncio.sleep(4.0)

    ends_at = [float("inf")]
    requesters = [
        asyncio.ensure_future(dep.send_steadily(
            m, HOST, pick_path, REQUESTS_PER_S, 1500, lambda: ends_at[0]))
        for m in front]
    dep.note(f"requesters begin, at the machines of {FRONT_SERVICE}")
    await asyncio.sleep(1.0)

    bad_machines, bad_servers = await start_version(dep, "v2", lambda path: path.startswith(BAD_ROUTE) and random.random() < BAD_SHARE)
    await dep.wait_until_ready(bad_machines, 10.0)
    await asyncio.sleep(2.0)
    ordered_at = await dep.order_rollout(SERVICE, "v2", DURATION_S)
    if await dep.wait_for_state(SERVICE, "v2", ["rolled_back"], DURATION_S) is None:
        raise d.CannotRun("v2 was not rolled back in time")
    rolled_back_at = dep.now()

    async def drain_bad():
        await asyncio.sleep(SECONDS_UNTIL_DRAIN)
        dep.note("the servers of v2 drain")
        await asyncio.gather(*(server.drain(DRAIN_S) for server in bad_servers))
        for machine in bad_machines:
            dep.signal(machine, d.signal.SIGTERM)

    draining = asyncio.ensure_future(drain_bad())
    if HAS_TROUBLE:
        await asyncio.sleep(SECONDS_UNTIL_NEXT_ORDER)
        await start_version(dep, "v3", lambda path: False)
        await dep.order_rollout(SERVICE, "v3", DURATION_S)
    await asyncio.sleep(max(0.0, ordered_at + DURATION_S + 2.0 - dep.now()))
    ends_at[0] = dep.now()
    await asyncio.gather(*requesters)
    await draining
    return judge(dep, ordered_at, rolled_back_at, bad_servers)


def judge(dep, ordered_at, rolled_back_at, bad_servers):
    """Applies the rule EXPOSURE as written. All requesters are at machines that ran throughout."""
    sent_at = {request_id: at for at, _, request_id, _, _, _ in dep.sent}
    window = [run for run in dep.runs if ordered_at <= run.at <= ordered_at + DURATION_S]
    bad = [run for run in window if run.server in bad_servers]
    after = sum(run.at > rolled_back_at for run in bad)
    allowed = EXPOSE_SHARE * len(window) + EXPOSE_SLACK
    lines = [f"{len(bad)} of {len(window)} requests between the order and its time budget reached v2, "
             f"{allowed:.0f} allowed; {after} of them after it was rolled back"]
    broken = len(bad) > allowed
    bad_answers = sorted(run.at for run in dep.runs if run.server in bad_servers and run.is_bad)
    if len(bad_answers) >= BAD_ANSWERS:
        limit = bad_answers[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [run for run in dep.runs if run.server in bad_servers and sent_at[run.request_id] > limit]
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
