"""Listening sockets."""

import socket

BACKLOG = 1024


def listen_tcp(address: str, port: int) -> socket.socket:
    """Return a listening socket with ``TCP_NODELAY``, which accepted ones inherit.

    Without it, Nagle's algorithm holds a small event back until the receiver's
    delayed ACK arrives, 40 ms later, and a stream's tokens arrive in bursts.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def listen_udp(address: str, port: int) -> socket.socket:
    """Return a bound UDP socket."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.bind((address, port))
    return udp
