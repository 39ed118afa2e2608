"""Claims of addresses: the platform decides which service gets an address.

A claim is the object ``address/IP:PORT``. Selectors of two services are two
objects, so a conditional write of either cannot see the other; both services
write the same claim, and the platform lets one of them win.
"""

from __future__ import annotations

import json

from ..errors import ObjectNotFound, SelectorError, VersionConflict
from ..version.selectors import ADDRESS_PREFIX
from .platform import Platform


async def claim_address(platform: Platform, service: str, address: str) -> None:
    """Make `service` the owner of an address.

    A claim that the service has already is written again, so that a release
    that was begun before does not take it away.

    Raises
    ------
    SelectorError
        Another service owns the address.
    VersionConflict
        Another operator changed the claim at the same time.
    """
    name = ADDRESS_PREFIX + address
    version = 0
    try:
        known = await platform.get(name)
    except ObjectNotFound:
        known = None
    if known is not None:
        owner = json.loads(known.body)["service"]
        version = known.version
        if owner != service:
            raise SelectorError(
                f"address {address} belongs to service {owner}; choose another, or "
                f"free it with `berylturn selector remove {owner}`"
            )
    await platform.put(name, json.dumps({"service": service}).encode(), version)


async def list_claims(platform: Platform, service: str) -> dict[str, int]:
    """Return the versions of the claims of a service by address."""
    result = await platform.list(ADDRESS_PREFIX)
    return {
        item.name.removeprefix(ADDRESS_PREFIX): item.version
        for item in result.objects
        if json.loads(item.body)["service"] == service
    }


async def release_claims(platform: Platform, claims: dict[str, int]) -> None:
    """Delete claims that have not been changed since they were listed."""
    for address, version in claims.items():
        try:
            await platform.delete(ADDRESS_PREFIX + address, version)
        except VersionConflict:
            continue
