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

SILENCE_TIMEOUT_S = 4.0
PLATFORM_SILENCE_TIMEOUT_S = 1.5
"""Time without a sign of the other side after which the kernel closes a connection to a
server or another node, and to the platform, seconds. It holds for bytes that are not
acknowledged, for a receiver that takes none, and for keep-alive probes, whatever their
count. A sound server may fall silent for a second or two and go on, and a lost packet
is sent again only 1.4 and 3 s after the first time. Calls to the platform are made
again instead."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
"""TCP keep-alive: idle time and interval, seconds. The probes detect a server that
becomes unreachable while it works, when nothing sent awaits an acknowledgement."""

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
    """A TCP connection of this node's own.

    The kernel reports the failure of a connection once, to whichever call comes first;
    later reads return ``b""``, as at an orderly end. So the failure is kept, and each
    later read that finds no more bytes raises it.

    Attributes
    ----------
    failure : OSError or None
        Why the connection broke, if any call was told.
    """

    def __init__(self, sock: gsocket.socket) -> None:
        self.sock = sock
        self.failure: OSError | None = None

    @classmethod
    def connect(
        cls,
        address: str,
        timeout_s: float = CONNECT_TIMEOUT_S,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> "TcpStream":
        """Connect to ``IP:port``; raises :class:`ConnectionBrokenError`."""
        result = PendingStream(address, silence_timeout_s).result(timeout_s)
        if isinstance(result, ConnectionBrokenError):
            raise result
        return result

    def sendall(self, data: bytes) -> None:
        """See :meth:`ByteStream.sendall`."""
        try:
            self.sock.sendall(data)
        except BrokenPipeError:
            raise  # the other side had ended its bytes in an orderly way before
        except OSError as error:
            self._note(error)
            raise

    def recv(self, size: int) -> bytes:
        """See :meth:`ByteStream.recv`."""
        try:
            data = self.sock.recv(size)
        except OSError as error:
            self._note(error)
            raise
        if not data and self.failure is not None:
            raise OSError(self.failure.errno, str(self.failure))
        return data

    def is_idle(self) -> bool:
        """See :meth:`ByteStream.is_idle`."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            self._note(error)
        return False

    def _note(self, error: OSError) -> None:
        """Keep the first failure."""
        if self.failure is None:
            self.failure = error

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
    silence_timeout_s : float
        Time without a sign of the other side after which it is closed, seconds.
    """

    def __init__(
        self, address: str, silence_timeout_s: float = SILENCE_TIMEOUT_S
    ) -> None:
        self.silence_timeout_s = silence_timeout_s
        host, _, port = address.rpartition(":")
        self.host, self.port = host, port
        self.sock: gsocket.socket | None = None

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
            if self.sock is None:
                self.sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(timeout_s)
            self.sock.connect((self.host, int(self.port)))
            self.sock.settimeout(None)
            enable_keepalive(self.sock, self.silence_timeout_s)
        except TimeoutError:
            raise
        except ConnectionRefusedError as error:
            self.close()
            raise ConnectionBrokenError(str(error), sent=False, refused=True) from None
        except Exception as error:
            # An address may also cause an OverflowError or a TypeError.
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
        if self.sock is not None:
            self.sock.close()


def enable_keepalive(
    sock: socket.socket, silence_timeout_s: float = SILENCE_TIMEOUT_S
) -> None:
    """Make the kernel close the connection to a peer that becomes unreachable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    timeout_ms = round(silence_timeout_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def is_idle(sock: gsocket.socket) -> bool:
    """Return whether a socket is open and has no unread bytes."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False
