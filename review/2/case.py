"""Keys that no configuration ever held, before and after a version whose list of tenants is empty."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from harness import FRONT, Closed, Deployment, ask, message, play  # noqa: E402

APPLY_S = 3.0  # configApplyMs
KNOWN, FOREIGN = "i9n73hh2b9wu3fexd9dn", "never-issued-to-anybody"


def config(version, tenants):
    return {"version": version,
            "routeList": [{"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "type": "non_idempotent",
                           "timeoutMs": 2000, "latencyTargetMs": 300, "priority": 2, "service": "orderdesk",
                           "maxAttempts": 1, "public": False}],
            "services": [{"name": "orderdesk", "healthPath": "/healthz", "maxConns": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants}


async def case(trouble):
    deployment = Deployment(HERE, [("kingston-a", "kingston", 3)])
    record = deployment.record
    try:
        await deployment.start()
        tenant = {"name": "hule930", "apiKeys": [KNOWN], "priority": 1}
        deployment.put_config(config(7, [tenant]))
        replica = await deployment.add_replica("orderdesk", "kingston-a")
        await deployment.start_entries()
        await asyncio.sleep(5)
        number = 0

        async def send(key, when):
            nonlocal number
            for entry in deployment.entries:
                for _ in range(5):
                    number += 1
                    request = f"{number:016x}"
                    data = message("POST /lohu930/2f HTTP/1.1",
                                   {"Host": "ficu95.example", "Siskinwharf-Attempt-Id": request,
                                    "Siskinwharf-Deadline-Ms": "4000", "Siskinwharf-Credential": key}, b"one order")
                    try:
                        status, _, _ = await ask(entry.ip, FRONT, data, 5)
                    except (Closed, OSError, asyncio.TimeoutError) as error:
                        status = repr(error)
                    record(f"{when}: {request} with key {key} at {entry.name}: {status}")

        await send(KNOWN, "version 7")
        await send(FOREIGN, "version 7")
        if trouble:
            deployment.put_config(config(9, []))
        await asyncio.sleep(APPLY_S + 1)
        await send(FOREIGN, "after the change" if trouble else "without a change")
        ran = [headers["siskinwharf-attempt-id"] for _, headers, _ in replica.ran]
        foreign = [each for each in ran if int(each, 16) > 15]
        record(f"{len(ran)} requests ran, {len(foreign)} of them with a key that no configuration ever held")
        return bool(foreign)
    finally:
        deployment.end()


play(case)
