"""A crowd of callers on new connections, and a limit of processor time."""

import asyncio
import pathlib
import signal
import threading
import time
from dataclasses import dataclass

import uvloop

from standins.processes import Process
from tests.platform_fleet import HOST, KEY

# Callers of the operators' platform allow a connection this long to open.
_CONNECT_TIMEOUT_S = 1.0
# They wait this long for a plain service.
_DEADLINE_S = 1.5
# A core's share is a quota of each tenth of a second.
_QUOTA_PERIOD_S = 0.1
# A process that waited for this part of the time in which it could run has not
# got its quota, since others kept the processors busy.
_LARGEST_WAITING_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Visit:
    """One request on a connection of its own.

    Attributes:
        start: Monotonic time at which the connection was asked for.
        seconds: Time to the status of the answer, or until the caller left.
        status: Status of the answer, 0 if there was none.
    """

    start: float
    seconds: float
    status: int

    @property
    def is_held(self) -> bool:
        """Whether the caller waited in vain until it left."""
        return not self.status and self.seconds >= _CONNECT_TIMEOUT_S


async def visit(host: str, port: int, path: str, attempt: str) -> Visit:
    """Sends a request on a new connection and waits for its status."""
    request = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        f"X-Crowwinch-Attempt-Id: {attempt}\r\n"
        f"X-Crowwinch-Deadline-Ms: {_DEADLINE_S * 1000:.0f}\r\n"
        "Content-Length: 4\r\n\r\nbody"
    )
    start = time.monotonic()
    status = 0
    writer = None
    try:
        async with asyncio.timeout(_DEADLINE_S):
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
            writer.write(request.encode())
            line = await reader.readline()
            status = int(line.split()[1]) if line else 0
    except (TimeoutError, OSError):
        status = 0
    finally:
        if writer is not None:
            writer.close()
    return Visit(start, time.monotonic() - start, status)


async def crowd(
    host: str, port: int, path: str, per_s: float, seconds: float
) -> list[Visit]:
    """Sends requests at a steady rate, whatever becomes of those before."""
    visits = []
    started = time.monotonic()
    for number in range(int(per_s * seconds)):
        due = started + number / per_s
        await asyncio.sleep(max(due - time.monotonic(), 0))
        visits.append(
            asyncio.ensure_future(visit(host, port, path, f"crowd-{number}"))
        )
    return list(await asyncio.gather(*visits))


def run_crowd(
    host: str, port: int, path: str, per_s: float, seconds: float
) -> list[Visit]:
    """Runs `crowd` in an event loop of its own."""
    return uvloop.run(crowd(host, port, path, per_s, seconds))


class ProcessorQuota:
    """Lets a process run for a share of each period only."""

    def __init__(
        self, process: Process, share: float, period_s: float = _QUOTA_PERIOD_S
    ) -> None:
        """Stores which process may run for which share of each period."""
        self._process = process
        self._share = share
        self._period_s = period_s
        self._is_lifted = threading.Event()
        self._run_ns = 0
        self._wait_ns = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def was_given(self) -> bool:
        """Whether the process got its share, once the limit has ended."""
        could_run_ns = self._run_ns + self._wait_ns
        return self._wait_ns < _LARGEST_WAITING_SHARE * could_run_ns

    def __enter__(self) -> "ProcessorQuota":
        """Starts to limit the process."""
        self._run_ns, self._wait_ns = self._scheduled_ns()
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Lets the process run freely."""
        self._is_lifted.set()
        self._thread.join()
        run_ns, wait_ns = self._scheduled_ns()
        self._run_ns = run_ns - self._run_ns
        self._wait_ns = wait_ns - self._wait_ns
        self._process.signal(signal.SIGCONT)

    def _scheduled_ns(self) -> tuple[int, int]:
        """Returns how long the process ran and waited for a processor."""
        path = pathlib.Path(f"/proc/{self._process.handle.pid}/schedstat")
        try:
            run_ns, wait_ns, _ = path.read_text().split()
        except (OSError, ValueError):
            # The process has ended.
            return 0, 0
        return int(run_ns), int(wait_ns)

    def _run(self) -> None:
        while not self._is_lifted.is_set():
            self._process.signal(signal.SIGCONT)
            time.sleep(self._period_s * self._share)
            self._process.signal(signal.SIGSTOP)
            self._is_lifted.wait(self._period_s * (1 - self._share))
