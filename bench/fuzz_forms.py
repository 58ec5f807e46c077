"""Any bytes to the readers of inventories, or to the decoder of datagrams, guided by coverage (atheris).

    python bench/fuzz_forms.py inventory -max_total_time=600 -rss_limit_mb=500 [folder of inputs]
    python bench/fuzz_forms.py members -max_total_time=600 -rss_limit_mb=300 [folder of inputs]

Whatever comes is sound or refused in the stated way; anything else, and more memory than the bound, stops
the run with the input kept. Not a part of CI, atheris neither: figures stand in the design notes.
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
    given = atheris.FuzzedDataProvider(data)
    way = given.ConsumeIntInRange(0, 4)
    piece = given.ConsumeBytes(1 << 14)
    try:
        text = decode_text(piece)
        if way == 0:
            csvform.read(text, places=9)
        elif way == 1:
            csvform.read(HEAD + LINE + text, "title,first_place,places,length_s\n" + text, 9)
        elif way == 2:
            yamlform.read(text, 9)
        elif way == 3:
            yamlform.read(YAML + text + "\n", 9)
        else:
            at = len(text) % len(YAML)
            yamlform.read(YAML[:at] + text + YAML[at:], 9)
    except InventoryError as err:
        assert err.problems and all(problem.line >= 1 for problem in err.problems)


def members(data: bytes) -> None:
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
    what = sys.argv.pop(1)
    atheris.Setup(sys.argv, {"inventory": inventory, "members": members}[what])
    atheris.Fuzz()
