"""Ways of machines to the replicas that can be cut: each of these machines knows each replica by an address of its own."""

import asyncio
import functools
import json


class Path:
    """The way from one machine to one replica. Behind the cut its connections are reset and new ones refused."""

    def __init__(self, replica):
        self.replica, self.server, self.writers, self.port, self.opened = replica, None, set(), 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _pass(self, reader, writer):
        self.opened += 1
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.replica.port)
        except OSError:
            return writer.transport.abort()
        self.writers |= {writer, other_writer}
        try:
            await asyncio.gather(self._copy(reader, other_writer), self._copy(other_reader, writer))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, other_writer}

    @staticmethod
    async def _copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


class OwnPaths:
    """The paths of all machines that will be cut off, by the replica's port."""

    def __init__(self, machines):
        self.paths = {each: {} for each in machines}

    async def add(self, replica):
        for own in self.paths.values():
            own[replica.port] = Path(replica)
            await own[replica.port].start()

    def rewrites(self):
        """What each machine reads in place of the rows of replicas, for `Deployment.start`."""
        return {each: functools.partial(self._rewrite, own) for each, own in self.paths.items()}

    @staticmethod
    def _rewrite(own, table, data):
        if table != "servers" or not data:
            return data
        entry = json.loads(data)
        port = int(entry["address"].rpartition(":")[2])
        if port in own:
            entry["address"] = f"127.0.0.1:{own[port].port}"
        return json.dumps(entry).encode()

    def check_use(self):
        """The machines must go by their own paths, or the cut does nothing."""
        for machine, own in self.paths.items():
            if sum(path.opened for path in own.values()) == 0:
                raise RuntimeError(f"{machine.name} doesn't use its own paths")

    def cut(self):
        for own in self.paths.values():
            for path in own.values():
                path.cut()
