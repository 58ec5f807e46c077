"""Which peer a leaving front offers a play to, and whether a peer takes it. No I/O."""

from zlib import crc32


def takes(seats: int, held: int) -> bool:
    """Whether a front that holds `held` plays of a title may take one more; 0 seats mean no cap."""
    return not seats or held < seats


def order(play: str, peers: int) -> list[int]:
    """In which order peers are offered a play: spread by its id, so that no peer is asked for all."""
    first = crc32(play.encode()) % peers if peers else 0
    return [(first + i) % peers for i in range(peers)]
