"""Builders for tests of the ways to servers: nodes that are cut off, transit nodes."""

import gevent
from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.tcp import PendingStream
from gateway_builders import RunningGateway, make_context, make_entry


class HangingStream(PendingStream):
    """A connection that is never opened."""

    def finish(self, timeout_s):
        gevent.sleep(timeout_s)
        raise TimeoutError("timed out")


class RefusedStream(HangingStream):
    """A connection that is refused at once."""

    def finish(self, timeout_s):
        raise ConnectionBrokenError("refused", sent=False, refused=True)


CUTS = {"hang": HangingStream, "refused": RefusedStream}


class TransitNode:
    """A node that carries connections to servers, on a port of its own."""

    def __init__(self, *servers):
        self.context = make_context()
        for server in servers:
            self.context.registry.put(make_entry(server.id, address=server.address))
        self.port = self.context.transit_port
        self.port.start("127.0.0.1", 0)

    @property
    def number(self):
        return self.port.server.server_port

    def kill(self):
        """End as a killed process does: its connections are closed by the kernel."""
        self.port.stop()


class CutOffGateway(RunningGateway):
    """A gateway whose own connections to servers fail, beside a transit node."""

    def __init__(self, *servers, cut="hang", table=None, wire=None):
        super().__init__(*servers, table=table, wire=wire)
        self.node = TransitNode(*servers)
        self.paths = self.context.paths
        self.paths.transit.port = self.node.number
        self.paths.transit.choice.offers.set("127.0.0.1", 0)
        self.monitor = gevent.spawn(self.context.path_monitor.run)
        self.cut(cut)

    def cut(self, how):
        """Let connections to servers fail from now on."""
        self.paths.dial = CUTS[how]

    def heal(self):
        """End the cut."""
        self.paths.dial = PendingStream

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self.monitor.kill()
        self.node.port.stop()
