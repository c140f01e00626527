"""TLS between callers, a router and targets, with certificates of one run."""

import asyncio
import json
import os
import pathlib
import ssl
import subprocess
import tempfile
import unittest
from unittest import mock

import aiohttp

from crowwinch.app import RouterApplication
from crowwinch.errors import SettingsError
from crowwinch.generated.settings import RouterSettings
from crowwinch.targets import (
    ConnectionLostError,
    NotSentError,
    TargetCall,
    TargetClient,
)
from standins.processes import Fleet, call, workspace
from standins.scripted_target import ScriptedTarget, broken


def _certificate(
    folder: pathlib.Path, name: str, issuer: str = "", host: str = "127.0.0.1"
) -> tuple[str, str]:
    """Makes an authority, or a certificate of an issuer for an address."""
    certificate, key = folder / f"{name}.pem", folder / f"{name}.key"
    command = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256"
    command += f" -nodes -days 1 -subj /CN={name} -out {certificate}"
    command += f" -keyout {key}"
    if issuer:
        command += f" -CA {folder}/{issuer}.pem -CAkey {folder}/{issuer}.key"
        command += f" -addext subjectAltName=IP:{host}"
        command += " -addext basicConstraints=critical,CA:FALSE"
    subprocess.run(command.split(), check=True, capture_output=True)
    return str(certificate), str(key)


def _server_tls(pair: tuple[str, str]) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(*pair)
    return context


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against plain text, unchecked certificates and untrue refusals."""

    async def asyncSetUp(self):
        folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="tls"))
        )
        for authority in ("ours", "other"):
            _certificate(folder, authority)
        own = self.own = _certificate(folder, "own", "ours")
        foreign = _certificate(folder, "foreign", "other")
        elsewhere = _certificate(folder, "elsewhere", "ours", "10.9.9.9")
        self.authority = str(folder / "ours.pem")
        self.targets = {}
        for name, pair in (
            ("trusted", own),
            ("breaking", own),
            ("foreign", foreign),
            ("elsewhere", elsewhere),
            ("plain", None),
        ):
            target = self.targets[name] = ScriptedTarget()
            await target.start(pair and _server_tls(pair))
            target.scheme = "https"
            self.addCleanup(target.stop)
        self.targets["breaking"].script = [broken]
        # A handshake that the other side ends is expected here.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)

    async def _start_router(self) -> None:
        settings = {
            "CROWWINCH_TLS_CERTIFICATE": self.own[0],
            "CROWWINCH_TLS_KEY": self.own[1],
            "CROWWINCH_TARGET_CA": self.authority,
        }
        with mock.patch.dict(os.environ, settings):
            self.fleet = Fleet()
            self.addCleanup(self.fleet.stop)
            await asyncio.to_thread(self._start)

    def _start(self) -> None:
        self.fleet.start_platform()
        groups = [
            {
                "name": name,
                "kind": "service",
                "region": "region-1",
                "idempotent": False,
                "targets": [{"name": name, "url": target.url, "slots": 2}],
            }
            for name, target in self.targets.items()
        ]
        self.fleet.publish(1, [workspace("camp")], groups)
        self.fleet.start_routers(1, ("az-1",))

    async def _ask(self, session, name, tls):
        url = self.fleet.routers[0].url.replace("http:", "https:")
        async with session.post(
            f"{url}/services/{name}/x",
            data=b"{}",
            headers={
                "Authorization": "Bearer key-camp",
                "X-Deadline-Ms": "5000",
            },
            ssl=tls,
        ) as response:
            document = json.loads(await response.read())
            error = document.get("error", {})
            return error.get("code"), error.get("run_state")

    async def test_router(self):
        await self._start_router()
        trusting = ssl.create_default_context(cafile=self.authority)
        # A request that comes before the first poll of a target waits.
        refused = (("no_target", "not_run"), ("deadline_exceeded", "not_run"))
        cases = (
            ("trusted", ((None, None),), 1),
            ("breaking", (("outcome_unknown", "unknown"),), 1),
            ("foreign", refused, 0),
            ("elsewhere", refused, 0),
        )
        async with aiohttp.ClientSession() as session:
            for name, expected, runs in cases:
                with self.subTest(name):
                    reply = await self._ask(session, name, trusting)
                    self.assertIn(reply, expected)
                    self.assertEqual(len(self.targets[name].seen), runs)
            with self.assertRaises(aiohttp.ClientConnectorCertificateError):
                await self._ask(session, "trusted", True)
        with self.assertRaises(OSError):
            await asyncio.to_thread(
                call, "GET", self.fleet.routers[0].url + "/v1/models"
            )

    async def test_attempts(self):
        client = TargetClient(ssl.create_default_context(cafile=self.authority))
        await client.start()
        self.addAsyncCleanup(client.stop)
        for name, error, runs in (
            ("breaking", ConnectionLostError, 1),
            ("foreign", NotSentError, 0),
            ("elsewhere", NotSentError, 0),
            ("plain", NotSentError, 0),
        ):
            target = self.targets[name]
            with self.subTest(name), self.assertRaises(error):
                await client.open(
                    TargetCall("a-1", target.url, "POST", "/", {}, b"x", 1.0)
                )
            self.assertEqual(len(target.seen), runs)

    async def test_unusable_files(self):
        own, key = self.own
        locked = f"{key}.locked"
        command = (
            f"openssl pkcs8 -topk8 -passout pass:x -in {key} -out {locked}"
        )
        subprocess.run(command.split(), check=True)
        both = ["--tls-certificate", "--target-ca"]
        cases = (
            ("missing", "none", "none", "none", both),
            ("not PEM", key, key, key, both),
            ("other key", self.authority, key, own, both[:1]),
            ("locked key", own, locked, own, both[:1]),
        )
        for name, certificate, private, authority, places in cases:
            with self.subTest(name):
                settings = RouterSettings(
                    name="r",
                    availability_zone="az-1",
                    region="region-1",
                    configuration_url="http://127.0.0.1:1",
                    vm_list_url="http://127.0.0.1:1",
                    tls_certificate=certificate,
                    tls_key=private,
                    target_ca=authority,
                )
                with self.assertRaises(SettingsError) as raised:
                    RouterApplication(settings)
                found = [each.place for each in raised.exception.findings]
                self.assertEqual(found, places)
