"""A planned replacement of a core machine, and then the loss of one disk."""
import asyncio
import os
import shutil
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import bed as b

CATCH_UP_S = 4.0
RECOVER_S = 12.0


def config(version):
    return {"version": version, "limits": b.LIMITS, "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}],
            "routes": [{"name": "r-%d" % version, "host": "shop.example", "pathPrefix": "/v%d/" % version, "routeKind": "unsafe", "timeoutMs": 3000,
                        "targetLatencyMs": 300, "priority": 2, "service": "ledger", "maxAttempts": 1, "stickySessions": False, "resumable": False}]}


async def case(bed, trouble):
    await bed.start_list()
    seeds = [1, 2, 3]
    for m in seeds:
        await bed.start_fleet(m, seeds, True)
    for m in (11, 12):
        await bed.start_gateway(m, seeds)
    operator = b.Operator(bed, seeds)
    if not await operator.put(config(1), 20):
        raise b.CannotRun("the first configuration was not acknowledged")

    # Planned: the new machine comes first, at another address with an empty disk. It has
    # had more than catchUpS when the old one gets SIGTERM and is gone for good.
    successor = await bed.start_fleet(4, seeds, False)
    await asyncio.sleep(CATCH_UP_S + 4.0)
    await bed.processes["core-1"].stop()
    operator.machines = [2, 3, 4]

    newest = 7
    if not await operator.put(config(newest), 10):
        raise b.CannotRun("the configuration after the replacement was not acknowledged")

    # The machine that has just acknowledged it loses its disk and restarts at its old
    # address. Nothing else is lost.
    if trouble:
        lost = bed.processes["core-%d" % operator.answered_by]
        await lost.kill()
        shutil.rmtree(lost.settings["data_folder"])
        os.makedirs(lost.settings["data_folder"])
        bed.record("platform: %s has lost its disk" % lost.name)
        await asyncio.sleep(1.0)
        lost.settings["first_start"] = False
        await lost.start()

    # The operator reads the configuration back, for far longer than recoverS.
    version = await operator.get(RECOVER_S + 28.0)
    acknowledged = await operator.put(config(9), RECOVER_S)
    alive = [n for n in ("core-2", "core-3", "core-4") if bed.processes[n].running()]
    text = "acknowledged: version %d; read back: %s; next change acknowledged: %s; running: %s" % (newest, version, acknowledged, ", ".join(alive))
    bed.record(text)
    return version is None or version < newest, text


if __name__ == "__main__":
    b.main(case, "record.txt")
