"""Mechanisms that promises rest on, each with a change that takes it away and a test that sees it.

``scripts/prove.py`` applies each change to a scratch copy and expects the test to fail there.
"""

from __future__ import annotations


class Mutant:
    """``old`` stands once in ``file`` below ``src/coltsfootrill`` and becomes ``new``."""

    def __init__(self, promise: str, file: str, old: str, new: str, test: str) -> None:
        self.promise = promise
        self.file = file
        self.old = old
        self.new = new
        self.test = test


FEATURES = "testing/features/test_promises.py::test_"
REQUESTS = "testing/features/test_requests.py::test_"
OUTCOMES = "testing/proxy/test_outcomes.py::Test"
CONNECTION = "testing/proxy/test_connection.py::Test"
DIRECTORY = "testing/registry/test_directory.py::Test"
DECISIONS = "testing/balancer/test_decisions.py::Test"

MUTANTS = [
    Mutant(
        "no new work after leaving, cut off from peers",
        "registry/directory.py",
        "LEASE_MS = 2_900.0",
        "LEASE_MS = 60_000.0",
        FEATURES + "an_upstream_that_leaves_gets_no_new_work_anywhere_a_cutoff_instance_included",
    ),
    Mutant(
        "no new work after leaving, frozen meanwhile",
        "registry/directory.py",
        "LEASE_MS = 2_900.0",
        "LEASE_MS = 60_000.0",
        FEATURES + "a_frozen_entry_instance_does_not_use_leases_that_ended_meanwhile",
    ),
    Mutant(
        "a planned stop of an entry instance cuts nothing",
        "proxy/server.py",
        "if any(connection.is_busy for connection in connections):",
        "if False:",
        FEATURES + "a_planned_stop_of_an_entry_instance_cuts_no_request",
    ),
    Mutant(
        "a planned stop of an upstream is seen to be complete",
        "balancer/pool.py",
        "if load is not None and load.in_flight:",
        "if False:",
        FEATURES + "a_planned_stop_of_an_upstream_is_seen_to_be_complete",
    ),
    Mutant(
        "leaving is final for an incarnation",
        "registry/directory.py",
        '    if old.state == "leaving":\n        return False\n',
        "",
        DIRECTORY + "Merging",
    ),
    Mutant(
        "one winner among operators with equal versions",
        "control/submission.py",
        "    if known is not None:\n",
        "    if False:\n",
        FEATURES + "operators_race_with_equal_version_numbers",
    ),
    Mutant(
        "a resend gets the first answer, after later versions too",
        "control/submission.py",
        "known is not None and known.digest == digest",
        "version == state.version and digest == state.digest",
        FEATURES + "an_operator_resends_after_losing_the_answer",
    ),
    Mutant(
        "an isolated control replica tells no stale state",
        "control/proposer.py",
        "        if self._confirm():\n",
        "        if True:\n",
        FEATURES + "an_isolated_control_replica_accepts_nothing_and_answers_no_stale_read",
    ),
    Mutant(
        "a starting instance takes no manifest from an isolated replica",
        "control/proposer.py",
        "        if self._confirm():\n",
        "        if True:\n",
        FEATURES + "a_starting_entry_instance_waits_rather_than_take_an_old_manifest",
    ),
    Mutant(
        "a manifest never reverts",
        "manifest/holder.py",
        "if table.version <= self.version:",
        "if table.version == self.version:",
        "testing/manifest/test_table.py::TestHolder",
    ),
    Mutant(
        "silent channels between instances are made anew",
        "rpc.py",
        "            if self._failures < _FAILURES_BEFORE_REMAKE:\n                return\n",
        "            return\n",
        FEATURES + "connections_between_instances_that_go_silent_are_made_anew",
    ),
    Mutant(
        "a non-idempotent request runs at most once",
        "balancer/retry.py",
        '    if failure != "shed" and not kind.idempotent:\n        return False\n',
        "",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "a non-idempotent request has a fresh connection",
        "proxy/forward.py",
        "must_be_fresh=not self._kind.idempotent",
        "must_be_fresh=False",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "not-run is said only when it is certain",
        "proxy/forward.py",
        "            if failure is None or not self._history.may_have_run:\n",
        "            if True:\n",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "bytes after an answer meet no other request",
        "proxy/connection.py",
        "is_whole = reader.is_complete and not has_surplus",
        "is_whole = True",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "late bytes meet no other request",
        "proxy/connection.py",
        "age_ms < IDLE_MAX_MS and connection.is_idle_clean()",
        "age_ms < IDLE_MAX_MS",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "a short answer is no answer",
        "proxy/connection.py",
        'raise ReadError("the connection ended before the answer was whole")',
        "reader_end = b'\\r\\n\\r\\n' + b' ' * 64; return reader_end",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "silent connections cast doubt on their contemporaries",
        "proxy/connection.py",
        "            self._epoch += 1\n",
        "",
        CONNECTION + "Pool",
    ),
    Mutant(
        "work on a silent connection moves to a fresh one",
        "proxy/forward.py",
        "after_ms = min(after_ms, self._get_silence_ms())",
        "pass",
        OUTCOMES + "SilentConnections",
    ),
    Mutant(
        "the measuring budget holds through restarts",
        "balancer/probe_budget.py",
        "self._earned_by_id[upstream_id] = -self._random.random()\n",
        "self._earned_by_id[upstream_id] = 1.0\n",
        DECISIONS + "ProbeBudget",
    ),
    Mutant(
        "the measuring budget holds over real processes",
        "balancer/probe_budget.py",
        "        if self._earned_by_id.get(upstream_id, 0.0) < 1:\n            return False\n",
        "",
        REQUESTS + "measuring_stays_within_its_budget_while_load_shifts",
    ),
    Mutant(
        "a non-idempotent request runs at most once, over real processes",
        "balancer/retry.py",
        '    if failure != "shed" and not kind.idempotent:\n        return False\n',
        "",
        REQUESTS + "a_nonidempotent_request_runs_at_most_once",
    ),
    Mutant(
        "silent connections to upstreams, over real processes",
        "proxy/forward.py",
        "after_ms = min(after_ms, self._get_silence_ms())",
        "pass",
        REQUESTS + "open_connections_to_an_upstream_go_silent_while_new_ones_work",
    ),
    Mutant(
        "a fast failer attracts no work, over real processes",
        "balancer/least_expected_wait.py",
        "    wait_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)\n",
        "",
        REQUESTS + "a_server_that_fails_fast_attracts_no_work",
    ),
    Mutant(
        "a straggler is avoided, over real processes",
        "balancer/load.py",
        "        slowness = max(slowness, (now_ms - started_ms) / usual_ms)\n    return",
        "        pass\n    return 1.0 if load else",
        REQUESTS + "a_server_that_suddenly_straggles_is_avoided",
    ),
    Mutant(
        "a fast failer attracts no work",
        "balancer/least_expected_wait.py",
        "    wait_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)\n",
        "",
        DECISIONS + "LeastExpectedWait",
    ),
    Mutant(
        "a caller that leaves is cancelled upstream",
        "proxy/forward.py",
        "poller.register(self._request.caller, select.POLLRDHUP)",
        "pass",
        OUTCOMES + "Callers",
    ),
    Mutant(
        "deferrable requests run by their latest time",
        "balancer/admission.py",
        'waiter.priority == "deferrable" and now_ms >= waiter.urgent_at_ms',
        "False",
        DECISIONS + "Admission",
    ),
]
