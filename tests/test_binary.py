"""The one-file program."""

import json
import pathlib
import tempfile
import unittest

from standins import fleet as demo
from standins.processes import Fleet, call
from tools.build_binary import build


class BinaryTest(unittest.TestCase):
    """Guards against a file that lacks a module or starts a child."""

    def test_file_serves_a_request_in_one_process(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "crowwinch"
        build(path)
        fleet = Fleet(router_command=(str(path),))
        self.addCleanup(fleet.stop)
        demo.start_all(fleet, routers=1)
        router = fleet.routers[0]
        body = {"model": "menu-model", "prompt": "hello", "max_tokens": 2}
        status, answer = call(
            "POST",
            f"{router.url}/v1/completions",
            json.dumps(body).encode(),
            {"Authorization": "Bearer key-supplier"},
        )
        self.assertEqual(status, 200, answer)
        process = pathlib.Path(f"/proc/{router.handle.pid}")
        for task in (process / "task").iterdir():
            self.assertEqual((task / "children").read_text(), "")
        for link in (process / "fd").iterdir():
            try:
                target = str(link.readlink())
            except FileNotFoundError:
                # The process closed it after the folder was listed.
                continue
            # The standard streams are whatever the test runner has.
            if (
                int(link.name) > 2
                and target.startswith("/")
                and pathlib.Path(target).is_file()
            ):
                flags = (process / "fdinfo" / link.name).read_text()
                mode = int(flags.split("flags:")[1].split()[0], 8) & 3
                self.assertEqual(mode, 0, f"{target} is open for writing")
