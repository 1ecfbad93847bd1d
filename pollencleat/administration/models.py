"""Bodies of the administration API's requests."""

import pydantic


class ApplyBody(pydantic.BaseModel):
    """A new inventory.

    Attributes:
        expected_version: The version that the operator saw.
        change_id: Identity of the change; sending it again is harmless.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    expected_version: int
    cause: str = ""
    change_id: str = ""


class RollbackBody(pydantic.BaseModel):
    """Return to a former inventory, as a new version."""

    model_config = pydantic.ConfigDict(extra="forbid")

    to_version: int
    expected_version: int
    cause: str = ""


class CheckBody(pydantic.BaseModel):
    """An inventory to check without applying it."""

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    filename: str = "inventory"
