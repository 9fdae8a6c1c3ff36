"""TCP connections to servers, to the platform's services and to other nodes."""

import fcntl
import socket
import struct
import termios
from typing import Protocol

from gevent import socket as gsocket

from endive_gateway.exceptions import ConnectionBrokenError

CONNECT_TIMEOUT_S = 0.6
"""Time-out for opening a connection, seconds. Within a region it takes a few
milliseconds. A lost SYN packet is sent again only after one second, so after this time
another server is the better choice."""

TCP_USER_TIMEOUT_MS = 1500
"""Time for which sent bytes may stay unacknowledged before the kernel closes the
connection, milliseconds. An unreachable server acknowledges nothing. Five consecutive
losses on a poor link take as long, so fewer do not break a connection."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: idle time and interval in seconds, and unanswered probes. They detect
a server that becomes unreachable while it works, when nothing sent awaits an
acknowledgement. They take three seconds, less than most callers wait."""

UNACKNOWLEDGED = struct.Struct("i")

LISTEN_PROBE_TIMEOUT_S = 0.05
"""Time-out of the check whether a server still listens, seconds. A refusal arrives
within a few milliseconds, and the caller of the failed request waits meanwhile."""


class ByteStream(Protocol):
    """An open connection, directly or through another node."""

    def sendall(self, data: bytes) -> None:
        """Send bytes; raises OSError."""
        ...

    def recv(self, size: int) -> bytes:
        """Return up to `size` bytes, ``b""`` at an orderly end; raises OSError."""
        ...

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class TcpStream:
    """A TCP connection of this node's own."""

    def __init__(self, sock: gsocket.socket) -> None:
        self.sock = sock

    @classmethod
    def connect(cls, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> "TcpStream":
        """Connect to ``IP:port``; raises :class:`ConnectionBrokenError`."""
        result = PendingStream(address).result(timeout_s)
        if isinstance(result, ConnectionBrokenError):
            raise result
        return result

    def sendall(self, data: bytes) -> None:
        """See :meth:`ByteStream.sendall`."""
        self.sock.sendall(data)

    def recv(self, size: int) -> bytes:
        """See :meth:`ByteStream.recv`."""
        return self.sock.recv(size)

    def is_idle(self) -> bool:
        """See :meth:`ByteStream.is_idle`."""
        return is_idle(self.sock)

    def close(self) -> None:
        """See :meth:`ByteStream.close`."""
        self.sock.close()

    def unacknowledged_bytes(self) -> int:
        """Return how many sent bytes the other side has not acknowledged."""
        count = bytearray(UNACKNOWLEDGED.size)
        try:
            fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            return 0  # closed, or not supported
        return UNACKNOWLEDGED.unpack(count)[0]


class PendingStream:
    """A TCP connection that is being opened.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, port
        self.sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def finish(self, timeout_s: float) -> TcpStream:
        """Return the open connection.

        Raises
        ------
        ConnectionBrokenError
            If it can't be opened.
        TimeoutError
            If it is not open in time. It may be waited for again.
        """
        try:
            self.sock.settimeout(timeout_s)
            self.sock.connect((self.host, int(self.port)))
            self.sock.settimeout(None)
            enable_keepalive(self.sock)
        except TimeoutError:
            raise
        except ConnectionRefusedError as error:
            self.close()
            raise ConnectionBrokenError(str(error), sent=False, refused=True) from None
        except (OSError, ValueError) as error:
            self.close()
            raise ConnectionBrokenError(str(error), sent=False) from None
        except BaseException:
            self.close()
            raise
        return TcpStream(self.sock)

    def result(self, timeout_s: float) -> TcpStream | ConnectionBrokenError:
        """Return the open connection, or the error that prevented one in time."""
        try:
            return self.finish(timeout_s)
        except ConnectionBrokenError as error:
            return error
        except TimeoutError as error:
            self.close()
            return ConnectionBrokenError(str(error), sent=False)

    def close(self) -> None:
        """Give the connection up."""
        self.sock.close()


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close the connection to a peer that becomes unreachable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def is_idle(sock: gsocket.socket) -> bool:
    """Return whether a socket is open and has no unread bytes."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False
