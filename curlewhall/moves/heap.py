"""A binary heap whose entries can be looked up, reprioritised and removed by name, each in O(log n)."""

from collections.abc import Hashable, Iterator


class IndexedHeap:
    """Min-heap of unique names. Priorities may be of any comparable type; ties come out in any order."""

    def __init__(self) -> None:
        self.entries: list[tuple] = []  # (priority, name), in heap order
        self.positions: dict[Hashable, int] = {}  # name -> index in `entries`

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, name: Hashable) -> bool:
        return name in self.positions

    def __iter__(self) -> Iterator[Hashable]:
        return iter(self.positions)

    def put(self, name: Hashable, priority) -> None:
        """Add a name, or change its priority."""
        position = self.positions.get(name)
        if position is None:
            position = len(self.entries)
            self.entries.append((priority, name))
            self.positions[name] = position
        else:
            self.entries[position] = (priority, name)
        self.sift_up(position)
        self.sift_down(self.positions[name])

    def peek(self) -> tuple:
        """Return (priority, name) of the smallest entry; raise `IndexError` if the heap is empty."""
        return self.entries[0]

    def pop(self) -> tuple:
        """Remove and return (priority, name) of the smallest entry; raise `IndexError` if there is none."""
        smallest = self.entries[0]
        self.remove(smallest[1])
        return smallest

    def remove(self, name: Hashable) -> bool:
        """Remove a name; return False if it is not in the heap."""
        position = self.positions.pop(name, None)
        if position is None:
            return False
        last = self.entries.pop()
        if position < len(self.entries):
            self.entries[position] = last
            self.positions[last[1]] = position
            self.sift_up(position)
            self.sift_down(self.positions[last[1]])
        return True

    def sift_up(self, position: int) -> None:
        """Move the entry at `position` towards the root until its parent is not larger."""
        entries, entry = self.entries, self.entries[position]
        while position:
            parent = (position - 1) // 2
            if entries[parent][0] <= entry[0]:
                break
            entries[position] = entries[parent]
            self.positions[entries[position][1]] = position
            position = parent
        entries[position] = entry
        self.positions[entry[1]] = position

    def sift_down(self, position: int) -> None:
        """Move the entry at `position` towards the leaves until no child is smaller."""
        entries, entry, size = self.entries, self.entries[position], len(self.entries)
        while (child := 2 * position + 1) < size:
            if child + 1 < size and entries[child + 1][0] < entries[child][0]:
                child += 1
            if entry[0] <= entries[child][0]:
                break
            entries[position] = entries[child]
            self.positions[entries[position][1]] = position
            position = child
        entries[position] = entry
        self.positions[entry[1]] = position
