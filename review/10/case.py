"""The open channels of all VMs to the store go silent for good; a config changes a moment later. It has to be in force in time."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world  # noqa: E402
from silent_relay import SilentRelay  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["tln-ulemiste", "tln-kopli", "tln-mustamae"]
CHANGE_AFTER_S = 0.2
WATCH_S = 12


async def case(deployment):
    relays = []
    for index in range(deployment.per_zone):
        for zone in ZONES:
            relay = SilentRelay(f"{deployment.network}.{200 + len(relays)}:{world.STORE_PORT}", deployment.store)
            await relay.start()
            deployment.stores[f"edge-{zone}-{index + 1}"] = relay.address
            relays.append(relay)
    await deployment.start([("r-main", "/lohu930/"), ("r-old", "/pufi791/")])
    silent_at = time.monotonic()
    if world.TROUBLE:
        deployment.record.write("all open channels to the store go silent")
        for relay in relays:
            relay.silence()
    await asyncio.sleep(CHANGE_AFTER_S)
    await deployment.put_config([("r-main", "/lohu930/"), ("r-new", "/pule252/")])
    acknowledged = time.monotonic()
    # In touch again one stable window after the channels went silent, which counts as a reset.
    limit = max(acknowledged + world.CONFIG_APPLY_S, silent_at + world.STABLE_WINDOW_S)
    latest = {}
    while time.monotonic() < silent_at + WATCH_S:
        for vm in deployment.vms.values():
            sent = time.monotonic()
            status, _ = await deployment.call(vm, "GET", "/pule252/", quiet=True, deadline_ms=500)
            if status == 404 and sent > limit:
                latest[vm.name] = sent
        await asyncio.sleep(0.02)
    return [f"CONFIG: {name} answers 404 on a route of the new config {sent - limit:.2f} s after it had to be in force, "
            f"{sent - acknowledged:.2f} s after its ack and {sent - silent_at:.2f} s after the channels went silent"
            for name, sent in latest.items()]


world.play(FOLDER, ZONES, 2, 6, case)
