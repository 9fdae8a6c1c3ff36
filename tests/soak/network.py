"""A loopback TCP proxy that delays, stalls, resets or refuses connections."""

import socket
import struct

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer

CONNECT_S = 2.0
HOLD_POLL_S = 0.02
CHUNK_BYTES = 65_536
NO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """Forwards the connections to one address to another address.

    Attributes
    ----------
    accepting : bool
        Whether connections are accepted; if not, each is reset at once.
    silent_out, silent_back : bool
        Whether bytes to the target, or from it, are held back.
    delay_s : float
        Delay of each chunk in both directions, seconds.
    healed_at : float
        When the last fault of this link ended, seconds on `clock`.
    reset_at : float
        When its open connections were last reset, seconds on `clock`.
    cut_sources : set of str
        IP addresses whose new connections are reset.
    sources : dict of socket to str
        IP address from which each open connection came.
    """

    def __init__(self, host, port, target, clock):
        self.target = target
        self.cut_sources = set()
        self.sources = {}
        self.clock = clock
        self.accepting = True
        self.silent_out = self.silent_back = False
        self.delay_s = 0.0
        self.healed_at = 0.0
        self.reset_at = float("-inf")
        self.open = set()
        self.black_holed = set()
        self.address = f"{host}:{port}"
        self.listen()

    def listen(self):
        """Listen at this link's address, at first and after :meth:`close_port`."""
        host, port = self.address.rsplit(":", 1)
        self.server = StreamServer((host, int(port)), self._serve)
        self.server.start()

    def close_port(self):
        """Refuse connections, as the port of a process that has ended does."""
        self.server.close()
        self.reset()

    def stop(self):
        self.server.stop(0)
        self.reset()

    def heal(self):
        """End every fault of this link."""
        self.accepting = True
        self.silent_out = self.silent_back = False
        self.delay_s = 0.0
        self.healed_at = self.clock()

    def black_hole(self):
        """Drop what else the open connections send, and their end; new ones work."""
        self.black_holed |= self.open

    def cut_source(self, source, mode):
        """Cut off `source`; its open connections hang, are reset, or live on."""
        self.cut_sources.add(source)
        own = {sock for sock, ip in self.sources.items() if ip == source}
        if mode == "hang":
            self.black_holed |= own
        elif mode == "reset":
            for sock in own:
                reset(sock)

    def rejoin_source(self, source):
        """End the cut of `source`; its connections that hang are reset."""
        self.cut_sources.discard(source)
        for sock in list(self.black_holed):
            if self.sources.get(sock) == source:
                reset(sock)

    @property
    def is_healthy(self):
        """Whether this link has no fault now."""
        silent = self.silent_out or self.silent_back
        return self.accepting and not silent and not self.delay_s

    def reset(self):
        """Reset all open connections."""
        self.reset_at = self.clock()
        for sock in list(self.open):
            reset(sock)

    def _serve(self, sock, address):
        source = address[0]
        if not self.accepting or source in self.cut_sources:
            reset(sock)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            upstream = gsocket.create_connection((host, int(port)), CONNECT_S)
        except OSError:
            reset(sock)
            return
        upstream.settimeout(None)
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open |= {sock, upstream}
        self.sources |= {sock: source, upstream: source}
        pipes = [
            gevent.spawn(self._pipe, sock, upstream, "silent_out"),
            gevent.spawn(self._pipe, upstream, sock, "silent_back"),
        ]
        gevent.joinall(pipes)
        self.open -= {sock, upstream}
        self.black_holed -= {sock, upstream}
        del self.sources[sock], self.sources[upstream]
        sock.close()
        upstream.close()

    def _pipe(self, source, sink, silence):
        try:
            while chunk := source.recv(CHUNK_BYTES):
                gevent.sleep(self.delay_s)
                self._hold(silence)
                if source not in self.black_holed:
                    sink.sendall(chunk)
            self._hold(silence)
            while source in self.black_holed and source.fileno() >= 0:
                gevent.sleep(HOLD_POLL_S)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side was reset, so the other side is reset too.
            reset(source)
            reset(sink)

    def _hold(self, silence):
        while getattr(self, silence):
            gevent.sleep(HOLD_POLL_S)


def reset(sock):
    """Close `sock` with a reset; unsent data is discarded."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.shutdown(socket.SHUT_RD)  # for writing, it would end in an orderly way
    except OSError:
        pass  # already closed or reset by the other side
    sock.close()
