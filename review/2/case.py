"""A daemon that crashes just after it acknowledged that its server leaves sends the server requests again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import mesh

DRAIN = 2.0
STABLE_WINDOW = 3.0
HOST, PATH = "shop.example", "/hold/"
WORK = 0.29
# Seconds from the acknowledgement to the kill.
KILL_AFTER = float(os.environ.get("KILL_AFTER", "0.2"))


async def case(world):
    machines = [world.machine(f"sidecar-attiki-a-{n}", n, "attiki-a", "apothiki") for n in (1, 2, 3)]
    routes = {"r-hold": mesh.route(HOST, PATH, "non_idempotent", "apothiki")}
    await world.start(mesh.config(7, routes, ["apothiki"]))
    servers = [await world.server(machine, "v1", lambda _server, _path: (WORK, 200)) for machine in machines]
    await world.wait_ready()
    await asyncio.sleep(4.0)

    async def hold(machine):
        if machine.process.poll() is None:
            await world.request(machine, "POST", HOST, PATH + "paste", 2000, b"{}")

    traffic = [world.traffic(machine, per_s, hold) for machine, per_s in zip(machines, (24, 6, 6))]
    await asyncio.sleep(5.0)

    # The server never reports `draining`: it deregisters first, and goes on serving.
    daemon, server = machines[0], servers[0]
    server.stop_heartbeats()
    left_at = await server.deregister()
    if left_at is None:
        raise mesh.Blocked("the leaving was not acknowledged")
    server.state = "draining"
    world.record.say("server", server.id, "has left: acknowledged")
    if world.trouble:
        await asyncio.sleep(KILL_AFTER)
        daemon.kill()
        await asyncio.sleep(0.5)
        daemon.start()
        await world.wait_ready([daemon])
        world.record.say("daemon", daemon.name, "is ready again")
    # It serves for `Drain` after the acknowledgement and some seconds longer.
    await asyncio.sleep(left_at + 5.0 - world.record.now())
    server.exit()
    await asyncio.sleep(3.0)
    for task in traffic:
        task.cancel()
    await asyncio.sleep(1.5)

    touch_at = daemon.started_at + STABLE_WINDOW
    late, lost = [], []
    for id_, entry in world.requests.items():
        for at, by, _ in entry["runs"]:
            in_touch = entry["machine"] is not daemon or entry["sent"] >= touch_at
            if by is server and at > left_at + DRAIN and at >= touch_at and in_touch:
                late.append(id_)
                if entry["status"] != 200:
                    lost.append(id_)
                world.record.write("late run", id_, "taken by", entry["machine"].name, f"{at - left_at:.3f} s after the ack")
    served = sum(1 for entry in world.requests.values() if entry.get("status") == 200)
    world.record.say(
        f"{len(world.requests)} requests, {served} served;", f"{len(late)} reached the server later than Drain after the",
        f"acknowledgement, by machines in touch; {len(lost)} of these got no answer of the server",
    )
    return not late


mesh.main(case, FOLDER)
