"""Manifests and CMSD: written ones can be read again, and invalid ones are rejected."""

import pytest

from curlewhall.dash import cmsd, manifest
from curlewhall.dash.manifest import ManifestError, Presentation

PRESENTATION = Presentation("http://127.0.0.1:1/s/p/0/", "a.b-c_d", [(1, 1000), (2, 3000)], 2.0, 30.0, 5)

ENTITY = b'<!DOCTYPE a [<!ENTITY b SYSTEM "file:///etc/hostname">]>'


@pytest.mark.parametrize(
    "presentation",
    [
        PRESENTATION,
        PRESENTATION._replace(length=None),
        PRESENTATION._replace(token='x"&<y'),
        PRESENTATION._replace(base="http://[::1]:1/a&b/", segment=0.96),
    ],
)
def test_manifest_that_is_written_and_read_is_the_same(presentation):
    assert manifest.read(manifest.write(presentation)) == presentation


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"<MPD",
        b"<a/>",
        manifest.write(PRESENTATION).replace(b"BaseURL", b"BaseUrl"),
        manifest.write(PRESENTATION).replace(b"Representation id", b"Other id"),
        manifest.write(PRESENTATION).replace(b"?t=", b"?u="),
        ENTITY + manifest.write(PRESENTATION).split(b"?>\n")[1].replace(b"a.b-c_d", b"&b;"),
    ],
)
def test_invalid_manifest_raises_manifest_error(text):
    with pytest.raises(ManifestError):
        manifest.read(text)


@pytest.mark.parametrize(
    ("value", "most_kbps"),
    [
        (cmsd.dynamic_value("n1", 900), 900),
        ('"n1";mb=12;x=1', 12),
        ("mb=5", 5),
        ("", None),
        ('"n";mb=x', None),
        ("bm=3", None),
    ],
)
def test_most_kbps_of_a_cmsd_value(value, most_kbps):
    assert cmsd.most_kbps(value) == most_kbps
