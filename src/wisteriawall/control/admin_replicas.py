"""Reading of operators' requests to add or remove a control replica."""

from typing import Annotated
from typing import final

import msgspec

from wisteriawall.control import events
from wisteriawall.web import refusal as refusal_lib

__all__ = ["read_request"]

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


@final
class _ReplicaBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    replica: _Name
    peer_address: str = ""
    rpc_address: str = ""
    admin_address: str = ""


def read_request(
    data: bytes, operator: str, method: str
) -> events.Request | refusal_lib.Refusal:
    """Return the change that a request's body asks for, or its fault."""
    try:
        body = msgspec.json.decode(data, type=_ReplicaBody)
    except msgspec.DecodeError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )
    if method == "DELETE":
        return events.ReplicaRemove(operator, body.replica)
    if not body.peer_address:
        return refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message="peer_address: missing, expected HOST:PORT",
        )
    return events.ReplicaAdd(
        operator,
        body.replica,
        body.peer_address,
        body.rpc_address,
        body.admin_address,
    )
