"""An endpoint deregisters while its first status report is still on its way."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "local"))

from fleet import BOUNDS
from fleet import ZONES
from fleet import Endpoint
from fleet import Operator
from fleet import Record
from fleet import Traffic
from fleet import encode_state
from fleet import has_trouble
from fleet import main
from fleet import now_ms
from fleet import route
from fleet import run_fleet

# A status report may arrive seconds late.
REPORT_LATE_S = 3.0
# After the acknowledgement the endpoint serves for drainMs and "a little longer (at times many
# seconds)".
SERVES_ON_S = 5.0
SERVICE = "commission-desk"
WORK_S = 0.2


def send_late(endpoint: Endpoint, node, late_s: float, record: Record) -> None:
    """Send the first status report over a link that delivers it ``late_s`` later."""
    raw = endpoint.make_report()
    head = (
        f"POST /Instances.Heartbeat/{endpoint.name} HTTP/1.1\r\nHost: {node.host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n"
    ).encode()
    record.write(f"{endpoint.name} born={endpoint.born} ready to={node.name} (first report)")
    time.sleep(late_s)
    with socket.create_connection((node.host, node.fleet.ports["controlPlane"]), timeout=2) as sock:
        sock.sendall(head + raw)
        sock.settimeout(2)
        status = sock.recv(65_536).split(b"\r\n")[0].decode()
    record.write(f"first report of {endpoint.name} arrives at {node.name} -> {status}")


def play(record: Record) -> str:
    with run_fleet(record) as fleet:
        fleet.start()
        operator = Operator(fleet)
        time.sleep(1.0)
        raw = encode_state(1, [route("r-1", "/orders/", "unsafe", SERVICE)], [SERVICE])
        if operator.replace(1, raw) != 200:
            return ""
        others = [
            Endpoint(fleet, f"i-{number}", SERVICE, zone=ZONES[number % 3], work_s=WORK_S)
            for number in range(4)
        ]
        for endpoint in others:
            endpoint.start_reports()
        fleet.wait_until(
            lambda: all(node.is_ready() for node in fleet.nodes), within_s=20, what="all ready"
        )
        time.sleep(BOUNDS["connectivityWindowMs"] / 1000 + 1)
        traffic = Traffic(fleet, lambda: ("POST", "/orders/1"), threads=12, pause_s=0.15)
        time.sleep(2)

        leaver = Endpoint(fleet, "i-leaver", SERVICE, zone=ZONES[0], work_s=WORK_S)
        late_s = REPORT_LATE_S if has_trouble() else 0.0
        report = threading.Thread(
            target=send_late, args=(leaver, fleet.nodes[0], late_s, record), daemon=True
        )
        report.start()
        # Its start is called off: it leaves before anybody has answered its first report.
        time.sleep(0.5)
        if not leaver.deregister():
            return ""
        acknowledged_ms = now_ms()
        record.write(f"{leaver.name} has its acknowledgement")
        time.sleep(SERVES_ON_S)
        leaver.close()
        record.write(f"{leaver.name} exits")
        ended_ms = now_ms()
        time.sleep(3)
        traffic.stop()

        sent_by_id = {sent.request_id: sent for sent in traffic.sent}
        late = [run for run in leaver.runs if run.at_ms > acknowledged_ms + BOUNDS["drainMs"]]
        late = [run for run in late if sent_by_id[run.request_id].sent_ms > acknowledged_ms]
        lost = [run.request_id for run in leaver.runs if sent_by_id[run.request_id].status != 200]
        for endpoint in others:
            endpoint.close()
        record.write(
            f"requests at {leaver.name}: {len(leaver.runs)}, later than drainMs after the"
            f" acknowledgement: {len(late)}, of these without a success: {len(lost)}, served for"
            f" {(ended_ms - acknowledged_ms) / 1000:.1f} s"
        )
        if not late:
            return ""
        last_s = (late[-1].at_ms - acknowledged_ms) / 1000
        return (
            f"{len(late)} requests reached {leaver.name} up to {last_s:.1f} s after its"
            f" deregistration was acknowledged (drainMs {BOUNDS['drainMs']}), {len(lost)} of them"
            " were lost as it exited"
        )


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
