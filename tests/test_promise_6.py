"""A request marked as non-idempotent runs at most once."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpier.model.call import Outcome
from dotterelpier.model.manifest import NonIdempotentRule, Service
from tests.call_system import CallReply, CallSystem, ScriptedResult


@pytest.mark.promise(6)
@pytest.mark.parametrize(
    "path",
    ["/spares", "/spares?size=2", "/%73pares", "//spares", "/spares?a=/b", "/spares/"],
)
def test_rule_matches_however_the_path_is_written(path) -> None:
    rule = NonIdempotentRule("POST", "/spares")
    service = Service("reservations", non_idempotent=(rule,))
    assert service.is_non_idempotent("POST", path)
    assert not service.is_non_idempotent("GET", path)


KEYS = st.sampled_from(["key-1", "key-2"])
ENTRIES = st.sampled_from(["entry-1", "entry-2", "entry-3"])
RESULT_LISTS = st.lists(st.sampled_from(ScriptedResult), max_size=4).map(tuple)


class AtMostOnceMachine(RuleBasedStateMachine):
    """Callers repeat keys at several entries while entries and platform fail."""

    def __init__(self) -> None:
        super().__init__()
        self.system = CallSystem()
        self.replies_by_key: dict[str, list[CallReply]] = {}

    def teardown(self) -> None:
        self.system.stop()

    @rule(
        entry=ENTRIES,
        key=KEYS,
        results=RESULT_LISTS,
        body=st.sampled_from([b"a", b"b"]),
    )
    def call_with_key(self, entry, key, results, body) -> None:
        self._call(entry, key, results, body)

    @rule(entry=ENTRIES, results=RESULT_LISTS)
    def call_without_key(self, entry, results) -> None:
        reply = self.system.call(entry, results)
        runs = self.system.runs_of(reply.request)
        assert runs <= 1
        assert not (runs and reply.outcome is Outcome.NOT_RUN)

    @rule(entry=ENTRIES, other=ENTRIES, key=KEYS, results=RESULT_LISTS)
    def repeat_while_it_runs(self, entry, other, key, results) -> None:
        self.system.during_run = lambda: self._call(other, key, (), b"a")
        self._call(entry, key, results, b"a")
        self.system.during_run = None

    @rule(key=KEYS)
    def repeat_everywhere_at_once(self, key) -> None:
        with ThreadPoolExecutor(3) as executor:
            list(
                executor.map(
                    lambda entry: self._call(entry, key, (), b"a"),
                    tuple(self.system.entry_by_id),
                )
            )

    @rule(entry=ENTRIES, down=st.booleans())
    def set_platform_down(self, entry, down) -> None:
        self.system.entry_by_id[entry].platform.down = down

    @rule(entry=ENTRIES, replies=st.integers(1, 2))
    def lose_replies(self, entry, replies) -> None:
        self.system.entry_by_id[entry].platform.lose_replies = replies

    @rule(entry=ENTRIES)
    def fall_after_write(self, entry) -> None:
        self.system.entry_by_id[entry].platform.fall_after_write = True

    @rule(entry=ENTRIES)
    def delay_write(self, entry) -> None:
        self.system.entry_by_id[entry].platform.delay_writes = 1

    @rule(entry=ENTRIES)
    def land_late_writes(self, entry) -> None:
        self.system.entry_by_id[entry].platform.land_late_writes()

    @rule(entry=ENTRIES)
    def correct(self, entry) -> None:
        self.system.entry_by_id[entry].correct()

    @rule(entry=ENTRIES)
    def die(self, entry) -> None:
        self.system.entry_by_id[entry].claims.stop()
        self.system.start_entry(entry)

    @rule(seconds=st.sampled_from([1.0, 100.0, 3600.0]))
    def advance(self, seconds) -> None:
        self.system.clock.advance(seconds)

    @rule(entry=ENTRIES, slots=st.integers(0, 4))
    def change_slots(self, entry, slots) -> None:
        self.system.entry_by_id[entry].free_slots = slots

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        for key, replies in self.replies_by_key.items():
            runs = self.system.runs_with(key)
            assert len(runs) <= 1
            bodies = {reply.body for reply in replies if reply.body}
            assert bodies <= {
                f"{run.request} at {run.backend_id}".encode() for run in runs
            }

    def _call(self, entry, key, results, body) -> None:
        reply = self.system.call(entry, results, key=key, body=body)
        self.replies_by_key.setdefault(key, []).append(reply)
        if reply.outcome is Outcome.NOT_RUN:
            assert not self.system.runs_of(reply.request)


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(max_examples=100, stateful_step_count=30)
TestAtMostOnce = pytest.mark.promise(6)(TestAtMostOnce)
