"""A heap whose entries can be found, changed and taken out by their names, each in O(log n)."""

from collections.abc import Hashable, Iterator


class IndexedHeap:
    """Names in the order of their priorities (anything that compares); equal ones in no stated order."""

    def __init__(self) -> None:
        self.rows: list[tuple] = []  # (priority, name), a binary heap
        self.places: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self.rows)

    def __contains__(self, name: Hashable) -> bool:
        return name in self.places

    def __iter__(self) -> Iterator[Hashable]:
        return iter(self.places)

    def put(self, name: Hashable, priority) -> None:
        """Add a name, or give it another priority."""
        place = self.places.get(name)
        if place is None:
            place = len(self.rows)
            self.rows.append((priority, name))
            self.places[name] = place
        else:
            self.rows[place] = (priority, name)
        self.rise(place)
        self.sink(self.places[name])

    def first(self) -> tuple:
        """(priority, name) of the least; `IndexError` when empty."""
        return self.rows[0]

    def pop(self) -> tuple:
        """Take the least out; `IndexError` when empty."""
        least = self.rows[0]
        self.drop(least[1])
        return least

    def drop(self, name: Hashable) -> bool:
        """Take a name out; False where it is not in."""
        place = self.places.pop(name, None)
        if place is None:
            return False
        last = self.rows.pop()
        if place < len(self.rows):
            self.rows[place] = last
            self.places[last[1]] = place
            self.rise(place)
            self.sink(self.places[last[1]])
        return True

    def rise(self, place: int) -> None:
        rows, row = self.rows, self.rows[place]
        while place:
            above = (place - 1) // 2
            if rows[above][0] <= row[0]:
                break
            rows[place] = rows[above]
            self.places[rows[place][1]] = place
            place = above
        rows[place] = row
        self.places[row[1]] = place

    def sink(self, place: int) -> None:
        rows, row, size = self.rows, self.rows[place], len(self.rows)
        while (below := 2 * place + 1) < size:
            if below + 1 < size and rows[below + 1][0] < rows[below][0]:
                below += 1
            if row[0] <= rows[below][0]:
                break
            rows[place] = rows[below]
            self.places[rows[place][1]] = place
            place = below
        rows[place] = row
        self.places[row[1]] = place
