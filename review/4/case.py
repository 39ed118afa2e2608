"""Case 4: packets of an open flow reach other targets only, in a rolling restart."""

import os
import sys
import threading
import time
import traceback
from pathlib import Path

from kit import Deployment, configuration

FOLDER = Path(__file__).resolve().parent

FLOWS = 12
DEADLINE_S = 2.5
# Bound of the rule.
STICKINESS_S = 2.0
# Side machines are rolled one at a time; a process is away for about a second.
GAP_S, RESTART_S = 1.1, 0.6


def roll(deployment: Deployment, name: str, begins_at: float) -> None:
    """Stop a process at a time and start it again after a short delay."""
    time.sleep(max(0.0, begins_at - time.monotonic()))
    deployment.stop(name)
    time.sleep(RESTART_S)
    deployment.start(name)


def is_broken(deployment: Deployment, flow, owner, since: float) -> bool:
    """Tell whether 3 packets reached others in 2 s, and none the flow's own target."""
    own = [at for at, key in owner.reached if key == flow.key and at >= since]
    others = sorted(
        at
        for target in deployment.targets.values()
        for at, key in target.reached
        if target is not owner and key == flow.key and at >= since
    )
    for start in others:
        end = start + STICKINESS_S
        count = sum(start <= at <= end for at in others)
        if count >= 3 and not any(start <= at <= end for at in own):
            return True
    return False


def run(deployment: Deployment, trouble: bool) -> int:
    """Return the exit status of the case."""
    record = deployment.record
    deployment.store.put("config", "main", configuration(10, ["desk"]))
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
    time.sleep(2)
    begins_at = time.monotonic() + 0.2
    # The frontend machine begins to stop 0.1 s after the first side machine.
    order = {"side-b-1": 0.0, "front-a": 0.1, "side-a-1": GAP_S, "side-c-1": 2 * GAP_S}
    rolls = [
        threading.Thread(target=roll, args=(deployment, name, begins_at + after))
        for name, after in order.items()
    ]
    for thread in rolls if trouble else []:
        thread.start()
    since = begins_at + GAP_S + 0.05
    time.sleep(since - time.monotonic())
    results: dict[int, str] = {}

    def send(number: int) -> None:
        content = b"second-%d" % number
        results[number] = flows[number].request(content, DEADLINE_S)

    senders = [threading.Thread(target=send, args=(n,)) for n in range(FLOWS)]
    record.write(f"the clients send a request on each of the {FLOWS} flows")
    for thread in senders:
        thread.start()
    for thread in senders:
        thread.join()
    time.sleep(0.5)
    broken = 0
    for number, (flow, owner) in enumerate(zip(flows, owners, strict=True)):
        places = sorted(
            (round(at - since, 3), target.name)
            for target in deployment.targets.values()
            for at, key in target.reached
            if key == flow.key and at >= since
        )
        is_bad = is_broken(deployment, flow, owner, since)
        broken += is_bad
        record.write(
            f"flow {number} of {owner.name}: {results[number]}; "
            f"{'BROKEN' if is_bad else 'held'}; its packets reached {places}"
        )
    for thread in rolls if trouble else []:
        thread.join()
    record.write(f"FLOW (b) was broken on {broken} of {FLOWS} flows")
    return 1 if broken else 0


def main() -> None:
    """Run the case and exit with its status."""
    status = 2
    try:
        deployment = Deployment(
            FOLDER,
            82,
            {"front-a": "zone-a", "front-b": "zone-b"},
            {
                "side-a-1": "zone-a desk",
                "side-b-1": "zone-b desk",
                "side-c-1": "zone-c desk",
            },
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
