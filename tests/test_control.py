"""The control service with and without certificates."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trustme

from berylturn.errors import SettingsError
from berylturn.process.control import (
    ControlError,
    PullReply,
    PullRequest,
    call_control,
    start_control,
)
from berylturn.process.settings import TlsSection
from berylturn.process.sockets import open_udp
from berylturn_standins.ports import HOST, free_port


async def serve_pull(_request):
    return PullReply([], [])


class ControlService(unittest.IsolatedAsyncioTestCase):
    """Peers that the control service answers, and errors that name the remedy."""

    def make_tls(self, authority, name):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        issued = authority.issue_cert(HOST)
        paths = {
            "certificate": folder / f"{name}.pem",
            "key": folder / f"{name}.key",
            "authority": folder / "authority.pem",
        }
        issued.cert_chain_pems[0].write_to_path(paths["certificate"])
        issued.private_key_pem.write_to_path(paths["key"])
        authority.cert_pem.write_to_path(paths["authority"])
        return TlsSection(**{key: str(path) for key, path in paths.items()})

    async def is_answered(self, port, tls):
        try:
            await call_control(f"{HOST}:{port}", "Pull", PullRequest([], []), tls)
        except ControlError:
            return False
        return True

    async def test_only_peers_with_a_certificate_of_the_authority_are_answered(self):
        own_authority, other_authority = trustme.CA(), trustme.CA()
        port = free_port()
        server_tls = self.make_tls(own_authority, "server")
        server = await start_control((HOST, port), {"Pull": serve_pull}, server_tls)
        cases = [
            (self.make_tls(own_authority, "peer"), True),
            (self.make_tls(other_authority, "stranger"), False),
            (TlsSection(), False),
        ]
        for tls, expected in cases:
            self.assertEqual(await self.is_answered(port, tls), expected)
        await server.stop(None)

    async def test_bad_settings_name_the_remedy(self):
        port = free_port()
        server = await start_control((HOST, port), {"Pull": serve_pull}, TlsSection())
        udp_transport = await open_udp((HOST, port), print)
        missing = TlsSection(certificate="no/such.pem", key="no/such.key")
        cases = [
            (start_control((HOST, port), {}, TlsSection()), "choose a free port"),
            (
                start_control((HOST, free_port()), {}, missing),
                "check the .tls. section",
            ),
            (open_udp((HOST, port), print), "choose a free port"),
        ]
        for call, remedy in cases:
            with self.assertRaisesRegex(SettingsError, remedy):
                await call
        udp_transport.close()
        await server.stop(None)

    async def test_without_certificates(self):
        port = free_port()
        server = await start_control((HOST, port), {"Pull": serve_pull}, TlsSection())
        self.assertTrue(await self.is_answered(port, TlsSection()))
        await server.stop(None)
        self.assertFalse(await self.is_answered(port, TlsSection()))
