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
DISPATCH_SERVER = "testing/dispatch/test_server.py::Test"
DISPATCH_CLIENT = "testing/dispatch/test_client.py::Test"
HUB = "testing/membership/test_hub.py::Test"
NODE = "testing/roles/test_node.py::Test"
REGISTER = "testing/control/test_register.py::Test"
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
        "            return not self._in_progress and not self._connections\n",
        "            return True\n",
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
        "        if self._try_majority_read():\n",
        "        if True:\n",
        FEATURES + "an_isolated_control_replica_accepts_nothing_and_answers_no_stale_read",
    ),
    Mutant(
        "a starting instance takes no manifest from an isolated replica",
        "control/proposer.py",
        "        if self._try_majority_read():\n",
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
        '    if failure not in ("shed", "misdirected") and not kind.idempotent:\n'
        "        return False\n",
        "",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "a non-idempotent request has a fresh connection",
        "proxy/pools.py",
        "        if is_idempotent:\n",
        "        if True:\n",
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
        "bytes after an answer are not read as the answer to another request",
        "proxy/connection.py",
        "self.is_reusable = reader.is_reusable",
        "self.is_reusable = True",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "late bytes are not read as the answer to another request",
        "proxy/connection.py",
        "age_ms < connection.idle_max_ms and connection.has_no_pending_data()",
        "age_ms < connection.idle_max_ms",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "a truncated answer is rejected",
        "proxy/connection.py",
        'raise ReadError("the upstream closed the connection before the answer was complete")',
        "reader_end = b'\\r\\n\\r\\n' + b' ' * 64; return reader_end",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "connections opened before a silent one are not reused",
        "proxy/connection.py",
        "            self._epoch += 1\n",
        "",
        CONNECTION + "Pool",
    ),
    Mutant(
        "work on a silent connection moves to a fresh one",
        "proxy/extra.py",
        "after_ms = min(after_ms, get_silence_timeout_ms(controller, kind))",
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
        '    if failure not in ("shed", "misdirected") and not kind.idempotent:\n'
        "        return False\n",
        "",
        REQUESTS + "a_nonidempotent_request_runs_at_most_once",
    ),
    Mutant(
        "silent connections to upstreams, over real processes",
        "proxy/extra.py",
        "after_ms = min(after_ms, get_silence_timeout_ms(controller, kind))",
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
        "poller.register(monitor.fileno(), monitor.events)",
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
    Mutant(
        "a leaving upstream is acknowledged once a majority knows it",
        "membership/hub.py",
        "        if not self._share(announcement):\n",
        "        if False:\n",
        HUB + "Acknowledgements",
    ),
    Mutant(
        "a replica without a majority takes no announcement",
        "membership/hub.py",
        "        if not self.is_current():\n            return AnnounceReply(",
        "        if False:\n            return AnnounceReply(",
        HUB + "Acknowledgements",
    ),
    Mutant(
        "a silent upstream gets no new work",
        "membership/hub.py",
        "if not record.is_leaving and now_ms - record.last_confirmed_ms < SILENT_AFTER_MS",
        "if not record.is_leaving",
        HUB + "Following",
    ),
    Mutant(
        "upstreams are known after all power was lost",
        "membership/hub.py",
        "[] if snapshot is None else snapshot.read()",
        "[]",
        HUB + "Following",
    ),
    Mutant(
        "a lost disk is admitted again, over real processes",
        "control/repair.py",
        "        for replica_id, fault in faults.items():\n",
        "        for replica_id, fault in {}.items():\n",
        NODE + "LostPower",
    ),
    Mutant(
        "a replica is not sent a state that its own disk holds",
        "control/proposer.py",
        "Inspect(self._replica_id, local.ballot)",
        "Inspect(self._replica_id, ZERO_BALLOT)",
        REGISTER + "Submitting",
    ),
    Mutant(
        "a hub that never replied is logged as lost",
        "membership/following.py",
        "boot or self._clock.now_ms() - start_ms >= self._first_reply_ms",
        "boot",
        "testing/membership/test_following.py::TestSilentHubs",
    ),
    Mutant(
        "a dispatcher gives a slot away once",
        "balancer/pool.py",
        "        record_start(load, token=self._turn, now_ms=now_ms, usual_ms=usual_ms * pace)\n",
        "",
        DISPATCH_SERVER + "SharedQueue",
    ),
    Mutant(
        "ends that were never told are found by reports",
        "balancer/load.py",
        "    if excess <= 0:\n",
        "    if True:\n",
        DISPATCH_SERVER + "ReportsAndGrants",
    ),
    Mutant(
        "a repeated question takes no second slot",
        "dispatch/server.py",
        "        if attempt is not None:\n            attempt.renewed_ms = now_ms\n",
        "        if False:\n            attempt.renewed_ms = now_ms\n",
        DISPATCH_SERVER + "Renewals",
    ),
    Mutant(
        "an instance whose dispatcher is lost asks the next one",
        "dispatch/client.py",
        "            if now_ms - down_since_ms >= DISPATCHER_BACKOFF_MS:\n",
        "            if True:\n",
        DISPATCH_CLIENT + "UnavailableDispatchers",
    ),
    Mutant(
        "a grant that comes too late is handed back",
        "dispatch/client.py",
        "if pending is None and isinstance(reply, Granted):",
        "if False:",
        DISPATCH_CLIENT + "LostDatagrams",
    ),
]
