"""Entries of the list of runners that name no usable runner."""

import json
from typing import Any

__all__ = ["SOUND", "entry_text", "odd_entry_by_name", "page"]

SOUND: dict[str, Any] = {
    "identifier": "i-sound",
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 1_782_935_833_165,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}
DEEP = 50_000
LONG = "x" * 1_000_000


def entry_text(**fields: object) -> str:
    """Return a sound entry with other fields, as JSON."""
    return json.dumps({**SOUND, "identifier": "i-odd", **fields})


def page(*entries: str, following: str | None = None) -> bytes:
    """Return a page of the list."""
    text = ",".join(entries)
    token = json.dumps(following)
    return f'{{"instances":[{text}],"next":{token}}}'.encode()


def _nested(opening: str, closing: str, core: str = "1") -> str:
    return opening * DEEP + core + closing * DEEP


def _with_raw(field: str, raw: str) -> str:
    """Return an entry with a field of raw JSON."""
    marked = entry_text(**{field: "@raw@"})
    return marked.replace('"@raw@"', raw)


# What Python's decoder accepts and JSON or the wire to the gateways doesn't.
odd_entry_by_name: dict[str, str] = {
    "nothing": "null",
    "number": "7",
    "text": '"i-odd"',
    "list": "[]",
    "empty-object": "{}",
    "deep-lists": _nested("[", "]"),
    "deep-objects": _nested('{"a":', "}"),
    "deep-objects-in-lists": _nested('[{"a":', "}]"),
    "sound-entry-within-deep-objects": _nested(
        '{"a":', "}", entry_text(identifier="i-within")
    ),
    "deep-unknown-field": _with_raw("note", _nested("[", "]")),
    "deep-known-field": _with_raw("models", _nested("[", "]")),
    "no-state": json.dumps({k: v for k, v in SOUND.items() if k != "state"}),
    "unknown-state": entry_text(state="odd"),
    "unknown-stage": entry_text(stage="odd"),
    "slots-0": entry_text(slots=0),
    "slots-negative": entry_text(slots=-1),
    "slots-over-32-bits": entry_text(slots=2**40),
    "slots-over-63-bits": entry_text(slots=2**63),
    "slots-over-64-bits": entry_text(slots=2**64),
    "slots-of-hundreds-of-digits": _with_raw("slots", "9" * 400),
    "slots-of-thousands-of-digits": _with_raw("slots", "9" * 5_000),
    "slots-with-exponent": _with_raw("slots", "1e400"),
    "slots-text": entry_text(slots="6"),
    "slots-true": entry_text(slots=True),
    "slots-infinite": _with_raw("slots", "Infinity"),
    "born-negative": entry_text(born=-1),
    "born-over-63-bits": entry_text(born=2**63),
    "born-over-64-bits": entry_text(born=2**200),
    "born-of-hundreds-of-digits": _with_raw("born", "9" * 400),
    "model-version-negative": entry_text(models=[{"version": -1}]),
    "model-version-over-64-bits": entry_text(models=[{"version": 2**70}]),
    "model-version-of-hundreds-of-digits": _with_raw(
        "models", '[{"version":' + "9" * 400 + "}]"
    ),
    "port-0": entry_text(address="127.0.0.1:0"),
    "port-65536": entry_text(address="127.0.0.1:65536"),
    "port-99999": entry_text(address="127.0.0.1:99999"),
    "port-of-thousands-of-digits": entry_text(
        address="127.0.0.1:" + "9" * 5_000
    ),
    "port-in-other-digits": entry_text(address="127.0.0.1:\u0661\u0662"),
    "port-negative": entry_text(address="127.0.0.1:-1"),
    "no-port": entry_text(address="127.0.0.1"),
    "no-host": entry_text(address=":80"),
    "host-with-space": entry_text(address="127.0.0 1:80"),
    "host-with-line-break": entry_text(address="127.0.0.1\r\nA: b:80"),
    "host-with-nul": entry_text(address="127.0.0.1\0:80"),
    "host-with-slash": entry_text(address="127.0.0.1/a:80"),
    "host-with-user": entry_text(address="a@127.0.0.1:80"),
    "host-beyond-ascii": entry_text(address="\u00e9:80"),
    "host-of-a-megabyte": entry_text(address=f"{LONG}:80"),
    "identifier-empty": entry_text(identifier=""),
    "identifier-with-line-break": entry_text(identifier="i\r\nA: b"),
    "identifier-with-space": entry_text(identifier="i odd"),
    "identifier-with-nul": entry_text(identifier="i\0"),
    "identifier-beyond-ascii": entry_text(identifier="i-\u00e9"),
    "identifier-beyond-latin-1": entry_text(identifier="i-\u4e00"),
    "identifier-half-a-surrogate-pair": _with_raw("identifier", '"i\\ud800"'),
    "identifier-of-a-megabyte": entry_text(identifier=LONG),
    "service-empty": entry_text(service=""),
    "service-with-line-break": entry_text(service="shop\n"),
    "service-of-a-megabyte": entry_text(service=LONG),
    "zone-of-a-megabyte": entry_text(zone=LONG),
    "zone-with-nul": entry_text(zone="z\0"),
    "version-of-a-megabyte": entry_text(version=LONG),
    "version-with-line-break": entry_text(version="v1\n"),
}
