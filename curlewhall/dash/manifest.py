"""Writes and reads manifests: a static or dynamic MPD (ISO/IEC 23009-1) with one node and a session token.

The rungs that a play may use are the Representations of one AdaptationSet, so that a player sees the same set
from every node. Segments are numbered from 1 and have the same length on all nodes.
"""

from functools import lru_cache
from typing import NamedTuple
from xml.sax.saxutils import escape

from lxml import etree

from curlewhall.errors import CurlewhallError

NS = "urn:mpeg:dash:schema:mpd:2011"
PROFILE = "urn:mpeg:dash:profile:isoff-live:2011"
# Manifests are untrusted input: no entity is expanded and nothing is fetched.
PARSER = etree.XMLParser(resolve_entities=False, no_network=True, dtd_validation=False, load_dtd=False)


# Placeholders of a template: characters for private use, which no URL contains.
BASE, TOKEN, LOCATION = "\ue000", "\ue001", "\ue002"


class Presentation(NamedTuple):
    """The contents of a manifest: the node's URL, the session token, the rungs and the segments."""

    base: str  # URL of the session on its node, ending in "/"
    token: str
    rungs: list[tuple[int, int]]  # (rung, bit/s), ascending
    segment: float  # seconds
    length: float | None  # total duration in seconds; None: unknown
    first: int = 1  # number of the first segment
    location: str = ""  # URL for updates of the MPD (5.3.1.2, Location); "": its own URL


class ManifestError(CurlewhallError):
    """An MPD that a player could not play."""

    remedy = "Check what answers at the front's address: no front of this program writes such an MPD."


def duration(seconds: float) -> str:
    """Seconds as an xs:duration."""
    return f"PT{seconds:.3f}S"


def write(presentation: Presentation) -> bytes:
    """The MPD as XML. Plays differ only in URLs and token, so the rest comes from a cached template."""
    mpd = template(
        tuple(presentation.rungs),
        presentation.segment,
        presentation.length,
        presentation.first,
        bool(presentation.location),
    )
    for placeholder, text in (
        (BASE, presentation.base),
        (TOKEN, presentation.token),
        (LOCATION, presentation.location),
    ):
        mpd = mpd.replace(placeholder.encode(), escape(text, {'"': "&quot;"}).encode())
    return mpd


@lru_cache(maxsize=256)
def template(
    rungs: tuple[tuple[int, int], ...], segment: float, length: float | None, first: int, has_location: bool
) -> bytes:
    """An MPD with placeholders for BaseURL, token and Location."""
    return build(
        Presentation(BASE, TOKEN, list(rungs), segment, length, first, LOCATION if has_location else "")
    )


def build(presentation: Presentation) -> bytes:
    """The MPD as XML, without the template cache."""
    mpd = etree.Element(f"{{{NS}}}MPD", nsmap={None: NS})
    mpd.set("profiles", PROFILE)
    mpd.set("minBufferTime", duration(presentation.segment))
    if presentation.length is None:
        mpd.set("type", "dynamic")
        mpd.set("availabilityStartTime", "1970-01-01T00:00:00Z")
        mpd.set("minimumUpdatePeriod", duration(60))
    else:
        mpd.set("type", "static")
        mpd.set("mediaPresentationDuration", duration(presentation.length))
    etree.SubElement(mpd, f"{{{NS}}}BaseURL").text = presentation.base
    if presentation.location:  # the schema's order: BaseURL, then Location
        etree.SubElement(mpd, f"{{{NS}}}Location").text = presentation.location
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
        media=f"seg/$RepresentationID$/$Number$?t={presentation.token}",
        timescale="1000",
        duration=str(round(presentation.segment * 1000)),
        startNumber=str(presentation.first),
    )
    for rung, bits in presentation.rungs:
        etree.SubElement(
            rungs, f"{{{NS}}}Representation", id=f"r{rung}", bandwidth=str(bits), codecs="avc1.640028"
        )
    return etree.tostring(mpd, xml_declaration=True, encoding="UTF-8")


def read(text: bytes) -> Presentation:
    """Parse an MPD; `ManifestError` says what is missing or wrong."""
    try:
        mpd = etree.fromstring(text, PARSER)
        base = mpd.findtext(f"{{{NS}}}BaseURL")
        template = mpd.find(f".//{{{NS}}}SegmentTemplate")
        if mpd.tag != f"{{{NS}}}MPD" or not base or template is None:
            raise ManifestError("the MPD, its BaseURL or its SegmentTemplate is missing")
        rungs = [
            (int(r.get("id")[1:]), int(r.get("bandwidth")))
            for r in mpd.iterfind(f".//{{{NS}}}Representation")
        ]
        length = mpd.get("mediaPresentationDuration")
        token = template.get("media").partition("?t=")[2]
        if not rungs or not token:
            raise ManifestError("the Representations or the token are missing")
        return Presentation(
            base,
            token,
            rungs,
            int(template.get("duration")) / int(template.get("timescale")),
            float(length[2:-1]) if length else None,
            int(template.get("startNumber", "1")),
            mpd.findtext(f"{{{NS}}}Location") or "",
        )
    except (etree.XMLSyntaxError, TypeError, ValueError, AttributeError) as err:
        raise ManifestError(f"{type(err).__name__}: {err}") from None
