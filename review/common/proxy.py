"""A proxy for the links that other programs open to one entry instance."""
import asyncio


class LinkProxy:
    """Listens on an address of its own, which the instance advertises.

    The first frame of a link holds the name of the program that opens it.
    """

    def __init__(self, tier, target, port=0):
        self.tier, self.target, self.port, self.links = tier, target, port, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.target.ip, self.port)
        port = self.server.sockets[0].getsockname()[1]
        self.target.peer_advertised = f"{self.target.ip}:{port}"

    async def serve(self, reader, writer):
        try:
            first = await reader.read(1 << 16)
            source = next((p for p in self.tier.entries + self.tier.controls
                           if p is not self.target and (p.name.encode() in first or p.ip.encode() in first)), None)
            back_reader, back_writer = await asyncio.open_connection(self.target.ip, self.tier.peer_port)
        except OSError:
            writer.transport.abort()
            return
        link = {"source": source, "ends": {source: writer, self.target: back_writer}, "dark": None}
        self.links.append(link)
        back_writer.write(first)
        await asyncio.wait([asyncio.ensure_future(self.forward(link, reader, self.target)),
                            asyncio.ensure_future(self.forward(link, back_reader, source))])

    async def forward(self, link, reader, to):
        writer = link["ends"][to]
        try:
            while data := await reader.read(1 << 16):
                if link["dark"] is None:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if link["dark"] is None:
            writer.transport.abort()

    def lose_power(self, program):
        """Drops all bytes of the program's links. Its peers see no close."""
        for link in self.links:
            if program in (link["source"], self.target) and link["dark"] is None:
                link["dark"] = program
                link["ends"][program].transport.abort()

    def fall_silent(self):
        """Drops all bytes of the open links, which stay open. New links work."""
        for link in self.links:
            link["dark"] = link["dark"] or self.target

    def close(self):
        self.server.close()
        for link in self.links:
            for writer in link["ends"].values():
                writer.transport.abort()
