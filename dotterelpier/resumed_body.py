"""Body of a large answer that resumes when a backend server breaks off.

The rest is requested with ``Range`` and ``If-Range`` (RFC 9110, section 13.1.5). It is
used only if its strong entity tag shows that it belongs to the same representation.
"""

import re
from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve

from dotterelpier.errors import AnswerLostError, CallError
from dotterelpier.model.call import Answer, Body, Call

MAX_RESUMES = 3
OK = 200
PARTIAL_CONTENT = 206
STRONG_ETAG = re.compile(r'"[^"]*"')
CONTENT_RANGE = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18})")
RANGE_HEADERS = frozenset({"range", "if-range"})


@define(eq=False)
class ResumedBody:
    """Iterates over the body and requests the rest if the connection is lost.

    It resumes the answer to an idempotent GET with status 200, a declared length and a
    strong entity tag, up to ``MAX_RESUMES`` times. Otherwise iterating raises a
    ``CallError``.
    """

    _call: Call
    _answer: Answer
    _resend: Callable[[Call], Answer]
    _on_close: Callable[[], None]
    _pieces: Iterator[bytes]
    _stream: Body | None
    _offset_bytes: int = 0
    _resumes: int = 0
    _closed: bool = False

    def __iter__(self) -> "ResumedBody":
        return self

    def __next__(self) -> bytes:
        while True:
            try:
                piece = next(self._pieces)
            except StopIteration:
                self._check_length()
                raise
            except CallError as error:
                self._resume(error)
                continue
            self._offset_bytes += len(piece)
            return piece

    def close(self) -> None:
        """Close the stream and call ``on_close``; safe to repeat."""
        if self._closed:
            return
        self._closed = True
        if self._stream is not None:
            self._stream.close()
        self._on_close()

    def _check_length(self) -> None:
        length = self._answer.length
        if length is not None and self._offset_bytes != length:
            raise AnswerLostError(
                f"body ended after {self._offset_bytes} of {length} bytes",
                step="answer.resume",
                peer=self._answer.peer,
            )

    def _resume(self, cause: CallError) -> None:
        etag = _strong_etag(self._answer)
        resumable = self._call.method == "GET" and self._answer.status == OK
        if self._call.at_most_once or not resumable or not etag:
            raise cause
        if self._resumes >= MAX_RESUMES:
            raise cause
        self._resumes += 1
        if self._stream is not None:
            self._stream.close()
        rest = self._resend(_range_request(self._call, self._offset_bytes, etag))
        self._stream, self._pieces = rest.stream, _pieces(rest)
        if not self._is_continuation(rest, etag):
            raise cause

    def _is_continuation(self, rest: Answer, etag: str) -> bool:
        match = CONTENT_RANGE.fullmatch(_header(rest, "content-range"))
        if rest.status != PARTIAL_CONTENT or match is None:
            return False
        first, last, total = (int(text) for text in match.groups())
        return (
            _strong_etag(rest) == etag
            and first == self._offset_bytes
            and last == total - 1
            and total == self._answer.length
        )


def _range_request(call: Call, offset_bytes: int, etag: str) -> Call:
    headers = tuple(
        (name, value)
        for name, value in call.headers
        if name.lower() not in RANGE_HEADERS
    )
    wanted = (("Range", f"bytes={offset_bytes}-"), ("If-Range", etag))
    return evolve(call, headers=headers + wanted, reservation="")


def _strong_etag(answer: Answer) -> str:
    etag = _header(answer, "etag")
    return etag if STRONG_ETAG.fullmatch(etag) else ""


def _header(answer: Answer, wanted: str) -> str:
    values = (value for name, value in answer.headers if name.lower() == wanted)
    return next(values, "")


def _pieces(answer: Answer) -> Iterator[bytes]:
    pieces: Iterable[bytes] = (answer.body,)
    return iter(pieces if answer.stream is None else answer.stream)


def make_resumed_body(
    call: Call,
    answer: Answer,
    resend: Callable[[Call], Answer],
    on_close: Callable[[], None],
) -> ResumedBody:
    """Return the body of an answer, with resumption of a broken download.

    Parameters
    ----------
    call : Call
        The call that was answered.
    answer : Answer
        The answer; its stream is read if it has one, else its whole body.
    resend : callable
        Sends the call for the rest of the body and returns its answer; raises
        ``CallError``.
    on_close : callable
        Called once, from ``close``, when the caller stops reading.
    """
    return ResumedBody(call, answer, resend, on_close, _pieces(answer), answer.stream)
