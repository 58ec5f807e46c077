"""Coverage-guided fuzzing (atheris) of the inventory readers and of the datagram decoder.

    python bench/fuzz_forms.py inventory -max_total_time=600 -rss_limit_mb=500 [folder of inputs]
    python bench/fuzz_forms.py members -max_total_time=600 -rss_limit_mb=300 [folder of inputs]

Every input must be accepted or refused with the documented error. Any other exception, or more memory than
the limit, stops the run and saves the input. Neither this nor atheris is part of CI; results are in the
design notes.
"""

import sys

import atheris

with atheris.instrument_imports(include=["curlewhall.inventory", "curlewhall.members"]):
    from curlewhall.inventory import InventoryError, csvform, yamlform
    from curlewhall.inventory.form import decode_text
    from curlewhall.members import datagram

HEAD = "host,address,port,place,zone,kind,weight,state\n"
LINE = "media-07.example.org,10.0.0.7,8400,6,north,box,1.0,serving\n"
YAML = "media:\n  vars: {port: 8400, kind: box}\n  hosts:\n    a: {address: 10.0.0.7, place: 6, zone: n}\n"
KEY = b"k" * 32


def inventory(data: bytes) -> None:
    """Read an inventory that is arbitrary, or a valid one with arbitrary text in it."""
    provider = atheris.FuzzedDataProvider(data)
    variant = provider.ConsumeIntInRange(0, 4)
    piece = provider.ConsumeBytes(1 << 14)
    try:
        text = decode_text(piece)
        if variant == 0:
            csvform.read(text, places=9)
        elif variant == 1:
            csvform.read(HEAD + LINE + text, "title,first_place,places,length_s\n" + text, 9)
        elif variant == 2:
            yamlform.read(text, 9)
        elif variant == 3:
            yamlform.read(YAML + text + "\n", 9)
        else:
            at = len(text) % len(YAML)
            yamlform.read(YAML[:at] + text + YAML[at:], 9)
    except InventoryError as err:
        assert err.problems and all(problem.line >= 1 for problem in err.problems)


def members(data: bytes) -> None:
    """Decode a datagram, unsigned and signed; one that is accepted must encode to the same bytes."""
    for body in (
        data,
        datagram.HEADER.pack(datagram.MAGIC, datagram.VERSION << 4 | 1, 1, 2, 3, 4, 5, 6, 7, 1) + data,
    ):
        for whole in (body, body + datagram.sign(body, KEY)):
            try:
                found = datagram.decode(whole, [KEY])
            except datagram.DatagramError:
                continue
            assert datagram.encode(found, KEY) == whole


if __name__ == "__main__":
    target = sys.argv.pop(1)
    atheris.Setup(sys.argv, {"inventory": inventory, "members": members}[target])
    atheris.Fuzz()
