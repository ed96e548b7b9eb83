"""A request marked as non-idempotent runs at most once."""

import pytest

from dotterelpier.model.manifest import NonIdempotentRule, Service


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
