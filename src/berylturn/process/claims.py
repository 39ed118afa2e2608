"""Claims of addresses, so that each address belongs to one service only.

A claim is the object ``address/IP:PORT``. The selectors of two services are two
objects, so a conditional write of one does not detect the other. Both services write
the same claim object, so of two concurrent conditional writes only one succeeds.
"""

from __future__ import annotations

import json

from ..errors import ObjectNotFound, SelectorError, VersionConflict
from ..version.selectors import ADDRESS_PREFIX
from .platform import Platform


async def claim_address(platform: Platform, service: str, address: str) -> None:
    """Make `service` the owner of an address.

    A claim that the service already has is written again, so that its version changes
    and a release that started earlier does not delete it.

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
        claim = await platform.get(name)
    except ObjectNotFound:
        claim = None
    if claim is not None:
        owner = json.loads(claim.body)["service"]
        version = claim.version
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
    """Delete claims, except those that changed after they were listed."""
    for address, version in claims.items():
        try:
            await platform.delete(ADDRESS_PREFIX + address, version)
        except VersionConflict:
            continue
