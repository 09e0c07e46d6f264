"""A stand-in for a model engine. It checks what it is ordered against its limits."""
import asyncio
import json
import time

import bed as b


class Model:
    def __init__(self, name, weights_mb, load_s, adapters=0, adapter_mb=12.0, warm_s=0.6):
        self.name, self.weights_mb, self.load_s, self.adapters, self.adapter_mb, self.warm_s = name, weights_mb, load_s, adapters, adapter_mb, warm_s

    def config(self):
        return {"name": self.name, "weightsMb": self.weights_mb, "loadS": self.load_s, "adapters": self.adapters,
                "adapterMb": self.adapter_mb, "warmS": self.warm_s, "diskS": self.warm_s + 0.18}


class Engine:
    """One engine across its starts. A start under the same id has a new born."""

    def __init__(self, bed, name, service, models, weights_mb=200000.0, adapter_slots=8, slots=24, holds=()):
        self.bed, self.name, self.id, self.service = bed, name, name, service
        self.known = {m.name: m for m in models}
        self.weights_mb, self.adapter_slots, self.slots = weights_mb, adapter_slots, slots
        self.first_holds = holds
        self.state = "ready"
        # When each request arrived here.
        self.arrivals = []
        self.server = None
        self.answers = 0
        # What broke a limit, in words.
        self.violations = []
        # Called with an order before it is answered; may return "late".
        self.on_order = None
        # Called with a request and the last answer on its connection; may return bytes that
        # are sent before the answer.
        self.on_request = None
        self.address = None

    async def start(self):
        self.up, self.born = True, int(time.time() * 1000)
        self.models = {name: set() for name in self.first_holds}
        self.first_holds = ()
        self.unloading = set()
        self.loading, self.sequence, self.running = None, 0, 0
        self.in_use = {}
        self.cached = set(self.models)
        self.connections, self.tasks = set(), set()
        host, port = ("127.0.0.1", 0) if self.address is None else (self.address.split(":")[0], int(self.address.split(":")[1]))
        self.server = await asyncio.start_server(self.connection, host, port, reuse_address=True)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.bed.record("%s: started, born %d" % (self.name, self.born))

    async def crash(self, why):
        if not self.up:
            return
        self.up = False
        self.bed.record("%s: crashed (%s)" % (self.name, why))
        self.server.close()
        for t in list(self.tasks):
            t.cancel()
        for w in list(self.connections):
            w.transport.abort()

    # What it says of itself.

    def held(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)} for m, a in self.models.items()]

    def listing(self):
        if not self.up:
            return getattr(self, "last_listing", None)
        self.last_listing = {"id": self.id, "service": self.service, "address": self.address, "zone": "col-a", "version": "v1", "slots": self.slots,
                             "state": self.state, "coldRemainingMs": 0, "stage": "both", "models": self.held(), "born": self.born}
        return self.last_listing

    def report(self):
        return {"stage": "both", "models": self.held(), "busy": self.loading is not None, "seq": self.sequence, "queued": 0, "running": self.running,
                "kvUsed": 0, "kvTotal": 113394, "handles": 0, "born": self.born, "state": self.state, "coming": [],
                "atHand": {"inMemory": sorted(self.cached), "onDisk": sorted(self.cached)}}

    # Orders.

    def adapters_in_place(self):
        return sum(len(a) for a in self.models.values())

    def used_mb(self):
        used = sum(self.known[m].weights_mb + len(a) * self.known[m].adapter_mb for m, a in self.models.items())
        if self.loading is not None:
            used += self.known[self.loading].weights_mb
        return used

    def execute(self, order, born, late=False):
        """Carries an order out, and returns the status of its answer."""
        op, model, adapter = order["op"], order["model"], order.get("adapter", "")
        what = "%s %s%s, expect %s, holder %s" % (op, model, "/" + adapter if adapter else "", order.get("expect"), order["holder"])
        status = self.decide(order)
        self.bed.record("%s: order%s: %s: %d (seq %d, holds %s)" % (self.name, " carried out late" if late else "", what, status, self.sequence,
                        "; ".join("%s %s" % (m, ",".join(sorted(a))) for m, a in sorted(self.models.items())) + (" + loading " + self.loading if self.loading else "")))
        return status

    def decide(self, order):
        op, model, adapter = order["op"], order["model"], order.get("adapter", "")
        if not order.get("holder") or not order.get("fencingToken") or model not in self.known:
            return 400
        if "expect" in order and order["expect"] != self.sequence:
            return 409
        if adapter == "":
            return self.decide_model(op, model)
        if model not in self.models:
            return 421
        if op == "load":
            if adapter in self.models[model]:
                return 200
            self.sequence += 1
            if self.adapters_in_place() + 1 > self.adapter_slots:
                self.violate("ordered to load adapter %s/%s with %d of %d places taken" % (model, adapter, self.adapters_in_place(), self.adapter_slots))
                return 202
            self.models[model].add(adapter)
            return 202
        if adapter not in self.models[model]:
            return 200
        self.sequence += 1
        if self.in_use.get((model, adapter), 0) == 0:
            self.models[model].discard(adapter)
            return 200
        self.unloading.add((model, adapter))
        return 202

    def decide_model(self, op, model):
        if self.loading is not None:
            return 409
        if op == "load":
            if model in self.models:
                return 200
            self.sequence += 1
            if self.used_mb() + self.known[model].weights_mb > self.weights_mb:
                self.violate("ordered to load %s of %.0f MB with %.0f of %.0f MB taken by %s" % (model, self.known[model].weights_mb, self.used_mb(), self.weights_mb, ", ".join(sorted(self.models))))
                return 202
            self.loading = model
            self.spawn(self.finish_load(model))
            return 202
        self.sequence += 1
        self.models.pop(model, None)
        return 202

    def violate(self, text):
        self.violations.append(text)
        self.bed.record("%s: LIMIT: %s" % (self.name, text))
        asyncio.get_running_loop().call_later(0.02, lambda: asyncio.ensure_future(self.crash("its limit was exceeded")))

    async def finish_load(self, model):
        m = self.known[model]
        await asyncio.sleep(m.warm_s if model in self.cached else m.load_s)
        self.models[model], self.loading = set(), None
        self.cached.add(model)

    def spawn(self, coroutine):
        t = asyncio.ensure_future(coroutine)
        self.tasks.add(t)
        t.add_done_callback(self.tasks.discard)

    # Connections.

    async def connection(self, reader, writer):
        self.connections.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        last = None
        try:
            while self.up:
                request = await b.read_request(reader)
                if request is None:
                    break
                if self.on_request is not None:
                    extra = self.on_request(request, last)
                    if extra:
                        writer.write(extra)
                        await writer.drain()
                        # It arrives by itself, before the answer.
                        await asyncio.sleep(0.005)
                last = (request, await self.answer(request, writer))
                self.answers += 1
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def answer(self, request, writer):
        """Answers a request, and returns the bytes of an answer that is no stream."""
        h = request.headers
        misdirected = h.get("expect-instance") not in (None, self.id)
        if request.path == "/report":
            return await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode())
        if request.path == "/order":
            if misdirected:
                return await self.send(writer, 421, {"Not-Executed": "1"}, b"")
            order = json.loads(request.body)
            if self.on_order is not None and self.on_order(order) == "late":
                # No answer: the caller gives the call up.
                await asyncio.sleep(30)
                return None
            return await self.send(writer, self.execute(order, self.born), {}, b"")
        if request.path == "/hold-take":
            return await self.send(writer, 503, {}, b"")
        if request.path == "/healthz":
            return await self.send(writer, 200, {"Instance-Id": self.id}, b"")
        return await self.run(request, writer, misdirected)

    async def send(self, writer, status, headers, body):
        headers = dict(headers)
        headers["Keep-Alive"] = "timeout=10"
        data = b.encode_response(status, headers, body)
        writer.write(data)
        await writer.drain()
        return data

    async def run(self, request, writer, misdirected):
        h = request.headers
        attempt = h.get("attempt-id", "")
        model, _, adapter = h.get("model", "").partition("/")
        own = {"Attempt-Id": attempt, "Instance-Id": self.id}
        absent = model not in self.models or adapter and adapter not in self.models[model]
        if misdirected or absent:
            return await self.send(writer, 421, dict(own, **{"Not-Executed": "1"}), b"")
        if self.running >= self.slots:
            return await self.send(writer, 503, dict(own, **{"Not-Executed": "1"}), b"")
        key = (model, adapter)
        self.running += 1
        self.arrivals.append((time.monotonic(), attempt))
        self.in_use[key] = self.in_use.get(key, 0) + 1
        self.bed.record("%s: runs %s (%s)" % (self.name, attempt, h.get("model")))
        try:
            events, pause = int(h.get("events", "3")), float(h.get("pause-s", "0.02"))
            writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n" % (attempt, attempt)).encode())
            for n in range(1, events + 1):
                event = ("id: %d\ndata: %s piece %d\n\n" % (n, attempt, n)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(pause)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
            self.in_use[key] -= 1
            if self.in_use[key] == 0 and key in self.unloading:
                self.unloading.discard(key)
                self.models.get(model, set()).discard(adapter)
        return None


def service_config(name, models, weights_mb=200000.0, adapter_slots=8, slots=24):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 200, "protocol": "h1", "tls": False, "engine": {
        "slots": slots, "kvCapacity": 113394, "kvTokenBytes": 163840, "linkMbps": 740000.0, "moves": True, "backups": True, "stride": 6,
        "maxAllowed": 12, "hostMb": 150000.0, "diskMb": 440000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
        "models": [m.config() for m in models], "weightsMb": weights_mb, "adapterSlots": adapter_slots, "loadsPerS": 2.9}}


def route_config(name, prefix, service, kind="streaming", resumable=False, timeout_ms=12000, attempts=1):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 1,
            "service": service, "maxAttempts": attempts, "stickySessions": kind == "streaming", "resumable": resumable, "gapAimMs": 250}


class PlainEngine:
    """A stand-in for an engine of a service without models."""

    def __init__(self, bed, name, service, slots=6):
        self.bed, self.id, self.service, self.slots = bed, name, service, slots
        self.born = int(time.time() * 1000)
        # What was run: the attempt, its path and the service.
        self.ran = []

    async def start(self):
        self.address = await self.bed.serve("127.0.0.1", self.answer)

    def listing(self):
        return {"id": self.id, "service": self.service, "address": self.address, "zone": "col-a", "version": "v1", "slots": self.slots,
                "state": "ready", "coldRemainingMs": 0, "born": self.born}

    async def answer(self, request):
        attempt = request.headers.get("attempt-id", "")
        if request.path == "/healthz":
            return 200, {"Instance-Id": self.id}, b""
        if request.headers.get("expect-instance") not in (None, self.id):
            return 421, {"Attempt-Id": attempt, "Instance-Id": self.id, "Not-Executed": "1"}, b""
        self.ran.append((attempt, request.target, self.service))
        self.bed.record("%s (%s): runs %s %s %s" % (self.id, self.service, request.method, request.target, attempt))
        await asyncio.sleep(0.02)
        return 200, {"Attempt-Id": attempt, "Instance-Id": self.id, "Server-Seal": "seal-" + attempt, "Keep-Alive": "timeout=10"}, b"done " + attempt.encode()


class Clients:
    """Sends requests to the gateways, as clients do: each on a connection of its own."""

    def __init__(self, bed, machines):
        self.bed, self.machines, self.count = bed, machines, 0

    async def stream(self, model, events=3, pause=0.02, timeout=12.0, prompt=200):
        self.count += 1
        n = self.count
        attempt = "%016x" % (0xabc0000 + n)
        address = self.bed.address(self.machines[n % len(self.machines)], b.FRONTEND)
        headers = {"Host": "shop.example", "Attempt-Id": attempt, "Model": model, "Token-Usage": "%d,%d" % (prompt, 6 * events), "Prompt-Prefix": "%x:%d" % (0x5000 + n, prompt),
                   "Deadline-Ms": str(int(timeout * 1000)), "Events": str(events), "Pause-S": str(pause)}
        answer = await b.call(address, "POST", "/draft/x", headers, b"{}", timeout)
        status = "no answer" if answer is None else "%d%s" % (answer.status, "" if answer.complete else ", broken off")
        self.bed.record("client: %s for %s: %s" % (attempt, model, status))
        return answer
