"""Small stand-ins of the platform, the searchers and the clients.

They use the standard library only. The store follows the page PROTOCOL.md,
"The platform's metadata store"; the searchers follow "Searchers" and
"Answers". Where a page is silent they behave like a sound store or searcher.
All sockets are on 127.0.0.1.
"""

import asyncio
import json
import os
from pathlib import Path
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = Path(__file__).resolve().parents[2]
HOST = "pupu76.example"
START = time.monotonic()
# A case that could not start, because a port was taken, is started again.
MAX_STARTS = 3
MAX_DURATION_S = 115


def now():
    """Return the seconds since the script started."""
    return time.monotonic() - START


def free_ports(count):
    """Return ports that are free at the moment.

    They are below the range from which the system takes the ports of outgoing
    connections, so that none of those takes one before it is bound.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def verdict(self, text):
        """Write a line and print it too."""
        self(text)
        print(text)


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: objects by kind and name, watches, one revision."""

    def __init__(self, port):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._revision = 1
        self._kinds = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def put(self, kind, name, spec):
        """Write an object as operators and searchers do."""
        self._revision += 1
        meta = {
            "name": name,
            "revision": self._revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self._kinds.setdefault(kind, {})[name] = item
        self._add_event(kind, item, False)
        return item

    def remove(self, kind, name):
        """Remove an object."""
        item = self._kinds[kind].pop(name)
        self._revision += 1
        meta = {**item["meta"], "revision": self._revision}
        self._add_event(kind, {**item, "meta": meta}, True)

    def _add_event(self, kind, item, removed):
        self._events.append((self._revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, content = await self._answer(method, target, body)
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        items = self._kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            listed = [items[key] for key in sorted(items)]
            return 200, {
                "items": listed,
                "hasMore": False,
                "asOf": self._revision,
            }
        if method == "GET":
            return (200, items[name]) if name in items else (404, {})
        sent = json.loads(body)
        name = name or sent["meta"]["name"]
        if method == "POST":
            if name in items:
                return 409, items[name]
            return 200, self.put(kind, name, sent.get("spec"))
        if method == "PUT":
            if name not in items:
                return 404, {}
            revision = sent.get("meta", {}).get("revision")
            if revision not in (None, items[name]["meta"]["revision"]):
                return 409, items[name]
            return 200, self.put(kind, name, sent.get("spec"))
        return 405, {}

    async def _watch(self, kind, query):
        after = int(query["watch"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": item, "removed": removed}
                for revision, event_kind, item, removed in self._events
                if event_kind == kind and revision > after
            ]
            wait_s = deadline - time.monotonic()
            if events or wait_s <= 0:
                return 200, {"events": events, "asOf": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass


class Run:
    """A request that a searcher began to work on."""

    def __init__(self, searcher, request_id, method, target, body):
        self.searcher = searcher
        self.request_id = request_id
        self.method = method
        self.target = target
        self.body = body
        self.at = now()


class Searcher:
    """A sound searcher: slots, a queue, health, 421 for another instance.

    ``respond`` takes a Run and returns status, extra headers and body; it may
    be replaced for a searcher in trouble.
    """

    def __init__(self, name, service, zone, port, record, work_s, slots=4,
                 queue=16):
        self.name, self.service, self.zone = name, service, zone
        self.port = port
        self.work_s = work_s
        self.capacity = slots
        self.runs = []
        self._queue = queue
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._record = record
        self._server = None
        self._seq = 0
        self.respond = self.answer_soundly

    def entry(self):
        """Return its entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": self._seq,
        }

    def stamp(self, run):
        """Return the digest of its answer."""
        return f"{self.name}.{run.request_id}.{len(self.runs)}"

    def answer_soundly(self, run):
        return 200, {"X-Server-Stamp": self.stamp(run)}, b"x" * 200

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                await self._handle(
                    method, target, headers, body, reader, writer
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            self._write(writer, 421, {"X-Instance-Id": self.name}, b"")
            return
        if self._slots.locked() and self._waiting >= self._queue:
            self._write(
                writer, 503,
                {"X-Not-Executed": "1", "X-Request-Id": request_id}, b"",
            )
            return
        arrived = time.monotonic()
        limit_s = int(headers.get("x-deadline-ms", "60000")) / 1000
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() - arrived > limit_s:
                self._write(
                    writer, 503,
                    {"X-Not-Executed": "1", "X-Request-Id": request_id}, b"",
                )
                return
            run = Run(self.name, request_id, method, target, body)
            self.runs.append(run)
            self._record(
                f"searcher={self.name} runs id={request_id} {method} {target}"
                f" body_bytes={len(body)}"
                f" limit_ms={headers.get('x-deadline-ms')}"
            )
            # A searcher stops work at the time limit that it receives, and
            # drops a request when its connection closes.
            left_s = limit_s - (time.monotonic() - arrived)
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait(
                {closed}, timeout=min(self.work_s, max(0.0, left_s))
            )
            if done:
                raise ConnectionResetError
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            if left_s < self.work_s:
                status, extra, data = 504, {}, b""
            else:
                status, extra, data = self.respond(run)
            self._record(
                f"searcher={self.name} answers id={request_id}"
                f" status={status} headers={extra} body_bytes={len(data)}"
            )
            self._write(
                writer, status, {"X-Request-Id": request_id, **extra}, data
            )
        finally:
            self._slots.release()

    def _write(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=30"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)


class CouldNotStartError(Exception):
    """A node did not become ready, for example because a port was taken."""


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, name, zone, folder, store, ports, seeds):
        self.name, self.zone = name, zone
        self.front, self.ready, self.control, self.metrics = ports
        self.settings = Path(folder) / f"{name}.toml"
        self.log = Path(folder) / f"{name}.log"
        self.process = None
        self.settings.write_text(
            f"""node = "{name}"
role = "node"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "pk-central"
internalPorts = [{self.metrics},{self.metrics}]
seeds = {json.dumps(seeds)}
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","scatter"]
[zones]
pkc-a = "pk-central"
pkc-b = "pk-central"
pkc-c = "pk-central"
[listenAddrs]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
control = "127.0.0.1:{self.control}"
[limits]
cpuShare = 0.717
cpuCores = 3
memoryMb = 560
maxFds = 8200
linkMbps = 2000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
catchupS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 58
warmupFactor = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
""",
            encoding="utf-8",
        )

    async def start(self):
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["KUMQUATCHUTE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "kumquatchuted.gateway",
                cwd=ROOT, env=env, stdout=output, stderr=output,
            )

    def signal(self, signum):
        self.process.send_signal(signum)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self):
        for _ in range(400):
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        lines = self.log.read_text(encoding="utf-8").splitlines()
        raise CouldNotStartError(f"{self.name}: {lines[-3:]}")

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got: status, headers and body; status 0 for none."""

    def __init__(self, request_id, status, headers, body):
        self.request_id = request_id
        self.status, self.headers, self.body = status, headers, body


async def request(node, record, request_id, method, path, body=b"",
                  limit_s=3.0):
    """Send one client attempt on a new connection and return its answer.

    The client leaves at its time limit, like the clients of PROTOCOL.md.
    """
    record(
        f"client sends id={request_id} node={node.name} {method} {path}"
        f" body_bytes={len(body)} limit_ms={int(limit_s * 1000)}"
    )
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {int(limit_s * 1000)}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.front
            )
            writer.write(head.encode() + b"\r\n" + body)
            line, headers = await read_head(reader)
            data = await read_body(reader, headers)
        answer = Answer(request_id, int(line.split(" ")[1]), headers, data)
    except (OSError, asyncio.IncompleteReadError) as exc:
        # TimeoutError is an OSError.
        record(f"client got no answer id={request_id}: {type(exc).__name__}")
        answer = Answer(request_id, 0, {}, b"")
    finally:
        if writer is not None:
            writer.close()
    if answer.status:
        record(
            f"client got id={request_id} status={answer.status}"
            f" headers={answer.headers} body={answer.body[:80]!r}"
        )
    return answer


def manifest(version, routes, services, max_conns=45):
    """Return a manifest in full, in the form of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name, "healthPath": "/health", "maxConns": max_conns,
                "protocol": "h1", "tls": False, "warmupS": 3.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }


class Site:
    """The store, the nodes and the searchers of one case."""

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        ports = free_ports(1 + 4 * len(zones))
        self.store = Store(ports[0])
        seeds = [f"127.0.0.1:{ports[3 + 4 * i]}" for i in range(len(zones))]
        self.nodes = [
            Node(
                f"front-{zone}-{i}", zone, self._temp.name,
                self.store.address, ports[1 + 4 * i:5 + 4 * i], seeds[:3],
            )
            for i, zone in enumerate(zones)
        ]
        self.searchers = []

    def add_searchers(self, service, zones, work_s, slots=4, queue=16):
        """Create a searcher in each of some zones."""
        added = []
        for zone, port in zip(zones, free_ports(len(zones))):
            name = f"i-{len(self.searchers):04x}"
            searcher = Searcher(
                name, service, zone, port, self.record, work_s, slots, queue
            )
            self.searchers.append(searcher)
            added.append(searcher)
        return added

    async def start(self, config):
        """Start all; return when the nodes are ready and know each other."""
        await self.store.start()
        for searcher in self.searchers:
            await searcher.start()
            self.store.put("servers", searcher.name, searcher.entry())
        self.store.put("config", "main", config)
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        await asyncio.sleep(4.5)
        self.record("all nodes are ready and calm")

    def runs(self):
        return [run for item in self.searchers for run in item.runs]

    async def stop(self):
        for node in self.nodes:
            await node.stop()
        self._temp.cleanup()


def run_case(folder, case):
    """Run a case; exit with 1 if it broke the rule, 0 if not, else with 2.

    :param case: coroutine function that takes the folder and whether there is
        trouble, and returns whether the rule was broken
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for _ in range(MAX_STARTS):
        left_s = MAX_DURATION_S - now()
        try:
            broken = asyncio.run(asyncio.wait_for(case(folder, trouble), left_s))
        except CouldNotStartError as exc:
            print(f"could not start: {exc}")
        except Exception as exc:  # the case could not run
            print(f"could not run: {type(exc).__name__}: {exc}")
            break
        else:
            sys.exit(1 if broken else 0)
    sys.exit(2)
