"""Problem documents (RFC 9457): every answer that is no manifest says why in one form."""

import msgspec

from curlewhall.wire.server import Exchange

KINDS = {
    400: ("bad-request", "The request can't be understood"),
    403: ("not-from-here", "This is not taken from where it came"),
    404: ("unknown", "No such thing is listed"),
    405: ("method", "Only GET is answered here"),
    409: ("not-taken", "This does not fit what is held here"),
    502: ("failed", "The play could not be set up; whether it ran is not known"),
    503: ("declined", "There is no room now; nothing was set up"),
}


def document(status: int, detail: str, away: int = 0, **more) -> tuple[int, dict[str, str], bytes]:
    """Status, fields and body. `away`: for how long to stay away, in tenths of a millisecond."""
    kind, title = KINDS[status]
    fields = {"content-type": "application/problem+json", "cache-control": "no-store"}
    if away:
        fields["retry-after"] = str(-(-away // 10_000))  # whole seconds, rounded up (RFC 9110 section 10.2.3)
        more["retry_after_ms"] = away / 10
    if status == 405:
        fields["allow"] = "GET"
    body = {"type": f"urn:curlewhall:problem:{kind}", "title": title, "status": status, "detail": detail}
    return status, fields, msgspec.json.encode(body | more)


def answer(exchange: Exchange, status: int, detail: str, away: int = 0, **more) -> None:
    """Answer with a problem document."""
    exchange.reply(*document(status, detail, away, **more))
