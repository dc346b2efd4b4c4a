from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.acceptor import CannotVoteError
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.proposer import BACKOFF_MAX_MS
from coltsfootrill.control.proposer import BACKOFF_MS
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.proposer import choose_backoff_ms
from coltsfootrill.control.replica import READ_TIMEOUT_MS
from testing.control.cluster import FOLDER
from testing.control.cluster import Cluster
from testing.control.disk import SimulatedCrashError
from testing.processes import wait_until


class TestBackoff:
    # Guards against proposers that interrupt each other for many seconds where disks are slow.
    def test_a_pause_gives_another_proposer_time_for_a_round(self) -> None:
        assert choose_backoff_ms(0, round_ms=300.0, share=1.0) == 600.0
        assert choose_backoff_ms(0, round_ms=2.0, share=1.0) == BACKOFF_MS
        assert choose_backoff_ms(9, round_ms=2.0, share=1.0) == BACKOFF_MAX_MS
        assert choose_backoff_ms(9, round_ms=300.0, share=0.5) == 300.0


class TestSubmitting:
    def test_accepted_manifest_is_read_at_every_replica(self) -> None:
        cluster = Cluster()
        assert cluster.submit("a", 1, "one").result == "accepted"
        for at in "abc":
            assert cluster.read(at).manifest == b"one"

    @pytest.mark.parametrize("seed", range(5))
    def test_one_of_several_concurrent_submissions_is_accepted(self, seed: int) -> None:
        cluster = Cluster(seed=seed)
        cluster.submit("a", 1, "one")

        def submit(at: str) -> tuple[str, str]:
            answer = cluster.submit(at, 2, f"two-{at}", timeout_ms=8_000)
            return answer.result, answer.digest

        with ThreadPoolExecutor(3) as pool:
            answers = list(pool.map(submit, "abc"))
        assert sorted(result for result, _ in answers) == ["accepted", "conflict", "conflict"]
        assert len({digest for _, digest in answers}) == 1

    def test_lower_version_is_refused_and_the_one_in_force_returned(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 5, "five")
        answer = cluster.submit("b", 4, "four")
        assert (answer.result, answer.version, answer.digest) == ("older", 5, "five")

    def test_resubmission_gets_the_same_answer_after_later_versions_and_restarts(self) -> None:
        cluster = Cluster()
        for version in range(1, 6):
            cluster.submit("abc"[version % 3], version, f"v{version}")
        for name in "abc":
            cluster.restart(name)
            cluster.restart_proposer(name)
        answer = cluster.submit("c", 2, "v2")
        assert (answer.result, answer.version) == ("accepted", 2)
        assert cluster.read("a").version == 5

    def test_replica_is_not_sent_a_state_that_its_own_disk_holds(self) -> None:
        # Replies that repeat a large manifest would saturate slow links.
        cluster = Cluster()
        for version in range(1, 4):
            assert cluster.submit("abc"[version % 3], version, f"v{version}").result == "accepted"
            cluster.wait_until_stored_everywhere()
            assert [cluster.read(at).version for at in "abc"] == [version] * 3
        assert cluster.states_sent == 0

    def test_replica_that_missed_a_change_receives_it(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.cut |= {("a", "c"), ("b", "c")}
        cluster.submit("a", 2, "two")
        cluster.cut.clear()
        assert cluster.read("c").manifest == b"two"
        assert cluster.submit("c", 3, "three").result == "accepted"
        assert cluster.read("a").manifest == b"three"

    def test_read_fails_at_its_deadline_when_the_others_are_silent(self) -> None:
        cluster = Cluster(clock=ManualClock())
        cluster.submit("a", 1, "one")
        cluster.silent = {"b", "c"}
        cluster.calls_by_address.clear()
        with pytest.raises(NoQuorumError):
            cluster.read("a", timeout_ms=1_500)
        # Each call to a silent replica takes a second.
        assert cluster.calls_by_address["b"] <= 2

    # Guards against a change that is not heard of: its voter fell silent, and the two others, one
    # of which had missed it, waited for that voter until each of their reads had failed.
    def test_two_replicas_that_disagree_settle_without_the_silent_third(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.cut = {("a", "b")}
        cluster.submit("a", 2, "two")
        wait_until(lambda: cluster.acceptors["c"].get_accepted().state.version == 2)
        cluster.cut.clear()
        cluster.silent = {"a"}
        assert cluster.read("b", timeout_ms=READ_TIMEOUT_MS).manifest == b"two"

    def test_nothing_is_accepted_without_a_majority(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"b", "c"}
        with pytest.raises(NoQuorumError):
            cluster.submit("a", 2, "two", timeout_ms=200)
        cluster.down = set()
        assert cluster.read("b").version == 1

    def test_lost_answer_is_unknown_and_the_resubmission_is_accepted(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.delay_accepts_at = {"a", "b", "c"}
        with pytest.raises(UnknownResultError):
            cluster.submit("a", 2, "two", timeout_ms=200)
        cluster.delay_accepts_at = set()
        assert cluster.submit("b", 2, "two").result == "accepted"
        # The delayed messages are delivered twice; they must change nothing.
        cluster.submit("c", 3, "three")
        for deliver in cluster.delayed_accepts + cluster.delayed_accepts:
            deliver()
        assert cluster.read("a").version == 3

    def test_isolated_replica_refuses_reads_and_catches_up(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.cut = {("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}
        cluster.submit("b", 2, "two")
        with pytest.raises(NoQuorumError):
            cluster.read("a", timeout_ms=200)
        cluster.cut = set()
        assert cluster.read("a").version == 2

    def test_a_read_without_a_change_writes_nothing(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.wait_until_stored_everywhere()
        steps = {name: cluster.disks[name].step_count for name in "abc"}
        for at in "abc":
            cluster.read(at)
        assert {name: cluster.disks[name].step_count for name in "abc"} == steps

    def test_the_first_change_needs_every_replica(self) -> None:
        # A lost disk is detected by a changed key, so the first change records the keys of all.
        cluster = Cluster()
        cluster.down = {"c"}
        with pytest.raises(NoQuorumError):
            cluster.submit("a", 1, "one", timeout_ms=1_500)
        cluster.down = set()
        assert cluster.submit("a", 1, "one").result == "accepted"


class TestCrashes:
    @pytest.mark.parametrize("step", range(12))
    @pytest.mark.parametrize("seed", range(3))
    def test_crash_at_any_write_step_loses_no_confirmed_state(self, step: int, seed: int) -> None:
        cluster = Cluster(seed=seed)
        cluster.submit("a", 1, "one")
        cluster.disks["b"].steps_before_crash = step
        assert cluster.submit("a", 2, "two").result == "accepted"
        cluster.submit("c", 3, "three")
        cluster.disks["b"].crash()
        cluster.restart("b")
        cluster.down = {"c"}
        assert cluster.acceptors["b"].fault is None
        assert cluster.read("a").version == 3

    @pytest.mark.parametrize("step", range(4))
    def test_confirmed_promise_survives_a_crash(self, step: int) -> None:
        cluster = Cluster()
        acceptor = cluster.acceptors["a"]
        acceptor.prepare(Prepare(1, Ballot(5, "a")))
        cluster.disks["a"].steps_before_crash = step
        with pytest.raises(SimulatedCrashError):
            acceptor.prepare(Prepare(1, Ballot(7, "a")))
        cluster.disks["a"].crash()
        cluster.restart("a")
        reply = cluster.acceptors["a"].accept(Accept(Ballot(4, "a"), cluster.initial))
        assert not reply.is_granted

    @pytest.mark.parametrize("name", ["key.rec", "promised.rec", "accepted.rec"])
    @pytest.mark.parametrize("seed", range(4))
    def test_a_flipped_bit_stops_the_replica_from_voting(self, name: str, seed: int) -> None:
        cluster = Cluster(seed=seed)
        cluster.submit("a", 1, "one")
        cluster.disks["a"].flip_bit(FOLDER / "a" / name)
        cluster.restart("a")
        with pytest.raises(CannotVoteError, match="move the folder away"):
            cluster.acceptors["a"].inspect(Inspect("b", ZERO_BALLOT))
        assert cluster.submit("b", 2, "two").result == "accepted"

    def test_missing_key_next_to_a_state_is_damage(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        del cluster.disks["a"].visible[FOLDER / "a" / "key.rec"]
        cluster.restart("a")
        assert "key.rec is missing" in (cluster.acceptors["a"].fault or "")

    def test_a_full_disk_stops_the_replica_from_voting(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.disks["a"].is_full = True
        assert cluster.submit("b", 2, "two").result == "accepted"
        assert "no space left" in (cluster.acceptors["a"].fault or "")

    def test_disk_space_does_not_grow_with_the_number_of_changes(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        for version in range(2, 40):
            cluster.submit("a", version, f"v{version}")
        assert set(cluster.disks["a"].visible) == {
            FOLDER / "a" / name for name in ("key.rec", "promised.rec", "accepted.rec")
        }


class TestForgottenKeys:
    """A restarted proposer does not count the vote of a replica that lost its disk."""

    # Guards against an accepted manifest overwritten after a loss of all power and of one disk.
    def test_lost_disk_does_not_vote_for_a_restarted_proposer(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"a"}
        cluster.submit("b", 2, "two")
        cluster.down = set()
        cluster.restart_all()
        cluster.lose_disk("c")
        cluster.down = {"b"}
        with pytest.raises(NoQuorumError):
            cluster.read("a", timeout_ms=300)
        cluster.down = set()
        assert [cluster.read(at).version for at in "ab"] == [2, 2]

    # Guards against a first manifest overwritten by a replica that missed it.
    def test_lost_disk_does_not_vote_for_a_proposer_that_never_knew_the_keys(self) -> None:
        cluster = Cluster()
        cluster.delay_accepts_at = {"a"}
        cluster.submit("b", 1, "one")
        cluster.delay_accepts_at = set()
        cluster.restart_all()
        cluster.lose_disk("c")
        cluster.outbid_at = {"b"}
        with pytest.raises((NoQuorumError, UnknownResultError)):
            cluster.read("a", timeout_ms=300)
        cluster.outbid_at = set()
        assert [cluster.read(at).version for at in "ab"] == [1, 1]

    # Guards against trust in the keys of a first change that was not chosen. Here c accepted it
    # late, after its disk was lost, and the change that a and the lost disk had accepted counts.
    def test_keys_that_are_not_known_to_be_chosen_are_not_trusted(self) -> None:
        cluster = Cluster()
        chosen = cluster.make_first_state("chosen", version=2)
        cluster.acceptors["a"].accept(Accept(Ballot(2, "b"), chosen))
        cluster.lose_disk("c")
        late = cluster.make_first_state("late", version=1)
        cluster.acceptors["c"].accept(Accept(Ballot(1, "a"), late))
        cluster.down = {"a"}
        with pytest.raises(NoQuorumError):
            cluster.submit("b", 3, "three", timeout_ms=300)
        cluster.down = set()
        assert cluster.read("b").version == 2

    def test_replica_set_of_an_unfinished_replacement_is_restored_with_its_keys(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"c"}
        cluster.replace_without_record("a", "c", "d")
        wait_until(lambda: cluster.acceptors["d"].get_state() is not None)
        cluster.restart_all()
        assert cluster.submit("b", 2, "two").result == "accepted"
        assert sorted(cluster.read("b").replicas) == ["a", "b", "d"]

    # Guards against a manifest in force on some instances although no majority accepted it.
    def test_adopted_replica_set_brings_no_manifest_with_it(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        state = cluster.read("a")
        cluster.restart_proposer("b")
        cluster.registers["b"].adopt_if_chosen(state)
        known = cluster.registers["b"].known
        assert (known.replicas, known.version) == (state.replicas, 0)


class TestMissedChanges:
    # Guards against a change on the smallest majority of disks long after all replicas are back.
    def test_reading_replica_stores_the_change_that_it_missed(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"a"}
        cluster.submit("b", 2, "two")
        cluster.down = set()
        assert cluster.read("a").version == 2
        cluster.restart("a")
        stored = cluster.acceptors["a"].get_state()
        assert stored is not None
        assert stored.version == 2

    def test_reading_replica_with_a_full_disk_still_reads(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"a"}
        cluster.submit("b", 2, "two")
        cluster.down = set()
        cluster.disks["a"].is_full = True
        assert cluster.read("a").version == 2

    def test_learned_state_keeps_a_higher_promise(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        state = cluster.read("a")
        acceptor = cluster.acceptors["d"]
        acceptor.prepare(Prepare(1, Ballot(9, "a")))
        acceptor.learn(Ballot(5, "a"), state)
        assert acceptor.get_accepted().ballot == Ballot(5, "a")
        assert not acceptor.accept(Accept(Ballot(8, "a"), state)).is_granted

    def test_learned_state_replaces_no_newer_one(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        newer = cluster.read("a")
        acceptor = cluster.acceptors["d"]
        acceptor.accept(Accept(Ballot(9, "a"), newer))
        acceptor.learn(Ballot(5, "a"), cluster.initial)
        assert acceptor.get_state() == newer


class TestRepair:
    def test_a_second_loss_right_after_a_repair_loses_nothing(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"c"}
        assert cluster.replace("a", "c", "d").result == "replaced"
        cluster.down = {"a", "c"}
        cluster.restart_proposer("b")
        cluster.adopt_if_chosen("b")
        assert cluster.read("b").version == 1
        assert cluster.submit("b", 2, "two").result == "accepted"

    def test_a_set_not_known_to_be_chosen_is_not_trusted(self) -> None:
        # Only one replica accepted the replacement, so the old set may still choose another state.
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.delay_accepts_at = {"a", "c", "d"}
        with pytest.raises(UnknownResultError):
            cluster.replace("a", "c", "d", timeout_ms=200)
        cluster.delay_accepts_at = set()
        cluster.restart_proposer("b")
        cluster.adopt_if_chosen("b")
        assert cluster.registers["b"].known.epoch == 1

    def test_a_proposer_of_the_old_set_uses_the_new_one_once_it_is_known_to_be_chosen(self) -> None:
        # The proposer that readmitted c is lost before it recorded that the new set was chosen.
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.lose_disk("c")
        cluster.replace_without_record("b", "c", "c")
        cluster.read("c")
        cluster.down = {"b"}
        with pytest.raises(NoQuorumError):
            cluster.submit("a", 2, "two", timeout_ms=200)
        cluster.registers["c"].record_chosen_epoch(deadline_ms=cluster.clock.now_ms() + 3_000)
        assert cluster.submit("a", 2, "two").result == "accepted"

    def test_replaced_replica_that_comes_back_does_not_count(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.down = {"c"}
        cluster.replace("a", "c", "d")
        cluster.submit("a", 2, "two")
        cluster.down = {"a", "d"}
        cluster.restart_proposer("c")
        with pytest.raises((NoQuorumError, UnknownResultError)):
            cluster.submit("c", 3, "three", timeout_ms=400)
        with pytest.raises(NoQuorumError):
            cluster.read("c", timeout_ms=400)
        cluster.down = set()
        assert cluster.read("d").version == 2

    def test_a_lost_disk_does_not_vote_until_it_is_admitted_again(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.lose_disk("b")
        cluster.down = {"c"}
        with pytest.raises(NoQuorumError):
            cluster.submit("a", 2, "two", timeout_ms=400)
        cluster.down = set()
        assert cluster.replace("a", "b", "b").result == "replaced"
        cluster.down = {"c"}
        assert cluster.submit("a", 2, "two").result == "accepted"

    def test_an_outdated_proposer_finds_the_set_after_several_replacements(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.replace("a", "c", "d")
        cluster.replace("a", "b", "e")
        cluster.submit("a", 2, "two")
        cluster.restart_proposer("b")
        assert cluster.read("b").version == 2
        assert sorted(cluster.read("b").replicas) == ["a", "d", "e"]

    def test_replacement_is_idempotent(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        first = cluster.replace("a", "c", "d")
        again = cluster.replace("b", "c", "d")
        assert (first.result, again.result) == ("replaced", "replaced")
        assert cluster.read("a").epoch == 2

    def test_invalid_replacement_is_refused(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        assert cluster.replace("a", "e", "d").result == "refused"
        assert cluster.replace("a", "c", "b").result == "refused"

    @pytest.mark.parametrize("seed", range(6))
    def test_random_faults_never_lose_an_accepted_manifest(self, seed: int) -> None:
        random = Random(seed)
        cluster = Cluster(seed=seed)
        cluster.submit("a", 1, "v1")
        accepted = 1
        for version in range(2, 25):
            members = sorted(cluster.read("a", timeout_ms=5_000).replicas)
            victim = random.choice(members)
            fault = random.choice(["none", "down", "lost reply", "crash"])
            cluster.down = {victim} if fault == "down" else set()
            cluster.lost_replies = {victim} if fault == "lost reply" else set()
            if fault == "crash":
                cluster.disks[victim].steps_before_crash = random.randrange(10)
            at = random.choice("abc")
            assert cluster.submit(at, version, f"v{version}", timeout_ms=8_000).digest
            accepted = version
            if fault == "crash":
                cluster.disks[victim].crash()
                cluster.restart(victim)
            cluster.down = set()
            cluster.lost_replies = set()
            if random.random() < 0.3:
                cluster.restart_proposer(random.choice("abc"))
            assert cluster.read(random.choice("abc"), timeout_ms=8_000).version == accepted
