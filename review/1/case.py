"""Power loss after a compaction of the control members' logs; see claim.txt."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import *

RESTARTS = 3
ROUTES = 60  # with random names, so that a configuration takes some kilobytes of the log
READ_BACK_S = BOUNDS["RecoverS"] + 15


def large(version):
    made = config(version)
    word = lambda: "%012x" % random.getrandbits(48)
    for _ in range(ROUTES):
        made["Routes"].append(dict(made["Routes"][0], Name="r-" + word(), Host=word() + ".example",
                                   PathPrefix="/" + word() + "/"))
    return made


class Disk(threading.Thread):
    """The platform's disk under one machine. It remembers the files that are removed, so that a
    power loss can bring a name back whose removal was not yet durable. A removal counts as durable
    as soon as any file is created or renamed in the folder after it: the program syncs its folder
    after each of these and at no other time."""

    def __init__(self, machine):
        super().__init__(daemon=True)
        self.machine, self.folder = machine, os.path.join(machine.folder, "data")
        self.side = os.path.join(machine.folder, "removed")
        os.makedirs(self.side)
        self.pending, self.on = [], True
        self.start()

    def run(self):
        seen = set()
        while self.on:
            if not os.path.isdir(self.folder):
                return
            now = {name for name in os.listdir(self.folder) if name.startswith("segment")
                   or name.startswith("snapshot")}
            for name in now - seen:
                try:
                    os.link(os.path.join(self.folder, name), os.path.join(self.side, name))
                except OSError:
                    pass
            if any(not name.endswith(".tmp") for name in now - seen):
                self.pending = []
            for name in sorted(seen - now):
                if name.startswith("segment"):
                    self.pending.append(name)
                    self.machine.deployment.record(self.machine.name, "removes", name)
            seen = now
            time.sleep(0.005)

    def stop(self):
        self.on = False
        self.join()

    def lose_power(self):
        """Of the names whose removal is not durable, the first is kept and the others are lost."""
        kept = self.pending[0]
        os.link(os.path.join(self.side, kept), os.path.join(self.folder, kept))
        self.machine.deployment.record(self.machine.name, "lost power; removed without a sync:",
                                       self.pending, "kept:", kept)


def play(holder, folder):
    d = Deployment(folder, controls=3, entries=1)
    holder.append(d)
    d.start()
    version = 2
    if not d.put(config(version)) or not d.wait_ready():
        return None
    for _ in range(RESTARTS):  # all processes of the core are killed at the same moment
        time.sleep(1.5)
        for machine in d.controls:
            machine.kill()
        for machine in d.controls:
            machine.start()
        version += 1
        if not d.put(config(version)):
            return None
    disks = [Disk(machine) for machine in d.controls]
    time.sleep(0.3)
    until = time.monotonic() + 30
    while not all(len(disk.pending) >= 2 for disk in disks):
        if time.monotonic() > until:
            d.record("no compaction has removed several segments")
            return None
        version += 1
        if not d.put(large(version)):
            return None
        time.sleep(0.3)
    for machine in d.controls:
        machine.kill()
    for disk in disks:
        disk.stop()
        if TROUBLE:
            disk.lose_power()
    before = [machine.own_ends for machine in d.controls]
    for machine in d.controls:
        machine.start()
    until = time.monotonic() + READ_BACK_S
    newest = None
    while time.monotonic() < until and newest is None:
        newest = next((found for found in map(d.get, d.controls) if found is not None), None)
        time.sleep(0.5)
    broken = []
    if newest is None or newest < version:
        broken.append("CONFIG: version %d was acknowledged; read back %.0f s after the restart: %s"
                      % (version, READ_BACK_S, newest))
    for machine, ends in zip(d.controls, before):
        if machine.own_ends - ends >= 3:
            broken.append("Fault: %s ended by itself %d times" % (machine.name,
                                                                   machine.own_ends - ends))
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
