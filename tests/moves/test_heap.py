"""`IndexedHeap` compared with a plain dictionary."""

from hypothesis import given
from hypothesis import strategies as st

from curlewhall.moves import IndexedHeap

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["put", "remove", "pop"]), st.integers(0, 20), st.integers(0, 9))
)


@given(OPERATIONS)
def test_heap_agrees_with_a_dictionary_after_any_operations(operations):
    heap, model = IndexedHeap(), {}
    for operation, name, priority in operations:
        if operation == "put":
            heap.put(name, priority)
            model[name] = priority
        elif operation == "remove":
            assert heap.remove(name) == (model.pop(name, None) is not None)
        elif model:
            first, smallest = heap.peek(), heap.pop()
            assert first == smallest and smallest[0] == min(model.values()) == model.pop(smallest[1])
        assert len(heap) == len(model) and set(heap) == set(model)
        assert all((name in heap) == (name in model) for name in range(21))
    assert [heap.pop()[0] for _ in range(len(heap))] == sorted(model.values())
