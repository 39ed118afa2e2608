"""Case 2: an agent that was restarted in an evacuation resets flows of its target."""

import os
import sys
import time
import traceback
from pathlib import Path

from kit import Deployment, configuration

FOLDER = Path(__file__).resolve().parent

FLOWS = 24
EVACUATION_S = 7.0
# The zone's targets are cold for cold_start_s, which begins shortly before the end.
COLD_S = 2.0


def run(deployment: Deployment, trouble: bool) -> int:
    """Return the exit status of the case."""
    record, store = deployment.record, deployment.store
    store.put("config", "main", configuration(10, ["desk"]))
    for name in deployment.roles:
        deployment.start(name)
    time.sleep(1.5)
    for target in deployment.targets.values():
        target.reports = True
    if not deployment.wait_until_serving(15):
        record.write("the deployment did not start")
        return 2
    time.sleep(4)
    flows = [deployment.clients.new_flow() for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not flow.open() or flow.request(b"first-%d" % number, 2) != "answered":
            record.write(f"flow {number} could not be opened")
            return 2
    owners = [deployment.owner(flow) for flow in flows]
    for target in deployment.targets.values():
        record.write(f"{target.name} holds {owners.count(target)} flows")
    rolled = deployment.targets["side-a-1"]
    if trouble:
        record.write("the operator evacuates zone-a")
        store.put("evacuations", "zone-a", {})
        time.sleep(1)
        deployment.stop(rolled.name)
        time.sleep(0.5)
        deployment.start(rolled.name)
        time.sleep(EVACUATION_S - 1.5 - COLD_S)
        rolled.turn_cold(COLD_S)
        time.sleep(COLD_S)
        store.remove("evacuations", "zone-a")
        record.write("the operator takes zone-a back")
    else:
        time.sleep(EVACUATION_S)
    time.sleep(0.5)
    broken = 0
    for number, (flow, owner) in enumerate(zip(flows, owners, strict=True)):
        result = flow.request(b"second-%d" % number, 2)
        if result != "answered":
            held = owner.holds(flow.key)
            record.write(
                f"flow {number}: {result}; {owner.name} lives and still holds it: "
                f"{held}; it sent no reset"
            )
            broken += result == "reset" and held
    record.write(f"{broken} of {FLOWS} open flows were reset by the system")
    return 1 if broken else 0


def main() -> None:
    """Run the case and exit with its status."""
    status = 2
    try:
        deployment = Deployment(
            FOLDER,
            81,
            {"front-a": "zone-a", "front-b": "zone-b"},
            {"side-a-1": "zone-a desk", "side-b-1": "zone-b desk"},
        )
        try:
            status = run(deployment, os.environ.get("TROUBLE", "1") != "0")
        finally:
            deployment.close()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


if __name__ == "__main__":
    main()
