"""Replies of a hub that are made once for many followers."""

from __future__ import annotations

from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.shared_replies import SHARED_REPLY_MS
from coltsfootrill.zones.orders import ZoneOrders
from testing.membership.test_held_polls import make_request
from testing.membership.test_hub import Pair
from testing.membership.test_hub import announce


class TestSharedReplies:
    """The work of a hub for a change: one reply is made for all followers."""

    def test_followers_with_the_same_state_get_the_same_bytes(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        first = pair.hub.encode_reply(0, is_for_hub=False)
        # Another instance starts to follow, which the others hear of a little later.
        pair.hub.begin_poll(make_request(2))
        assert pair.hub.encode_reply(0, is_for_hub=False) is first

    def test_a_change_is_in_the_next_reply(self) -> None:
        pair = Pair()
        pair.hub.encode_reply(0, is_for_hub=False)
        pair.hub.announce(announce("u1"))
        raw = pair.hub.encode_reply(0, is_for_hub=False)
        assert FOLLOW.decode_reply(raw).live == ["u1"]

    # Guards against a light follower that gets a reply made before an order on a zone.
    def test_an_order_on_a_zone_is_in_the_next_reply(self) -> None:
        pair = Pair()
        pair.hub.encode_reply(0, is_for_hub=False)
        pair.zone_orders = ZoneOrders(1, {"z1": 1})
        raw = pair.hub.encode_reply(0, is_for_hub=False)
        assert FOLLOW.decode_reply(raw).zone_orders == pair.zone_orders

    def test_a_hub_that_lost_its_majority_does_not_claim_to_have_it(self) -> None:
        pair = Pair()
        pair.hub.encode_reply(0, is_for_hub=False)
        pair.clock.advance(10_000)
        raw = pair.hub.encode_reply(0, is_for_hub=False)
        assert not FOLLOW.decode_reply(raw).is_current

    def test_a_shared_reply_is_made_anew_after_a_while(self) -> None:
        pair = Pair()
        pair.hub.encode_reply(0, is_for_hub=False)
        pair.hub.begin_poll(make_request(2))
        pair.clock.advance(SHARED_REPLY_MS)
        raw = pair.hub.encode_reply(0, is_for_hub=False)
        assert [record.id for record in FOLLOW.decode_reply(raw).instances] == ["n2"]

    def test_a_follower_misses_nothing_after_a_reply_made_earlier(self) -> None:
        pair = Pair()
        raw = pair.hub.encode_reply(0, is_for_hub=False)
        pair.hub.begin_poll(make_request(2))
        shared = FOLLOW.decode_reply(pair.hub.encode_reply(0, is_for_hub=False))
        assert shared == FOLLOW.decode_reply(raw)
        pair.clock.advance(SHARED_REPLY_MS)
        later = FOLLOW.decode_reply(pair.hub.encode_reply(shared.position, is_for_hub=False))
        assert [record.id for record in later.instances] == ["n2"]

    def test_another_hub_gets_the_renewals(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        position = FOLLOW.decode_reply(pair.hub.encode_reply(0, is_for_hub=False)).position
        raw = pair.hub.encode_reply(position, is_for_hub=True)
        assert [renewal.id for renewal in FOLLOW.decode_reply(raw).renewals] == ["u1"]
