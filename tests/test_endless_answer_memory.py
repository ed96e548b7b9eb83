"""Bytes of a faulty backend server must not exhaust the memory of an entry.

A server sent bytes that are no answer, in a head or a body, until the caller closed.
The bounds are those of ``tests/test_slow_readers.py``: they follow from the settings of
the process and do not depend on the speed of the machine.
"""

import time

import pytest

from tests.fleet_system import answer
from tests.test_endless_answers import signed_head
from tests.test_slow_readers import (
    THREADS,
    get,
    misbehave,
    running_entry,
    send_rounds,
)

# Longest line that http.client accepts, and how many of them in one head.
LINE_BYTES = 65_000
LINES = 99
TINY_CHUNKS = 400_000
STALL_S = 4.0
LONG_LINES = b"".join(
    b"X-%d: %s\r\n" % (number, b"a" * LINE_BYTES) for number in range(LINES)
)


def send_endless(received):
    """Answer ``/a/endless/KIND`` by bytes without an end, others at once."""
    if not received.target.startswith("/a/endless/"):
        return [answer(received, b"x")]
    return ENDLESS_BY_KIND[received.target.rpartition("/")[2]](received)


def send_long_head(received):
    yield signed_head(received).removesuffix(b"\r\n")
    yield LONG_LINES
    time.sleep(STALL_S)


def send_tiny_chunks(received):
    yield signed_head(received, "Transfer-Encoding: chunked")
    yield b"2\r\nxx\r\n" * TINY_CHUNKS
    time.sleep(STALL_S)


def send_body_without_end(received):
    yield signed_head(received, "Content-Length: 999999999999")
    for _ in range(100):
        yield b"x" * (1 << 20)


ENDLESS_BY_KIND = {
    "head": send_long_head,
    "chunks": send_tiny_chunks,
    "body": send_body_without_end,
}


@pytest.mark.parametrize("kind", ENDLESS_BY_KIND)
def test_answers_without_an_end(tmp_path, kind) -> None:
    """The process kept all bytes of each head, and each tiny piece of a body."""
    with running_entry(tmp_path, send_endless) as entry:
        act = send_rounds(get(f"/a/endless/{kind}"), rounds=3)
        misbehave(entry, "caller", THREADS, act)
