"""Tests of admission under overload; the bench program runs the full sizes."""

import pytest

from bluebelltide.bench import _overload
from bluebelltide.bench import _overload_users


@pytest.mark.parametrize("users", list(_overload_users.USERS))
@pytest.mark.parametrize("scenario", _overload.SCENARIOS)
def test_overload_keeps_the_limits_of_each_measurement(
    users: str, scenario: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_overload, "DURATION_MS", 12_000)
    options = _overload.Options(users, 3.0, "admission", scenario, 1)
    report = _overload.run_policy(options)
    assert report["doubled"] == 0
    assert report["lost"] == 0
    assert report["refused_but_run"] == 0
    assert report["retries_per_request"] <= 0.10
    if scenario == "plain":
        assert report["goodput"] >= 0.95
