"""Forwards the messages between entry processes, TCP and UDP, and separates processes when told to. The instance
list and the settings name the ports of the relay instead of those of the processes."""

import asyncio
import contextlib
import threading

# Length, version and number precede the length of the sender's id in a frame of the peers.
SENDER_AT = 6
CHUNK = 65536


class PeerRelay:
    def __init__(self):
        self.ports = {}
        self.datagrams = {}
        self.isolated = frozenset()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def stop(self):
        asyncio.run_coroutine_threadsafe(self.end_connections(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def end_connections(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def isolate(self, names):
        """Cuts each of these processes from all others; an empty list ends that."""
        self.isolated = frozenset(names)

    def separated(self, one, other):
        return one in self.isolated or other in self.isolated

    def add(self, name, port, own):
        """Takes messages to a process that listens on `port` at the port `own`, which is returned. Both are chosen
        together: a free port that the relay took by itself could be that of the process, which has not started."""
        return asyncio.run_coroutine_threadsafe(self.open(name, port, own), self.loop).result(10)

    async def open(self, name, port, own):
        if name in self.ports:
            return own
        self.ports[name] = port
        await asyncio.start_server(lambda *streams: self.connect(name, *streams), "127.0.0.1", own)
        self.datagrams[name], _ = await self.loop.create_datagram_endpoint(
            lambda: _Datagrams(self, name), local_addr=("127.0.0.1", own))
        return own

    async def connect(self, recipient, reader, writer):
        # The server reports each handler that is cancelled as an error.
        with contextlib.suppress(asyncio.CancelledError, OSError), contextlib.closing(writer):
            await self.forward(recipient, reader, writer)

    async def forward(self, recipient, reader, writer):
        data = await reader.read(CHUNK)
        sender = data[SENDER_AT + 1:SENDER_AT + 1 + data[SENDER_AT]].decode() if len(data) > SENDER_AT else ""
        if not self.separated(sender, recipient):
            back, forth = await asyncio.open_connection("127.0.0.1", self.ports[recipient])
            with contextlib.closing(forth):
                forth.write(data)
                await asyncio.wait({asyncio.ensure_future(self.pump(reader, forth, sender, recipient)),
                                    asyncio.ensure_future(self.pump(back, writer, sender, recipient))},
                                   return_when=asyncio.FIRST_COMPLETED)
        # A cut connection says nothing, it does not close.
        while self.separated(sender, recipient):
            await asyncio.sleep(0.1)

    async def pump(self, reader, writer, sender, recipient):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.separated(sender, recipient):
                    return
                writer.write(data)
                await writer.drain()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay, recipient):
        self.relay, self.recipient = relay, recipient

    def datagram_received(self, data, address):
        """Passes a datagram on from the relay's port of its sender, to which the recipient then answers."""
        sender = next((name for name, port in self.relay.ports.items() if port == address[1]), None)
        if sender and not self.relay.separated(sender, self.recipient):
            self.relay.datagrams[sender].sendto(data, ("127.0.0.1", self.relay.ports[self.recipient]))
