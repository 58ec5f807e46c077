"""Problem documents (RFC 9457), the error responses of the front's HTTP interface."""

import msgspec

from curlewhall.wire.server import Exchange

PROBLEM_TYPES = {  # status -> problem type, title, and the remedy unless the caller gives one
    400: (
        "bad-request",
        "The request is invalid",
        "Correct the request: the detail names the parameter and what is expected.",
    ),
    403: (
        "not-from-here",
        "The sender may not request this",
        "Send it from the front's own machine, or with the key or token that the detail names.",
    ),
    404: ("unknown", "Not found", "Check the node list or inventory that the front uses."),
    405: ("method", "Only GET is allowed here", "Repeat the request with GET."),
    409: (
        "not-taken",
        "The request conflicts with the present state",
        "Look at the state (/v1/state) and send a new request.",
    ),
    502: (
        "failed",
        "The play could not be set up; whether it ran is not known",
        "Check the nodes that the front's log names for this play.",
    ),
    503: (
        "declined",
        "There is no room now; nothing was set up",
        "Retry after Retry-After; if it persists, look in /v1/state for nodes and sites that are down.",
    ),
}


def document(status: int, detail: str, retry_after: int = 0, **more) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body; `retry_after` in ticks of 0.1 ms, `more`: further body members."""
    kind, title, remedy = PROBLEM_TYPES[status]
    headers = {"content-type": "application/problem+json", "cache-control": "no-store"}
    if retry_after:
        headers["retry-after"] = str(
            -(-retry_after // 10_000)
        )  # whole seconds, rounded up (RFC 9110 section 10.2.3)
        more["retry_after_ms"] = retry_after / 10
    if status == 405:
        headers["allow"] = "GET"
    body = {
        "type": f"urn:curlewhall:problem:{kind}",
        "title": title,
        "status": status,
        "detail": detail,
        "remedy": remedy,
    }
    return status, headers, msgspec.json.encode(body | more)


def answer(exchange: Exchange, status: int, detail: str, retry_after: int = 0, **more) -> None:
    """Answer with a problem document; arguments as for `document`."""
    exchange.reply(*document(status, detail, retry_after, **more))
