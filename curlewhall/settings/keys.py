"""Files with several keys, so that keys can be changed while all run."""


def read_keys(path: str) -> list[bytes]:
    """One key a line, in hex, 16 to 64 bytes; the first signs, all are believed. `ValueError`, `OSError`.

    To change keys: put the new one last everywhere, then first everywhere, then take the old one out.
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
            if not 16 <= len(key) <= 64:
                raise ValueError(f"{path}, line {number}: a key of {len(key)} bytes, expected 16 to 64")
            keys.append(key)
    if not keys:
        raise ValueError(f"{path}: no key stands in it")
    return keys
