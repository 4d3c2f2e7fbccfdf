"""Planned work: stops, restarts, reloads and configurations, in series and overlapping, and nothing that is a fault."""

import asyncio
import random
import signal
import time

LEAST_RUNNING = 0.5 # Share of the processes that planned stops leave running.
IDLE_LIMITS_MS = [2000, 2500, 3125, 3900, 6000, 12000, 20000] # Four fifths of some are just about others.


class PlannedWork:
    """Begins pieces of planned work at random moments, as the seed says."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"{soak.seed}-planned")
        self.is_rolling = False

    async def play(self, ends_at):
        actions = [self.stop, self.stop, self.stop_twice, self.reload, self.reconfigure, self.reconfigure,
                   self.reconfigure_in_series, self.work_on_one, self.roll, self.work_on_endpoint,
                   self.work_on_endpoint]
        while time.monotonic() < ends_at:
            action = self.random.choice(actions)
            print(f"  {time.monotonic() - self.soak.planned_began:5.1f} s {action.__name__}", flush=True)
            # A Random of its own: the draws of an action do not depend on the timing of the others.
            self.soak.spawn(action(random.Random(self.random.getrandbits(64))))
            await asyncio.sleep(self.random.uniform(0.05, 0.9))

    def choose(self, rng):
        """A process that may be stopped now, if there is one."""
        running = [each for each in self.soak.processes if each.is_running() and not each.stopping.is_set()]
        ready = [each for each in running if each.handles_signals()]
        if not ready or len(running) <= LEAST_RUNNING * len(self.soak.processes):
            return None
        return rng.choice(ready)

    async def finish_stop(self, rng, process):
        await process.wait_for_exit()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        process.start(self.soak)

    async def stop(self, rng):
        if process := self.choose(rng):
            process.request_stop()
            await self.finish_stop(rng, process)

    async def stop_twice(self, rng):
        """SIGTERM, SIGHUP and SIGTERM within a second."""
        if process := self.choose(rng):
            process.request_stop()
            await asyncio.sleep(rng.uniform(0, 0.5))
            process.end(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0, 0.5))
            process.request_stop()
            await self.finish_stop(rng, process)

    async def reload(self, rng):
        """SIGHUP twice."""
        process = rng.choice(self.soak.processes)
        if process.is_running() and process.handles_signals():
            process.end(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0, 1.0))
            if process.is_running():
                process.end(signal.SIGHUP)

    def settings(self, rng):
        """What the next configuration says beside its routes."""
        chosen = {"idle_ms": rng.choice(IDLE_LIMITS_MS), "timeout_ms": rng.choice([4000, 5000, 6000]),
                  "max_attempts": rng.choice([1, 2, 3])}
        if rng.random() < 0.3:
            per_process = rng.choice([8, 30, 150])
            chosen["quota"] = {"ratePerS": per_process * len(self.soak.processes), "burst": 200}
        return chosen

    async def reconfigure(self, rng):
        self.soak.write_configuration(**self.settings(rng))

    async def reconfigure_in_series(self, rng):
        for _ in range(3):
            self.soak.write_configuration(**self.settings(rng))
            await asyncio.sleep(rng.uniform(0, 0.5))

    async def work_on_one(self, rng):
        """Configuration, SIGHUP, SIGTERM and configuration on one process, within a second."""
        process = self.choose(rng)
        if process is None:
            return
        await self.reconfigure(rng)
        await asyncio.sleep(rng.uniform(0, 0.4))
        process.end(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, 0.3))
        if not process.stopping.is_set():
            process.request_stop()
            await asyncio.sleep(rng.uniform(0, 0.3))
            await self.reconfigure(rng)
            await self.finish_stop(rng, process)

    async def roll(self, rng):
        """Stops and starts several processes one after another, the next before the last has ended."""
        if self.is_rolling:
            return
        self.is_rolling = True
        for _ in range(max(2, len(self.soak.processes) // 3)):
            self.soak.spawn(self.stop(random.Random(rng.getrandbits(64))))
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        self.is_rolling = False

    async def work_on_endpoint(self, rng):
        """What sound endpoints do: they are silent for a while, name limits, ask for pauses and leave."""
        endpoint = rng.choice(self.soak.endpoints)
        if endpoint.leaving_since is not None:
            return
        kind = rng.choice(["silent", "silent", "limit", "pause", "leave"])
        if kind == "leave":
            self.soak.endpoints.remove(endpoint)
            await self.soak.add_endpoint()
            await endpoint.leave(is_announced=rng.random() < 0.5)
        elif kind == "limit":
            endpoint.name_limit(rng.choice([50, 100, 200]))
        elif kind == "pause":
            endpoint.ask_for_pause(rng.uniform(0.5, 2.0))
        else:
            endpoint.is_silent = True
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            endpoint.is_silent = False
