from __future__ import annotations

from coltsfootrill.metrics import ORGANISATION_LABELS_MAX_COUNT
from coltsfootrill.metrics import Metrics


def _list_samples(metrics: Metrics) -> list[str]:
    lines = metrics.render().decode().splitlines()
    return [line for line in lines if line.startswith("coltsfootrill_organisation_requests_total")]


class TestOrganisations:
    def test_organisations_beyond_the_limit_are_counted_together(self) -> None:
        metrics = Metrics()
        names = [f"organisation-{number}" for number in range(ORGANISATION_LABELS_MAX_COUNT + 50)]
        metrics.set_organisations(names)
        for name in names:
            metrics.count_organisation_request(name, "answered")
        samples = _list_samples(metrics)
        assert len(samples) == ORGANISATION_LABELS_MAX_COUNT + 1
        assert any('organisation="other"' in line and line.endswith(" 50.0") for line in samples)

    def test_an_organisation_that_has_left_has_no_label(self) -> None:
        metrics = Metrics()
        for number in range(3 * ORGANISATION_LABELS_MAX_COUNT):
            name = f"organisation-{number}"
            metrics.set_organisations([name])
            metrics.count_organisation_request(name, "answered")
            metrics.count_organisation_request(name, "not-run")
        assert len(_list_samples(metrics)) == 2
