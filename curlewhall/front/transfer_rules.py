"""Rules for the transfer of plays to peers: which peer is asked first, who has a free seat. No I/O."""

from zlib import crc32


def has_free_seat(seats: int, plays_held: int) -> bool:
    """Whether a front that holds `plays_held` plays of a title may accept one more; 0 seats mean no limit."""
    return not seats or plays_held < seats


def peer_order(play: str, peer_count: int) -> list[int]:
    """Return the peers in the order in which `play` is offered, which spreads plays evenly by their ids."""
    first = crc32(play.encode()) % peer_count if peer_count else 0
    return [(first + i) % peer_count for i in range(peer_count)]
