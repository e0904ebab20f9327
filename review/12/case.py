"""A replica of a newer version joins and is taken away again while a machine is cut off. That machine
never hears of the version, and lets its streams go on at the older one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))
from stand import PeerLink, Replica, Store, Vm, call, route, run_case  # noqa: E402

CALM_S = 31.0       # longer than VMs remember the versions of a service
CUT_S = 4.2
STREAMS = 24
EVENTS = 90
ALLOWED = 2
TRIES = 5


class Engine(Replica):
    """A model replica whose events name its version."""

    version = "v1"

    async def start(self, ip):
        self.task = None
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.writers = set()
        self.task = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "stage": "both", "born": self.born,
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence})
            await asyncio.sleep(1.2)

    async def serve_call(self, reader, writer, method, target, headers, body):
        call_id = headers.get("x-attempt-id", "")
        first = int(headers.get("last-event-id") or 0) + 1
        self.record(f"{self.name} of {self.version} runs {call_id} from event {first}")
        self.writers.add(writer)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"X-Attempt-Id: {call_id}", f"X-Response-Seal: {self.name}.{call_id}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for event in range(first, EVENTS + 1):
            data = f"id: {event}\ndata: {self.version} {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.1)
            if reader.at_eof():
                raise ConnectionError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def leave(self):
        """Its entry is removed, without a report that it drains; it serves on for a while."""
        self.task.cancel()
        self.store.remove("servers", self.name)
        self.record(f"the entry of {self.name} is removed")

    def end(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.record(f"{self.name} has ended")


def events_of(answer):
    """Numbers and versions of the whole events in an answer."""
    found = []
    for block in answer.body.decode().split("\n\n")[:-1]:
        for line in block.split("\n"):
            if line.startswith("data: "):
                version, number = line[6:].split()
                found.append((int(number), version))
    return found


async def stream(record, vms, name, streams):
    """A client that begins a stream at the first machine, and takes it up at the second one."""
    events = streams[name] = []
    answer = await call(record, vms[0].ip, "/chat/1", name, deadline_ms=15000)
    events += events_of(answer)
    record(f"stream {name}: {len(events)} events of {set(v for _, v in events)}")
    wait = 0.0
    for n in range(TRIES):
        if answer.complete and answer.status == 200 or not events:
            return
        await asyncio.sleep(wait)
        answer = await call(record, vms[1].ip, "/chat/1", f"{name}-{n}", deadline_ms=8000, headers=[
            ("Resumes", name), ("Last-Event-Id", str(events[-1][0]))])
        events += events_of(answer)
        wait = float(answer.headers.get("retry-after", 0.1))


async def case(record, net, folder, trouble, vms):
    store = Store()
    ports = [await store.listen(f"{net}.100"), await store.listen(f"{net}.100")]
    for n in range(3):
        engine = Engine(store, record, f"i-{n}e57{n}", "assistant", "bole")
        engine.born -= 3_600_000
        await engine.start(f"{net}.{110 + n}")
    store.configure(7, [route("chat", "stream", "assistant", resume_streams=True, max_attempts=2,
                              gap_aim_ms=600)],
                    [{"name": "assistant", "health_path": "/health", "max_connections": 230,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 32, "kv_tokens": 640000}}])
    peer_ports = [7340, 7380]
    for n, zone in enumerate(["bole", "kality"]):
        vm = Vm(record, folder, f"front-{zone}-1", f"{net}.{1 + n}", zone, f"{net}.100:{ports[n]}",
                peer_port=peer_ports[n])
        vms.append(vm)
        vm.start()
    links = [PeerLink(vms[a].ip, peer_ports[a], vms[b].ip, peer_ports[b]) for a, b in ((0, 1), (1, 0))]
    for link in links:
        await link.start()
    await asyncio.gather(*(vm.ready() for vm in vms))
    await asyncio.sleep(CALM_S - 7)
    before = [asyncio.create_task(call(record, vms[0].ip, "/chat/1", f"before-{n}")) for n in range(6)]
    await asyncio.sleep(7)
    cut_at = record.now()
    if trouble:
        store.cut.add(ports[1])
        for link in links:
            link.cut = True
        record("front-kality-1 is cut off from the store and the other machine")
    newer = Engine(store, record, "i-9f579", "assistant", "bole")
    newer.version = "v2"
    await newer.start(f"{net}.119")
    record("i-9f579 of v2 has joined")
    await asyncio.sleep(0.9)
    streams = {}
    running = []
    for n in range(STREAMS):
        running.append(asyncio.create_task(stream(record, vms, f"s{n}", streams)))
        await asyncio.sleep(0.02)
    newer.leave()
    await asyncio.sleep(2.1)
    newer.end()
    if trouble:
        await asyncio.sleep(0.1)
        vms[0].end()
        record("front-bole-1 is killed")
    await asyncio.sleep(max(0.0, CUT_S - (record.now() - cut_at)))
    if trouble:
        store.cut.clear()
        for link in links:
            link.cut = False
        record("the cut heals")
    await asyncio.gather(*running, *before)
    mixed = []
    for name, events in streams.items():
        versions = sorted(set(version for _, version in events))
        record(f"stream {name}: {len(events)} events of versions {versions}")
        if len(versions) > 1:
            mixed.append(name)
    if len(mixed) > ALLOWED:
        return [f"ORDER: {len(mixed)} streams hold events of two versions ({', '.join(mixed)}); "
                f"{ALLOWED} are allowed"]
    return []


run_case(HERE, case)
