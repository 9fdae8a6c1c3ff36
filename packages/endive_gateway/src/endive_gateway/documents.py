"""A configuration sent from one node to another, its length first."""

import struct

from gevent import socket as gsocket

MOST_DOCUMENT_BYTES = 16_777_216
LENGTH = struct.Struct(">I")


def send_document(sock, document: bytes) -> None:
    """Send `document` on a connection."""
    sock.sendall(LENGTH.pack(len(document)) + document)


def receive_document(address: str, port: int) -> bytes:
    """Return the configuration that a node serves; raises OSError."""
    sock = gsocket.create_connection((address, port))
    try:
        data = _receive(sock, LENGTH.size)
        (length,) = LENGTH.unpack(data)
        if length > MOST_DOCUMENT_BYTES:
            raise OSError(f"a document of {length} bytes")
        return _receive(sock, length)
    finally:
        sock.close()


def _receive(sock, length: int) -> bytes:
    pieces, left = [], length
    while left:
        piece = sock.recv(min(left, 65_536))
        if not piece:
            raise OSError("the document ends early")
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
