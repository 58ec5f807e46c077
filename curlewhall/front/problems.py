"""Problem documents (RFC 9457): every answer that is no manifest says why in one form."""

import msgspec

from curlewhall.wire.server import Exchange

KINDS = {  # kind, title, and what can be done about it, where the error itself does not say
    400: (
        "bad-request",
        "The request can't be understood",
        "Correct the request: the detail names the parameter and what is expected.",
    ),
    403: (
        "not-from-here",
        "This is not taken from where it came",
        "Ask from the front's own machine, or with the key or token that the detail names.",
    ),
    404: ("unknown", "No such thing is listed", "Look at the list or inventory that the front goes by."),
    405: ("method", "Only GET is answered here", "Ask with GET."),
    409: (
        "not-taken",
        "This does not fit what is held here",
        "Look at what is held (/v1/state) and ask anew.",
    ),
    502: (
        "failed",
        "The play could not be set up; whether it ran is not known",
        "Look at the nodes that the front's log names for this play.",
    ),
    503: (
        "declined",
        "There is no room now; nothing was set up",
        "Come again after Retry-After; if it goes on, see /v1/state for nodes and sites that are away.",
    ),
}


def document(status: int, detail: str, away: int = 0, **more) -> tuple[int, dict[str, str], bytes]:
    """Status, fields and body. `away`: for how long to stay away, in tenths of a millisecond."""
    kind, title, remedy = KINDS[status]
    fields = {"content-type": "application/problem+json", "cache-control": "no-store"}
    if away:
        fields["retry-after"] = str(-(-away // 10_000))  # whole seconds, rounded up (RFC 9110 section 10.2.3)
        more["retry_after_ms"] = away / 10
    if status == 405:
        fields["allow"] = "GET"
    body = {
        "type": f"urn:curlewhall:problem:{kind}",
        "title": title,
        "status": status,
        "detail": detail,
        "remedy": remedy,
    }
    return status, fields, msgspec.json.encode(body | more)


def answer(exchange: Exchange, status: int, detail: str, away: int = 0, **more) -> None:
    """Answer with a problem document."""
    exchange.reply(*document(status, detail, away, **more))
