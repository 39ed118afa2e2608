"""Message authentication codes with a current and a previous key."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from hashlib import blake2b

from ..errors import AuthenticationError, SettingsError

MAC_BYTES = 16
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


@dataclass(frozen=True)
class Key:
    """Secret key and its identifier (0 to 255)."""

    key_id: int
    secret: bytes


class KeyRing:
    """Sign with the current key; verify with the current or the previous key.

    Parameters
    ----------
    current : Key
        Key that signs new messages.
    previous : Key or None
        Key that is still accepted during a rotation.
    """

    def __init__(self, current: Key, previous: Key | None = None) -> None:
        self._current = current
        self._hashers = {}
        for key in (previous, current):
            if key is not None:
                self._hashers[key.key_id] = blake2b(
                    key=key.secret, digest_size=MAC_BYTES
                )

    def sign(self, data: bytes) -> bytes:
        """Return the key identifier as one byte, then the code of `data`."""
        hasher = self._hashers[self._current.key_id].copy()
        hasher.update(data)
        return bytes((self._current.key_id,)) + hasher.digest()

    def verify(self, signature: bytes, data: bytes) -> None:
        """Raise `AuthenticationError` unless `signature` covers `data`."""
        if len(signature) != MAC_BYTES + 1:
            raise AuthenticationError(
                "signature has the wrong length; sign with a key of this system"
            )
        base = self._hashers.get(signature[0])
        if base is None:
            raise AuthenticationError(
                f"signature names unknown key {signature[0]}; "
                "set it as the current or previous key"
            )
        hasher = base.copy()
        hasher.update(data)
        if not hmac.compare_digest(hasher.digest(), signature[1:]):
            raise AuthenticationError(
                "signature does not match; use the same secret at both ends"
            )


def parse_key(text: str) -> Key:
    """Read a key written as ``ID:HEX`` with 16 to 64 bytes of secret.

    Examples
    --------
    >>> parse_key("7:" + "00" * 16).key_id
    7
    """
    key_id, separator, digits = text.strip().partition(":")
    try:
        key = Key(int(key_id), bytes.fromhex(digits))
    except ValueError:
        separator = ""
    if not separator or not 0 <= key.key_id <= 255:
        raise SettingsError("key is malformed; write it as ID:HEX with ID 0 to 255")
    if not MIN_KEY_BYTES <= len(key.secret) <= MAX_KEY_BYTES:
        raise SettingsError(
            f"key {key.key_id} has {len(key.secret)} bytes; "
            f"use {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        )
    return key
