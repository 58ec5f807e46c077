"""The indexed heap against a plain dictionary."""

from hypothesis import given
from hypothesis import strategies as st

from curlewhall.moves import IndexedHeap

STEPS = st.lists(st.tuples(st.sampled_from(["put", "drop", "pop"]), st.integers(0, 20), st.integers(0, 9)))


@given(STEPS)
def test_it_says_what_a_dictionary_says(steps):
    heap, plain = IndexedHeap(), {}
    for what, name, priority in steps:
        if what == "put":
            heap.put(name, priority)
            plain[name] = priority
        elif what == "drop":
            assert heap.drop(name) == (plain.pop(name, None) is not None)
        elif plain:
            first, least = heap.first(), heap.pop()
            assert first == least and least[0] == min(plain.values()) == plain.pop(least[1])
        assert len(heap) == len(plain) and set(heap) == set(plain)
        assert all((name in heap) == (name in plain) for name in range(21))
    assert [heap.pop()[0] for _ in range(len(heap))] == sorted(plain.values())
