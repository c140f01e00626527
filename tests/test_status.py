"""Tests of the commands that read the operators' port."""

import contextlib
import io
import json
import pathlib
import shutil
import tempfile
import time
import unittest

from crowwinch.cli import main
from standins.processes import Fleet, call, free_port, workspace


def _run(*arguments):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = main(arguments)
    return code, output.getvalue()


def _group(weight):
    target = {"name": "t", "url": "http://127.0.0.1:1", "slots": 1}
    return {
        "name": "g",
        "kind": "engine",
        "region": "r",
        "output_token_weight": weight,
        "targets": [target],
    }


class OperatorCommandsTest(unittest.TestCase):
    """Guards against routers that differ without an operator noticing."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        cls.fleet.publish(1, [workspace("a")], [_group(1)])
        cls.fleet.start_routers(2, ("az-1", "az-2"))
        cls.urls = [router.operator_url for router in cls.fleet.routers]

    def test_commands_against_running_routers(self):
        code, text = _run("status", *self.urls)
        self.assertEqual(code, 0, text)
        self.assertEqual(len(text.splitlines()), 3)
        self.assertEqual(
            " ".join(text.split()[:7]),
            "NAME ZONE READY REVISION DIGEST ACTIVE REFUSED",
        )
        code, text = _run(
            "status", *self.urls, f"http://127.0.0.1:{free_port()}"
        )
        self.assertEqual(code, 1)
        self.assertIn("unreachable", text)
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        table = folder / "table"
        code, text = _run("config", "show", self.urls[0], "--table", str(table))
        self.assertRegex(text, r"revision \d\n")
        self.assertIn("\na,1,", (table / "workspaces.csv").read_text())

    def test_new_revisions_come_into_force(self):
        """Guards against a router that keeps an old revision (I8)."""
        for revision in (2, 3, 4):
            self.fleet.publish(revision, [workspace("a")], [_group(revision)])
            started = time.monotonic()
            while any(self._revision(url) != revision for url in self.urls):
                self.assertLess(time.monotonic() - started, 2.0)
                time.sleep(0.02)
        self.fleet.put("/control/values/manifest", b"{")
        while not all(
            self._state(url)["refused_documents"] for url in self.urls
        ):
            self.assertLess(time.monotonic() - started, 7.0)
            time.sleep(0.02)
        self.assertEqual([self._revision(url) for url in self.urls], [4, 4])

    def _state(self, url):
        return json.loads(call("GET", f"{url}/v1/state")[1])

    def _revision(self, url):
        return self._state(url)["revision"]


class DifferingRoutersTest(unittest.TestCase):
    """Guards against an exit code of 0 while revisions differ."""

    def test_stale_router(self):
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        fleet.publish(1, [workspace("a")], [_group(1)])
        fleet.start_routers(2, ("az-1", "az-2"))
        body = json.dumps({"down": True}).encode()
        call("POST", f"{fleet.platform.url}/control/faults", body)
        fleet.publish(2, [workspace("a")], [_group(2)])
        urls = [router.operator_url for router in fleet.routers]
        self.assertEqual(_run("status", *urls)[0], 0)
        fleet.routers[0].stop()
        fleet.restart_router(0)
        deadline = time.monotonic() + 10
        while "router-0" not in _run("status", urls[0])[1]:
            self.assertLess(time.monotonic(), deadline)
        code, text = _run("status", *urls)
        self.assertEqual(code, 1)
        self.assertIn("not ready", text)
        self.assertIn("differ", text)
