"""Contact: a lease by a majority of the stores, counted from the sending of each ask."""

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
    """A steady clock that the test turns."""

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
def test_contact_is_what_a_majority_answered_to_asks_sent_lately(events):
    clock = Clock()
    contact = QuorumContact(clock)
    asked, votes, majority_at = [], {}, 0.0
    for what, which in events:
        if what == "ask":
            asked.append((which, clock.now))
        elif what == "pass":
            clock.now += which
        elif asked:
            store, sent = asked.pop(which % len(asked))
            if what == "answer":
                contact.take_vote(store, VIEW, sent)
                votes[store] = max(sent, votes.get(store, sent))
            elif what == "refuse":
                contact.take_refusal(store, sent)
                if votes.get(store, sent) < sent:
                    del votes[store]
        sent_times = sorted(sent for store, sent in votes.items() if store in MEMBERS)
        if len(sent_times) >= 3:
            # The third newest: with it and the two newer ones there are three of five.
            majority_at = max(majority_at, sent_times[-3])
        assert contact.is_held == (clock.now - majority_at < CONTACT_SECONDS)


def test_an_answer_that_lay_in_a_buffer_through_a_freeze_counts_from_its_asking():
    clock = Clock()
    contact = QuorumContact(clock)
    sent = clock.now
    clock.now += 20.0
    for store in MEMBERS:
        contact.take_vote(store, VIEW, sent)
    assert not contact.is_held


def test_votes_in_two_views_make_no_majority_together():
    contact, following = QuorumContact(Clock()), View(2, "x", ("a", "b", "f"))
    contact.take_vote("c", VIEW, 100.0)
    contact.take_vote("d", VIEW, 100.0)
    contact.take_vote("a", following, 100.0)
    assert not contact.is_held
    # A member of the older view alone does not bring it back.
    contact.take_vote("e", VIEW, 100.0)
    assert not contact.is_held
    contact.take_vote("f", following, 100.0)
    assert contact.is_held


def test_a_contact_lasts_its_time_while_the_view_changes_and_no_longer():
    clock = Clock()
    contact = QuorumContact(clock)
    for store in MEMBERS:
        contact.take_vote(store, VIEW, clock.now)
    clock.now += 1.0
    contact.take_vote("a", View(2, "x", MEMBERS), clock.now)
    contact.take_refusal("b", clock.now)
    assert contact.is_held
    clock.now += CONTACT_SECONDS - 1.0
    assert not contact.is_held


def test_a_change_of_contact_is_told_once():
    clock, told = Clock(), []
    contact = QuorumContact(clock, told.append)
    for store in MEMBERS:
        contact.take_vote(store, VIEW, clock.now)
    clock.now += CONTACT_SECONDS
    contact.tell_change()
    contact.tell_change()
    assert told == [True, False]


def test_a_store_has_no_vote_while_it_reads_or_its_view_may_be_replaced():
    seeds = ["a", "b", "c"]
    acceptor = Acceptor("a", MemoryRecords(), seeds, True)
    assert answer_heartbeat(acceptor).outcome == "held"
    assert read_view(answer_heartbeat(acceptor).value) == acceptor.view
    ballot = Ballot(1, "a")
    following = acceptor.view.replace_member("a", "d", "x")
    acceptor.accepted_states[VIEW_REGISTER] = AcceptedState(ballot, ballot, 2, following.pack())
    assert answer_heartbeat(acceptor).outcome == "unknown"
    # A wiped disk: it has to read before it votes.
    assert answer_heartbeat(Acceptor("a", MemoryRecords(), seeds, False)).outcome == "unknown"
