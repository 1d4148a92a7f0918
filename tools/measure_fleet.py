"""Runs a fleet of daemon processes on loopback and prints its resource usage as key=value lines.

Convergence is the time between the first and the last application of a version, as logged by the
daemons.
"""

import argparse
import json
import os
import re
import signal
import subprocess
import time
import urllib.request

DOMAINS = 3
LOG_PORT = 25000
UPSTREAM_PORT = 25001
FIRST_PORT = 25010
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
TICKS = os.sysconf("SC_CLK_TCK")

MESH = {
    "domains": [{"name": f"d{i}"} for i in range(DOMAINS)],
    "services": [{"name": "menu", "versions": ["v1"]}],
    "routes": [{"name": "menu", "path_prefix": "/menu", "service": "menu"}],
}


class Fleet:
    def __init__(self, options):
        self.options = options
        self.processes = []
        self.daemons = []

    def start(self, name, *command):
        with open(os.path.join(self.options.directory, name + ".log"), "wb") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()

    def port(self, index):
        return FIRST_PORT + 4 * index

    def start_daemon(self, index):
        port = self.port(index)
        settings = {
            "instance": f"i{index}",
            "failure_domain": f"d{index % DOMAINS}",
            "listen": {"host": "127.0.0.1", "datagram_port": port, "stream_port": port,
                       "call_port": port + 1, "operator_port": port + 2, "caller_connections": 4},
            "upstream": {"host": "127.0.0.1", "port": UPSTREAM_PORT, "service": "menu",
                         "version": "v1", "connections": 4},
            "log": {"host": "127.0.0.1", "port": LOG_PORT},
            "seeds": [{"host": "127.0.0.1", "datagram_port": self.port(i),
                       "stream_port": self.port(i)} for i in range(DOMAINS)],
        }
        path = os.path.join(self.options.directory, f"i{index}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return self.start(f"fleet-i{index}", self.options.binary, "daemon", path)

    def ctl(self, index, *words):
        result = subprocess.run(
            [self.options.binary, "ctl", "--json", "--daemon", f"127.0.0.1:{self.port(index) + 2}",
             *words], capture_output=True, text=True, check=False)
        return json.loads(result.stdout) if result.stdout else None

    def metrics(self, index):
        url = f"http://127.0.0.1:{self.port(index) + 2}/metrics"
        with urllib.request.urlopen(url, timeout=10) as answer:
            text = answer.read().decode()
        return dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kb(process):
    with open(f"/proc/{process.pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE_KB


def wait_for(holds, seconds):
    end = time.time() + seconds
    while not holds():
        if time.time() > end:
            raise TimeoutError(f"condition not met within {seconds} s")
        time.sleep(0.2)


def control_bytes(fleet, indexes):
    totals = []
    for index in indexes:
        values = fleet.metrics(index)
        totals.append(float(values["arbutuslb_control_bytes_sent_total"]) +
                      float(values["arbutuslb_control_bytes_received_total"]))
    return totals


def spread_ms(fleet, version):
    """Returns the time from the first to the last application of a version, from the daemons' logs.

    None if not all daemons have logged the application."""
    times = []
    pattern = re.compile(r"^I\d+ (\d+):(\d+):(\d+\.\d+) .*event=version_applied version=%d$" %
                         version)
    for index in range(len(fleet.daemons)):
        with open(os.path.join(fleet.options.directory, f"fleet-i{index}.log"),
                  encoding="utf-8") as file:
            for line in file:
                found = pattern.match(line)
                if found:
                    times.append(int(found[1]) * 3600 + int(found[2]) * 60 + float(found[3]))
    return 1000 * (max(times) - min(times)) if len(times) == len(fleet.daemons) else None


def measure(fleet):
    count = fleet.options.daemons
    idle_seconds = 5 if fleet.options.quick else 15
    changes = 4 if fleet.options.quick else 20
    fleet.start("fleet-log", fleet.options.fakes, "log", "--port", str(LOG_PORT))
    fleet.start("fleet-upstream", fleet.options.fakes, "upstream", "--port", str(UPSTREAM_PORT))
    began = time.time()
    fleet.daemons = [fleet.start_daemon(i) for i in range(count)]
    sample = list(range(0, count, max(1, count // 24)))

    def knows_all():
        try:
            return all(float(fleet.metrics(i)["arbutuslb_members_present"]) == count
                       for i in sample)
        except (OSError, KeyError):
            return False

    wait_for(knows_all, 90)
    join_seconds = time.time() - began
    mesh = os.path.join(fleet.options.directory, "fleet-mesh.json")
    with open(mesh, "w", encoding="utf-8") as file:
        json.dump(MESH, file)
    fleet.ctl(0, "--file", mesh, "publish")
    wait_for(lambda: fleet.ctl(1, "wait", "1", "within", "5")["code"] == 0, 30)
    time.sleep(3)

    bytes_before = control_bytes(fleet, sample)
    cpu_before = [cpu_seconds(process) for process in fleet.daemons]
    began = time.time()
    time.sleep(idle_seconds)
    elapsed = time.time() - began
    rates = [(after - before) / elapsed
             for before, after in zip(bytes_before, control_bytes(fleet, sample))]
    shares = [(cpu_seconds(process) - before) / elapsed
              for process, before in zip(fleet.daemons, cpu_before)]
    memory = [resident_kb(process) / 1024 for process in fleet.daemons]

    spreads = []
    in_force = []
    for i in range(changes):
        asked = time.time()
        answer = fleet.ctl(i % count, "withdraw" if i % 2 == 0 else "return", "d2")
        version = int(answer["facts"]["version"])
        wait_for(lambda: fleet.ctl(0, "wait", str(version), "within", "5")["code"] == 0, 30)
        in_force.append(1000 * (time.time() - asked))
        spreads.append(spread_ms(fleet, version))
    spreads = sorted(value for value in spreads if value is not None)
    facts = {
        "daemons": count,
        "join_s": join_seconds,
        "spread_ms_p50": spreads[len(spreads) // 2],
        "spread_ms_max": spreads[-1],
        "in_force_said_ms_max": max(in_force),
        "bound_ms": 3000,
        "idle_control_bytes_per_s_mean": sum(rates) / len(rates),
        "idle_control_bytes_per_s_max": max(rates),
        "bound_bytes_per_s": 15000,
        "idle_cpu_percent_mean": 100 * sum(shares) / len(shares),
        "idle_cpu_percent_max": 100 * max(shares),
        "bound_cpu_percent": 2.9,
        "resident_mb_mean": sum(memory) / len(memory),
        "resident_mb_max": max(memory),
        "bound_mb": 64,
        "changes": len(spreads),
        "cores": os.cpu_count(),
    }
    words = " ".join(f"{key}={value:.4g}" if isinstance(value, float) else f"{key}={value}"
                     for key, value in facts.items())
    print(f"event=bench name=real_fleet {words}", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--fakes", required=True)
    parser.add_argument("--daemons", type=int, required=True)
    parser.add_argument("--directory", required=True)
    parser.add_argument("--quick", action="store_true")
    fleet = Fleet(parser.parse_args())
    try:
        measure(fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
