"""A small deployment on loopback addresses: the project's control replicas and
gateways as separate processes, and stand-ins for the platform's list, the engines
and the operator, which live in this process.

The programs are started with the commands of deploy/system.toml, with settings as
the templates in deploy/ give them for a small deployment.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join("target", "parsleyramp-gateway")
FLEET = os.path.join("target", "parsleyramp-fleet")

# Ports are the same on all machines, as in a deployment.
INTERNAL, PEER, CONTROL, FRONTEND, READY, DIRECTORY = range(6)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()


class Process:
    def __init__(self, bed, name, program, settings):
        self.bed, self.name, self.program = bed, name, program
        self.path = os.path.join(bed.folder, name + ".json")
        self.settings = settings
        self.process = None

    async def start(self):
        # The file is replaced as a whole, because a process may read it at any time.
        with open(self.path + ".new", "w", encoding="utf-8") as f:
            json.dump(self.settings, f)
        os.rename(self.path + ".new", self.path)
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.program, "-settings", self.path, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.bed.record("platform: started %s" % self.name)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    async def stop(self, grace=8.0):
        """SIGTERM, and SIGKILL after graceS, as the platform does it."""
        self.bed.record("platform: SIGTERM to %s" % self.name)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.bed.record("platform: %s has ended" % self.name)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.bed.record("platform: %s was killed" % self.name)


class Bed:
    def __init__(self, record, zones=("col-a", "col-b", "neg-a")):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.processes, self.servers, self.instances = {}, [], []
        self.net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.ports = self.free_ports(6)
        self.list_address = None
        # Entries of another writer, as bytes.
        self.foreign_entries = []
        for program in (GATEWAY, FLEET):
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CannotRun(program + " is missing: run the build of deploy/system.toml first")

    def free_ports(self, n):
        sockets, ports = [], []
        for _ in range(n):
            s = socket.socket()
            s.bind(("127.0.0.1", 0))
            sockets.append(s)
            ports.append(s.getsockname()[1])
        for s in sockets:
            s.close()
        return ports

    def ip(self, machine):
        return "%s.%d" % (self.net, machine)

    def address(self, machine, port):
        return "%s:%d" % (self.ip(machine), self.ports[port])

    # Programs.

    async def start_fleet(self, machine, seeds, first_start):
        """Starts the control role on a core machine; seeds are machines."""
        name = "core-%d" % machine
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        p = Process(self, name, FLEET, {
            "id": name, "address": self.address(machine, INTERNAL), "operator_address": self.address(machine, CONTROL),
            "domain": self.zones[machine % len(self.zones)], "data_folder": data, "live_list": self.list_address,
            "seeds": [self.address(s, CONTROL) for s in seeds], "tolerated_losses": 1, "first_start": first_start,
            "order_lease": "3000ms", "store_window": "5s", "memory_mb": 280,
        })
        self.processes[name] = p
        await p.start()
        return p

    async def start_gateway(self, machine, seeds):
        name = "edge-%d" % machine
        p = Process(self, name, GATEWAY, {
            "id": name, "caller_address": self.address(machine, FRONTEND), "ready_address": self.address(machine, READY),
            "directory_address": self.address(machine, DIRECTORY), "metrics_address": self.address(machine, INTERNAL),
            "peer_address": self.address(machine, PEER), "domain": self.zones[machine % len(self.zones)], "region": "lk-west",
            "control_seeds": [self.address(s, CONTROL) for s in seeds], "control_port": self.ports[INTERNAL],
            "grace": "8s", "retry_ratio": 0.2, "retry_slack": 54, "retry_window": "10s", "memory_mb": 284,
        })
        self.processes[name] = p
        await p.start()
        return p

    # The platform's list.

    async def start_list(self, lag=0.4):
        """Serves GET /instances: what the engines said of themselves lag seconds ago."""
        shown = []

        async def refresh():
            while True:
                now = [x for x in (e.listing() for e in list(self.instances)) if x is not None]
                await asyncio.sleep(lag)
                shown[:] = now

        async def answer(request):
            entries = [json.dumps(x).encode() for x in shown] + self.foreign_entries
            return 200, {"Content-Type": "application/json"}, b'{"instances":[' + b",".join(entries) + b'],"next":null}'

        self.list_address = await self.serve("127.0.0.1", answer)
        self.tasks = [asyncio.create_task(refresh())]

    async def serve(self, host, answer):
        """Serves simple HTTP/1.1 calls; answer returns status, headers and body."""
        async def connection(reader, writer):
            try:
                while True:
                    request = await read_request(reader)
                    if request is None:
                        break
                    status, headers, body = await answer(request)
                    writer.write(encode_response(status, headers, body))
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
        server = await asyncio.start_server(connection, host, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def close(self):
        for p in self.processes.values():
            if p.running():
                p.signal(signal.SIGCONT)
                p.signal(signal.SIGKILL)
                await p.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


# HTTP/1.1.

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.split("?")[0]


async def read_request(reader):
    """Reads a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 409: "Conflict", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode_response(status, headers, body):
    out = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers.items():
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode("latin-1") + body


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(address, method, path, headers=None, body=b"", timeout=1.0, source=None):
    """One call on a connection of its own. Returns an Answer, or None without one."""
    host, port = address.split(":")
    writer = None
    try:
        async def run():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=(source, 0) if source else None)
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            all_headers = {"Host": address, "Connection": "close"}
            all_headers.update(headers or {})
            for name, value in all_headers.items():
                head += "%s: %s\r\n" % (name, value)
            head += "Content-Length: %d\r\n\r\n" % len(body)
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            return await read_answer(reader)
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        try:
            return Answer(status, headers, await reader.readexactly(int(headers["content-length"])), True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, b"", False)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return Answer(status, headers, body, True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
    return Answer(status, headers, await reader.read(), True)


# The operator.

class Operator:
    """Sends configurations and reads them back, at any node that serves control."""

    def __init__(self, bed, machines):
        self.bed, self.machines = bed, machines
        # The machine that gave the last answer.
        self.answered_by = None

    async def _call(self, method, path, body, seconds):
        """Tries node after node, with growing pauses, until one answers with success."""
        deadline = time.monotonic() + seconds
        pause, nodes = 0.05, []
        last = None
        while time.monotonic() < deadline:
            if not nodes:
                nodes = random.sample(self.machines, len(self.machines))
            address = self.bed.address(nodes.pop(), CONTROL)
            answer = None
            for _ in range(3):
                answer = await call(address, method, path, {"Content-Type": "application/json"}, body, 1.0)
                if answer is None or answer.status != 307:
                    break
                address = answer.headers.get("location", "").replace("http://", "").split("/")[0]
                if not address:
                    break
            last = answer
            if answer is not None:
                self.answered_by = int(address.split(":")[0].split(".")[3])
            if answer is not None and (answer.status == 200 or answer.status in (400, 409, 412, 413, 422)):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 0.6)
        return last

    async def put(self, config, seconds=15.0):
        answer = await self._call("POST", "/config/put", json.dumps(config).encode(), seconds)
        status = answer.status if answer is not None else "no answer"
        by = " by core-%d" % self.answered_by if status == 200 else ""
        self.bed.record("operator: configuration %d: %s%s" % (config["version"], status, by))
        return status == 200

    async def get(self, seconds):
        """Reads the newest configuration back: its version, or None."""
        answer = await self._call("GET", "/config/get", b"", seconds)
        status = answer.status if answer is not None else "no answer"
        version = json.loads(answer.body)["version"] if status == 200 else None
        self.bed.record("operator: read the configuration: %s, version %s" % (status, version))
        return version


# How long a case may run; the processes are ended after it.
RUN_S = 112

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def main(case, record):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    The record is written beside the script."""
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), record)

    async def run():
        bed = Bed(path)
        try:
            task = asyncio.ensure_future(case(bed, os.environ.get("TROUBLE", "1") != "0"))
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            return await asyncio.wait_for(task, RUN_S)
        finally:
            await bed.close()
    try:
        broken, text = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as e:
        print("the case could not run: %r" % e)
        sys.exit(2)
    print(text)
    sys.exit(1 if broken else 0)
