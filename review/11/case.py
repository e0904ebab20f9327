"""A machine that has been told to leave takes a stream that it then cuts."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))
from stand import Replica, Store, Vm, call, route, run_case  # noqa: E402

GRACE_S = 8.0
# Requests sent no later than this after the SIGTERM may be cut if they last into the last sixth.
LATE_S = 3.0


async def case(record, net, folder, trouble, vms):
    store = Store()
    port = await store.listen(f"{net}.100")
    replicas = []
    for n, zone in enumerate(["bole", "kality", "piassa"]):
        replica = Replica(store, record, f"i-{n}a57{n}", "assistant", zone)
        replicas.append(await replica.start(f"{net}.{110 + n}"))
    store.configure(7, [route("recon", "stream", "assistant")],
                    [{"name": "assistant", "health_path": "/health", "max_connections": 230,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 32, "kv_tokens": 640000}}])
    for n, zone in enumerate(["bole", "kality", "piassa"]):
        vm = Vm(record, folder, f"front-{zone}-1", f"{net}.{1 + n}", zone, f"{net}.100:{port}")
        vms.append(vm)
        vm.start()
    await asyncio.gather(*(vm.ready() for vm in vms))
    # Some traffic before: every machine has answered a few short streams of the route.
    await asyncio.gather(*(call(record, vm.ip, "/recon/10", f"short-{vm.name}-{n}")
                           for vm in vms for n in range(3)))
    leaving = vms[0]
    term_at = record.now()
    if trouble:
        leaving.stop()
    # A client keeps a response of the directory for up to three times its time to live, which is
    # 1.5 s, and so may open a connection to a machine that left the list 3 to 4.5 s ago.
    await asyncio.sleep(LATE_S + 0.2 - (record.now() - term_at))
    answers = await asyncio.gather(*(
        call(record, leaving.ip, "/recon/60", f"long-{n}") for n in range(4)))
    runs = {run["id"]: run for replica in replicas for run in replica.runs}
    broken = []
    for n, answer in enumerate(answers):
        run = runs.get(f"long-{n}")
        after = answer.sent_at - term_at
        in_time = answer.ended_at - answer.sent_at < 14.0
        if run and not answer.complete and after > LATE_S and in_time:
            broken.append(f"LOST: long-{n}, sent {after:.2f} s after the SIGTERM, was passed on to "
                          f"{run['replica']} and its connection ended without a complete answer "
                          f"after {answer.ended_at - answer.sent_at:.2f} s")
    if not trouble and not all(answer.complete and answer.status == 200 for answer in answers):
        broken.append("a stream was not served without the disruption")
    return broken


run_case(HERE, case)
