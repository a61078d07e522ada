"""Files of consecutive records with a length and a checksum."""

import struct
import zlib
from typing import NamedTuple

_MAGIC = b'VTR1'
# Magic bytes, payload length, checksum.
_HEADER = struct.Struct('<4sII')
# File number, offset in the file and payload length. The checksum covers them.
_POSITION = struct.Struct('<QQI')


class ScanResult(NamedTuple):
    """Result of scanning a file of records."""

    payloads: list[bytes]
    # Length of the valid records at the start of the file.
    valid_length: int
    # Offset of the first valid record after the first invalid one, or -1.
    resync_offset: int


def pack(payload: bytes, file_number: int, offset: int) -> bytes:
    """Return the record of ``payload`` for one offset of one file."""
    checksum = _checksum(payload, file_number, offset)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def unpack(content: bytes, file_number: int, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, or None if invalid."""
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
    """Read records up to an invalid one, then look for a valid one after."""
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
    offset = content.find(_MAGIC, after + 1)
    while offset >= 0:
        if unpack(content, file_number, offset) is not None:
            return offset
        offset = content.find(_MAGIC, offset + 1)
    return -1


def _checksum(payload: bytes, file_number: int, offset: int) -> int:
    # Including the position ensures that record bytes inside a command are
    # not taken for a record at their offset.
    position = _POSITION.pack(file_number, offset, len(payload))
    return zlib.crc32(payload, zlib.crc32(position))
