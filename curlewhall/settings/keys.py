"""Key files that hold several keys, so that a key can be replaced while all fronts keep running."""

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


def read_keys(path: str) -> list[bytes]:
    """The keys of a file with one hexadecimal key of 16 to 64 bytes per line; `#` starts a comment.

    The first key signs; every key is accepted for verification. To rotate keys, add the new key at the end
    of the file on every front, then move it to the front everywhere, then remove the old key.

    Raises `ValueError` with the line number for an invalid key or an empty file, `OSError` if the file
    can't be read.
    """
    keys = []
    with open(path) as file:
        for number, line in enumerate(file, 1):
            text = line.partition("#")[0].strip()
            if not text:
                continue
            try:
                key = bytes.fromhex(text)
            except ValueError:
                raise ValueError(f"{path}, line {number}: expected hexadecimal digits") from None
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(
                    f"{path}, line {number}: a key of {len(key)} bytes, "
                    f"expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
                )
            keys.append(key)
    if not keys:
        raise ValueError(f"{path}: no key found, expected at least one")
    return keys
