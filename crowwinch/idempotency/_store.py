"""Bounded storage of recorded answers."""

from collections import OrderedDict


class AnswerStore:
    """Holds answers up to a total size and drops the oldest first."""

    def __init__(self, max_total_bytes: int, max_answer_bytes: int) -> None:
        """Creates an empty store with limits in bytes."""
        self._max_total_bytes = max_total_bytes
        self._max_answer_bytes = max_answer_bytes
        self._answers: OrderedDict[str, bytes] = OrderedDict()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Size of all answers held, in bytes."""
        return self._total_bytes

    def put(self, key: str, content: bytes) -> None:
        """Holds an answer unless it is larger than one answer may be."""
        self.drop(key)
        if len(content) > self._max_answer_bytes:
            return
        self._answers[key] = content
        self._total_bytes += len(content)
        while self._total_bytes > self._max_total_bytes:
            _, dropped = self._answers.popitem(last=False)
            self._total_bytes -= len(dropped)

    def get(self, key: str) -> bytes:
        """Returns an answer, or b"" if it is not held."""
        return self._answers.get(key, b"")

    def drop(self, key: str) -> None:
        """Forgets an answer."""
        self._total_bytes -= len(self._answers.pop(key, b""))
