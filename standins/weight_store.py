"""Stand-in for the weight store, which limits the rate of reads."""

import time
from collections import deque

from aiohttp import web

from standins._server import run_standin


class WeightStore:
    """Serves any model, at most so many reads in any second."""

    def __init__(self, reads_per_second: int = 1) -> None:
        """Creates a store without reads."""
        self._reads: deque[float] = deque(maxlen=reads_per_second)
        self._served = 0
        self._rejected = 0

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application()
        application.router.add_get("/v1/weights/{model:.+}", self._read)
        application.router.add_get("/control/reads", self._count)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        full = len(self._reads) == self._reads.maxlen
        if full and now - self._reads[0] < 1.0:
            self._rejected += 1
            return web.Response(status=429, text="rate limit")
        self._reads.append(now)
        self._served += 1
        return web.Response(body=request.match_info["model"].encode())

    async def _count(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {"served": self._served, "rejected": self._rejected}
        )


def main() -> None:
    """Runs the stand-in."""
    run_standin(
        "Stand-in for the weight store.",
        lambda arguments: WeightStore(arguments.reads_per_second).application(),
        lambda parser: parser.add_argument(
            "--reads-per-second", type=int, default=1
        ),
    )


if __name__ == "__main__":
    main()
