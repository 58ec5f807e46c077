"""Manifests and CMSD: what is written is read again, and what can't be played is told."""

import pytest

from curlewhall.dash import cmsd, manifest
from curlewhall.dash.manifest import ManifestError, Plan

PLAN = Plan("http://127.0.0.1:1/s/p/0/", "a.b-c_d", [(1, 1000), (2, 3000)], 2.0, 30.0, 5)

ENTITY = b'<!DOCTYPE a [<!ENTITY b SYSTEM "file:///etc/hostname">]>'


@pytest.mark.parametrize(
    "plan",
    [
        PLAN,
        PLAN._replace(length=None),
        PLAN._replace(token='x"&<y'),
        PLAN._replace(base="http://[::1]:1/a&b/", segment=0.96),
    ],
)
def test_a_manifest_is_read_as_it_was_written(plan):
    assert manifest.read(manifest.write(plan)) == plan


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"<MPD",
        b"<a/>",
        manifest.write(PLAN).replace(b"BaseURL", b"BaseUrl"),
        manifest.write(PLAN).replace(b"Representation id", b"Other id"),
        manifest.write(PLAN).replace(b"?t=", b"?u="),
        ENTITY + manifest.write(PLAN).split(b"?>\n")[1].replace(b"a.b-c_d", b"&b;"),
    ],
)
def test_what_no_player_could_play_is_told(text):
    with pytest.raises(ManifestError):
        manifest.read(text)


@pytest.mark.parametrize(
    ("value", "most"),
    [
        (cmsd.dynamic("n1", 900), 900),
        ('"n1";mb=12;x=1', 12),
        ("mb=5", 5),
        ("", None),
        ('"n";mb=x', None),
        ("bm=3", None),
    ],
)
def test_the_most_kilobits_are_read_from_cmsd(value, most):
    assert cmsd.most_kbps(value) == most
