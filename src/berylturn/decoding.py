"""Decode bytes that another process wrote into typed values or typed errors."""

from __future__ import annotations

import re
import socket
import zlib
from typing import Protocol, TypeVar

import msgspec

from .errors import BerylturnError, PlatformError

Value = TypeVar("Value")

# A decoder raises RecursionError for deep nesting, and ValueError for some numbers and
# for text that is not UTF-8.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, ValueError)
# Arrays and objects that may be nested in a document; decoders end at about 1,000.
MAX_DOCUMENT_DEPTH = 64
# Stands in a document for a value below that depth.
TOO_DEEP = b'"value is nested too deeply"'
MAX_PORT = 65_535
MIN_COMPRESSED_BYTES = 500
MAX_DECOMPRESSED_BYTES = 64_000_000
ZLIB_START = b"\x78"
MULTICAST_START = 224

# Strings, and runs of opening and of closing brackets.
_JSON_TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|([\[{]+)|([\]}]+)', re.DOTALL)
# Group of `_JSON_TOKENS` that a run of opening brackets is in.
_OPENING = 1


class Decoder(Protocol[Value]):
    """Decoder of one type, such as one of msgspec."""

    def decode(self, data: bytes) -> Value:
        """Return the value in `data`."""


def decode_value(
    decoder: Decoder[Value], data: bytes, error: type[BerylturnError], message: str
) -> Value:
    """Return the value in `data`, or raise `error` with `message` and the cause.

    Parameters
    ----------
    decoder : Decoder
        Decoder of the expected type.
    data : bytes
        Bytes from outside this process.
    error : type
        Exception that is raised if they cannot be decoded.
    message : str
        What cannot be read, and the remedy.
    """
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as cause:
        raise error(f"{message}: {cause}") from cause


def decode_pruned(
    decoder: Decoder[Value], data: bytes, error: type[BerylturnError], message: str
) -> Value:
    """Return the value in a JSON text, without values that are nested too deeply.

    Other parameters and errors are those of `decode_value`.
    """
    try:
        return decode_value(decoder, data, error, message)
    except error as failure:
        if not isinstance(failure.__cause__, RecursionError):
            raise
    pruned = replace_deep_values(data, MAX_DOCUMENT_DEPTH, TOO_DEEP)
    return decode_value(decoder, pruned, error, message)


def compress(data: bytes) -> bytes:
    """Return data in zlib's format, or as it is if it is short."""
    return data if len(data) < MIN_COMPRESSED_BYTES else zlib.compress(data, 1)


def decompress(data: bytes) -> bytes:
    """Return data that `compress` returned, or raise `PlatformError`.

    No map or array of msgpack starts with the byte that zlib's format starts with.
    """
    if data[:1] != ZLIB_START:
        return data
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise PlatformError(
            f"copy of a peer is damaged; it is requested again: {error}"
        ) from error
    if not reader.eof:
        raise PlatformError("copy of a peer is incomplete or too large; check the peer")
    return plain


def replace_deep_values(data: bytes, max_depth: int, replacement: bytes) -> bytes:
    """Return a JSON text in which arrays and objects below a depth are replaced.

    The text is scanned without recursion, so any depth can be handled. A text that is
    not valid JSON gives another text that need not be valid.

    Parameters
    ----------
    data : bytes
        JSON text.
    max_depth : int
        Number of nested arrays and objects that are kept.
    replacement : bytes
        JSON text in place of each value below that depth.

    Examples
    --------
    >>> replace_deep_values(b'[1,[2,[3]],"[["]', 2, b"null")
    b'[1,[2,null],"[["]'
    """
    parts: list[bytes] = []
    depth, kept_until = 0, 0
    for token in _JSON_TOKENS.finditer(data):
        kind = token.lastindex
        if kind is None:
            continue
        start, end = token.span()
        if kind == _OPENING:
            if depth <= max_depth < depth + end - start:
                parts.append(data[kept_until : start + max_depth - depth])
            depth += end - start
        else:
            if depth - (end - start) <= max_depth < depth:
                parts.append(replacement)
                kept_until = start + depth - max_depth
            depth -= end - start
    if depth <= max_depth:
        parts.append(data[kept_until:])
    return b"".join(parts)


def is_host_address(text: str) -> bool:
    """Tell whether a text is the IPv4 address of a single host."""
    try:
        packed = socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return 0 < packed[0] < MULTICAST_START


def is_host_port(text: str) -> bool:
    """Tell whether a text is an IPv4 address and a port, such as ``10.0.0.1:80``."""
    host, _, port = text.partition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return is_host_address(host) and is_number and 0 < int(port) <= MAX_PORT
