from __future__ import annotations

from coltsfootrill.events.catalog import Stopped
from coltsfootrill.events.reader import read_log

LATER = '{"at_ms":20,"instance":"n2","event":"stopped","cut":2}\n'
EARLIER = '{"at_ms":10,"instance":"n1","event":"stopped","cut":0}\n'


class TestReadLog:
    def test_events_of_several_processes_are_sorted_by_time(self) -> None:
        content = read_log([LATER, EARLIER])
        assert [event.instance for event in content.events] == ["n1", "n2"]
        assert isinstance(content.events[1].event, Stopped)
        assert content.events[1].event.cut == 2

    def test_text_that_a_collector_put_before_the_json_is_ignored(self) -> None:
        content = read_log(["[12.3] n1 | " + EARLIER])
        assert content.events[0].at_ms == 10
        assert content.unreadable_count == 0

    def test_a_truncated_line_is_counted_and_the_others_are_read(self) -> None:
        content = read_log([EARLIER[:30], LATER])
        assert len(content.events) == 1
        assert content.unreadable_count == 1

    def test_an_unknown_event_of_another_version_is_counted(self) -> None:
        assert read_log(['{"at_ms":1,"instance":"n","event":"unheard-of"}']).unreadable_count == 1

    def test_lines_of_libraries_are_ignored(self) -> None:
        content = read_log(["W1204 07:00 datagram not sent\n"])
        assert (content.events, content.unreadable_count) == ([], 0)
