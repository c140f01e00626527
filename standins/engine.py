"""Stand-in for a model engine with continuous batching.

Each request produces tokens at a fixed pace; beyond the batch size requests
wait in arrival order. An answer is a function of the request, so a caller can
check it: see `expected_tokens`.
"""

import argparse
import asyncio
import hashlib
import json
import os
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from standins._server import refusal, run_standin
from standins.prefix_cache import PrefixCache

_FINISHED_STREAM_LIFE_S = 60.0
# Time in which a stream whose connection broke can be resumed.
_RESUME_GRACE_S = 2.0


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Returns the tokens that every engine generates for a prompt."""
    seed = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{seed}-{index} " for index in range(count)]


def prompt_of(body: dict) -> str:
    """Returns the text of a chat or text completion request."""
    if "messages" in body:
        return "\n".join(str(each.get("content")) for each in body["messages"])
    return str(body.get("prompt", ""))


def _attempt_of(request: web.Request) -> str:
    return request.headers.get("X-Request-Id", "")


async def _echo_attempt(
    request: web.Request, response: web.StreamResponse
) -> None:
    if _attempt_of(request):
        response.headers["X-Request-Id"] = _attempt_of(request)


@dataclass
class Generation:
    """One request's tokens so far."""

    body: dict
    tokens: list[str]
    cached_characters: int = 0
    produced: int = 0
    cancelled: bool = False
    finished_at: float | None = None
    readers: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """A batch of generations, faults and counters."""

    def __init__(
        self,
        batch: int,
        token_seconds: float,
        first_token_seconds: float,
        weight_store_url: str = "",
        cache_characters: int = 0,
    ) -> None:
        """Creates an idle engine; loads read the weight store if it has one."""
        self._weight_store_url = weight_store_url
        self._role = "mixed"
        self._batch = asyncio.Semaphore(batch)
        self._token_seconds = token_seconds
        self._first_token_seconds = first_token_seconds
        self._cache = PrefixCache(cache_characters)
        self._generations: dict[str, Generation] = {}
        self._running = 0
        self._waiting = 0
        self._started = 0
        self._runs: dict[str, int] = {}
        self._faults: dict[str, object] = {"crash_after_s": 0}
        self._incarnation = int(time.time() * 1000)
        self._models: dict[str, str] = {}
        self._highest_fencing = 0
        self._orders: list[dict] = []

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application(client_max_size=16_000_000)
        application.on_response_prepare.append(_echo_attempt)
        router = application.router
        router.add_post("/v1/chat/completions", self._complete)
        router.add_post("/v1/completions", self._complete)
        router.add_get("/v1/streams/{attempt}", self._resume)
        router.add_delete("/v1/streams/{attempt}", self._cancel)
        router.add_get("/load", self._load)
        router.add_post("/orders", self._order)
        router.add_get("/models", self._list_models)
        router.add_post("/control/faults", self._set_faults)
        router.add_get("/control/runs", self._list_runs)
        return application

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self._faults.get("refuse"):
            return refusal()
        body = await request.json()
        prompt = prompt_of(body)
        attempt = _attempt_of(request) or f"local-{self._started}"
        marker = self._faults.get("crash_on")
        if marker and str(marker) in prompt:
            self._running += 1
            await asyncio.sleep(float(str(self._faults["crash_after_s"])))
            os._exit(1)
        count = int(
            body.get("max_completion_tokens") or body.get("max_tokens") or 16
        )
        generation = Generation(body, expected_tokens(prompt, count))
        self._forget_old()
        self._generations[attempt] = generation
        self._started += 1
        self._runs[prompt] = self._runs.get(prompt, 0) + 1
        producer = asyncio.ensure_future(self._produce(generation))
        try:
            if body.get("stream"):
                return await self._stream(request, generation, 0)
            await producer
        except (asyncio.CancelledError, ConnectionError):
            if not self._faults.get("keep_on_disconnect"):
                self._cancel_later(generation, bool(body.get("stream")))
            raise
        if self._faults.get("truncate"):
            return await self._truncated(request)
        return web.json_response(self._document(generation))

    def _cancel_later(self, generation: Generation, stream: bool) -> None:
        """Cancels a generation unless its stream is resumed in time."""
        readers = generation.readers

        def cancel() -> None:
            if generation.readers == readers:
                generation.cancelled = True

        grace = _RESUME_GRACE_S if stream else 0.0
        asyncio.get_running_loop().call_later(grace, cancel)

    async def _truncated(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"{")
        if request.transport is not None:
            request.transport.close()
        return response

    async def _produce(self, generation: Generation) -> None:
        self._waiting += 1
        async with self._batch:
            self._waiting -= 1
            self._running += 1
            try:
                await asyncio.sleep(self._prefill(generation))
                while generation.produced < len(generation.tokens):
                    if generation.cancelled:
                        return
                    slow = float(self._faults.get("slow_factor") or 1)
                    await asyncio.sleep(self._token_seconds * slow)
                    generation.produced += 1
                    generation.changed.set()
                    generation.changed = asyncio.Event()
            finally:
                self._running -= 1
                generation.finished_at = time.monotonic()

    def _prefill(self, generation: Generation) -> float:
        """Returns the seconds to the first token, less for a cached prefix."""
        prompt = prompt_of(generation.body)
        generation.cached_characters = self._cache.use(prompt)
        part = generation.cached_characters / max(len(prompt), 1)
        return self._first_token_seconds * (1 - part)

    async def _stream(
        self, request: web.Request, generation: Generation, offset: int
    ) -> web.StreamResponse:
        generation.readers += 1
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        index = offset
        broken = self._faults.get("break_stream_after")
        while index < len(generation.tokens):
            if index < generation.produced:
                await response.write(self._event(generation, index))
                index += 1
                if broken and index == int(broken) and offset == 0:
                    if request.transport is not None:
                        request.transport.close()
                    return response
                continue
            if generation.cancelled:
                return response
            await generation.changed.wait()
        usage = self._usage(generation)
        await response.write(
            b"data: "
            + json.dumps({"choices": [], "usage": usage}).encode()
            + b"\n\ndata: [DONE]\n\n"
        )
        await response.write_eof()
        return response

    def _event(self, generation: Generation, index: int) -> bytes:
        document = {
            "object": "chat.completion.chunk",
            "index": index,
            "choices": [
                {"index": 0, "delta": {"content": generation.tokens[index]}}
            ],
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _usage(self, generation: Generation) -> dict[str, object]:
        usage: dict[str, object] = {
            "prompt_tokens": len(prompt_of(generation.body)) // 4,
            "completion_tokens": generation.produced,
        }
        if not self._faults.get("omit_cached_tokens"):
            cached = generation.cached_characters // 4
            usage["prompt_tokens_details"] = {"cached_tokens": cached}
        return usage

    def _document(self, generation: Generation) -> dict:
        text = "".join(generation.tokens[: generation.produced])
        return {
            "object": "chat.completion",
            "model": generation.body.get("model"),
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "text": text,
                    "finish_reason": "stop",
                }
            ],
            "usage": self._usage(generation),
            "padding": "x" * int(generation.body.get("padding", 0)),
        }

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        generation = self._generations.get(request.match_info["attempt"])
        if generation is None or generation.cancelled:
            return web.json_response({"error": "no such stream"}, status=404)
        offset = int(request.query.get("offset", "0"))
        return await self._stream(request, generation, offset)

    async def _cancel(self, request: web.Request) -> web.Response:
        generation = self._generations.get(request.match_info["attempt"])
        if generation is not None:
            generation.cancelled = True
            generation.changed.set()
        return web.Response(status=204)

    async def _load(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "running": self._running,
                "waiting": self._waiting,
                "leaving": bool(self._faults.get("leaving")),
                "time_to_first_token_s": self._first_token_seconds,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        fencing = int(order["fencing"])
        checks = not self._faults.get("ignore_fencing")
        if checks and fencing < self._highest_fencing:
            return web.json_response({"error": "old fencing"}, status=409)
        self._highest_fencing = max(self._highest_fencing, fencing)
        self._orders.append(order)
        if order["action"] in ("load", "version"):
            seconds = float(self._faults.get("load_seconds") or 0)
            if seconds:
                # The model is not served while its weights are replaced.
                self._models.pop(order["model"], None)
                await asyncio.sleep(seconds)
            if not await self._fetch_weights(order["model"]):
                return web.json_response({"error": "no weights"}, status=503)
            self._models[order["model"]] = order.get("version", "")
        elif order["action"] == "role":
            self._role = order["role"]
        elif order["action"] == "unload":
            self._models.pop(order["model"], None)
        return web.json_response({"models": self._models})

    async def _fetch_weights(self, model: str) -> bool:
        if not self._weight_store_url:
            return True
        url = f"{self._weight_store_url}/v1/weights/{model}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return response.status == 200

    async def _list_models(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "models": self._models,
                "role": self._role,
                "orders": self._orders,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Takes any of the faults that the other handlers look up."""
        self._faults.update(await request.json())
        return web.Response(status=204)

    async def _list_runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"runs": self._runs, "started": self._started})

    def _forget_old(self) -> None:
        """Drops old streams in the order of their start.

        Looking at all of them would make each request slower the more
        requests the last minute had.
        """
        limit = time.monotonic() - _FINISHED_STREAM_LIFE_S
        while self._generations:
            attempt, generation = next(iter(self._generations.items()))
            if not generation.finished_at or generation.finished_at >= limit:
                return
            del self._generations[attempt]


def main() -> None:
    """Runs the stand-in."""

    def build(arguments: argparse.Namespace) -> web.Application:
        return Engine(
            arguments.batch,
            arguments.token_seconds,
            arguments.first_token_seconds,
            arguments.weight_store_url,
            arguments.cache_characters,
        ).application()

    def add_arguments(parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--batch", type=int, default=8)
        parser.add_argument("--token-seconds", type=float, default=0.01)
        parser.add_argument("--first-token-seconds", type=float, default=0.02)
        parser.add_argument("--weight-store-url", default="")
        parser.add_argument("--cache-characters", type=int, default=262_144)

    run_standin("Stand-in for a model engine.", build, add_arguments)


if __name__ == "__main__":
    main()
