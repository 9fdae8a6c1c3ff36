"""A configuration sent from one node to another, compressed, its length first.

With hundreds of routes it has a hundred kilobytes, a tenth of that compressed. One node
may send it to ten others at once over a link of 5 Mbit/s, and all must have it in force
within two seconds.
"""

import struct
import zlib

from gevent import socket as gsocket

MOST_DOCUMENT_BYTES = 16_777_216
LENGTH = struct.Struct(">I")


def send_document(sock, document: bytes) -> None:
    """Send `document` on a connection."""
    packed = zlib.compress(document)
    sock.sendall(LENGTH.pack(len(packed)) + packed)


def receive_document(address: str, port: int) -> bytes:
    """Return the configuration that a node serves; raises OSError."""
    sock = gsocket.create_connection((address, port))
    try:
        data = _receive(sock, LENGTH.size)
        (length,) = LENGTH.unpack(data)
        if length > MOST_DOCUMENT_BYTES:
            raise OSError(f"a document of {length} bytes")
        return unpacked(_receive(sock, length))
    finally:
        sock.close()


def unpacked(packed: bytes) -> bytes:
    """Return what was compressed; raises OSError for anything else."""
    try:
        unpacker = zlib.decompressobj()
        document = unpacker.decompress(packed, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise OSError(f"not compressed: {error}") from None
    if not unpacker.eof:
        raise OSError("the document is cut off or too long")
    return document


def _receive(sock, length: int) -> bytes:
    pieces, left = [], length
    while left:
        piece = sock.recv(min(left, 65_536))
        if not piece:
            raise OSError("the document ends early")
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
