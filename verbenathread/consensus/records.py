"""Records with a length and a checksum, one after another in a file."""

import struct
import zlib
from typing import NamedTuple

_MAGIC = b'VTR1'
# Magic bytes, length of the payload, checksum.
_HEADER = struct.Struct('<4sII')
# Number of the file and offset in it, which the checksum covers too.
_POSITION = struct.Struct('<QQI')


class ScanResult(NamedTuple):
    """What a file of records holds."""

    payloads: list[bytes]
    # Records are whole up to here.
    valid_length: int
    # Offset of a whole record after the first that is not; -1 for none.
    resync_offset: int


def pack(payload: bytes, file_number: int, offset: int) -> bytes:
    """Return a record for one place in one file."""
    checksum = _checksum(payload, file_number, offset)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def unpack(content: bytes, file_number: int, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, None if not whole."""
    start = offset + _HEADER.size
    if start > len(content):
        return None
    magic, length, checksum = _HEADER.unpack_from(content, offset)
    payload = content[start : start + length]
    if magic != _MAGIC or len(payload) != length:
        return None
    if _checksum(payload, file_number, offset) != checksum:
        return None
    return payload


def scan(content: bytes, file_number: int) -> ScanResult:
    """Read records until one is not whole, then look for any after it."""
    payloads = []
    offset = 0
    payload = unpack(content, file_number, offset)
    while payload is not None:
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
        payload = unpack(content, file_number, offset)
    return ScanResult(
        payloads, offset, _find_resync_offset(content, file_number, offset)
    )


def _find_resync_offset(content: bytes, file_number: int, after: int) -> int:
    place = content.find(_MAGIC, after + 1)
    while place >= 0:
        if unpack(content, file_number, place) is not None:
            return place
        place = content.find(_MAGIC, place + 1)
    return -1


def _checksum(payload: bytes, file_number: int, offset: int) -> int:
    # A command may itself hold the bytes of a record, from another place.
    place = _POSITION.pack(file_number, offset, len(payload))
    return zlib.crc32(payload, zlib.crc32(place))
