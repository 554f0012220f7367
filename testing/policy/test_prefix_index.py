"""Tests of the index of cached prefixes."""

import hypothesis
from hypothesis import strategies as st

from wisteriawall.policy import prefix_index
from wisteriawall.wire import load_messages


def _events(sequence, prefixes, *, incarnation=1, complete=False, stored=True):
    changes = [load_messages.CacheChange(p, stored) for p in prefixes]
    return load_messages.CacheEvents(
        "runner", incarnation, sequence, complete, changes
    )


def test_one_hash_for_each_prefix_of_whole_pieces():
    text = bytes(range(256)) * 10
    hashes = prefix_index.prefix_hashes(text, piece_bytes=1_000)
    other = prefix_index.prefix_hashes(b"x" + text[1:], piece_bytes=1_000)
    longer = prefix_index.prefix_hashes(text + b"tail", piece_bytes=1_000)
    assert len(hashes) == 2
    assert longer[:2] == hashes
    assert not set(hashes) & set(other)


def test_hits_count_only_the_leading_pieces():
    index = prefix_index.PrefixIndex()
    index.apply(_events(0, [1, 2, 4]))
    assert index.cached_pieces("runner", [1, 2, 3, 4]) == 2
    assert index.cached_pieces("unknown", [1, 2]) == 0


def test_complete_list_is_requested_after_a_gap_until_it_arrives():
    index = prefix_index.PrefixIndex()
    assert not index.apply(_events(0, [1]))
    assert index.apply(_events(2, [3]))
    assert index.apply(_events(3, [4]))
    assert not index.apply(_events(4, [9], complete=True))
    assert index.cached_pieces("runner", [1]) == 0
    assert index.cached_pieces("runner", [9]) == 1


def test_late_messages_and_former_incarnations_are_ignored():
    index = prefix_index.PrefixIndex()
    index.apply(_events(5, [1], incarnation=2, complete=True))
    index.apply(_events(4, [1], incarnation=2, stored=False))
    index.apply(_events(9, [1], incarnation=1, stored=False))
    assert index.cached_pieces("runner", [1]) == 1
    index.apply(_events(0, [], incarnation=3))
    assert index.cached_pieces("runner", [1]) == 0


@hypothesis.given(st.lists(st.lists(st.integers(0, 40)), max_size=20))
def test_number_of_prefixes_is_bounded(messages):
    index = prefix_index.PrefixIndex(max_prefixes=8)
    for sequence, prefixes in enumerate(messages):
        index.apply(_events(sequence, prefixes))
        index.assume_cached("runner", prefixes)
        assert len(index.cache_by_runner["runner"].prefixes) <= 8
