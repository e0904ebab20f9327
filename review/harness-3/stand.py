"""Stand-ins for the scripts of the third review: the platform's store, replicas, clients, and the
relay's processes. Standard library only; every address is a loopback address.

The store and the replicas follow PROTOCOL.md; where a page is silent they behave as sound ones do.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
# What deploy/system.toml runs on every machine.
COMMAND = [os.path.join(ROOT, "target", "release", "poplarswitch"), "relay"]
HOST = "noti82.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BEAT_S = 1.2

FIELDS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
          421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up; this is no result."""


class Record:
    """record.txt beside the script: what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


def free_net():
    """A /24 of the loopback range in which nothing listens on the fixed metrics port."""
    for _ in range(50):
        net = f"127.{random.randint(40, 120)}.{random.randint(1, 250)}"
        try:
            for last in range(1, 8):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", 9464))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


async def read_head(reader):
    """First line and headers (lower-case names) of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += data
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def work(reader, seconds):
    """Works for so long, or until the caller has closed the connection."""
    end = time.monotonic() + seconds
    while (left := end - time.monotonic()) > 0:
        if reader.at_eof() or reader.exception():
            raise ConnectionError("the caller has left")
        await asyncio.sleep(min(left, 0.02))


def message(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {FIELDS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: objects by kind and name, watches, conditional writes."""

    def __init__(self):
        self.kinds = {}
        self.rev = 100
        self.history = []
        self.changed = asyncio.Event()
        self.servers = []
        # Ports on which calls get no answer.
        self.cut = set()
        # Bytes that stand in answers in place of a text: what another writer has left as it is.
        self.raw = {}
        # What happens to a call: called with (port, method, path), returns seconds to wait before
        # the call is done and seconds to wait before its answer.
        self.delays = lambda port, method, path: (0.0, 0.0)

    async def listen(self, ip, port=0):
        server = await asyncio.start_server(self.serve, ip, port)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, finalizers=()):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and known["spec"] == spec:
            return known
        self.rev += 1
        made = known["metadata"]["create_rev"] if known else self.rev
        thing = {"metadata": {"name": name, "revision": self.rev, "create_rev": made,
                              "finalizers": list(finalizers), "deleting": False},
                 "spec": spec, "status": None}
        objects[name] = thing
        self.note(kind, thing, False)
        return thing

    def remove(self, kind, name):
        thing = self.kinds.get(kind, {}).pop(name, None)
        if thing:
            self.rev += 1
            self.note(kind, thing, True)

    def note(self, kind, thing, removed):
        self.history.append((self.rev, kind, thing, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                while port in self.cut:
                    await asyncio.sleep(0.02)
                    if reader.at_eof():
                        return
                before, after = self.delays(port, method, target)
                if before:
                    await asyncio.sleep(before)
                status, answer = await self.handle(method, target, body)
                # An answer that was awaited when the cut began is lost with its connection.
                if port in self.cut:
                    return
                if after:
                    await asyncio.sleep(after)
                writer.write(message(status, self.encode(answer),
                                     [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def encode(self, answer):
        body = json.dumps(answer).encode()
        for text, raw in self.raw.items():
            body = body.replace(b'"%s"' % text.encode(), raw)
        return body

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            if "watch" in args:
                return await self.watch(kind, int(args["watch"]), int(args.get("wait_ms", 0)))
            names = sorted(name for name in objects if name > args.get("after", ""))
            return 200, {"items": [objects[name] for name in names[:500]],
                         "has_more": len(names) > 500, "current_rev": self.rev}
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, given.get("spec"))
        name = parts[1]
        if name not in objects:
            return 404, {}
        if method == "GET":
            return 200, objects[name]
        given = json.loads(body) if body else {}
        wanted = given.get("metadata", {}).get("revision", args.get("revision"))
        if wanted is not None and int(wanted) != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "PUT":
            return 200, self.put(kind, name, given.get("spec"))
        self.remove(kind, name)
        return 200, {}

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": thing, "removed": removed}
                      for rev, k, thing, removed in self.history if k == kind and rev > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def configure(self, version, routes, services, tenants=None, **limits):
        spec = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits},
                "tenants": tenants or [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}
        self.put("config", "main", spec)


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind,
            "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 2, "service": service,
            "max_attempts": 1, "public": False, "sticky": kind == "stream",
            "resume_streams": False, **({"gap_aim_ms": 1200} if kind == "stream" else {}), **more}


class Replica:
    """A replica; `plan(call)` says how a request is answered (see `serve_call`)."""

    def __init__(self, store, record, name, service, zone, model=True, slots=32):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.model, self.slots = zone, model, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        self.sequence = 0
        # Time after which each request is read.
        self.read_delay = 0.0
        self.runs = []
        self.task = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.task = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "stage": "both", "born": self.born,
                "models": [{"name": "m", "version": 1, "adapters": []}] if self.model else [],
                "sequence": self.sequence})
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                await asyncio.sleep(self.read_delay)
                body = await read_body(reader, head[1])
                if target == "/poplarswitch/report":
                    report = {"stage": "both", "born": self.born, "busy": False, "sequence": 2,
                              "models": [{"name": "m", "version": 1, "adapters": []}],
                              "waiting": 0, "running": self.running, "kv_used": 1000,
                              "kv_total": 640000, "handles": 0}
                    writer.write(message(200, json.dumps(report).encode(),
                                         [("Content-Type", "application/json")]))
                    await writer.drain()
                    continue
                expected = head[1].get("x-expect-instance")
                if expected not in (None, self.name):
                    writer.write(message(421, b"", [("X-Replica-Id", self.name)]))
                    await writer.drain()
                    continue
                await self.serve_call(reader, writer, method, target, head[1], body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_call(self, reader, writer, method, target, headers, body):
        """Runs a request: the path's last part is the number of events of a stream, or the
        milliseconds of work of any other request; a stream has an event every 100 ms."""
        call = headers.get("x-attempt-id", "")
        run = {"id": call, "at": self.record.now(), "end": "at work", "replica": self.name,
               "headers": headers, "target": target, "ended_at": None}
        self.runs.append(run)
        self.running += 1
        self.record(f"{self.name} runs {call} {method} {target}")
        seal = [("X-Attempt-Id", call), ("X-Response-Seal", f"{self.name}.{call}")]
        try:
            amount = int(target.rstrip("/").split("/")[-1])
            if self.model:
                lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                         "Transfer-Encoding: chunked"] + [f"{n}: {v}" for n, v in seal]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                first = int(headers.get("last-event-id") or 0) + 1
                for event in range(first, amount + 1):
                    data = f"id: {event}\ndata: {call} {event} of {amount}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                    await work(reader, 0.1)
                writer.write(b"0\r\n\r\n")
            else:
                await work(reader, amount / 1000)
                writer.write(message(200, f"{self.name} {call}".encode(), seal))
            await writer.drain()
            run["end"] = "whole"
        except ConnectionError:
            run["end"] = "cut"
            raise
        finally:
            self.running -= 1
            run["ended_at"] = self.record.now()
            self.record(f"{self.name} ends {call}: {run['end']}")


class Vm:
    """A process of the relay."""

    def __init__(self, record, folder, name, ip, zone, store, bounds=None, cloud=None, memory=260,
                 peer_port=7340):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.path = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        settings = {
            "node_name": name, "role": "relay", "machine_class": "front",
            "serves": ["front", "directory"], "ip": ip, "zone": zone, "region": "addis",
            "zones": {"bole": "addis", "kality": "addis", "piassa": "addis"},
            "listen": {"frontend": f"{ip}:8227", "ready": f"{ip}:8220",
                       "directory": f"{ip}:8224"},
            "internal_ports": [peer_port, peer_port + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": memory, "max_fds": 4200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                       "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
                       "revoke_strict": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "budget_slack": 52, "recovery_s": 12,
                       "pass_ms": 120, "reuse_window_s": 10, "ttl_max_s": 5, **(bounds or {})},
            "platform": {"address": store, "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576}}
        if cloud:
            settings["cloud"] = cloud
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        if not os.path.exists(COMMAND[0]):
            raise CannotRun("the relay is not built")
        environment = {"PATH": os.environ.get("PATH", ""), "POPLARSWITCH_NODE_FILE": self.path}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"{self.name} starts")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self, grace_s=8.0):
        """Stops the process as the platform does: SIGTERM, and SIGKILL if it is there after the grace."""
        self.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(grace_s, self.kill)

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        else:
            self.record(f"{self.name} has ended by itself")

    async def ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                status, _, _ = await ask(self.ip, 8220, "/poplarswitch/ready")
                if status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class PeerLink:
    """The way from one machine to another. Each machine has an internal port of its own, so that what
    machine A sends to machine B arrives here, at B's address and A's port, and goes on to B's port."""

    def __init__(self, from_ip, from_port, to_ip, to_port):
        self.entry, self.target, self.from_ip = (to_ip, from_port), (to_ip, to_port), from_ip
        self.cut = False
        self.writers = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        link = self
        self.out, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(self.from_ip, 0))

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                if not link.cut:
                    link.out.sendto(data, link.target)

        await loop.create_datagram_endpoint(Receiver, local_addr=self.entry)
        self.server = await asyncio.start_server(self.accept, *self.entry)

    async def accept(self, reader, writer):
        if self.cut:
            # A cut way doesn't answer.
            while self.cut and not reader.at_eof():
                await asyncio.sleep(0.02)
            writer.close()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, other_writer), self.copy(other_reader, writer))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def ask(ip, port, target):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        if head is None:
            raise ConnectionError("no answer")
        body = await read_body(reader, head[1])
        return int(head[0].split()[1]), head[1], body
    finally:
        writer.close()


class Answer:
    """What a client got: status (None without a head), body, and whether it is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = None, {}, b"", False
        self.sent_at, self.ended_at, self.note = 0.0, 0.0, ""


async def call(record, ip, target, call_id, method="POST", deadline_ms=15000, body=b"{}",
               headers=(), key=KEY, port=8227, model=True, leave_after=None):
    """One client attempt on a new connection, which breaks after `leave_after` seconds if they are given."""
    answer = Answer()
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {call_id}",
             f"X-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if model:
        lines += ["X-Model: m", "X-Token-Count: 1460,80",
                  f"X-Prompt-Prefix: 5c1e07a2:800,{abs(hash(call_id)) % 2**32:x}:250"]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode() + (body if method != "GET" else b"")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        answer.sent_at = record.now()
        record(f"client sends {call_id} {method} {target} to {ip}")
        writer.write(request)
        await asyncio.wait_for(take(reader, answer), leave_after or deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.note = "the connection breaks" if leave_after else "the client's deadline passed"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        answer.note = f"{type(error).__name__}"
    finally:
        if writer:
            writer.close()
    answer.ended_at = record.now()
    whole = "complete" if answer.complete else "not complete"
    record(f"client got for {call_id}: {answer.status}, {len(answer.body)} bytes, {whole} "
           f"{answer.note}")
    return answer


async def take(reader, answer):
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    answer.status, answer.headers = int(head[0].split()[1]), head[1]
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                raise ConnectionError("closed inside the answer")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            answer.body += data
            if size == 0:
                break
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.complete = True


def run_case(folder, case):
    """Runs `case(record, net, temporary folder, trouble)`, which returns the broken rules as texts;
    exits with 1 if there are any, 0 if there are none, 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    vms = []
    code = 2

    async def run(temporary):
        # Connections that break when a process ends are part of the cases.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record, free_net(), temporary, trouble, vms), 115)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            record(f"trouble: {trouble}")
            broken = asyncio.run(run(temporary))
            for text in broken:
                record(f"BROKEN {text}")
            record("the rule was broken" if broken else "the rule held")
            code = 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record(f"could not run: {type(error).__name__} {error}")
        finally:
            for vm in vms:
                vm.end()
            if os.environ.get("KEEP_LOGS"):
                os.system(f"cp {temporary}/*.log {os.environ['KEEP_LOGS']}/")
    record.file.close()
    # Without the interpreter's complaints about connections that are still open.
    os._exit(code)
