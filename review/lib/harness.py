"""Starts a small deployment of the project's programs on loopback addresses, with stand-ins for the
platform, the operator, the replicas and the clients. Standard library only.

Every machine has a loopback address of its own. The settings are rendered from the templates of
deploy/, as the platform does. All that is sent, answered and run goes to record.txt."""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(REPO, "target", "lavenderthread")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "BackMs": 250,
          "MaxStretchMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RecoverS": 12,
          "PassMs": 120, "stall_ms": 1500, "ttl_max_s": 5}
INTERNAL = [7340, 7355]
FRONT, READY, DIRECTORY, CONTROL = 8227, 8220, 8229, 8230


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = "%9.3f  %s" % (time.monotonic() - self.start, " ".join(str(w) for w in words))
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """The part of the platform's template language that deploy/ uses."""
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) is not None else ""

    def place(match):
        value = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Machine:
    """One machine of the platform: it runs one role and restarts it when it ends by itself."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment, self.name, self.role, self.ip, self.zone = deployment, name, role, ip, zone
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        self.process = None
        self.own_ends = 0
        self.wanted = False
        self.lock = threading.Lock()
        self.first_start = True

    def settings(self):
        core = self.role == "control"
        fields = {
            "Node": self.name, "Ip": self.ip, "Zone": self.zone, "Region": "region",
            "InternalPortRange": INTERNAL, "Seeds": self.deployment.seeds,
            "Bootstrap": self.first_start, "HeartbeatMs": 1200,
            "DataDir": os.path.join(self.folder, "data"),
            "Listen": {"Control": "%s:%d" % (self.ip, CONTROL)} if core else {
                "Front": "%s:%d" % (self.ip, FRONT), "Ready": "%s:%d" % (self.ip, READY),
                "Directory": "%s:%d" % (self.ip, DIRECTORY)},
            "Limits": {"LinkMbps": 700.0}, "FaultTolerance": {"Machines": 1}, "Bounds": BOUNDS}
        with open(os.path.join(REPO, "deploy", self.role + ".json")) as file:
            return render(file.read(), fields)

    def start(self):
        with self.lock:
            self.wanted = True
            self._spawn()

    def _spawn(self):
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as file:
            file.write(self.settings())
        self.first_start = False
        log = open(os.path.join(self.folder, "log.txt"), "a")
        self.process = subprocess.Popen([BINARY, "serve", "--settings", path], cwd=REPO, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.deployment.record(self.name, "starts as process", self.process.pid)
        threading.Thread(target=self._watch, args=(self.process,), daemon=True).start()

    def _watch(self, process):
        status = process.wait()
        with self.lock:
            if not self.wanted or process is not self.process:
                return
            self.own_ends += 1
            self.deployment.record(self.name, "ended by itself, status", status)
        time.sleep(0.5)
        with self.lock:
            if self.wanted and process is self.process:
                self._spawn()

    def send(self, number):
        self.deployment.record(self.name, "gets", signal.Signals(number).name)
        os.kill(self.process.pid, number)

    def kill(self, number=signal.SIGKILL, wait=10):
        """Ends the process for good, until start() is called."""
        with self.lock:
            self.wanted = False
        if self.process is None or self.process.poll() is not None:
            return
        self.send(number)
        try:
            self.process.wait(wait)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Deployment:
    def __init__(self, folder, controls=3, entries=1):
        self.case_folder = folder
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.machines, self.replicas = [], []
        while True:
            net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
            if free(net + ".11", CONTROL) and free(net + ".21", FRONT):
                break
        self.net = net
        zones = ["zone-a", "zone-b", "zone-c"]
        self.seeds = ["%s.%d:%d" % (net, 11 + i, CONTROL) for i in range(min(3, controls))]
        self.controls = [Machine(self, "core-%d" % (i + 1), "control", "%s.%d" % (net, 11 + i),
                                 zones[i % 3]) for i in range(controls)]
        self.entries = [Machine(self, "edge-%d" % (i + 1), "entry", "%s.%d" % (net, 21 + i),
                                zones[i % 3]) for i in range(entries)]
        self.machines = self.controls + self.entries
        self.version = 0

    def start(self):
        for machine in self.machines:
            machine.start()

    def end(self):
        for replica in self.replicas:
            replica.alive = False
        for machine in self.machines:
            machine.wanted = False
            if machine.process and machine.process.poll() is None:
                try:
                    os.kill(machine.process.pid, signal.SIGCONT)
                    os.kill(machine.process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.
    def put(self, config, patience=30.0, nodes=None):
        """Sends a configuration, and again to any node, until it is acknowledged. True if it was."""
        body = json.dumps(config)
        until = time.monotonic() + patience
        nodes = nodes or self.controls
        while time.monotonic() < until:
            node = random.choice(nodes)
            status, _ = call(node.ip, CONTROL, "POST", "/config/replace", body, 2.5)
            self.record("operator: version", config["Version"], "to", node.name, "answered", status)
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def get(self, node, timeout=1.5):
        status, body = call(node.ip, CONTROL, "GET", "/config/get", None, timeout)
        version = json.loads(body)["Version"] if status == 200 else None
        self.record("operator: reads at", node.name, "answered", status, "version", version)
        return version

    def wait_ready(self, patience=30.0):
        until = time.monotonic() + patience
        for entry in self.entries:
            while time.monotonic() < until:
                if call(entry.ip, READY, "GET", "/readiness", None, 1.0)[0] == 200:
                    break
                time.sleep(0.1)
            else:
                return False
        return True


def free(ip, port):
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        probe.bind((ip, port))
        return True
    except OSError:
        return False
    finally:
        probe.close()


def call(ip, port, method, path, body, timeout, headers=None):
    """One call on a connection of its own: (status, body); status None: no clear answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        sent = {"Content-Type": "application/json"} if headers is None else headers
        connection.request(method, path, body, sent)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None, b""
    finally:
        connection.close()


class Replica:
    """A plain service's replica: sound, one request at a time on a connection."""

    def __init__(self, deployment, name, service, ip, port=8080, zone="zone-a", work_ms=15,
                 slots=6, born=None, heartbeats=True):
        self.deployment, self.name, self.service = deployment, name, service
        self.ip, self.port, self.zone, self.work_ms, self.slots = ip, port, zone, work_ms, slots
        self.born = born or int(time.time() * 1000)
        self.alive, self.beating, self.state, self.seq = True, heartbeats, "ready", 0
        self.runs = []
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(128)
        deployment.replicas.append(self)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def news(self):
        self.seq += 1
        return {"Service": self.service, "Address": "%s:%d" % (self.ip, self.port),
                "Zone": self.zone, "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdLeftMs": 0, "Seq": self.seq, "born": self.born}

    def beat(self, node):
        status, _ = call(node.ip, CONTROL, "POST", "/replicas/%s/heartbeat" % self.name,
                         json.dumps(self.news()), 1.0)
        return status

    def _beat(self):
        while self.alive:
            if self.beating:
                nodes = list(self.deployment.controls)
                random.shuffle(nodes)
                for node in nodes:
                    status = self.beat(node)
                    if status is not None and 200 <= status < 300:
                        break
            time.sleep(1.2)

    def _accept(self):
        while self.alive:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.settimeout(30)
        try:
            request = read_request(connection)
            while request is not None and self.alive:
                self.handle(connection, request)
                request = read_request(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def handle(self, connection, request):
        method, path, headers, body = request
        if path == "/health":
            respond(connection, 200, b"", {"Replica-Id": self.name})
            return
        identity = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            respond(connection, 421, b"", {"Request-Id": identity})
            return
        self.deployment.record(self.name, "runs", identity, method, path, len(body), "bytes")
        with self.lock:
            self.runs.append((identity, time.monotonic()))
        time.sleep(self.work_ms / 1000)
        respond(connection, 200, b"ok " + identity.encode(),
                {"Request-Id": identity, "Response-Seal": "seal." + identity})


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        more = connection.recv(1 << 20)
        if not more:
            return None
        body += more
    return method, path, headers, body


def respond(connection, status, body, headers):
    text = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in headers.items():
        text += "%s: %s\r\n" % (name, value)
    connection.sendall(text.encode() + b"\r\n" + body)


def config(version, routes=1, extra=0, service="ledger", kind="non_idempotent"):
    """A valid configuration: one service, one tenant, `routes` routes and `extra` idle ones."""
    def route(number, prefix):
        return {"Name": "r-%s%d" % (prefix, number), "Host": "review.example",
                "PathPrefix": "/%s%d/" % (prefix, number), "Kind": kind, "TimeoutMs": 3000,
                "TargetLatencyMs": 300, "Priority": 1, "Service": service, "Attempts": 2,
                "Anonymous": False, "Sticky": False}
    return {"Version": version,
            "Routes": [route(i, "p") for i in range(routes)] + [route(i, "x") for i in range(extra)],
            "Services": [{"Name": service, "HealthPath": "/health", "MaxConns": 248,
                          "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "tenant", "ApiKeys": ["key-of-tenant"], "Priority": 1}]}


def ask(entry, path="/p0/a", method="POST", body=b"x", deadline=3000, identity=None, timeout=4.0):
    identity = identity or "%016x" % random.getrandbits(64)
    status, answer = call(entry.ip, FRONT, method, path, body, timeout, {
        "Host": "review.example", "Request-Id": identity, "Request-Deadline": str(deadline),
        "Credential": "key-of-tenant"})
    return identity, status, answer


def main(folder, play):
    """play(deployment) returns a list of broken rules. Exit: 0 held, 1 broken, 2 could not run."""
    if not os.access(BINARY, os.X_OK):
        print("target/lavenderthread is not built")
        sys.exit(2)
    holder = []
    try:
        broken = play(holder, folder)
    except Exception as problem:  # the case could not run
        print("could not run:", repr(problem))
        broken = None
    finally:
        for deployment in holder:
            deployment.end()
    if broken is None:
        sys.exit(2)
    for line in broken:
        print("BROKEN:", line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
