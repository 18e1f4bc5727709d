"""The program of an edge machine. `ROSECHUTE_NODE_FILE` names its settings file."""

import rosechute.processes.plain_http  # noqa: F401

# isort: split
import asyncio
import gc
import os
import random
import signal
import sys
import time

from aiohttp import web
from loguru import logger
from returns.result import Failure

from rosechute.configuration.operator import parse
from rosechute.configuration.process import SETTINGS_VARIABLE, ProcessSettings, load, load_from_environment
from rosechute.data.plane import DataPlane
from rosechute.distribution.actions import ConfigurationChanged, Dialed, EdgesTotalChanged, Send, ServersChanged
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.subscriber import Subscriber
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.framing import Kind
from rosechute.messages.link import LinkPool, LinkServer
from rosechute.routing.model import ServerEntry
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning


class AllowAll:
    def spend(self, tenant, tokens, decided):
        decided(True, 0.0)


class Fresh:
    def __init__(self, s):
        self.s = s

    def confirmed_at(self):
        return self.s.confirmed_at


class EdgeProcess:
    def __init__(self, settings):
        self.settings = settings
        self.pool = LinkPool(self.received_dialed, self.closed)
        self.server = LinkServer(settings.edge_link_address, self.received, self.closed_in)
        ident = EdgeIdentity(settings.node_name, settings.zone, settings.edge_link_address)
        self.sub = Subscriber(time.monotonic(), ident, random.getrandbits(60), settings.seed_peers)

    async def run(self):
        loop = asyncio.get_running_loop()
        end = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, end.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        self.router = Router(random.random, RouterTuning())
        self.plane = DataPlane(loop, self.settings, self.router, AllowAll(), Fresh(self.sub))
        await self.plane.start()
        await self.server.start()
        app = web.Application()
        app.router.add_get("/readiness", self.readiness)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        host, port = self.settings.listen.readiness.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        task = asyncio.create_task(self.tick())
        logger.info("edge listens")
        gc.freeze()
        await end.wait()
        self.plane.begin_shutdown()
        await self.plane.finish_shutdown()

    async def readiness(self, request):
        return web.Response(status=200 if self.plane.ready() else 503)

    async def tick(self):
        while True:
            self.carry(self.sub.tick(time.monotonic()))
            await asyncio.sleep(max(0.01, min(0.2, self.sub.next_wake() - time.monotonic())))

    def carry(self, actions):
        for a in actions:
            if isinstance(a, Send):
                data = a.message.SerializeToString()
                if isinstance(a.connection, Dialed):
                    self.pool.send(a.connection.address, Kind.DISTRIBUTION, data)
                else:
                    a.connection.send(Kind.DISTRIBUTION, data)
            elif isinstance(a, ConfigurationChanged):
                self.plane.apply_configuration(parse(a.body).unwrap(), a.sequence)
            elif isinstance(a, ServersChanged):
                self.plane.apply_servers(a.service, [ServerEntry(s.id, s.address, s.zone, s.slots, s.ready, s.cold_until) for s in a.servers])
            elif isinstance(a, EdgesTotalChanged):
                self.plane.apply_edges(a.count)

    def received(self, connection, kind, data):
        self.carry(self.sub.receive(time.monotonic(), connection, pb.Distribution.FromString(data)))

    def received_dialed(self, connection, kind, data):
        self.carry(self.sub.receive(time.monotonic(), Dialed(connection.address), pb.Distribution.FromString(data)))

    def closed(self, address):
        self.carry(self.sub.connection_closed(time.monotonic(), Dialed(address)))

    def closed_in(self, connection):
        self.carry(self.sub.connection_closed(time.monotonic(), connection))


def main():
    loaded = load_from_environment()
    if isinstance(loaded, Failure):
        logger.error("{}", loaded.failure())
        return 2
    asyncio.run(EdgeProcess(loaded.unwrap()).run())
    return 0


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(main())
