"""Quorum contact: a lease by a majority of stores, counted from each heartbeat's sending."""

from hypothesis import given
from hypothesis import strategies as st

from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor
from marblefold.register_store.ballots import AcceptedState, Ballot
from marblefold.register_store.heartbeat import answer_heartbeat
from marblefold.register_store.view import View, read_view
from marblefold.registry.quorum_contact import CONTACT_SECONDS, QuorumContact
from tests.simulated_stores import MemoryRecords

MEMBERS = ("a", "b", "c", "d", "e")
VIEW = View(1, "first", MEMBERS)


class Clock:
    """A monotonic clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.sampled_from([*MEMBERS, "spare"])),
        st.tuples(st.just("answer"), st.integers(0, 20)),
        st.tuples(st.just("refuse"), st.integers(0, 20)),
        st.tuples(st.just("lose"), st.integers(0, 20)),
        st.tuples(st.just("pass"), st.sampled_from([0.1, 0.4, 1.0, 20.0])),
    ),
    max_size=60,
)


@given(EVENTS)
def test_contact_requires_a_majority_of_answers_to_recent_heartbeats(events):
    clock = Clock()
    contact = QuorumContact(clock)
    heartbeats, votes, majority_at = [], {}, 0.0
    for action, argument in events:
        if action == "ask":
            heartbeats.append((argument, clock.now))
        elif action == "pass":
            clock.now += argument
        elif heartbeats:
            store, sent = heartbeats.pop(argument % len(heartbeats))
            if action == "answer":
                contact.record_vote(store, VIEW, sent)
                votes[store] = max(sent, votes.get(store, sent))
            elif action == "refuse":
                contact.record_refusal(store, sent)
                if votes.get(store, sent) < sent:
                    del votes[store]
        sent_times = sorted(sent for store, sent in votes.items() if store in MEMBERS)
        if len(sent_times) >= 3:
            # The third newest heartbeat: it and the two newer ones make three of five.
            majority_at = max(majority_at, sent_times[-3])
        assert contact.is_held == (clock.now - majority_at < CONTACT_SECONDS)


def test_answer_buffered_during_a_pause_counts_from_the_sending_of_its_heartbeat():
    clock = Clock()
    contact = QuorumContact(clock)
    sent = clock.now
    clock.now += 20.0
    for store in MEMBERS:
        contact.record_vote(store, VIEW, sent)
    assert not contact.is_held


def test_votes_in_two_views_do_not_add_up_to_a_majority():
    contact, following = QuorumContact(Clock()), View(2, "x", ("a", "b", "f"))
    contact.record_vote("c", VIEW, 100.0)
    contact.record_vote("d", VIEW, 100.0)
    contact.record_vote("a", following, 100.0)
    assert not contact.is_held
    # Another vote in the older view alone does not restore contact.
    contact.record_vote("e", VIEW, 100.0)
    assert not contact.is_held
    contact.record_vote("f", following, 100.0)
    assert contact.is_held


def test_contact_lasts_its_full_time_during_a_view_change_and_no_longer():
    clock = Clock()
    contact = QuorumContact(clock)
    for store in MEMBERS:
        contact.record_vote(store, VIEW, clock.now)
    clock.now += 1.0
    contact.record_vote("a", View(2, "x", MEMBERS), clock.now)
    contact.record_refusal("b", clock.now)
    assert contact.is_held
    clock.now += CONTACT_SECONDS - 1.0
    assert not contact.is_held


def test_change_of_contact_is_notified_once():
    clock, notifications = Clock(), []
    contact = QuorumContact(clock, notifications.append)
    for store in MEMBERS:
        contact.record_vote(store, VIEW, clock.now)
    clock.now += CONTACT_SECONDS
    contact.notify_change()
    contact.notify_change()
    assert notifications == [True, False]


def test_store_does_not_vote_while_it_recovers_or_its_view_may_be_replaced():
    seeds = ["a", "b", "c"]
    acceptor = Acceptor("a", MemoryRecords(), seeds, True)
    assert answer_heartbeat(acceptor).outcome == "held"
    assert read_view(answer_heartbeat(acceptor).value) == acceptor.view
    ballot = Ballot(1, "a")
    following = acceptor.view.replace_member("a", "d", "x")
    acceptor.accepted_states[VIEW_REGISTER] = AcceptedState(ballot, ballot, 2, following.pack())
    assert answer_heartbeat(acceptor).outcome == "unknown"
    # A store with a wiped disk must read from the others before it votes.
    assert answer_heartbeat(Acceptor("a", MemoryRecords(), seeds, False)).outcome == "unknown"
