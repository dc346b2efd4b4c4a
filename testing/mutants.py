"""Mutants: changes that disable the mechanism of a guarantee, with a test that must then fail.

``scripts/prove.py`` applies each change to a scratch copy and expects the test to fail there.
"""

from __future__ import annotations


class Mutant:
    """A change of source text that makes ``test`` fail.

    ``old`` occurs once in ``file``, a path below ``src/coltsfootrill``, and is replaced by ``new``.
    """

    def __init__(self, guarantee: str, file: str, old: str, new: str, test: str) -> None:
        self.guarantee = guarantee
        self.file = file
        self.old = old
        self.new = new
        self.test = test


FEATURES = "testing/features/test_promises.py::test_"
DISPATCH_SERVER = "testing/dispatch/test_server.py::Test"
DISPATCH_CLIENT = "testing/dispatch/test_client.py::Test"
HUB = "testing/membership/test_hub.py::Test"
LEAVING = "testing/proxy/test_leaving.py::Test"
FOLLOWING = "testing/membership/test_following.py::Test"
NODE = "testing/roles/test_node.py::Test"
REGISTER = "testing/control/test_register.py::Test"
REQUESTS = "testing/features/test_requests.py::test_"
OUTCOMES = "testing/proxy/test_outcomes.py::Test"
CONNECTION = "testing/proxy/test_connection.py::Test"
DIRECTORY = "testing/registry/test_directory.py::Test"
BALANCER = "testing/balancer/test_"

MUTANTS = [
    Mutant(
        "no new work after leaving, on an instance cut off from its peers",
        "registry/directory.py",
        "LEASE_MS = 2_900.0",
        "LEASE_MS = 60_000.0",
        FEATURES + "a_leaving_upstream_gets_no_new_requests_not_even_from_an_isolated_instance",
    ),
    Mutant(
        "no new work after leaving, on an instance frozen in the meantime",
        "registry/directory.py",
        "LEASE_MS = 2_900.0",
        "LEASE_MS = 60_000.0",
        FEATURES + "a_suspended_entry_instance_does_not_use_leases_that_expired_meanwhile",
    ),
    Mutant(
        "a planned stop of an entry instance cuts no request",
        "proxy/server.py",
        "            return not self.in_progress and not self._connections\n",
        "            return True\n",
        FEATURES + "a_planned_stop_of_an_entry_instance_interrupts_no_request",
    ),
    Mutant(
        "requests in flight to a leaving upstream are listed until they end",
        "balancer/pool.py",
        "if load is not None and load.in_flight:",
        "if False:",
        FEATURES + "the_fleet_shows_when_a_leaving_upstream_has_finished_its_requests",
    ),
    Mutant(
        "leaving is final for an incarnation",
        "registry/directory.py",
        '    if old.state == "leaving":\n        return False\n',
        "",
        DIRECTORY + "Merging",
    ),
    Mutant(
        "one of several submissions with the same version is accepted",
        "control/submission.py",
        "    if known is not None:\n",
        "    if False:\n",
        FEATURES + "exactly_one_of_several_concurrent_submissions_of_a_version_is_accepted",
    ),
    Mutant(
        "a repeated submission gets the first reply, even after later versions",
        "control/submission.py",
        "known is not None and known.digest == digest",
        "version == state.version and digest == state.digest",
        FEATURES + "a_manifest_resubmitted_after_a_lost_answer_gets_its_original_result",
    ),
    Mutant(
        "an isolated control replica returns no stale state",
        "control/proposer.py",
        "        if self._try_majority_read():\n",
        "        if True:\n",
        FEATURES + "an_isolated_control_replica_accepts_no_manifest_and_returns_no_stale_state",
    ),
    Mutant(
        "a starting instance adopts no manifest from an isolated replica",
        "control/proposer.py",
        "        if self._try_majority_read():\n",
        "        if True:\n",
        FEATURES + "a_starting_entry_instance_waits_rather_than_use_a_stale_manifest",
    ),
    Mutant(
        "a manifest never reverts",
        "manifest/holder.py",
        "if table.version <= self.version:",
        "if table.version == self.version:",
        "testing/manifest/test_table.py::TestHolder",
    ),
    Mutant(
        "channels between instances that stop responding are replaced",
        "rpc.py",
        "            if may_work and self._failures < _FAILURES_BEFORE_RECONNECT:\n"
        "                return\n",
        "            return\n",
        "testing/test_rpc.py::TestSilentConnection",
    ),
    Mutant(
        "no new work after an answer that states leaving",
        "proxy/admission_controller.py",
        "            self._fleet.record_leaving(claim.load.id, leaving_incarnation)\n",
        "",
        LEAVING + "StatedLeaving",
    ),
    Mutant(
        "a request that crashed three upstreams reaches no other",
        "proxy/forward.py",
        "        self._guard.check()\n        claim",
        "        claim",
        "testing/proxy/test_crash_guard.py::TestDeadlyRequest",
    ),
    Mutant(
        "a connection ended by an upstream that still listens is no crash",
        "proxy/forward.py",
        "EndedWithoutAnswerError) and not self._is_listening(claim):",
        "EndedWithoutAnswerError):",
        "testing/proxy/test_crash_guard.py::TestUpstreamThatCrashesByItself",
    ),
    Mutant(
        "requests that are refused for crashes are told again to all instances",
        "membership/suspect_gossip.py",
        "                news += refused\n",
        "                pass\n",
        "testing/membership/test_suspect_gossip.py::TestSuspects",
    ),
    Mutant(
        "an odd heartbeat does not keep instances from following the hubs",
        "platform/interface.py",
        "    sequence: Count\n",
        "    sequence: int\n",
        "testing/platform/test_interface.py::TestOddHeartbeats",
    ),
    Mutant(
        "an upstream gets no requests of an instance in the time that it declines them",
        "balancer/pool.py",
        "load.id, load.incarnation, for_ms=claim.declined_for_ms, now_ms=now_ms",
        "load.id, load.incarnation, for_ms=0, now_ms=now_ms",
        "testing/proxy/test_declined.py::TestDecliningUpstream",
    ),
    Mutant(
        "a hub is asked again soon after the fetch of a manifest has failed",
        "membership/following.py",
        "    if identity.record.manifest_version < reported_version:\n",
        "    if False:\n",
        FOLLOWING + "ManifestThatIsNotInForceYet",
    ),
    Mutant(
        "a call that waits on a silent connection ends soon",
        "rpc.py",
        '    ("grpc.keepalive_time_ms", KEEPALIVE_AFTER_MS),\n',
        "",
        "testing/test_rpc.py::TestSilentConnection",
    ),
    Mutant(
        "one call without a reply is enough to replace a silent channel",
        "rpc.py",
        "may_work=not (is_silent or is_lost)",
        "may_work=not is_lost",
        "testing/test_rpc.py::TestSilentConnection",
    ),
    Mutant(
        "an upstream that declined a request of an instance is not polled by it",
        "proxy/load_poller.py",
        "if self._declines.is_declining(announcement.id, announcement.incarnation, now_ms):",
        "if False:",
        "testing/proxy/test_load_poller.py::TestPolling",
    ),
    Mutant(
        "a hub that hangs does not keep the manifest of another from being fetched",
        "roles/manifest_sync.py",
        "may_hang = now_ms - self._last_start_ms >= FETCH_ALONE_MS\n",
        "may_hang = False\n",
        "testing/roles/test_manifest_sync.py::TestFetchThatHangs",
    ),
    Mutant(
        "a new manifest is fetched from one hub as long as that does not hang",
        "roles/manifest_sync.py",
        "may_hang = now_ms - self._last_start_ms >= FETCH_ALONE_MS\n",
        "may_hang = True\n",
        "testing/roles/test_manifest_sync.py::TestFetchThatHangs",
    ),
    Mutant(
        "no call is sent on a connection that was lost and is closing",
        "rpc.py",
        "may_work=not (is_silent or is_lost)",
        "may_work=not is_silent",
        "testing/test_rpc.py::TestLostConnection",
    ),
    Mutant(
        "a slow call does not replace a channel on which others are answered",
        "rpc.py",
        "is_silent = error.code() == _TIMED_OUT and self._replies_count == replies_before\n",
        "is_silent = error.code() == _TIMED_OUT\n",
        "testing/test_rpc.py::TestSilentConnection",
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
        "a non-idempotent request uses a new connection",
        "proxy/pools.py",
        "        if is_idempotent:\n",
        "        if True:\n",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "not-run is only reported when it is certain",
        "proxy/forward.py",
        "            if failure is None or not self._history.may_have_run:\n",
        "            if True:\n",
        OUTCOMES + "AtMostOnce",
    ),
    Mutant(
        "bytes after a response are not read as the response to another request",
        "proxy/connection.py",
        "self.is_reusable = reader.is_reusable",
        "self.is_reusable = True",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "late bytes are not read as the response to another request",
        "proxy/connection.py",
        "age_ms < connection.idle_max_ms and connection.has_no_pending_data()",
        "age_ms < connection.idle_max_ms",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "a truncated response is rejected",
        "proxy/connection.py",
        "raise _make_end_error(reader, _CLOSED_EARLY)",
        "reader_end = b'\\r\\n\\r\\n' + b' ' * 64; return reader_end",
        CONNECTION + "WholeAnswers",
    ),
    Mutant(
        "connections opened before one that stopped responding are not reused",
        "proxy/connection.py",
        "            self._epoch += 1\n",
        "",
        CONNECTION + "Pool",
    ),
    Mutant(
        "a request on a silent connection gets an attempt on a new one",
        "proxy/second_attempt.py",
        "after_ms = min(after_ms, get_silence_timeout_ms(controller, kind))",
        "pass",
        OUTCOMES + "SilentConnections",
    ),
    Mutant(
        "the probe budget holds across restarts",
        "balancer/probe_budget.py",
        "self._earned_by_id[upstream_id] = -self._random.random()\n",
        "self._earned_by_id[upstream_id] = 1.0\n",
        BALANCER + "probe_budget.py::TestProbeBudget",
    ),
    Mutant(
        "the probe budget holds, over real processes",
        "balancer/probe_budget.py",
        "        if self._earned_by_id.get(upstream_id, 0.0) < 1:\n            return False\n",
        "",
        REQUESTS + "load_probes_stay_within_their_budget_while_load_shifts",
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
        "connections to upstreams that stop responding, over real processes",
        "proxy/second_attempt.py",
        "after_ms = min(after_ms, get_silence_timeout_ms(controller, kind))",
        "pass",
        REQUESTS + "requests_are_answered_when_open_connections_go_silent_but_new_ones_work",
    ),
    Mutant(
        "an upstream that fails fast attracts no requests, over real processes",
        "balancer/least_expected_wait.py",
        "    wait_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)\n",
        "",
        REQUESTS + "an_upstream_that_fails_fast_attracts_no_requests",
    ),
    Mutant(
        "a straggling upstream is avoided, over real processes",
        "balancer/load.py",
        "        slowness = max(slowness, (now_ms - started_ms) / typical_ms)\n    return",
        "        pass\n    return 1.0 if load else",
        REQUESTS + "an_upstream_that_suddenly_becomes_slow_is_avoided",
    ),
    Mutant(
        "an upstream that fails fast attracts no requests",
        "balancer/least_expected_wait.py",
        "    wait_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)\n",
        "",
        BALANCER + "least_expected_wait.py::TestLeastExpectedWait",
    ),
    Mutant(
        "requests of a disconnected caller are cancelled at the upstream",
        "proxy/attempt.py",
        "poller.register(monitor.fileno(), monitor.events)",
        "pass",
        OUTCOMES + "Callers",
    ),
    Mutant(
        "deferrable requests take priority from their latest time",
        "balancer/admission.py",
        'waiter.priority == "deferrable" and now_ms >= waiter.urgent_at_ms',
        "False",
        BALANCER + "admission.py::TestAdmission",
    ),
    Mutant(
        "a leave is acknowledged once a majority has recorded it",
        "membership/hub.py",
        "        if not self._share(announcement):\n",
        "        if False:\n",
        HUB + "Acknowledgements",
    ),
    Mutant(
        "a replica without a majority accepts no announcement",
        "membership/hub.py",
        "        if not self.is_current():\n            return AnnounceReply(",
        "        if False:\n            return AnnounceReply(",
        HUB + "Acknowledgements",
    ),
    Mutant(
        "an upstream that stopped announcing gets no new requests",
        "membership/hub.py",
        "if not record.is_leaving and now_ms - record.last_confirmed_ms < SILENT_AFTER_MS",
        "if not record.is_leaving",
        HUB + "Following",
    ),
    Mutant(
        "upstreams are restored after all instances lost power",
        "membership/hub.py",
        "[] if snapshot is None else snapshot.read()",
        "[]",
        HUB + "Following",
    ),
    Mutant(
        "a replica that lost its disk is readmitted, over real processes",
        "control/repair.py",
        "        for replica_id, fault in faults.items():\n",
        "        for replica_id, fault in {}.items():\n",
        NODE + "PowerLoss",
    ),
    Mutant(
        "a lost disk does not vote for a proposer that does not know the keys",
        "control/proposer.py",
        "not is_initial or not votes.are_all_selected(lambda promise: promise.is_granted)",
        "not is_initial",
        REGISTER + "ForgottenKeys",
    ),
    Mutant(
        "an adopted replica set brings no manifest with it",
        "control/proposer.py",
        "        self.known = msgspec.structs.replace(\n            self.known,\n",
        "        self.known = msgspec.structs.replace(\n            state,\n",
        REGISTER + "ForgottenKeys",
    ),
    Mutant(
        "a replica stores a change that it missed when it reads",
        "control/proposer.py",
        "                self._store_chosen()\n",
        "",
        REGISTER + "MissedChanges",
    ),
    Mutant(
        "large bodies of callers share a bound",
        "proxy/body_budget.py",
        "            if count > self._free_bytes:\n",
        "            if False:\n",
        "testing/proxy/test_bodies.py::TestRefusal",
    ),
    Mutant(
        "a body gives back its room when its request ends",
        "proxy/request_parser.py",
        "        self.body_rcv = None\n        self._reservation.release()\n",
        "        self.body_rcv = None\n",
        "testing/proxy/test_bodies.py::TestFreeing",
    ),
    Mutant(
        "nothing that writes to a log which is not read blocks",
        "process.py",
        "        unblock(descriptor)\n",
        "        pass\n",
        "testing/test_output.py::TestSetUpProcess",
    ),
    Mutant(
        "lines for standard error wait in a queue",
        "process.py",
        "    sys.stderr = LineStream(error_lines, STDERR)\n",
        "",
        "testing/test_output.py::TestSetUpProcess",
    ),
    Mutant(
        "a change of the settings while a process starts does not end it",
        "early_signals.py",
        "    signal.signal(signal.SIGHUP, _request_reload)\n",
        "",
        "testing/test_early_signals.py::TestStart",
    ),
    Mutant(
        "an incomplete answer is kept in small blocks",
        "proxy/block_buffer.py",
        "BLOCK_BYTES = 256 * 1024",
        "BLOCK_BYTES = 256 * 1024 * 1024",
        "testing/proxy/test_block_buffer.py::TestBlockBuffer",
    ),
    Mutant(
        "freed large buffers go back to the system",
        "allocator.py",
        "mallopt(_M_MMAP_THRESHOLD, MAPPED_MIN_BYTES)",
        "return",
        "testing/test_allocator.py::TestSetUpAllocator",
    ),
    Mutant(
        "the threads of a process share two arenas of the allocator",
        "allocator.py",
        "mallopt(_M_ARENA_MAX, ARENAS_MAX_COUNT)",
        "return",
        "testing/test_allocator.py::TestSetUpAllocator",
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
        "testing/membership/test_following.py::TestUnresponsiveHubs",
    ),
    Mutant(
        "a dispatcher grants a slot once",
        "balancer/pool.py",
        "        record_start("
        "load, token=self._turn, now_ms=now_ms, typical_ms=typical_ms * pace)\n",
        "",
        DISPATCH_SERVER + "SharedQueue",
    ),
    Mutant(
        "ends of attempts that were never reported are inferred from load reports",
        "balancer/load.py",
        "    if excess <= 0:\n",
        "    if True:\n",
        DISPATCH_SERVER + "ReportsAndGrants",
    ),
    Mutant(
        "a repeated acquire request takes no second slot",
        "dispatch/server.py",
        "        if attempt is not None:\n            attempt.renewed_ms = now_ms\n",
        "        if False:\n            attempt.renewed_ms = now_ms\n",
        DISPATCH_SERVER + "Renewals",
    ),
    Mutant(
        "an instance whose dispatcher is lost uses the next one",
        "dispatch/client.py",
        "            if now_ms - down_since_ms >= DISPATCHER_BACKOFF_MS:\n",
        "            if True:\n",
        DISPATCH_CLIENT + "UnavailableDispatchers",
    ),
    Mutant(
        "a grant that arrives too late is released",
        "dispatch/client.py",
        "if pending is None and isinstance(reply, Granted):",
        "if False:",
        DISPATCH_CLIENT + "LostDatagrams",
    ),
    Mutant(
        "bytes that are no answer end the attempt after a bound",
        "proxy/answer.py",
        "            self._check_progress(len(data), skipped_count)\n",
        "            pass\n",
        CONNECTION + "EndlessBytes",
    ),
    Mutant(
        "a request waits for the first manifest of a starting instance",
        "proxy/first_manifest.py",
        "        while table is None and not should_stop_waiting():\n",
        "        while False:\n",
        "testing/proxy/test_first_manifest.py::TestRestartOfAWholeFleet",
    ),
    Mutant(
        "usual latencies eject no upstream after a restart",
        "balancer/pool.py",
        ".seed(EXPECTED_SHARE_OF_TARGET * kind.target_ms)\n",
        "\n",
        "testing/balancer/test_overload.py::TestRestartUnderLoad",
    ),
    Mutant(
        "an attempt to connect to a silent instance is given up",
        "rpc.py",
        "CONNECT_TIMEOUT_MS = 300\n",
        "CONNECT_TIMEOUT_MS = 20_000\n",
        "testing/test_rpc.py::TestSilentHost",
    ),
    Mutant(
        "unchanged loads are not sent to other zones each time",
        "membership/load_changes.py",
        "        return _differs(sent.entry, entry)\n",
        "        return True\n",
        "testing/membership/test_load_changes.py::TestChangedLoads",
    ),
    Mutant(
        "the heartbeats of an upstream go to a hub of its zone",
        "membership/view.py",
        "            if zone_by_address.get(hub) == zone:\n",
        "            if True:\n",
        HUB + "NearHubs",
    ),
    Mutant(
        "the incomplete answers of all upstreams are bounded together",
        "proxy/receive_budget.py",
        "        return answer_bytes > SMALL_ANSWER_MAX_BYTES and",
        "        return False and",
        CONNECTION + "EndlessBytes",
    ),
    Mutant(
        "an interrupted replacement is completed by another replica",
        "control/repair.py",
        "        if not state.is_replica_set_chosen:\n",
        "        if False:\n",
        "testing/control/test_repair.py::TestInterruptedReplacement",
    ),
    Mutant(
        "a replica counts as a member only once its set is recorded as chosen",
        "roles/control.py",
        " and state.is_replica_set_chosen,",
        ",",
        "testing/roles/test_control.py::TestStatus",
    ),
    Mutant(
        "a proposer of a replaced set finds the new one in the replies",
        "control/proposer.py",
        "        if state.chosen_epoch <= self.known.epoch or not state.chosen_replicas:\n",
        "        if True:\n",
        REGISTER + "Repair",
    ),
    Mutant(
        "requests stay in a zone with many upstreams while it has room",
        "balancer/slot_choice.py",
        "        if not NEAR_MIN_COUNT <= len(near) < len(loads):\n",
        "        if True:\n",
        BALANCER + "near_choice.py::TestLargeZone",
    ),
    Mutant(
        "requests leave a zone whose upstreams are slow",
        "balancer/reported_load.py",
        "    if min(costs_ms) > (1 + ZONE_CROSSING_SHARE) * context.typical_ms:\n",
        "    if False:\n",
        BALANCER + "near_choice.py::TestLargeZone",
    ),
    Mutant(
        "an upstream gets no more requests than it states",
        "balancer/load.py",
        "        and load.rate_limit.allows_request(now_ms)\n",
        "",
        "testing/proxy/test_rate_limit.py::TestStatedRate",
    ),
    Mutant(
        "the fleet together keeps to the rate that an upstream states",
        "dispatch/server.py",
        "            claim.stated_per_s = release.per_s\n",
        "",
        "testing/dispatch/test_server.py::TestStatedRate",
    ),
    Mutant(
        "instances that choose themselves all at once save up no requests",
        "balancer/rate_limit.py",
        "min(now_ms - self._checked_ms, UNUSED_MAX_MS)",
        "now_ms - self._checked_ms",
        "testing/balancer/test_rate_limit.py::TestStatedRate",
    ),
    Mutant(
        "a refusal that is written again answers no later attempt",
        "proxy/forward.py",
        "        self._used.append(connection)\n",
        "",
        "testing/proxy/test_dialect.py::TestRepeatedRefusals",
    ),
    Mutant(
        "an answer with another transfer coding than chunks is refused",
        "proxy/answer.py",
        'if self.has_chunks or text.strip().lower() != "chunked":',
        "if False:",
        "testing/proxy/test_connection.py::TestAnswersCutOff",
    ),
    Mutant(
        "a request that comes late in a stop is refused, not passed on",
        "proxy/server.py",
        "                self._is_refusing = True\n",
        "",
        "testing/proxy/test_stop.py::TestLateRequests",
    ),
    Mutant(
        "a request that still waits at the end of a stop is refused",
        "proxy/server.py",
        "            self._is_ending = elapsed_ms >= limit_ms - REFUSAL_GRACE_MS\n",
        "",
        "testing/proxy/test_stop.py::TestEndOfStop",
    ),
    Mutant(
        "an instance that hears of no other takes no whole rate",
        "dispatch/client.py",
        "return self._rate_share_by_service.get(service_id, WHOLE_SHARE)\n",
        "return self._rate_share_by_service.pop(service_id, WHOLE_SHARE)\n",
        "testing/dispatch/test_client.py::TestStatedRate",
    ),
]
