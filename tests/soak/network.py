"""A loopback proxy that delays, resets, silences or refuses connections."""

import socket
import struct

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer

CONNECT_S = 2.0
HOLD_LOOK_S = 0.02
PIECE_BYTES = 65_536
NO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """One address that passes connections on to another.

    Attributes
    ----------
    accepting : bool
        Whether connections are taken; else each is reset at once.
    silent_out, silent_back : bool
        Whether bytes to the target, or from it, are held back.
    delay_s : float
        Added to each piece in both directions, seconds.
    healed_at : float
        When the last fault here ended, seconds on `clock`.
    """

    def __init__(self, host, port, target, clock):
        self.target = target
        self.clock = clock
        self.accepting = True
        self.silent_out = self.silent_back = False
        self.delay_s = 0.0
        self.healed_at = 0.0
        self.open = set()
        self.deaf = set()
        self.server = StreamServer((host, port), self._serve)
        self.server.start()

    @property
    def address(self):
        return "{}:{}".format(*self.server.address)

    def stop(self):
        self.server.stop(0)
        self.reset()

    def heal(self):
        """End every fault of this link."""
        self.accepting = True
        self.silent_out = self.silent_back = False
        self.delay_s = 0.0
        self.healed_at = self.clock()

    def deafen(self):
        """Let nothing more through on connections that are open; new ones work."""
        self.deaf |= self.open

    @property
    def is_well(self):
        """Whether no fault is under way here."""
        silent = self.silent_out or self.silent_back
        return self.accepting and not silent and not self.delay_s

    def reset(self):
        """Reset all connections that are open."""
        for sock in list(self.open):
            reset(sock)

    def _serve(self, sock, _address):
        if not self.accepting:
            reset(sock)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far = gsocket.create_connection((host, int(port)), CONNECT_S)
        except OSError:
            reset(sock)
            return
        far.settimeout(None)
        for end in (sock, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open |= {sock, far}
        pipes = [
            gevent.spawn(self._pipe, sock, far, "silent_out"),
            gevent.spawn(self._pipe, far, sock, "silent_back"),
        ]
        gevent.joinall(pipes)
        self.open -= {sock, far}
        self.deaf -= {sock, far}
        sock.close()
        far.close()

    def _pipe(self, source, sink, silence):
        try:
            while piece := source.recv(PIECE_BYTES):
                gevent.sleep(self.delay_s)
                self._hold(silence)
                if source not in self.deaf:
                    sink.sendall(piece)
            self._hold(silence)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Either end was reset, and so the other one must be.
            reset(source)
            reset(sink)

    def _hold(self, silence):
        while getattr(self, silence):
            gevent.sleep(HOLD_LOOK_S)


def reset(sock):
    """Close `sock` with a reset, whatever it still has to send."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # closed or reset by the other side already
    sock.close()
