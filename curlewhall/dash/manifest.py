"""Manifests: a static or dynamic MPD (ISO/IEC 23009-1) that points at one node and carries a session token.

The rungs that a play may use are the Representations of one AdaptationSet, so that a player sees one set
whatever node serves it; segments are numbered from 1 and equally long, on every node the same.
"""

from functools import lru_cache
from typing import NamedTuple
from xml.sax.saxutils import escape

from lxml import etree

from curlewhall.errors import CurlewhallError

NS = "urn:mpeg:dash:schema:mpd:2011"
PROFILE = "urn:mpeg:dash:profile:isoff-live:2011"
# No entity is expanded and nothing is fetched: a manifest comes from outside.
PARSER = etree.XMLParser(resolve_entities=False, no_network=True, dtd_validation=False, load_dtd=False)


BASE, TOKEN, PLACE = "\ue000", "\ue001", "\ue002"  # what is filled in; of private use, so in no URL


class Plan(NamedTuple):
    """What a player needs: where, with which token, which rungs, and how the segments lie in time."""

    base: str  # URL of the session on its node, ending in "/"
    token: str
    rungs: list[tuple[int, int]]  # (rung, bits a second), rising
    segment: float  # seconds
    length: float | None  # seconds in all; None: not told
    first: int = 1  # number of the first segment
    location: str = ""  # where the MPD is asked for anew (5.3.1.2, Location); "": where it came from


class ManifestError(CurlewhallError):
    """An MPD that a player could not play."""

    remedy = "Look at what answers in the front's place: no front of this program writes it."


def duration(seconds: float) -> str:
    """As xs:duration."""
    return f"PT{seconds:.3f}S"


def write(plan: Plan) -> bytes:
    """The MPD as bytes of XML. Plays differ in where and token alone, so the rest is made once for each
    shape.
    """
    shape = template(tuple(plan.rungs), plan.segment, plan.length, plan.first, bool(plan.location))
    for sign, text in ((BASE, plan.base), (TOKEN, plan.token), (PLACE, plan.location)):
        shape = shape.replace(sign.encode(), escape(text, {'"': "&quot;"}).encode())
    return shape


@lru_cache(maxsize=256)
def template(
    rungs: tuple[tuple[int, int], ...], segment: float, length: float | None, first: int, placed: bool
) -> bytes:
    """An MPD whose BaseURL, token and Location are still to be filled in."""
    return build(Plan(BASE, TOKEN, list(rungs), segment, length, first, PLACE if placed else ""))


def build(plan: Plan) -> bytes:
    mpd = etree.Element(f"{{{NS}}}MPD", nsmap={None: NS})
    mpd.set("profiles", PROFILE)
    mpd.set("minBufferTime", duration(plan.segment))
    if plan.length is None:
        mpd.set("type", "dynamic")
        mpd.set("availabilityStartTime", "1970-01-01T00:00:00Z")
        mpd.set("minimumUpdatePeriod", duration(60))
    else:
        mpd.set("type", "static")
        mpd.set("mediaPresentationDuration", duration(plan.length))
    etree.SubElement(mpd, f"{{{NS}}}BaseURL").text = plan.base
    if plan.location:  # the schema's order: BaseURL, then Location
        etree.SubElement(mpd, f"{{{NS}}}Location").text = plan.location
    period = etree.SubElement(mpd, f"{{{NS}}}Period", id="0", start="PT0S")
    rungs = etree.SubElement(
        period,
        f"{{{NS}}}AdaptationSet",
        id="0",
        contentType="video",
        mimeType="video/mp4",
        segmentAlignment="true",
        startWithSAP="1",
    )
    etree.SubElement(
        rungs,
        f"{{{NS}}}SegmentTemplate",
        media=f"seg/$RepresentationID$/$Number$?t={plan.token}",
        timescale="1000",
        duration=str(round(plan.segment * 1000)),
        startNumber=str(plan.first),
    )
    for rung, bits in plan.rungs:
        etree.SubElement(
            rungs, f"{{{NS}}}Representation", id=f"r{rung}", bandwidth=str(bits), codecs="avc1.640028"
        )
    return etree.tostring(mpd, xml_declaration=True, encoding="UTF-8")


def read(text: bytes) -> Plan:
    """What a player takes from an MPD; `ManifestError` says what is missing or wrong."""
    try:
        mpd = etree.fromstring(text, PARSER)
        base = mpd.findtext(f"{{{NS}}}BaseURL")
        template = mpd.find(f".//{{{NS}}}SegmentTemplate")
        if mpd.tag != f"{{{NS}}}MPD" or not base or template is None:
            raise ManifestError("no MPD, no BaseURL or no SegmentTemplate")
        rungs = [
            (int(r.get("id")[1:]), int(r.get("bandwidth")))
            for r in mpd.iterfind(f".//{{{NS}}}Representation")
        ]
        whole = mpd.get("mediaPresentationDuration")
        token = template.get("media").partition("?t=")[2]
        if not rungs or not token:
            raise ManifestError("no Representation or no token")
        return Plan(
            base,
            token,
            rungs,
            int(template.get("duration")) / int(template.get("timescale")),
            float(whole[2:-1]) if whole else None,
            int(template.get("startNumber", "1")),
            mpd.findtext(f"{{{NS}}}Location") or "",
        )
    except (etree.XMLSyntaxError, TypeError, ValueError, AttributeError) as err:
        raise ManifestError(f"{type(err).__name__}: {err}") from None
