"""One entry of another writer with a number that can't be read keeps all machines from serving after they
were killed together."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))
from stand import Replica, Store, Vm, call, route, run_case  # noqa: E402

RECOVERY_S = 12.0
DOWN_S = 0.8
# What the other writer has left: as printed by a program that has no other word for "not a number".
ODD = (b'{"service":"depot","address":"%s:9","zone":"bole","version":"v1","slots":6,"state":"ready",'
       b'"cold_remaining_ms":NaN,"born":1765000000000,"sequence":1}')


async def serve(record, vms, prefix, count):
    """Shares of requests that are served; each client asks all machines in turn."""
    answers = []
    for n in range(count):
        answers += await asyncio.gather(*(
            call(record, vm.ip, "/list/20", f"{prefix}-{vm.name}-{n}", method="GET", deadline_ms=4000,
                 model=False) for vm in vms))
        await asyncio.sleep(0.1)
    served = sum(answer.complete and answer.status == 200 for answer in answers)
    record(f"served {served} of {len(answers)} requests ({prefix})")
    return served / len(answers)


async def case(record, net, folder, trouble, vms):
    store = Store()
    port = await store.listen(f"{net}.100")
    zones = ["bole", "kality", "piassa"]
    for n, zone in enumerate(zones):
        replica = Replica(store, record, f"i-{n}d57{n}", "depot", zone, model=False, slots=6)
        await replica.start(f"{net}.{110 + n}")
    store.configure(7, [route("list", "safe", "depot", timeout_ms=2000, target_latency_ms=300,
                              max_attempts=2)],
                    [{"name": "depot", "health_path": "/health", "max_connections": 96,
                      "protocol": "h1", "tls": False}])
    for n, zone in enumerate(zones):
        vm = Vm(record, folder, f"front-{zone}-1", f"{net}.{1 + n}", zone, f"{net}.100:{port}")
        vms.append(vm)
        vm.start()
    await asyncio.gather(*(vm.ready() for vm in vms))
    if trouble:
        store.raw["@@odd@@"] = ODD % f"{net}.120".encode()
        store.put("servers", "other-1", "@@odd@@")
        record("another writer writes the entry servers/other-1: " + store.raw["@@odd@@"].decode())
    await asyncio.sleep(3)
    before = await serve(record, vms, "before", 10)
    # The final fault: all processes are killed, and start again (also without the entry).
    for vm in vms:
        vm.end()
        record(f"{vm.name} is killed")
    await asyncio.sleep(DOWN_S)
    for vm in vms:
        vm.start()
    await asyncio.sleep(RECOVERY_S + 0.5)
    after = await serve(record, vms, "after", 10)
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {after:.2f} of the requests that were sent later than {RECOVERY_S:.0f} s after "
                f"the machines were back were served, {before:.2f} before the final fault"]
    return []


run_case(HERE, case)
